"""Plays random loads and faults, and checks that work that could run is started."""

import unittest
from unittest import mock

from tests.batch_fleet import TICK_MS, Fleet, make_fleet, make_job, make_step
from tests.progress import (
    AWAY_LIMIT_MS,
    IDLE_LIMIT_MS,
    ProgressCheck,
    Violation,
    describe_seed,
)
from tests.random_plays import CALM_MS, make_script
from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot

# Chosen by the time that they take, before any result was known. Others are searched
# by hand with `python -m tests.progress`.
SEEDS = range(1, 19)
LONG_MS = 600_000
FOREVER_MS = 10**9


def watch(fleet: Fleet, duration_ms: int = CALM_MS) -> list[Violation]:
    """Run a fleet without faults; return what was not started."""
    progress = ProgressCheck(fleet)
    for _ in range(duration_ms // TICK_MS):
        fleet.run(TICK_MS)
        progress.check()
    return list(progress.violations.values())


def avoid_workers(fleet: Fleet, *names: str) -> None:
    """Let the planner avoid workers for ever."""
    for name in names:
        view = fleet.planner.planner_state.workers[f'agent-{name}']
        view.avoid_until_ms = FOREVER_MS


def keep_avoided(_snapshot, _unit, _queue, _step, candidates: list) -> list:
    """Replace the admission of avoided workers by none."""
    return candidates


class RandomPlayTest(unittest.TestCase):
    """Guards against accepted work that could run and is not started."""

    def test_work_that_fits_is_started_once_faults_have_ended(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual('\n'.join(describe_seed(seed)), '')

    def test_a_seed_has_always_the_same_script(self):
        self.assertEqual(make_script(3), make_script(3))
        self.assertNotEqual(make_script(3), make_script(4))


class IdleJobTest(unittest.TestCase):
    """Guards against a check that misses jobs with nothing running."""

    @mock.patch.object(CapacitySnapshot, '_admit_avoided', keep_avoided)
    def test_work_kept_off_free_workers_for_ever_is_reported(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        avoid_workers(fleet, 'w1', 'w2', 'w3')
        job = fleet.submit(make_job(make_step(1, 8)))
        found = watch(fleet)
        self.assertEqual({violation.job for violation in found}, {job.id})
        self.assertIn('idle', {violation.rule for violation in found})
        self.assertIn('cause=failing', found[0].note)

    def test_a_planner_without_passes_is_reported(self):
        fleet = make_fleet(4)
        fleet.planner.planner_state.pass_due_ms = FOREVER_MS
        job = fleet.submit(make_job(make_step(1, 8)))
        first = watch(fleet)[0]
        self.assertEqual((first.rule, first.job), ('idle', job.id))
        self.assertGreater(first.idle_ms, IDLE_LIMIT_MS)
        self.assertLessEqual(first.idle_ms, IDLE_LIMIT_MS + TICK_MS)

    def test_a_task_that_fits_only_once_is_reported_at_the_end(self):
        fleet = make_fleet(1)
        fleet.planner.planner_state.pass_due_ms = FOREVER_MS
        fleet.submit(make_job(make_step(1, 8)))
        self.assertEqual([violation.rule for violation in watch(fleet)], ['end'])

    def test_a_record_that_names_a_run_for_ever_is_reported(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        for worker in fleet.workers.values():
            worker.runs.clear()
        fleet.planner.planner_state.workers.clear()
        self.assertEqual(watch(fleet)[0].job, job.id)

    def test_a_step_whose_turn_has_not_come_is_not_reported(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        first = make_step(1, 8)
        fleet.submit(make_job(first, make_step(1, 1, after=(0,))))
        self.assertEqual(watch(fleet), [])

    def test_work_without_capacity_twice_over_is_not_reported(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(3, 8)))
        fleet.run(500)
        fleet.planner.planner_state.pass_due_ms = FOREVER_MS
        fleet.submit(make_job(make_step(1, 8)))
        fleet.submit(make_job(make_step(2, 8, gang=True)))
        self.assertEqual(watch(fleet), [])

    def test_work_beside_capacity_twice_over_is_reported_in_a_fleet_in_use(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(3, 8)))
        fleet.run(500)
        fleet.planner.planner_state.pass_due_ms = FOREVER_MS
        job = fleet.submit(make_job(make_step(1, 1)))
        found = [(violation.rule, violation.job) for violation in watch(fleet)]
        self.assertEqual(found, [('idle', job.id)])

    def test_work_whose_label_no_free_worker_has_is_not_reported(self):
        fleet = make_fleet(4, per_rack=2, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 1, label='r9')))
        fleet.submit(make_job(make_step(5, 1, gang=True, per_worker=1)))
        self.assertEqual(watch(fleet), [])


class AwayTaskTest(unittest.TestCase):
    """Guards against a check that misses single tasks that last."""

    def test_a_task_is_reported_while_others_of_its_job_run(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        step = make_step(4, 8, is_long_running=True)
        job = fleet.submit(make_job(step))
        fleet.run(500)
        fleet.planner.planner_state.pass_due_ms = FOREVER_MS
        for worker in list(fleet.workers.values())[:2]:
            for task in list(worker.runs):
                worker.end(task, 'failed')
        found = watch(fleet)
        self.assertEqual({(v.rule, v.job) for v in found}, {('away', job.id)})
        self.assertGreater(found[0].idle_ms, AWAY_LIMIT_MS)

    def test_a_task_that_returns_in_time_is_not_reported(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(2, 8, is_long_running=True)))
        fleet.run(500)
        worker = next(w for w in fleet.workers.values() if w.runs)
        worker.end(next(iter(worker.runs)), 'failed')
        self.assertEqual(watch(fleet), [])


if __name__ == '__main__':
    unittest.main()
