"""Tests of an agent's checks of orders, its retries and the codec of orders."""

import asyncio
import unittest

from tests.fakes import FakeClock, FakeJournal
from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.agent import Heartbeat, WorkerGuard
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.models import Resources, WorkerId, WorkerInfo
from yuccarelay.core.batch.protocol import Declined, LeaseReference, Look, OldTerm
from yuccarelay.ports.worker import Accepted, NoAnswer, Refused, WorkerRuns
from yuccarelay.tasks.batch.agent import ORDER_TRIES, WorkerAgentTask, retry_order

LEASES = make_leases(6_000)


def make_heartbeat(sequence=1, born_ms=10, name='i-1', draining=False, clock_ms=500):
    info = WorkerInfo(
        name,
        born_ms,
        'desk',
        'hobart',
        Resources(1, 1, 1),
        (),
        '',
        draining,
    )
    return Heartbeat(info, sequence, clock_ms)


class WorkerGuardTest(unittest.TestCase):
    """Guards against orders that reach another worker or incarnation than meant."""

    def setUp(self):
        self.guard = WorkerGuard('agent-1', 7, LEASES)
        self.guard.take_heartbeat(make_heartbeat(), 1_000)
        self.worker = WorkerId('agent-1', 'i-1', 10)

    def test_late_heartbeats_are_ignored(self):
        self.assertTrue(
            self.guard.take_heartbeat(make_heartbeat(5, draining=True), 1_100)
        )
        self.assertFalse(self.guard.take_heartbeat(make_heartbeat(4), 1_200))
        self.assertTrue(self.guard.worker.draining)

    def test_an_older_incarnation_is_ignored(self):
        self.assertTrue(self.guard.take_heartbeat(make_heartbeat(1, born_ms=20), 1_100))
        self.assertFalse(self.guard.take_heartbeat(make_heartbeat(9), 1_200))
        self.assertEqual(self.guard.closed_below_ms, 20)
        self.assertEqual(self.guard.check_start(self.worker), Declined('other_worker'))

    def test_a_deregistered_worker_is_unknown(self):
        self.assertTrue(self.guard.take_deregistration('i-1'))
        self.assertIsNone(self.guard.worker_id())
        self.assertEqual(self.guard.closed_below_ms, 11)
        self.assertFalse(self.guard.take_heartbeat(make_heartbeat(9), 1_200))

    def test_a_late_deregistration_does_not_close_the_next_incarnation(self):
        # The worker would get no work until it restarts once more.
        self.guard.take_heartbeat(make_heartbeat(1, born_ms=20), 1_100)
        self.assertFalse(self.guard.take_deregistration('i-1', 10))
        self.assertTrue(self.guard.take_heartbeat(make_heartbeat(2, born_ms=20), 1_200))
        self.assertTrue(self.guard.take_deregistration('i-1', 20))

    def test_a_draining_worker_starts_nothing(self):
        self.assertIsNone(self.guard.check_start(self.worker))
        self.guard.take_heartbeat(make_heartbeat(2, draining=True), 1_100)
        self.assertEqual(self.guard.check_start(self.worker), Declined('draining'))

    def test_older_terms_are_refused(self):
        self.assertIsNone(self.guard.check_term(4))
        self.assertEqual(self.guard.check_term(3), OldTerm(4))

    def test_a_lease_runs_from_its_reference_on_the_workers_clock(self):
        # The worker's clock showed 500 when this one showed 1,000.
        basis = LeaseReference(7, 1_200)
        self.assertEqual(self.guard.lease_end(basis, 1_300), 500 + 200 + 6_000)

    def test_a_late_or_foreign_reference_extends_no_lease(self):
        self.assertIsNone(self.guard.lease_end(LeaseReference(7, 1_200), 7_300))
        self.assertIsNone(self.guard.lease_end(LeaseReference(8, 1_200), 1_300))
        self.assertIsNone(self.guard.lease_end(None, 1_300))


class FakeWorker:
    """A worker without runs that notes how long its calls may wait."""

    def __init__(self):
        self.waits = []
        self.born_ms = 10

    async def hold(self, name, term, seen, wait_ms, until_ms):
        self.waits.append(wait_ms)
        return WorkerRuns(500, self.born_ms, (), ())


class PollTest(unittest.IsolatedAsyncioTestCase):
    """
    Guards against a change that the planner learns of seconds later.

    A heartbeat may arrive while the last report or the next poll is on its way. On
    smc-relay-grown a planner placed gangs on workers that had drained for 2 s.
    """

    LONG_WAIT_MS = 60_000
    ANSWER_LIMIT_S = 5

    def setUp(self):
        self.worker = FakeWorker()
        self.replies = []
        self.guard = WorkerGuard('agent-1', 7, LEASES)
        self.agent = WorkerAgentTask(
            self.guard, self.worker, self, FakeClock(), FakeJournal()
        )
        self.guard.take_heartbeat(make_heartbeat(), 1_000)

    def reply(self, _request, data):
        """Receive a reply in place of the agent's socket."""
        self.replies.append(batch_codec.decode(data).unwrap())

    async def poll(self, report=None, wait_ms=0, call_worker=False):
        """Send the poll that follows a report, and return its reply."""
        worker, changes = self.guard.worker_id(), None
        if report is not None:
            worker = WorkerId('agent-1', report.worker.name, report.worker.born_ms)
            changes = report.changes
        order = Look(1, None, worker, 0, wait_ms, call_worker, changes)
        async with asyncio.timeout(self.ANSWER_LIMIT_S):
            await self.agent.serve(1, batch_codec.encode(order))
        return self.replies.pop()

    async def test_a_worker_whose_clock_was_set_back_is_used_again(self):
        self.worker.born_ms = 4
        self.guard.take_heartbeat(make_heartbeat(1, born_ms=4), 1_100)
        report = await self.poll(call_worker=True)
        self.assertFalse(report.lists_read)
        self.guard.take_heartbeat(make_heartbeat(2, born_ms=4), 1_200)
        report = await self.poll(call_worker=True)
        self.assertTrue(report.lists_read)
        self.assertEqual((report.worker.born_ms, report.closed_below_ms), (4, 4))

    async def test_a_call_without_a_birth_does_not_close_the_worker(self):
        self.worker.born_ms = 0
        await self.poll(call_worker=True)
        self.assertTrue(self.guard.take_heartbeat(make_heartbeat(2), 1_200))
        self.worker.born_ms = 10
        self.assertTrue((await self.poll(call_worker=True)).lists_read)

    async def test_a_change_after_the_last_report_is_reported_at_once(self):
        for call_worker in (False, True):
            with self.subTest(call_worker=call_worker):
                self.setUp()
                report = await self.poll(call_worker=call_worker)
                self.guard.take_heartbeat(make_heartbeat(2, draining=True), 1_100)
                report = await self.poll(report, self.LONG_WAIT_MS, call_worker)
                self.assertTrue(report.worker.draining)

    async def test_the_end_of_a_worker_is_reported_at_once(self):
        report = await self.poll()
        self.guard.take_deregistration('i-1')
        report = await self.poll(report, self.LONG_WAIT_MS)
        self.assertIsNone(report.worker)

    async def test_a_poll_without_news_waits(self):
        report = await self.poll(call_worker=True)
        await self.poll(report, 500, call_worker=True)
        self.assertEqual(self.worker.waits, [0, 300, 200])

    async def test_the_first_poll_of_a_planner_waits_as_it_asks(self):
        await self.poll(wait_ms=100, call_worker=True)
        self.assertEqual(self.worker.waits, [100])

    async def test_repeated_heartbeats_are_no_news(self):
        report = await self.poll(call_worker=True)
        for sequence in (2, 3, 4):
            self.guard.take_heartbeat(make_heartbeat(sequence), 1_100)
        await self.poll(report, 100, call_worker=True)
        self.assertEqual(self.worker.waits, [0, 100])


class RetryOrderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against gangs abandoned for one lost answer, and lost ends of runs."""

    async def retry(self, *answers):
        self.remaining = list(answers)

        async def call():
            return self.remaining.pop(0)

        answer, self.tries = await retry_order(call)
        return answer

    async def test_a_call_without_an_answer_is_retried(self):
        answer = await self.retry(NoAnswer('silent'), Accepted(5))
        self.assertEqual((answer, self.tries), (Accepted(5), 2))
        self.assertEqual(await self.retry(Accepted(5)), Accepted(5))
        self.assertEqual(self.tries, 1)

    async def test_a_refusal_after_a_lost_answer_is_no_answer(self):
        answer = await self.retry(NoAnswer('silent'), Refused('old'))
        self.assertEqual(answer, NoAnswer('repeated: old'))
        self.assertEqual(await self.retry(Refused('room')), Refused('room'))

    async def test_the_number_of_calls_is_limited(self):
        answer = await self.retry(*[NoAnswer('silent')] * 9)
        self.assertIsInstance(answer, NoAnswer)
        self.assertEqual(len(self.remaining), 9 - ORDER_TRIES)


class OrdersCodecTest(unittest.TestCase):
    """Guards against orders changed by the codec, and input that ends a process."""

    def test_a_message_is_the_same_after_decoding(self):
        worker = WorkerId('a', 'i', 3)
        poll = Look(4, LeaseReference(1, 2), worker, 5, 6, True)
        self.assertEqual(batch_codec.decode(batch_codec.encode(poll)).unwrap(), poll)

    def test_unreadable_input_is_an_error_value(self):
        for data in (b'', b'\xff\x00', batch_codec.ENCODER.encode(('No', 1))):
            self.assertTrue(batch_codec.decode(data).is_err())
        truncated = batch_codec.encode(Look(4, None, None, 5, 6, True))[:-3]
        self.assertTrue(batch_codec.decode(truncated).is_err())
