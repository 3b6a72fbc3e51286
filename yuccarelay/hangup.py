"""
Ignores SIGHUP from the start of a role on the platform.

The platform sends SIGHUP to all processes when settings change, also to one that is
just starting, and the default action terminates the process. Imports take 0.3 s, so
this module imports no other module of the program.
"""

import signal
from collections.abc import Sequence

HOST_COMMAND = 'host'


def ignore_hangups(args: Sequence[str]) -> None:
    """Ignore SIGHUP if the arguments start a role on the platform."""
    if args[:1] == [HOST_COMMAND]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
