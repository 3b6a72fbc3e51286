"""
Time limits of waits for another process.

The loop runs a timer that is due before the tasks that wait for what has arrived. In a
process that was held up, an answer that waits to be read would count as missing.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

# A timer that is this late shows that the event loop was held up.
HELD_UP_S = 0.05
# What has arrived meanwhile is read within this time.
LATE_READ_S = 0.1


class Deadline:
    """
    Ends a wait at a time of the loop, which may be changed.

    It ends later, once, if the event loop was held up at that time.
    """

    def __init__(self, limit: asyncio.Timeout, end_s: float):
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.may_extend = True
        self.timer = self.loop.call_at(max(end_s, self.loop.time()), self._check)

    def set(self, end_s: float) -> None:
        """Change the time at which the wait ends."""
        self.timer.cancel()
        self.timer = self.loop.call_at(end_s, self._check)

    def _check(self) -> None:
        now = self.loop.time()
        if self.may_extend and now >= self.timer.when() + HELD_UP_S:
            self.may_extend = False
            self.set(now + LATE_READ_S)
        else:
            self.limit.reschedule(now)


@contextlib.asynccontextmanager
async def limit_wait(end_s: float) -> AsyncIterator[Deadline]:
    """Raise `TimeoutError` if the block has not ended by its deadline."""
    async with asyncio.timeout(None) as limit:
        deadline = Deadline(limit, end_s)
        try:
            yield deadline
        finally:
            deadline.timer.cancel()
