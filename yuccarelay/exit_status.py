"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """How a run ended; the numbers are stable for scripts."""

    OK = 0
    """The command succeeded."""

    REFUSED = 1
    """The entry refused the request, and nothing changed because of it."""

    USAGE = 2
    """The command line is wrong; nothing was done."""

    INVALID = 3
    """The settings, the manifest or another input file breaks a rule."""

    UNAVAILABLE = 4
    """No entry could be reached, or the entry asks for a later retry."""

    UNDECIDED = 5
    """
    The request may or may not have taken effect.

    Repeat a submission with the same key or id, and compare the generation after
    a commit.
    """

    FAULT = 70
    """An invariant of the program is broken; the error is on standard error."""

    INTERRUPTED = 130
    """The run was interrupted from the keyboard."""

    OUTPUT_CLOSED = 141
    """The reader of the output closed it early, as `head` does."""
