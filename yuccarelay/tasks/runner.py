"""Task that runs members of jobs on the target and retains their answers."""

import asyncio
import hashlib

from result import Err, Ok

from yuccarelay.core.effects import (
    DropAnswer,
    RenewTasks,
    Reply,
    ServeAnswer,
    StartTask,
    StopTask,
)
from yuccarelay.core.events import AnswerFetched, TaskEnded, TaskStarted
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.target import (
    CALL_CONNECTIONS,
    Target,
    TargetTask,
    TaskAnswer,
    TaskState,
)
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.retained_answers import RetainedAnswer, RetainedAnswers

CONNECTION_LIMIT = 64
ANSWER_MEMORY_BYTES = 32_000_000
# An answer up to this length also goes into the job's record.
SHORT_ANSWER_BYTES = 8_000
# The target counts a lease from the arrival of a call, which is later than its
# sending by at most the timeout of a call.
LEASE_MARGIN_MS = 1_000
WAIT_ATTEMPTS = 6
RETRY_PAUSE_S = 0.5


class RunningTask:
    """
    The runner's view of a task on the target.

    `confirmed_deadline_ms` is the lease deadline that the target has confirmed.
    `possible_deadline_ms` is the latest one that it may have, because of a call
    without a response.
    """

    def __init__(self, lease_deadline_ms: int):
        self.confirmed_deadline_ms = lease_deadline_ms
        self.possible_deadline_ms = lease_deadline_ms
        self.started = False
        self.stop: StopTask | None = None


class RunnerTask:
    """
    Carries out an agent's effects on its target.

    Reads `StartTask`, `StopTask`, `RenewTasks`, `ServeAnswer` and `DropAnswer`
    from `inbox`. Puts `TaskStarted` and exactly one `TaskEnded` for each
    `StartTask` into `state_machine`, and `Reply` into `listener`. A `StartTask` for a
    task that is still running is ignored.
    """

    def __init__(
        self,
        target: Target,
        inbox: Mailbox,
        state_machine: Mailbox,
        listener: Mailbox,
        clock: Clock,
        connection_limit: int = CONNECTION_LIMIT,
        answer_memory_bytes: int = ANSWER_MEMORY_BYTES,
    ):
        self.target = target
        self.inbox = inbox
        self.state_machine = state_machine
        self.listener = listener
        self.clock = clock
        self.task_limit = connection_limit - CALL_CONNECTIONS
        self.answers = RetainedAnswers(answer_memory_bytes)
        self.running: dict[str, RunningTask] = {}

    async def run(self) -> None:
        """Carry out effects until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    self._carry_out(await self.inbox.get(), group)
        finally:
            self.target.close()

    def _carry_out(self, effect: object, group: asyncio.TaskGroup) -> None:
        """Carry out an effect; calls to the target run in tasks of their own."""
        match effect:
            case StartTask():
                self._start(effect, group)
            case StopTask(task_id):
                self._stop(task_id, effect, group)
            case RenewTasks(task_ids, lease_deadline_ms):
                group.create_task(self._renew(task_ids, lease_deadline_ms))
            case ServeAnswer():
                self._serve(effect)
            case DropAnswer(task_id):
                self.answers.drop(task_id)

    def _start(self, start: StartTask, group: asyncio.TaskGroup) -> None:
        """Start a task if the connection limit allows it."""
        if start.task_id in self.running:
            return
        if len(self.running) >= self.task_limit:
            self._report_end(start.task_id, False, 'connection limit of the target')
            return
        self.running[start.task_id] = RunningTask(start.lease_deadline_ms)
        group.create_task(self._run_task(start))

    async def _run_task(self, start: StartTask) -> None:
        """Run a task from its start to its end."""
        task = self.running[start.task_id]
        lease_ms = start.lease_deadline_ms - self.clock.now_ms()
        if lease_ms <= 0:
            self._report_end(start.task_id, False, 'lease lapsed before the start')
            return
        request = TargetTask(
            task_id=start.task_id,
            job_name=start.job_name,
            member=start.member,
            accelerators=start.accelerators,
            payload=start.payload,
            lease_ms=lease_ms,
        )
        match await self.target.start(request):
            case Err(failure) if not failure.ambiguous:
                self._report_end(start.task_id, False, failure.reason)
            case Err(failure):
                # The start may still arrive after a stop, so only the expiry of
                # the lease proves that the task does not run.
                await self._await_stopped(start.task_id, task, trust_stop=False)
                reason = f'start without a response: {failure.reason}'
                self._report_end(start.task_id, True, reason)
            case Ok(_):
                task.started = True
                self.state_machine.put_nowait(TaskStarted(start.task_id))
                await self._monitor_task(start.task_id, task)

    async def _monitor_task(self, task_id: str, task: RunningTask) -> None:
        """Wait for the end of a started task and report it."""
        if task.stop:
            await self._send_stop(task_id, task.stop.checkpoint)
        result = await self._await_end(task_id, task)
        match result:
            case Ok(answer) if answer.state is TaskState.COMPLETED:
                self._retain_answer(task_id, answer)
            case Ok(answer):
                reason = answer.reason or answer.state.value
                has_checkpoint = answer.state is TaskState.CHECKPOINTED
                self._report_end(task_id, True, reason, checkpointed=has_checkpoint)
            case Err(reason):
                await self._await_stopped(task_id, task, trust_stop=True)
                self._report_end(task_id, True, reason)

    async def _await_end(
        self,
        task_id: str,
        task: RunningTask,
    ) -> Ok[TaskAnswer] | Err[str]:
        """Wait for the answer as long as the target confirms the lease."""
        waiting = asyncio.create_task(self._wait_answer(task_id))
        try:
            while not waiting.done():
                end_ms = task.confirmed_deadline_ms + LEASE_MARGIN_MS
                remaining_ms = end_ms - self.clock.now_ms()
                if remaining_ms <= 0:
                    return Err('target not reached before the lease lapsed')
                await asyncio.wait([waiting], timeout=remaining_ms / 1000)
            return waiting.result()
        finally:
            waiting.cancel()

    async def _wait_answer(self, task_id: str) -> Ok[TaskAnswer] | Err[str]:
        """Wait for the answer on an open connection; retry when it is lost."""
        reason = ''
        for _ in range(WAIT_ATTEMPTS):
            match await self.target.wait_answer(task_id):
                case Ok(answer):
                    return Ok(answer)
                case Err(failure):
                    reason = failure.reason
                    await asyncio.sleep(RETRY_PAUSE_S)
        return Err(f'no answer of the target: {reason}')

    async def _await_stopped(
        self,
        task_id: str,
        task: RunningTask,
        trust_stop: bool,
    ) -> None:
        """Stop a task of unknown state, or wait until its lease has expired."""
        # Excludes the task from further renewals.
        task.started = False
        while self.clock.now_ms() < task.possible_deadline_ms + LEASE_MARGIN_MS:
            stopped = await self.target.stop(task_id, checkpoint=False)
            if stopped.is_ok() and trust_stop:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _stop(self, task_id: str, stop: StopTask, group: asyncio.TaskGroup) -> None:
        """Stop a task, or record that it has to stop once it is started."""
        task = self.running.get(task_id)
        if task is None:
            return
        task.stop = stop
        if task.started:
            group.create_task(self._send_stop(task_id, stop.checkpoint))

    async def _send_stop(self, task_id: str, checkpoint: bool) -> None:
        """Send a stop until the target confirms it; otherwise the lease expires."""
        for _ in range(WAIT_ATTEMPTS):
            stopped = await self.target.stop(task_id, checkpoint)
            if stopped.is_ok() or task_id not in self.running:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _renew(self, task_ids: tuple[str, ...], deadline_ms: int) -> None:
        """Renew the leases of started tasks in one call."""
        tasks = {
            task_id: self.running[task_id]
            for task_id in task_ids
            if task_id in self.running and self.running[task_id].started
        }
        lease_ms = deadline_ms - self.clock.now_ms()
        if not tasks or lease_ms <= 0:
            return
        for task in tasks.values():
            task.possible_deadline_ms = max(task.possible_deadline_ms, deadline_ms)
        renewed = await self.target.renew(tuple(tasks), lease_ms)
        for task_id in renewed.unwrap_or(frozenset()) & tasks.keys():
            task = tasks[task_id]
            task.confirmed_deadline_ms = max(task.confirmed_deadline_ms, deadline_ms)

    def _retain_answer(self, task_id: str, answer: TaskAnswer) -> None:
        """Retain the answer of a completed task if it fits into memory."""
        length = len(answer.data)
        sha256 = hashlib.sha256(answer.data).hexdigest()
        if not self.answers.retain(task_id, RetainedAnswer(answer.data, sha256)):
            reason = f'no memory for an answer of {length} bytes'
            self._report_end(task_id, True, reason)
            return
        short = length <= SHORT_ANSWER_BYTES
        if short:
            self.answers.mark_served(task_id)
        self.running.pop(task_id)
        ended = TaskEnded(
            task_id=task_id,
            completed=True,
            started=True,
            length=length,
            sha256=sha256,
            data=answer.data if short else b'',
        )
        self.state_machine.put_nowait(ended)

    def _report_end(
        self,
        task_id: str,
        started: bool,
        reason: str,
        checkpointed: bool = False,
    ) -> None:
        """Report a task that did not complete."""
        self.running.pop(task_id, None)
        ended = TaskEnded(
            task_id=task_id,
            completed=False,
            started=started,
            checkpointed=checkpointed,
            reason=reason,
        )
        self.state_machine.put_nowait(ended)

    def _serve(self, serve: ServeAnswer) -> None:
        """Reply with a chunk, and report an answer once it is fetched to its end."""
        task_id = f'{serve.attempt_id}/{serve.member}'
        served = self.answers.is_served(task_id)
        reply = Reply(reply_to=serve.reply_to, message=self.answers.read(serve))
        self.listener.put_nowait(reply)
        if not served and self.answers.is_served(task_id):
            self.state_machine.put_nowait(AnswerFetched(task_id))
