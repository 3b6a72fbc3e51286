"""Tests of an agent's checks of orders, its retries and the codec of orders."""

import asyncio
import unittest
from unittest import mock

from tests.fakes import FakeClock, FakeJournal
from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.agent import (
    CANDIDATES_LIMIT,
    Heartbeat,
    Reception,
    WorkerGuard,
    name_incarnation,
)
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.models import Resources, WorkerId, WorkerInfo
from yuccarelay.core.batch.protocol import Declined, LeaseReference, Look, OldTerm
from yuccarelay.ports.worker import (
    Accepted,
    NoAnswer,
    NotListening,
    NotSent,
    OtherIncarnation,
    Refused,
    WorkerRuns,
)
from yuccarelay.tasks.batch.agent import (
    HeartbeatReceived,
    WorkerAgentTask,
    WorkerDeregistered,
)
from yuccarelay.tasks.batch.worker_orders import ORDER_TRIES, retry_order

LEASES = make_leases(6_000)


def make_heartbeat(
    sequence=1,
    born_ms=10,
    name='i-1',
    draining=False,
    clock_ms=500,
    leaves_in_ms=0,
):
    info = WorkerInfo(
        name,
        born_ms,
        'desk',
        'hobart',
        Resources(1, 1, 1),
        (),
        '',
        draining,
        leaves_in_ms,
    )
    return Heartbeat(info, sequence, clock_ms)


def meet(guard: WorkerGuard, heartbeat: Heartbeat, now_ms: int) -> None:
    """Let a guard receive the first heartbeat of a worker that then answers a call."""
    guard.take_heartbeat(heartbeat, now_ms)
    guard.confirm(name_incarnation(heartbeat.info))


class WorkerGuardTest(unittest.TestCase):
    """Guards against orders that reach another worker or incarnation than meant."""

    def setUp(self):
        self.guard = WorkerGuard('agent-1', 7, LEASES)
        meet(self.guard, make_heartbeat(), 1_000)
        self.worker = WorkerId('agent-1', 'i-1', 10)

    def take(self, *args, **fields) -> Reception:
        return self.guard.take_heartbeat(make_heartbeat(*args, **fields), 1_100)

    def test_late_heartbeats_are_ignored(self):
        self.assertEqual(self.take(5, draining=True), Reception.APPLIED)
        self.assertEqual(self.take(4), Reception.LATE)
        self.assertTrue(self.guard.worker.draining)

    def test_an_older_incarnation_is_ignored(self):
        meet(self.guard, make_heartbeat(1, born_ms=20), 1_100)
        self.assertEqual(self.take(9), Reception.UNCONFIRMED)
        self.assertEqual(self.guard.worker.born_ms, 20)
        self.assertEqual(self.guard.closed_below_ms, 20)
        self.assertEqual(self.guard.check_start(self.worker), Declined('other_worker'))

    def test_a_deregistered_worker_is_unknown(self):
        self.assertTrue(self.guard.take_deregistration('i-1'))
        self.guard.take_departure()
        self.assertIsNone(self.guard.worker_id())
        self.assertEqual(self.guard.closed_below_ms, 11)
        self.assertEqual(self.take(9), Reception.LATE)
        self.assertEqual(self.guard.list_candidates(), [])

    def test_a_late_deregistration_does_not_close_the_next_incarnation(self):
        # The worker would get no work until it restarts once more.
        meet(self.guard, make_heartbeat(1, born_ms=20), 1_100)
        self.assertFalse(self.guard.take_deregistration('i-1', 10))
        self.assertEqual(self.take(2, born_ms=20), Reception.APPLIED)
        self.assertTrue(self.guard.take_deregistration('i-1', 20))

    def test_a_draining_worker_starts_nothing(self):
        self.assertIsNone(self.guard.check_start(self.worker))
        self.take(2, draining=True)
        self.assertEqual(self.guard.check_start(self.worker), Declined('draining'))

    def test_candidates_are_limited_and_the_newest_are_kept(self):
        for born_ms in range(20, 40):
            self.take(1, born_ms=born_ms)
        candidates = self.guard.list_candidates()
        self.assertEqual(len(candidates), CANDIDATES_LIMIT)
        self.assertEqual(candidates[0].born_ms, 39)

    def test_older_terms_are_refused(self):
        self.assertIsNone(self.guard.check_term(4))
        self.assertEqual(self.guard.check_term(3), OldTerm(4))

    def test_a_lease_runs_from_its_reference_on_the_workers_clock(self):
        # The worker's clock showed 500 when this one showed 1,000.
        basis = LeaseReference(7, 1_200)
        self.assertEqual(self.guard.extend_lease(basis, 1_300), 500 + 200 + 6_000)

    def test_the_guard_knows_when_all_its_leases_have_expired(self):
        # A planner that knew less waited for them from its own election on.
        guard = WorkerGuard('agent-1', 7, LEASES, started_ms=900)
        meet(guard, make_heartbeat(), 1_000)
        before_ms = LEASES.lease_expiry_ms(900)
        self.assertEqual(guard.leases_expire_ms, before_ms)
        for refused in (LeaseReference(8, 1_200), None):
            guard.extend_lease(refused, 1_300)
        self.assertEqual(guard.leases_expire_ms, before_ms)
        guard.extend_lease(LeaseReference(7, 1_200), 1_300)
        guard.extend_lease(LeaseReference(7, 1_100), 1_300)
        self.assertEqual(guard.leases_expire_ms, LEASES.lease_expiry_ms(1_200))

    def test_a_late_or_foreign_reference_extends_no_lease(self):
        self.assertIsNone(self.guard.extend_lease(LeaseReference(7, 1_200), 7_300))
        self.assertIsNone(self.guard.extend_lease(LeaseReference(8, 1_200), 1_300))
        self.assertIsNone(self.guard.extend_lease(None, 1_300))


class FakeWorker:
    """A worker without runs that notes how long its calls may wait."""

    def __init__(self):
        self.waits = []
        self.name = 'i-1'
        self.born_ms = 10
        self.silent = False
        self.ended = False
        # Set while a call waits, and by the test once it may be answered.
        self.asked = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def read(self, name, term, wait_ms):
        self.waits.append(wait_ms)
        self.asked.set()
        await self.may_answer.wait()
        if self.ended:
            return NotListening()
        if self.silent:
            return NoAnswer('silent')
        if name != self.name:
            return OtherIncarnation()
        return WorkerRuns(500, self.born_ms, (), ())


class AgentCase(unittest.IsolatedAsyncioTestCase):
    """An agent that knows its worker, and the polls of a planner."""

    ANSWER_LIMIT_S = 5

    def setUp(self):
        self.worker = FakeWorker()
        self.replies = []
        self.guard = WorkerGuard('agent-1', 7, LEASES)
        self.agent = WorkerAgentTask(
            self.guard, self.worker, self, FakeClock(), FakeJournal()
        )
        meet(self.guard, make_heartbeat(), 1_000)

    def reply(self, _request, data):
        """Receive a reply in place of the agent's socket."""
        self.replies.append(batch_codec.decode(data).unwrap())

    async def poll(self, report=None, wait_ms=0, call_worker=False, **fields):
        """Send the poll that follows a report, and return its reply."""
        worker, changes = self.guard.worker_id(), None
        if report is not None:
            worker = WorkerId('agent-1', report.worker.name, report.worker.born_ms)
            changes = report.changes
        order = Look(1, None, worker, 0, wait_ms, call_worker, changes, **fields)
        async with asyncio.timeout(self.ANSWER_LIMIT_S):
            await self.agent.serve(1, batch_codec.encode(order))
        return self.replies.pop()


class PollTest(AgentCase):
    """
    Guards against a change that the planner learns of seconds later.

    A heartbeat may arrive while the last report or the next poll is on its way. On
    smc-relay-grown a planner placed gangs on workers that had drained for 2 s.
    """

    LONG_WAIT_MS = 60_000

    async def test_a_worker_whose_clock_was_set_back_is_used_again(self):
        self.worker.born_ms = 4
        self.guard.take_heartbeat(make_heartbeat(1, born_ms=4), 1_100)
        report = await self.poll(call_worker=True)
        self.assertTrue(report.lists_read)
        self.assertEqual((report.worker.born_ms, report.closed_below_ms), (4, 4))

    async def test_a_worker_that_answers_before_its_heartbeat_is_used_after_it(self):
        self.worker.born_ms = 4
        report = await self.poll(call_worker=True)
        self.assertIsNone(report.worker)
        self.guard.take_heartbeat(make_heartbeat(1, born_ms=4), 1_200)
        report = await self.poll(call_worker=True)
        self.assertEqual((report.worker.born_ms, report.closed_below_ms), (4, 4))

    async def test_a_call_without_a_birth_does_not_close_the_worker(self):
        self.worker.born_ms = 0
        await self.poll(call_worker=True)
        taken = self.guard.take_heartbeat(make_heartbeat(2), 1_200)
        self.assertEqual(taken, Reception.APPLIED)
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
        self.worker.ended = True
        report = await self.poll(report, self.LONG_WAIT_MS)
        self.assertIsNone(report.worker)
        self.assertEqual(report.closed_below_ms, 11)

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


class DeregistrationTest(AgentCase):
    """
    Guards against running work that is started elsewhere after a deregistration.

    One without a body may be late, when the worker runs again under the same name, or
    of another writer. The agent took it for the end of the worker.
    """

    async def deregister(self, name='i-1', born_ms=None) -> None:
        self.agent.handle(
            WorkerDeregistered(
                name, born_ms, asyncio.get_running_loop().create_future()
            )
        )

    async def test_a_worker_that_still_answers_stays_in_use(self):
        for born_ms in (None, 10):
            await self.deregister(born_ms=born_ms)
            for call_worker in (False, True):
                report = await self.poll(call_worker=call_worker)
                self.assertEqual(
                    (report.worker.name, report.closed_below_ms), ('i-1', 10)
                )
            self.assertIsNone(self.guard.check_start(self.guard.worker_id()))
            taken = self.guard.take_heartbeat(make_heartbeat(2 + (born_ms or 0)), 1_200)
            self.assertEqual(taken, Reception.APPLIED)
            self.assertFalse(self.guard.is_leaving)

    async def test_a_silent_worker_has_not_ended(self):
        self.worker.silent = True
        await self.deregister()
        report = await self.poll(call_worker=True)
        self.assertEqual((report.worker.name, report.closed_below_ms), ('i-1', 10))

    async def test_the_end_is_noted_once_nothing_listens(self):
        await self.deregister()
        await self.poll()
        self.worker.ended = True
        report = await self.poll()
        self.assertIsNone(report.worker)
        self.assertEqual(report.closed_below_ms, 11)

    async def test_a_worker_that_is_only_gone_has_not_deregistered(self):
        # It may have crashed; its work waits for the next incarnation or the lease.
        self.worker.ended = True
        for name, born_ms in (('i-1', 9), ('i-2', None)):
            await self.deregister(name, born_ms)
            report = await self.poll(call_worker=True)
            self.assertEqual((report.worker.name, report.closed_below_ms), ('i-1', 10))


class ExpiredNoticeTest(AgentCase):
    """
    Guards against work that waits for the lease of a worker which has left.

    A worker that is taken away at short notice ends without a deregistration. On
    paddockproof-yr-grown an urgent gang waited 5.2 s for one of its members.
    """

    NOTICE_MS = 1_500

    async def poll_at(self, now_ms):
        """Return the report of a poll at a time on the agent's clock."""
        self.agent.clock.time_ms = now_ms
        return await self.poll(call_worker=True)

    async def announce(self, sequence=2):
        """Let the worker say at 1,100 that it leaves."""
        notice = make_heartbeat(sequence, draining=True, leaves_in_ms=self.NOTICE_MS)
        self.guard.take_heartbeat(notice, 1_100)

    async def test_a_worker_that_is_gone_after_its_notice_has_ended(self):
        await self.announce()
        self.worker.ended = True
        report = await self.poll_at(1_100 + self.NOTICE_MS)
        self.assertIsNone(report.worker)
        self.assertEqual(report.closed_below_ms, 11)

    async def test_before_the_end_of_its_notice_it_may_have_crashed(self):
        await self.announce()
        self.worker.ended = True
        report = await self.poll_at(1_099 + self.NOTICE_MS)
        self.assertEqual((report.worker.name, report.closed_below_ms), ('i-1', 10))

    async def test_a_silent_worker_has_not_ended(self):
        await self.announce()
        self.worker.silent = True
        report = await self.poll_at(60_000)
        self.assertEqual((report.worker.name, report.closed_below_ms), ('i-1', 10))

    async def test_a_worker_that_still_answers_stays(self):
        await self.announce()
        report = await self.poll_at(60_000)
        self.assertEqual((report.worker.name, report.lists_read), ('i-1', True))


class ForeignHeartbeatTest(AgentCase):
    """
    Guards against work that runs twice after a heartbeat of another writer.

    It was taken for a new incarnation of the agent's worker, and a planner started the
    worker's running task elsewhere (review/2).
    """

    def setUp(self):
        super().setUp()
        self.guard.check_term(1)
        self.worker_id = self.guard.worker_id()

    async def send(self, sequence=1, service='desk', **fields) -> None:
        """Send a heartbeat, and let the agent finish the calls that follow."""
        heartbeat = make_heartbeat(sequence, **fields)
        info = heartbeat.info._replace(service=service)
        self.agent.handle(
            HeartbeatReceived(
                heartbeat._replace(info=info),
                asyncio.get_running_loop().create_future(),
            )
        )
        while self.agent.order_tasks:
            await asyncio.gather(*self.agent.order_tasks)

    async def check_unchanged(self, **fields) -> None:
        """Check what a planner learns after a foreign heartbeat, and the next beat."""
        for call_worker in (False, True):
            await self.send(1_000_000, **fields)
            report = await self.poll(call_worker=call_worker)
            self.assertEqual(self.guard.worker_id(), self.worker_id)
            self.assertEqual(report.worker.name, 'i-1')
            self.assertEqual((report.worker.born_ms, report.closed_below_ms), (10, 10))
            self.assertEqual(report.worker.service, 'desk')
            self.assertFalse(report.worker.draining)
        await self.send(2, draining=True)
        self.assertTrue(self.guard.worker.draining)

    async def test_one_of_another_name_changes_nothing(self):
        await self.check_unchanged(name='i-7f3a91c2', born_ms=2**41, service='none')

    async def test_one_of_a_later_birth_changes_nothing(self):
        await self.check_unchanged(born_ms=2**41)

    async def test_one_of_an_earlier_birth_changes_nothing(self):
        await self.check_unchanged(born_ms=1)

    async def test_one_of_another_service_under_the_workers_name_changes_nothing(self):
        await self.check_unchanged(service='none', draining=True)

    async def test_one_that_a_silent_worker_cannot_refute_changes_nothing(self):
        self.worker.silent = True
        await self.send(1, name='i-2', born_ms=2**41)
        report = await self.poll(call_worker=True)
        self.assertFalse(report.lists_read)
        self.assertEqual((report.worker.name, report.closed_below_ms), ('i-1', 10))
        self.worker.silent = False
        await self.check_unchanged(name='i-2', born_ms=2**41)

    async def test_a_real_incarnation_takes_over_at_once(self):
        for name, born_ms in (('i-1', 20), ('i-2', 30), ('i-2', 5)):
            self.worker.name, self.worker.born_ms = name, born_ms
            await self.send(1, name='i-9', born_ms=2**41)
            await self.send(1, name=name, born_ms=born_ms)
            self.assertEqual(self.guard.worker_id(), ('agent-1', name, born_ms))
            self.assertEqual(self.guard.closed_below_ms, born_ms)

    async def test_an_error_while_the_worker_is_asked_is_logged(self):
        with mock.patch.object(self.worker, 'read', side_effect=KeyError('odd')):
            await self.send(1, name='i-2', born_ms=20)
        events = [event for event, _ in self.agent.journal.lines]
        self.assertIn('worker_not_identified', events)
        await self.check_unchanged(name='i-2', born_ms=20)

    async def test_an_agent_without_a_planner_asks_with_the_first_poll(self):
        # A call without a term would be refused, and one with a guess might not be.
        self.guard = WorkerGuard('agent-1', 8, LEASES)
        self.agent = WorkerAgentTask(
            self.guard, self.worker, self, FakeClock(), FakeJournal()
        )
        await self.send(1, name='i-9', born_ms=2**41)
        await self.send(1)
        self.assertEqual(self.worker.waits, [])
        report = await self.poll()
        self.assertEqual((report.worker.name, report.worker.born_ms), ('i-1', 10))

    async def test_a_service_that_no_configuration_has_gives_way_to_another(self):
        # The foreign heartbeat came first, to an agent that had just started.
        self.guard.worker = None
        await self.send(9, service='none')
        await self.send(2)
        self.assertEqual(self.guard.worker.service, 'none')
        await self.poll(is_service_known=False)
        await self.send(3)
        self.assertEqual(self.guard.worker.service, 'desk')
        await self.poll()
        await self.send(10, service='none')
        self.assertEqual(self.guard.worker.service, 'desk')


class HandoverTest(AgentCase):
    """Guards against a lease that is given after a newer planner has counted on it."""

    async def test_a_poll_of_an_older_planner_extends_no_lease_after_a_newer_one(self):
        await self.poll()
        self.worker.asked = asyncio.Event()
        self.worker.may_answer = asyncio.Event()
        self.guard.take_heartbeat(make_heartbeat(1, name='i-2', born_ms=20), 1_100)
        basis = LeaseReference(7, self.agent.clock.now_ms())
        order = Look(1, basis, self.guard.worker_id(), 0, 0, True)
        polling = asyncio.create_task(self.agent.serve(1, batch_codec.encode(order)))
        await self.worker.asked.wait()
        self.guard.check_term(2)
        expire_ms = self.guard.leases_expire_ms
        self.worker.may_answer.set()
        await polling
        self.assertEqual(self.replies.pop(), OldTerm(2))
        self.assertEqual(self.guard.leases_expire_ms, expire_ms)


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

    async def test_a_call_that_was_not_sent_is_retried(self):
        # The check of the connection got no answer; nothing was done.
        unsent = NotSent('silent')
        answer = await self.retry(unsent, Accepted(5))
        self.assertEqual((answer, self.tries), (Accepted(5), 1))
        answer = await self.retry(NoAnswer('silent'), unsent, Accepted(5))
        self.assertEqual((answer, self.tries), (Accepted(5), 2))
        self.assertEqual(await self.retry(*[unsent] * ORDER_TRIES), unsent)
        answer = await self.retry(unsent, NoAnswer('silent'), unsent)
        self.assertEqual(answer, NoAnswer('silent'))

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
