"""Entry point: runs one command line in one environment."""

import os
import sys
import traceback
from collections.abc import Callable, Sequence
from functools import partial

from yuccarelay.environment import Environment, make_environment
from yuccarelay.exit_status import ExitStatus
from yuccarelay.host_arguments import HostArguments, parse_host_arguments


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the command that the arguments name and return its exit status."""
    host_arguments = parse_host_arguments(args)
    if host_arguments is not None:
        return run_command(partial(run_host, host_arguments, env), env)
    return run_command_line(args, env)


def run_host(arguments: HostArguments, env: Environment) -> ExitStatus:
    """Run a role on the users' platform."""
    from yuccarelay.host_role import run_host_role

    return run_host_role(*arguments, env)


def run_command_line(args: Sequence[str], env: Environment) -> ExitStatus:
    """Parse the arguments of any command and run it."""
    from cyclopts import CycloptsError

    from yuccarelay.cli import make_app

    app = make_app(env)
    try:
        command, bound, ignored = app.parse_args(
            list(args),
            exit_on_error=False,
            print_error=False,
        )
    except CycloptsError as error:
        text = ' '.join(str(error).split())
        print(f'yuccarelay: {text} Try --help.', file=env.stderr)
        return ExitStatus.USAGE
    if 'env' in ignored:
        bound.arguments['env'] = env
    return run_command(partial(command, *bound.args, **bound.kwargs), env)


def run_command(command: Callable[[], object], env: Environment) -> ExitStatus:
    """Call a command; an unexpected error gives a traceback and `FAULT`."""
    try:
        ended = command()
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except BrokenPipeError:
        return ExitStatus.OUTPUT_CLOSED
    except Exception:
        traceback.print_exc(file=env.stderr)
        return ExitStatus.FAULT
    return ended if isinstance(ended, ExitStatus) else ExitStatus.OK


def run() -> None:
    """Run the command line of the process; the console script calls this."""
    status = main(sys.argv[1:], make_environment(os.environ))
    if status is ExitStatus.OUTPUT_CLOSED:
        # The interpreter flushes the stream at its end and would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(status)
