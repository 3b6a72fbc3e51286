"""Tests of the task that follows the evacuated failure domains."""

import asyncio
import json
import random
import time
import unittest
from unittest import mock

from result import Err, Ok

from tests.fakes import FakeClock, FakeJournal, stop_task
from tests.test_batch_agent import AgentCase, make_heartbeat
from tests.test_batch_election import RecordingStore
from tests.utils import make_heartbeat_body
from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.evacuated_domains import EvacuationTimes
from yuccarelay.core.batch.events import EvacuationConfirmed, StepDown
from yuccarelay.core.batch.protocol import Declined, LeaseReference, Start, Started
from yuccarelay.platform.worker import decode_heartbeat
from yuccarelay.ports.store import Changes, Page, StoredValue, StoreFailure, WatchEvent
from yuccarelay.ports.worker import Accepted
from yuccarelay.tasks.batch import evacuation
from yuccarelay.tasks.batch.election import ElectionTask
from yuccarelay.tasks.batch.evacuation import EvacuationTask
from yuccarelay.tasks.batch.records import TermBegan, TermEnded
from yuccarelay.tasks.mailbox import Mailbox

PREFIX = 'op/evacuate/'
WAIT_LIMIT_S = 5
TIMES = EvacuationTimes(fresh_ms=2_400, watch_wait_ms=20)
UNREACHABLE = Err(StoreFailure('silent', ambiguous=True))
HISTORY_GONE = Err(StoreFailure('status 410', ambiguous=False, refused=True))


class FakeFeed:
    """
    The store's keys under the prefix, and the faults of its answers.

    `misses` means that watches report no change, `is_gone` that they are refused, and
    `lag` by how many revisions a read is behind. `pause_ms` passes on the clock while
    an answer waits to be read.
    """

    def __init__(self, clock: FakeClock, *domains: str):
        self.clock = clock
        self.keys = {PREFIX + domain for domain in domains}
        self.revision = 10
        self.log: list[WatchEvent] = []
        self.calls: list[str] = []
        self.is_down = False
        self.is_silent = False
        self.is_gone = False
        self.misses = False
        self.lag = 0
        self.pause_ms = 0
        self.error: Exception | None = None

    def write(self, domain: str, *, is_set: bool = True) -> None:
        """Write or delete a key as an operator does."""
        self.revision += 1
        key = PREFIX + domain
        value = StoredValue(key, b'{}', 1, self.revision) if is_set else None
        (self.keys.add if is_set else self.keys.discard)(key)
        self.log.append(WatchEvent(key, value, self.revision))

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        self.calls.append('read')
        await asyncio.sleep(0.001)
        self.clock.time_ms += self.pause_ms
        if self.error:
            raise self.error
        if self.is_down:
            return UNREACHABLE
        if self.lag:
            return Ok(Page((), self.revision - self.lag, False))
        values = [StoredValue(key, b'odd', 1, 1) for key in sorted(self.keys)]
        return Ok(Page(tuple(values), self.revision, False))

    async def read_changes(self, prefix, after, wait_ms):
        self.calls.append('watch')
        for _ in range(wait_ms):
            await asyncio.sleep(0.001)
            if self.is_silent:
                await asyncio.Event().wait()
            if self.is_down:
                return UNREACHABLE
            if self.is_gone:
                return HISTORY_GONE
            if self.misses:
                continue
            events = [event for event in self.log if event.revision > after]
            if events:
                return Ok(Changes(tuple(events), self.revision))
        self.clock.time_ms += self.pause_ms
        return Ok(Changes((), after if self.misses else self.revision))


class CallPace:
    """The calls from now on, against the time that passes."""

    def __init__(self, feed: FakeFeed):
        self.feed = feed
        self.calls = len(feed.calls)
        self.since_s = time.monotonic()

    def check(self, case: unittest.TestCase, pair_ms: float) -> None:
        """Check that two calls took at least this time on average."""
        took_ms = (time.monotonic() - self.since_s) * 1_000
        calls = len(self.feed.calls) - self.calls
        case.assertLess(calls, 2 * took_ms / pair_ms + 3)


class EvacuationTaskCase(unittest.IsolatedAsyncioTestCase):
    """A task whose process plans from the start."""

    async def asyncSetUp(self):
        self.clock, self.journal = FakeClock(), FakeJournal()
        self.feed = FakeFeed(self.clock)
        self.inbox, self.planner = Mailbox(), Mailbox()
        self.task = EvacuationTask(
            self.feed,
            PREFIX,
            TIMES,
            self.inbox,
            self.planner,
            self.clock,
            self.journal,
        )
        running = asyncio.create_task(self.task.run())
        self.addAsyncCleanup(stop_task, running)

    def patch(self, name: str, value: float) -> None:
        """Replace a constant of the task's module during the test."""
        patcher = mock.patch.object(evacuation, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    def begin_term(self, term: int = 5) -> None:
        self.inbox.put_nowait(TermBegan(term, {}))

    async def wait_for(self, *domains: str) -> EvacuationConfirmed:
        """Return the first message with these domains."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                message = await self.planner.get()
                if message.domains == set(domains):
                    return message

    async def list_messages(self, duration_s: float) -> list[EvacuationConfirmed]:
        """Return the messages of some time, without those that are waiting."""
        while not self.planner.empty():
            self.planner.get_nowait()
        await asyncio.sleep(duration_s)
        return [self.planner.get_nowait() for _ in range(self.planner.qsize())]


class FollowTest(EvacuationTaskCase):
    """Guards against a set that differs from the store's keys."""

    async def test_keys_that_are_there_at_the_start_are_read(self):
        self.feed.write('a/b c')
        self.feed.write('é')
        self.begin_term()
        await self.wait_for('a/b c', 'é')

    async def test_keys_that_appear_and_go_are_followed(self):
        # On a busy machine a watch may be late.
        self.patch('ANSWER_LIMIT_MS', 5_000)
        self.begin_term()
        await self.wait_for()
        self.feed.write('a')
        await self.wait_for('a')
        self.feed.write('b')
        await self.wait_for('a', 'b')
        self.feed.write('a', is_set=False)
        await self.wait_for('b')
        self.feed.write('b', is_set=False)
        await self.wait_for()
        self.assertEqual(self.feed.calls.count('read'), 1)

    async def test_the_validity_counts_from_the_request(self):
        self.begin_term()
        message = await self.wait_for()
        self.assertEqual(message.fresh_until_ms, self.clock.time_ms + TIMES.fresh_ms)

    async def test_the_key_of_the_folder_itself_names_no_domain(self):
        self.feed.write('')
        self.begin_term()
        await self.wait_for()

    async def test_a_key_that_changes_all_the_time_costs_few_calls(self):
        self.begin_term()
        await self.wait_for()
        pace = CallPace(self.feed)
        for _ in range(50):
            self.feed.write('a')
            await asyncio.sleep(0.004)
        pace.check(self, 2 * evacuation.GATHER_MS)


class TermTest(EvacuationTaskCase):
    """Guards against calls of processes that do not plan, and against old sets."""

    async def test_a_process_that_does_not_plan_makes_no_call(self):
        await asyncio.sleep(0.05)
        self.assertEqual(self.feed.calls, [])
        self.begin_term()
        await self.wait_for()
        self.inbox.put_nowait(TermEnded())
        await asyncio.sleep(0.01)
        calls = len(self.feed.calls)
        self.assertEqual(await self.list_messages(0.1), [])
        self.assertEqual(len(self.feed.calls), calls)

    async def test_each_term_begins_with_a_read(self):
        self.begin_term()
        await self.wait_for()
        self.inbox.put_nowait(TermEnded())
        await asyncio.sleep(0.01)
        self.feed.write('a')
        self.feed.log.clear()
        self.begin_term(11)
        await self.wait_for('a')

    async def test_a_read_from_before_the_term_confirms_nothing(self):
        self.feed.write('a')
        self.feed.lag = 1
        self.begin_term(term=self.feed.revision)
        self.assertEqual(await self.list_messages(0.15), [])
        self.feed.lag = 0
        await self.wait_for('a')


class FaultTest(EvacuationTaskCase):
    """Guards against a set that counts as the newest although it may not be."""

    async def test_a_silent_watch_is_given_up_and_everything_read(self):
        self.patch('ANSWER_LIMIT_MS', 50)
        self.begin_term()
        await self.wait_for()
        self.feed.is_silent = True
        await asyncio.sleep(0.03)
        self.feed.write('a')
        self.feed.log.clear()
        await self.wait_for('a')

    async def test_a_dropped_history_is_followed_by_a_read(self):
        self.begin_term()
        await self.wait_for()
        self.feed.misses = True
        self.feed.write('a')
        await asyncio.sleep(0.05)
        self.feed.misses, self.feed.is_gone = False, True
        await self.wait_for('a')
        # A store that refuses each watch is read at the same pace.
        pace = CallPace(self.feed)
        await asyncio.sleep(0.3)
        pace.check(self, evacuation.RETRY_S * 1_000)

    async def test_a_read_that_is_behind_the_watch_is_not_believed(self):
        self.begin_term()
        await self.wait_for()
        self.feed.write('a')
        await self.wait_for('a')
        self.feed.is_gone, self.feed.lag = True, 1
        messages = await self.list_messages(0.3)
        self.assertNotIn(frozenset(), [message.domains for message in messages])
        self.feed.lag = 0
        await self.wait_for('a')

    async def test_a_store_that_is_down_confirms_nothing_until_it_is_back(self):
        self.begin_term()
        await self.wait_for()
        self.feed.is_down = True
        await asyncio.sleep(0.03)
        self.assertEqual(await self.list_messages(0.25), [])
        self.feed.write('a')
        self.feed.log.clear()
        self.feed.is_down = False
        await self.wait_for('a')
        events = [event for event, _ in self.journal.lines]
        self.assertEqual(events, ['evacuation_feed_lost', 'evacuation_feed_found'])

    async def test_an_answer_that_waited_while_the_process_was_paused_is_old(self):
        self.begin_term()
        await self.wait_for()
        self.feed.pause_ms = TIMES.fresh_ms + 1
        for message in await self.list_messages(0.2):
            self.assertLess(message.fresh_until_ms, self.clock.time_ms)

    async def test_an_unexpected_error_does_not_end_the_task(self):
        self.patch('FAILED_RETRY_S', 0.05)
        self.feed.error = ValueError('odd')
        self.begin_term()
        self.assertEqual(await self.list_messages(0.1), [])
        self.assertIn('evacuation_failed', dict(self.journal.lines))
        self.feed.error = None
        await self.wait_for()


class ElectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a planner whose keys nobody follows, and calls without one."""

    async def test_the_task_learns_of_each_term(self):
        inbox, evacuation_box = Mailbox(), Mailbox()
        task = ElectionTask(
            'own',
            RecordingStore(),
            inbox,
            Mailbox(),
            Mailbox(),
            Mailbox(),
            FakeClock(),
            random.Random(1),
            FakeJournal(),
            evacuation_box,
        )
        running = asyncio.create_task(task.run())
        self.addAsyncCleanup(stop_task, running)
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await evacuation_box.get(), TermBegan(7, {}))
            inbox.put_nowait(StepDown(8))
            self.assertEqual(await evacuation_box.get(), TermEnded())


class AgentTest(AgentCase):
    """Guards against an agent that starts by an expired order, or hides the cold."""

    async def start(self, start_by_ms: int | None):
        """Return the answer to a start while the agent's clock shows 1,000."""

        async def accept(order, until_ms):
            return Accepted(500)

        self.worker.start = accept
        order = Start(
            term=1,
            basis=LeaseReference(7, self.agent.clock.now_ms()),
            worker=self.guard.worker_id(),
            task='a.0.0.0',
            run=1,
            specification='',
            checkpoint='',
            start_by_ms=start_by_ms,
        )
        await self.agent.serve(1, batch_codec.encode(order))
        return self.replies.pop()

    async def test_an_order_is_declined_after_its_deadline(self):
        now_ms = self.agent.clock.now_ms()
        self.assertEqual(await self.start(now_ms - 1), Declined('overdue'))
        started = Started(born_ms=self.guard.worker.born_ms)
        self.assertEqual(await self.start(now_ms), started)
        self.assertEqual(await self.start(None), started)

    async def test_a_report_says_how_much_longer_the_worker_is_cold(self):
        self.assertEqual((await self.poll()).cold_ms, 0)
        body = json.dumps(make_heartbeat_body(coldRemainingMs=700)).encode()
        cold_ms = decode_heartbeat('i-1', body).unwrap().cold_ms
        heartbeat = make_heartbeat(2)._replace(cold_ms=cold_ms)
        changes = self.guard.changes
        self.guard.take_heartbeat(heartbeat, self.agent.clock.now_ms())
        self.agent.clock.time_ms += 100
        self.assertEqual((await self.poll()).cold_ms, 600)
        self.agent.clock.time_ms += 1_000
        self.assertEqual((await self.poll()).cold_ms, 0)
        # A figure that falls with each heartbeat must not end each poll at once.
        self.assertEqual(self.guard.changes, changes)


if __name__ == '__main__':
    unittest.main()
