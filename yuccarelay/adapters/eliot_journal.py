"""Journal over eliot that writes one key=value line for each event."""

import datetime
import itertools
import json
import logging
import re
from collections.abc import Mapping
from typing import TextIO

import eliot

from yuccarelay.adapters.log_stream import open_stream

PLAIN_VALUE = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')
FIELD_NAME = re.compile(r'[^A-Za-z0-9_.]')

_journal_ids = itertools.count(1)


def format_value(value: object) -> str:
    """Return a value as it is, or as a JSON string when it has to be quoted."""
    if isinstance(value, bool):
        return 'true' if value else 'false'
    text = 'none' if value is None else str(value)
    return text if PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC time with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%S.') + f'{moment.microsecond // 1000:03}Z'


def format_line(seconds: float, event: str, fields: Mapping[str, object]) -> str:
    """Return a line such as `time=2026-12-04T09:00:00.000Z event=job_ended id=7-1`."""
    pairs = [f'time={format_time(seconds)}', f'event={format_value(event)}']
    pairs += [
        f'{FIELD_NAME.sub("_", name)}={format_value(value)}'
        for name, value in fields.items()
    ]
    return ' '.join(pairs) + '\n'


class JournalHandler(logging.Handler):
    """Writes the warnings and errors that libraries log, one line each."""

    def __init__(self, journal: 'EliotJournal'):
        super().__init__(logging.WARNING)
        self.journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, with the traceback if it has one."""
        fields = {'logger': record.name, 'text': self.format(record)}
        self.journal.write('library_log', fields)


class EliotJournal:
    """
    Journal of one role.

    eliot's destinations are global to the process. Each journal therefore marks
    its messages with an id, and its destination ignores messages with another id,
    so that several roles in one process do not write each other's lines.
    """

    def __init__(self, stream: TextIO):
        self.stream = stream
        self._output = open_stream(stream)
        self._reported_drops = 0
        self._id = next(_journal_ids)
        eliot.add_destinations(self._write_message)

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Write the event with its fields."""
        eliot.log_message(
            message_type=event,
            journal=self._id,
            fields=dict(fields),
        )

    def close(self) -> None:
        """Stop writing; the stream stays open."""
        eliot.remove_destination(self._write_message)
        self._output.close()

    def _write_message(self, message: Mapping[str, object]) -> None:
        if message.get('journal') != self._id:
            return
        line = format_line(
            seconds=message['timestamp'],
            event=message['message_type'],
            fields=message['fields'],
        )
        self._report_drops(message['timestamp'])
        self._output.write(line)

    def _report_drops(self, seconds: float) -> None:
        """Write the number of lines dropped so far, if it has grown."""
        dropped = self._output.dropped
        if dropped > self._reported_drops:
            self._reported_drops = dropped
            fields = {'lines': dropped}
            self._output.write(format_line(seconds, 'log_lines_dropped', fields))
