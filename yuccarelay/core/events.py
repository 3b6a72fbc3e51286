"""
Events that the state machines take and effects that they ask for.

A state machine is driven by `step(event, now_ms) -> list[Effect]`. The running
parts carry the effects out; tests carry them out on fakes.
"""

from dataclasses import dataclass, field

from yuccarelay.core.manifest import FieldError, Manifest
from yuccarelay.core.messages import JobStatus, Message
from yuccarelay.core.models import AnswerPart, EntryRef, JobRecord
from yuccarelay.core.shape import Plan

# Events of both roles


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines are checked."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A request of another process; `reply_to` names it for `Reply`."""

    message: Message
    reply_to: int


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """The end of a `Request`. `reply` is None when no answer came in time."""

    tag: str
    reply: Message | None


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process was asked to stop; running work may go on until the deadline."""

    deadline_ms: int


# Events of an agent, from its target


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """The target runs the task."""

    task_id: str


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """
    The target ended the task.

    `started` is false only when the target is known not to have started it, and
    `checkpointed` is true only when the target confirmed that it saved the
    task's progress. The runner task keeps a completed task's answer; `data` has a
    short one.
    """

    task_id: str
    completed: bool
    started: bool
    checkpointed: bool = False
    reason: str = ''
    length: int = 0
    sha256: str = ''
    data: bytes = b''


@dataclass(frozen=True, slots=True)
class AnswerFetched:
    """An answer was served to its end for the first time."""

    task_id: str


# Events of an entry, from callers and operators


@dataclass(frozen=True, slots=True)
class IdRequested:
    """A caller wants a job id before it submits."""

    request_id: int
    organisation: str


@dataclass(frozen=True, slots=True)
class Submitted:
    """
    A caller submits a job.

    `key` is the caller's idempotency key and `job_id` an id that it asked for
    before; both may be empty.
    """

    request_id: int
    organisation: str
    job_name: str
    payload: bytes
    key: str = ''
    job_id: str = ''


@dataclass(frozen=True, slots=True)
class Queried:
    """A caller asks where a job stands and waits up to `wait_ms` for its end."""

    request_id: int
    organisation: str
    job_id: str
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels a job."""

    request_id: int
    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator asks for the state of the entry."""

    request_id: int


# Events of an entry, from the store keeper


@dataclass(frozen=True, slots=True)
class Registered:
    """The entry is registered in the store under a lease."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class RegistrationLost:
    """The registration's lease lapsed; other entries may adopt the jobs."""


@dataclass(frozen=True, slots=True)
class ManifestSeen:
    """
    The store holds this manifest.

    `text` is the document as it was committed; its checks bound its length.
    """

    generation: int
    manifest: Manifest
    text: bytes = b''


@dataclass(frozen=True, slots=True)
class PlanSeen:
    """The store holds this guarantee plan."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class EntriesSeen:
    """The live entries of all regions, as the store has them."""

    entries: tuple[EntryRef, ...]


@dataclass(frozen=True, slots=True)
class StoreHealthChanged:
    """The store became reachable or unreachable."""

    up: bool


@dataclass(frozen=True, slots=True)
class Stored:
    """The write is in the store with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The record has changed since; this is what the store holds."""

    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """The idempotency key is bound to this job already."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Loaded:
    """A record with its revision."""

    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class LoadedMany:
    """Open records with their revisions."""

    records: tuple[Loaded, ...]


@dataclass(frozen=True, slots=True)
class Missing:
    """The store has no such record."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """
    The store gave no answer before the deadline.

    `ambiguous` is true when a write may have taken effect.
    """

    ambiguous: bool


StoreResult = Stored | Conflict | KeyTaken | Loaded | LoadedMany | Missing | Unavailable


@dataclass(frozen=True, slots=True)
class StoreReplied:
    """The end of a store effect with this tag."""

    tag: str
    result: StoreResult


# Effects of both roles


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request of another process."""

    reply_to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Request:
    """Send a request to another process; ends with `ReplyArrived`."""

    address: str
    message: Message
    tag: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write one log line; `fields` are its key=value pairs."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter metric."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Observe:
    """Record a time in milliseconds in the histogram of an organisation and class."""

    name: str
    organisation: str
    job_class: str
    value_ms: int


@dataclass(frozen=True, slots=True)
class Exit:
    """The process has nothing left to do."""


# Effects of an agent


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task on the target under a lease that ends at the deadline."""

    task_id: str
    job_name: str
    member: int
    accelerators: int
    payload: bytes
    lease_deadline_ms: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task; with `checkpoint` the target saves its progress first."""

    task_id: str
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class RenewTasks:
    """Extend the target's leases of these tasks to the deadline."""

    task_ids: tuple[str, ...]
    lease_deadline_ms: int


@dataclass(frozen=True, slots=True)
class ServeAnswer:
    """Answer a `FetchAnswer` from the kept answers."""

    reply_to: int
    attempt_id: str
    member: int
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Forget a kept answer."""

    task_id: str


@dataclass(frozen=True, slots=True)
class KeepParts:
    """Fetch answers to keep them; the reply names those that are kept already."""

    reply_to: int
    parts: tuple[AnswerPart, ...]


@dataclass(frozen=True, slots=True)
class ListKeepers:
    """Addresses of the other entries, which may keep answers of agents that left."""

    addresses: tuple[str, ...]


# Effects of an entry


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is accepted; `durable` says whether its record is in the store."""

    job_id: str
    durable: bool


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """
    The request is refused and nothing runs because of it.

    `code` is stable for programs, `errors` names fields and rules. `retry_ms` is
    0 when a repeat cannot succeed.
    """

    code: str
    errors: tuple[FieldError, ...] = ()
    retry_ms: int = 0


@dataclass(frozen=True, slots=True)
class Undecided:
    """
    The store did not say whether the job was recorded.

    The caller repeats the request with the same key or asks for the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class IdMinted:
    """A job id that this entry accepts once."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StatusDocument:
    """The state of an entry for operators."""

    fields: dict[str, object]


Response = Accepted | NotAccepted | Undecided | IdMinted | JobStatus | StatusDocument


@dataclass(frozen=True, slots=True)
class Respond:
    """Answer a caller's or operator's request."""

    request_id: int
    response: Response


@dataclass(frozen=True, slots=True)
class Publish:
    """
    A manifest came into force here; callers are checked against it from now on.

    `text` is the document that operators get back, as it was committed.
    """

    generation: int
    manifest: Manifest
    text: bytes = b''


@dataclass(frozen=True, slots=True)
class CreateRecord:
    """Write a new job record, and bind its key if it has one, in one transaction."""

    tag: str
    record: JobRecord


@dataclass(frozen=True, slots=True)
class ReplaceRecord:
    """Write a job record if the store still has this revision of it."""

    tag: str
    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class LoadRecord:
    """Read a job record."""

    tag: str
    job_id: str


@dataclass(frozen=True, slots=True)
class LoadOpenRecords:
    """Read all records that have not ended."""

    tag: str


@dataclass(frozen=True, slots=True)
class ProposePlan:
    """Write a plan if the store's plan still has the epoch before it."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class Deregister:
    """Delete the entry's registration."""


AgentEvent = (
    Tick
    | MessageReceived
    | ReplyArrived
    | DrainRequested
    | TaskStarted
    | TaskEnded
    | AnswerFetched
)
EntryEvent = (
    Tick
    | MessageReceived
    | ReplyArrived
    | DrainRequested
    | IdRequested
    | Submitted
    | Queried
    | CancelRequested
    | StatusRequested
    | Registered
    | RegistrationLost
    | ManifestSeen
    | PlanSeen
    | EntriesSeen
    | StoreHealthChanged
    | StoreReplied
)
StoreEffect = (
    CreateRecord
    | ReplaceRecord
    | LoadRecord
    | LoadOpenRecords
    | ProposePlan
    | Deregister
)
Effect = (
    Reply
    | Request
    | Log
    | Count
    | Observe
    | Exit
    | StartTask
    | StopTask
    | RenewTasks
    | ServeAnswer
    | DropAnswer
    | KeepParts
    | ListKeepers
    | Respond
    | Publish
    | StoreEffect
)
