"""Tests of the arithmetic of the capacity tool."""

import unittest

from tools.capacity.fit import fit_line, fit_power
from tools.capacity.fleet import make_fleet, make_manifest, make_state
from tools.capacity.manifests import compute_link_share
from tools.capacity.supervisor import compute_rates
from yuccarelay.core.manifest import check_manifest


class FitLineTest(unittest.TestCase):
    """Guards against a wrong slope, which would falsify all of docs/CAPACITY.md."""

    def test_exact_line_has_no_error(self):
        fit = fit_line([(8, 21.0), (16, 37.0), (32, 69.0), (64, 133.0)])
        self.assertAlmostEqual(fit.slope, 2.0)
        self.assertAlmostEqual(fit.intercept, 5.0)
        self.assertAlmostEqual(fit.error, 0.0)
        self.assertAlmostEqual(fit.largest, 0.0)
        self.assertAlmostEqual(fit.predict(4_200), 8_405.0)

    def test_error_of_a_noisy_line(self):
        fit = fit_line([(0, 1.0), (1, 0.0), (2, 3.0), (3, 2.0)])
        self.assertAlmostEqual(fit.slope, 0.6)
        self.assertAlmostEqual(fit.intercept, 0.6)
        self.assertAlmostEqual(fit.error, 0.5656854)
        self.assertAlmostEqual(fit.largest, 1.2)

    def test_too_few_points_are_refused(self):
        for points in ([(1, 1.0), (2, 2.0)], [(1, 1.0)] * 4):
            with self.subTest(points=points), self.assertRaises(ValueError):
                fit_line(points)


class FitPowerTest(unittest.TestCase):
    """Guards against quadratic growth that is reported as linear."""

    def test_exponents(self):
        sizes = (525, 1_050, 2_100, 4_200)
        for exponent in (0, 1, 2):
            points = [(size, 3.0 * size**exponent) for size in sizes]
            with self.subTest(exponent=exponent):
                self.assertAlmostEqual(fit_power(points), exponent)


class RatesTest(unittest.TestCase):
    """Guards against rates that do not use the clock of the measured process."""

    def test_counters_become_rates_and_memory_stays(self):
        before = {'time_s': 10.0, 'cpu_s': 1.0, 'memory_mb': 30.0, 'in_bytes': 100}
        after = {
            'time_s': 14.0,
            'cpu_s': 1.2,
            'memory_mb': 40.0,
            'in_bytes': 500,
            'out_bytes': 200,
            'in_messages': 8,
        }
        rates = compute_rates(before, after)
        self.assertAlmostEqual(rates['cpu_s'], 0.05)
        self.assertEqual(rates['memory_mb'], 40.0)
        self.assertEqual(rates['bytes'], 150.0)
        self.assertEqual(rates['messages'], 2.0)


class LinkShareTest(unittest.TestCase):
    """Guards against a link share that counts bytes as bits, or a single watch."""

    def test_share_of_a_day(self):
        # 6,600 changes of 1 MB are 52.8 Gbit of the 1,296 Gbit of a day.
        self.assertAlmostEqual(compute_link_share(1e6), 52.8 / 1_296)
        self.assertAlmostEqual(compute_link_share(1e6, watches=3), 3 * 52.8 / 1_296)


class FleetTest(unittest.TestCase):
    """Guards against a synthetic fleet that differs from section 1 of the design."""

    def test_accelerators_of_the_whole_fleet(self):
        domains = make_fleet(4_200, 'north')['regions']['north']['domains']
        racks = [rack for one in domains.values() for rack in one['racks'].values()]
        self.assertEqual(sum(rack['workers'] for rack in racks), 4_200)
        total = sum(rack['workers'] * rack['accelerators'] for rack in racks)
        self.assertEqual(total, 10_080)

    def test_manifest_is_valid_and_matches_the_states(self):
        manifest = check_manifest(make_manifest(60, 6, 20)).unwrap()
        racks = {rack.rack: rack.accelerators for rack in manifest.racks}
        for number in range(60):
            state = make_state(number, tasks=13)
            self.assertEqual(racks[state.rack], state.accelerators)
            self.assertLessEqual(sum(g.slots for g in state.grants), state.slots)
