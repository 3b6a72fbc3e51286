"""
Events that the state machines handle.

A state machine is driven by `step(event, now_ms) -> list[Effect]`. The effects
are defined in `effects`.
"""

from dataclasses import dataclass

from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.messages import Message
from yuccarelay.core.models import EntryRef, JobRecord

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
    """Result of a `Request`; `reply` is None when it did not arrive in time."""

    tag: str
    reply: Message | None


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process was asked to stop; running work may continue until the deadline."""

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
    task's progress. The runner task retains the answer of a completed task; `data`
    has a short one. `length` is that of the answer in bytes.
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
    """An answer was served completely for the first time."""

    task_id: str


# Events of an entry, from callers and operators


@dataclass(frozen=True, slots=True)
class IdRequested:
    """A caller requests a job id before it submits."""

    request_id: int
    organisation: str


@dataclass(frozen=True, slots=True)
class SubmitRequested:
    """
    A caller submits a job.

    `key` is the caller's idempotency key and `job_id` an id that it requested
    before; both may be empty.
    """

    request_id: int
    organisation: str
    job_name: str
    payload: bytes
    key: str = ''
    job_id: str = ''


@dataclass(frozen=True, slots=True)
class QueryRequested:
    """A caller queries the state of a job and waits up to `wait_ms` for its end."""

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
    """An operator requests the state of the entry."""

    request_id: int


# Events of an entry, from the store task


@dataclass(frozen=True, slots=True)
class Registered:
    """The entry is registered in the store under a lease."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class RegistrationLost:
    """The registration's lease expired; other entries may adopt the jobs."""


@dataclass(frozen=True, slots=True)
class ManifestSeen:
    """
    The store holds this manifest.

    `text` is the document as it was committed; its length was checked then.
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
    """The live entries of all regions that are registered in the store."""

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
    """The record has changed since it was read; this is what the store holds."""

    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """The idempotency key is already bound to this job."""

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
    """Result of the store effect with this tag."""

    tag: str
    result: StoreResult


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
    | SubmitRequested
    | QueryRequested
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
