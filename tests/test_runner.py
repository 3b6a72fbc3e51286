"""Tests of the test runner: which results of listed tests decide a run."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from tests import __main__ as runner


class Sample(unittest.TestCase):
    """Tests to be run by the runner under test, not by discovery."""

    bad_seeds = frozenset()

    def check_pass(self):
        self.assertTrue(True)

    def check_failure(self):
        self.fail('entry-0 ends with -1')

    def check_error(self):
        raise ValueError('no port')

    def check_seeds(self):
        for seed in (49, 50):
            with self.subTest(seed=seed):
                self.assertNotIn(seed, self.bad_seeds)


class KnownRedTest(unittest.TestCase):
    """Guards against a verdict that depends on a finding, or passes over others."""

    def run_sample(self, method: str, listing: str = '') -> tuple[int, str]:
        """Return the status and the output of a run of one sample test."""
        case = Sample(method)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            path.write_text(listing.format(id=case.id()))
            output = io.StringIO()
            with (
                mock.patch.object(runner, 'KNOWN_RED', path),
                contextlib.redirect_stdout(output),
            ):
                result = unittest.TextTestRunner(
                    stream=io.StringIO(),
                    resultclass=runner.KnownRedResult,
                ).run(case)
                return runner.report(result), output.getvalue()

    def test_unlisted_failure_decides(self):
        for method in ('check_failure', 'check_error'):
            for listing in ('', 'finding: tests.other\n', 'day: {id}\n'):
                with self.subTest(method=method, listing=listing):
                    status, output = self.run_sample(method, listing)
                    self.assertEqual(status, 1)
                    self.assertIn('0 passed, 1 failed, 0 skipped', output)

    def test_finding_that_fails_is_printed_and_does_not_decide(self):
        status, output = self.run_sample('check_failure', 'finding: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, finding failed in this run', output)
        self.assertIn('check_failure: entry-0 ends with -1', output)
        self.assertIn('0 passed, 0 failed, 1 skipped', output)

    def test_finding_that_passes_is_printed_and_does_not_decide(self):
        status, output = self.run_sample('check_pass', 'finding: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, finding passed in this run', output)
        self.assertIn('1 passed, 0 failed, 0 skipped', output)

    def test_listed_test_that_passes_decides(self):
        status, output = self.run_sample('check_pass', 'test: {id}\n')
        self.assertEqual(status, 1)
        self.assertIn('listed in KNOWN-RED.txt but passes', output)
        status, output = self.run_sample('check_error', 'test: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, passed over', output)

    def test_finding_of_one_seed_leaves_the_other_seeds_to_decide(self):
        listing = 'finding: {id} (seed=50)\n'
        for seeds, expected in (((), 0), ((50,), 0), ((49,), 1), ((49, 50), 1)):
            with (
                self.subTest(seeds=seeds),
                mock.patch.object(Sample, 'bad_seeds', seeds),
            ):
                status, output = self.run_sample('check_seeds', listing)
                self.assertEqual(status, expected)
                how = 'failed' if 50 in seeds else 'passed'
                self.assertIn(f'finding {how} in this run', output)
