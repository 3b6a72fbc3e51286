"""Tests of how the records of jobs are written."""

import asyncio
import random
import unittest

from result import Ok

from tests.fakes import FakeJournal, stop_task
from yuccarelay.core.batch.events import RecordSaved, SaveRecord
from yuccarelay.core.batch.models import JobRecord
from yuccarelay.ports.store import TransactionResult
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


if __name__ == '__main__':
    unittest.main()
