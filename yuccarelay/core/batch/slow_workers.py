"""
Finds workers whose runs advance much slower than those of the others.

A worker may become slow, or its tasks may stall, while its heartbeats arrive as
usual. It gets no new work. Its runs stay, because the condition passes within seconds
and a restart would lose their progress.
"""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

# Progress is reported as a whole percentage; below these figures it is too coarse.
MIN_RUN_MS = 1_500
MIN_PERCENT = 2
# A worker is polled at least every two seconds; a run whose progress has not changed
# for this time, and whose estimate is below `LONG_RUN_MS`, has stalled.
STALLED_MS = 3_500
LONG_RUN_MS = 100_000
# A single run may take up to seven times as long as is usual for its kind, but several
# slow runs on one worker are not a coincidence. Runs on the platform's slow workers
# take at least four times as long.
SLOW_FACTOR = 2.5
MIN_WORKERS = 3


class Progress(NamedTuple):
    """Progress of one run; `estimate_ms` is its expected duration."""

    worker: str
    ran_ms: int
    percent: float
    percent_age_ms: int
    estimate_ms: float


def find_slow_workers(runs: Iterable[Progress]) -> set[str]:
    """
    Return the workers that are slow, or whose runs have all stalled.

    The slowdown of a run is its projected duration divided by its estimate, and that
    of a worker the least slowdown among its runs. A worker with more than one run is
    slow if its slowdown exceeds `SLOW_FACTOR` times the median over all workers.
    """
    slowdowns: dict[str, list[float]] = {}
    stalled: dict[str, list[bool]] = {}
    for run in runs:
        if run.ran_ms < MIN_RUN_MS:
            continue
        is_stalled = run.percent_age_ms >= STALLED_MS and run.estimate_ms < LONG_RUN_MS
        stalled.setdefault(run.worker, []).append(is_stalled)
        if run.percent >= MIN_PERCENT:
            projected_ms = run.ran_ms * 100 / run.percent
            slowdown = projected_ms / max(1.0, run.estimate_ms)
            slowdowns.setdefault(run.worker, []).append(slowdown)
    slow = {worker for worker, is_stalled in stalled.items() if all(is_stalled)}
    if len(slowdowns) >= MIN_WORKERS:
        median_slowdown = statistics.median(min(found) for found in slowdowns.values())
        limit = SLOW_FACTOR * median_slowdown
        slow |= {
            worker
            for worker, found in slowdowns.items()
            if len(found) > 1 and min(found) > limit
        }
    return slow
