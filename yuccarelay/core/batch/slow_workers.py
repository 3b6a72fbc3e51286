"""
Finds workers whose runs advance much slower than those of the others.

A worker may turn slow, or let its tasks stand still, while its heartbeats are
good. New work is kept away from it; what runs there stays, since the state
passes within seconds and a restart would lose the progress.
"""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

# Progress is a whole percentage: below these figures it says little.
LEAST_RUN_MS = 1_500
LEAST_PERCENT = 2
# A look comes at least every two seconds; a run whose progress is older than
# this, and that is not longer than `LONG_RUN_MS`, stands still.
STALLED_MS = 3_500
LONG_RUN_MS = 100_000
# Single runs take up to seven times their kind's time; several slow runs on one
# worker are no chance. The platform's slow workers take four times and more.
SLOW_FACTOR = 2.5
LEAST_WORKERS = 3


class Progress(NamedTuple):
    """Progress of one run; `estimate_ms` is its expected duration."""

    worker: str
    ran_ms: int
    percent: float
    percent_age_ms: int
    estimate_ms: float


def find_slow_workers(runs: Iterable[Progress]) -> set[str]:
    """
    Return the workers that are slow or stand still.

    A run's pace is its projected duration against its estimate. A worker is slow
    when the fastest of its runs is several times slower than the middle of the
    fleet.
    """
    paces: dict[str, list[float]] = {}
    stalled: dict[str, list[bool]] = {}
    for run in runs:
        if run.ran_ms < LEAST_RUN_MS:
            continue
        is_stalled = run.percent_age_ms >= STALLED_MS and run.estimate_ms < LONG_RUN_MS
        stalled.setdefault(run.worker, []).append(is_stalled)
        if run.percent >= LEAST_PERCENT:
            projected_ms = run.ran_ms * 100 / run.percent
            pace = projected_ms / max(1.0, run.estimate_ms)
            paces.setdefault(run.worker, []).append(pace)
    slow = {worker for worker, is_stalled in stalled.items() if all(is_stalled)}
    if len(paces) >= LEAST_WORKERS:
        usual = statistics.median(min(found) for found in paces.values())
        limit = SLOW_FACTOR * usual
        slow |= {
            worker
            for worker, found in paces.items()
            if len(found) > 1 and min(found) > limit
        }
    return slow
