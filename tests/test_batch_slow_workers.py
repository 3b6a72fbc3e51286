"""Tests of the search for slow workers."""

import unittest

from yuccarelay.core.batch.slow_workers import Progress, find_slow_workers


def make_runs(worker: str, *percents: float, age_ms: int = 500) -> list[Progress]:
    """Return runs that have run for 4 s and are estimated at 8 s."""
    return [Progress(worker, 4_000, percent, age_ms, 8_000) for percent in percents]


class SlowWorkerTest(unittest.TestCase):
    """Guards against slow workers that get new work, and others that get none."""

    def setUp(self):
        self.normal_runs = [
            run for worker in 'abc' for run in make_runs(worker, 50, 40, 60)
        ]

    def test_a_worker_much_slower_than_the_others_is_found(self):
        runs = self.normal_runs + make_runs('d', 10, 8)
        self.assertEqual(find_slow_workers(runs), {'d'})

    def test_one_slow_run_does_not_make_a_worker_slow(self):
        self.assertEqual(find_slow_workers(self.normal_runs + make_runs('d', 7)), set())
        self.assertEqual(
            find_slow_workers(self.normal_runs + make_runs('d', 7, 50)), set()
        )

    def test_a_fleet_that_is_slow_as_a_whole_is_not_avoided(self):
        runs = [run for worker in 'abc' for run in make_runs(worker, 5, 6)]
        self.assertEqual(find_slow_workers(runs), set())

    def test_a_worker_with_only_stalled_runs_is_found(self):
        runs = self.normal_runs + make_runs('d', 30, age_ms=3_900)
        self.assertEqual(find_slow_workers(runs), {'d'})

    def test_short_runs_are_ignored(self):
        runs = [Progress('d', 1_000, 0, 1_000, 8_000)]
        self.assertEqual(find_slow_workers(self.normal_runs + runs), set())
