"""
Mailboxes, and the messages between tasks that are not events or effects.

A task owns its sockets and its state and reads one mailbox. Other tasks reach
it only by putting a message there. `run` of a task ends when it is cancelled.
"""

import asyncio
from dataclasses import dataclass

from yuccarelay.core.manifest import FieldError
from yuccarelay.core.models import AnswerPart

Mailbox = asyncio.Queue


@dataclass(frozen=True, slots=True)
class CommitManifest:
    """
    Front end to store keeper: replace generation `replaces` by this text.

    The store keeper puts `CommitReplied` into `reply_to`.
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
    """Nothing was written. `generation` is the one that the store holds, or 0."""

    code: str
    errors: tuple[FieldError, ...] = ()
    generation: int = 0


@dataclass(frozen=True, slots=True)
class CommitUndecided:
    """The store did not say whether the manifest was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommitReplied:
    """Store keeper to front end: the end of a commit."""

    request_id: int
    result: Committed | CommitRefused | CommitUndecided


@dataclass(frozen=True, slots=True)
class FetchFullAnswer:
    """
    Front end to answers task: fetch all parts of an answer and check them.

    The answers task puts `FullAnswer` or `AnswerUnavailable` into `reply_to`.
    """

    request_id: int
    parts: tuple[AnswerPart, ...]
    reply_to: Mailbox


@dataclass(frozen=True, slots=True)
class FullAnswer:
    """The complete answer: the members' answers in member order."""

    request_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerUnavailable:
    """Some part could not be fetched whole; `reason` names the part and the fault."""

    request_id: int
    reason: str
