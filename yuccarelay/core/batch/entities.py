"""Mutable entities of the planner: jobs, runs that may exist, and workers."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.advice import StepAdvice
from yuccarelay.core.batch.models import (
    ENDED,
    Job,
    JobRecord,
    JobState,
    Resources,
    Step,
    TaskId,
    TaskRecord,
    TaskStage,
    WorkerId,
    WorkerInfo,
)
from yuccarelay.core.batch.pacing import FULL_PERCENT
from yuccarelay.core.batch.protocol import AgentAddress, LeaseReference, Look
from yuccarelay.core.batch.worker_speeds import Machine


class Moment(NamedTuple):
    """The current time, on the process's clock and as the time of day."""

    ms: int
    wall_ms: int


class RunStage(enum.Enum):
    """
    State of a run in the planner's records.

    RECORDING: its record is not saved yet, and no start was ordered. ORDERED: the
    start has not been answered. RUNNING: the worker confirmed the run. UNCERTAIN:
    it may be running, but no report of this term has mentioned it. STOPPING: a stop
    is ordered. STOPPED: the worker accepted the stop; its lists show whether the
    run has ended.
    """

    RECORDING = 'recording'
    ORDERED = 'ordered'
    RUNNING = 'running'
    UNCERTAIN = 'uncertain'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


STOP_STAGES = frozenset({RunStage.STOPPING, RunStage.STOPPED})


@dataclass(slots=True)
class Run:
    """
    A run that may exist on a worker; it holds resources until it is released.

    `version` is the first version of the job's record that has all runs of the unit.
    `since_ms` is when the stage began. `percent` was first reported at
    `percent_since_ms`. `listed` means that this incarnation of the worker listed it
    as running, and `start_repeated` that a lost start may still be carried out.
    A stop that has not been answered is sent again at `stop_due_ms`; `stop_reason` is
    why the run was stopped, empty while it was not.
    `seen_running_ms` is when a report last listed it as running, 0 if none has;
    `has_survived` is set if that was some time after the start. `lost_with_worker` is
    set once its worker is known to have ended under it. `is_beside_new` means that new
    runs of other jobs were or came beside it, or that this is not known.
    `is_from_start` means that it began without a checkpoint.
    `recent_metric` is the worker's metric over the last half second. `pace` is the
    ordered speed in percent of full speed, None while it is not known.
    """

    task: TaskId
    number: int
    worker: WorkerId
    need: Resources
    stage: RunStage
    since_ms: int
    version: int = 0
    started_ms: int = 0
    checkpoint: str = ''
    is_from_start: bool = True
    percent: float = 0
    percent_since_ms: int = 0
    saved_ms: int = 0
    stops_sent: int = 0
    stop_due_ms: int = 0
    stop_reason: str = ''
    listed: bool = False
    seen_running_ms: int = 0
    has_survived: bool = False
    is_beside_new: bool = False
    lost_with_worker: bool = False
    start_repeated: bool = False
    recent_metric: float = 0
    pace: int | None = FULL_PERCENT
    pace_sent_ms: int = 0
    unsettled_log_due_ms: int = 0
    slow_multiple: int = 0
    gang_multiple: int = 0

    def move(self, stage: RunStage, now_ms: int) -> None:
        """Change the stage and note when it began."""
        self.stage = stage
        self.since_ms = now_ms
        self.unsettled_log_due_ms = 0


class Unit(NamedTuple):
    """Tasks that are placed together: all tasks of a gang, or a single task."""

    job: str
    occurrence: int
    step: int
    tasks: tuple[TaskId, ...]


class Reservation(NamedTuple):
    """
    Resources on workers that are reserved for a unit until `until_ms`.

    In a fleet that is mostly idle others may use them before `backfill_until_ms`, and
    if they end before `start_ms`, when the unit is expected to start.
    """

    placement: tuple[str, ...]
    need: Resources
    until_ms: int
    backfill_until_ms: int = 0
    start_ms: float = 0


class WorkerLoss(NamedTuple):
    """
    The end of a worker that was not draining, when it was noticed.

    `jobs` are those with new runs on it. `is_explained` means that its only new runs
    were those of a job under which a worker had crashed before.
    """

    agent: str
    noticed_ms: int
    jobs: frozenset[str]
    is_explained: bool


class PendingCrash(NamedTuple):
    """A crash right after the start of a run, to be decided at `decide_at_ms`."""

    task: TaskId
    run: int
    agent: str
    started_ms: int
    noticed_ms: int
    decide_at_ms: int


@dataclass(slots=True)
class Wait:
    """
    The wait of a unit that may start, and how often it was passed over.

    A unit on probation that had workers reserved starts at `settled_by_ms` even if
    other runs there are still new; 0 if it had none. `declined` is why no other work
    was last stopped for it, empty if that was not asked. `beside_idle_ms` is since when
    a last attempt has waited in a fleet that is mostly idle, 0 if it is not, and
    `is_held_back` is set once a last attempt has waited for a better chance.
    """

    since_ms: int
    passes: int = 0
    settled_by_ms: int = 0
    declined: str = ''
    beside_idle_ms: int = 0
    is_held_back: bool = False


@dataclass(slots=True)
class JobPlan:
    """
    A job with its record and the runs that may exist.

    `version` counts changes of the record; `saved` is the last version that the
    store confirmed. `accepted_ms` is on the planner's clock. `displaced_core_s`
    is the work of other jobs that was lost to preemption for this one. The last failure
    of a step was noticed at `failed_ms`.
    `failed_on` has the workers that a step avoids because it failed there, and until
    when. `failed_starts` has those that failed tasks of it right after their start,
    which tasks and when, until that counts against them.
    `waits` has the units that may start, by the first of their tasks. The next log line
    about a step that waits is due at `wait_log_due_ms`.
    `crashes_in_a_row` counts the workers that have crashed under a task, attributed to
    it or not; such a task does not start again before `held_until_ms`.
    """

    job: Job
    accepted_ms: int
    tasks: dict[tuple[int, int, int], TaskRecord] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    begun: bool = False
    ended_at_ms: int = 0
    cancelled: bool = False
    version: int = 0
    saved: int = 0
    checkpoints_ms: int = 0
    runs: dict[TaskId, Run] = field(default_factory=dict)
    retry_at_ms: dict[tuple[int, int], int] = field(default_factory=dict)
    ready_ms: dict[tuple[int, int], int] = field(default_factory=dict)
    waits: dict[tuple[int, int, int], Wait] = field(default_factory=dict)
    wait_log_due_ms: dict[tuple[int, int], int] = field(default_factory=dict)
    failed_on: dict[tuple[int, int], dict[WorkerId, int]] = field(default_factory=dict)
    failed_starts: dict[tuple[int, int], dict[WorkerId, dict[TaskId, int]]] = field(
        default_factory=dict
    )
    failed_ms: dict[tuple[int, int], int] = field(default_factory=dict)
    displaced_core_s: float = 0
    crashes_in_a_row: dict[tuple[int, int, int], int] = field(default_factory=dict)
    held_until_ms: dict[tuple[int, int, int], int] = field(default_factory=dict)
    advice: dict[tuple[int, int], StepAdvice] = field(default_factory=dict)

    @property
    def ended(self) -> bool:
        """Whether no task of the job may be started any more."""
        return self.state in ENDED or self.cancelled

    def task(self, task: TaskId) -> TaskRecord:
        """Return the recorded state of a task."""
        return self.tasks.get(task[1:], TaskRecord())

    def has_failed(self, tasks: tuple[TaskId, ...]) -> bool:
        """Whether one of some tasks has failed or may have crashed its worker."""
        for task in tasks:
            record = self.tasks.get(task[1:])
            if record is not None and (record.failures or record.crashes):
                return True
        return False

    def put(self, task: TaskId, record: TaskRecord) -> None:
        """Change the recorded state of a task."""
        self.tasks[task[1:]] = record
        self.version += 1

    def step(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.job.steps[task.step]

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.job.repetitions)

    def due_wall_ms(self, occurrence: int) -> int:
        """Return the time of day at which an occurrence may start."""
        if not self.job.repetitions:
            return 0
        return self.job.first_run_ms + occurrence * self.job.interval_ms

    def step_tasks(self, occurrence: int, step: int) -> tuple[TaskId, ...]:
        """Return the tasks of a step of one occurrence."""
        count = self.job.steps[step].count
        return tuple(TaskId(self.job.id, occurrence, step, i) for i in range(count))

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step are recorded as done."""
        return all(
            self.task(task).stage is TaskStage.DONE
            for task in self.step_tasks(occurrence, step)
        )

    def is_done(self) -> bool:
        """Whether all tasks of all occurrences are recorded as done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.occurrences())
            for step in range(len(self.job.steps))
        )

    def record(self) -> JobRecord:
        """
        Return the record to be saved.

        Once a job has ended and none of its runs is left, only its state is needed.
        All entries read all records, so those of ended jobs should be small.
        """
        tasks = {}
        if self.runs or not self.ended:
            tasks = {'.'.join(map(str, key)): task for key, task in self.tasks.items()}
        return JobRecord(self.state, self.begun, self.ended_at_ms, tasks)

    def load(self, record: JobRecord) -> None:
        """Restore the state from a record; tasks that the job lacks are left out."""
        self.state = record.state
        self.begun = record.begun
        self.ended_at_ms = record.ended_at_ms
        for key, task in record.tasks.items():
            occurrence, step, index = (int(part) for part in key.split('.'))
            if step < len(self.job.steps) and index < self.job.steps[step].count:
                self.tasks[occurrence, step, index] = task


@dataclass(slots=True)
class WorkerView:
    """
    The planner's view of one agent and its worker.

    `inherited_expiry_ms` is when the leases of earlier planners have expired, and
    `own_expiry_ms` when those of this one have, unless they are extended again.
    `read_ms` is when its lists were last read; it goes back to 0 when the agent stops
    answering or the worker's incarnation changes. `seen` is the number of the last
    ended run that is recorded, and `acknowledged_end` the last one acknowledged to the
    worker. `ends` maps the numbers of listed ended runs to the job and the version of
    its record that must be saved before they are acknowledged.
    `has_drained` is whether the incarnation before this one was draining when it ended.
    `has_orphans` means that it lists a run without a record, whose resources are not
    known. Until it `is_settled`, late calls may make it forget ended runs.
    `suspect_until_ms` follows a failed run, because the worker may be the cause, and
    `proven_until_ms` one that made progress or was done. Of its runs that failed and of
    those that went on for a while or were done, the latest were started at
    `failed_start_ms` and `sound_start_ms`.
    `is_silent` means that its agent does not answer, since `silent_since_ms`, and
    `agent_changed_ms` is when its process was last replaced, 0 if never. The worker is
    slow until `cold_until_ms`, because it has started lately.
    `poll` is the poll that has not been answered yet, and `changes` the agent's count
    in the last report. Until `unstable_until_ms` it gets work after other workers,
    because it has crashed and may do so again.
    `known_machine` was made of `machine_source`, the labels and the place in a report.
    It is asked for with each run in each tick and pass, and labels rarely change.
    """

    agent: str
    agent_address: AgentAddress
    inherited_expiry_ms: int
    own_expiry_ms: int = 0
    info: WorkerInfo | None = None
    id: WorkerId | None = None
    basis: LeaseReference | None = None
    basis_received_ms: int = 0
    closed_below_ms: int = 0
    read_ms: int = 0
    read_started_ms: int = 0
    drain_deadline_ms: int = 0
    cold_until_ms: int = 0
    has_drained: bool = False
    poll_sent_ms: int = 0
    poll: Look | None = None
    is_silent: bool = False
    silent_since_ms: int = 0
    agent_changed_ms: int = 0
    changes: int | None = None
    poll_due_ms: int = 0
    seen: int = 0
    acknowledged_end: int = 0
    ends: dict[int, tuple[str, int]] = field(default_factory=dict)
    runs: dict[TaskId, Run] = field(default_factory=dict)
    avoid_until_ms: int = 0
    unstable_until_ms: int = 0
    suspect_until_ms: int = 0
    proven_until_ms: int = 0
    failed_start_ms: int = 0
    sound_start_ms: int = 0
    failures: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    orphaned_runs: dict[tuple[str, int], int] = field(default_factory=dict)
    has_orphans: bool = False
    is_settled: bool = True
    machine_source: tuple = ()
    known_machine: Machine | None = None

    def used(self) -> Resources:
        """Return the resources held by all runs that may exist on the worker."""
        total = Resources()
        for run in self.runs.values():
            total = total.plus(run.need)
        return total

    @property
    def lease_expiry_ms(self) -> int:
        """When all leases of the worker's runs have expired."""
        return max(self.inherited_expiry_ms, self.own_expiry_ms)

    def extend_lease(self, expiry_ms: int) -> None:
        """Note that a lease was ordered which has expired at a time."""
        self.own_expiry_ms = max(self.own_expiry_ms, expiry_ms)

    @property
    def is_polling(self) -> bool:
        """Whether a poll has not been answered yet."""
        return self.poll is not None

    def machine(self) -> Machine:
        """Return the worker as its speed is known: its kind has no label of a place."""
        info = self.info
        if info is None:
            return Machine(self.agent)
        source = (info.labels, info.rack, info.domain)
        if self.known_machine is None or self.machine_source != source:
            kind = ','.join(label for label in info.labels if label not in source[1:])
            self.known_machine = Machine(self.agent, kind)
            self.machine_source = source
        return self.known_machine

    def rack(self) -> str:
        """Return the rack of the worker, or an empty string if it is not known."""
        return self.info.rack if self.info else ''
