"""
Arguments of the roles on the users' platform, read without the command line.

The platform starts these roles with the same few options each time, hundreds of them
at once after a loss of power. The import of the command line's library takes a fifth of
a role's start, in which its callers get no connection.
"""

from collections.abc import Sequence
from typing import NamedTuple

from yuccarelay.hangup import HOST_COMMAND

ROLES = ('entry', 'agent')
OPTIONS = ('--settings', '--metrics')


class HostArguments(NamedTuple):
    """Arguments of a role; an option that is not given is empty."""

    role: str
    settings: str = ''
    metrics: str = ''


def parse_host_arguments(args: Sequence[str]) -> HostArguments | None:
    """
    Return the arguments of a role in their plain form, or None.

    None leaves them to the command line, which reads all forms and explains errors.

    >>> parse_host_arguments(['host', 'agent', '--metrics', '9464/metrics'])
    HostArguments(role='agent', settings='', metrics='9464/metrics')
    """
    match list(args):
        case [command, role, *options] if command == HOST_COMMAND and role in ROLES:
            names, values = options[::2], options[1::2]
        case _:
            return None
    is_plain = (
        len(names) == len(values)
        and len(set(names)) == len(names)
        and set(names) <= set(OPTIONS)
        and not any(value.startswith('-') for value in values)
    )
    if not is_plain:
        return None
    given = dict(zip(names, values, strict=True))
    return HostArguments(role, given.get('--settings', ''), given.get('--metrics', ''))
