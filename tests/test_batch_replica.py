"""Tests of how an entry watches the store."""

import asyncio
import unittest

from result import Ok

from tests.fakes import FakeJournal, stop_task
from yuccarelay.ports.store import Page
from yuccarelay.tasks.batch.replica import ReplicaTask, StoreReachability
from yuccarelay.tasks.mailbox import Mailbox


class SilentStore:
    """Answers the first reads and ends their watches; later reads never return."""

    def __init__(self, reads: int):
        self.reads = reads

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        self.reads -= 1
        if self.reads < 0:
            await asyncio.Event().wait()
        return Ok(Page((), 1, False))

    async def watch(self, prefix, start_revision):
        return
        yield ()


class StaleReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stale replica that counts as fresh during a slow read."""

    async def collect_reachability(self, reads: int, count: int) -> list[bool]:
        """Return the first `count` reports, of a store that answers `reads` reads."""
        handler = Mailbox()
        replica = ReplicaTask(
            SilentStore(reads),
            'op/',
            None,
            handler,
            Mailbox(),
            Mailbox(),
            FakeJournal(),
        )
        task = asyncio.create_task(replica.run())
        reports = []
        while len(reports) < count:
            message = await handler.get()
            if isinstance(message, StoreReachability):
                reports.append(message.store_reachable)
        await stop_task(task)
        return reports

    async def test_a_slow_read_after_a_watch_is_reported_before_it_ends(self):
        # Soak seed 21: the read took 2 s to fail. Both prefixes were read once.
        self.assertEqual(
            await self.collect_reachability(2, 4), [True, True, False, False]
        )

    async def test_a_store_that_answers_at_once_counts_as_reachable(self):
        # kanem-trace: a dropped history ends the watches of all entries at once.
        self.assertEqual(await self.collect_reachability(6, 6), [True] * 6)


if __name__ == '__main__':
    unittest.main()
