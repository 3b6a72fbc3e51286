"""The agent's task: carries out a planner's orders on the co-located worker."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass

from result import Err, Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.agent import Heartbeat, Reception, WorkerGuard
from yuccarelay.core.batch.models import WorkerId
from yuccarelay.core.batch.protocol import (
    Answer,
    Declined,
    LeaseReference,
    Look,
    OldTerm,
    Order,
    Pace,
    Report,
    Start,
    Stop,
    Unanswered,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Listener
from yuccarelay.ports.worker import (
    Fenced,
    HoldAnswer,
    NoAnswer,
    NotListening,
    OtherIncarnation,
    Refused,
    Worker,
    WorkerRuns,
)
from yuccarelay.tasks.batch.worker_orders import WorkerOrders
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox

# The users' platform does not charge calls from the worker's own machine, so that
# holds can be short.
HOLD_WAIT_MS = 300


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The worker sent a heartbeat; `recorded` is set once the guard has handled it."""

    heartbeat: Heartbeat
    recorded: asyncio.Future


@dataclass(frozen=True, slots=True)
class WorkerDeregistered:
    """The worker deregistered; `recorded` is set once the guard has handled it."""

    name: str
    born_ms: int | None
    recorded: asyncio.Future


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """A planner sent an order."""

    request_id: int
    data: bytes


class WorkerAgentTask:
    """
    Owns the known state of the worker, and makes the calls to it.

    It answers polls itself; `orders` carries out the orders to the worker.
    """

    def __init__(
        self,
        guard: WorkerGuard,
        worker: Worker,
        listener: Listener,
        clock: Clock,
        journal: Journal,
    ):
        self.guard = guard
        self.worker = worker
        self.listener = listener
        self.clock = clock
        self.journal = journal
        self.inbox = Mailbox()
        self.changed = asyncio.Event()
        self.order_tasks: set[asyncio.Task] = set()
        self.is_worker_silent = False
        self.orders = WorkerOrders(guard, worker, clock, journal, self._wake_polls)

    async def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pass a heartbeat on; return once the guard has handled it."""
        recorded = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(HeartbeatReceived(heartbeat, recorded))
        await recorded

    async def deregister(self, name: str, born_ms: int | None) -> None:
        """Pass a deregistration on; return once the guard has handled it."""
        recorded = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(WorkerDeregistered(name, born_ms, recorded))
        await recorded

    async def run(self) -> None:
        """Serve until cancelled, then close the socket."""
        self.listener.start(self.receive)
        try:
            while True:
                self.handle(await self.inbox.get())
        finally:
            self.listener.close()

    def receive(self, request_id: int, data: bytes) -> None:
        """Queue an order that the socket has received."""
        self.inbox.put_nowait(OrderReceived(request_id, data))

    def handle(self, message) -> None:
        """Handle one message; an unexpected error costs that message only."""
        match message:
            case HeartbeatReceived(heartbeat, recorded):
                try:
                    self._handle_heartbeat(heartbeat)
                    recorded.set_result(None)
                except Exception as error:
                    write_failure(self.journal, 'heartbeat_failed', error)
                    recorded.set_exception(error)
            case WorkerDeregistered(name, born_ms, recorded):
                is_known = self.guard.take_deregistration(name, born_ms)
                fields = {'worker': name, 'is_known': is_known}
                self.journal.write('worker_deregistered', fields)
                if is_known:
                    self._wake_polls()
                recorded.set_result(None)
            case OrderReceived(request_id, data):
                self._start_task(self.serve(request_id, data))

    def _start_task(self, work: Coroutine) -> None:
        """Run calls to the worker beside the handling of messages."""
        task = asyncio.ensure_future(work)
        self.order_tasks.add(task)
        task.add_done_callback(self.order_tasks.discard)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        changes = self.guard.changes
        fields = {'worker': heartbeat.info.name, 'sequence': heartbeat.sequence}
        match self.guard.take_heartbeat(heartbeat, self.clock.now_ms()):
            case Reception.LATE:
                self.journal.write('heartbeat_late', fields)
            case Reception.CONTRADICTORY:
                reason = 'another service, failure domain or labels'
                self.journal.write('heartbeat_ignored', fields | {'reason': reason})
            case Reception.UNCONFIRMED if self.guard.term:
                self._start_task(self._ask_worker())
            case Reception.APPLIED if self.guard.changes != changes:
                self._report_change()

    async def _ask_worker(self) -> None:
        """Identify the worker after a heartbeat, under the newest term."""
        try:
            await self._identify_worker(self.guard.term)
        except Exception as error:
            write_failure(self.journal, 'worker_not_identified', error)

    def _report_change(self) -> None:
        """Log what is now known of the worker, and report it to the planner."""
        info = self.guard.worker
        self.journal.write(
            'worker_heard',
            {
                'worker': info.name,
                'born_ms': info.born_ms,
                'draining': info.draining,
                'leaves_in_ms': info.leaves_in_ms,
            },
        )
        self._wake_polls()

    async def _identify_worker(self, term: int) -> HoldAnswer | None:
        """
        Ask the worker which of the candidates it is, if there are any.

        Returns the last answer, or None without a call. A heartbeat proves nothing by
        itself: on the word of one, a planner started running work a second time.
        """
        found = None
        for candidate in self.guard.list_candidates():
            found = await self.worker.read(candidate.name, term, 0)
            match found:
                case WorkerRuns(born_ms=born_ms) if born_ms == candidate.born_ms:
                    if not await self.orders.refuse_late_starts(*candidate, term):
                        return NoAnswer('late starts are not refused yet')
                    if self.guard.confirm(candidate):
                        self._report_change()
                    return found
                case WorkerRuns() | OtherIncarnation():
                    self.guard.refute(candidate)
                    self.journal.write(
                        'heartbeat_refuted',
                        {'worker': candidate.name, 'born_ms': candidate.born_ms},
                    )
                case _:
                    return found
        return found

    def _wake_polls(self) -> None:
        """End the polls that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request_id: int, data: bytes) -> None:
        """Carry out one order and reply."""
        match batch_codec.decode(data):
            case Ok(order):
                reply = await self._serve_order(order)
            case Err(reason):
                self.journal.write('order_unreadable', {'reason': reason})
                reply = batch_codec.encode(Declined('unreadable'))
        self.listener.reply(request_id, reply)

    async def _serve_order(self, order: Order) -> bytes:
        """Carry out an order; after an unexpected error its outcome is unknown."""
        try:
            return batch_codec.encode(await self._carry_out(order))
        except Exception as error:
            fields = {'order': type(order).__name__, 'term': order.term}
            write_failure(self.journal, 'order_failed', error, fields)
            return batch_codec.encode(Unanswered('internal error'))

    async def _carry_out(self, order: Order) -> Answer:
        refused = self.guard.check_term(order.term)
        if refused is not None:
            return refused
        match order:
            case Look():
                return await self._poll(order)
            case Start():
                return await self.orders.start(order)
            case Stop():
                return await self.orders.stop(order)
            case Pace():
                return await self.orders.pace(order)
        return Declined('unknown_order')

    async def _poll(self, order: Look) -> Answer:
        self.guard.is_service_known = order.is_service_known
        match await self._identify_worker(order.term):
            case Fenced():
                return OldTerm(order.term + 1)
            case NoAnswer(reason) if order.call_worker:
                # A second call would take longer than the planner waits.
                self._log_silence(reason)
                return self._make_report()
        # A newer planner may have been told meanwhile when the leases expire.
        refused = self.guard.check_term(order.term)
        if refused is not None:
            return refused
        worker = self.guard.worker_id()
        if worker is None or not (order.call_worker or self.guard.is_leaving):
            return await self._report_from_heartbeats(order)
        found = await self._hold(worker, order)
        match found:
            case WorkerRuns(clock_ms, born_ms) if born_ms == worker.born_ms:
                if worker == self.guard.worker_id():
                    self.guard.take_clock(clock_ms, self.clock.now_ms())
                    return self._make_report(found)
            case WorkerRuns(clock_ms, born_ms, running, ended):
                is_idle = not (running or ended)
                other = OtherIncarnation(born_ms, clock_ms, is_idle)
                await self.orders.take_other_birth(worker, other, order.term)
            case OtherIncarnation(born_ms=born_ms) if born_ms:
                await self.orders.take_other_birth(worker, found, order.term)
            case Fenced():
                return OldTerm(order.term + 1)
            case Refused(reason) | NoAnswer(reason):
                self._log_silence(reason)
            case OtherIncarnation():
                self._log_silence('another worker answered')
            case NotListening():
                self._handle_end(worker)
        return self._make_report()

    def _handle_end(self, called: WorkerId) -> None:
        """Handle that nothing listens any more where the worker did."""
        if called != self.guard.worker_id():
            return
        if not self.guard.has_ended(self.clock.now_ms()):
            self._log_silence('nothing listens')
            return
        self.guard.take_departure()
        self.journal.write('worker_left', {'worker': called.name})
        self._wake_polls()

    def _log_silence(self, reason: str) -> None:
        """Log a call that the worker did not answer with its lists."""
        worker = self.guard.worker
        name = worker.name if worker else None
        self.journal.write('worker_silent', {'worker': name, 'reason': reason})

    async def _hold(self, worker: WorkerId, order: Look) -> HoldAnswer:
        """
        Hold until a run ends, there is another change, or the wait is over.

        The wait is split into short calls: a stop of a run that the worker does
        not have ends no call, and the planner waits for lists that were read
        after that stop. Only the first one changes anything, so that a worker that
        ends during the wait leaves no call that its next incarnation must not see.
        """
        changed = self.changed
        remaining_ms = 0 if self._has_news(order) else order.wait_ms
        found = await self._extend(worker, order)
        while found is None or self._has_nothing_ended(found):
            if found is not None and (changed.is_set() or remaining_ms <= 0):
                break
            wait_ms = min(remaining_ms, HOLD_WAIT_MS)
            found = await self.worker.read(worker.name, order.term, wait_ms)
            remaining_ms -= wait_ms
        self.is_worker_silent = isinstance(found, NoAnswer)
        return found

    @staticmethod
    def _has_nothing_ended(found: HoldAnswer) -> bool:
        return isinstance(found, WorkerRuns) and not found.ended

    async def _extend(self, worker: WorkerId, order: Look) -> HoldAnswer | None:
        """
        Extend the lease of a worker and acknowledge its ends, as a poll asks.

        Returns None if the poll asks for neither.
        """
        until_ms = None
        seen = 0
        if order.worker == worker:
            until_ms = self.guard.extend_lease(order.basis, self.clock.now_ms())
            seen = order.seen if order.seen > self.guard.acknowledged else 0
        if until_ms is None and not seen:
            return None
        if self.is_worker_silent:
            # Each call without an answer is one more that may be carried out late.
            found = await self.worker.read(worker.name, order.term, 0)
            if not isinstance(found, WorkerRuns) or found.born_ms != worker.born_ms:
                return found
        found = await self.worker.hold(worker, order.term, seen, until_ms)
        match found:
            case NoAnswer():
                self.guard.note_unanswered(
                    worker, self.clock.now_ms(), acknowledges=seen > 0
                )
            case WorkerRuns() if worker == self.guard.worker_id():
                self.guard.acknowledged = max(self.guard.acknowledged, seen)
        return found

    async def _report_from_heartbeats(self, order: Look) -> Report:
        """Report without a call to the worker, once it changed or after the wait."""
        try:
            async with asyncio.timeout(order.wait_ms / 1000):
                if not self._has_news(order):
                    await self.changed.wait()
        except TimeoutError:
            pass
        return self._make_report()

    def _has_news(self, order: Look) -> bool:
        """Whether the worker changed since the last report that the planner read."""
        is_unread = order.changes not in (None, self.guard.changes)
        return is_unread or order.worker != self.guard.worker_id()

    def _make_report(self, lists: WorkerRuns | None = None) -> Report:
        guard, now_ms = self.guard, self.clock.now_ms()
        info = guard.worker
        if info is not None and info.draining:
            remaining_ms = max(0, guard.drain_deadline_ms - now_ms)
            info = info._replace(leaves_in_ms=remaining_ms)
        return Report(
            basis=LeaseReference(guard.incarnation, now_ms),
            worker=info,
            lists_read=lists is not None,
            running=lists.running if lists else (),
            ended=lists.ended if lists else (),
            closed_below_ms=guard.closed_below_ms,
            changes=guard.changes,
            is_whole=lists is None or lists.is_whole,
            leases_expire_in_ms=max(0, guard.leases_expire_ms - now_ms),
            cold_ms=max(0, guard.cold_until_ms - now_ms) if info else 0,
            is_settled=guard.is_settled(now_ms),
            late_leases_expire_in_ms=max(0, guard.late_lease_expiry_ms() - now_ms),
        )
