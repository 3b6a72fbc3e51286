"""Logs an unexpected error that costs one message instead of the process."""

import traceback

from yuccarelay.ports.journal import Journal


def write_failure(
    journal: Journal, event: str, error: Exception, fields: dict | None = None
) -> None:
    """Write one line with the error and its traceback."""
    journal.write(event, describe_failure(error, fields))


def describe_failure(error: Exception, fields: dict | None = None) -> dict:
    """Return the fields of such a line."""
    trace = ''.join(traceback.format_exception(error))
    return {**(fields or {}), 'error': repr(error), 'trace': trace}
