"""The orders of a planner that an agent carries out on its worker."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from yuccarelay.core.batch.agent import WorkerGuard
from yuccarelay.core.batch.models import WorkerId
from yuccarelay.core.batch.protocol import (
    Answer,
    Declined,
    OldTerm,
    Pace,
    Paced,
    Start,
    Started,
    Stop,
    Stopped,
    Unanswered,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.worker import (
    Accepted,
    Fenced,
    NoAnswer,
    NotSent,
    OtherIncarnation,
    Refused,
    Worker,
    WorkerAnswer,
)

# The planner waits 1.2 s for the answer to an order; a call takes up to 0.25 s.
ORDER_TRIES = 3


class WorkerOrders:
    """
    Carries out orders on the incarnation of the worker that they are for.

    It is part of the agent's task, whose guard it shares. `wake_polls` ends the polls
    that wait for a change.
    """

    def __init__(
        self,
        guard: WorkerGuard,
        worker: Worker,
        clock: Clock,
        journal: Journal,
        wake_polls: Callable[[], None],
    ):
        self.guard = guard
        self.worker = worker
        self.clock = clock
        self.journal = journal
        self.wake_polls = wake_polls

    async def start(self, order: Start) -> Answer:
        """Start a run, unless the worker or the time is not the planned one."""
        declined = self.guard.check_start(
            order.worker, order.start_by_ms, self.clock.now_ms()
        )
        if declined is not None:
            return declined
        called = order.worker

        async def call() -> WorkerAnswer:
            nonlocal called
            called, answer = await self._call_start(order)
            return answer

        answer, sent = await retry_order(call)
        self.wake_polls()
        started = Started(repeated=sent > 1, born_ms=called.born_ms)
        return self._conclude(order, answer, started)

    async def _call_start(self, order: Start) -> tuple[WorkerId, WorkerAnswer]:
        """
        Start a run on the incarnation that it is for, or on its idle successor.

        Returns the incarnation that was called, and its answer.
        """
        guard = self.guard
        worker = guard.find_called(order.worker)
        answer = await self._start_on(worker, order)
        if isinstance(answer, OtherIncarnation):
            await self.take_other_birth(worker, answer, order.term)
            successor = guard.find_called(worker)
            if guard.may_start_on_successor(self.clock.now_ms()):
                return successor, await self._start_on(successor, order)
        return worker, answer

    async def _start_on(self, worker: WorkerId, order: Start) -> WorkerAnswer:
        """Start a run on one incarnation, with a lease on its clock."""
        until_ms = self.guard.extend_lease(order.basis, self.clock.now_ms())
        if until_ms is None:
            return Refused('lease_over')
        answer = await self.worker.start(replace(order, worker=worker), until_ms)
        if isinstance(answer, NoAnswer):
            start = (order.task, order.run)
            self.guard.note_unanswered(worker, self.clock.now_ms(), start=start)
        return answer

    async def stop(self, order: Stop) -> Answer:
        """Stop a run, or refuse its start from now on."""
        if order.worker != self.guard.worker_id():
            return Declined('other_worker')
        answer, _ = await retry_order(lambda: self.worker.stop(order))
        self.wake_polls()
        return self._conclude(order, answer, Stopped())

    async def pace(self, order: Pace) -> Answer:
        """Limit the speed of a run."""
        return self._conclude(order, await self.worker.pace(order), Paced())

    async def take_other_birth(
        self, called: WorkerId, found: OtherIncarnation, term: int
    ) -> None:
        """Handle the answer of another incarnation than the one that was called."""
        if called != self.guard.worker_id() or not found.born_ms:
            return
        now_ms = self.clock.now_ms()
        self.guard.take_other_birth(
            found.born_ms, found.clock_ms, now_ms, is_idle=found.is_idle
        )
        self.journal.write(
            'worker_reborn',
            {
                'worker': called.name,
                'born_ms': found.born_ms,
                'known': called.born_ms,
                'takes_starts': self.guard.may_start_on_successor(now_ms),
            },
        )
        self.wake_polls()
        await self.refuse_late_starts(called.name, found.born_ms, term)

    async def refuse_late_starts(self, name: str, born_ms: int, term: int) -> bool:
        """
        Let an incarnation refuse the starts that earlier ones have not answered.

        They may have been stopped and replaced since, which it cannot know.
        """
        worker = WorkerId(self.guard.node, name, born_ms)
        starts = self.guard.late_calls.list_starts(born_ms, self.clock.now_ms())
        for task, run in starts:
            answer = await self.worker.stop(Stop(term, worker, task, run))
            result = type(answer).__name__
            fields = {'task': task, 'run': run, 'born_ms': born_ms, 'result': result}
            self.journal.write('late_start_refused', fields)
            if not isinstance(answer, Accepted):
                return False
        return True

    def _conclude(
        self, order: Start | Stop | Pace, answer: WorkerAnswer, done
    ) -> Answer:
        """Return the answer to an order, and log it."""
        result: Answer
        match answer:
            case Accepted(clock_ms):
                if clock_ms is not None and order.worker == self.guard.worker_id():
                    self.guard.take_clock(clock_ms, self.clock.now_ms())
                result = done
            case Refused(reason) | NotSent(reason):
                result = Declined(reason)
            case OtherIncarnation():
                result = Declined('other_worker')
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
    Make a call to the worker, and retry while it is not answered.

    Returns the last answer and the number of calls that were sent.

    Starts and stops are idempotent on the worker. A refusal after a call without
    an answer does not mean that nothing was done: the run may have begun and
    ended in between.
    """
    answer: WorkerAnswer = NotSent('no call')
    unanswered: NoAnswer | None = None
    sent = 0
    for _ in range(ORDER_TRIES):
        answer = await call()
        sent += not isinstance(answer, NotSent)
        match answer:
            case NotSent():
                continue
            case NoAnswer():
                unanswered = answer
            case Refused(reason) if unanswered is not None:
                return NoAnswer(f'repeated: {reason}'), sent
            case OtherIncarnation() if unanswered is not None:
                return NoAnswer('repeated: other_worker'), sent
            case _:
                return answer, sent
    return unanswered or answer, sent
