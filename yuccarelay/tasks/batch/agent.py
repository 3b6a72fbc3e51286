"""The task beside a worker: carries out a planner's orders there."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.agent import Heartbeat, WorkerGuard
from yuccarelay.core.batch.models import WorkerInfo
from yuccarelay.core.batch.protocol import (
    Answer,
    Declined,
    LeaseReference,
    Look,
    OldTerm,
    Order,
    Pace,
    Paced,
    Report,
    Start,
    Started,
    Stop,
    Stopped,
    Unanswered,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Listener
from yuccarelay.ports.worker import (
    Accepted,
    Fenced,
    NoAnswer,
    Refused,
    Worker,
    WorkerAnswer,
    WorkerRuns,
)
from yuccarelay.tasks.mailbox import Mailbox

# Calls of a worker's own machine are free on the users' platform.
HOLD_WAIT_MS = 300
# The planner waits 1.2 s for the end of an order; a call takes up to 0.25 s.
ORDER_TRIES = 3


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The worker reported about itself; `taken` is set once that is known."""

    beat: Heartbeat
    taken: asyncio.Future


@dataclass(frozen=True, slots=True)
class WorkerDeregistered:
    """The worker deregistered."""

    name: str
    taken: asyncio.Future


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """A planner sent an order."""

    request_id: int
    data: bytes


class WorkerAgentTask:
    """Owns what is known of the worker, and the calls to it."""

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
        self.work: set[asyncio.Task] = set()

    async def receive_heartbeat(self, beat: Heartbeat) -> None:
        """Take a heartbeat; returns once it is known."""
        taken = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(HeartbeatReceived(beat, taken))
        await taken

    async def deregister(self, name: str) -> None:
        """Take the end of the worker; returns once it is known."""
        taken = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(WorkerDeregistered(name, taken))
        await taken

    async def run(self) -> None:
        """Serve until cancelled, then close the socket."""
        self.listener.start(self._receive)
        try:
            while True:
                self._take(await self.inbox.get())
        finally:
            self.listener.close()

    def _receive(self, request_id: int, data: bytes) -> None:
        self.inbox.put_nowait(OrderReceived(request_id, data))

    def _take(self, message) -> None:
        match message:
            case HeartbeatReceived(beat, taken):
                self._take_heartbeat(beat)
                taken.set_result(None)
            case WorkerDeregistered(name, taken):
                if self.guard.take_deregistration(name):
                    self.journal.write('worker_left', {'worker': name})
                    self._wake()
                taken.set_result(None)
            case OrderReceived(request_id, data):
                task = asyncio.ensure_future(self._serve(request_id, data))
                self.work.add(task)
                task.add_done_callback(self.work.discard)

    def _take_heartbeat(self, beat: Heartbeat) -> None:
        before = self.guard.worker
        if not self.guard.take_heartbeat(beat, self.clock.now_ms()):
            fields = {'worker': beat.info.name, 'sequence': beat.sequence}
            self.journal.write('heartbeat_late', fields)
            return
        if has_changed(before, beat.info):
            self.journal.write(
                'worker_heard',
                {
                    'worker': beat.info.name,
                    'born_ms': beat.info.born_ms,
                    'draining': beat.info.draining,
                    'leaves_in_ms': beat.info.leaves_in_ms,
                },
            )
            self._wake()

    def _wake(self) -> None:
        """End the looks that wait for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, request_id: int, data: bytes) -> None:
        """Carry out one order and reply."""
        match batch_codec.decode(data):
            case Ok(order):
                answer = await self._carry_out(order)
            case Err(reason):
                self.journal.write('order_unreadable', {'reason': reason})
                answer = Declined('unreadable')
        self.listener.reply(request_id, batch_codec.encode(answer))

    async def _carry_out(self, order: Order) -> Answer:
        refused = self.guard.check_term(order.term)
        if refused is not None:
            return refused
        match order:
            case Look():
                return await self._poll(order)
            case Start():
                return await self._start(order)
            case Stop():
                return await self._stop(order)
            case Pace():
                answer = await self.worker.pace(order)
                return self._conclude(order, answer, Paced())
        return Declined('unknown_order')

    async def _poll(self, order: Look) -> Answer:
        worker = self.guard.worker_id()
        if worker is None or not order.call_worker:
            return await self._report_unasked(order)
        until_ms = None
        seen = 0
        if order.worker == worker:
            until_ms = self.guard.lease_end(order.basis, self.clock.now_ms())
            seen = order.seen
        found = await self._hold(worker.name, order, seen, until_ms)
        match found:
            case WorkerRuns(clock_ms, born_ms, running, ended) if (
                born_ms == worker.born_ms
            ):
                if worker == self.guard.worker_id():
                    self.guard.take_clock(clock_ms, self.clock.now_ms())
                    return self._make_report(True, running, ended)
            case Fenced():
                return OldTerm(order.term + 1)
            case Refused(reason) | NoAnswer(reason):
                self.journal.write(
                    'worker_silent', {'worker': worker.name, 'reason': reason}
                )
        return self._make_report(False)

    async def _hold(
        self,
        name: str,
        order: Look,
        seen: int,
        until_ms: int | None,
    ) -> WorkerRuns | Refused | Fenced | NoAnswer:
        """
        Hold until a run ends, there is other news, or the wait is over.

        The wait is cut into short calls: a stop of a run that is not there ends
        no call, and the planner waits for lists that were read after it.
        """
        changed = self.changed
        left_ms = order.wait_ms
        while True:
            wait_ms = min(left_ms, HOLD_WAIT_MS)
            found = await self.worker.hold(name, order.term, seen, wait_ms, until_ms)
            left_ms -= wait_ms
            quiet = isinstance(found, WorkerRuns) and not found.ended
            if not quiet or changed.is_set() or left_ms <= 0:
                return found

    async def _report_unasked(self, order: Look) -> Report:
        """Report from heartbeats once there is news, or after the wait."""
        try:
            async with asyncio.timeout(order.wait_ms / 1000):
                if order.worker == self.guard.worker_id():
                    await self.changed.wait()
        except TimeoutError:
            pass
        return self._make_report(False)

    def _make_report(self, lists_read: bool, running=(), ended=()) -> Report:
        guard, now_ms = self.guard, self.clock.now_ms()
        info = guard.worker
        if info is not None and info.draining:
            left_ms = max(0, guard.drain_deadline_ms - now_ms)
            info = info._replace(leaves_in_ms=left_ms)
        return Report(
            basis=LeaseReference(guard.incarnation, now_ms),
            worker=info,
            lists_read=lists_read,
            running=running,
            ended=ended,
            closed_below_ms=guard.closed_below_ms,
        )

    async def _start(self, order: Start) -> Answer:
        declined = self.guard.check_start(order.worker)
        if declined is not None:
            return declined
        until_ms = self.guard.lease_end(order.basis, self.clock.now_ms())
        if until_ms is None:
            return Declined('lease_over')
        answer, tries = await retry_order(
            lambda: self.worker.start(order, until_ms),
        )
        self._wake()
        return self._conclude(order, answer, Started(repeated=tries > 1))

    async def _stop(self, order: Stop) -> Answer:
        if order.worker != self.guard.worker_id():
            return Declined('other_worker')
        answer, _ = await retry_order(lambda: self.worker.stop(order))
        self._wake()
        return self._conclude(order, answer, Stopped())

    def _conclude(
        self, order: Start | Stop | Pace, answer: WorkerAnswer, done
    ) -> Answer:
        """Return the answer to an order, and write a line about it."""
        result: Answer
        match answer:
            case Accepted(clock_ms):
                if clock_ms is not None and order.worker == self.guard.worker_id():
                    self.guard.take_clock(clock_ms, self.clock.now_ms())
                result = done
            case Refused(reason):
                result = Declined(reason)
            case Fenced():
                result = OldTerm(order.term + 1)
            case NoAnswer(reason):
                result = Unanswered(reason)
        self.journal.write(
            'order_done',
            {
                'order': type(order).__name__,
                'task': order.task,
                'run': order.run,
                'term': order.term,
                'result': type(result).__name__,
                'reason': getattr(result, 'reason', ''),
            },
        )
        return result


async def retry_order(
    call: Callable[[], Awaitable[WorkerAnswer]],
) -> tuple[WorkerAnswer, int]:
    """
    Make a call to the worker, and again while it is not answered.

    Returns the last answer and the number of calls.

    A worker takes the same start or stop any number of times. A refusal after a
    call without an answer does not say that nothing was done: the run may have
    begun and ended in between.
    """
    answer = await call()
    for tries in range(2, ORDER_TRIES + 1):
        if not isinstance(answer, NoAnswer):
            return answer, tries - 1
        answer = await call()
        if isinstance(answer, Refused):
            return NoAnswer(f'repeated: {answer.reason}'), tries
    return answer, ORDER_TRIES


def has_changed(before: WorkerInfo | None, now: WorkerInfo) -> bool:
    """Whether a heartbeat tells a planner something new."""
    if before is None:
        return True
    return before._replace(leaves_in_ms=0) != now._replace(leaves_in_ms=0)
