"""Tests of how the arguments of the platform's roles are read."""

import io
import unittest

from yuccarelay.environment import Environment, MonotonicClock
from yuccarelay.exit_status import ExitStatus
from yuccarelay.host_arguments import HostArguments, parse_host_arguments
from yuccarelay.main import main


class PlainFormTest(unittest.TestCase):
    """Guards against a role that starts with other options than those given."""

    def test_options_may_come_in_any_order(self):
        args = ['host', 'entry', '--metrics', '9464/metrics', '--settings', 'a.toml']
        expected = HostArguments('entry', 'a.toml', '9464/metrics')
        self.assertEqual(parse_host_arguments(args), expected)

    def test_options_may_be_left_out(self):
        self.assertEqual(
            parse_host_arguments(['host', 'agent']), HostArguments('agent')
        )


class OtherFormsTest(unittest.TestCase):
    """Guards against arguments that are taken for others or fail without a reason."""

    def run_main(self, *args: str) -> tuple[ExitStatus, str]:
        """Return the exit status of a command line and what it printed as errors."""
        errors = io.StringIO()
        env = Environment(io.StringIO(), io.StringIO(), errors, {}, MonotonicClock())
        return main(args, env), errors.getvalue()

    def test_all_other_forms_are_left_to_the_command_line(self):
        for args in (
            [],
            ['host'],
            ['host', 'store'],
            ['host', 'entry', '--help'],
            ['host', 'entry', '--metrics'],
            ['host', 'entry', '--metrics=9464/metrics'],
            ['host', 'entry', '--metrics', '--settings'],
            ['host', 'entry', '--settings', 'a', '--settings', 'b'],
            ['host', 'entry', '--port', '1'],
            ['entry', '--settings', 'a.json'],
        ):
            with self.subTest(args=args):
                self.assertIsNone(parse_host_arguments(args))

    def test_an_unknown_option_is_named(self):
        status, errors = self.run_main('host', 'entry', '--port', '1')
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn('--port', errors)

    def test_both_ways_say_alike_that_settings_are_missing(self):
        plain = self.run_main('host', 'agent', '--metrics', '9464/metrics')
        other = self.run_main('host', 'agent', '--metrics=9464/metrics')
        self.assertEqual(plain[0], ExitStatus.USAGE)
        self.assertEqual(plain, other)


if __name__ == '__main__':
    unittest.main()
