"""Tests of what follows from the end of an attempt."""

import unittest

from tests.fleet import ENTRIES, SERVICE, make_simulation
from yuccarelay.core.attempt_tracking import (
    FREQUENT_RESTART_DELAY_MS,
    FREQUENT_STARTS,
    RESTART_DELAY_MS,
)
from yuccarelay.core.models import Completed, Failed
from yuccarelay.core.retry import BUDGET_WINDOW_MS
from yuccarelay.core.timing import SETTLE_MS, SUSPECT_MS

RUN_MS = 60_000


class LostWorkerTest(unittest.TestCase):
    """Guards against lost work that waits for the retry budget."""

    def test_all_jobs_of_a_lost_rack_start_elsewhere(self):
        simulation = make_simulation()
        for _ in range(24):
            simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=RUN_MS)
        simulation.run(2_000)
        jobs = simulation.processes[ENTRIES[0]].core.state.jobs
        lost = [job for job in jobs.values() if job.members[0].worker_id in 'w3 w4 w5']
        self.assertGreater(len(lost), 4)
        for worker in ('w3', 'w4', 'w5'):
            simulation.kill(simulation.workers[worker].address)
        simulation.run(SUSPECT_MS + SETTLE_MS + RESTART_DELAY_MS + 2 * RUN_MS + 10_000)
        self.assertEqual({type(job.outcome) for job in jobs.values()}, {Completed})

    def test_a_job_without_a_failed_attempt_is_not_shown_as_failed(self):
        simulation = make_simulation()
        simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=RUN_MS)
        simulation.run(2_000)
        state = simulation.processes[ENTRIES[0]].core.state
        (job,) = state.jobs.values()
        # Its workers were lost, or it was preempted, as often before.
        state.update(job.job_id, starts=FREQUENT_STARTS)
        worker = simulation.workers[job.members[0].worker_id]
        simulation.kill(worker.address)
        settled_ms = SUSPECT_MS + SETTLE_MS
        simulation.run(settled_ms + RESTART_DELAY_MS + 10_000)
        (job,) = state.jobs.values()
        self.assertIsNone(job.outcome)
        simulation.run(FREQUENT_RESTART_DELAY_MS + 2 * RUN_MS)
        (job,) = state.jobs.values()
        self.assertEqual(job.failures, 0)
        self.assertIsInstance(job.outcome, Completed)


class DrainedWorkTest(unittest.TestCase):
    """Guards against work that is stopped at a drain deadline and then runs twice."""

    def end_by_drain(self, job_name):
        simulation = make_simulation()
        simulation.submit(ENTRIES[0], 'birch', job_name, run_ms=RUN_MS)
        simulation.run(1_000)
        (job,) = simulation.processes[ENTRIES[0]].core.state.jobs.values()
        simulation.drain(job.members[0].address, deadline_ms=0)
        simulation.run(3 * RUN_MS)
        (job,) = simulation.processes[ENTRIES[0]].core.state.jobs.values()
        return job

    def test_job_that_cannot_resume_does_not_start_again(self):
        for job_name in ('once', 'gang'):
            with self.subTest(job_name=job_name):
                job = self.end_by_drain(job_name)
                self.assertIsInstance(job.outcome, Failed)
                self.assertEqual(job.starts, 1)

    def test_job_that_can_resume_is_completed(self):
        job = self.end_by_drain('resumable')
        self.assertIsInstance(job.outcome, Completed)
        self.assertEqual(job.starts, 2)


class RunTimeTest(unittest.TestCase):
    """Guards against run times that are never learned."""

    def test_completed_runs_are_learned(self):
        simulation = make_simulation()
        for _ in range(6):
            simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=2_000)
        simulation.run(10_000)
        state = simulation.processes[ENTRIES[0]].core.state
        spec = state.manifest.organisations['alder'].jobs['again']
        self.assertGreaterEqual(state.run_history.get_learned_run_ms(spec), 2_000)


class FailureTest(unittest.TestCase):
    """Guards against a failing job that is started again without end."""

    def test_failures_are_limited_by_the_job(self):
        simulation = make_simulation()
        simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=50, fail=True)
        simulation.run(120_000)
        (job,) = simulation.processes[ENTRIES[0]].core.state.jobs.values()
        self.assertIsInstance(job.outcome, Failed)
        self.assertEqual(job.failures, job.spec.attempt_limit)

    def test_a_retry_waits_for_the_budget(self):
        simulation = make_simulation()
        state = simulation.processes[ENTRIES[0]].core.state
        budget = state.find_budget(SERVICE)
        while budget.take(simulation.now_ms):
            pass
        simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=50, fail=True)
        simulation.run(30_000)
        (job,) = state.jobs.values()
        self.assertEqual((job.failures, job.starts), (1, 1))
        simulation.run(BUDGET_WINDOW_MS)
        (job,) = state.jobs.values()
        self.assertGreater(job.starts, 1)

    def test_a_job_that_is_not_repeatable_fails_at_once(self):
        simulation = make_simulation()
        simulation.submit(ENTRIES[0], 'alder', 'once', run_ms=50, fail=True)
        simulation.run(5_000)
        (job,) = simulation.processes[ENTRIES[0]].core.state.jobs.values()
        self.assertIsInstance(job.outcome, Failed)
        self.assertEqual(job.starts, 1)
