"""Plain-text forms of the documents that operators read."""

from collections.abc import Mapping, Sequence

COLUMN_GAP = '  '


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with numbers aligned to the right and texts to the left."""
    columns = list(zip(*rows, strict=True)) if rows else [()] * len(header)
    numeric = [bool(column) and all(map(_is_number, column)) for column in columns]
    lines = [tuple(header)] + [tuple(map(format_cell, row)) for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return ''.join(
        COLUMN_GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        + '\n'
        for line in lines
    )


def format_cell(value: object) -> str:
    """Return one value of a table."""
    match value:
        case bool():
            return 'yes' if value else 'no'
        case dict():
            pairs = [f'{name}={number}' for name, number in sorted(value.items())]
            return ','.join(pairs) or '-'
        case _:
            return str(value)


def format_status(status: Mapping[str, object]) -> str:
    """
    Return the status of an entry as text: the entry, organisations, workers.

    `status` has the fields of `GET /v1/status`.
    """
    listed = ('organisations', 'workers', 'entries')
    names = [name for name in status if name not in listed]
    width = max(map(len, names), default=0)
    lines = [
        f'{name.ljust(width)}{COLUMN_GAP}{format_cell(status[name])}\n'
        for name in names
    ]
    lines.append(f'{"entries".ljust(width)}{COLUMN_GAP}{" ".join(status["entries"])}\n')
    parts = [
        ''.join(lines),
        format_organisations(status['organisations']),
        format_records(status['workers']),
        format_missing(status['organisations']),
    ]
    return '\n'.join(part for part in parts if part)


def format_organisations(organisations: Sequence[Mapping[str, object]]) -> str:
    """Return the table of organisations, with the number of cells without workers."""
    rows = []
    for organisation in organisations:
        missing = organisation['cells_without_workers']
        count = sum(cell['count'] for cell in missing)
        rows.append({**organisation, 'cells_without_workers': count})
    return format_records(rows)


def format_missing(organisations: Sequence[Mapping[str, object]]) -> str:
    """Return a line for each group of guaranteed cells without workers."""
    return ''.join(
        f'without workers: {organisation["organisation"]}'
        f' {cell["count"]} x ({cell["workers"]} x {cell["accelerators"]}'
        f' within {cell["within"]} of {cell["service"]})\n'
        for organisation in organisations
        for cell in organisation['cells_without_workers']
    )


def format_records(records: Sequence[Mapping[str, object]]) -> str:
    """Return a table of records with the same fields; no records give no text."""
    if not records:
        return ''
    return format_table(list(records[0]), [list(row.values()) for row in records])


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
