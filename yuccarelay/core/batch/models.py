"""
Jobs of several steps, their records, workers and the configuration.

A job has steps, a step has tasks. A job with occurrences runs all its steps
once for each of them. Times of day are Unix milliseconds; all other times are
milliseconds of the process's clock.
"""

import enum
import functools
import re
from typing import NamedTuple


class Resources(NamedTuple):
    """Resources of a task or a worker. One core is 1,000 millicores."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference; parts of it may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: 'Resources') -> bool:
        """Whether these resources are enough for `other`."""
        return (
            self.accelerators >= other.accelerators
            and self.millicores >= other.millicores
            and self.memory_mb >= other.memory_mb
        )


# Cores that an accelerator counts for when amounts of work are compared.
CORES_PER_ACCELERATOR = 8


def count_cores(need: Resources) -> float:
    """Return the cores of a task, with accelerators converted to cores."""
    return need.millicores / 1000 + need.accelerators * CORES_PER_ACCELERATOR


class Step(NamedTuple):
    """
    Tasks of one kind within a job.

    `after` lists the numbers of the steps whose tasks must all be done first.
    `label` is required of the worker. The tasks take several times as long on racks
    other than `data_rack` or, with `same_rack`, on more than one rack. `per_worker`
    limits the tasks of one occurrence on a worker; 0 means no limit. `target_ms` is
    the target for the tail of the response times of a latency-sensitive task, 0 for
    other tasks. `best_effort` means that a task takes only processor time left by
    others, and `max_unavailable` is how many tasks of a long-running step may be
    unavailable when the scheduler evicts some, -1 for any number.
    """

    count: int
    need: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    speculative: bool = False
    is_long_running: bool = False
    image: str = ''
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = -1


class Job(NamedTuple):
    """
    An accepted job; it never changes.

    Occurrence K of a job with `repetitions` is due at `first_run_ms` + K x
    `interval_ms`, as Unix milliseconds. `accepted_at_ms` is the time of day at
    the entry that accepted the job.
    """

    id: str
    queue: str
    organisation: str
    specification: str
    steps: tuple[Step, ...]
    accepted_at_ms: int
    first_run_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0


class JobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskId(NamedTuple):
    """A task: its job, occurrence, step and index within the step."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'


TASK_NUMBER = re.compile(r'[0-9]{1,9}')
# Each report names all runs of a worker. It is more than a large fleet runs at a time.
PARSED_LIMIT = 16_384


@functools.lru_cache(maxsize=PARSED_LIMIT)
def parse_task_id(text: str) -> TaskId | None:
    """Return the task id in a text, or None if it is malformed."""
    parts = text.split('.')
    if len(parts) != 4 or not all(TASK_NUMBER.fullmatch(part) for part in parts[1:]):
        return None
    return TaskId(parts[0], *(int(part) for part in parts[1:]))


class WorkerId(NamedTuple):
    """
    One incarnation of a worker; `born_ms` distinguishes those with the same name.

    `agent` is the node of the co-located agent.
    """

    agent: str
    name: str
    born_ms: int


class TaskStage(enum.IntEnum):
    """
    Recorded stage of a task.

    `ASSIGNED` means that a start of its run may have been ordered; only the
    worker's lists or the expiry of its lease prove that it is not running.
    """

    WAITING = 0
    ASSIGNED = 1
    DONE = 2
    FAILED = 3


class TaskRecord(NamedTuple):
    """
    Recorded state of one task; `run` is the number of its latest start.

    `assigned_at_ms` is the time of day of its latest assignment, from which a new
    planner computes how much work a stop would lose. `crashes` is 0 until a worker has
    crashed right after it had started the task, and then one more than the crashes in
    a row that are attributed to the task; older versions give a task up at 2.
    `failed_run` and `crashed_run` are the last runs that were counted as a failure and
    as a crash, so that the next planner does not count them again.
    """

    stage: TaskStage = TaskStage.WAITING
    run: int = 0
    failures: int = 0
    worker: WorkerId | None = None
    checkpoint: str = ''
    assigned_at_ms: int = 0
    crashes: int = 0
    failed_run: int = 0
    crashed_run: int = 0

    @property
    def attributed_crashes(self) -> int:
        """How many crashes of workers in a row are attributed to the task."""
        return max(0, self.crashes - 1)


class JobRecord(NamedTuple):
    """
    Recorded state of a job, written by the planner only.

    `tasks` has the tasks that were assigned at least once, keyed by occurrence, step
    and index, such as `0.1.17`. `begun` is true once a worker confirmed a start.
    `ended_at_ms` is a time of day.
    """

    state: JobState = JobState.QUEUED
    begun: bool = False
    ended_at_ms: int = 0
    tasks: dict[str, TaskRecord] = {}


class End(enum.StrEnum):
    """How a run ended, as its worker lists it."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunningTask(NamedTuple):
    """
    A run that a worker lists as running.

    `recent_metric` covers the last half second: the tail of the response times in
    milliseconds for a latency-sensitive task, the millicores in use for others.
    """

    task: str
    run: int
    checkpoint: str = ''
    percent: float = 0
    recent_metric: float = 0


class EndedRun(NamedTuple):
    """An ended run that a worker lists; `number` rises within its incarnation."""

    number: int
    task: str
    run: int
    end: str
    checkpoint: str = ''


class WorkerInfo(NamedTuple):
    """A worker's description of itself; `leaves_in_ms` counts from its report."""

    name: str
    born_ms: int
    service: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    rack: str = ''
    draining: bool = False
    leaves_in_ms: int = 0


class AdviceTerms(NamedTuple):
    """
    Timing of the advice service for a queue.

    A response takes `decision_ms` plus `worker_ms` for each worker in the query; a
    ticket is valid for `valid_ms`.
    """

    decision_ms: int
    worker_ms: int
    valid_ms: int


class Queue(NamedTuple):
    """
    A queue to which callers submit one kind of job.

    Priority 0 is the highest. A job should complete within `slack_factor` times
    the duration of its longest chain of steps plus `objective_ms`. With `advice`,
    only workers that the advice service approves may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    slack_factor: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0
    public: bool = False
    advice: AdviceTerms | None = None


class Organisation(NamedTuple):
    """A customer; `guaranteed` accelerators are for its priority 0 jobs."""

    name: str
    keys: frozenset[str]
    guaranteed: int = 0


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    organisations: tuple[Organisation, ...]
    guarded_services: frozenset[str] = frozenset()
    body_limit_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return next((o for o in self.organisations if key in o.keys), None)
