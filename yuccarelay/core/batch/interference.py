"""
Which kinds of tasks slow each other down on one worker, learned from their progress.

The table has ordered pairs of kinds: the first is slowed down beside the second. An
observation is the logarithm of the factor by which one run became slower when runs of
one other kind joined it on its worker, or faster when they left. The kinds that stay
cancel out in the quotient, and so do the speed of the worker and the length of the run.
"""

import math
from typing import NamedTuple

# A pair is known once it has this many observations, from `MIN_WORKERS` workers.
MIN_COUNT = 4.0
MIN_WORKERS = 2
# A pair becomes known when its slow-down surely exceeds the first factor, and stops
# being known when it may be below the second. The gap keeps it from alternating.
LEARNED_FACTOR = 1.12
FORGOTTEN_FACTOR = 1.05
# A pair whose slow-down is surely below this factor tolerates being together.
TOLERATED_FACTOR = 1.1
# Standard errors between the mean and its bounds. Some hundred pairs are tested again
# with each observation, so two would find pairs that do not exist.
BOUND_ERRORS = 3.0
KEPT_ERRORS = 1.0
# Whole percents alone give observations this spread; it counts as `PRIOR_COUNT` of them
# so that few equal observations do not look certain.
PRIOR_SPREAD = 0.15
PRIOR_COUNT = 4.0
# Older observations count for less, so that a changed pair is found out.
MAX_COUNT = 20.0
# An observation further off than this factor comes from a fault on the worker.
CLIP_FACTOR = 4.0
# Runs of one kind on one worker change their speed together: observations of a pair on
# the same worker within this time are nearly the same one.
REPEAT_MS = 2_000
REPEAT_WEIGHT = 0.05
# A pair that is not seen is tried again after some minutes.
HALF_LIFE_MS = 240_000
# Below this count a pair is dropped.
FADED_COUNT = 0.5
MAX_PAIRS = 256
# The share of a kind in a change of several is subtracted if its error is below this.
SURE_ERROR = 0.08
MAX_WORKERS = 4


class Pair(NamedTuple):
    """A kind of task, and the kind beside it that may slow it down."""

    kind: str
    beside: str


class Estimate(NamedTuple):
    """
    What is known of a pair: the mean and variance of the logarithm of its slow-down.

    `count` is the decayed number of observations at `seen_ms`, when the last one was
    made on `workers[-1]`. `workers` has the last few workers with observations.
    """

    count: float
    mean: float
    variance: float
    workers: tuple[str, ...]
    seen_ms: int

    def count_at(self, now_ms: int) -> float:
        """Return the number of observations after the decay since the last one."""
        return self.count * 0.5 ** (max(0, now_ms - self.seen_ms) / HALF_LIFE_MS)

    def error(self, now_ms: int) -> float:
        """Return the standard error of the mean."""
        count = self.count_at(now_ms)
        total = PRIOR_COUNT * PRIOR_SPREAD**2 + count * self.variance
        return math.sqrt(total / (PRIOR_COUNT + count) / max(count, 1e-9))

    def has_enough(self, now_ms: int) -> bool:
        """Whether there are enough observations, on enough workers."""
        is_enough = self.count_at(now_ms) >= MIN_COUNT
        return is_enough and len(self.workers) >= MIN_WORKERS


class Observation(NamedTuple):
    """
    The logarithm of the factor by which a run of a kind became slower on a worker.

    Meanwhile runs of the kinds in `joined` came to the worker, and the last ones of
    those in `left` went away.
    """

    kind: str
    joined: frozenset[str]
    left: frozenset[str]
    slowdown: float


class Change(NamedTuple):
    """A pair that has become known or has been forgotten."""

    pair: Pair
    is_known: bool
    factor: float
    count: float
    workers: int


class SavedPair(NamedTuple):
    """A pair with its estimate, for another planner whose clock is another one."""

    kind: str
    beside: str
    count: float
    mean: float
    variance: float
    workers: tuple[str, ...]
    age_ms: int
    is_known: bool


class InterferenceTable:
    """
    Estimates of the slow-downs of pairs, bounded in number.

    For example, after enough observations of 0.69 for `Pair('train', 'index')`,
    `slowdown('train', 'index')` is 0.69: a run of `train` takes twice as long.
    """

    def __init__(self):
        self.estimates: dict[Pair, Estimate] = {}
        # The means of the pairs that are known to interfere.
        self.known: dict[Pair, float] = {}

    def slowdown(self, kind: str, beside: str) -> float:
        """Return the logarithm of a known slow-down, 0 while none is known."""
        return self.known.get((kind, beside), 0.0)

    def is_tolerated(self, kind: str, beside: str, now_ms: int) -> bool:
        """Whether a kind is known to run beside another without being slowed down."""
        found = self.estimates.get(Pair(kind, beside))
        if found is None or not found.has_enough(now_ms):
            return False
        highest = found.mean + BOUND_ERRORS * found.error(now_ms)
        return highest <= math.log(TOLERATED_FACTOR)

    def observe(
        self, pair: Pair, worker: str, slowdown: float, now_ms: int
    ) -> Change | None:
        """Add the logarithm of a slow-down, and return what that changes."""
        limit = math.log(CLIP_FACTOR)
        slowdown = min(limit, max(-limit, slowdown))
        known = self.estimates.get(pair)
        if known is None:
            self._make_room()
            known = Estimate(0.0, 0.0, 0.0, (), now_ms)
        weight = 1.0
        is_repeat = known.workers and known.workers[-1] == worker
        if is_repeat and now_ms < known.seen_ms + REPEAT_MS:
            weight = REPEAT_WEIGHT
        count = min(MAX_COUNT - weight, known.count_at(now_ms)) + weight
        share = weight / count
        off = slowdown - known.mean
        others = tuple(other for other in known.workers if other != worker)
        self.estimates[pair] = Estimate(
            count,
            known.mean + share * off,
            (1 - share) * (known.variance + share * off * off),
            (*others, worker)[-MAX_WORKERS:],
            now_ms,
        )
        return self._review(pair, now_ms)

    def take(self, observation: Observation, worker: str, now_ms: int) -> Change | None:
        """
        Attribute an observation to one pair, and return what that changes.

        Slow-downs of several kinds multiply. If all kinds that changed but one are
        known well, their shares are subtracted; otherwise the observation is dropped,
        because it could not be told which of the kinds did it.
        """
        kind, joined, left, slowdown = observation
        errors = {
            other: self._error(Pair(kind, other), now_ms) for other in joined | left
        }
        unsure = [other for other, error in errors.items() if error > SURE_ERROR]
        if not errors or len(unsure) > 1:
            return None
        target = max(errors, key=lambda other: (errors[other], other))
        for other in errors.keys() - {target}:
            share = self.estimates[Pair(kind, other)].mean
            slowdown -= share if other in joined else -share
        if target in left:
            slowdown = -slowdown
        return self.observe(Pair(kind, target), worker, slowdown, now_ms)

    def _error(self, pair: Pair, now_ms: int) -> float:
        """Return the standard error of a pair, infinite if nothing is known."""
        estimate = self.estimates.get(pair)
        return math.inf if estimate is None else estimate.error(now_ms)

    def fade(self, now_ms: int) -> list[Change]:
        """Drop the pairs that were not seen for long, and return what that changes."""
        changes = [self._review(pair, now_ms) for pair in list(self.known)]
        for pair, estimate in list(self.estimates.items()):
            if pair not in self.known and estimate.count_at(now_ms) < FADED_COUNT:
                del self.estimates[pair]
        return [change for change in changes if change is not None]

    def export(self, now_ms: int) -> tuple[SavedPair, ...]:
        """Return the table as plain tuples, the pairs seen last first."""
        newest = sorted(self.estimates.items(), key=lambda item: -item[1].seen_ms)
        return tuple(
            SavedPair(
                *pair, *estimate[:4], now_ms - estimate.seen_ms, pair in self.known
            )
            for pair, estimate in newest
        )

    def restore(self, saved: tuple[SavedPair, ...], now_ms: int) -> None:
        """Replace the table by an exported one."""
        self.estimates.clear()
        self.known.clear()
        for row in saved[:MAX_PAIRS]:
            kind, beside, count, mean, variance, workers, age_ms, is_known = row
            pair = Pair(kind, beside)
            self.estimates[pair] = Estimate(
                min(count, MAX_COUNT), mean, variance, tuple(workers), now_ms - age_ms
            )
            if is_known:
                self.known[pair] = mean

    def _review(self, pair: Pair, now_ms: int) -> Change | None:
        """Update whether a pair is known; return the change if there is one."""
        estimate = self.estimates[pair]
        was_known = pair in self.known
        errors = KEPT_ERRORS if was_known else BOUND_ERRORS
        lowest = estimate.mean - errors * estimate.error(now_ms)
        limit = FORGOTTEN_FACTOR if was_known else LEARNED_FACTOR
        is_known = lowest > math.log(limit)
        if was_known:
            is_known = is_known and estimate.count_at(now_ms) >= MIN_COUNT / 2
        else:
            is_known = is_known and estimate.has_enough(now_ms)
        if is_known:
            self.known[pair] = estimate.mean
        else:
            self.known.pop(pair, None)
        if is_known == was_known:
            return None
        return Change(
            pair,
            is_known,
            math.exp(estimate.mean),
            estimate.count_at(now_ms),
            len(estimate.workers),
        )

    def _make_room(self) -> None:
        """Drop the pair that was not seen for longest, if the table is full."""
        if len(self.estimates) >= MAX_PAIRS:
            oldest = min(self.estimates, key=lambda pair: self.estimates[pair].seen_ms)
            del self.estimates[oldest]
            self.known.pop(oldest, None)
