"""A job as its owner entry holds it."""

import hashlib
from typing import NamedTuple

from yuccarelay.core.messages import JobStatus
from yuccarelay.core.models import (
    ATTEMPTS_PER_OWNER,
    JobRecord,
    JobSpec,
    JobState,
    MemberRef,
    Outcome,
    flatten_outcome,
    make_attempt_id,
)
from yuccarelay.core.ordering import QueuedJob


class Job(NamedTuple):
    """
    A job and its current attempt.

    `revision` is that of its record in the store, 0 when there is none, and
    `record_known` is false when a write may have changed the record unseen.
    `writing` names the store call in progress, if any. `ready` has the members
    whose reservation is held, `asked` is the index of the last member that `Prepare`
    was sent to, and `unanswered` counts the consecutive `Prepare` messages without a
    reply. `launched` is true once a `Launch` of the current attempt was sent,
    and `may_have_run` once some attempt may have started.
    `decided` is the outcome to record and `outcome` the one that callers see: an
    outcome that asserts that nothing ran is shown only once it is recorded.
    `recorded` is true once the record has the outcome.
    """

    job_id: str
    spec: JobSpec
    payload: bytes
    key: str
    state: JobState
    submitted_ms: int
    start_deadline_ms: int
    request_id: int = 0
    revision: int = 0
    record_known: bool = True
    writing: str = ''
    attempt: int = 0
    adoptions: int = 0
    starts: int = 0
    failures: int = 0
    launched: bool = False
    may_have_run: bool = False
    members: tuple[MemberRef, ...] = ()
    ready: frozenset[int] = frozenset()
    asked: int = 0
    unanswered: int = 0
    next_send_ms: int = 0
    deadline_ms: int = 0
    not_before_ms: int = 0
    started_ms: int = 0
    charged_until_ms: int = 0
    attained_ms: int = 0
    ended_ms: int = 0
    conflicts: int = 0
    avoid_domains: frozenset[str] = frozenset()
    retrying: bool = False
    cancelling: bool = False
    decided: Outcome | None = None
    outcome: Outcome | None = None
    recorded: bool = False

    @property
    def attempt_id(self) -> str:
        """Id of the current or last attempt."""
        return make_attempt_id(self.job_id, self.attempt)

    @property
    def is_stored(self) -> bool:
        """Whether other entries may see a record of the job."""
        return self.revision > 0 or not self.record_known or self.writing == 'create'

    @property
    def payload_digest(self) -> str:
        """SHA-256 of the payload in hexadecimal."""
        return hashlib.sha256(self.payload).hexdigest()

    @property
    def needs_attempt_record(self) -> bool:
        """Whether an attempt must be in the store before it is launched."""
        return not self.spec.repeatable and self.is_stored

    @property
    def has_run(self) -> bool:
        """Whether an earlier attempt ran or may have run."""
        return self.starts > 0 or self.may_have_run

    @property
    def next_attempt(self) -> int:
        """Number of the next attempt."""
        return max(self.attempt + 1, self.adoptions * ATTEMPTS_PER_OWNER)

    def make_record(self, owner: int, region: str) -> JobRecord:
        """Return the record for the store."""
        ending = self.decided or self.outcome
        return JobRecord(
            job_id=self.job_id,
            organisation=self.spec.organisation,
            job_name=self.spec.name,
            key=self.key,
            owner=owner,
            payload=b'' if ending else self.payload,
            state=JobState.ENDED if ending else self.state,
            attempt=self.attempt,
            members=self.members,
            adoptions=self.adoptions,
            region=region,
            payload_digest=self.payload_digest,
            outcome=flatten_outcome(ending) if ending else None,
        )

    def make_status(self) -> JobStatus:
        """Return what a caller sees."""
        outcome = flatten_outcome(self.outcome) if self.outcome else None
        return JobStatus(
            job_id=self.job_id,
            found=True,
            organisation=self.spec.organisation,
            job_name=self.spec.name,
            state=self.state.value,
            durable=self.revision > 0,
            attempt=self.attempt,
            outcome=outcome,
        )

    def make_queued(self) -> QueuedJob:
        """Return the item for the queue."""
        return QueuedJob(
            job_id=self.job_id,
            spec=self.spec,
            submitted_ms=self.submitted_ms,
            start_deadline_ms=self.start_deadline_ms,
            attained_ms=self.attained_ms,
            not_before_ms=self.not_before_ms,
            attempt=self.attempt,
        )


class JobTable(dict[str, Job]):
    """
    Jobs by id, with indexes of those that need further work.

    Most jobs of an entry are running or ended, and a scan of all of them at each tick
    would take time in proportion. `needs_tick` has the jobs to check at each tick,
    `newly_running` those that began to run since it was last emptied, `open` those
    without a recorded end, and `ended` the ended ones in the order of their ends.
    """

    def __init__(self):
        super().__init__()
        self.needs_tick: dict[str, None] = {}
        self.newly_running: dict[str, None] = {}
        self.open: dict[str, None] = {}
        self.ended: dict[str, None] = {}

    def __setitem__(self, job_id: str, job: Job) -> None:
        """Store a job and index it by its state."""
        previous = self.get(job_id)
        super().__setitem__(job_id, job)
        is_running = job.state is JobState.RUNNING
        if is_running and (previous is None or previous.state is not JobState.RUNNING):
            self.newly_running[job_id] = None
        _update_index(self.needs_tick, job_id, _needs_tick(job))
        _update_index(
            self.open, job_id, not (job.state is JobState.ENDED and job.recorded)
        )
        _update_index(self.ended, job_id, job.state is JobState.ENDED)

    def __delitem__(self, job_id: str) -> None:
        """Remove a job."""
        super().__delitem__(job_id)
        for index in (self.needs_tick, self.newly_running, self.open, self.ended):
            index.pop(job_id, None)

    def pop(self, job_id: str, default: Job | None = None) -> Job | None:
        """Remove a job and return it, or return the default."""
        job = self.get(job_id)
        if job is None:
            return default
        del self[job_id]
        return job


def _needs_tick(job: Job) -> bool:
    if job.state is JobState.QUEUED:
        return job.cancelling and job.decided is None
    return job.state in (JobState.ACQUIRING, JobState.SETTLING)


def _update_index(index: dict[str, None], job_id: str, belongs: bool) -> None:
    if belongs:
        index.setdefault(job_id)
    else:
        index.pop(job_id, None)


def make_record_status(record: JobRecord) -> JobStatus:
    """Return what a caller sees of a job that only its record describes."""
    return JobStatus(
        job_id=record.job_id,
        found=True,
        organisation=record.organisation,
        job_name=record.job_name,
        state=record.state.value,
        durable=True,
        attempt=record.attempt,
        outcome=record.outcome,
    )
