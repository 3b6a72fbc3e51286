"""
Prediction of how long runs take.

Two predictors are kept for each queue: the submitted estimate times a ratio learned for
the queue, and the regression of `run_time_model`. Each job is predicted by both before
it is learned. The regression is used for a queue once it has been clearly better over
enough finished jobs, until it is no longer better.
"""

import enum
import math
import statistics
from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.models import Step
from yuccarelay.core.batch.predictor_choice import (
    RECENT_JOBS,
    Errors,
    choose_learned,
    find_medians,
)
from yuccarelay.core.batch.run_time_model import (
    GROUPS_LIMIT,
    SPREAD,
    Group,
    Line,
    Prior,
    Sums,
    fit,
    pool,
    quantile_above,
)
from yuccarelay.core.batch.worker_speeds import Machine, WorkerSpeeds

# Weight of a new observation in the moving average of the ratios.
LEARNING_RATE = 0.3
# A ratio outside these bounds comes from a straggler, not from biased estimates.
RATIO_BOUNDS = (0.3, 4.0)
DEFAULT_ESTIMATE_MS = 5_000
# The regression predicts a queue from this number of its jobs on; before that, its
# errors would be those of the other queues.
LEAST_JOBS = 2
# Predictions that are kept until the next observation of the queue.
CACHE_LIMIT = 4_096
# Queues that are kept; the one that was learned least recently is dropped.
QUEUES_LIMIT = 64
# A group with as many tasks that are done says better than the regression how long its
# others take.
KNOWN_TASKS = 3
# Spread of the work of a gang's members, as a logarithm.
MEMBERS_SPREAD = 0.2


class Quantile(enum.Enum):
    """
    Which part of the distribution a decision asks for, as a share of runs.

    MEDIAN: half of the runs take longer. HIGH: one in ten takes longer. LOW: one in ten
    is shorter.
    """

    LOW = 0.1
    MEDIAN = 0.5
    HIGH = 0.9


Z_SCORES = {
    quantile: statistics.NormalDist().inv_cdf(quantile.value) for quantile in Quantile
}


class GroupKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class Switch(NamedTuple):
    """A queue has changed its predictor; the errors are median factors off."""

    queue: str
    is_learned: bool
    jobs: int
    submitted_error: float
    learned_error: float


class Durations:
    """Ratio of observed to estimated durations for each queue."""

    def __init__(self):
        self.ratios: dict[str, float] = {}

    def learn(self, queue: str, estimated_ms: int, observed_ms: int) -> None:
        """Update the ratio of a queue with an observed duration."""
        if estimated_ms <= 0:
            return
        low, high = RATIO_BOUNDS
        ratio = min(high, max(low, observed_ms / estimated_ms))
        known = self.ratios.get(queue, 1.0)
        self.ratios[queue] = known + LEARNING_RATE * (ratio - known)

    def estimate_ms(self, queue: str, estimated_ms: int) -> float:
        """Return the expected duration of a task."""
        return (estimated_ms or DEFAULT_ESTIMATE_MS) * self.ratios.get(queue, 1.0)


@dataclass(slots=True)
class QueueTimes:
    """
    What is known of a queue: its latest groups, oldest first, and their regression.

    `line` is None until it is computed again after an observation; `predictions` are
    those made with it.
    """

    groups: dict[GroupKey, Group] = field(default_factory=dict)
    is_learned: bool = False
    line: Line | None = None
    sums: Sums | None = None
    predictions: dict[tuple, float] = field(default_factory=dict)


class RunTimes:
    """The predictors of all queues."""

    def __init__(self):
        self.durations = Durations()
        self.queues: dict[str, QueueTimes] = {}
        self.speeds = WorkerSpeeds()
        # Whether anything was learned since the state was last handed on.
        self.has_changed = False

    def total_ms(
        self,
        queue: str,
        step: Step,
        quantile: Quantile,
        machine: Machine | None = None,
    ) -> float:
        """
        Return a quantile of the duration of a run, from its start.

        Without a machine it is that on a worker of normal speed.
        """
        times = self.queues.get(queue)
        if times is None or not times.is_learned:
            return self.durations.estimate_ms(queue, step.estimated_ms)
        key = (step.estimated_ms, step.image, quantile)
        found = times.predictions.get(key)
        if found is None:
            if len(times.predictions) >= CACHE_LIMIT:
                times.predictions.clear()
            found = self.learned_ms(queue, step, quantile)
            times.predictions[key] = found
        return found / self.find_speed(machine)

    def remaining_ms(
        self,
        queue: str,
        step: Step,
        ran_ms: int,
        quantile: Quantile,
        machine: Machine | None = None,
    ) -> float:
        """Return a quantile of the time that a run still takes."""
        times = self.queues.get(queue)
        if times is None or not times.is_learned or ran_ms <= 0:
            return max(self.total_ms(queue, step, quantile, machine) - ran_ms, 0)
        speed = self.find_speed(machine)
        done_ms = ran_ms * speed
        line = self._find_line(queue, times)
        submitted = log_or_none(step.estimated_ms)
        end = quantile_above(
            line.mean(submitted, step.image),
            line.deviation(submitted),
            math.log(done_ms),
            quantile.value,
        )
        return (math.exp(end) - done_ms) / speed

    def find_speed(self, machine: Machine | None) -> float:
        """Return a worker's speed relative to normal, 1.0 if nothing is known."""
        return 1.0 if machine is None else math.exp(self.speeds.find(machine))

    def learned_ms(self, queue: str, step: Step, quantile: Quantile) -> float:
        """Return what the regression says, also where it is not used."""
        line = self._find_line(queue, self.queues.get(queue) or QueueTimes())
        submitted = log_or_none(step.estimated_ms)
        return math.exp(line.quantile(submitted, step.image, Z_SCORES[quantile]))

    def learn_done(
        self,
        queue: str,
        key: GroupKey,
        step: Step,
        ran_ms: int,
        machine: Machine | None = None,
        *,
        is_whole: bool,
    ) -> Switch | None:
        """
        Learn from a run that was done; return whether the queue changes its predictor.

        With `is_whole` the run saved no checkpoint; the ratio is learned from these
        only.
        """
        switch = None
        self.has_changed = True
        if ran_ms > 0:
            group = self._find_group(queue, key, step)
            ran = math.log(ran_ms)
            if machine is not None:
                self._learn_speed(queue, group, ran, machine)
                ran += self.speeds.find(machine)
            if group.add(ran):
                self._note_observation(queue)
            switch = self._compare(queue)
        if is_whole:
            self.durations.learn(queue, step.estimated_ms, ran_ms)
        return switch

    def _learn_speed(
        self, queue: str, group: Group, ran: float, machine: Machine
    ) -> None:
        """
        Learn the speed of a worker from a task, against the others of its step.

        All members of a gang take as long as the slowest, so their times say nothing.
        """
        if group.is_gang:
            return
        if group.count >= KNOWN_TASKS:
            self.speeds.learn(machine, group.centre, ran, group.spread)
        elif group.learned_guess is not None:
            sums = self.queues[queue].sums
            noise = sums.spread if sums is not None else SPREAD
            self.speeds.learn(machine, group.learned_guess, ran, noise)

    def learn_side_by_side(self, projected_ms: list[tuple[Machine, float]]) -> None:
        """Learn speeds from runs of equal work, by the times that they would take."""
        if len(projected_ms) < KNOWN_TASKS:
            return
        times = [math.log(ran_ms) for _, ran_ms in projected_ms]
        centre = statistics.median(times)
        for (machine, _), ran in zip(projected_ms, times, strict=True):
            self.speeds.learn(machine, centre, ran, MEMBERS_SPREAD)
        self.has_changed = True

    def learn_stopped(
        self,
        queue: str,
        key: GroupKey,
        step: Step,
        ran_ms: int,
        machine: Machine | None = None,
    ) -> None:
        """Learn from a run that was stopped after some time: it takes at least that."""
        if ran_ms <= 0:
            return
        times = self.queues.get(queue)
        group = times.groups.get(key) if times else None
        if group is not None and group.count:
            # Its other tasks show how long it takes.
            return
        group = self._find_group(queue, key, step)
        bound = math.log(ran_ms)
        if machine is not None:
            bound += self.speeds.find(machine)
        if group.at_least is None or bound > group.at_least:
            group.at_least = bound
            self._note_observation(queue)

    def _find_group(self, queue: str, key: GroupKey, step: Step) -> Group:
        """Return the group of a step; a new one is predicted by both predictors."""
        times = self.queues.pop(queue, None) or QueueTimes()
        self.queues[queue] = times
        while len(self.queues) > QUEUES_LIMIT:
            del self.queues[next(iter(self.queues))]
        group = times.groups.get(key)
        if group is None:
            submitted = log_or_none(step.estimated_ms)
            group = Group(submitted, step.image, step.gang)
            if sum(one.count > 0 for one in times.groups.values()) >= LEAST_JOBS:
                today_ms = self.durations.estimate_ms(queue, step.estimated_ms)
                group.submitted_guess = math.log(today_ms)
                line = self._find_line(queue, times)
                group.learned_guess = line.mean(submitted, step.image)
            times.groups[key] = group
            while len(times.groups) > GROUPS_LIMIT:
                del times.groups[next(iter(times.groups))]
        return group

    def _note_observation(self, queue: str) -> None:
        times = self.queues[queue]
        times.line = None
        times.predictions.clear()

    def _find_line(self, queue: str, times: QueueTimes) -> Line:
        if times.line is None:
            prior = self._find_prior(queue)
            groups = list(times.groups.values())
            default = math.log(DEFAULT_ESTIMATE_MS)
            times.line, times.sums = fit(groups, prior, default)
        return times.line

    def _find_prior(self, queue: str) -> Prior:
        return pool(
            [
                times.sums
                for name, times in self.queues.items()
                if name != queue and times.sums is not None and times.sums.jobs
            ]
        )

    def _compare(self, queue: str) -> Switch | None:
        """Choose the predictor of a queue by the errors of both on its last jobs."""
        times = self.queues[queue]
        errors = list_errors(times)
        is_learned = choose_learned(errors, times.is_learned)
        if is_learned is times.is_learned:
            return None
        times.is_learned = is_learned
        submitted, learned = find_medians(errors[-RECENT_JOBS:])
        return Switch(
            queue, is_learned, len(errors), math.exp(submitted), math.exp(learned)
        )


def list_errors(times: QueueTimes) -> list[Errors]:
    """Return the errors of both predictors on a queue's jobs, as logarithms."""
    return [
        Errors(
            abs(group.centre - group.submitted_guess),
            abs(group.centre - group.learned_guess),
        )
        for group in times.groups.values()
        if group.count and group.learned_guess is not None
    ]


def log_or_none(submitted_ms: int) -> float | None:
    """Return the logarithm of an estimate, or None if none was submitted."""
    return math.log(submitted_ms) if submitted_ms > 0 else None
