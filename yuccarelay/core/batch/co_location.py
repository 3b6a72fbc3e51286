"""
Watches how fast runs progress beside other kinds, and compares each run with itself.

A run's rate is measured over windows in which the same kinds are on its worker. Two
windows of one run give one observation of the kinds in which its neighbours differ.
Kinds that are in both cancel out, so work that always shares its worker is also learned
from, and no rate of a kind alone is needed.
"""

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.interference import Observation
from yuccarelay.core.batch.models import WorkerId

# Reports of a worker within this time are passed over: there are up to 20 in a second.
SAMPLE_PERIOD_MS = 200
# Progress is in whole percents; over a shorter window the rate would be too coarse.
MIN_WINDOW_MS = 1_500
MIN_WINDOW_PERCENT = 10
MIN_WINDOW_TAILS = 2
# A tail covers the last half second, so it is of no use just after a change.
TAIL_SETTLE_MS = 600
# Later the load of the worker, or of the callers of a task that serves, is another.
LONGEST_WINDOW_MS = 6_000
LONGEST_GAP_MS = 10_000
# A run whose percent stands still for this multiple of its usual time has stalled.
STALLED_MS = 1_500
STALLED_MULTIPLE = 4


class RunSample(NamedTuple):
    """
    What a report says of a run.

    `tail_ratio` is the tail of the response times against their target for a task that
    serves, 0 for others. A run that is not steady has started just now, is paced or
    ends; it is only a neighbour of others.
    """

    key: Hashable
    kind: str
    percent: float
    tail_ratio: float = 0
    is_steady: bool = True


@dataclass(slots=True)
class Window:
    """
    Progress of a run while the same other kinds were on its worker.

    `changed_ms` is when the percent changed last. `is_compared` is set once the window
    has given its observation: later parts of it would only repeat that.
    """

    kinds: frozenset[str]
    since_ms: int
    first_percent: float
    until_ms: int
    percent: float
    changed_ms: int
    tail_logs: float = 0
    tails: int = 0
    is_compared: bool = False

    def extend(self, sample: RunSample, now_ms: int) -> None:
        """Add a later sample."""
        self.until_ms = now_ms
        if sample.percent != self.percent:
            self.percent, self.changed_ms = sample.percent, now_ms
        if sample.tail_ratio > 0 and now_ms >= self.since_ms + TAIL_SETTLE_MS:
            self.tail_logs += math.log(sample.tail_ratio)
            self.tails += 1

    @property
    def is_long_enough(self) -> bool:
        """Whether the window is long enough to tell the rate."""
        if self.until_ms - self.since_ms < MIN_WINDOW_MS:
            return False
        gained = self.percent - self.first_percent
        return self.tails >= MIN_WINDOW_TAILS or gained >= MIN_WINDOW_PERCENT

    @property
    def has_stalled(self) -> bool:
        """Whether the percent stands still for much longer than usual."""
        idle_ms = self.until_ms - self.changed_ms
        gained = self.percent - self.first_percent
        if self.tails or idle_ms < STALLED_MS:
            return False
        usual_ms = (self.changed_ms - self.since_ms) / gained if gained > 0 else 0
        return idle_ms > STALLED_MULTIPLE * usual_ms

    def slowness(self) -> float:
        """Return the logarithm of the tail, or of the time for one percent."""
        if self.tails:
            return self.tail_logs / self.tails
        duration_ms = self.until_ms - self.since_ms
        return math.log(duration_ms / (self.percent - self.first_percent))


@dataclass(slots=True)
class RunWatch:
    """The current window of a run, and the last one that was long enough."""

    window: Window | None = None
    baseline: Window | None = None


@dataclass(slots=True)
class WorkerWatch:
    """The runs of one incarnation of a worker, as of its last sample."""

    worker: WorkerId
    at_ms: int
    runs: dict[Hashable, RunWatch] = field(default_factory=dict)


class CoLocationWatch:
    """Turns reports into observations; a constant amount of work per listed run."""

    def __init__(self):
        self.workers: dict[str, WorkerWatch] = {}

    def is_due(self, worker: WorkerId, now_ms: int) -> bool:
        """Whether a report of a worker is of use, so soon after the last one."""
        known = self.workers.get(worker.agent)
        return (
            known is None
            or known.worker != worker
            or now_ms >= known.at_ms + SAMPLE_PERIOD_MS
        )

    def forget(self, agent: str) -> None:
        """Drop the windows of a worker, because what it does now says nothing."""
        self.workers.pop(agent, None)

    def sample(
        self, worker: WorkerId, samples: Iterable[RunSample], now_ms: int
    ) -> list[Observation]:
        """Take the runs of a worker; return what they show."""
        samples = list(samples)
        counts: dict[str, int] = {}
        for sample in samples:
            counts[sample.kind] = counts.get(sample.kind, 0) + 1
        neighbours = {
            kind: frozenset(
                other for other in counts if other != kind or counts[kind] > 1
            )
            for kind in counts
        }
        known = self.workers.get(worker.agent)
        if known is None or known.worker != worker:
            known = WorkerWatch(worker, now_ms)
        found: list[Observation] = []
        watches: dict[Hashable, RunWatch] = {}
        for sample in samples:
            if not sample.is_steady:
                continue
            watch = known.runs.get(sample.key) or RunWatch()
            watches[sample.key] = watch
            observation = update(watch, sample, neighbours[sample.kind], now_ms)
            if observation is not None:
                found.append(observation)
        self.workers[worker.agent] = WorkerWatch(worker, now_ms, watches)
        return found


def update(
    watch: RunWatch, sample: RunSample, kinds: frozenset[str], now_ms: int
) -> Observation | None:
    """
    Take a sample of a run; return an observation if it completes one.

    A window ends with the last sample before its kinds changed, and the next one begins
    with the first sample after that.
    """
    window = watch.window
    if window is None or window.kinds != kinds:
        if window is not None and window.is_long_enough:
            watch.baseline = window
        watch.window = start_window(sample, kinds, now_ms)
        return None
    window.extend(sample, now_ms)
    if window.has_stalled or window.percent < window.first_percent:
        watch.window = watch.baseline = None
        return None
    if not window.is_long_enough:
        return None
    observation = None
    if not window.is_compared:
        window.is_compared = True
        if watch.baseline is not None:
            observation = compare(sample.kind, watch.baseline, window)
    if now_ms >= window.since_ms + LONGEST_WINDOW_MS:
        watch.baseline = window
        watch.window = start_window(sample, kinds, now_ms)
        watch.window.is_compared = True
    return observation


def start_window(sample: RunSample, kinds: frozenset[str], now_ms: int) -> Window:
    """Return a window that begins with a sample."""
    return Window(kinds, now_ms, sample.percent, now_ms, sample.percent, now_ms)


def compare(kind: str, before: Window, after: Window) -> Observation | None:
    """
    Return what two windows of one run show of the kinds that they differ in.

    The rate and the tail of a run are not compared with each other.
    """
    is_old = after.since_ms > before.until_ms + LONGEST_GAP_MS
    is_same = before.kinds == after.kinds
    if is_same or is_old or bool(before.tails) != bool(after.tails):
        return None
    return Observation(
        kind,
        after.kinds - before.kinds,
        before.kinds - after.kinds,
        after.slowness() - before.slowness(),
    )
