"""Statistics, tables and plots of the measurements."""

import math
from collections.abc import Iterable, Sequence

PERCENTILES = (50, 90, 99)
BAR_HEIGHT_PX = 18
LABEL_WIDTH_PX = 260
BAR_WIDTH_PX = 360
COLOURS = ('#4477aa', '#ee6677', '#228833', '#ccbb44', '#66ccee', '#aa3377')


def find_percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile; nan without values."""
    if not values:
        return math.nan
    rank = math.ceil(percent / 100 * len(values))
    return sorted(values)[max(rank, 1) - 1]


def find_ratio(part: float, whole: float) -> float:
    """Return a ratio; nan when the whole is 0."""
    return part / whole if whole else math.nan


def find_mean(values: Iterable[float]) -> float:
    """Return the mean; nan without values."""
    values = list(values)
    return find_ratio(sum(values), len(values))


def format_number(value: float) -> str:
    """Return a number with three significant digits, or a dash for nan."""
    if math.isnan(value):
        return '-'
    if value and abs(value) < 100:
        return f'{value:.3g}'
    return f'{value:,.0f}'


def summarise(samples: Sequence[object]) -> str:
    """
    Return the table cell for one metric over several seeds.

    Lists of samples are pooled and give p50, p90 and p99. Numbers give the mean
    over the seeds and the range.
    """
    if samples and isinstance(samples[0], list):
        pooled = [value for sample in samples for value in sample]
        cells = [format_number(find_percentile(pooled, p)) for p in PERCENTILES]
        return ' / '.join(cells)
    numbers = [value for value in samples if value is not None]
    numbers = [value for value in numbers if not math.isnan(value)]
    if not numbers:
        return '-'
    low, high = format_number(min(numbers)), format_number(max(numbers))
    mean = format_number(find_mean(numbers))
    return mean if low == high else f'{mean} ({low} to {high})'


def make_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ['| ' + ' | '.join(header) + ' |', '|' + '---|' * len(header)]
    lines.extend('| ' + ' | '.join(row) + ' |' for row in rows)
    return '\n'.join(lines)


def draw_bars(title: str, bars: Sequence[tuple[str, float]]) -> str:
    """Return an SVG with one horizontal bar for each label."""
    bars = [(label, 0 if math.isnan(value) else value) for label, value in bars]
    largest = max((value for _, value in bars), default=0) or 1
    parts = [_text(4, 14, title)]
    for index, (label, value) in enumerate(bars):
        y = 24 + index * BAR_HEIGHT_PX
        width = BAR_WIDTH_PX * value / largest
        parts.append(_text(4, y + 12, label))
        parts.append(
            f'<rect x="{LABEL_WIDTH_PX}" y="{y}" width="{width:.1f}" '
            f'height="{BAR_HEIGHT_PX - 4}" fill="{COLOURS[0]}"/>',
        )
        parts.append(_text(LABEL_WIDTH_PX + width + 4, y + 12, format_number(value)))
    height = 30 + len(bars) * BAR_HEIGHT_PX
    return _wrap(LABEL_WIDTH_PX + BAR_WIDTH_PX + 80, height, parts)


def draw_lines(title: str, lines: dict[str, Sequence[float]], x_title: str) -> str:
    """Return an SVG with one line for each named series of evenly spaced values."""
    largest = max((max(series, default=0) for series in lines.values()), default=0) or 1
    longest = max((len(series) for series in lines.values()), default=1)
    parts = [_text(4, 14, f'{title} (largest value {format_number(largest)})')]
    for index, (label, series) in enumerate(lines.items()):
        colour = COLOURS[index % len(COLOURS)]
        points = ' '.join(
            f'{20 + 620 * position / max(longest - 1, 1):.1f},'
            f'{200 - 170 * value / largest:.1f}'
            for position, value in enumerate(series)
        )
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
        parts.append(_text(20, 236 + index * 14, label, colour))
    parts.append('<path d="M20 200 H640 M20 30 V200" stroke="black"/>')
    parts.append(_text(300, 216, x_title))
    return _wrap(680, 240 + 14 * len(lines), parts)


def _text(x: float, y: float, text: str, colour: str = 'black') -> str:
    escaped = text.replace('&', '&amp;').replace('<', '&lt;')
    return f'<text x="{x:.0f}" y="{y:.0f}" fill="{colour}">{escaped}</text>'


def _wrap(width: int, height: int, parts: list[str]) -> str:
    body = '\n'.join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="12">\n'
        f'<rect width="100%" height="100%" fill="white"/>\n{body}\n</svg>\n'
    )
