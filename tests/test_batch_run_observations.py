"""Tests of what the planner learns about run times, and where it uses it."""

import unittest

from tests.batch_fleet import (
    ORDINARY,
    URGENT,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch.run_times import GroupKey

# Estimates that say nothing: each job takes a second.
BAD_ESTIMATES_MS = (300, 9_000, 700, 20_000, 150, 4_000)


class RunObservationsTest(unittest.TestCase):
    """Guards against predictions that miss the runs, or decisions that miss them."""

    def run_jobs(self, *submitted_ms: int, fleet: Fleet | None = None) -> Fleet:
        """Run jobs of one task each, one after the other."""
        fleet = fleet or make_fleet()
        for estimated_ms in submitted_ms:
            fleet.submit(make_job(make_step(estimated_ms=estimated_ms)))
            fleet.run(1_500)
        return fleet

    def list_notes(self, fleet: Fleet, event: str) -> list[dict]:
        """Return the fields of all log lines of an event."""
        return [fields for name, fields in fleet.notes if name == event]

    def test_bad_estimates_are_replaced_and_the_change_is_logged(self):
        fleet = self.run_jobs(*BAD_ESTIMATES_MS * 3)
        (switched,) = self.list_notes(fleet, 'run_times_switched')
        self.assertEqual(switched['queue'], ORDINARY.name)
        self.assertEqual(switched['predictor'], 'learned')
        self.assertGreater(switched['submitted_factor'], switched['learned_factor'])
        last = self.list_notes(fleet, 'run_assigned')[-1]
        self.assertEqual(last['submitted_ms'], BAD_ESTIMATES_MS[-1])
        self.assertAlmostEqual(last['estimate_ms'] / 1_000, 1, delta=0.5)

    def test_good_estimates_stay_in_use(self):
        fleet = self.run_jobs(*[1_000] * 14)
        run_times = fleet.planner.planner_state.run_times
        expected_ms = int(run_times.durations.estimate_ms('ordinary', 1_000))
        self.run_jobs(1_000, fleet=fleet)
        self.assertEqual(self.list_notes(fleet, 'run_times_switched'), [])
        last = self.list_notes(fleet, 'run_assigned')[-1]
        self.assertEqual(last['estimate_ms'], expected_ms)

    def test_a_stopped_run_counts_as_at_least_as_long_as_it_ran(self):
        fleet = make_fleet(1, run_ms=8_000)
        job = fleet.submit(make_job(make_step(1, 8, estimated_ms=8_000)))
        fleet.run(3_000)
        step = make_step(1, 8, estimated_ms=2_000)
        fleet.submit(make_job(step, queue=URGENT, organisation='guild'))
        fleet.run(1_500)
        reasons = [one['reason'] for one in self.list_notes(fleet, 'run_stopping')]
        self.assertIn('reclaimed', reasons)
        queue = fleet.planner.planner_state.run_times.queues[ORDINARY.name]
        group = queue.groups[GroupKey(job.id, 0, 0)]
        self.assertEqual(group.count, 0)
        self.assertGreater(group.at_least, 7.5)

    def test_a_run_that_began_with_a_checkpoint_is_not_learned(self):
        fleet = make_fleet(1, run_ms=8_000)
        step = make_step(1, 8, checkpointing=True, estimated_ms=8_000)
        job = fleet.submit(make_job(step))
        fleet.run(2_000)
        (run,) = fleet.workers['agent-w0'].runs.values()
        run.checkpoint = 'c1'
        fleet.run(4_000)
        fleet.workers['agent-w0'].crash(fleet.now_ms)
        fleet.run(20_000)
        self.assertEqual(fleet.state(job), 'completed')
        self.assertEqual(len(fleet.starts(job)), 2)
        queues = fleet.planner.planner_state.run_times.queues
        # The first run was from the start, but did not end.
        group = queues[ORDINARY.name].groups[GroupKey(job.id, 0, 0)]
        self.assertEqual(group.count, 0)
