"""Tests of the store task's job records over HTTP, against the stand-in."""

import asyncio

from tests.store_fixture import (
    SHORT_DEADLINE_MS,
    TIMES,
    StoreTaskCase,
    make_record,
)
from yuccarelay.core.effects import (
    CreateRecord,
    LoadOpenRecords,
    LoadRecord,
    ReplaceRecord,
)
from yuccarelay.core.events import (
    Conflict,
    KeyTaken,
    Loaded,
    LoadedMany,
    Missing,
    Registered,
    Stored,
    StoreReplied,
    Unavailable,
)
from yuccarelay.core.models import JobState
from yuccarelay.ports.store import Put
from yuccarelay.tasks.store import PAGE_LIMIT

WEEK_MS = 7 * 24 * 3_600_000


class RecordTest(StoreTaskCase):
    """Guards against records that are lost, duplicated or reported wrongly."""

    async def test_key_binds_one_job(self):
        """Guards against a repeated submission that becomes a second job."""
        first, second = (make_record(n, key='k') for n in (1, 2))
        results = await self.send_effects(
            CreateRecord('1', first), CreateRecord('2', second)
        )
        self.assertIsInstance(results['1'], Stored)
        self.assertEqual(results['2'], KeyTaken('7-1'))
        self.assertEqual(await self.list_keys('jobs/'), ['jobs/7-1'])

    async def test_lost_answers_are_resolved(self):
        """Guards against a stored record that is reported as not stored."""
        self.standin.set_faults(lose_answers=2)
        record = make_record(1, key='k')
        created = (await self.send_effects(CreateRecord('1', record)))['1']
        self.standin.set_faults(lose_answers=2)
        changed = record._replace(state=JobState.LAUNCHING, attempt=1)
        effect = ReplaceRecord('2', changed, created.revision)
        replaced = (await self.send_effects(effect))['2']
        loaded = (await self.send_effects(LoadRecord('3', '7-1')))['3']
        self.assertEqual(loaded, Loaded(changed, replaced.revision))
        self.assertEqual((type(created), type(replaced)), (Stored, Stored))

    async def test_late_writer_gets_a_conflict(self):
        """Guards against a former owner that overwrites the record of the new owner."""
        created = (await self.send_effects(CreateRecord('1', make_record(1))))['1']
        adopted = make_record(1, owner=8)
        other_inbox, other_state_machine = asyncio.Queue(), asyncio.Queue()
        self.start_store_task(other_inbox, other_state_machine, seed=2)
        other_inbox.put_nowait(ReplaceRecord('2', adopted, created.revision))
        winner = (await self.expect(StoreReplied, other_state_machine)).result
        # The late write also loses its answer; that must not be taken for a success.
        self.standin.set_faults(lose_answers=1)
        late = ReplaceRecord('3', make_record(1, attempt=1), created.revision)
        result = (await self.send_effects(late))['3']
        self.assertEqual(result, Conflict(adopted, winner.revision))

    async def test_missing_record(self):
        """Guards against a replacement that creates a record which did not exist."""
        change = ReplaceRecord('1', make_record(1), 3)
        results = await self.send_effects(change, LoadRecord('2', '7-1'))
        self.assertEqual(results, {'1': Missing(), '2': Missing()})

    async def test_failed_guard_does_not_fail_its_group(self):
        """Guards against one conflict that fails all writes of its group."""
        await self.expect(Registered)
        await self.send_effects(CreateRecord('0', make_record(0)))
        before = self.standin.counts['kv/txn']
        effects = [CreateRecord(str(n), make_record(n)) for n in range(20)]
        results = await self.send_effects(*effects)
        self.assertIsInstance(results.pop('0'), Conflict)
        self.assertEqual({type(result) for result in results.values()}, {Stored})
        self.assertLessEqual(self.standin.counts['kv/txn'] - before, 2)

    async def test_silent_store_gives_an_ambiguous_result(self):
        """Guards against a record reported as not stored that is stored later."""
        inbox, state_machine = asyncio.Queue(), asyncio.Queue()
        times = TIMES._replace(settle_ms=0)
        self.start_store_task(
            inbox, state_machine, SHORT_DEADLINE_MS, seed=2, times=times
        )
        await self.expect(Registered, state_machine)
        self.standin.set_faults(down='hang')
        inbox.put_nowait(CreateRecord('1', make_record(1)))
        result = (await self.expect(StoreReplied, state_machine)).result
        self.assertEqual(result, Unavailable(ambiguous=True))
        self.standin.set_faults(down='')
        await self.store.transact((), ())
        self.assertEqual(await self.list_keys('jobs/'), ['jobs/7-1'])

    async def test_record_over_the_limit(self):
        """Guards against one large record that fails the others of its group."""
        large = make_record(1, payload=bytes(900_000))
        effects = [CreateRecord('1', large), CreateRecord('2', make_record(2))]
        results = await self.send_effects(*effects)
        self.assertEqual(results['1'], Unavailable(ambiguous=False))
        self.assertIsInstance(results['2'], Stored)

    async def test_ended_records_expire_together_with_their_keys(self):
        """Guards against a store that fills up, and against a lease for each job."""
        await self.expect(Registered)
        created = await self.send_effects(
            *[CreateRecord(str(n), make_record(n, key=f'k{n}')) for n in range(5)]
        )
        before = self.standin.counts['lease/grant']
        for n in range(4):
            ended = make_record(n, key=f'k{n}', state=JobState.ENDED)
            revision = created[str(n)].revision
            self.assertIsInstance(
                (await self.send_effects(ReplaceRecord('e', ended, revision)))['e'],
                Stored,
            )
        self.assertEqual(self.standin.counts['lease/grant'] - before, 1)
        await self.stop_store_task(self.running)
        self.clock.time_ms += 24 * 3_600_000
        self.assertEqual(len(await self.list_keys('jobs/')), 5)
        self.clock.time_ms += WEEK_MS
        self.assertEqual(await self.list_keys('jobs/'), ['jobs/7-4'])
        self.assertEqual(await self.list_keys('keys/'), ['keys/a/k4'])

    async def test_lost_shared_lease(self):
        """Guards against one refused write that fails its group permanently."""
        await self.expect(Registered)
        ended = make_record(1, state=JobState.ENDED)
        await self.send_effects(CreateRecord('1', ended))
        self.standin.memory.revoke(max(self.standin.memory.leases))
        effects = [
            CreateRecord('2', ended._replace(job_id='7-2')),
            CreateRecord('3', make_record(3)),
        ]
        results = await self.send_effects(*effects)
        self.assertEqual({type(result) for result in results.values()}, {Stored})

    async def test_open_records_come_from_all_pages(self):
        """Guards against adoption that misses the jobs after the first page."""
        count = PAGE_LIMIT + 3
        states = [JobState.QUEUED, JobState.ENDED]
        await self.send_effects(
            *[
                CreateRecord(str(n), make_record(n, state=states[n % 2]))
                for n in range(count)
            ]
        )
        await self.store.transact((), (Put('jobs/7-0x', b'damaged'),))
        loaded = (await self.send_effects(LoadOpenRecords('l')))['l']
        self.assertIsInstance(loaded, LoadedMany)
        found = {item.record.job_id for item in loaded.records}
        self.assertEqual(found, {f'7-{n}' for n in range(0, count, 2)})
