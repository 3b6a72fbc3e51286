"""Environment of a run: standard streams, environment variables and clock."""

import sys
import time
from collections.abc import Mapping
from typing import NamedTuple, TextIO

from yuccarelay.ports.clock import Clock


class MonotonicClock:
    """The monotonic clock of the operating system."""

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return time.monotonic_ns() // 1_000_000


class Environment(NamedTuple):
    """
    Streams, environment variables and clock of one run.

    Only `make_environment` uses the global ones, so tests can substitute their own.
    The bytes of answers are written to `stdout.buffer`.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    variables: Mapping[str, str]
    clock: Clock


def make_environment(variables: Mapping[str, str]) -> Environment:
    """Return the environment of the process."""
    return Environment(
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        variables=variables,
        clock=MonotonicClock(),
    )


def open_log(path: str, env: Environment) -> TextIO:
    """
    Return the stream of a `log` setting; `-` means standard error.

    Raises OSError when the file cannot be opened.
    """
    if path == '-':
        return env.stderr
    return open(path, 'a', encoding='utf-8')
