"""
Messages between the system's own processes.

Each request carries the ids that make it idempotent, so a sender may repeat it.
Times on the wire are remaining milliseconds, which the receiver adds to its own
clock, because clocks of different instances are not compared.
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
    """Why an agent refused a request. Each one proves that nothing started."""

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
    """An agent's complete state, sent at start and after each change."""

    state: WorkerState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    Shows that an agent is alive when its state did not change.

    It carries the generation and plan epoch in force and the digest of the known
    entries, so that the reply can leave out what the agent has.
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
    Reply of an entry to an agent, with the configuration that the agent needs.

    `announce` requests the agent's complete state. `owned` is valid only for an
    agent whose plan epoch is lower than `plan_epoch`; empty `entries` mean that
    the known ones stay. `heartbeat_ms` is the new interval of heartbeats; 0 leaves
    it unchanged.
    """

    entries: tuple[EntryRef, ...]
    generation: int
    plan_epoch: int
    owned: tuple[OwnedShare, ...]
    announce: bool = False
    heartbeat_ms: int = 0


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """Entry to agent: the generation or the plan changed."""

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
    """Borrowers are being stopped; the sender retries after `ready_ms`."""

    attempt_id: str
    ready_ms: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused and no member of the attempt started here."""

    attempt_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Abort:
    """Release a reservation; the agent records a tombstone."""

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
    """The leader accepted the attempt; from now on it may run."""

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
    Query the status of an attempt.

    An agent that did not start it records a tombstone before it replies, so a
    delayed `Launch` is refused. A running attempt reports to `owner_address` from
    now on.
    """

    attempt_id: str
    incarnation: int
    owner_address: str


@dataclass(frozen=True, slots=True)
class Fate:
    """Attempt status: reply to `Settle`, `StopAttempt`, `StopMember` and `Abort`."""

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
    """Member to leader: this worker stops the members within `stop_ms`."""

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
    """The message was handled and need not be repeated."""


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Read a chunk of a retained answer; offset and limit are in bytes."""

    attempt_id: str
    member: int
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A chunk of a retained answer; `length` is that of the whole answer in bytes."""

    attempt_id: str
    member: int
    offset: int
    length: int
    sha256: str
    data: bytes


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The receiver does not have this answer, or no longer has it."""

    attempt_id: str
    member: int


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """
    Entry to entry of its region: what changed among the agents that report to it.

    `lost` names workers whose heartbeats stopped. `digest` covers all workers of
    the sender, so the receiver notices a delta that it missed. With `full`, `states`
    has all workers of the sender. All workers of the sender have at least
    `generation` and `plan_epoch` in force.
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
    """The receiver of a delta missed an earlier one and requests all states."""


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """
    Entry to entry of another region: a job to run there.

    The sender has minted the job id, so the caller can query the job even if the
    reply is lost.
    """

    job_id: str
    organisation: str
    job_name: str
    payload: bytes
    key: str


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """
    Result of a forwarded submission.

    `code` is empty when the job was accepted under `job_id`, and `undecided` when
    it may have been.
    """

    job_id: str
    durable: bool = False
    code: str = ''
    retry_ms: int = 0


@dataclass(frozen=True, slots=True)
class QueryJob:
    """Entry to owner entry: query the state of a job."""

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Entry to owner entry: cancel a job for its organisation."""

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job; `found` is false when this entry does not have it."""

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
    """Draining agent to entry: fetch and retain these answers."""

    parts: tuple[AnswerPart, ...]


@dataclass(frozen=True, slots=True)
class AnswersKept:
    """The answers of the request that the entry has retained completely."""

    task_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Malformed:
    """Reply to a message that could not be decoded or is not accepted here."""

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
