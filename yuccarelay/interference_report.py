"""Shows from the logs which tasks are known to slow each other down."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from yuccarelay.commands import Env
from yuccarelay.exit_status import ExitStatus
from yuccarelay.explain import LogLine, read_logs

EVENTS = frozenset(
    {'interference_learned', 'interference_forgotten', 'interference_avoided'}
)
HEADINGS = ('kind', 'beside', 'factor', 'count', 'known', 'since', 'separated')


class PairRow(NamedTuple):
    """
    What the logs say of a pair of kinds.

    `since` is the time of the line that says so. `separated` counts the units of the
    kind that were placed elsewhere because of any pair.
    """

    kind: str
    beside: str
    factor: str
    count: str
    is_known: bool
    since: str
    separated: int


def list_pairs(lines: Iterable[LogLine]) -> list[PairRow]:
    """
    Return the pairs that the logs name, those known at the end first.

    Each planner learns by itself, so the table of a new one begins empty: a pair counts
    as known only if the newest process that writes such lines has learned it.
    """
    unique = {(line.time, line.source, str(line)): line for line in lines}
    found: dict[tuple[str, str], PairRow] = {}
    sources: dict[tuple[str, str], str] = {}
    separated: dict[str, int] = {}
    newest = ''
    for key in sorted(unique):
        line = unique[key]
        fields = line.fields
        if line.event == 'planner_elected':
            newest = line.source
        if line.event not in EVENTS:
            continue
        newest = line.source
        if line.event == 'interference_avoided':
            kind = fields.get('kind', '?')
            separated[kind] = separated.get(kind, 0) + 1
            continue
        pair = (fields.get('kind', '?'), fields.get('beside', '?'))
        sources[pair] = line.source
        found[pair] = PairRow(
            *pair,
            fields.get('factor', '?'),
            fields.get('count', '?'),
            line.event == 'interference_learned',
            line.time,
            0,
        )
    rows = [
        row._replace(
            is_known=row.is_known and sources[pair] == newest,
            separated=separated.get(row.kind, 0),
        )
        for pair, row in found.items()
    ]
    return sorted(rows, key=lambda row: (not row.is_known, row[:2]))


def format_rows(rows: list[PairRow]) -> list[str]:
    """Return the rows as lines of a table with headings."""
    cells = [HEADINGS]
    for row in rows:
        known = 'yes' if row.is_known else 'no'
        cells.append((*row[:4], known, row.since, str(row.separated)))
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def show_interference(*files: Path, env: Env) -> ExitStatus:
    """
    Print which kinds of tasks the planner knows to slow each other down.

    Reads the log files of the entries, or standard input if none is given.
    """
    try:
        rows = list_pairs(read_logs(env, files))
    except OSError as error:
        print(f'yuccarelay: {error.filename}: {error.strerror}', file=env.stderr)
        return ExitStatus.INVALID
    if not rows:
        print('yuccarelay: no log line names a pair of kinds', file=env.stderr)
        return ExitStatus.REFUSED
    for text in format_rows(rows):
        print(text, file=env.stdout)
    return ExitStatus.OK
