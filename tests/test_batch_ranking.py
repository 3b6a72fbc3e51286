"""Tests of the ranks of units that wait."""

import random
import unittest
from unittest import mock

from yuccarelay.core.batch.models import Job, Resources, Step
from yuccarelay.core.batch.ranking import Rank, is_tight, remaining_chains_ms
from yuccarelay.core.batch.run_times import RunTimes


def make_job(steps: list[Step]) -> Job:
    return Job('a' * 16, 'q', '', 's', tuple(steps), accepted_at_ms=0)


def make_step(estimated_ms: int, after=()) -> Step:
    return Step(count=1, need=Resources(), estimated_ms=estimated_ms, after=after)


def find_longest_ms(job: Job, first_step: int) -> float:
    """Return the longest chain of the steps from one on, by its definition."""
    ends = []
    for number, step in enumerate(job.steps):
        before = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(before + (step.estimated_ms if number >= first_step else 0))
    return max(ends, default=0)


class RemainingChainsTest(unittest.TestCase):
    """Guards against wrong chains, and against a planner that one job keeps busy."""

    def test_chains_are_the_longest_of_the_steps_that_remain(self):
        rng = random.Random(7)
        for _ in range(200):
            steps = [
                make_step(
                    rng.randint(1, 9_000),
                    tuple(rng.sample(range(number), rng.randint(0, min(3, number)))),
                )
                for number in range(rng.randint(1, 12))
            ]
            job = make_job(steps)
            expected = [find_longest_ms(job, n) for n in range(len(steps) + 1)]
            self.assertEqual(remaining_chains_ms(job, RunTimes()), expected)

    def test_each_step_of_a_long_job_is_predicted_once(self):
        # In quadratic time, an entry answered nobody for over 5 s at a time.
        job = make_job([make_step(1_000) for _ in range(9_000)])
        run_times = mock.Mock(wraps=RunTimes())
        remaining_chains_ms(job, run_times)
        self.assertEqual(run_times.total_ms.call_count, 9_000)


class TightTest(unittest.TestCase):
    """Guards against work that does not get fast workers, and against all that does."""

    NOW_MS = 50_000
    RUN_MS = 4_000

    def is_tight(self, spare_ms: int, **fields) -> bool:
        rank = Rank(True, False, 0, False, self.NOW_MS + spare_ms)._replace(**fields)
        return is_tight(rank, self.RUN_MS, self.NOW_MS)

    def test_work_that_may_wait_for_its_own_run_time_is_not_tight(self):
        self.assertTrue(self.is_tight(self.RUN_MS - 1))
        self.assertFalse(self.is_tight(self.RUN_MS))

    def test_late_work_is_tight_shortly_before_it_is_of_no_use(self):
        self.assertTrue(self.is_tight(1_000, late=True))
        self.assertFalse(self.is_tight(9_000, late=True))
        self.assertFalse(self.is_tight(-1_000, late=True, useless=True))


if __name__ == '__main__':
    unittest.main()
