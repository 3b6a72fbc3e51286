"""
Effects that the state machines request.

The tasks carry the effects out; tests carry them out on fakes.
"""

from dataclasses import dataclass, field

from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.manifest import FieldError, Manifest
from yuccarelay.core.messages import JobStatus, Message
from yuccarelay.core.models import AnswerPart, JobRecord

# Effects of both roles


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request of another process."""

    reply_to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Request:
    """Send a request to another process; the result arrives as `ReplyArrived`."""

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
    """End the process; it has nothing left to do."""


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
    """Reply to a `FetchAnswer` from the retained answers."""

    reply_to: int
    attempt_id: str
    member: int
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Delete a retained answer."""

    task_id: str


@dataclass(frozen=True, slots=True)
class RetainAnswers:
    """Fetch and retain answers; the reply names those that are retained already."""

    reply_to: int
    parts: tuple[AnswerPart, ...]


@dataclass(frozen=True, slots=True)
class SetAnswerPeers:
    """Addresses of the other entries, which may retain answers of drained agents."""

    addresses: tuple[str, ...]


# Effects of an entry


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is accepted; `durable` is true if its record is in the store."""

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
    The store did not confirm whether the job was recorded.

    The caller repeats the request with the same key or queries the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class IdMinted:
    """A new job id, which this entry accepts for one submission."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StatusDocument:
    """The state of an entry for operators."""

    fields: dict[str, object]


Response = Accepted | NotAccepted | Undecided | IdMinted | JobStatus | StatusDocument


@dataclass(frozen=True, slots=True)
class RespondToCaller:
    """Answer a caller's or operator's request."""

    request_id: int
    response: Response


@dataclass(frozen=True, slots=True)
class ActivateManifest:
    """
    Put a manifest in force; callers are checked against it from now on.

    `text` is the document that operators read back, as it was committed.
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
    | RetainAnswers
    | SetAnswerPeers
    | RespondToCaller
    | ActivateManifest
    | StoreEffect
)
