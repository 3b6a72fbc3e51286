"""Tests of the queues of accepted jobs, also after the operators have removed them."""

import dataclasses
import json
import random
import unittest

import msgspec
from result import Ok

from tests.batch_fleet import (
    ADVICE,
    ADVISED,
    CONFIGURATION,
    DEFERRABLE,
    ORDINARY,
    URGENT,
    make_job,
    make_step,
)
from tests.fakes import FakeClock, FakeJournal
from yuccarelay.adapters import batch_codec, batch_records
from yuccarelay.core.batch.events import (
    Configured,
    JobAccepted,
    QueueTermsStored,
    RemoveJob,
)
from yuccarelay.core.batch.known_queues import (
    CONFIGURATION_LAG_MS,
    LEAST_ATTEMPTS,
    KnownQueues,
    make_terms,
    restore_queue,
)
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.request_handler import Accepted, Call, Draft, StoreJob
from yuccarelay.ports.store import StoredValue, TransactionResult, WatchEvent
from yuccarelay.tasks.batch.election import make_elected
from yuccarelay.tasks.batch.records import RecordsTask, TermBegan
from yuccarelay.tasks.batch.replica import JobRemoved, ReplicaTask
from yuccarelay.tasks.batch.request_handler import RequestHandlerTask, ResendAll
from yuccarelay.tasks.mailbox import Mailbox

DEADLINE_MS = 10_000
OLD_MS = CONFIGURATION_LAG_MS
ADVISED_TERMS = make_terms(ADVISED)
MALFORMED = (
    b'',
    b'{}',
    b'[]',
    b'["desk",1,3,3.0]',
    b'[null,1,3,3.0,1500]',
    b'["desk","1",3,3.0,1500]',
    b'["desk",1,3,1e999,1500]',
    b'["desk",1,3,3.0,' + b'9' * 400 + b']',
    b'["desk",1,3,3.0,1500,[1,2]]',
    b'["desk",1,3,3.0,1500,[1,2,' + b'9' * 30 + b']]',
)


def make_configuration(version: int, *queues):
    return CONFIGURATION._replace(version=version, queues=queues)


class StoredTermsTest(unittest.TestCase):
    """Guards against terms that are lost, misread or unreadable for other versions."""

    def test_terms_are_read_as_they_were_stored(self):
        for queue in (URGENT, ORDINARY, DEFERRABLE, ADVISED):
            terms = make_terms(queue)
            data = batch_records.encode_terms(terms)
            self.assertEqual(batch_records.decode_terms(data), Ok(terms))
            restored = restore_queue(queue.name, terms)
            self.assertEqual(restored, queue._replace(host='', prefix=''))

    def test_later_versions_may_add_items(self):
        items = json.loads(batch_records.encode_terms(ADVISED_TERMS))
        data = json.dumps([*items, 7, ['new']]).encode()
        self.assertEqual(batch_records.decode_terms(data), Ok(ADVISED_TERMS))

    def test_malformed_terms_are_an_error(self):
        for data in MALFORMED:
            self.assertTrue(batch_records.decode_terms(data).is_err(), data[:40])

    def test_an_entry_of_an_older_version_reads_the_job(self):
        # Its decoders refuse an array with more items, so the job has none.
        job = make_job(queue=ADVISED)
        self.assertEqual(len(json.loads(batch_records.encode(job))), 9)
        older = dataclasses.make_dataclass('StoreJob', [('job', Job)])
        data = batch_codec.ENCODER.encode(StoreJob(job, ADVISED_TERMS))
        self.assertEqual(msgspec.msgpack.decode(data, type=older).job, job)

    def test_a_relayed_job_brings_its_terms(self):
        for call in (StoreJob(make_job(), ADVISED_TERMS), StoreJob(make_job())):
            self.assertEqual(batch_codec.decode(batch_codec.encode(call)), Ok(call))


class KnownQueuesTest(unittest.TestCase):
    """Guards against jobs that are planned by the wrong terms, or not at all."""

    def setUp(self):
        self.queues = KnownQueues()
        self.job = make_job(queue=ADVISED)

    def find(self, age_ms: int = OLD_MS):
        return self.queues.find(self.job, age_ms)

    def test_the_newest_configuration_goes_before_the_stored_terms(self):
        self.queues.job_terms[self.job.id] = ADVISED_TERMS
        changed = ADVISED._replace(max_attempts=7)
        self.queues.configure(make_configuration(1, changed))
        self.assertEqual(self.find(), changed)
        self.queues.configure(make_configuration(2, ORDINARY))
        self.assertEqual(self.find(), restore_queue('advised', ADVISED_TERMS))

    def test_a_job_without_terms_keeps_the_queue_of_an_older_configuration(self):
        self.queues.configure(make_configuration(1, ADVISED))
        self.queues.configure(make_configuration(2, ORDINARY))
        self.queues.configure(make_configuration(3))
        self.assertEqual(self.find(0), ADVISED)

    def test_the_terms_of_the_only_service_are_the_last_resort(self):
        self.queues.configure(make_configuration(1, URGENT, DEFERRABLE, ORDINARY))
        found = self.find()
        self.assertEqual((found.name, found.service), ('advised', 'desk'))
        self.assertEqual(found.priority, DEFERRABLE.priority)
        self.assertEqual(found.max_attempts, DEFERRABLE.max_attempts)

    def test_a_job_of_a_newer_configuration_waits_for_it(self):
        # The entry that accepted it may know a queue that the planner does not.
        self.queues.configure(make_configuration(1, ORDINARY))
        self.assertIsNone(self.find(OLD_MS - 1))

    def test_without_a_single_service_the_queue_is_unknown(self):
        elsewhere = ORDINARY._replace(name='elsewhere', service='bureau')
        for queues in ((), (ORDINARY, elsewhere)):
            known = KnownQueues()
            known.configure(make_configuration(1, *queues))
            self.assertIsNone(known.find(self.job, OLD_MS))

    def test_an_unknown_queue_needs_advice_if_any_queue_does(self):
        known = KnownQueues()
        known.configure(make_configuration(1, ADVISED, ORDINARY))
        found = known.find(make_job(queue=URGENT), OLD_MS)
        self.assertEqual(found.advice, ADVICE)

    def test_an_unknown_limit_allows_a_second_attempt(self):
        self.queues.configure(make_configuration(1, URGENT._replace(max_attempts=1)))
        self.assertEqual(self.find().max_attempts, LEAST_ATTEMPTS)


class RecordingStore:
    """Accepts each transaction and records its keys."""

    def __init__(self):
        self.writes: list = []

    async def transact(self, guards, writes):
        self.writes.append(writes)
        return Ok(TransactionResult(True, 5))


class StoringTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted jobs whose terms the store does not have."""

    def setUp(self):
        self.store = RecordingStore()
        self.journal = FakeJournal()
        self.handler_inbox, self.planner = Mailbox(), Mailbox()
        self.handler = RequestHandlerTask(
            self.store,
            self.handler_inbox,
            self.planner,
            'own',
            None,
            Mailbox(),
            FakeClock(),
            random.Random(1),
            self.journal,
        )
        self.handler.take(Configured(CONFIGURATION))

    def make_replica(self) -> ReplicaTask:
        return ReplicaTask(
            'own',
            None,
            self.handler_inbox,
            self.planner,
            Mailbox(),
            Mailbox(),
            FakeClock(),
            self.journal,
        )

    def list_planner_events(self) -> list:
        return [self.planner.get_nowait() for _ in range(self.planner.qsize())]

    async def test_a_job_is_stored_with_its_terms_in_one_write(self):
        draft = Draft('s', (make_step(),))
        call = Call('POST', 'h', '/a/5c0e7a21d94b36f8', 'k1', draft, 1_000)
        decision = self.handler.handler.decide(call)
        outcome = await self.handler.call_store(decision, DEADLINE_MS)
        self.assertEqual(outcome, Accepted())
        ((terms, job),) = self.store.writes
        self.assertEqual(terms.key, batch_records.TERMS + decision.job.id)
        self.assertEqual(batch_records.decode_terms(terms.value), Ok(ADVISED_TERMS))
        self.assertEqual(batch_records.decode_job(job.value), Ok(decision.job))
        self.assertLess(terms.key, job.key)

    async def test_a_job_relayed_by_an_older_version_is_stored(self):
        job = make_job()
        outcome = await self.handler.call_store(StoreJob(job), DEADLINE_MS)
        self.assertEqual(outcome, Accepted())
        self.assertEqual(len(self.store.writes[0]), 1)

    async def test_the_replica_passes_terms_on_and_malformed_ones_over(self):
        replica = self.make_replica()
        key = batch_records.TERMS + 'a'
        for data in (*MALFORMED, batch_records.encode_terms(ADVISED_TERMS)):
            replica.handle_change(WatchEvent(key, StoredValue(key, data, 1, 1), 1))
        replica.handle_change(WatchEvent(key, None, 2))
        expected = QueueTermsStored('a', ADVISED_TERMS)
        self.assertEqual(self.list_planner_events(), [expected])
        self.assertEqual(self.handler_inbox.get_nowait(), expected)
        events = [event for event, _ in self.journal.lines]
        self.assertEqual(events.count('value_unreadable'), len(MALFORMED))
        self.assertNotIn('change_failed', events)

    async def test_a_new_planner_has_the_terms_before_the_job(self):
        job = make_job()
        terms = QueueTermsStored(job.id, ADVISED_TERMS)
        self.handler.take(JobAccepted(job))
        self.handler.take(terms)
        self.handler.take(ResendAll())
        self.assertEqual(self.list_planner_events(), [terms, JobAccepted(job)])
        self.handler.take(JobRemoved(job.id))
        self.handler.take(ResendAll())
        self.assertEqual(self.list_planner_events(), [])

    async def test_an_elected_planner_has_the_readable_terms(self):
        values = [
            StoredValue(batch_records.TERMS + name, data, 1, 1)
            for name, data in (
                ('a', batch_records.encode_terms(ADVISED_TERMS)),
                ('b', b'[1]'),
            )
        ]
        elected, _ = make_elected(3, values)
        self.assertEqual(elected.job_terms, {'a': ADVISED_TERMS})

    async def test_the_terms_are_removed_with_the_job(self):
        inbox = Mailbox()
        records = RecordsTask(
            self.store,
            inbox,
            self.planner,
            Mailbox(),
            random.Random(1),
            self.journal,
        )
        await records._handle(TermBegan(3, {}))
        await records._handle(RemoveJob('a'))
        removed = {delete.key for delete in self.store.writes[0]}
        self.assertIn(batch_records.TERMS + 'a', removed)
        self.assertIn(batch_records.JOBS + 'a', removed)


if __name__ == '__main__':
    unittest.main()
