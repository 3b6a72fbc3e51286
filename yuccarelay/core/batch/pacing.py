"""
Pace of best-effort tasks that are co-located with latency-sensitive tasks.

A latency-sensitive task has a target for the tail of its response times. Best-effort
tasks on the same worker raise that tail by an amount that is not known in advance, so
their pace follows the tail that the worker reports: down at once, up in small steps.
A new run begins at the pace that its kind has settled at beside that kind before.
"""

from typing import NamedTuple

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
# The pace swings around the one that is tolerated, so it takes some paces to know it.
MIN_PACES = 5
PACE_WEIGHT = 0.15
# What is learned of a pair holds for this time: both kinds have busier hours.
PACE_VALID_MS = 600_000
MAX_PACE_PAIRS = 64


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


class KnownPace(NamedTuple):
    """The mean pace of a best-effort kind beside a latency-sensitive one."""

    count: int
    percent: float
    seen_ms: int


class TolerablePaces:
    """
    The paces at which latency-sensitive kinds met their targets, by pair of kinds.

    For example, after some paces of 40 % for `index` beside `serve`, another run of
    `index` begins at 40 % there.
    """

    def __init__(self):
        self.paces: dict[tuple[str, str], KnownPace] = {}

    def learn(self, kind: str, beside: str, percent: int, now_ms: int) -> None:
        """Add a pace of the kind `beside` that a latency-sensitive kind tolerates."""
        known = self.paces.pop((kind, beside), None)
        if known is None or now_ms > known.seen_ms + PACE_VALID_MS:
            known = KnownPace(0, percent, 0)
        elif now_ms < known.seen_ms + PACE_PERIOD_MS:
            self.paces[kind, beside] = known
            return
        if len(self.paces) >= MAX_PACE_PAIRS:
            del self.paces[next(iter(self.paces))]
        weight = max(PACE_WEIGHT, 1 / (known.count + 1))
        mean = known.percent + weight * (percent - known.percent)
        self.paces[kind, beside] = KnownPace(known.count + 1, mean, now_ms)

    def start_pace(self, kinds: set[str], beside: str, now_ms: int) -> int:
        """Return the pace at which a run begins beside kinds, full while not known."""
        known = [
            pace.percent
            for kind in kinds
            if (pace := self.paces.get((kind, beside))) is not None
            and pace.count >= MIN_PACES
            and now_ms <= pace.seen_ms + PACE_VALID_MS
        ]
        return max(MIN_PACE_PERCENT, int(min(known, default=FULL_PERCENT)))
