"""Tests of the whole system in one process."""

import unittest

from tests.utils import make_fake_environment, read_stream
from yuccarelay.environment import MonotonicClock
from yuccarelay.exit_status import ExitStatus
from yuccarelay.main import main


class DemoTest(unittest.TestCase):
    """Guards against a demonstration that fails, or that hides a failed check."""

    def test_demo_passes(self):
        env = make_fake_environment()._replace(clock=MonotonicClock())
        status = main(('local', '--demo'), env)
        output = read_stream(env.stdout)
        self.assertEqual(status, ExitStatus.OK, output)
        self.assertIn('demo passed', output)
        self.assertNotIn('FAILED', output)
        for outcome in ('completed', 'cancelled_after_start'):
            self.assertIn(outcome, output)
