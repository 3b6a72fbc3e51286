"""Tests of what the roles on the users' platform load."""

import json
import subprocess
import sys
import unittest

LIST_MODULES = """
import importlib, json, sys
importlib.import_module(sys.argv[1])
print(json.dumps(sorted(sys.modules)))
"""

RUN_WITHOUT_SETTINGS = """
import json, sys
from yuccarelay.environment import make_environment
from yuccarelay.main import main
main(['host', sys.argv[1], '--metrics', '9464/metrics'], make_environment({}))
print(json.dumps(sorted(sys.modules)))
"""


def list_modules(argument: str, program: str = LIST_MODULES) -> set[str]:
    """Return the names of the modules that a new process has after a program."""
    printed = subprocess.run(
        [sys.executable, '-c', program, argument],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(json.loads(printed.stdout))


class RoleImportsTest(unittest.TestCase):
    """Guards against memory for code that a role never runs, once a process."""

    def test_an_agent_loads_nothing_of_the_entry(self):
        modules = list_modules('yuccarelay.host_agent')
        self.assertIn('yuccarelay.tasks.batch.agent', modules)
        for name in (
            'yuccarelay.core.batch.planner',
            'yuccarelay.platform.front',
            'yuccarelay.tasks.batch.replica',
        ):
            self.assertNotIn(name, modules)

    def test_roles_on_the_platform_load_nothing_of_the_other_roles(self):
        for role in ('yuccarelay.host_agent', 'yuccarelay.host_entry'):
            with self.subTest(role=role):
                modules = list_modules(role)
                for name in (
                    'yuccarelay.core.manifest',
                    'yuccarelay.core.entry',
                    'yuccarelay.roles',
                    'prometheus_client',
                ):
                    self.assertNotIn(name, modules)

    def test_roles_on_the_platform_start_without_the_command_line(self):
        # On silverthread-tw-grown a caller got no connection 0.3 s before an entry
        # that had been killed listened again; imports took 1.3 s of its 0.5 cores.
        for role in ('agent', 'entry'):
            with self.subTest(role=role):
                modules = list_modules(role, RUN_WITHOUT_SETTINGS)
                self.assertIn(f'yuccarelay.host_{role}', modules)
                for name in ('cyclopts', 'yuccarelay.cli', 'yuccarelay.commands'):
                    self.assertNotIn(name, modules)


if __name__ == '__main__':
    unittest.main()
