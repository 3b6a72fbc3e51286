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


def list_modules(role: str) -> set[str]:
    """Return the names of the modules that a new process has after an import."""
    printed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES, role],
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


if __name__ == '__main__':
    unittest.main()
