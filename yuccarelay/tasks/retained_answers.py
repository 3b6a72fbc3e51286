"""Complete answers in memory, within a limit."""

from typing import NamedTuple

from yuccarelay.core.effects import ServeAnswer
from yuccarelay.core.messages import AnswerChunk, NoAnswer

CHUNK_LIMIT_BYTES = 256 * 1024


class RetainedAnswer(NamedTuple):
    """A complete answer and its SHA-256."""

    data: bytes
    sha256: str


class RetainedAnswers:
    """
    Answers by task id, such as `17-4.2/0`.

    Answers that were served to their end are dropped, the earliest served first, when
    another answer needs the memory. Others are dropped only by `drop`.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.kept: dict[str, RetainedAnswer] = {}
        self.served: dict[str, None] = {}

    def __contains__(self, task_id: str) -> bool:
        return task_id in self.kept

    def retain(self, task_id: str, answer: RetainedAnswer) -> bool:
        """Retain an answer; false if it does not fit into memory."""
        length = len(answer.data)
        served_bytes = sum(len(self.kept[name].data) for name in self.served)
        if self.used_bytes - served_bytes + length > self.limit_bytes:
            return False
        while self.used_bytes + length > self.limit_bytes:
            self.drop(next(iter(self.served)))
        self.kept[task_id] = answer
        self.used_bytes += length
        return True

    def drop(self, task_id: str) -> None:
        """Drop an answer, if it is retained."""
        self.served.pop(task_id, None)
        dropped = self.kept.pop(task_id, None)
        self.used_bytes -= len(dropped.data) if dropped else 0

    def read(self, serve: ServeAnswer) -> AnswerChunk | NoAnswer:
        """Return a chunk of an answer; the last chunk marks the answer as served."""
        task_id = f'{serve.attempt_id}/{serve.member}'
        kept = self.kept.get(task_id)
        if kept is None or serve.offset < 0 or serve.limit <= 0:
            return NoAnswer(attempt_id=serve.attempt_id, member=serve.member)
        end = serve.offset + min(serve.limit, CHUNK_LIMIT_BYTES)
        if end >= len(kept.data):
            self.served[task_id] = None
        return AnswerChunk(
            attempt_id=serve.attempt_id,
            member=serve.member,
            offset=serve.offset,
            length=len(kept.data),
            sha256=kept.sha256,
            data=kept.data[serve.offset : end],
        )

    def mark_served(self, task_id: str) -> None:
        """Mark an answer as served, because it is stored elsewhere as well."""
        self.served[task_id] = None

    def is_served(self, task_id: str) -> bool:
        """Whether an answer was read to its end."""
        return task_id in self.served
