"""Tests of cancellations that are acknowledged before their job is stored."""

import asyncio
import random
import unittest
from unittest import mock

from tests.batch_fleet import CONFIGURATION, ORDINARY, make_step
from tests.fakes import FakeJournal, OffsetClock
from tests.host_system import HostCase
from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.early_cancellations import (
    ORGANISATION_BURST,
    ORGANISATION_INTERVAL_MS,
    TOTAL_BURST,
    EarlyCancellations,
)
from yuccarelay.core.batch.events import Configured, JobAccepted, JobCancelled
from yuccarelay.core.batch.models import JobState
from yuccarelay.core.batch.request_handler import (
    Accepted,
    Call,
    Cancelled,
    Draft,
    NoRoom,
    NoSuchJob,
    State,
    Undecided,
)
from yuccarelay.platform.store import PlatformStore
from yuccarelay.standins.platform_store import PlatformStoreStandin
from yuccarelay.tasks.batch.configuration import ConfigurationConfirmed
from yuccarelay.tasks.batch.early_cancellations import LEASE_PERIOD_MS, LEASE_TTL_S
from yuccarelay.tasks.batch.replica import ReplicaConfirmed, StoreReachability
from yuccarelay.tasks.batch.request_handler import (
    RequestHandlerTask,
    RequestReceived,
)
from yuccarelay.tasks.batch.store_calls import STORE_TRIES
from yuccarelay.tasks.mailbox import Mailbox

ID = '5c0e7a21d94b36f8'
DRAFT = Draft('s', (make_step(),))
LIMIT_MS = 60_000
# For what comes at once from the entry under test.
WAIT_LIMIT_S = 10


class EntriesCase(unittest.IsolatedAsyncioTestCase):
    """Two entries on one store, which follow no changes unless a test passes them."""

    CONFIGURATION = CONFIGURATION

    async def asyncSetUp(self):
        self.clock = OffsetClock()
        self.standin = PlatformStoreStandin(self.clock)
        self.standin.start()
        # Writes without an answer, which a test carries out when it chooses.
        self.late_writes = []
        self.standin.delay_write = self.late_writes.append
        self.stores = []
        self.entries = [self.make_entry(), self.make_entry()]

    async def asyncTearDown(self):
        for store in self.stores:
            await store.close()
        await self.standin.stop()

    def make_entry(self) -> RequestHandlerTask:
        store = PlatformStore(self.standin.address)
        self.stores.append(store)
        entry = RequestHandlerTask(
            store,
            Mailbox(),
            Mailbox(),
            'own',
            None,
            Mailbox(),
            self.clock,
            random.Random(1),
            FakeJournal(),
        )
        entry.take(Configured(self.CONFIGURATION))
        entry.take(StoreReachability(True))
        for confirmed in (ReplicaConfirmed, ConfigurationConfirmed):
            entry.take(confirmed(self.clock.now_ms() + LIMIT_MS))
        return entry

    async def call(self, method, entry=0, job=ID, key='k1', prefix='/o/'):
        """Send a caller's request to an entry and return its outcome."""
        reply_to = asyncio.get_running_loop().create_future()
        draft = DRAFT if method == 'POST' else None
        call = Call(method, 'h', prefix + job, key, draft, 1_000)
        deadline_ms = self.clock.now_ms() + LIMIT_MS
        # The watch of the store shows that it answers again.
        self.entries[entry].take(StoreReachability(True))
        self.entries[entry].take(RequestReceived(call, deadline_ms, reply_to))
        async with asyncio.timeout(WAIT_LIMIT_S):
            return await reply_to

    def carry_out_late_writes(self) -> None:
        self.assertEqual(len(self.late_writes), STORE_TRIES)
        for carry_out in self.late_writes:
            carry_out()
        self.late_writes.clear()

    def list_keys(self, folder: str) -> list[str]:
        found = self.standin.list_under(folder)
        return [version.key.decode().removeprefix(folder) for version in found]

    def list_marks(self) -> list[str]:
        return self.list_keys(batch_records.EARLY_CANCELS)


class LateSubmissionTest(EntriesCase):
    """
    Guards against a job that runs after its cancellation was acknowledged.

    The write of a submission without an answer was still to be carried out when another
    entry answered that there is no such job, and it ran later (review/10).
    """

    async def test_a_late_write_stores_nothing(self):
        for entry in (0, 1):
            with self.subTest(entry=entry):
                job = f'{entry:016x}'
                self.standin.delayed_writes = STORE_TRIES
                self.assertEqual(await self.call('POST', job=job), Undecided())
                found = await self.call('DELETE', entry, job)
                self.assertEqual(found, NoSuchJob())
                self.carry_out_late_writes()
                self.assertEqual(self.list_keys(batch_records.JOBS), [])
                for asked in (0, 1):
                    found = await self.call('GET', asked, job)
                    self.assertEqual(found, NoSuchJob())

    async def test_a_submission_that_comes_later_is_one_cancelled_job(self):
        # It waited in a paused entry, or its caller has sent it again.
        self.assertEqual(await self.call('DELETE'), NoSuchJob())
        for entry in (0, 1):
            self.assertEqual(await self.call('POST', entry), Accepted())
        for entry in (0, 1):
            # Neither has it in its replica yet.
            found = await self.call('GET', entry)
            self.assertEqual(found, State(JobState.CANCELLED))
        self.assertEqual(self.list_keys(batch_records.JOBS), [ID])
        self.assertEqual(self.list_keys(batch_records.CANCELS), [ID])

    async def test_its_cancellation_is_seen_before_the_job(self):
        # A planner that learned of the job first would place it.
        await self.call('DELETE')
        await self.call('POST')
        keys = [version.key.decode() for version in self.standin.memory.log]
        self.assertLess(
            keys.index(batch_records.CANCELS + ID), keys.index(batch_records.JOBS + ID)
        )

    async def test_a_late_write_of_the_cancelled_job_is_cancelled(self):
        await self.call('DELETE')
        self.standin.delayed_writes = STORE_TRIES
        self.assertIsInstance(await self.call('POST'), Undecided | Accepted)
        self.carry_out_late_writes()
        self.assertEqual(
            self.list_keys(batch_records.JOBS), self.list_keys(batch_records.CANCELS)
        )

    async def test_it_holds_for_entries_that_start_again(self):
        await self.call('DELETE')
        self.standin.memory.compact(self.standin.memory.revision)
        self.entries = [self.make_entry()]
        await self.call('POST')
        self.assertEqual(self.list_keys(batch_records.CANCELS), [ID])

    async def test_a_job_that_comes_with_the_cancellation_is_cancelled(self):
        entry = self.entries[0]
        read = entry.store.read
        submitted = []

        async def read_before_it_comes(key):
            found = await read(key)
            if not submitted:
                submitted.append(await self.call('POST', entry=1))
            return found

        with mock.patch.object(entry.store, 'read', read_before_it_comes):
            self.assertEqual(await self.call('DELETE'), Cancelled())
        self.assertEqual(submitted, [Accepted()])
        self.assertEqual(self.list_keys(batch_records.CANCELS), [ID])

    async def test_a_known_job_takes_one_call(self):
        await self.call('POST')
        (stored,) = self.standin.list_under(batch_records.JOBS)
        job = batch_records.decode_job(stored.value).unwrap()
        self.entries[0].take(JobAccepted(job))
        calls = self.standin.calls
        self.assertEqual(await self.call('DELETE'), Cancelled())
        self.assertEqual(self.standin.calls, calls + 1)
        self.assertEqual(self.list_marks(), [])
        self.entries[0].take(JobCancelled(ID))
        self.assertEqual(await self.call('GET'), State(JobState.CANCELLED))


class ScopeTest(EntriesCase):
    """Guards against callers who stop jobs of others by their ids."""

    CONFIGURATION = CONFIGURATION._replace(
        queues=(
            *CONFIGURATION.queues,
            ORDINARY._replace(name='other', prefix='/other/'),
            ORDINARY._replace(name='open', prefix='/open/', public=True),
        )
    )

    async def test_another_organisation_or_queue_does_not_stop_a_job(self):
        for caller in ({'key': 'k2'}, {'prefix': '/other/'}, {'prefix': '/open/'}):
            self.assertEqual(await self.call('DELETE', **caller), NoSuchJob())
        self.assertEqual(await self.call('POST'), Accepted())
        self.assertEqual(self.list_keys(batch_records.CANCELS), [])
        self.assertEqual(await self.call('GET'), State(JobState.QUEUED))
        # Nor afterwards, and the answer is the same.
        self.assertEqual(await self.call('DELETE', key='k2'), NoSuchJob())
        self.assertEqual(self.list_keys(batch_records.CANCELS), [])

    async def test_all_callers_of_a_public_queue_share_their_jobs(self):
        for number, keys in enumerate((('', 'k1'), ('k1', ''), ('k1', 'k2'))):
            caller = {'job': f'{number:016x}', 'prefix': '/open/'}
            self.assertEqual(
                await self.call('DELETE', key=keys[0], **caller), NoSuchJob()
            )
            self.assertEqual(await self.call('POST', key=keys[1], **caller), Accepted())
            self.assertIn(caller['job'], self.list_keys(batch_records.CANCELS))


class BoundsTest(EntriesCase):
    """
    Guards against callers whose cancellations of unknown ids fill the store.

    The others must still be served, also their cancellations.
    """

    CANCELS = 300

    async def test_one_organisation_leaves_a_bounded_number_of_marks(self):
        self.clock.now_ms = mock.Mock(return_value=self.clock.now_ms())
        outcomes = [
            await self.call('DELETE', job=f'{number:016x}')
            for number in range(self.CANCELS)
        ]
        self.assertEqual(outcomes.count(NoSuchJob()), ORGANISATION_BURST)
        self.assertEqual(len(self.list_marks()), ORGANISATION_BURST)
        self.assertTrue(all(isinstance(o, NoSuchJob | NoRoom) for o in outcomes))
        # The work of the same organisation, and cancellations of another one.
        self.assertEqual(await self.call('POST'), Accepted())
        self.assertEqual(await self.call('DELETE', entry=1), Cancelled())
        self.assertEqual(await self.call('DELETE', key='k2', job='f' * 16), NoSuchJob())
        self.clock.now_ms.return_value += ORGANISATION_INTERVAL_MS
        self.assertEqual(await self.call('DELETE', job='e' * 16), NoSuchJob())

    async def test_marks_end_by_themselves_and_not_earlier(self):
        await self.call('DELETE')
        self.clock.offset_ms = LEASE_PERIOD_MS - 1_000
        await self.call('DELETE', job='f' * 16)
        self.assertEqual(len(self.standin.memory.leases), 1)
        self.clock.offset_ms = LEASE_PERIOD_MS + 1_000
        await self.call('DELETE', job='e' * 16)
        self.assertEqual(len(self.standin.memory.leases), 2)
        self.clock.offset_ms = int(LEASE_TTL_S * 1_000) - 1_000
        self.standin.memory.expire_leases()
        self.assertEqual(len(self.list_marks()), 3)
        self.clock.offset_ms += LEASE_PERIOD_MS + 3_000
        self.standin.memory.expire_leases()
        self.assertEqual(self.list_marks(), [])

    async def test_a_lease_that_has_ended_is_replaced(self):
        await self.call('DELETE')
        self.standin.memory.revoke(next(iter(self.standin.memory.leases)))
        self.assertEqual(await self.call('DELETE'), NoSuchJob())
        self.assertEqual(len(self.list_marks()), 1)

    def test_all_organisations_together_are_limited(self):
        counted = EarlyCancellations()
        taken = sum(
            counted.take(f'o{number}', 1_000)
            for number in range(2 * TOTAL_BURST)
            for _ in range(2)
        )
        self.assertEqual(taken, TOTAL_BURST)
        for now_ms in range(2_000, 200_000, 100):
            counted.take(f'o{now_ms}', now_ms)
        self.assertLess(len(counted.full_ms), 1_500)


class ProcessesTest(HostCase):
    """Guards against a start of a job that was cancelled before it was submitted."""

    async def test_a_job_that_was_cancelled_before_never_starts(self):
        self.assertEqual((await self.call('DELETE', f'/q/{ID}', 'entry-1'))[0], 410)
        step = {'count': 1, 'cpu': 100, 'memMb': 100, 'gpu': 1, 'estimatedMs': 100}
        body = {'specification': 'text', 'steps': [step]}
        other = f'{1:016x}'
        for job in (ID, other):
            self.assertEqual((await self.call('POST', f'/q/{job}', body=body))[0], 200)

        async def is_done():
            states = [
                (await self.call('GET', f'/q/{job}', 'entry-1'))[1].get('state')
                for job in (other, ID)
            ]
            return states == ['completed', 'cancelled']

        await self.poll(is_done, 'both jobs have ended')
        started = {task for worker in self.workers for task, _ in worker.starts}
        self.assertEqual(started, {f'{other}.0.0.0'})


if __name__ == '__main__':
    unittest.main()
