"""
Pace of best-effort tasks that are co-located with latency-sensitive tasks.

A latency-sensitive task has a target for the tail of its response times. Best-effort
tasks on the same worker raise that tail by an amount that is not known in advance, so
their pace follows the tail that the worker reports: down at once, up in small steps.
"""

FULL_PERCENT = 100
# At or above the target best-effort work is paused: users accept a missed target for
# 4 s, and a report and an order take about 1 s.
STOP_RATIO = 1.0
SLOW_RATIO = 0.85
# At or below this share of the target the pace may be raised.
FREE_RATIO = 0.6
RAISE_PERCENT = 15
# At a lower pace a task does too little to be worth the memory it holds.
MIN_PACE_PERCENT = 10
# The worker's metric covers the last half second, and a change takes 0.1 s.
PACE_PERIOD_MS = 700


def choose_pace(percent: int, tail_ratio: float) -> int:
    """
    Return the next pace of best-effort tasks, in percent, from the current one.

    `tail_ratio` is the largest ratio of tail to target among the latency-sensitive
    tasks on the worker. For example, at 0.9 a pace of 80 % becomes 40 %.
    """
    if tail_ratio >= STOP_RATIO:
        return 0
    if tail_ratio >= SLOW_RATIO:
        lower = percent // 2
        return lower if lower >= MIN_PACE_PERCENT else 0
    if tail_ratio <= FREE_RATIO:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    return percent
