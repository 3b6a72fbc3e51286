"""Tests of how the records of jobs are written."""

import asyncio
import random
import unittest
from unittest import mock

from result import Err, Ok

from tests.fakes import FakeJournal, stop_task
from yuccarelay.core.batch.events import RecordSaved, SaveRecord
from yuccarelay.core.batch.models import JobRecord
from yuccarelay.ports.store import StoreFailure, TransactionResult
from yuccarelay.tasks.batch import records as records_module
from yuccarelay.tasks.batch.records import RecordsTask, TermBegan, TermEnded
from yuccarelay.tasks.mailbox import Mailbox


def make_records(store) -> RecordsTask:
    """Return a record writer with mailboxes of its own."""
    return RecordsTask(
        store, Mailbox(), Mailbox(), Mailbox(), random.Random(1), FakeJournal()
    )


class SlowStore:
    """Carries out each write, and answers it when the test permits."""

    def __init__(self):
        self.calls = asyncio.Queue()

    async def transact(self, guards, writes):
        answer = asyncio.get_running_loop().create_future()
        self.calls.put_nowait(answer)
        await answer
        return Ok(TransactionResult(True, 9))


class EndedTermTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a planner that takes a version of an earlier term for its own."""

    async def test_an_answer_after_the_end_of_the_term_is_not_passed_on(self):
        store = SlowStore()
        records = make_records(store)
        running = asyncio.create_task(records.run())
        records.inbox.put_nowait(TermBegan(7, {}))
        records.inbox.put_nowait(SaveRecord('j', 12, JobRecord()))
        first = await store.calls.get()
        records.inbox.put_nowait(TermEnded())
        records.inbox.put_nowait(TermBegan(8, {}))
        records.inbox.put_nowait(SaveRecord('j', 1, JobRecord()))
        first.set_result(None)
        (await store.calls.get()).set_result(None)
        self.assertEqual(await records.planner.get(), RecordSaved('j', 1))
        await stop_task(running)


class RefusingStore:
    """Refuses each call that has a record of `refused`; counts the calls."""

    def __init__(self, *refused: str):
        self.refused = set(refused)
        self.calls = 0

    async def transact(self, guards, writes):
        self.calls += 1
        await asyncio.sleep(0)
        if any(put.key.rpartition('/')[2] in self.refused for put in writes):
            return Err(StoreFailure('status 400', ambiguous=False, refused=True))
        return Ok(TransactionResult(True, 9))


class RefusedRecordTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a record that the store refuses and that holds up all others."""

    async def save(self, records: RecordsTask, *jobs: str) -> set[str]:
        """Save records of jobs; return those that are saved 0.5 s later."""
        for job in jobs:
            records.inbox.put_nowait(SaveRecord(job, 1, JobRecord()))
        await asyncio.sleep(0.5)
        saved = [records.planner.get_nowait() for _ in range(records.planner.qsize())]
        return {event.job for event in saved}

    async def test_the_other_records_are_saved(self):
        store = RefusingStore('j3')
        records = make_records(store)
        running = asyncio.create_task(records.run())
        records.inbox.put_nowait(TermBegan(7, {}))
        jobs = {f'j{number}' for number in range(40)}
        self.assertEqual(await self.save(records, *sorted(jobs)), jobs - {'j3'})
        self.assertEqual(await self.save(records, 'k1', 'k2'), {'k1', 'k2'})
        # A refused record costs one call in `REFUSED_RETRY_S`.
        self.assertLess(store.calls, 30)
        await stop_task(running)

    async def test_a_refused_record_is_written_again(self):
        store = RefusingStore('j')
        records = make_records(store)
        with mock.patch.object(records_module, 'REFUSED_RETRY_S', 0.1):
            running = asyncio.create_task(records.run())
            records.inbox.put_nowait(TermBegan(7, {}))
            self.assertEqual(await self.save(records, 'j', 'k'), {'k'})
            store.refused.clear()
            self.assertEqual(await self.save(records), {'j'})
        await stop_task(running)


if __name__ == '__main__':
    unittest.main()
