"""
Chooses between the submitted and the learned prediction by their errors.

Each job of a queue was predicted by both before it was learned.
"""

import math
import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Errors of fewer jobs decide nothing.
LEAST_JOBS = 5
# The learned prediction must be better for all jobs that are kept, because a straggler
# disturbs the ratio of the submitted one for several jobs, and for the last ones, which
# alone decide whether it stays in use.
RECENT_JOBS = 16
# It is clearly better if its median error is at most the first share of the other's,
# its mean error the second, and it was closer for the third share of the jobs and one
# more. The median of few errors is too coarse by itself: in a log of 21 steps with mean
# errors of 0.30 and 0.49 it never was at most 0.75 of the other. An error counts for
# the mean up to `ERROR_LIMIT`.
MEDIAN_SHARE = 0.9
MEAN_SHARE = 0.75
CLOSER_SHARE, CLOSER_JOBS = 0.5, 1
ERROR_LIMIT = 1.0
# The gain that is worth a change, as a factor.
LEAST_GAIN = math.log(1.12)
# Estimates with a smaller median error than this factor are adequate.
ADEQUATE_ERROR = math.log(1.3)


class Errors(NamedTuple):
    """Absolute errors of both predictions of one job, as logarithms."""

    submitted: float
    learned: float


def choose_learned(errors: Sequence[Errors], is_learned: bool) -> bool:
    """
    Return whether the learned prediction is to be used.

    `errors` has the latest job last, and `is_learned` is whether it is in use now. It
    stays in use until it is worse than the other.
    """
    if len(errors) < LEAST_JOBS:
        return is_learned
    recent = errors[-RECENT_JOBS:]
    if is_learned:
        submitted, learned = find_medians(recent)
        return learned <= submitted
    return is_clearly_better(errors) and is_clearly_better(recent)


def is_clearly_better(errors: Sequence[Errors]) -> bool:
    """Whether the learned prediction is clearly better, and the other inadequate."""
    submitted, learned = find_medians(errors)
    submitted_mean = find_limited_mean(one.submitted for one in errors)
    learned_mean = find_limited_mean(one.learned for one in errors)
    closer = sum(one.learned < one.submitted for one in errors)
    return (
        submitted > ADEQUATE_ERROR
        and learned <= MEDIAN_SHARE * submitted
        and learned_mean <= MEAN_SHARE * submitted_mean
        and learned_mean <= submitted_mean - LEAST_GAIN
        and closer >= CLOSER_JOBS + CLOSER_SHARE * len(errors)
    )


def find_medians(errors: Sequence[Errors]) -> Errors:
    """Return the median errors of both predictions."""
    return Errors(
        statistics.median(one.submitted for one in errors),
        statistics.median(one.learned for one in errors),
    )


def find_limited_mean(errors: Iterable[float]) -> float:
    """Return the mean of some errors, each limited to `ERROR_LIMIT`."""
    return statistics.fmean(min(error, ERROR_LIMIT) for error in errors)
