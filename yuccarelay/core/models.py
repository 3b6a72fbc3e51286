"""Records that the decisions use: jobs, workers, outcomes."""

import enum
from dataclasses import dataclass
from typing import NamedTuple


class JobClass(enum.Enum):
    """Urgency of a job; lower rank is served first."""

    URGENT = 'urgent'
    ORDINARY = 'ordinary'
    DEFERRABLE = 'deferrable'

    @property
    def rank(self) -> int:
        """Order of service: 0 for urgent, 2 for deferrable."""
        return _CLASS_RANKS[self]


_CLASS_RANKS = {JobClass.URGENT: 0, JobClass.ORDINARY: 1, JobClass.DEFERRABLE: 2}


class Adjacency(enum.Enum):
    """Smallest part of the fleet that must contain all members of a job."""

    ANY = 'any'
    WORKER = 'worker'
    RACK = 'rack'
    DOMAIN = 'domain'
    REGION = 'region'


class JobSpec(NamedTuple):
    """
    Manifest settings of one job of one organisation.

    `accelerators` counts per member. `start_limit_ms` is the longest time that
    a job may wait for its first start, and `run_limit_ms` the longest time that
    one attempt may run. `declared_run_ms` is only a hint; it is often wrong.
    """

    organisation: str
    name: str
    service: str
    job_class: JobClass = JobClass.ORDINARY
    repeatable: bool = True
    checkpointable: bool = False
    members: int = 1
    accelerators: int = 1
    adjacency: Adjacency = Adjacency.ANY
    attempt_limit: int = 3
    start_limit_ms: int = 3_600_000
    run_limit_ms: int = 86_400_000
    declared_run_ms: int = 60_000

    @property
    def preemptible(self) -> bool:
        """Whether the job may be stopped before its end, and therefore may borrow."""
        return self.repeatable or self.checkpointable

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all members together."""
        return self.members * self.accelerators


class AnswerPart(NamedTuple):
    """
    The answer of one member: where it is retained, with its length in bytes.

    A short answer is included in `data`, so that it is in the job's record and
    remains available without the agent. `data` is empty for a long one.
    """

    attempt_id: str
    member: int
    address: str
    incarnation: int
    length: int
    sha256: str
    data: bytes = b''

    @property
    def task_id(self) -> str:
        """The target's id of the member, such as `17-4.2/0`."""
        return f'{self.attempt_id}/{self.member}'


@dataclass(frozen=True, slots=True)
class Completed:
    """All members finished; the parts are in member order."""

    parts: tuple[AnswerPart, ...]


@dataclass(frozen=True, slots=True)
class Failed:
    """The job ran and failed; no attempt is left."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing of the job ran; `proof` states how this was shown."""

    reason: str
    proof: str


@dataclass(frozen=True, slots=True)
class CancelledBeforeStart:
    """Cancelled, and nothing of the job ran; `proof` states how this was shown."""

    proof: str


@dataclass(frozen=True, slots=True)
class CancelledAfterStart:
    """Cancelled when some member may already have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The job may have run; its outcome cannot be proved."""

    reason: str


Outcome = (
    Completed | Failed | NotRun | CancelledBeforeStart | CancelledAfterStart | Unknown
)


class OutcomeRecord(NamedTuple):
    """Flat form of an outcome for records, messages and answers to callers."""

    kind: str
    reason: str = ''
    proof: str = ''
    parts: tuple[AnswerPart, ...] = ()


def flatten_outcome(outcome: Outcome) -> OutcomeRecord:
    """Return the flat form of an outcome."""
    match outcome:
        case Completed(parts):
            return OutcomeRecord(kind='completed', parts=parts)
        case Failed(reason):
            return OutcomeRecord(kind='failed', reason=reason)
        case NotRun(reason, proof):
            return OutcomeRecord(kind='not_run', reason=reason, proof=proof)
        case CancelledBeforeStart(proof):
            return OutcomeRecord(kind='cancelled_before_start', proof=proof)
        case CancelledAfterStart(reason):
            return OutcomeRecord(kind='cancelled_after_start', reason=reason)
        case Unknown(reason):
            return OutcomeRecord(kind='unknown', reason=reason)


def restore_outcome(record: OutcomeRecord) -> Outcome:
    """Return the outcome of a flat form; raise ValueError for an unknown kind."""
    match record.kind:
        case 'completed':
            return Completed(record.parts)
        case 'failed':
            return Failed(record.reason)
        case 'not_run':
            return NotRun(record.reason, record.proof)
        case 'cancelled_before_start':
            return CancelledBeforeStart(record.proof)
        case 'cancelled_after_start':
            return CancelledAfterStart(record.reason)
        case 'unknown':
            return Unknown(record.reason)
        case other:
            raise ValueError(f'unknown outcome kind {other!r}')


class EndDetail(NamedTuple):
    """
    How an attempt, or one agent's members of it, ended.

    `checkpointed` is true when every member completed or saved its progress.
    """

    reason: str = ''
    checkpointed: bool = False
    parts: tuple[AnswerPart, ...] = ()


class Claim(NamedTuple):
    """
    What the members of an attempt need of one worker.

    `accelerators` counts per member. A `guaranteed` claim fits into the
    accelerators that the organisation owns on the worker; any other claim is
    borrowed and must be `preemptible`.
    """

    organisation: str
    job_name: str
    members: tuple[int, ...]
    accelerators: int
    guaranteed: bool
    preemptible: bool

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all members on this worker."""
        return len(self.members) * self.accelerators


class Grant(NamedTuple):
    """One reservation, as an agent announces it."""

    attempt_id: str
    organisation: str
    accelerators: int
    slots: int
    guaranteed: bool
    preemptible: bool
    running: bool


class WorkerState(NamedTuple):
    """
    State of a worker, as its agent announces it.

    `version` increases with each change within one `incarnation`; an entry keeps
    the state with the highest (incarnation, version). `unreported` names ended
    attempts whose owner entry has not acknowledged the end.
    """

    worker_id: str
    incarnation: int
    version: int
    address: str
    service: str
    region: str
    domain: str
    rack: str
    accelerators: int
    slots: int
    draining: bool = False
    generation: int = 0
    plan_epoch: int = 0
    grants: tuple[Grant, ...] = ()
    unreported: tuple[str, ...] = ()


class EntryRef(NamedTuple):
    """A live entry: its incarnation, region and address for messages."""

    incarnation: int
    region: str
    address: str


class MemberRef(NamedTuple):
    """A worker on which some members of an attempt run, with their claim."""

    worker_id: str
    address: str
    incarnation: int
    claim: Claim


class OwnedShare(NamedTuple):
    """Accelerators that an organisation owns on one worker."""

    organisation: str
    accelerators: int


class JobState(enum.Enum):
    """State of a job at its owner entry."""

    RECORDING = 'recording'
    QUEUED = 'queued'
    ACQUIRING = 'acquiring'
    LAUNCHING = 'launching'
    RUNNING = 'running'
    SETTLING = 'settling'
    ENDED = 'ended'


class JobRecord(NamedTuple):
    """
    Record of a job in the store.

    `owner` is the incarnation of the entry that may dispatch it. `attempt` and
    `members` are written before a non-repeatable job is launched. `adoptions`
    counts the changes of owner and keeps the attempt ids of owners apart. Only
    entries of the `region` adopt the job, unless the whole region is lost. The
    payload is dropped at the end; its digest stays, so that a reused idempotency
    key is noticed.
    """

    job_id: str
    organisation: str
    job_name: str
    key: str
    owner: int
    payload: bytes
    state: JobState
    attempt: int = 0
    members: tuple[MemberRef, ...] = ()
    adoptions: int = 0
    region: str = ''
    payload_digest: str = ''
    outcome: OutcomeRecord | None = None


# Attempt numbers of the n-th owner of a job start at n times this number, so an
# attempt that an earlier owner did not record never has the same id.
ATTEMPTS_PER_OWNER = 1_000


def make_attempt_id(job_id: str, attempt: int) -> str:
    """Return the id of an attempt, such as `17-4.2` for attempt 2 of job `17-4`."""
    return f'{job_id}.{attempt}'


def parse_job_id(attempt_id: str) -> str:
    """Return the job id that an attempt id begins with."""
    return attempt_id.rpartition('.')[0]


def parse_incarnation(job_id: str) -> int:
    """Return the incarnation of the entry that minted a job id, or 0."""
    incarnation = job_id.partition('-')[0]
    return int(incarnation) if incarnation.isdecimal() else 0
