"""Tests of the store task over HTTP against the store stand-in."""

import asyncio

from tests.store_fixture import (
    HANG_GUARD_S,
    SHORT_DEADLINE_MS,
    TIMES,
    FakeClock,
    StoreTaskCase,
    make_record,
)
from yuccarelay.adapters.records import ManifestValue, encode_manifest, encode_plan
from yuccarelay.core.effects import CreateRecord, Deregister, ProposePlan
from yuccarelay.core.events import (
    EntriesSeen,
    ManifestSeen,
    PlanSeen,
    Registered,
    RegistrationLost,
    Stored,
    StoreHealthChanged,
    Unavailable,
)
from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES
from yuccarelay.ports.store import Put
from yuccarelay.tasks.breaker import FAILURE_LIMIT
from yuccarelay.tasks.messages import (
    CommitManifest,
    CommitRefused,
    Committed,
    CommitUndecided,
)


class RegistrationTest(StoreTaskCase):
    """Guards against an entry that acts with no registration or with two."""

    async def test_lost_reply_gives_one_registration(self):
        """Guards against a second incarnation when the first reply is lost."""
        await self.expect(Registered)
        self.standin.set_faults(lose_answers=1)
        state_machine = asyncio.Queue()
        self.start_store_task(asyncio.Queue(), state_machine, seed=2)
        incarnation = (await self.expect(Registered, state_machine)).incarnation
        page = (await self.store.read_prefix('config/entries/')).unwrap()
        created = [value.create_revision for value in page.values]
        self.assertEqual(len(created), 2)
        self.assertIn(incarnation, created)

    async def test_lease_expires_while_paused(self):
        """Guards against a paused entry that resumes under its old incarnation."""
        old = (await self.expect(Registered)).incarnation
        self.clock.time_ms += 11_000
        await self.expect(RegistrationLost)
        new = (await self.expect(Registered)).incarnation
        self.assertGreater(new, old)
        self.assertEqual(len(await self.list_keys('config/entries/')), 1)

    async def test_late_renewal_loses_the_registration(self):
        """Guards against accepting a renewal whose reply arrives after the deadline."""
        clock, state_machine = FakeClock(), asyncio.Queue()
        self.start_store_task(asyncio.Queue(), state_machine, seed=2, clock=clock)
        old = (await self.expect(Registered, state_machine)).incarnation
        # The store's clock does not advance, so the store would still renew the lease.
        clock.time_ms += 10_000
        await self.expect(RegistrationLost, state_machine)
        self.assertGreater(
            (await self.expect(Registered, state_machine)).incarnation, old
        )

    async def test_outage_longer_than_the_lease(self):
        """Guards against an entry that trusts a lease it could not renew."""
        old = (await self.expect(Registered)).incarnation
        self.standin.set_faults(down='refuse')
        while (await self.expect(StoreHealthChanged)).up:
            pass
        self.clock.time_ms += 10_000
        await self.expect(RegistrationLost)
        self.standin.set_faults(down='')
        self.assertGreater((await self.expect(Registered)).incarnation, old)

    async def test_deregistration_deletes_the_key(self):
        """Guards against a stopped entry that counts as live until its lease ends."""
        await self.expect(Registered)
        self.inbox.put_nowait(Deregister())
        while (await self.expect(EntriesSeen)).entries:
            pass
        self.assertEqual(await self.list_keys('config/entries/'), [])
        self.assertFalse(self.running.done())

    async def test_cancelling_ends_all_tasks(self):
        """Guards against subtasks that continue after the task was cancelled."""
        await self.expect(EntriesSeen)
        await self.stop_store_task(self.running)
        files = [task.get_coro().cr_code.co_filename for task in asyncio.all_tasks()]
        self.assertFalse([name for name in files if 'yuccarelay/tasks' in name])


class ConfigTest(StoreTaskCase):
    """Guards against a manifest, plan or entry that goes back or is missed."""

    async def put_manifest(self, generation: int, text: bytes = b'{}'):
        data = encode_manifest(ManifestValue(generation, 'w', text))
        await self.store.transact((), (Put('config/manifest', data),))

    async def test_stale_read_is_ignored(self):
        """Guards against a store that serves an old generation after a newer one."""
        await self.put_manifest(1)
        old = self.standin.memory.revision
        await self.put_manifest(2)
        while (await self.expect(ManifestSeen)).generation < 2:
            pass
        self.standin.set_faults(stale_revision=old, down='refuse')
        while (await self.expect(StoreHealthChanged)).up:
            pass
        self.standin.set_faults(down='')
        await self.wait_event('stale_read_ignored')
        self.standin.set_faults(stale_revision=0)
        await self.put_manifest(3)
        self.assertEqual((await self.expect(ManifestSeen)).generation, 3)

    async def test_text_is_passed_on_as_it_was_committed(self):
        """Guards against a manifest text that differs from the committed one."""
        text = b'{"b": 1.50,\n "a": []}'
        await self.put_manifest(1, text)
        self.assertEqual((await self.expect(ManifestSeen)).text, text)

    async def test_lower_generation_and_epoch_are_not_passed_on(self):
        """Guards against an older manifest or plan written over a newer one."""
        await self.put_manifest(5)
        plan = Put('config/plan/south', encode_plan(Plan(5, 5, ())))
        await self.store.transact((), (plan,))
        await self.expect(PlanSeen)
        await self.put_manifest(4)
        plan = Put('config/plan/south', encode_plan(Plan(4, 5, ())))
        await self.store.transact((), (plan,))
        await self.put_manifest(6)
        self.assertEqual((await self.expect(ManifestSeen)).generation, 6)
        self.assertEqual(self.journal.events.count('older_value_ignored'), 2)

    async def test_changes_during_an_outage_are_read_afterwards(self):
        """Guards against a change missed while the watch was lost."""
        await self.expect(EntriesSeen)
        self.standin.set_faults(down='refuse')
        while (await self.expect(StoreHealthChanged)).up:
            pass
        data = encode_manifest(ManifestValue(1, 'w', b'{}'))
        self.write_directly('config/manifest', data)
        self.standin.set_faults(down='', compact=True)
        self.assertEqual((await self.expect(ManifestSeen)).generation, 1)

    async def test_hanging_watch_is_reopened(self):
        """Guards against relying on a watch over a dead connection for ever."""
        state_machine = asyncio.Queue()
        await self.stop_store_task(self.running)
        self.start_store_task(asyncio.Queue(), state_machine, SHORT_DEADLINE_MS, seed=2)
        await self.expect(Registered, state_machine)
        before = self.standin.counts['watch']
        self.standin.set_faults(down='hang')
        while (await self.expect(StoreHealthChanged, state_machine)).up:
            pass
        self.standin.set_faults(down='')
        async with asyncio.timeout(HANG_GUARD_S):
            while self.standin.counts['watch'] == before:
                await asyncio.sleep(0.001)

    async def test_malformed_values_are_logged(self):
        """Guards against a malformed value that stops the entry."""
        for name in ('manifest', 'plan/south', 'entries/x'):
            await self.store.transact((), (Put(f'config/{name}', b'{'),))
        await self.put_manifest(1, b'{"bad": 1}')
        await self.put_manifest(2)
        self.assertEqual((await self.expect(ManifestSeen)).generation, 2)
        self.assertEqual(self.journal.events.count('malformed_value'), 4)

    async def test_simultaneous_plans(self):
        """Guards against two entries whose plans overwrite each other."""
        for generation in (1, 2):
            self.inbox.put_nowait(ProposePlan(Plan(1, generation, ())))
        seen = (await self.expect(PlanSeen)).plan
        await self.wait_event('plan_outdated')
        self.inbox.put_nowait(ProposePlan(Plan(2, 9, ())))
        self.assertEqual((await self.expect(PlanSeen)).plan, Plan(2, 9, ()))
        self.assertEqual(seen.epoch, 1)


class CommitTest(StoreTaskCase):
    """Guards against commits that are lost, repeated or answered wrongly."""

    async def test_conflict_names_the_generation_in_force(self):
        """Guards against concurrent commits that are both reported as committed."""
        first = await self.commit(b'{"text": "1"}', 0)
        second = await self.commit(b'{"text": "2"}', 0)
        self.assertEqual(first, Committed(1))
        self.assertEqual(second, CommitRefused('generation_conflict', generation=1))
        self.assertEqual(await self.commit(b'{"text": "3"}', 1), Committed(2))

    async def test_simultaneous_commits(self):
        """Guards against concurrent commits that are not decided by the store."""
        for text in (b'{"text": "1"}', b'{"text": "2"}'):
            self.inbox.put_nowait(CommitManifest(1, text, 0, self.front))
        results = [(await self.front.get()).result for _ in range(2)]
        refused = CommitRefused('generation_conflict', generation=1)
        self.assertCountEqual(results, [Committed(1), refused])

    async def test_lost_reply_is_settled(self):
        """Guards against a commit in force that is reported as refused."""
        await self.expect(Registered)
        self.standin.set_faults(lose_answers=2)
        self.assertEqual(await self.commit(b'{"text": "1"}', 0), Committed(1))
        self.assertEqual((await self.expect(ManifestSeen)).generation, 1)

    async def test_hanging_store_is_undecided(self):
        """Guards against a definite result when the outcome is unknown."""
        inbox, state_machine = asyncio.Queue(), asyncio.Queue()
        times = TIMES._replace(settle_ms=0)
        self.start_store_task(
            inbox, state_machine, SHORT_DEADLINE_MS, seed=2, times=times
        )
        await self.expect(EntriesSeen, state_machine)
        self.standin.set_faults(down='hang')
        inbox.put_nowait(CommitManifest(1, b'{}', 0, self.front))
        result = (await asyncio.wait_for(self.front.get(), HANG_GUARD_S)).result
        self.assertIsInstance(result, CommitUndecided)

    async def test_lost_reply_before_a_later_generation_is_undecided(self):
        """Guards against reporting a refusal of a commit that was in force."""
        await self.expect(Registered)
        self.standin.set_faults(lose_answers=1_000)
        request = CommitManifest(1, b'{"text": "1"}', 0, self.front)
        self.inbox.put_nowait(request)
        await self.expect(ManifestSeen)
        later = encode_manifest(ManifestValue(2, 'other', b'{}'))
        self.write_directly('config/manifest', later)
        self.standin.set_faults(lose_answers=0)
        result = (await asyncio.wait_for(self.front.get(), HANG_GUARD_S)).result
        self.assertIsInstance(result, CommitUndecided)

    async def test_unreachable_store_is_a_refusal(self):
        """Guards against an unknown outcome when nothing can have been written."""
        await self.expect(EntriesSeen)
        self.standin.set_faults(down='refuse')
        result = await self.commit(b'{}', 0)
        self.assertEqual(result, CommitRefused('store_unavailable'))

    async def test_invalid_texts_write_nothing(self):
        """Guards against a manifest that no entry can put in force."""
        await self.expect(Registered)
        before = self.standin.counts['kv/txn']
        over = b'{"text": "' + b'x' * MANIFEST_LIMIT_BYTES + b'"}'
        codes = [
            (await self.commit(text, 0)).code for text in (over, b'{', b'{"bad": 1}')
        ]
        self.assertEqual(
            codes, ['manifest_too_large', 'manifest_not_json', 'manifest_invalid']
        )
        self.assertEqual(self.standin.counts['kv/txn'], before)


class BreakerTest(StoreTaskCase):
    """Guards against clients that prolong an outage of the store."""

    async def test_outage_and_recovery_cost_few_calls(self):
        """Guards against calls to a store that is down, and a burst afterwards."""
        await self.expect(EntriesSeen)
        # A registration that is under way would be counted as a call of the outage.
        while not self.standin.counts['kv/txn']:
            await asyncio.sleep(0.001)
        self.standin.set_faults(down='refuse')
        while (await self.expect(StoreHealthChanged)).up:
            pass
        before = self.standin.counts.copy()
        effects = [CreateRecord(str(n), make_record(n)) for n in range(100)]
        results = await self.send_effects(*effects)
        self.assertEqual(set(results.values()), {Unavailable(ambiguous=False)})
        calls = self.standin.counts - before
        self.assertEqual(calls['kv/txn'], 0)
        self.assertLessEqual(calls.total(), FAILURE_LIMIT)
        self.standin.set_faults(down='')
        self.assertTrue((await self.expect(StoreHealthChanged)).up)
        before = self.standin.counts.copy()
        results = await self.send_effects(*effects)
        self.assertEqual({type(result) for result in results.values()}, {Stored})
        self.assertLessEqual((self.standin.counts - before)['kv/txn'], 5)
