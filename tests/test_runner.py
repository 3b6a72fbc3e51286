"""Tests of the test runner: how tests listed in KNOWN-RED.txt affect a run."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from tests import __main__ as runner


class Sample(unittest.TestCase):
    """Tests that only the runner under test runs; discovery ignores them."""

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
    """Guards against wrongly tolerated failures, and findings that fail a run."""

    def run_sample(self, method: str, listing: str = '') -> tuple[int, str]:
        """Run one sample test and return the exit status and the output."""
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

    def test_unlisted_failure_fails_the_run(self):
        for method in ('check_failure', 'check_error'):
            for listing in ('', 'finding: tests.other\n', 'day: {id}\n'):
                with self.subTest(method=method, listing=listing):
                    status, output = self.run_sample(method, listing)
                    self.assertEqual(status, 1)
                    self.assertIn('0 passed, 1 failed, 0 skipped', output)

    def test_finding_that_fails_is_printed_and_does_not_fail_the_run(self):
        status, output = self.run_sample('check_failure', 'finding: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, finding failed in this run', output)
        self.assertIn('check_failure: entry-0 ends with -1', output)
        self.assertIn('0 passed, 0 failed, 1 skipped', output)

    def test_finding_that_passes_is_printed_and_does_not_fail_the_run(self):
        status, output = self.run_sample('check_pass', 'finding: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, finding passed in this run', output)
        self.assertIn('1 passed, 0 failed, 0 skipped', output)

    def test_listed_test_that_passes_fails_the_run(self):
        status, output = self.run_sample('check_pass', 'test: {id}\n')
        self.assertEqual(status, 1)
        self.assertIn('listed in KNOWN-RED.txt but passes', output)
        status, output = self.run_sample('check_error', 'test: {id}\n')
        self.assertEqual(status, 0)
        self.assertIn('known red, passed over', output)

    def test_finding_of_one_seed_does_not_excuse_other_seeds(self):
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
