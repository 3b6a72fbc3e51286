"""Definition of the command line."""

from collections.abc import Callable
from typing import NamedTuple

from cyclopts import App

from yuccarelay import (
    __version__,
    commands,
    configuration_commands,
    explain,
    host,
    interference_report,
)
from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus

HELP = """
Scheduler for jobs that span several accelerators, under guarantees held by
organisations.

To try it out: `yuccarelay local --demo` runs the whole system in one process.
Tools call the entry at $YUCCARELAY_URL (default http://127.0.0.1:8080) with the
token in $YUCCARELAY_TOKEN.
"""

EPILOGUE = """
Exit statuses: 0 done, 1 refused, 2 wrong command line, 3 invalid file,
4 unavailable (try again), 5 undecided (may have taken effect).
"""


class Command(NamedTuple):
    """A command: the words that select it and the function that runs it."""

    words: tuple[str, ...]
    function: Callable[..., ExitStatus]


GROUPS = {
    'manifest': 'Check, commit and show the manifest.',
    'job': 'Submit, monitor and cancel jobs.',
    'host': "Run roles on the users' platform.",
    'settings': 'Check settings files.',
    'config': "Check the operators' configuration of the platform.",
    'token': 'Compute digests of tokens.',
}

COMMANDS = (
    Command(('entry',), commands.run_entry),
    Command(('agent',), commands.run_agent),
    Command(('store',), commands.run_store),
    Command(('target',), commands.run_target),
    Command(('local',), commands.run_local),
    Command(('host', 'entry'), host.run_host_entry),
    Command(('host', 'agent'), host.run_host_agent),
    Command(('explain',), explain.explain_job),
    Command(('interference',), interference_report.show_interference),
    Command(('settings', 'check'), commands.check_settings),
    Command(('config', 'check'), configuration_commands.check_configuration_file),
    Command(('manifest', 'check'), commands.check_manifest),
    Command(('manifest', 'commit'), commands.commit_manifest),
    Command(('manifest', 'show'), commands.show_manifest),
    Command(('job', 'submit'), commands.submit_job),
    Command(('job', 'status'), commands.show_job),
    Command(('job', 'answer'), commands.fetch_answer),
    Command(('job', 'cancel'), commands.cancel_job),
    Command(('status',), commands.show_status),
    Command(('token', 'digest'), commands.digest_token),
)


def make_console(env: Environment):
    """Return a console on standard output."""
    from rich.console import Console

    return Console(file=env.stdout)


def make_app(env: Environment) -> App:
    """Return the parser of the command line."""
    app = App(
        name='yuccarelay',
        help=HELP,
        help_epilogue=EPILOGUE,
        help_format='markdown',
        version=__version__,
        console=make_console(env),
    )
    groups = {name: App(name=name, help=text) for name, text in GROUPS.items()}
    for group in groups.values():
        app.command(group)
    for words, function in COMMANDS:
        parent = groups[words[0]] if len(words) > 1 else app
        parent.command(function, name=words[-1])
    return app
