"""Tests of an agent whose worker starts again under the name that it had."""

import asyncio
import json
import unittest
from dataclasses import replace
from unittest import mock

from tornado.httpclient import AsyncHTTPClient, HTTPError

from tests.batch_fleet import make_fleet, make_job, make_step
from tests.fakes import FakeJournal, OffsetClock
from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.agent import (
    Heartbeat,
    Reception,
    WorkerGuard,
)
from yuccarelay.core.batch.late_calls import LATE_CALL_MS, LateCall, LateCalls
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.models import Resources, WorkerInfo
from yuccarelay.core.batch.protocol import (
    Declined,
    LeaseReference,
    Look,
    Report,
    Start,
    Started,
    Unanswered,
)
from yuccarelay.platform.worker import INSTANCE_HEADER, HttpWorker
from yuccarelay.ports.worker import NoAnswer
from yuccarelay.standins.platform_worker import (
    LONGEST_HOLD_MS,
    OrderHandler,
    PlatformWorkerStandin,
)
from yuccarelay.tasks.batch.agent import WorkerAgentTask

LEASES = make_leases(LONGEST_HOLD_MS)
TASK = '5c0e7a21d94b36f8.0.0.0'
# How far the clock of the first incarnation is ahead of the second one's.
UPTIME_MS = 100_000
RUN_MS = 60_000


class LossyWorker(HttpWorker):
    """Calls to a worker; the next one that changes it is lost after `before_loss`."""

    before_loss = None

    async def start(self, order, until_ms):
        return self.lose() or await super().start(order, until_ms)

    async def hold(self, worker, term, seen, until_ms):
        return self.lose() or await super().hold(worker, term, seen, until_ms)

    def lose(self) -> NoAnswer | None:
        if self.before_loss is None:
            return None
        self.before_loss()
        self.before_loss = None
        return NoAnswer('lost')


class RestartCase(unittest.IsolatedAsyncioTestCase):
    """An agent, its worker with the real calls in between, and orders of a planner."""

    async def asyncSetUp(self):
        self.standin = PlatformWorkerStandin('i-1', '', run_ms=RUN_MS)
        self.standin.started_ns -= UPTIME_MS * 1_000_000
        # So that the next incarnation is born at another time in any case.
        self.standin.born_ms -= UPTIME_MS
        self.standin.start()
        self.clock = OffsetClock()
        self.worker = LossyWorker(self.standin.address)
        self.journal = FakeJournal()
        self.replies = []
        self.guard = WorkerGuard('agent-1', 7, LEASES, self.clock.now_ms())
        self.agent = WorkerAgentTask(
            self.guard, self.worker, self, self.clock, self.journal
        )
        await self.send_heartbeat(1)
        report = await self.poll()
        self.known = self.guard.worker_id()
        self.assertEqual(report.worker.born_ms, self.standin.born_ms)

    async def asyncTearDown(self):
        await self.worker.close()
        await self.standin.stop()

    def reply(self, _request, data):
        """Receive a reply in place of the agent's socket."""
        self.replies.append(batch_codec.decode(data).unwrap())

    async def send(self, order):
        """Send an order to the agent and return its answer."""
        await self.agent.serve(1, batch_codec.encode(order))
        return self.replies.pop()

    async def send_heartbeat(self, sequence: int) -> Reception:
        """Let the agent receive a heartbeat of the worker that is there."""
        standin = self.standin
        info = WorkerInfo(
            standin.name, standin.born_ms, 'desk', 'hobart', Resources(8, 8, 8), ()
        )
        heartbeat = Heartbeat(info, sequence, standin.now_ms())
        return self.guard.take_heartbeat(heartbeat, self.clock.now_ms())

    async def crash(self) -> None:
        """Restart the worker, and let the agent notice that its connections ended."""
        self.standin.crash()
        await asyncio.sleep(0.02)

    def basis(self) -> LeaseReference:
        return LeaseReference(self.guard.incarnation, self.clock.now_ms())

    async def poll(self, *, basis=None, seen=0) -> Report:
        """Poll the worker, and extend its lease from `basis`."""
        worker = self.guard.worker_id()
        return await self.send(Look(1, basis, worker, seen, 0, True))

    async def start(self, run=1):
        """Order a start on the incarnation that the planner knows."""
        return await self.send(
            Start(1, self.basis(), self.known, TASK, run, 'job text', '')
        )

    async def call_late(self, path: str, body: dict) -> None:
        """Let the worker that is there carry out a call to an earlier incarnation."""
        await AsyncHTTPClient().fetch(
            f'http://{self.standin.address}{path}',
            method='POST',
            headers={INSTANCE_HEADER: 'i-1'},
            body=json.dumps({'fencingToken': 1} | body),
        )

    def lease_left_ms(self) -> int:
        """Return for how long the worker still lets its runs go on."""
        return self.standin.lease_ms - self.standin.now_ms()

    def check_lease(self) -> None:
        """Check that no lease is longer than the planner and the agent count with."""
        self.assertLessEqual(self.lease_left_ms(), LEASES.lease_ms)
        self.assertLessEqual(
            self.lease_left_ms(), self.guard.leases_expire_ms - self.clock.now_ms()
        )


class RestartedWorkerTest(RestartCase):
    """
    Guards against a task that runs twice because its worker had started again.

    Until its first heartbeat a restarted worker got leases by the clock of its earlier
    incarnation: up to the longest hold of the platform, where the planner counts with
    6 s. After a cut the planner started the task elsewhere too early (review/8).
    """

    async def test_a_start_gives_the_lease_that_the_planner_counts_with(self):
        await self.crash()
        answer = await self.start()
        self.assertEqual(answer, Started(born_ms=self.standin.born_ms))
        self.assertEqual(self.standin.starts, [(TASK, 1)])
        self.check_lease()
        # All starts on their way find the same incarnation, also those of a gang.
        self.assertIsInstance(await self.start(run=2), Started)
        await self.send_heartbeat(1)
        report = await self.poll()
        self.assertEqual(report.worker.born_ms, self.standin.born_ms)
        self.assertEqual([run.task for run in report.running], [TASK])
        self.check_lease()

    async def test_a_poll_extends_no_lease_and_forgets_no_end(self):
        # An end that was forgotten unread was taken for a run that never began.
        await self.crash()
        self.standin.ended.append([1, TASK, 1, 'done', ''])
        report = await self.poll(basis=self.basis(), seen=57)
        self.assertIsNone(report.worker)
        self.assertEqual(self.standin.lease_ms, 0)
        self.assertEqual(len(self.standin.ended), 1)
        await self.send_heartbeat(1)
        report = await self.poll()
        self.assertEqual([end.task for end in report.ended], [TASK])

    async def test_a_successor_with_work_takes_no_start_before_its_heartbeat(self):
        # The lease of what runs there came from a call that is not known.
        await self.crash()
        late = {'task': TASK, 'run': 1, 'specification': '', 'untilMs': UPTIME_MS}
        await self.call_late('/api/run-start', late)
        self.assertEqual(await self.start(run=2), Declined('other_worker'))

    async def test_a_clock_that_is_ahead_of_the_earlier_one_changes_nothing(self):
        # A lease by the earlier clock would already be over on the new one.
        await self.crash()
        self.standin.started_ns -= 2 * UPTIME_MS * 1_000_000
        self.assertIsInstance(await self.start(), Started)
        self.check_lease()
        self.assertGreater(self.lease_left_ms(), LEASES.lease_ms // 2)

    async def test_a_draining_worker_has_no_successor(self):
        info = self.guard.worker._replace(draining=True)
        self.guard.take_heartbeat(Heartbeat(info, 2, 0), self.clock.now_ms())
        await self.crash()
        await self.poll(basis=self.basis())
        self.assertEqual(await self.start(), Declined('other_worker'))

    async def test_an_ordinary_start_takes_one_call(self):
        await self.start()
        post = OrderHandler.post
        with mock.patch.object(
            OrderHandler, 'post', autospec=True, side_effect=post
        ) as calls:
            self.assertIsInstance(await self.start(run=2), Started)
        self.assertEqual([call.args[1] for call in calls.call_args_list], ['run-start'])


class UnansweredCallTest(RestartCase):
    """
    Guards against calls that the next incarnation of the worker carries out.

    The platform may carry out a call without an answer seconds later. A lease by the
    earlier clock outlasts the planner's, ends of the new incarnation are forgotten
    unread, and a run begins that was stopped and started elsewhere.
    """

    def restart_worker(self) -> None:
        """Let the worker restart with the next call, which is not answered."""
        self.worker.before_loss = self.standin.crash

    async def test_a_start_without_an_answer_is_not_repeated_on_the_next_one(self):
        self.restart_worker()
        self.assertIsInstance(await self.start(), Unanswered)
        self.assertEqual(self.standin.starts, [])
        self.assertEqual(self.standin.lease_ms, 0)

    async def test_a_start_without_an_answer_is_refused_by_the_next_one(self):
        self.restart_worker()
        await self.start()
        await self.send_heartbeat(1)
        report = await self.poll()
        self.assertEqual(report.worker.born_ms, self.standin.born_ms)
        late = {'task': TASK, 'run': 1, 'specification': '', 'untilMs': 2 * UPTIME_MS}
        with self.assertRaises(HTTPError):
            await self.call_late('/api/run-start', late)
        self.assertEqual(self.standin.starts, [])

    async def test_the_next_one_is_not_known_before_it_refuses_the_start(self):
        self.restart_worker()
        await self.start()
        await self.send_heartbeat(1)
        with mock.patch.object(self.worker, 'stop', return_value=NoAnswer('lost')):
            self.assertIsNone((await self.poll()).worker)
        self.assertIsNotNone((await self.poll()).worker)

    async def test_a_lease_by_a_late_call_is_counted_with(self):
        self.restart_worker()
        await self.poll(basis=self.basis())
        lost_ms = self.clock.now_ms()
        await asyncio.sleep(0.02)
        # A start on its way would have a lease that the planner does not count with.
        self.assertEqual(await self.start(), Declined('other_worker'))
        await self.send_heartbeat(1)
        report = await self.poll()
        self.known = self.guard.worker_id()
        self.assertIsInstance(await self.start(), Started)
        late = {'lastSeen': 0, 'untilMs': 2 * UPTIME_MS}
        await self.call_late('/api/hold', late)
        self.assertGreater(self.lease_left_ms(), LEASES.lease_ms)
        self.assertGreaterEqual(report.late_leases_expire_in_ms, self.lease_left_ms())
        expiry_ms = LEASES.longest_expiry_ms(lost_ms + LATE_CALL_MS)
        self.assertAlmostEqual(self.guard.late_lease_expiry_ms(), expiry_ms, delta=900)
        self.clock.offset_ms = expiry_ms + 1_000 - lost_ms
        self.assertEqual((await self.poll()).late_leases_expire_in_ms, 0)

    async def test_ends_are_acknowledged_once(self):
        await self.poll(seen=3)
        with mock.patch.object(self.worker, 'hold', wraps=self.worker.hold) as hold:
            await self.poll(seen=3)
            await self.poll(basis=self.basis(), seen=3)
            await self.poll(seen=4)
        self.assertEqual([call.args[2] for call in hold.call_args_list], [0, 4])

    async def test_the_next_one_takes_no_work_while_its_ends_may_be_forgotten(self):
        self.restart_worker()
        await self.poll(basis=self.basis(), seen=3)
        await asyncio.sleep(0.02)
        await self.send_heartbeat(1)
        report = await self.poll()
        self.assertEqual(report.worker.born_ms, self.standin.born_ms)
        self.assertFalse(report.is_settled)
        self.known = self.guard.worker_id()
        self.assertEqual(await self.start(), Declined('unsettled'))
        self.clock.offset_ms += LATE_CALL_MS
        self.assertTrue((await self.poll()).is_settled)
        self.assertIsInstance(await self.start(), Started)
        self.check_lease()

    async def test_the_same_incarnation_is_used_at_once(self):
        self.worker.before_loss = mock.Mock()
        await self.poll(basis=self.basis())
        report = await self.poll(basis=self.basis())
        self.assertTrue(report.is_settled)
        self.assertIsInstance(await self.start(), Started)

    async def test_a_worker_that_does_not_answer_is_only_read(self):
        # Each call that changes something would be one more that may come late.
        self.worker.before_loss = mock.Mock()
        await self.poll(basis=self.basis(), seen=3)
        with (
            mock.patch.object(self.worker, 'read', return_value=NoAnswer('silent')),
            mock.patch.object(self.worker, 'hold') as hold,
        ):
            report = await self.poll(basis=self.basis(), seen=3)
        self.assertFalse(report.lists_read)
        hold.assert_not_called()

    async def test_the_wait_for_an_end_changes_nothing(self):
        # The call of a worker that ends during the wait is left without an answer.
        order = Look(1, self.basis(), self.known, 0, 600, True)
        order = replace(order, changes=self.guard.changes)
        with (
            mock.patch.object(self.worker, 'read', wraps=self.worker.read) as read,
            mock.patch.object(self.worker, 'hold', wraps=self.worker.hold) as hold,
        ):
            await self.send(order)
        self.assertEqual([call.args[2] for call in read.call_args_list], [300, 300])
        self.assertEqual(hold.call_count, 1)


class PlannedWorkTest(unittest.TestCase):
    """Guards against work that is lost or held up around a restart of a worker."""

    def test_a_run_that_the_next_incarnation_began_goes_on(self):
        fleet = make_fleet(1, run_ms=5_000)
        worker = fleet.workers['agent-w0']
        worker.restarts_unnoticed = True
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(10_000)
        self.assertEqual(len(fleet.starts(job)), 1)
        self.assertEqual(worker.all_ended, [(f'{job.id}.0.0.0', 'done')])

    def test_an_unsettled_worker_gets_work_once_no_call_can_reach_it(self):
        fleet = make_fleet(1, run_ms=1_000)
        worker = fleet.workers['agent-w0']
        call = LateCall(worker.born_ms - 1, acknowledges=True)
        worker.guard.late_calls.add(call, fleet.now_ms)
        settled_ms = fleet.now_ms + LATE_CALL_MS
        fleet.run(500)
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(LATE_CALL_MS + 4_000)
        ((started_ms, _, run),) = fleet.starts(job)
        self.assertEqual(run, 1)
        self.assertGreaterEqual(started_ms, settled_ms)
        self.assertEqual(worker.count_done(job.id), 1)

    def test_work_of_a_lost_worker_waits_for_leases_by_late_calls(self):
        fleet = make_fleet(2, run_ms=60_000)
        for worker in fleet.workers.values():
            call = LateCall(worker.born_ms - 1)
            worker.guard.late_calls.add(call, fleet.now_ms)
        expiry_ms = LEASES.longest_expiry_ms(fleet.now_ms + LATE_CALL_MS)
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(1_000)
        lost = next(worker for worker in fleet.workers.values() if worker.runs)
        lost.silent = True
        fleet.run(expiry_ms + 1_000)
        starts = fleet.starts(job)
        self.assertEqual([run for _, _, run in starts], [1, 2])
        self.assertGreaterEqual(starts[1][0], expiry_ms)


class LateCallsTest(unittest.TestCase):
    """Guards against a worker that is excluded, or counted with, without an end."""

    def test_calls_are_forgotten_once_they_have_no_effect_any_more(self):
        calls = LateCalls(LEASES)
        calls.add(LateCall(10, (TASK, 1)), 1_000)
        calls.add(LateCall(20, acknowledges=True), 2_000)
        self.assertEqual(calls.list_starts(20, 3_000), [(TASK, 1)])
        self.assertEqual(calls.list_starts(10, 3_000), [])
        self.assertEqual(calls.list_starts(20, 1_000 + LATE_CALL_MS), [])
        end_ms = 2_000 + LATE_CALL_MS
        self.assertFalse(calls.may_forget_ends(20, 3_000))
        self.assertTrue(calls.may_forget_ends(10, end_ms - 1))
        self.assertFalse(calls.may_forget_ends(10, end_ms))
        self.assertEqual(calls.lease_expiry_ms(30), LEASES.longest_expiry_ms(end_ms))
        later_ms = LEASES.longest_expiry_ms(end_ms)
        calls.add(LateCall(30), later_ms)
        self.assertEqual(calls.arrives_by_ms, {LateCall(30): later_ms + LATE_CALL_MS})
