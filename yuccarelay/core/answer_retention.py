"""The answers of a worker: whose fetch is open, and who keeps them when it leaves."""

from yuccarelay.core.effects import DropAnswer
from yuccarelay.core.messages import AnswersKept, KeepAnswers
from yuccarelay.core.models import AnswerPart
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.timing import REPEAT_INTERVAL_MS

# A message names at most so many answers; the others follow with its repeats.
PARTS_PER_MESSAGE = 64
# An entry whose last chunk was lost asks again within this time.
SERVE_IDLE_MS = 1_000


class AnswerRetention:
    """
    Completed members whose answer no entry has fetched to its end.

    An agent that drains asks its home entry to keep these answers, and stays
    until none is left and no chunk was served for `SERVE_IDLE_MS`.
    """

    def __init__(self, outbox: Outbox):
        self.outbox = outbox
        self.unfetched: dict[str, AnswerPart] = {}
        self.idle_from_ms = 0
        self.next_request_ms = 0

    def add(self, task_id: str, part: AnswerPart) -> None:
        """Note a new answer; one that is in the record needs no fetch."""
        if part.length > len(part.data):
            self.unfetched[task_id] = part

    def note_served(self, now_ms: int) -> None:
        """Note that some chunk is served."""
        self.idle_from_ms = now_ms + SERVE_IDLE_MS

    def mark_fetched(self, task_id: str) -> None:
        """Note that an answer was served to its end."""
        self.unfetched.pop(task_id, None)

    def mark_retained(self, reply: AnswersKept) -> None:
        """Note which answers an entry keeps now."""
        for task_id in reply.task_ids:
            self.unfetched.pop(task_id, None)

    def drop(self, task_id: str) -> None:
        """Forget an answer whose time is over."""
        self.unfetched.pop(task_id, None)
        self.outbox.add(DropAnswer(task_id))

    def request_retention(self, entry_address: str, now_ms: int) -> None:
        """Ask an entry to keep the answers, again until it has them."""
        if not self.unfetched or now_ms < self.next_request_ms:
            return
        self.next_request_ms = now_ms + REPEAT_INTERVAL_MS
        parts = tuple(self.unfetched.values())[:PARTS_PER_MESSAGE]
        self.outbox.send(entry_address, KeepAnswers(parts), 'keep:')

    def is_done(self, now_ms: int) -> bool:
        """Whether no answer would be lost now."""
        return not self.unfetched and now_ms >= self.idle_from_ms
