"""Retention of a worker's answers until an entry has fetched or retained them."""

from yuccarelay.core.effects import DropAnswer
from yuccarelay.core.messages import AnswersKept, KeepAnswers
from yuccarelay.core.models import AnswerPart
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.timing import REPEAT_INTERVAL_MS

# Limit of answers in one message; the others follow in later messages.
PARTS_PER_MESSAGE = 64
# An entry whose last chunk was lost requests it again within this time.
SERVE_IDLE_MS = 1_000


class AnswerRetention:
    """
    Answers of completed members that no entry has fetched completely.

    An agent that drains requests its assigned entry to retain these answers. It exits
    only when none is left and no chunk was served for `SERVE_IDLE_MS`.
    """

    def __init__(self, outbox: Outbox):
        self.outbox = outbox
        self.unfetched: dict[str, AnswerPart] = {}
        self.idle_from_ms = 0
        self.next_request_ms = 0

    def add(self, task_id: str, part: AnswerPart) -> None:
        """Add an answer, unless the job's record has it and no fetch is needed."""
        if part.length > len(part.data):
            self.unfetched[task_id] = part

    def note_served(self, now_ms: int) -> None:
        """Record that a chunk is served."""
        self.idle_from_ms = now_ms + SERVE_IDLE_MS

    def mark_fetched(self, task_id: str) -> None:
        """Record that an answer was served completely."""
        self.unfetched.pop(task_id, None)

    def mark_retained(self, reply: AnswersKept) -> None:
        """Record which answers an entry retains now."""
        for task_id in reply.task_ids:
            self.unfetched.pop(task_id, None)

    def drop(self, task_id: str) -> None:
        """Drop an answer whose retention has ended."""
        self.unfetched.pop(task_id, None)
        self.outbox.add(DropAnswer(task_id))

    def request_retention(self, entry_address: str, now_ms: int) -> None:
        """Request an entry to retain the answers; repeated until it has them."""
        if not self.unfetched or now_ms < self.next_request_ms:
            return
        self.next_request_ms = now_ms + REPEAT_INTERVAL_MS
        parts = tuple(self.unfetched.values())[:PARTS_PER_MESSAGE]
        self.outbox.send(entry_address, KeepAnswers(parts), 'keep:')

    def is_done(self, now_ms: int) -> bool:
        """Whether the agent can exit without the loss of an answer."""
        return not self.unfetched and now_ms >= self.idle_from_ms
