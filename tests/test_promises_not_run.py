"""Invariant 4: what a caller hears as not run did not run."""

import unittest

from tests import oracle
from tests.fleet import ENTRIES
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    make_session,
    query_status,
    start_running,
)
from yuccarelay.core.events import CancelRequested, MessageReceived
from yuccarelay.core.messages import AttemptStatus, Fate, Launch, Settle
from yuccarelay.core.models import JobState

STATED_NOT_RUN = ('not_run', 'cancelled_before_start')


def hold_launches(session, delay_ms):
    """Let each launch of an attempt arrive late by this much."""
    send, pick_delay = session._send, session._pick_delay

    def send_late(sender, request):
        if isinstance(request.message, Launch):
            session._pick_delay = lambda *_: delay_ms
        send(sender, request)
        session._pick_delay = pick_delay

    session._send = send_late


class NotRunTest(unittest.TestCase):
    """Refusals and cancellations that race with the start."""

    def assert_true_to_callers(self, session):
        self.assertEqual(oracle.check_nothing_ran(session), [])

    def cancel(self, session, job_id, entry=ENTRIES[0]):
        session.request(entry, lambda number: CancelRequested(number, 'alder', job_id))

    def test_cancellation_races_the_start(self):
        """Guards against a cancelled job that starts, at any moment of its path."""
        kinds = set()
        for delay_ms in range(0, 60, 2):
            with self.subTest(delay_ms=delay_ms):
                session = make_session(seed=delay_ms + 1)
                job_id = accept(session, 'once', run_ms=2_000)
                session.run(delay_ms)
                self.cancel(session, job_id)
                session.run(10_000)
                kind = find_outcome(session, job_id)
                kinds.add(kind)
                self.assertIn(kind, (*STATED_NOT_RUN, 'cancelled_after_start'))
                self.assert_true_to_callers(session)
        self.assertEqual(kinds, {'cancelled_before_start', 'cancelled_after_start'})

    def test_cancelled_retry_is_not_before_start(self):
        """Guards against a claim about a job whose first attempt had run."""
        session = make_session()
        job_id = accept(session, 'again', run_ms=50, fail=True)
        entry = session.processes[ENTRIES[0]].core
        session.run_until(
            lambda: (
                entry.state.jobs[job_id].attempt >= 1
                and entry.state.jobs[job_id].state is JobState.QUEUED
                and bool(find_runs(session, job_id))
            ),
            5_000,
        )
        self.cancel(session, job_id)
        session.run(5_000)
        self.assertEqual(find_outcome(session, job_id), 'cancelled_after_start')

    def test_unanswered_launch_is_not_before_start(self):
        """Guards against a claim after a launch whose reply and agent were lost."""
        session = make_session()
        for worker_id in session.workers:
            session.cut(ENTRIES[1], session.workers[worker_id].address)
        job_id = accept(session, 'again', run_ms=600_000)
        session.run_until(lambda: bool(find_runs(session, job_id)), 5_000)
        entry = session.processes[ENTRIES[0]].core
        worker_id = find_runs(session, job_id)[0].worker_id
        entry.state.update(job_id, state=JobState.LAUNCHING, starts=0, started_ms=0)
        session.kill_worker(worker_id)
        entry.dispatcher.attempt_tracker.settle(job_id, session.now_ms)
        session.run_until(
            lambda: entry.state.jobs[job_id].state is JobState.QUEUED,
            30_000,
        )
        self.cancel(session, job_id)
        session.run(5_000)
        self.assertEqual(find_outcome(session, job_id), 'cancelled_after_start')

    def test_adopter_does_not_deny_what_the_dead_owner_ran(self):
        """Guards against not run of a repeatable job that an earlier owner started."""
        session = make_session()
        job_id = start_running(session, 'again', run_ms=600_000)
        worker_id = find_runs(session, job_id)[0].worker_id
        session.kill(ENTRIES[0])
        session.kill_worker(worker_id)
        entry = session.processes[ENTRIES[1]].core
        session.run_until(lambda: job_id in entry.state.jobs, 60_000)
        self.cancel(session, job_id, ENTRIES[1])
        session.run(30_000)
        kind = find_outcome(session, job_id, ENTRIES[1])
        self.assertEqual(kind, 'cancelled_after_start')

    def test_launch_after_the_refusal_starts_nothing(self):
        """Guards against a launch that arrives after its attempt was settled."""
        session = make_session()
        hold_launches(session, 8_000)
        job_id = accept(session, 'once', run_ms=500)
        session.run(1_000)
        self.cancel(session, job_id)
        session.run(60_000)
        self.assertEqual(find_outcome(session, job_id), 'cancelled_before_start')
        self.assertEqual(find_runs(session, job_id), [])

    def test_second_launch_refused_by_a_restarted_agent_proves_nothing(self):
        """Guards against a second run after the first launch was taken and lost."""
        session = make_session()
        job_id = accept(session, 'once', run_ms=600_000)
        entry = session.processes[ENTRIES[0]]
        session.run_until(lambda: bool(find_runs(session, job_id)), 5_000)
        worker_id = find_runs(session, job_id)[0].worker_id
        session.kill(session.workers[worker_id].address)
        job = entry.core.state.update(job_id, state=JobState.LAUNCHING)
        session.start_agent(worker_id)
        entry.core.dispatcher.acquirer._launch(job.job_id, session.now_ms)
        session.run(60_000)
        self.assertEqual(find_outcome(session, job_id), 'unknown')
        self.assertEqual(len(find_runs(session, job_id)), 1)

    def test_cancelled_reclaim_asks_the_leader(self):
        """Guards against a delayed copy of a launch that met a reclaim first."""
        session = make_session()
        for _ in range(6):
            start_running(session, 'again', run_ms=600_000, organisation='birch')
        for _ in range(60):
            accept(session, 'again', run_ms=600_000, organisation='birch')
        session.run(3_000)
        job_id = accept(session, 'urgent', run_ms=600_000)
        entry = session.processes[ENTRIES[0]].core
        found = session.run_until(
            lambda: entry.state.jobs[job_id].state is JobState.ACQUIRING,
            5_000,
        )
        self.assertTrue(found)
        # An earlier launch was answered with Reclaiming; a copy of it is late.
        job = entry.state.update(job_id, launched=True)
        session.pause(ENTRIES[0])
        session.run(300)
        self.deliver_launch(session, job)
        session.run(50)
        self.assertEqual(len(find_runs(session, job_id)), 1)
        self.cancel(session, job_id)
        session.run(50)
        session.resume(ENTRIES[0])
        session.run(5_000)
        self.assertEqual(find_outcome(session, job_id), 'cancelled_after_start')
        self.assert_true_to_callers(session)

    def deliver_launch(self, session, job):
        leader = job.members[0]
        message = Launch(
            attempt_id=job.attempt_id,
            incarnation=leader.incarnation,
            generation=1,
            members=job.members,
            payload=job.payload,
            owner_address=ENTRIES[0],
            run_ms=600_000,
        )
        agent = session.processes[leader.address]
        session.deliver(agent, MessageReceived(message, 999_999))

    def test_ambiguous_write_of_the_attempt(self):
        """Guards against a launch whose record is uncertain, and against a denial."""
        for lost in range(1, 5):
            with self.subTest(lost=lost):
                session = make_session(seed=lost)
                session.store.lost_answers = lost
                request_id = session.submit(ENTRIES[0], 'alder', 'once', run_ms=500)
                session.run(60_000)
                job_id = session.find_response(ENTRIES[0], request_id).job_id
                self.assertEqual(find_outcome(session, job_id), 'completed')
                self.assertEqual(len(find_runs(session, job_id)), 1)

    def test_restarted_agent_does_not_deny(self):
        """Guards against not started from an agent that cannot know."""
        session = make_session()
        job_id = start_running(session, 'once', run_ms=600_000)
        run = find_runs(session, job_id)[0]
        address = session.workers[run.worker_id].address
        earlier = session.workers[run.worker_id]
        session.kill(address)
        agent = session.start_agent(run.worker_id)
        session.run(500)
        message = Settle(run.attempt_id, earlier.incarnation, ENTRIES[0])
        fate = agent.core._settle(message)
        self.assertEqual(fate, Fate(run.attempt_id, AttemptStatus.UNKNOWN))
        session.run(30_000)
        self.assertEqual(find_outcome(session, job_id), 'unknown')

    def test_deadline_passes_before_the_start(self):
        """Guards against an expired job that starts after all."""
        session = make_session()
        for worker_id in session.workers:
            session.kill(session.workers[worker_id].address)
        session.run(10_000)
        job_id = accept(session, 'once', run_ms=100)
        session.run(3_700_000)
        for worker_id in session.workers:
            session.start_agent(worker_id)
        session.run(30_000)
        status = query_status(session, job_id)
        self.assertEqual(status.outcome.kind, 'not_run')
        self.assertEqual(find_runs(session, job_id), [])


if __name__ == '__main__':
    unittest.main()
