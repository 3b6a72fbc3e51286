"""
Ignores SIGHUP from the first line of a role on the platform.

The platform sends it to all processes when settings change, also to one that is
just starting, and its default ends the process. Imports take 0.3 s, so this
module imports nothing of the program.
"""

import signal
from collections.abc import Sequence

HOST_COMMAND = 'host'


def ignore_hangups(args: Sequence[str]) -> None:
    """Ignore hang-ups if the arguments start a role on the platform."""
    if args[:1] == [HOST_COMMAND]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
