"""
Regression of the logarithm of run times on the logarithm of submitted estimates.

Each queue has a line: the level at its mean submitted estimate, and a slope that says
how informative the estimate is. Both are conjugate normal updates of a prior that is
pooled over queues, so a queue with few jobs follows the others and one with many its
own jobs. A job's tasks share much of their time, so they are one `Group` whose weight
grows little with their number; older groups count less.

Stragglers (about 3 % of tasks take seven times as long) are limited in their residual.
A group whose runs were all stopped took at least as long as they ran: it counts as the
mean of what is above that, by how likely it was to have ended before.
"""

import bisect
import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

# Each newer group of a queue reduces the weight of a group by this factor.
FORGETTING = 0.97
# Groups of a queue that are kept; the oldest then has a weight of 0.39.
GROUPS_LIMIT = 32
# Logarithms that are kept of one group; every second one is dropped above that.
LOGS_LIMIT = 128
# Correlation of the times of tasks in one step, from which their joint weight follows.
STEP_CORRELATION = 0.5
# Residuals are limited to this multiple of the spread, which loses this share of the
# variance of a normal distribution.
RESIDUAL_LIMIT = 2.0
LIMITED_VARIANCE = 0.92
FIT_PASSES = 4
# Change of a group's centre, spread or weight that calls for another fit.
LEAST_CHANGE = 0.02
# Prior of a queue's slope while no others are known: estimates are informative in part.
SLOPE, SLOPE_SPREAD = 0.5, 0.35
SLOPE_BOUNDS = (0.0, 1.2)
# Spread of the queues' mean ratios of run time to estimate, as a logarithm.
LEVEL_SPREAD = 0.7
# Prior of the spread of run times around the line, and the jobs that it counts for.
SPREAD, SPREAD_JOBS = 0.35, 2.0
LEAST_SPREAD = 0.03
# Jobs that it takes for the offset of an image to count half.
IMAGE_JOBS = 2.0
NORMAL = statistics.NormalDist()


@dataclass(slots=True)
class Group:
    """
    The tasks of one step of a job, as far as they have ended or were stopped.

    `logs` are the logarithms of their run times in ms, sorted. `at_least` is the
    longest time of a stopped run. `submitted_guess` and `learned_guess` are what both
    predictors said before the first task of the group was learned; None if they did
    not predict it.
    """

    submitted: float | None
    image: str = ''
    is_gang: bool = False
    logs: list[float] = field(default_factory=list)
    count: int = 0
    centre: float = 0.0
    spread: float = 0.0
    at_least: float | None = None
    submitted_guess: float | None = None
    learned_guess: float | None = None
    fitted: tuple[float, float, float] = (0.0, 0.0, 0.0)

    def add(self, value: float) -> bool:
        """
        Add the logarithm of a task's run time.

        Return whether the group differs from that of the last fit by enough for
        another one: fits would otherwise take up to 0.3 ms for each task of a step.
        """
        bisect.insort(self.logs, value)
        self.count += 1
        if len(self.logs) > LOGS_LIMIT:
            del self.logs[::2]
        self.centre = statistics.median(self.logs)
        last = len(self.logs) - 1
        low, high = round(0.16 * last), round(0.84 * last)
        self.spread = (self.logs[high] - self.logs[low]) / 2
        found = (self.centre, self.spread, self.weight())
        if all(
            abs(new - old) < LEAST_CHANGE
            for new, old in zip(found, self.fitted, strict=True)
        ):
            return False
        self.fitted = found
        return True

    def weight(self) -> float:
        """Return how many independent jobs the tasks count for."""
        if self.is_gang or self.count < 2:
            return 1.0
        return self.count / (1 + (self.count - 1) * STEP_CORRELATION)


class Prior(NamedTuple):
    """What is expected of a queue: ratio and slope as logarithms, and the spread."""

    ratio: float = 0.0
    slope: float = SLOPE
    spread: float = SPREAD


class Line(NamedTuple):
    """
    The distribution of a queue's run times given the submitted estimate.

    `weight` and `scatter` are the sum of the weights and that of the squared
    differences from `centre`, each with its prior's share.
    """

    centre: float
    level: float
    slope: float
    spread: float
    weight: float
    scatter: float
    jobs: float
    offsets: dict[str, float]

    def mean(self, submitted: float | None, image: str) -> float:
        """Return the expected logarithm of a run time."""
        if submitted is not None and not self.jobs:
            # The usual estimate of the queue is not known yet.
            return self.level + submitted - self.centre
        distance = 0.0 if submitted is None else submitted - self.centre
        return self.level + self.slope * distance + self.offsets.get(image, 0.0)

    def deviation(self, submitted: float | None) -> float:
        """Return the standard deviation, with the uncertainty of the line itself."""
        distance = 0.0 if submitted is None else submitted - self.centre
        share = 1 + 1 / self.weight + distance * distance / self.scatter
        return self.spread * math.sqrt(share)

    def quantile(self, submitted: float | None, image: str, z: float) -> float:
        """
        Return a quantile of the logarithm of a run time.

        `z` is the quantile of the normal distribution. That of Student's distribution
        is used, because the spread is known from few jobs.
        """
        freedom = SPREAD_JOBS + self.jobs
        factor = 1 + (z * z + 1) / (4 * freedom)
        return self.mean(submitted, image) + z * factor * self.deviation(submitted)


class Sums(NamedTuple):
    """What one queue says of others: its ratio, slope and spread, and their errors."""

    ratio: float
    ratio_variance: float
    slope: float | None
    slope_variance: float
    spread: float
    jobs: float


def pool(queues: Sequence[Sums]) -> Prior:
    """
    Return the prior of a queue from the others.

    The spread between queues bounds the weight of each, so that one with many jobs
    does not speak for all. The fixed prior counts as one queue.
    """
    ratio_weight, ratio_sum = 1 / LEVEL_SPREAD**2, 0.0
    slope_weight = 1 / SLOPE_SPREAD**2
    slope_sum = slope_weight * SLOPE
    spread_weight, spread_sum = 1.0, math.log(SPREAD)
    for sums in queues:
        weight = 1 / (LEVEL_SPREAD**2 + sums.ratio_variance)
        ratio_weight, ratio_sum = ratio_weight + weight, ratio_sum + weight * sums.ratio
        if sums.slope is not None:
            weight = 1 / (SLOPE_SPREAD**2 + sums.slope_variance)
            slope_weight += weight
            slope_sum += weight * sums.slope
        weight = sums.jobs / (sums.jobs + SPREAD_JOBS)
        spread_weight += weight
        spread_sum += weight * math.log(sums.spread)
    return Prior(
        ratio_sum / ratio_weight,
        slope_sum / slope_weight,
        math.exp(spread_sum / spread_weight),
    )


class _Point(NamedTuple):
    """A group as the regression takes it."""

    weight: float
    x: float
    group: Group


def fit(groups: Sequence[Group], prior: Prior, default: float) -> tuple[Line, Sums]:
    """
    Return the line of a queue's groups, oldest first, and what it says of others.

    `default` is the logarithm of the estimate where none is submitted.
    """
    known = [group.submitted for group in groups if group.submitted is not None]
    usual = statistics.fmean(known) if known else default
    points = [
        _Point(
            group.weight() * FORGETTING ** (len(groups) - 1 - number),
            usual if group.submitted is None else group.submitted,
            group,
        )
        for number, group in enumerate(groups)
    ]
    ended = [group.centre for group in groups if group.count]
    total = sum(point.weight for point in points)
    centre = sum(point.weight * point.x for point in points) / total if total else usual
    level = statistics.median(ended) if ended else centre + prior.ratio
    line = Line(centre, level, prior.slope, prior.spread, 1.0, 1.0, total, {})
    sums = Sums(prior.ratio, math.inf, None, math.inf, prior.spread, 0.0)
    for _ in range(FIT_PASSES):
        line, sums = _refine(points, line, prior)
    return line, sums


def _refine(points: list[_Point], line: Line, prior: Prior) -> tuple[Line, Sums]:
    """Return the next approximation of a line."""
    limit = RESIDUAL_LIMIT * line.spread
    values = []
    for weight, x, group in points:
        mean = line.mean(x, group.image)
        if group.count:
            residual, share = group.centre - mean, 1.0
        else:
            residual, share = _complete(group.at_least - mean, line.spread)
        residual = max(-limit, min(limit, residual))
        values.append((weight * share, x, mean + residual, group))
    variance = line.spread**2
    total = sum(value[0] for value in values)
    if not total:
        centre, free_level = line.centre, line.level
    else:
        centre = sum(w * x for w, x, _, _ in values) / total
        free_level = (
            sum(w * (y - line.offsets.get(g.image, 0.0)) for w, _, y, g in values)
            / total
        )
    level_share = variance / LEVEL_SPREAD**2
    level = total * free_level + level_share * (centre + prior.ratio)
    level /= total + level_share
    scatter = sum(w * (x - centre) ** 2 for w, x, _, _ in values)
    product = sum(
        w * (x - centre) * (y - free_level - line.offsets.get(g.image, 0.0))
        for w, x, y, g in values
    )
    slope_share = variance / SLOPE_SPREAD**2
    slope = (product + slope_share * prior.slope) / (scatter + slope_share)
    slope = max(SLOPE_BOUNDS[0], min(SLOPE_BOUNDS[1], slope))
    offsets = _find_offsets(values, centre, level, slope)
    squares = sum(
        w
        * (
            (y - level - slope * (x - centre) - offsets.get(g.image, 0.0)) ** 2
            / LIMITED_VARIANCE
            + g.spread**2
        )
        for w, x, y, g in values
    )
    jobs = total
    spread = math.sqrt((SPREAD_JOBS * prior.spread**2 + squares) / (SPREAD_JOBS + jobs))
    spread = max(LEAST_SPREAD, spread)
    refined = Line(
        centre,
        level,
        slope,
        spread,
        total + level_share,
        scatter + slope_share,
        jobs,
        offsets,
    )
    sums = Sums(
        free_level - centre,
        variance / total if total else math.inf,
        product / scatter if scatter > 0 else None,
        variance / scatter if scatter > 0 else math.inf,
        spread,
        jobs,
    )
    return refined, sums


def _find_offsets(
    values: list[tuple], centre: float, level: float, slope: float
) -> dict[str, float]:
    """Return how much longer than the queue's others the tasks of each image take."""
    if len({group.image for *_, group in values}) < 2:
        return {}
    sums: dict[str, tuple[float, float]] = {}
    for w, x, y, group in values:
        weight, residuals = sums.get(group.image, (0.0, 0.0))
        residual = y - level - slope * (x - centre)
        sums[group.image] = (weight + w, residuals + w * residual)
    return {
        image: residuals / (weight + IMAGE_JOBS)
        for image, (weight, residuals) in sums.items()
    }


def _complete(bound: float, spread: float) -> tuple[float, float]:
    """
    Return the mean residual above a bound, and how much it says.

    A run that was stopped early says nothing, because it would hardly have ended.
    """
    z = bound / spread
    above = max(1e-9, 1 - NORMAL.cdf(z))
    if z > 5:
        return bound, 1.0
    return spread * NORMAL.pdf(z) / above, NORMAL.cdf(z)


def quantile_above(mean: float, deviation: float, bound: float, share: float) -> float:
    """
    Return a quantile of a normal distribution given that the value is above a bound.

    Far above the mean it is that of an exponential tail, which does not lose precision.
    """
    z = (bound - mean) / deviation
    if z > 4:
        return bound - deviation * math.log(1 - share) / z
    below = NORMAL.cdf(z)
    found = below + share * (1 - below)
    return mean + deviation * NORMAL.inv_cdf(min(1 - 1e-9, max(1e-9, found)))
