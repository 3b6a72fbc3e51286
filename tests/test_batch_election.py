"""Tests of how an entry begins and gives up planning."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

from result import Ok

from tests.batch_fleet import Fleet, make_fleet, make_job
from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.events import Deposed, JobAccepted, StepDown
from yuccarelay.core.batch.leases import TERM_TTL_S
from yuccarelay.core.batch.models import JobRecord, JobState, TaskRecord, TaskStage
from yuccarelay.core.batch.protocol import AgentAddress
from yuccarelay.ports.store import Page, StoredValue, TransactionResult
from yuccarelay.tasks.batch import election
from yuccarelay.tasks.batch.election import ElectionTask, make_elected
from yuccarelay.tasks.mailbox import Mailbox


class ForeignRecordTest(unittest.TestCase):
    """
    Guards against work that begins anew because its record was not found.

    Another writer may have left bytes that cannot be read under the key of a job or of
    its record.
    """

    def setUp(self):
        self.job = make_job()
        tasks = {'0.0.0': TaskRecord(TaskStage.DONE, run=1)}
        record = JobRecord(JobState.RUNNING, tasks=tasks)
        self.values = {
            batch_records.JOBS + self.job.id: batch_records.encode(self.job),
            batch_records.RECORDS + self.job.id: batch_records.encode(record),
        }

    def elect(self) -> Fleet:
        """Return a fleet whose planner was elected with the stored values."""
        values = [StoredValue(key, data, 1, 1) for key, data in self.values.items()]
        fleet = make_fleet(2)
        elected, _ = make_elected(fleet.term, values)
        agents = dict.fromkeys(fleet.workers, AgentAddress('address'))
        fleet.feed(replace(elected, agents=agents))
        fleet.feed(JobAccepted(self.job))
        return fleet.run(2_000)

    def test_a_job_whose_record_cannot_be_read_is_not_started(self):
        self.values[batch_records.RECORDS + self.job.id] = b'\xff'
        fleet = self.elect()
        self.assertEqual(fleet.starts(self.job), [])
        self.assertIn('job_withheld', [name for name, _ in fleet.notes])

    def test_a_job_that_is_learned_of_after_its_record_goes_on(self):
        self.values[batch_records.JOBS + self.job.id] = b'\xff'
        fleet = self.elect()
        self.assertEqual(fleet.starts(self.job), [])
        plan = fleet.planner.planner_state.plans[self.job.id]
        self.assertTrue(plan.is_done())


class RecordingStore:
    """Gives the key to whoever asks, and records the calls."""

    def __init__(self):
        self.calls: list[str] = []

    async def read(self, key):
        self.calls.append('read')
        return Ok(None)

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        return Ok(Page((), 1, False))

    async def transact(self, guards, writes):
        self.calls.append('write')
        return Ok(TransactionResult(True, 7))

    async def grant_lease(self, ttl_s):
        return Ok(3)

    async def renew_lease(self, lease):
        return Ok(True)

    async def revoke_lease(self, lease):
        self.calls.append('revoke')
        return Ok(None)


class StepDownTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a planner that fails and is elected again at once, each time."""

    async def test_the_key_is_left_to_another_entry_for_a_while(self):
        store, inbox, planner = RecordingStore(), Mailbox(), Mailbox()
        task = ElectionTask(
            'own',
            store,
            inbox,
            planner,
            Mailbox(),
            Mailbox(),
            FakeClock(),
            random.Random(1),
            FakeJournal(),
        )
        paused = asyncio.Event()
        resumed = asyncio.Event()
        sleep = asyncio.sleep

        async def pause(seconds):
            if seconds != election.STAND_BACK_S:
                return await sleep(seconds)
            paused.set()
            return await resumed.wait()

        with mock.patch.object(election.asyncio, 'sleep', pause):
            running = asyncio.create_task(task.run())
            while not task.term:
                await sleep(0)
            inbox.put_nowait(StepDown(7))
            await paused.wait()
            self.assertEqual(store.calls, ['read', 'write', 'revoke'])
            events = [planner.get_nowait() for _ in range(planner.qsize())]
            self.assertIsInstance(events[-1], Deposed)
            resumed.set()
            while not task.term:
                await sleep(0)
            self.assertEqual(store.calls[3:], ['read', 'write'])
            await stop_task(running)


class SlowStore(RecordingStore):
    """Returns the keys only once the lease has been renewed during the read."""

    def __init__(self):
        super().__init__()
        self.renewed = asyncio.Event()

    async def read_prefix(self, prefix, *, start_after='', limit=0):
        await self.renewed.wait()
        return await super().read_prefix(prefix, start_after=start_after, limit=limit)

    async def renew_lease(self, lease):
        self.renewed.set()
        return Ok(True)


class SlowReadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against terms that all end while their planner reads the keys."""

    async def test_the_lease_is_renewed_while_the_keys_are_read(self):
        task = ElectionTask(
            'own',
            SlowStore(),
            Mailbox(),
            Mailbox(),
            Mailbox(),
            Mailbox(),
            FakeClock(),
            random.Random(1),
            FakeJournal(),
        )
        running = asyncio.create_task(task.run())
        async with asyncio.timeout(TERM_TTL_S):
            while not task.term:
                await asyncio.sleep(0.01)
        await stop_task(running)


if __name__ == '__main__':
    unittest.main()
