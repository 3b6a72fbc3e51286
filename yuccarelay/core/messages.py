"""
Messages between the system's own processes.

Each request carries the ids that make it idempotent, so a sender may repeat it.
Times on the wire are the milliseconds that remain, because clocks of different
instances are not compared; the receiver adds them to its own clock.
"""

import enum
from dataclasses import dataclass

from yuccarelay.core.models import (
    AnswerPart,
    Claim,
    EndDetail,
    EntryRef,
    MemberRef,
    OutcomeRecord,
    OwnedShare,
    WorkerState,
)


class Refusal(enum.Enum):
    """Why an agent did not take a request. Each one proves that nothing started."""

    WRONG_INCARNATION = 'wrong_incarnation'
    TOMBSTONED = 'tombstoned'
    STALE_GENERATION = 'stale_generation'
    DRAINING = 'draining'
    NO_CAPACITY = 'no_capacity'
    NOT_OWNED = 'not_owned'
    MAY_NOT_BORROW = 'may_not_borrow'
    NO_RESERVATION = 'no_reservation'


class AttemptStatus(enum.Enum):
    """What an agent can prove about an attempt."""

    NOT_STARTED = 'not_started'
    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class EndState(enum.Enum):
    """How an attempt ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    NOT_STARTED = 'not_started'
    PREEMPTED = 'preempted'
    STOPPED = 'stopped'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class Announce:
    """An agent's whole state, sent at start and after each change."""

    state: WorkerState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    Sign of life of an agent whose state did not change.

    It names the configuration that the agent has in force, and the digest of the
    entries that it knows, so that the answer can leave out what it has.
    """

    worker_id: str
    incarnation: int
    version: int
    generation: int = 0
    plan_epoch: int = 0
    entries: int = 0


@dataclass(frozen=True, slots=True)
class Welcome:
    """
    An entry's answer to an agent: what the agent needs of the configuration.

    `announce` asks the agent to send its whole state. `owned` holds only for an
    agent whose plan epoch is lower than `plan_epoch`, and empty `entries` mean
    that the known ones stay. `heartbeat_ms` is the interval of heartbeats from
    now on; 0 leaves it as it is.
    """

    entries: tuple[EntryRef, ...]
    generation: int
    plan_epoch: int
    owned: tuple[OwnedShare, ...]
    announce: bool = False
    heartbeat_ms: int = 0


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """An entry tells an agent that the generation or the plan changed."""

    welcome: Welcome


@dataclass(frozen=True, slots=True)
class Prepare:
    """Reserve capacity for some members of an attempt; repeats extend the hold."""

    attempt_id: str
    incarnation: int
    generation: int
    claim: Claim
    hold_ms: int


@dataclass(frozen=True, slots=True)
class Prepared:
    """The reservation is held."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Reclaiming:
    """Borrowers are being stopped; ask again after `ready_ms`."""

    attempt_id: str
    ready_ms: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not taken and nothing of the attempt started here."""

    attempt_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Abort:
    """Give up a reservation; the agent leaves a tombstone."""

    attempt_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Launch:
    """Start an attempt; sent to the agent of the first member, the leader."""

    attempt_id: str
    incarnation: int
    generation: int
    members: tuple[MemberRef, ...]
    payload: bytes
    owner_address: str
    run_ms: int


@dataclass(frozen=True, slots=True)
class Launched:
    """The leader took the attempt; from now on it may run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Start:
    """Leader to member: start the members that `Prepare` reserved."""

    attempt_id: str
    incarnation: int
    leader_address: str
    payload: bytes
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Started:
    """The target runs all members of this agent."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Renew:
    """Leader to member: extend the lease."""

    attempt_id: str
    incarnation: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """Member to leader: whether the members still run here."""

    attempt_id: str
    state: AttemptStatus


@dataclass(frozen=True, slots=True)
class StopMember:
    """Leader to member: stop the members of an attempt."""

    attempt_id: str
    incarnation: int
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Entry to leader: stop an attempt, or make sure that it never starts."""

    attempt_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Settle:
    """
    Ask for the fate of an attempt.

    An agent that did not start it leaves a tombstone before it answers, so a
    late `Launch` is refused. A running attempt reports to `owner_address` from
    now on.
    """

    attempt_id: str
    incarnation: int
    owner_address: str


@dataclass(frozen=True, slots=True)
class Fate:
    """Answer to `Settle`, `StopAttempt`, `StopMember` and `Abort`."""

    attempt_id: str
    state: AttemptStatus
    end: EndState | None = None
    detail: EndDetail | None = None


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Member to leader: its members ended."""

    attempt_id: str
    worker_id: str
    end: EndState
    detail: EndDetail


@dataclass(frozen=True, slots=True)
class EvictionNotice:
    """Member to leader: a guarantee takes this worker back within `stop_ms`."""

    attempt_id: str
    worker_id: str
    stop_ms: int


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Leader to owner entry: the attempt ended; repeated until acknowledged."""

    attempt_id: str
    end: EndState
    detail: EndDetail


@dataclass(frozen=True, slots=True)
class Ack:
    """The message was taken; it need not be repeated."""


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Read a piece of a kept answer."""

    attempt_id: str
    member: int
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A piece of a kept answer; `length` is that of the whole answer in bytes."""

    attempt_id: str
    member: int
    offset: int
    length: int
    sha256: str
    data: bytes


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The agent does not keep this answer (any more)."""

    attempt_id: str
    member: int


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """
    Entry to entry of its region: what changed among the agents that report to it.

    `lost` names workers that were not heard of in time. `digest` covers all
    workers of the sender, so the receiver notices a delta that it missed. With
    `full`, `states` has all workers of the sender. All workers of the sender have
    at least `generation` and `plan_epoch` in force.
    """

    sender: EntryRef
    states: tuple[WorkerState, ...]
    lost: tuple[str, ...]
    digest: int
    full: bool
    generation: int = 0
    plan_epoch: int = 0


@dataclass(frozen=True, slots=True)
class ViewResync:
    """The receiver of a delta missed an earlier one and wants all states."""


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """
    Entry to entry of another region: a job to run there.

    The sender has minted the job id, so the caller can ask for the job even if
    the reply is lost.
    """

    job_id: str
    organisation: str
    job_name: str
    payload: bytes
    key: str


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """
    What became of a forwarded submission.

    `code` is empty when the job was accepted under `job_id`, and `undecided` when
    it may have been.
    """

    job_id: str
    durable: bool = False
    code: str = ''
    retry_ms: int = 0


@dataclass(frozen=True, slots=True)
class QueryJob:
    """Entry to owner entry: where does a job stand."""

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Entry to owner entry: cancel a job for its organisation."""

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Where a job stands; `found` is false when this entry does not have it."""

    job_id: str
    found: bool
    organisation: str = ''
    job_name: str = ''
    state: str = ''
    durable: bool = False
    attempt: int = 0
    outcome: OutcomeRecord | None = None


@dataclass(frozen=True, slots=True)
class KeepAnswers:
    """Agent that leaves to entry: fetch these answers and keep them."""

    parts: tuple[AnswerPart, ...]


@dataclass(frozen=True, slots=True)
class AnswersKept:
    """The answers of the request that the entry holds whole by now."""

    task_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Malformed:
    """Answer to a message that could not be read."""

    reason: str


Message = (
    Announce
    | Heartbeat
    | Welcome
    | ConfigChanged
    | Prepare
    | Prepared
    | Reclaiming
    | Refused
    | Abort
    | Launch
    | Launched
    | Start
    | Started
    | Renew
    | Renewed
    | StopMember
    | StopAttempt
    | Settle
    | Fate
    | MemberReport
    | EvictionNotice
    | AttemptReport
    | Ack
    | FetchAnswer
    | AnswerChunk
    | NoAnswer
    | KeepAnswers
    | AnswersKept
    | ViewDelta
    | ViewResync
    | SubmitJob
    | SubmitReply
    | QueryJob
    | CancelJob
    | JobStatus
    | Malformed
)
