"""Tests of the retry budget and the backoff."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarelay.core import retry
from yuccarelay.core.retry import RetryBudget


class BudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 20_000), st.booleans()), max_size=120))
    def test_retries_in_any_window_stay_within_the_share(self, steps):
        budget, now_ms, fresh, retries = RetryBudget(), 0, [], []
        span_ms = retry.BUDGET_WINDOW_MS + retry.BUDGET_BUCKET_MS
        for passed_ms, is_retry in steps:
            now_ms += passed_ms
            if not is_retry:
                budget.record_fresh(now_ms)
                fresh.append(now_ms)
                continue
            used = sum(t > now_ms - retry.BUDGET_WINDOW_MS for t in retries)
            starts = sum(t > now_ms - span_ms for t in fresh)
            granted = budget.take(now_ms)
            if granted:
                retries.append(now_ms)
                limit = max(retry.BUDGET_SHARE * starts, retry.BUDGET_MINIMUM)
                self.assertLessEqual(used + 1, limit)
            elif not sum(t > now_ms - span_ms for t in retries):
                self.fail('a service without recent retries was refused one')

    def test_budget_follows_the_fresh_starts_of_the_window(self):
        budget = RetryBudget()
        self.assertEqual(budget.count_left(0), retry.BUDGET_MINIMUM)
        for _ in range(50):
            budget.record_fresh(0)
        self.assertEqual([budget.take(0) for _ in range(11)], [True] * 10 + [False])
        later_ms = retry.BUDGET_WINDOW_MS + retry.BUDGET_BUCKET_MS
        self.assertEqual(budget.count_left(later_ms), retry.BUDGET_MINIMUM)


class BackoffTest(unittest.TestCase):
    """Guards against retries that all come at the same time."""

    def test_delay_doubles_up_to_the_ceiling_and_spreads_by_half(self):
        least = [retry.compute_backoff_ms(number, 0.0) for number in (1, 2, 3, 99)]
        self.assertEqual(least, [100, 200, 400, 15_000])
        most = [retry.compute_backoff_ms(number, 1.0) for number in (1, 2, 3, 99)]
        self.assertEqual(most, [200, 400, 800, 30_000])
