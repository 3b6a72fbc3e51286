"""
Order in which waiting units are placed.

Work within its organisation's guarantee comes first. Then come jobs that are still
of use, by priority, by whether they can meet their objective and by the time left.
The remaining jobs follow, oldest first, so that none starves. A long-running task is
of use at any age of its job, so its rank follows from how long it has been away.
"""

from typing import NamedTuple

from yuccarelay.core.batch.entities import JobPlan
from yuccarelay.core.batch.models import Job, Queue
from yuccarelay.core.batch.run_times import Quantile, RunTimes

# A job that takes longer than this multiple of its objective is of no use.
LATE_FACTOR = 3


def remaining_chains_ms(job: Job, run_times: RunTimes) -> list[float]:
    """
    Return for each step the longest chain among it and those after it in the list.

    The last element is 0. Linear in the steps, because a legal job has thousands.
    """
    longest = [0.0] * len(job.steps)
    remaining = [0.0] * (len(job.steps) + 1)
    for number in reversed(range(len(job.steps))):
        step = job.steps[number]
        longest[number] += run_times.total_ms(job.queue, step, Quantile.MEDIAN)
        for earlier in step.after:
            longest[earlier] = max(longest[earlier], longest[number])
        remaining[number] = max(longest[number], remaining[number + 1])
    return remaining


class Rank(NamedTuple):
    """
    Sort key of a unit; lower comes first.

    `late` means that the job cannot meet its objective any more, and `useless` that
    it cannot complete within `LATE_FACTOR` times its objective either.
    """

    not_entitled: bool
    useless: bool
    priority: int
    late: bool
    start_by_ms: float


def rank_unit(
    plan: JobPlan,
    queue: Queue,
    step: int,
    due_ms: int,
    entitled: bool,
    chains_ms: list[float],
    now_ms: int,
) -> Rank:
    """
    Return the rank of a unit whose job or occurrence was due at `due_ms`.

    `chains_ms` are the remaining chains of the job's steps.
    """
    start_by = find_start_by_ms(queue, step, due_ms, chains_ms)
    useful_start_by = find_start_by_ms(queue, step, due_ms, chains_ms, LATE_FACTOR)
    if now_ms <= start_by:
        return Rank(not entitled, False, queue.priority, False, start_by)
    if now_ms <= useful_start_by:
        return Rank(not entitled, False, queue.priority, True, useful_start_by)
    return Rank(not entitled, True, 0, True, due_ms)


def find_start_by_ms(
    queue: Queue,
    step: int,
    due_ms: int,
    chains_ms: list[float],
    multiple: int = 1,
) -> float:
    """Return the latest start of a step that meets a multiple of the objective."""
    objective = queue.slack_factor * chains_ms[0] + queue.objective_ms
    return due_ms + multiple * objective - chains_ms[step]


def is_tight(rank: Rank, remaining_ms: float, now_ms: int) -> bool:
    """
    Whether a unit's start may be put off by less than what remains of its job takes.

    Such a unit misses its objective on a slow worker. One that is of no use any more
    has nothing to miss.
    """
    return not rank.useless and rank.start_by_ms - now_ms < remaining_ms


def rank_long_running(queue: Queue, entitled: bool, since_ms: int) -> Rank:
    """Return the rank of a long-running task that could start since `since_ms`."""
    start_by_ms = since_ms + queue.objective_ms
    return Rank(not entitled, False, queue.priority, False, start_by_ms)
