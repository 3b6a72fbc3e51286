"""Lets tasks wait in their order for a part of a byte budget."""

import asyncio
import contextlib
import itertools

from yuccarelay.core.request_budget import ByteBudget


class ByteRoom:
    """Room for the bytes that are worked on at a time."""

    def __init__(self, limit_bytes: int):
        self.budget = ByteBudget(limit_bytes)
        self.queue: dict[int, asyncio.Event] = {}
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def reserve(self, size_bytes: int):
        """Wait for room and hold it during the block."""
        number = next(self.numbers)
        turn = asyncio.Event()
        self.queue[number] = turn
        try:
            while next(iter(self.queue)) != number or not self.budget.reserve(
                size_bytes
            ):
                turn.clear()
                await turn.wait()
        finally:
            del self.queue[number]
            self._wake()
        try:
            yield
        finally:
            self.budget.release(size_bytes)
            self._wake()

    def _wake(self) -> None:
        """Let the first in the queue try again."""
        for turn in self.queue.values():
            turn.set()
            break
