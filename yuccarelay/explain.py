"""
Explains the outcome of one job from the logs of all processes.

A log line is recognised by its `time=` and `event=`. The last word before them, such
as the name of a node, is the source of the line.
"""

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from yuccarelay.commands import Env
from yuccarelay.exit_status import ExitStatus

LINE = re.compile(r'^(.*?)\s*time=(\S+) event=(\S+)(.*)$')
PAIR = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Starts, losses and recoveries of processes, selected while the job was open.
PROCESS_EVENTS = frozenset(
    {
        'agent_started',
        'domain_evacuated',
        'domain_restored',
        'entry_draining',
        'entry_started',
        'evacuation_confirmed',
        'evacuation_unconfirmed',
        'records_waiting',
        'records_written',
        'store_found',
        'store_lost',
        'term_began',
        'term_ended',
    },
)
# Events of a worker, selected for the workers that the job was assigned to.
WORKER_EVENTS = frozenset(
    {
        'agent_lost',
        'worker_avoided',
        'worker_changed',
        'worker_draining',
        'worker_lapsed',
        'worker_read',
        'worker_slow',
    },
)


class LogLine(NamedTuple):
    """A line of a log; `time` sorts as text."""

    time: str
    source: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        pairs = ' '.join(f'{name}={value}' for name, value in self.fields.items())
        return f'{self.time} {self.source:<24} {self.event:<18} {pairs}'


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a parsed log line, or None for any other text."""
    found = LINE.match(text)
    if found is None:
        return None
    prefix, time, event, rest = found.groups()
    fields = {name: read_value(value) for name, value in PAIR.findall(rest)}
    node = prefix.split()[-1] if prefix.split() else source
    return LogLine(time, node, event, fields)


def read_value(text: str) -> str:
    """Return a field value, decoded if it is quoted."""
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


def is_about(line: LogLine, job: str) -> bool:
    """Whether a line names a job, one of its tasks, or a request for it."""
    fields = line.fields
    return (
        job in (fields.get('job'), fields.get('job_id'))
        or fields.get('task', '').split('.')[0] == job
        or fields.get('path', '').endswith(f'/{job}')
    )


def select_job_lines(lines: Iterable[LogLine], job: str) -> list[LogLine]:
    """
    Return the lines about a job in the order of their times.

    Lines about the store, the planner's term and the workers that the job was assigned
    to are included if they lie between its first and its last line.
    """
    lines = list(lines)
    own = [line for line in lines if is_about(line, job)]
    if not own:
        return []
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    workers = {
        name
        for line in own
        for name in line.fields.get('workers', '').split(',')
        if name
    }
    context = [
        line
        for line in lines
        if first <= line.time <= last
        and (
            line.event in PROCESS_EVENTS
            or (line.event in WORKER_EVENTS and line.fields.get('agent') in workers)
        )
    ]
    unique = {(line.time, line.source, line.event, str(line)): line for line in own}
    unique |= {
        (line.time, line.source, line.event, str(line)): line for line in context
    }
    return [unique[key] for key in sorted(unique)]


def summarise_job_lines(job_lines: list[LogLine], job: str) -> list[str]:
    """Return a summary of the lines about a job, one line for each topic."""
    own = [line for line in job_lines if is_about(line, job)]
    parts = {
        'requests': count_field(own, 'request_answered', 'outcome'),
        'runs assigned': Counter(
            line.fields.get('run', '?') for line in own if line.event == 'run_assigned'
        ),
        'ends': count_field(own, 'run_ended', 'how'),
        'stops': count_field(own, 'run_stopping', 'reason'),
        'starts declined': count_field(own, 'start_declined', 'reason'),
        'job': count_field(own, 'job_ended', 'state'),
        'meanwhile': Counter(
            line.event for line in job_lines if not is_about(line, job)
        ),
    }
    return [
        f'{name}: ' + ', '.join(f'{key} {count}' for key, count in found.items())
        for name, found in parts.items()
        if found
    ]


def count_field(lines: list[LogLine], event: str, field: str) -> Counter:
    """Return how often each value of a field occurs in an event."""
    return Counter(line.fields.get(field, '?') for line in lines if line.event == event)


def read_logs(env: Env, files: tuple[Path, ...]) -> Iterator[LogLine]:
    """Yield the lines of log files, or of standard input if there are none."""
    for path in files:
        with path.open(errors='replace') as file:
            yield from parse_lines(file, path.stem)
    if not files:
        yield from parse_lines(env.stdin, 'input')


def parse_lines(texts: Iterable[str], source: str) -> Iterator[LogLine]:
    """Yield the log lines among some lines of text."""
    for text in texts:
        line = parse_line(text.rstrip('\n'), source)
        if line is not None:
            yield line


def explain_job(job: str, *files: Path, env: Env) -> ExitStatus:
    """
    Print the log lines of all processes that concern a job, in order of time.

    Reads the files, or standard input if none is given.
    """
    try:
        job_lines = select_job_lines(read_logs(env, files), job)
    except OSError as error:
        print(f'yuccarelay: {error.filename}: {error.strerror}', file=env.stderr)
        return ExitStatus.INVALID
    if not job_lines:
        print(f'yuccarelay: no log line names job {job}', file=env.stderr)
        return ExitStatus.REFUSED
    for line in job_lines:
        print(line, file=env.stdout)
    print(file=env.stdout)
    for text in summarise_job_lines(job_lines, job):
        print(text, file=env.stdout)
    return ExitStatus.OK
