"""Tests of outlier ejection."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarelay.core import health
from yuccarelay.core.health import HealthTracker

WORKERS = [f'w{number}' for number in range(6)]
OTHERS = frozenset(WORKERS[1:])
BASE_MS = health.EJECTION_BASE_MS


def record_runs(tracker, worker_id: str, succeeded: bool, now_ms: int = 0) -> None:
    for _ in range(int(health.RESULTS_NEEDED)):
        tracker.record(worker_id, succeeded, now_ms)


def make_tracker(failing: list[str]) -> HealthTracker:
    tracker = HealthTracker()
    for worker_id in WORKERS:
        if worker_id not in failing:
            record_runs(tracker, worker_id, succeeded=True)
    for worker_id in failing:
        record_runs(tracker, worker_id, succeeded=False)
    return tracker


class EjectionTest(unittest.TestCase):
    """Guards against jobs for a failing worker and ejection of most workers."""

    def test_outlier_returns_after_one_successful_probe(self):
        tracker = make_tracker(['w0'])
        self.assertEqual(tracker.find_usable(WORKERS, BASE_MS - 1), OTHERS)
        self.assertIn('w0', tracker.find_usable(WORKERS, BASE_MS))
        tracker.begin_probe('w0', BASE_MS)
        self.assertEqual(tracker.find_usable(WORKERS, BASE_MS), OTHERS)
        tracker.record('w0', True, BASE_MS + 1)
        self.assertIn('w0', tracker.find_usable(WORKERS, BASE_MS + 1))

    def test_failed_probe_doubles_the_ejection_up_to_the_ceiling(self):
        tracker, now_ms, lengths = make_tracker(['w0']), 0, []
        for _ in range(10):
            due_ms = tracker.statuses['w0'].until_ms
            lengths.append(due_ms - now_ms)
            now_ms = due_ms
            tracker.begin_probe('w0', now_ms)
            tracker.record('w0', False, now_ms)
        expected = [BASE_MS << doublings for doublings in range(10)]
        ceiling = health.EJECTION_CEILING_MS
        self.assertEqual(lengths, [min(length, ceiling) for length in expected])

    def test_worker_is_probed_again_after_a_probe_without_result(self):
        tracker = make_tracker(['w0'])
        tracker.begin_probe('w0', BASE_MS)
        later_ms = BASE_MS + health.PROBE_LIMIT_MS
        self.assertIn('w0', tracker.find_usable(WORKERS, later_ms))

    def test_fault_common_to_all_ejects_no_worker(self):
        tracker = make_tracker(WORKERS)
        self.assertEqual(tracker.find_usable(WORKERS, 0), frozenset(WORKERS))

    def test_all_are_usable_when_more_than_half_are_ejected(self):
        for count, expected in ((3, WORKERS[3:]), (4, WORKERS)):
            tracker = HealthTracker()
            ejected = health.Ejected(ejections=1, until_ms=BASE_MS)
            tracker.statuses = dict.fromkeys(WORKERS[:count], ejected)
            self.assertEqual(tracker.find_usable(WORKERS, 0), frozenset(expected))

    def test_few_failures_eject_no_worker(self):
        tracker = make_tracker([])
        tracker.record('w0', False, 0)
        self.assertIn('w0', tracker.find_usable(WORKERS, 0))

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(WORKERS),
                st.booleans(),
                st.integers(0, BASE_MS),
                st.booleans(),
            ),
            max_size=120,
        )
    )
    def test_at_least_half_of_the_workers_stay_usable(self, results):
        tracker, now_ms = HealthTracker(), 0
        for worker_id, succeeded, passed_ms, probe in results:
            now_ms += passed_ms if probe else 0
            if probe:
                tracker.begin_probe(worker_id, now_ms)
            tracker.record(worker_id, succeeded, now_ms)
            usable = tracker.find_usable(WORKERS, now_ms)
            self.assertGreaterEqual(2 * len(usable), len(WORKERS))
