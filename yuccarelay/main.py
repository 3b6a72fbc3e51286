"""Entry point: runs one command line in one environment."""

import os
import sys
import traceback
from collections.abc import Sequence

from cyclopts import CycloptsError

from yuccarelay.cli import make_app
from yuccarelay.environment import Environment, make_environment
from yuccarelay.exit_status import ExitStatus


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the command that the arguments name and return its exit status."""
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
    return run_command(command, bound, env)


def run_command(command, bound, env: Environment) -> ExitStatus:
    """Call a command; an unexpected error gives a traceback and `FAULT`."""
    try:
        ended = command(*bound.args, **bound.kwargs)
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
