"""Simulated target that runs tasks under leases and records each run."""

import json
from typing import TYPE_CHECKING, NamedTuple

from yuccarelay.core.effects import RenewTasks, StartTask, StopTask
from yuccarelay.core.events import TaskEnded, TaskStarted

if TYPE_CHECKING:
    from yuccarelay.standins.simulation import Simulation
    from yuccarelay.standins.simulation_types import Process

START_DELAY_MS = 5
STOP_DELAY_MS = 20


class Run(NamedTuple):
    """One run of a member; `end_ms` is None while it runs."""

    task_id: str
    worker_id: str
    started_ms: int
    lease_deadline_ms: int
    accelerators: int
    end_ms: int | None = None
    completed: bool = False

    @property
    def job_id(self) -> str:
        """Id of the job that this run belongs to."""
        return self.task_id.rpartition('.')[0]

    @property
    def attempt_id(self) -> str:
        """Id of the attempt that this run belongs to."""
        return self.task_id.rpartition('/')[0]


class SimulatedTarget:
    """
    The platform's task service on one worker.

    It ends a task whose lease expires, whether or not the agent is running. The
    payload of a task is JSON with the fields `run_ms`, `fail` and `ignores_stop`. A
    task with `ignores_stop` runs until it finishes or its lease expires.
    """

    def __init__(self, simulation: 'Simulation', worker_id: str):
        self.simulation = simulation
        self.worker_id = worker_id
        self.runs: dict[str, Run] = {}
        self.fails_everything = False
        self.ignoring_stop: set[str] = set()
        self.slow_factor = 1.0

    def take(self, agent: 'Process', effect: object) -> None:
        """Execute an effect of an agent."""
        match effect:
            case StartTask():
                self._start(agent, effect)
            case StopTask(task_id, checkpoint):
                self.simulation.at(
                    STOP_DELAY_MS,
                    lambda: self._stop(agent, task_id, checkpoint),
                )
            case RenewTasks(task_ids, deadline_ms):
                for task_id in task_ids:
                    run = self.runs.get(task_id)
                    if run is not None and run.end_ms is None:
                        self.runs[task_id] = run._replace(lease_deadline_ms=deadline_ms)

    def end_all_tasks(self) -> None:
        """End all tasks at once, as when the machine is lost."""
        for task_id, run in self.runs.items():
            if run.end_ms is None:
                self.runs[task_id] = run._replace(end_ms=self.simulation.now_ms)

    def _start(self, agent: 'Process', effect: StartTask) -> None:
        if effect.task_id in self.runs:
            return
        work = json.loads(effect.payload or b'{}')
        now_ms = self.simulation.now_ms
        self.runs[effect.task_id] = Run(
            task_id=effect.task_id,
            worker_id=self.worker_id,
            started_ms=now_ms,
            lease_deadline_ms=effect.lease_deadline_ms,
            accelerators=effect.accelerators,
        )
        self.simulation.at(
            START_DELAY_MS,
            lambda: self.simulation.deliver(agent, TaskStarted(effect.task_id)),
        )
        if work.get('ignores_stop'):
            self.ignoring_stop.add(effect.task_id)
        run_ms = int(work.get('run_ms', 100) * self.slow_factor)
        if self.fails_everything:
            run_ms = START_DELAY_MS * 2
        fails = self.fails_everything or bool(work.get('fail'))
        self.simulation.at(run_ms, lambda: self._finish(agent, effect.task_id, fails))
        self._watch_lease(agent, effect.task_id)

    def _watch_lease(self, agent: 'Process', task_id: str) -> None:
        run = self.runs[task_id]
        if run.end_ms is not None:
            return
        left_ms = run.lease_deadline_ms - self.simulation.now_ms
        if left_ms > 0:
            self.simulation.at(left_ms, lambda: self._watch_lease(agent, task_id))
        else:
            self._end(agent, task_id, completed=False, reason='lease expired')

    def _finish(self, agent: 'Process', task_id: str, fails: bool) -> None:
        if self.runs[task_id].end_ms is None:
            reason = 'exit status 1' if fails else ''
            self._end(agent, task_id, completed=not fails, reason=reason)

    def _stop(self, agent: 'Process', task_id: str, checkpoint: bool) -> None:
        run = self.runs.get(task_id)
        if run is not None and run.end_ms is None and task_id not in self.ignoring_stop:
            self._end(
                agent,
                task_id,
                completed=False,
                reason='stopped',
                checkpointed=checkpoint,
            )

    def _end(
        self,
        agent: 'Process',
        task_id: str,
        completed: bool,
        reason: str,
        checkpointed: bool = False,
    ) -> None:
        self.runs[task_id] = self.runs[task_id]._replace(
            end_ms=self.simulation.now_ms,
            completed=completed,
        )
        event = TaskEnded(
            task_id=task_id,
            completed=completed,
            started=True,
            checkpointed=checkpointed,
            reason=reason,
            length=len(task_id),
            sha256='',
        )
        self.simulation.deliver(agent, event)
