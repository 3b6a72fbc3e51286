"""Tests of how an entry watches the store."""

import asyncio
import unittest
from unittest import mock

from result import Err, Ok

from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.events import JobCancelled
from yuccarelay.ports.store import (
    WATCH_WAIT_MS,
    Changes,
    Page,
    StoredValue,
    StoreFailure,
    WatchEvent,
)
from yuccarelay.tasks.batch import replica as replica_module
from yuccarelay.tasks.batch.replica import (
    PROBE_WAIT_MS,
    WATCH_OVERDUE_MS,
    ReplicaConfirmed,
    ReplicaTask,
    StoreReachability,
    read_all,
)
from yuccarelay.tasks.mailbox import Mailbox

HISTORY_GONE = Err(StoreFailure('status 410', ambiguous=False, refused=True))
UNREACHABLE = Err(StoreFailure('silent', ambiguous=True))


def make_replica(store, handler: Mailbox, clock: FakeClock) -> ReplicaTask:
    """Return the replica of the entry `own`; only the handler's messages are kept."""
    return ReplicaTask(
        'own',
        store,
        handler,
        Mailbox(),
        Mailbox(),
        Mailbox(),
        clock,
        FakeJournal(),
    )


class SilentStore:
    """Answers the first reads and ends their watches; later reads never return."""

    def __init__(self, reads: int):
        self.reads = reads

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        self.reads -= 1
        if self.reads < 0:
            await asyncio.Event().wait()
        return Ok(Page((), 1, False))

    async def read_changes(self, prefix, after, wait_ms):
        return HISTORY_GONE


class StaleReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stale replica that counts as fresh during a slow read."""

    async def collect_reachability(self, reads: int, count: int) -> list[bool]:
        """Return the first `count` reports, of a store that answers `reads` reads."""
        handler = Mailbox()
        replica = make_replica(SilentStore(reads), handler, FakeClock())
        task = asyncio.create_task(replica.run())
        reports = []
        while len(reports) < count:
            message = await handler.get()
            if isinstance(message, StoreReachability):
                reports.append(message.store_reachable)
        await stop_task(task)
        return reports

    async def test_a_slow_read_after_a_watch_is_reported_before_it_ends(self):
        # Soak seed 21: the read took 2 s to fail.
        self.assertEqual(await self.collect_reachability(1, 2), [True, False])

    async def test_a_store_that_answers_at_once_counts_as_reachable(self):
        # kanem-trace: a dropped history ends the watches of all entries at once.
        self.assertEqual(await self.collect_reachability(6, 6), [True] * 6)


class PagedStore:
    """Answers reads with the given pages, one after the other."""

    def __init__(self, *pages: Page):
        self.pages = list(pages)

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        return Ok(self.pages.pop(0))


class CutListingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against keys that count as deleted because a listing was cut."""

    VALUE = StoredValue('yuccarelay/job/1', b'x', 1, 1)

    async def test_all_pages_are_read(self):
        store = PagedStore(Page((self.VALUE,), 5, True), Page((self.VALUE,), 9, False))
        found = await read_all(store, '')
        self.assertEqual(found, Ok(([self.VALUE] * 2, 5)))

    async def test_an_empty_page_with_more_to_come_is_no_whole_listing(self):
        store = PagedStore(Page((self.VALUE,), 5, True), Page((), 9, True))
        self.assertTrue((await read_all(store, '')).is_err())


class DelayedStore:
    """Answers each watch after the given delay, on a clock that the test sets."""

    def __init__(self, clock: FakeClock, *delays_ms: int):
        self.clock = clock
        self.delays_ms = list(delays_ms)

    async def read_changes(self, prefix, after, wait_ms):
        if not self.delays_ms:
            return HISTORY_GONE
        self.clock.time_ms += self.delays_ms.pop(0)
        return Ok(Changes((), after))


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that was paused and takes its replica for fresh."""

    async def confirm(self, *delays_ms: int) -> list[int]:
        """Return the times until which the replica counts as fresh."""
        clock, handler = FakeClock(), Mailbox()
        store = DelayedStore(clock, *delays_ms)
        replica = make_replica(store, handler, clock)
        await replica.follow(revision=1)
        messages = [handler.get_nowait() for _ in range(handler.qsize())]
        return [
            message.fresh_until_ms
            for message in messages
            if isinstance(message, ReplicaConfirmed)
        ]

    async def test_each_answer_in_time_confirms_the_replica(self):
        self.assertEqual(
            await self.confirm(1_000, 1_000),
            [2_000 + WATCH_OVERDUE_MS, 3_000 + WATCH_OVERDUE_MS],
        )

    async def test_an_overdue_answer_confirms_nothing(self):
        # The answer waited in the socket while the process was paused for 4 s.
        self.assertEqual(
            await self.confirm(1_000, 4_000, 10),
            [2_000 + WATCH_OVERDUE_MS, 6_010 + WATCH_OVERDUE_MS],
        )


class OutageStore:
    """Answers watches from a script, and counts full reads."""

    def __init__(self, *script):
        self.script = list(script)
        self.reads = 0
        self.polls = []

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        self.reads += 1
        return Ok(Page((), 7, False))

    async def read_changes(self, prefix, after, wait_ms):
        self.polls.append((after, wait_ms))
        if not self.script:
            await asyncio.Event().wait()
        return self.script.pop(0)


class GatherTest(unittest.IsolatedAsyncioTestCase):
    """
    Guards against a store call for each change by each entry.

    On the large site 35 entries made 45,000 calls in a day (ee2c8046).
    """

    async def count_polls(self, holder: str) -> int:
        """Return the polls after two changes while a node plans."""
        value = StoredValue(batch_records.PLANNER, holder.encode(), 8, 8)
        event = WatchEvent(value.key, value, 8)
        store = OutageStore(Ok(Changes((event,), 8)), Ok(Changes((event,), 9)))
        replica = make_replica(store, Mailbox(), FakeClock())
        with mock.patch.object(replica_module, 'GATHER_S', 60):
            task = asyncio.create_task(replica.follow(7))
            for _ in range(20):
                await asyncio.sleep(0)
            await stop_task(task)
        return len(store.polls)

    async def test_the_planner_reads_each_change_at_once(self):
        self.assertEqual(await self.count_polls('own 1'), 3)

    async def test_other_entries_gather_changes(self):
        self.assertEqual(await self.count_polls('other 1'), 1)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """
    Guards against full reads by all entries after an outage.

    On the large site they took up to 3 s, and callers were refused meanwhile.
    """

    async def watch(self, *script):
        """Return the store after the script, and the messages to the handler."""
        store, handler = OutageStore(*script), Mailbox()
        replica = make_replica(store, handler, FakeClock())
        task = asyncio.create_task(replica.run())
        with (
            mock.patch.object(replica_module, 'RETRY_S', 0),
            mock.patch.object(replica_module, 'GATHER_S', 0),
        ):
            while store.script or len(store.polls) <= len(script):
                await asyncio.sleep(0)
            await stop_task(task)
        return store, [handler.get_nowait() for _ in range(handler.qsize())]

    async def test_a_watch_goes_on_after_an_outage(self):
        value = StoredValue(batch_records.CANCELS + 'a', b'1', 9, 9)
        event = WatchEvent(value.key, value, 9)
        store, messages = await self.watch(
            Ok(Changes((), 8)),
            UNREACHABLE,
            UNREACHABLE,
            Ok(Changes((event,), 9)),
        )
        self.assertEqual(store.reads, 1)
        self.assertEqual(
            store.polls,
            [
                (7, WATCH_WAIT_MS),
                (8, WATCH_WAIT_MS),
                (8, PROBE_WAIT_MS),
                (8, PROBE_WAIT_MS),
                (9, WATCH_WAIT_MS),
            ],
        )
        reachable = [
            message.store_reachable
            for message in messages
            if isinstance(message, StoreReachability)
        ]
        self.assertEqual(reachable, [True, True, False, False, True])
        self.assertIn(JobCancelled('a'), messages)

    async def test_a_dropped_history_is_read_again(self):
        store, _ = await self.watch(Ok(Changes((), 8)), UNREACHABLE, HISTORY_GONE)
        self.assertEqual(store.reads, 2)


if __name__ == '__main__':
    unittest.main()
