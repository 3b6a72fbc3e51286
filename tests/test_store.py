"""Tests of the store adapter over HTTP, against the stand-in."""

import asyncio
import json
import unittest
import zlib
from contextlib import aclosing

from result import Ok
from tornado.httpclient import AsyncHTTPClient

from tests.store_fixture import SHORT_DEADLINE_MS, StoreCase
from yuccarelay.adapters import records
from yuccarelay.adapters.etcd import CONNECTION_LIMIT
from yuccarelay.core.guarantee_plan import CellAssignment, Plan
from yuccarelay.core.models import (
    AnswerPart,
    Claim,
    JobRecord,
    JobState,
    MemberRef,
    OutcomeRecord,
)
from yuccarelay.ports.store import VALUE_LIMIT_BYTES, Delete, Guard, Put


class TransactionTest(StoreCase):
    """Guards against a write that overwrites another one without an error."""

    async def test_one_of_two_racing_writers_succeeds(self):
        """Guards against two racing creations that are both reported as successful."""
        writes = [(Put('a', b'1'),), (Put('a', b'2'),)]
        results = await asyncio.gather(
            *[self.store.transact((Guard('a', 0),), write) for write in writes]
        )
        self.assertEqual(sorted(r.unwrap().succeeded for r in results), [False, True])
        loser = next(r.unwrap() for r in results if not r.unwrap().succeeded)
        found = (await self.store.read('a')).unwrap()
        self.assertEqual(loser.current, (found,))

    async def test_old_revision_is_refused(self):
        """Guards against a late write that overwrites a newer one."""
        first = (await self.store.transact((), (Put('a', b'1'),))).unwrap()
        await self.store.transact((), (Put('a', b'2'),))
        guard = Guard('a', first.revision)
        late = await self.store.transact((guard,), (Delete('a'),))
        self.assertFalse(late.unwrap().succeeded)
        self.assertEqual(late.unwrap().current[0].value, b'2')

    async def test_pages_hold_all_keys_of_the_prefix_once(self):
        """Guards against keys lost or repeated between pages, or of another prefix."""
        for name in ('p/1', 'p/2', 'p/3', 'q/1'):
            await self.store.transact((), (Put(name, b''),))
        first = (await self.store.read_prefix('p/', limit=2)).unwrap()
        last = first.values[-1].key
        rest = (await self.store.read_prefix('p/', start_after=last)).unwrap()
        keys = [value.key for value in first.values + rest.values]
        self.assertEqual(keys, ['p/1', 'p/2', 'p/3'])
        self.assertEqual((first.more, rest.more), (True, False))


class FailureTest(StoreCase):
    """Guards against a possible write reported as not written, and the reverse."""

    async def test_lost_answer_is_ambiguous(self):
        """Guards against a write that took effect being reported as not written."""
        self.standin.set_faults(lose_answers=1)
        failure = (await self.store.transact((), (Put('a', b'1'),))).unwrap_err()
        self.assertTrue(failure.ambiguous)
        self.assertEqual((await self.store.read('a')).unwrap().value, b'1')

    async def test_silent_store_is_ambiguous_for_writes_only(self):
        """Guards against a call that never ends, and a read reported as ambiguous."""
        store = self.open_store(SHORT_DEADLINE_MS)
        self.standin.set_faults(down='hang')
        write = (await store.transact((), (Put('a', b'1'),))).unwrap_err()
        read = (await store.read('a')).unwrap_err()
        self.assertEqual((write.ambiguous, read.ambiguous), (True, False))

    async def test_unreachable_or_refusing_store_is_not_ambiguous(self):
        """Guards against ambiguity when nothing can have been written."""
        self.standin.set_faults(down='refuse')
        refused = (await self.store.transact((), (Put('a', b'1'),))).unwrap_err()
        await self.standin.stop()
        unreachable = (await self.store.transact((), (Put('a', b'1'),))).unwrap_err()
        self.assertEqual((refused.ambiguous, unreachable.ambiguous), (False, False))
        self.assertEqual((refused.refused, unreachable.refused), (False, False))

    async def test_value_over_the_limit_is_not_sent(self):
        """Guards against sending a value that the platform's store cannot hold."""
        at_limit = Put('a', bytes(VALUE_LIMIT_BYTES))
        over = Put('a', bytes(VALUE_LIMIT_BYTES + 1))
        self.assertTrue((await self.store.transact((), (at_limit,))).is_ok())
        failure = (await self.store.transact((), (over,))).unwrap_err()
        self.assertTrue(failure.refused)
        self.assertEqual(self.standin.counts['kv/txn'], 1)

    async def test_bad_answer_is_a_failure(self):
        """Guards against an answer of the wrong shape that stops the process."""
        self.standin.memory.put(b'p/\xff', b'', 0)
        failure = (await self.store.read_prefix('p/')).unwrap_err()
        self.assertIn('bad answer', failure.reason)
        self.assertEqual([item async for item in self.store.watch('p/', 1)], [])


class LeaseTest(StoreCase):
    """Guards against keys that outlive their lease, or are deleted before its end."""

    async def test_expired_lease_deletes_its_keys(self):
        """Guards against a dead entry that stays registered."""
        lease = (await self.store.grant_lease(10)).unwrap()
        await self.store.transact((), (Put('a', b'', lease), Put('b', b'')))
        self.clock.time_ms += 9_000
        self.assertTrue((await self.store.renew_lease(lease)).unwrap())
        self.clock.time_ms += 9_000
        self.assertIsNotNone((await self.store.read('a')).unwrap())
        self.clock.time_ms += 1_000
        self.assertIsNone((await self.store.read('a')).unwrap())
        self.assertIsNotNone((await self.store.read('b')).unwrap())
        self.assertFalse((await self.store.renew_lease(lease)).unwrap())
        unknown = (await self.store.transact((), (Put('a', b'', lease),))).unwrap_err()
        self.assertTrue(unknown.refused)


class WatchTest(StoreCase):
    """Guards against changes that a watch misses, and watches that do not end."""

    async def test_changes_since_the_revision_come_in_order(self):
        """Guards against a change lost between a read and the watch after it."""
        first = (await self.store.transact((), (Put('p/1', b'1'),))).unwrap()
        await self.store.transact((), (Put('q/1', b'1'),))
        await self.store.transact((), (Delete('p/1'),))
        async with aclosing(self.store.watch('p/', first.revision)) as watch:
            past = await anext(watch)
            await self.store.transact((), (Put('p/2', b'2'),))
            new = await anext(watch)
        self.assertEqual([event.value is None for event in past], [False, True])
        self.assertEqual([event.key for event in new], ['p/2'])

    async def test_many_watches_do_not_delay_calls(self):
        """Guards against open watches that use up the connections of calls."""
        watches = [self.store.watch('p/', 0) for _ in range(CONNECTION_LIMIT + 1)]
        steps = [asyncio.create_task(anext(watch)) for watch in watches]
        while self.standin.counts['watch'] < len(watches):
            await asyncio.sleep(0.001)
        self.assertTrue((await self.store.transact((), (Put('p/1', b''),))).is_ok())
        self.assertEqual(len(await asyncio.gather(*steps)), len(watches))
        for watch in watches:
            await watch.aclose()

    async def test_watch_ends_on_compaction_outage_and_silence(self):
        """Guards against a reader that waits on a watch which gets no more changes."""
        await self.store.transact((), (Put('p/1', b'1'),))
        self.standin.set_faults(compact=True)
        self.assertEqual([item async for item in self.store.watch('p/', 1)], [])
        self.standin.set_faults(down='refuse')
        self.assertEqual([item async for item in self.store.watch('p/', 0)], [])
        self.standin.set_faults(down='hang')
        store = self.open_store(SHORT_DEADLINE_MS)
        self.assertEqual([item async for item in store.watch('p/', 0)], [])


class FaultServiceTest(StoreCase):
    """Guards against a stand-in that cannot inject faults or count calls."""

    async def test_faults_and_counts_over_http(self):
        """Guards against a fault that is accepted but has no effect."""
        await self.store.transact((), (Put('a', b'1'),))
        old = self.standin.memory.revision
        await self.store.transact((), (Put('a', b'2'),))
        client = AsyncHTTPClient()
        fault_url = self.standin.url + '/fault'
        await client.fetch(
            fault_url, method='POST', body=json.dumps({'stale_revision': old})
        )
        self.assertEqual((await self.store.read('a')).unwrap().value, b'1')
        wrong = await client.fetch(
            fault_url, method='POST', body='{"dwn": "hang"}', raise_error=False
        )
        self.assertEqual(wrong.code, 400)
        counts = json.loads((await client.fetch(self.standin.url + '/counts')).body)
        self.assertEqual(counts, {'kv/txn': 2, 'kv/range': 1})


class RecordsTest(unittest.TestCase):
    """Guards against values that are decoded wrongly or raise an exception."""

    def test_values_survive_a_round_trip(self):
        """Guards against a job, an outcome or a manifest that is read back changed."""
        claim = Claim('a', 'n', (0, 1), 2, True, False)
        part = AnswerPart('7-1.1', 0, 'tcp://x', 5, 3, 'ab')
        record = JobRecord(
            job_id='7-1',
            organisation='a',
            job_name='n',
            key='k',
            owner=7,
            payload=b'\x00\xff',
            state=JobState.ENDED,
            attempt=1,
            members=(MemberRef('w', 'tcp://w', 5, claim),),
            outcome=OutcomeRecord('completed', parts=(part,)),
        )
        value = records.JobValue('token', record)
        self.assertEqual(records.decode_job(records.encode_job(value)), Ok(value))
        plan = Plan(3, 2, (CellAssignment('a', 0, ('w1', 'w2'), 4),))
        self.assertEqual(records.decode_plan(records.encode_plan(plan)), Ok(plan))
        manifest = records.ManifestValue(2, 'token', b'{"a": "\\"\\u00e9"}')
        data = records.encode_manifest(manifest)
        self.assertEqual(records.decode_manifest(data), Ok(manifest))
        self.assertLess(len(data), len(manifest.text) + 100)

    def test_malformed_values_are_errors(self):
        """Guards against one damaged value that stops every entry."""
        damaged = (b'', b'{', b'[1]', b'\xff', b'["t",7]', b'[' * 100_000)
        for data in damaged:
            for decode in (
                records.decode_job,
                records.decode_key,
                records.decode_manifest,
                records.decode_plan,
                lambda data: records.decode_entry(data, 1),
            ):
                self.assertTrue(decode(data).is_err(), data[:10])


class CompressedManifestTest(unittest.TestCase):
    """Guards against a malformed value that raises or exhausts the memory."""

    def make_large(self) -> records.ManifestValue:
        """Return a value above the size from which values are compressed."""
        jobs = ','.join(f'"job-{number}": {number}' for number in range(2_000))
        return records.ManifestValue(7, 'token', f'{{{jobs}}}'.encode())

    def test_large_value_is_compressed_and_decoded_again(self):
        value = self.make_large()
        data = records.encode_manifest(value)
        self.assertLess(len(data), len(value.text) // 2)
        self.assertEqual(records.decode_manifest(data), Ok(value))

    def test_damaged_values_are_errors(self):
        data = records.encode_manifest(self.make_large())
        huge = records.COMPRESSED_MARK + zlib.compress(b' ' * 50_000_000)
        for damaged in (
            data[:-9],
            data[:1],
            b'zzzz',
            data[:40] + b'x' + data[41:],
            huge,
        ):
            with self.subTest(size=len(damaged)):
                self.assertTrue(records.decode_manifest(damaged).is_err())
