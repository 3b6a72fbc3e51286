"""Messages between the front end and other tasks that are not events or effects."""

from dataclasses import dataclass

from yuccarelay.core.manifest import FieldError
from yuccarelay.core.models import AnswerPart
from yuccarelay.tasks.mailbox import Mailbox


@dataclass(frozen=True, slots=True)
class CommitManifest:
    """
    Front end to store task: replace generation `replaces` by this text.

    The store task puts `CommitReplied` into `reply_to`.
    """

    request_id: int
    text: bytes
    replaces: int
    reply_to: Mailbox


@dataclass(frozen=True, slots=True)
class Committed:
    """The manifest is in the store as this generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class CommitRefused:
    """Nothing was written; `generation` is the one in the store, or 0."""

    code: str
    errors: tuple[FieldError, ...] = ()
    generation: int = 0


@dataclass(frozen=True, slots=True)
class CommitUndecided:
    """It is unknown whether the manifest was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommitReplied:
    """Store task to front end: the outcome of a commit."""

    request_id: int
    result: Committed | CommitRefused | CommitUndecided


@dataclass(frozen=True, slots=True)
class FetchFullAnswer:
    """
    Front end to answers task: fetch and verify all parts of an answer.

    The answers task puts `FullAnswer` or `AnswerUnavailable` into `reply_to`.
    """

    request_id: int
    parts: tuple[AnswerPart, ...]
    reply_to: Mailbox


@dataclass(frozen=True, slots=True)
class FullAnswer:
    """The complete answer: the answers of the members in member order."""

    request_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerUnavailable:
    """A part could not be fetched; `reason` names the part and the failure."""

    request_id: int
    reason: str
