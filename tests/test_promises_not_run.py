"""Invariant 4: what a caller hears as not run did not run."""

import unittest

from tests import oracle
from tests.fleet import ENTRIES
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    make_simulation,
    query_status,
    start_running,
)
from yuccarelay.core.events import CancelRequested, MessageReceived
from yuccarelay.core.messages import AttemptStatus, Fate, Launch, Settle
from yuccarelay.core.models import JobState

STATED_NOT_RUN = ('not_run', 'cancelled_before_start')


def hold_launches(simulation, delay_ms):
    """Let each launch of an attempt arrive late by this much."""
    send, pick_delay = simulation._send, simulation._pick_delay

    def send_late(sender, request):
        if isinstance(request.message, Launch):
            simulation._pick_delay = lambda *_: delay_ms
        send(sender, request)
        simulation._pick_delay = pick_delay

    simulation._send = send_late


class NotRunTest(unittest.TestCase):
    """Refusals and cancellations that race with the start."""

    def assert_true_to_callers(self, simulation):
        self.assertEqual(oracle.check_nothing_ran(simulation), [])

    def cancel(self, simulation, job_id, entry=ENTRIES[0]):
        simulation.request(
            entry, lambda number: CancelRequested(number, 'alder', job_id)
        )

    def test_cancellation_races_the_start(self):
        """Guards against a cancelled job that starts, at any moment of its path."""
        kinds = set()
        for delay_ms in range(0, 60, 2):
            with self.subTest(delay_ms=delay_ms):
                simulation = make_simulation(seed=delay_ms + 1)
                job_id = accept(simulation, 'once', run_ms=2_000)
                simulation.run(delay_ms)
                self.cancel(simulation, job_id)
                simulation.run(10_000)
                kind = find_outcome(simulation, job_id)
                kinds.add(kind)
                self.assertIn(kind, (*STATED_NOT_RUN, 'cancelled_after_start'))
                self.assert_true_to_callers(simulation)
        self.assertEqual(kinds, {'cancelled_before_start', 'cancelled_after_start'})

    def test_cancelled_retry_is_not_before_start(self):
        """Guards against a claim about a job whose first attempt had run."""
        simulation = make_simulation()
        job_id = accept(simulation, 'again', run_ms=50, fail=True)
        entry = simulation.processes[ENTRIES[0]].core
        simulation.run_until(
            lambda: (
                entry.state.jobs[job_id].attempt >= 1
                and entry.state.jobs[job_id].state is JobState.QUEUED
                and bool(find_runs(simulation, job_id))
            ),
            5_000,
        )
        self.cancel(simulation, job_id)
        simulation.run(5_000)
        self.assertEqual(find_outcome(simulation, job_id), 'cancelled_after_start')

    def test_unanswered_launch_is_not_before_start(self):
        """Guards against a claim after a launch whose reply and agent were lost."""
        simulation = make_simulation()
        for worker_id in simulation.workers:
            simulation.cut(ENTRIES[1], simulation.workers[worker_id].address)
        job_id = accept(simulation, 'again', run_ms=600_000)
        simulation.run_until(lambda: bool(find_runs(simulation, job_id)), 5_000)
        entry = simulation.processes[ENTRIES[0]].core
        worker_id = find_runs(simulation, job_id)[0].worker_id
        entry.state.update(job_id, state=JobState.LAUNCHING, starts=0, started_ms=0)
        simulation.kill_worker(worker_id)
        entry.dispatcher.attempt_tracker.settle(job_id, simulation.now_ms)
        simulation.run_until(
            lambda: entry.state.jobs[job_id].state is JobState.QUEUED,
            30_000,
        )
        self.cancel(simulation, job_id)
        simulation.run(5_000)
        self.assertEqual(find_outcome(simulation, job_id), 'cancelled_after_start')

    def test_adopter_does_not_deny_what_the_dead_owner_ran(self):
        """Guards against not run of a repeatable job that an earlier owner started."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'again', run_ms=600_000)
        worker_id = find_runs(simulation, job_id)[0].worker_id
        simulation.kill(ENTRIES[0])
        simulation.kill_worker(worker_id)
        entry = simulation.processes[ENTRIES[1]].core
        simulation.run_until(lambda: job_id in entry.state.jobs, 60_000)
        self.cancel(simulation, job_id, ENTRIES[1])
        simulation.run(30_000)
        kind = find_outcome(simulation, job_id, ENTRIES[1])
        self.assertEqual(kind, 'cancelled_after_start')

    def test_launch_after_the_refusal_starts_nothing(self):
        """Guards against a launch that arrives after its attempt was settled."""
        simulation = make_simulation()
        hold_launches(simulation, 8_000)
        job_id = accept(simulation, 'once', run_ms=500)
        simulation.run(1_000)
        self.cancel(simulation, job_id)
        simulation.run(60_000)
        self.assertEqual(find_outcome(simulation, job_id), 'cancelled_before_start')
        self.assertEqual(find_runs(simulation, job_id), [])

    def test_second_launch_refused_by_a_restarted_agent_proves_nothing(self):
        """Guards against a second run after the first launch was taken and lost."""
        simulation = make_simulation()
        job_id = accept(simulation, 'once', run_ms=600_000)
        entry = simulation.processes[ENTRIES[0]]
        simulation.run_until(lambda: bool(find_runs(simulation, job_id)), 5_000)
        worker_id = find_runs(simulation, job_id)[0].worker_id
        simulation.kill(simulation.workers[worker_id].address)
        job = entry.core.state.update(job_id, state=JobState.LAUNCHING)
        simulation.start_agent(worker_id)
        entry.core.dispatcher.acquirer._launch(job.job_id, simulation.now_ms)
        simulation.run(60_000)
        self.assertEqual(find_outcome(simulation, job_id), 'unknown')
        self.assertEqual(len(find_runs(simulation, job_id)), 1)

    def test_cancelled_reclaim_asks_the_leader(self):
        """Guards against a delayed copy of a launch that met a reclaim first."""
        simulation = make_simulation()
        for _ in range(6):
            start_running(simulation, 'again', run_ms=600_000, organisation='birch')
        for _ in range(60):
            accept(simulation, 'again', run_ms=600_000, organisation='birch')
        simulation.run(3_000)
        job_id = accept(simulation, 'urgent', run_ms=600_000)
        entry = simulation.processes[ENTRIES[0]].core
        found = simulation.run_until(
            lambda: entry.state.jobs[job_id].state is JobState.ACQUIRING,
            5_000,
        )
        self.assertTrue(found)
        # An earlier launch was answered with Reclaiming; a copy of it is late.
        job = entry.state.update(job_id, launched=True)
        simulation.pause(ENTRIES[0])
        simulation.run(300)
        self.deliver_launch(simulation, job)
        simulation.run(50)
        self.assertEqual(len(find_runs(simulation, job_id)), 1)
        self.cancel(simulation, job_id)
        simulation.run(50)
        simulation.resume(ENTRIES[0])
        simulation.run(5_000)
        self.assertEqual(find_outcome(simulation, job_id), 'cancelled_after_start')
        self.assert_true_to_callers(simulation)

    def deliver_launch(self, simulation, job):
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
        agent = simulation.processes[leader.address]
        simulation.deliver(agent, MessageReceived(message, 999_999))

    def test_ambiguous_write_of_the_attempt(self):
        """Guards against a launch whose record is uncertain, and against a denial."""
        for lost in range(1, 5):
            with self.subTest(lost=lost):
                simulation = make_simulation(seed=lost)
                simulation.store.lost_answers = lost
                request_id = simulation.submit(ENTRIES[0], 'alder', 'once', run_ms=500)
                simulation.run(60_000)
                job_id = simulation.find_response(ENTRIES[0], request_id).job_id
                self.assertEqual(find_outcome(simulation, job_id), 'completed')
                self.assertEqual(len(find_runs(simulation, job_id)), 1)

    def test_restarted_agent_does_not_deny(self):
        """Guards against not started from an agent that cannot know."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'once', run_ms=600_000)
        run = find_runs(simulation, job_id)[0]
        address = simulation.workers[run.worker_id].address
        earlier = simulation.workers[run.worker_id]
        simulation.kill(address)
        agent = simulation.start_agent(run.worker_id)
        simulation.run(500)
        message = Settle(run.attempt_id, earlier.incarnation, ENTRIES[0])
        fate = agent.core._settle(message)
        self.assertEqual(fate, Fate(run.attempt_id, AttemptStatus.UNKNOWN))
        simulation.run(30_000)
        self.assertEqual(find_outcome(simulation, job_id), 'unknown')

    def test_deadline_passes_before_the_start(self):
        """Guards against an expired job that starts after all."""
        simulation = make_simulation()
        for worker_id in simulation.workers:
            simulation.kill(simulation.workers[worker_id].address)
        simulation.run(10_000)
        job_id = accept(simulation, 'once', run_ms=100)
        simulation.run(3_700_000)
        for worker_id in simulation.workers:
            simulation.start_agent(worker_id)
        simulation.run(30_000)
        status = query_status(simulation, job_id)
        self.assertEqual(status.outcome.kind, 'not_run')
        self.assertEqual(find_runs(simulation, job_id), [])


if __name__ == '__main__':
    unittest.main()
