"""Tests of the statistics and plots of the measurement tool."""

import math
import unittest

from tools.measure.figures import (
    draw_bars,
    draw_lines,
    find_percentile,
    find_ratio,
    make_table,
    summarise,
)
from tools.measure.peak_load import NORMAL_LOAD_MS, PEAK_MS, RAMP_MS, find_load_factor
from tools.measure.variants import Variant
from yuccarelay.core import health


class PercentileTest(unittest.TestCase):
    """Guards against a wrong rank, which would report a better tail than measured."""

    def test_uses_the_nearest_rank(self):
        values = list(range(100, 0, -1))
        self.assertEqual(find_percentile(values, 50), 50)
        self.assertEqual(find_percentile(values, 99), 99)
        self.assertEqual(find_percentile(values, 100), 100)

    def test_tail_of_few_values_is_the_largest(self):
        self.assertEqual(find_percentile([3, 9, 1], 99), 9)

    def test_no_values_have_no_percentile(self):
        self.assertTrue(math.isnan(find_percentile([], 50)))


class SummaryTest(unittest.TestCase):
    """Guards against averaging lists of samples, or pooling single numbers."""

    def test_samples_are_pooled_over_the_seeds(self):
        cell = summarise([[1.0] * 98, [50.0] * 2])
        self.assertEqual(cell, '1 / 1 / 50')

    def test_numbers_give_mean_and_range(self):
        self.assertEqual(summarise([1, 2, 6]), '3 (1 to 6)')
        self.assertEqual(summarise([2, 2]), '2')

    def test_missing_numbers_are_left_out(self):
        self.assertEqual(summarise([math.nan, 4.0]), '4')
        self.assertEqual(summarise([math.nan]), '-')

    def test_ratio_to_zero_is_nan(self):
        self.assertTrue(math.isnan(find_ratio(0, 0)))

    def test_table_has_a_line_for_each_row(self):
        table = make_table(['a', 'b'], [['1', '2'], ['3', '4']])
        self.assertEqual(table.count('\n'), 3)


class PlotTest(unittest.TestCase):
    """Guards against plots of empty series that fail a run after the measurement."""

    def test_empty_and_missing_values_are_drawn(self):
        self.assertIn('<svg', draw_bars('none', []))
        self.assertIn('<svg', draw_bars('nan', [('a<b', math.nan)]))
        self.assertIn('<svg', draw_lines('none', {'a': []}, 's'))

    def test_labels_are_escaped(self):
        self.assertIn('a&lt;b', draw_bars('t', [('a<b', 1.0)]))


class PeakLoadTest(unittest.TestCase):
    """Guards against a peak that is not ten times the normal load, or too long."""

    def test_load_rises_to_ten_times_and_ends(self):
        self.assertEqual(find_load_factor(NORMAL_LOAD_MS - 1), 1.0)
        self.assertAlmostEqual(find_load_factor(NORMAL_LOAD_MS + RAMP_MS // 2), 5.5)
        self.assertEqual(find_load_factor(NORMAL_LOAD_MS + RAMP_MS), 10.0)
        self.assertEqual(find_load_factor(NORMAL_LOAD_MS + RAMP_MS + PEAK_MS), 1.0)


class VariantTest(unittest.TestCase):
    """Guards against a misspelt name, which would compare a policy with itself."""

    def test_unknown_name_is_an_error(self):
        with self.assertRaises(AttributeError):
            Variant('wrong', values={'health.NO_SUCH_NAME': 1}).apply()

    def test_value_is_replaced(self):
        before = health.FAILURE_MARGIN
        try:
            Variant('right', values={'health.FAILURE_MARGIN': 2.0}).apply()
            self.assertEqual(health.FAILURE_MARGIN, 2.0)
        finally:
            health.FAILURE_MARGIN = before


if __name__ == '__main__':
    unittest.main()
