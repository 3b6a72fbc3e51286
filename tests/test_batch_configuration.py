"""Tests of how entries hand the operators' configuration on."""

import asyncio
import unittest

from result import Err, Ok

from tests.batch_fleet import CONFIGURATION
from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.adapters import batch_codec, batch_records
from yuccarelay.core.batch.configuration_feed import (
    HISTORY_VERSIONS,
    ConfigurationChange,
    ConfigurationHistory,
    ConfigurationVersion,
    EntryLink,
    NewerConfiguration,
    NothingNewer,
    ReadConfiguration,
    WatchConfiguration,
    apply_change,
    find_change,
    list_sources,
)
from yuccarelay.core.batch.events import Configured
from yuccarelay.core.batch.models import Configuration, Queue
from yuccarelay.ports.store import Changes, Page, StoredValue, StoreFailure, WatchEvent
from yuccarelay.ports.transport import TransportFailure
from yuccarelay.tasks.batch.configuration import (
    SLOW_TRANSFER_MS,
    ConfigurationConfirmed,
    ConfigurationTask,
    ConfirmationWanted,
)
from yuccarelay.tasks.batch.entry_watches import PeerAsked
from yuccarelay.tasks.batch.replica import WATCH_OVERDUE_MS, EntryLinkChanged
from yuccarelay.tasks.mailbox import Mailbox

WAIT_LIMIT_S = 5
UNREACHABLE = Err(StoreFailure('silent', ambiguous=True))
HISTORY_GONE = Err(StoreFailure('status 410', ambiguous=False, refused=True))


def make_version(version: int, *names: str, service: str = 's') -> Configuration:
    """Return a version with these queues."""
    queues = tuple(Queue(name, 'h', f'/{name}/', service) for name in names)
    return CONFIGURATION._replace(version=version, queues=queues)


class HistoryTest(unittest.TestCase):
    """Guards against a configuration that is put together wrongly."""

    def hand_on(self, history: ConfigurationHistory, known: Configuration):
        """Return what an entry with a version has after the answer of another."""
        other = ConfigurationHistory()
        other.put(known)
        message = batch_codec.encode(history.find_newer(known.version))
        other.apply(batch_codec.decode(message).unwrap())
        return other.newest

    def test_a_change_has_only_what_differs(self):
        before = make_version(1, 'a', 'b', 'c')
        now = make_version(2, 'a', 'd')._replace(
            queues=(
                *make_version(0, 'a', 'd').queues,
                *make_version(0, 'c', service='other').queues,
            ),
            organisations=(),
        )
        change = find_change(before, now)
        self.assertEqual({queue.name for queue in change.queues}, {'c', 'd'})
        self.assertEqual(change.removed, {'b', 'c'})
        found = apply_change(before, change)
        self.assertEqual(set(found.queues), set(now.queues))
        self.assertEqual(found._replace(queues=()), now._replace(queues=()))

    def test_a_change_is_for_one_base_only(self):
        change = find_change(make_version(1, 'a'), make_version(3, 'b'))
        self.assertIsNone(apply_change(make_version(2, 'a'), change))
        self.assertIsNone(apply_change(None, change))

    def test_an_entry_that_is_far_behind_gets_everything(self):
        history = ConfigurationHistory()
        versions = [make_version(n, f'q{n}') for n in range(1, HISTORY_VERSIONS + 3)]
        for version in versions:
            history.put(version)
        newest = versions[-1]
        answer = history.find_newer(1)
        self.assertEqual(answer, NewerConfiguration(newest))
        self.assertIsInstance(
            history.find_newer(newest.version - 1), ConfigurationChange
        )
        for known in versions[:-1]:
            self.assertEqual(self.hand_on(history, known), newest)

    def test_queues_of_the_same_name_are_not_told_apart_by_it(self):
        history = ConfigurationHistory()
        history.put(make_version(1, 'a', 'a'))
        history.put(make_version(2, 'a'))
        self.assertEqual(
            history.find_newer(1), NewerConfiguration(make_version(2, 'a'))
        )

    def test_an_older_version_is_not_applied(self):
        history = ConfigurationHistory()
        self.assertEqual(history.find_newer(0), NothingNewer())
        self.assertTrue(history.put(make_version(3)))
        self.assertFalse(history.put(make_version(2)))
        self.assertIsNone(history.apply(NewerConfiguration(make_version(3))))
        self.assertEqual(history.find_newer(3), NothingNewer())

    def test_a_large_version_is_small_on_the_wire(self):
        # 4,200 queues are 800 kB in the store, too much for each link.
        names = [f'r-{n * 7919 % 100_003:05}' for n in range(4_200)]
        message = batch_codec.encode(NewerConfiguration(make_version(1, *names)))
        self.assertLess(len(message), 200_000)
        self.assertTrue(batch_codec.decode(message).is_ok())
        self.assertTrue(batch_codec.decode(message[:-1]).is_err())


class SourcesTest(unittest.TestCase):
    """Guards against entries that follow each other, and against dear links."""

    def setUp(self):
        links = (
            EntryLink('far-fast', '10.2.0.1:7000', 'north', 65, 100),
            EntryLink('far-slow', '10.2.0.2:7000', 'north', 66, 5),
            EntryLink('near-fast', '10.1.0.1:7000', 'south', 5, 100),
            EntryLink('near-slow', '10.1.0.2:7000', 'south', 9, 5),
        )
        self.links = {link.node: link for link in links}

    def list_before(self, node: str) -> list[str]:
        sources = list_sources(self.links[node], self.links)
        return [link.node for link in sources.before]

    def test_entries_follow_those_of_their_region_that_are_better_connected(self):
        self.assertEqual(self.list_before('near-fast'), [])
        self.assertEqual(self.list_before('near-slow'), ['near-fast'])
        self.assertEqual(self.list_before('far-fast'), ['near-fast', 'near-slow'])
        self.assertEqual(
            self.list_before('far-slow'), ['far-fast', 'near-fast', 'near-slow']
        )

    def test_of_two_entries_one_ranks_before_the_other(self):
        for own in self.links.values():
            sources = list_sources(own, self.links)
            others = {link.node for link in sources.before + sources.after}
            self.assertEqual(others, self.links.keys() - {own.node})
            for link in sources.before:
                self.assertIn(own, list_sources(link, self.links).after)

    def test_a_link_survives_the_store_and_an_odd_one_ranks_last(self):
        for link in self.links.values():
            data = batch_records.encode_entry(link)
            self.assertEqual(batch_records.decode_entry(link.node, data), link)
        for data in (
            b'1.2.3.4:7000',
            b'a b c d',
            b'x south -3 5',
            b'\xff 9 9 9 9',
            b'',
        ):
            odd = batch_records.decode_entry('odd', data)
            self.assertGreater(odd.rank(), self.links['far-slow'].rank())


class ScriptedEntries:
    """Answers queries of the configuration for each address, or not at all."""

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []

    async def request(self, address, data, limit_ms):
        query = batch_codec.decode(data).unwrap()
        self.asked.append((address, type(query)))
        # Requests that are answered at once must leave the other tasks a turn.
        await asyncio.sleep(0.001)
        answer = self.answers.get(address)
        if answer is None:
            return Err(TransportFailure('no reply by the deadline'))
        version, fresh_for_ms, via = answer
        match query:
            case WatchConfiguration():
                reply = ConfigurationVersion(version.version, fresh_for_ms, via)
            case ReadConfiguration():
                reply = NewerConfiguration(version)
        return Ok(batch_codec.encode(reply))

    def close(self):
        pass


class ScriptedStore:
    """Serves a configuration, and a script of answers to watches."""

    def __init__(self, *watches, is_down: bool = False):
        self.watches = list(watches)
        self.is_down = is_down
        self.version = 1
        self.calls = []

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        self.calls.append('read')
        await asyncio.sleep(0.001)
        if self.is_down:
            return UNREACHABLE
        value = StoredValue('op/config', str(self.version).encode(), 1, self.version)
        return Ok(Page((value,), self.version, False))

    async def read_changes(self, prefix, after, wait_ms):
        self.calls.append(f'watch {after}')
        await asyncio.sleep(0.001)
        if self.is_down:
            return UNREACHABLE
        if not self.watches:
            await asyncio.Event().wait()
        return self.watches.pop(0)


def make_change(*versions: int, transfer_ms: int = 0):
    """Return an answer to a watch with these versions of the configuration."""
    events = tuple(
        WatchEvent('op/config', StoredValue('op/config', str(n).encode(), 1, n), n)
        for n in versions
    )
    return Ok(Changes(events, max(versions), transfer_ms))


class ConfigurationTaskCase(unittest.IsolatedAsyncioTestCase):
    """An entry `own` that ranks between the entries `a` and `z`."""

    def make_task(self, store, entries) -> ConfigurationTask:
        self.clock, self.journal = FakeClock(), FakeJournal()
        self.handler, self.planner = Mailbox(), Mailbox()
        task = ConfigurationTask(
            EntryLink('own', 'own'),
            store,
            'op/',
            lambda data: Ok(make_version(int(data))),
            entries,
            Mailbox(),
            self.handler,
            self.planner,
            self.clock,
            self.journal,
        )
        for address in entries.answers:
            task.take(EntryLinkChanged(address, EntryLink(address, address)))
        return task

    async def run_until(self, task: ConfigurationTask, is_met) -> None:
        """Run the task until a condition is met."""
        running = asyncio.create_task(task.run())
        try:
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not is_met():
                    await asyncio.sleep(0.002)
        finally:
            await stop_task(running)

    def list_versions(self, inbox: Mailbox) -> list[int]:
        messages = [inbox.get_nowait() for _ in range(inbox.qsize())]
        return [
            message.configuration.version
            for message in messages
            if isinstance(message, Configured)
        ]


class FollowEntryTest(ConfigurationTaskCase):
    """Guards against an entry that takes an old version of another for the newest."""

    async def test_a_newer_configuration_comes_from_another_entry(self):
        # kanem-trace fresh-429e: an entry that the store rejected refused a key that
        # the operators had added 3.8 s before.
        entries = ScriptedEntries(a=(make_version(9), 1_000, ()))
        task = self.make_task(ScriptedStore(is_down=True), entries)
        await self.run_until(task, task.is_fresh)
        self.assertEqual(self.list_versions(self.handler), [9])
        self.assertEqual(self.list_versions(self.planner), [9])
        self.assertIn('configuration_from_entry', dict(self.journal.lines))

    async def test_the_newest_of_two_entries_that_cannot_tell_is_applied(self):
        # After a restart without the store, the first entry that answered decided. It
        # may have been cut off longer than the other, and know keys withdrawn since.
        for a, z in ((8, 9), (9, 8)):
            entries = ScriptedEntries(
                a=(make_version(a), 0, ()), z=(make_version(z), 0, ())
            )
            task = self.make_task(ScriptedStore(is_down=True), entries)
            await self.run_until(task, lambda: task.history.version)  # noqa: B023
            self.assertEqual(self.list_versions(self.handler), [9])
            self.assertFalse(task.is_fresh())

    async def test_entries_do_not_confirm_each_other_in_a_circle(self):
        # Both would stay fresh for ever while neither reaches the store.
        entries = ScriptedEntries(a=(make_version(3), 1_000, ('b', 'own')))
        task = self.make_task(ScriptedStore(is_down=True), entries)
        await self.run_until(task, lambda: task.history.version)
        self.assertFalse(task.is_fresh())

    async def test_the_store_is_not_read_while_an_entry_confirms(self):
        store = ScriptedStore()
        entries = ScriptedEntries(a=(make_version(3), 1_000, ()))
        task = self.make_task(store, entries)
        task.entry_fresh_until_ms = self.clock.now_ms()
        await self.run_until(task, lambda: len(entries.asked) > 20)
        self.assertEqual(store.calls, [])

    async def test_the_store_is_read_when_no_entry_confirms(self):
        entries = ScriptedEntries(a=None)
        task = self.make_task(ScriptedStore(), entries)
        await self.run_until(task, task.is_fresh)
        self.assertEqual(self.list_versions(self.handler), [1])

    async def test_a_slow_read_counts_from_the_answer_that_it_follows(self):
        # A version that took 5 s to arrive may be old by then.
        entries = ScriptedEntries(a=(make_version(3), 1_000, ()))
        task = self.make_task(ScriptedStore(is_down=True), entries)

        async def read_slowly(*_):
            self.clock.time_ms += 5_000
            return True

        task._read_entry = read_slowly
        await self.run_until(task, lambda: task.via)
        self.assertFalse(task.is_fresh())


class FollowStoreTest(ConfigurationTaskCase):
    """Guards against versions that are missed, and against waits for old ones."""

    async def watch(self, *watches, calls: int):
        """Return the store after a number of calls of an entry without others."""
        store = ScriptedStore(*watches)
        task = self.make_task(store, ScriptedEntries())
        await self.run_until(task, lambda: len(store.calls) >= calls)
        return store

    async def test_changes_are_applied_and_the_watch_goes_on(self):
        store = await self.watch(make_change(2), make_change(3, 4), calls=4)
        self.assertEqual(store.calls, ['read', 'watch 1', 'watch 2', 'watch 4'])
        self.assertEqual(self.list_versions(self.handler), [1, 2, 4])

    async def test_after_a_slow_transfer_the_newest_is_read(self):
        slow = make_change(2, transfer_ms=SLOW_TRANSFER_MS + 1)
        store = await self.watch(slow, calls=3)
        self.assertEqual(store.calls[:3], ['read', 'watch 1', 'read'])

    async def test_a_dropped_history_is_read_again(self):
        store = await self.watch(HISTORY_GONE, calls=3)
        self.assertEqual(store.calls[:3], ['read', 'watch 1', 'read'])

    async def test_an_overdue_answer_confirms_nothing(self):
        # The answer waited in the socket while the process was paused for 4 s.
        store = ScriptedStore(make_change(2))
        task = self.make_task(store, ScriptedEntries())
        task.revision, task.revision_seen_ms = 1, self.clock.now_ms()
        watching = asyncio.create_task(task._watch_store())
        await asyncio.sleep(0)
        self.clock.time_ms += 4_000
        await watching
        self.assertEqual(task.fresh_until_ms, 0)
        self.assertEqual(self.list_versions(self.handler), [2])


class ServeEntriesTest(ConfigurationTaskCase):
    """Guards against entries that wait for ever, or are told an old version."""

    def ask(self, task: ConfigurationTask, query):
        reply_to = asyncio.get_running_loop().create_future()
        task.take(PeerAsked(query, reply_to))
        return reply_to

    async def read(self, reply_to):
        async with asyncio.timeout(WAIT_LIMIT_S):
            return batch_codec.decode(await reply_to).unwrap()

    async def test_a_newer_version_is_told_at_once(self):
        task = self.make_task(ScriptedStore(), ScriptedEntries())
        task.history.put(make_version(3))
        found = await self.read(self.ask(task, WatchConfiguration(2, waits=True)))
        self.assertEqual(found, ConfigurationVersion(3, 0))
        found = await self.read(self.ask(task, ReadConfiguration(2)))
        self.assertEqual(found, NewerConfiguration(make_version(3)))

    async def test_a_watch_ends_with_the_next_confirmation(self):
        task = self.make_task(ScriptedStore(), ScriptedEntries())
        task.history.put(make_version(3))
        reply_to = self.ask(task, WatchConfiguration(3, waits=True))
        await asyncio.sleep(0)
        self.assertFalse(reply_to.done())
        task._confirm_from_store(self.clock.now_ms())
        found = await self.read(reply_to)
        self.assertEqual(found, ConfigurationVersion(3, WATCH_OVERDUE_MS))

    async def test_an_entry_that_cannot_tell_says_so(self):
        task = self.make_task(ScriptedStore(), ScriptedEntries())
        task.history.put(make_version(3))
        found = await self.read(self.ask(task, WatchConfiguration(3, waits=False)))
        self.assertEqual(found, ConfigurationVersion(3, 0))
        self.assertTrue(task.wanted.is_set())
        self.assertEqual(task.watches.waiting, [])

    async def test_a_wanted_confirmation_gives_a_silent_entry_up(self):
        class SilentEntries(ScriptedEntries):
            async def request(self, address, data, limit_ms):
                self.asked.append(address)
                if address == 'a':
                    await asyncio.Event().wait()
                return await super().request(address, data, limit_ms)

        entries = SilentEntries(a=None, b=(make_version(4), 1_000, ()))
        task = self.make_task(ScriptedStore(is_down=True), entries)
        task.store_fresh_until_ms = self.clock.now_ms()
        running = asyncio.create_task(task.run())
        async with asyncio.timeout(WAIT_LIMIT_S):
            while 'a' not in entries.asked:
                await asyncio.sleep(0.002)
            self.clock.time_ms += 1
            task.inbox.put_nowait(ConfirmationWanted())
            while not task.is_fresh():
                await asyncio.sleep(0.002)
        await stop_task(running)
        self.assertIsInstance(self.handler.get_nowait(), Configured)
        self.assertIsInstance(self.handler.get_nowait(), ConfigurationConfirmed)


if __name__ == '__main__':
    unittest.main()
