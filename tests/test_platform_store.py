"""Tests of the store port over the platform's store, against its stand-in."""

import unittest

from result import Ok

from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.platform.store import PlatformStore
from yuccarelay.ports.store import Delete, Guard, Put
from yuccarelay.standins.platform_store import PlatformStoreStandin


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against writes whose outcome is misjudged and changes that are missed."""

    async def asyncSetUp(self):
        self.standin = PlatformStoreStandin(MonotonicClock())
        self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.store = PlatformStore(self.standin.address)
        self.addAsyncCleanup(self.store.close)

    async def put(self, key: str, value: bytes, revision: int = 0):
        return await self.store.transact((Guard(key, revision),), (Put(key, value),))

    async def test_compare_and_swap(self):
        first = (await self.put('a/1', b'x')).unwrap()
        self.assertTrue(first.succeeded)
        second = (await self.put('a/1', b'y')).unwrap()
        self.assertFalse(second.succeeded)
        self.assertEqual(second.current[0].value, b'x')
        self.assertEqual(second.current[0].mod_revision, first.revision)
        self.assertTrue(
            (await self.put('a/1', b'y', first.revision)).unwrap().succeeded
        )

    async def test_ranges_keys_and_removal(self):
        await self.put('a/1', b'x')
        await self.put('b/1', b'y')
        page = (await self.store.read_prefix('a/')).unwrap()
        self.assertEqual([value.key for value in page.values], ['a/1'])
        await self.store.transact((), (Delete('a/1'),))
        self.assertEqual(await self.store.read('a/1'), Ok(None))
        self.assertEqual((await self.store.read('b/1')).unwrap().value, b'y')

    async def test_a_watch_yields_changes_in_order(self):
        revision = (await self.put('a/1', b'x')).unwrap().revision
        await self.put('a/2', b'y')
        await self.store.transact((), (Delete('a/1'),))
        async for events in self.store.watch('a/', revision + 1):
            found = [(e.key, e.value.value if e.value else None) for e in events]
            break
        self.assertEqual(found, [('a/2', b'y'), ('a/1', None)])

    async def test_changes_are_read_from_a_revision_on(self):
        first = (await self.put('a/1', b'x')).unwrap().revision
        await self.put('b/1', b'y')
        changes = (await self.store.read_changes('a/', first, 1)).unwrap()
        self.assertEqual(changes.events, ())
        self.assertGreater(changes.revision, first)
        changes = (await self.store.read_changes('a/', first - 1, 1)).unwrap()
        self.assertEqual([event.key for event in changes.events], ['a/1'])

    async def test_only_a_dropped_history_refuses_to_read_changes(self):
        await self.put('a/1', b'x')
        self.standin.memory.compact(self.standin.memory.revision)
        failure = (await self.store.read_changes('a/', 0, 1)).unwrap_err()
        self.assertTrue(failure.refused)
        self.standin.down = True
        failure = (await self.store.read_changes('a/', 0, 1)).unwrap_err()
        self.assertFalse(failure.refused)

    async def test_a_watch_ends_when_its_history_is_gone(self):
        await self.put('a/1', b'x')
        self.standin.memory.compact(self.standin.memory.revision)
        events = [found async for found in self.store.watch('a/', 1)]
        self.assertEqual(events, [])

    async def test_a_refused_call_did_nothing(self):
        self.standin.down = True
        failure = (await self.put('a/1', b'x')).unwrap_err()
        self.assertFalse(failure.ambiguous)

    async def test_a_lost_answer_leaves_the_write_undecided(self):
        self.standin.unanswered_writes = 1
        failure = (await self.put('a/1', b'x')).unwrap_err()
        self.assertTrue(failure.ambiguous)
        self.assertEqual((await self.store.read('a/1')).unwrap().value, b'x')

    async def test_a_call_to_an_unreachable_store_did_nothing(self):
        await self.standin.stop()
        store = PlatformStore('127.0.0.1:1')
        self.addAsyncCleanup(store.close)
        found = await store.transact((), (Put('a', b''),))
        self.assertFalse(found.unwrap_err().ambiguous)

    async def test_keys_are_deleted_with_their_lease(self):
        lease = (await self.store.grant_lease(5)).unwrap()
        await self.store.transact((), (Put('a/1', b'x', lease),))
        self.assertEqual(await self.store.renew_lease(lease), Ok(True))
        await self.store.revoke_lease(lease)
        self.assertEqual(await self.store.read('a/1'), Ok(None))
        self.assertEqual(await self.store.renew_lease(lease), Ok(False))
        late = await self.store.transact((), (Put('a/1', b'x', lease),))
        self.assertFalse(late.unwrap_err().ambiguous)
