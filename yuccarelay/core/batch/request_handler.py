"""
Decisions about callers' requests, from the configuration and a replica.

`RequestHandler` holds what the store's watch has delivered. It decides the answer to a
request, or which store call is needed to decide it.
"""

import re
from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.job_memory import JobMemory
from yuccarelay.core.batch.known_queues import QueueTerms, make_terms
from yuccarelay.core.batch.models import (
    ENDED,
    Configuration,
    Job,
    JobRecord,
    JobState,
    Queue,
    Step,
)
from yuccarelay.core.request_budget import Limits

JOB_ID = re.compile(r'[0-9a-f]{16}')
# Jobs end within seconds, and callers wait some 3 s in all.
NO_ROOM_RETRY_AFTER_S = 1
# Callers wait some 3 s in all, so that a later retry would come too late.
RETRY_AFTER_S = 1


class Draft(NamedTuple):
    """A job as its caller describes it."""

    specification: str
    steps: tuple[Step, ...]
    first_run_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0


class Call(NamedTuple):
    """
    A caller's request.

    `draft` is the decoded body of a submission, or the error text if it is invalid.
    `wall_ms` is the time of day.
    """

    method: str
    host: str
    path: str
    key: str
    draft: Draft | str | None
    wall_ms: int


@dataclass(frozen=True, slots=True)
class NotReady:
    """The newest configuration is not known; nothing was done."""


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No queue has this host and path."""


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """The key belongs to no organisation."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request is invalid; `reason` states what is accepted."""

    reason: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The job was not stored and will not run; try again after some seconds."""

    retry_after_s: int


@dataclass(frozen=True, slots=True)
class NoRoom:
    """The open jobs take all memory that jobs may take; nothing was stored."""

    retry_after_s: int


@dataclass(frozen=True, slots=True)
class Undecided:
    """The store did not confirm whether the change was made."""


@dataclass(frozen=True, slots=True)
class Failed:
    """An unexpected error; it is unknown whether a change was made."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The id is in use by another job."""


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No such job is known to the store."""


@dataclass(frozen=True, slots=True)
class State:
    """State of a job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class Pending:
    """Number of a queue's jobs for which no task has started."""

    count: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation is stored, or the job had ended."""


Outcome = (
    NotReady
    | NoSuchQueue
    | UnknownKey
    | Invalid
    | Accepted
    | NotAccepted
    | NoRoom
    | Undecided
    | Failed
    | Taken
    | NoSuchJob
    | State
    | Pending
    | Cancelled
)


@dataclass(frozen=True, slots=True)
class StoreJob:
    """
    Store this job with the terms of its queue, then answer.

    An entry of an older version relays a job without terms.
    """

    job: Job
    terms: QueueTerms | None = None


@dataclass(frozen=True, slots=True)
class ReadJob:
    """
    Read the job from the store, because the replica may be behind.

    `organisation` is the only one that may see the job; if empty, all may.
    """

    job: str
    queue: str
    organisation: str = ''


@dataclass(frozen=True, slots=True)
class StoreCancel:
    """
    Store the cancellation; `known` is false when the job must be read first.

    `organisation` is the only one that may cancel the job; if empty, all may.
    """

    job: str
    queue: str
    known: bool
    organisation: str = ''


StoreCall = StoreJob | ReadJob | StoreCancel
Decision = Outcome | StoreCall


def is_same_job(stored: Job, submitted: Job) -> bool:
    """Whether a submission repeats a stored job."""
    return stored._replace(accepted_at_ms=0) == submitted._replace(accepted_at_ms=0)


def is_visible(job: Job, queue: str, organisation: str) -> bool:
    """
    Whether a caller of a queue may see and cancel a job.

    An organisation sees only its own jobs. `organisation` is empty for callers of a
    public queue, and a job's own is empty if it was submitted without a key.
    """
    is_own = not organisation or job.organisation in ('', organisation)
    return job.queue == queue and is_own


def derive_state(record: JobRecord | None, cancelled: bool) -> JobState:
    """Return the state of a job as it is reported to callers."""
    state = record.state if record else JobState.QUEUED
    if state in ENDED:
        return state
    if cancelled:
        return JobState.CANCELLED
    return JobState.RUNNING if record and record.begun else JobState.QUEUED


class RequestHandler:
    """Replica of the stored jobs, and decisions on requests."""

    def __init__(self, jobs_limit_bytes: int = Limits().jobs_bytes):
        self.memory = JobMemory(jobs_limit_bytes)
        self.configuration: Configuration | None = None
        self.jobs: dict[str, Job] = {}
        self.records: dict[str, JobRecord] = {}
        self.job_terms: dict[str, QueueTerms] = {}
        self.cancelled: set[str] = set()

    def configure(self, configuration: Configuration) -> bool:
        """Apply a configuration; false if it is not newer than the current one."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        return True

    def add_job(self, job: Job) -> None:
        """Add a stored job to the replica."""
        self.jobs[job.id] = job
        self.memory.set(job, self._is_open(job.id))

    def set_record(self, job: str, record: JobRecord) -> None:
        """Replace the record of a job."""
        self.records[job] = record
        if job in self.jobs and record.state in ENDED:
            self.memory.set(self.jobs[job], False)

    def remove_job(self, job: str) -> None:
        """Remove a job and all that belongs to it."""
        self.jobs.pop(job, None)
        self.records.pop(job, None)
        self.job_terms.pop(job, None)
        self.cancelled.discard(job)
        self.memory.remove(job)

    def decide(self, call: Call) -> Decision:
        """Return the answer to a request, or the store call that it needs."""
        if self.configuration is None:
            return NotReady()
        queue = self.configuration.find_queue(call.host, call.path)
        if queue is None:
            return NoSuchQueue()
        organisation = self.configuration.find_organisation(call.key)
        if organisation is None and not queue.public:
            return UnknownKey()
        name = organisation.name if organisation else ''
        viewer = '' if queue.public else name
        job_id = call.path[len(queue.prefix) :]
        match call.method:
            case 'GET' if not job_id:
                return Pending(self.count_pending(queue.name))
            case 'GET':
                return self._decide_state(job_id, queue, viewer)
            case 'DELETE':
                return self._decide_cancel(job_id, queue, viewer)
            case 'POST':
                return self._decide_submission(call, queue, name, job_id)
        return Invalid('the method must be GET, POST or DELETE')

    def count_pending(self, queue: str) -> int:
        """Count the jobs of a queue for which no task has started."""
        return sum(
            job.queue == queue and self._is_pending(job) for job in self.jobs.values()
        )

    def _is_pending(self, job: Job) -> bool:
        record = self.records.get(job.id)
        state = derive_state(record, job.id in self.cancelled)
        return state is JobState.QUEUED

    def _decide_state(self, job_id: str, queue: Queue, viewer: str) -> Decision:
        if not JOB_ID.fullmatch(job_id):
            return NoSuchJob()
        job = self.jobs.get(job_id)
        if job is None:
            return ReadJob(job_id, queue.name, viewer)
        if not is_visible(job, queue.name, viewer):
            return NoSuchJob()
        record = self.records.get(job_id)
        return State(derive_state(record, job_id in self.cancelled))

    def find_end(self, call: ReadJob) -> State | None:
        """Return the state of a visible job that has ended, or None."""
        job = self.jobs.get(call.job)
        if job is None or not is_visible(job, call.queue, call.organisation):
            return None
        state = derive_state(self.records.get(job.id), job.id in self.cancelled)
        return State(state) if state in ENDED else None

    def _decide_cancel(self, job_id: str, queue: Queue, viewer: str) -> Decision:
        if not JOB_ID.fullmatch(job_id):
            return NoSuchJob()
        job = self.jobs.get(job_id)
        if job is not None and not is_visible(job, queue.name, viewer):
            return NoSuchJob()
        if job is not None and not self._is_open(job_id):
            return Cancelled()
        return StoreCancel(job_id, queue.name, job is not None, viewer)

    def _is_open(self, job_id: str) -> bool:
        record = self.records.get(job_id)
        return derive_state(record, job_id in self.cancelled) not in ENDED

    def _decide_submission(
        self,
        call: Call,
        queue: Queue,
        organisation: str,
        job_id: str,
    ) -> Decision:
        if not JOB_ID.fullmatch(job_id):
            return Invalid('the job id must be 16 hexadecimal digits')
        if not isinstance(call.draft, Draft):
            return Invalid(call.draft or 'a job needs a body')
        job = Job(
            id=job_id,
            queue=queue.name,
            organisation=organisation,
            specification=call.draft.specification,
            steps=call.draft.steps,
            accepted_at_ms=call.wall_ms,
            first_run_ms=call.draft.first_run_ms,
            interval_ms=call.draft.interval_ms,
            repetitions=call.draft.repetitions,
        )
        stored = self.jobs.get(job_id)
        if stored is None:
            if not self.memory.has_room(job):
                return NoRoom(NO_ROOM_RETRY_AFTER_S)
            return StoreJob(job, make_terms(queue))
        return Accepted() if is_same_job(stored, job) else Taken()
