"""
Speeds of workers, learned from how long their runs took against what was expected.

A worker may be some 20 % slower or faster than normal, often with all of its kind. A
single run says little, because run times differ more than that, so a worker begins at
the speed of its kind and departs from it slowly. Speeds are logarithms here: 0 is the
mean of the runs, and a positive one is fast. Without that reference, slow workers and
long work could not be told apart, and both would drift.
"""

import math
from typing import NamedTuple

# Spread of the speeds of kinds and of workers of one kind. Speeds are 0.8 to 1.25.
KIND_SPREAD = 0.15
WORKER_SPREAD = 0.15
# A run is never believed to be more precise than this.
LEAST_NOISE = 0.15
# A straggler takes seven times as long; it counts as this much slower.
RESIDUAL_LIMIT = 0.5
# What was observed loses this share of its weight with each run, so that a worker whose
# speed changes is followed within some 30 runs.
FORGETTING = 0.97
KIND_FORGETTING = 0.99
MEAN_FORGETTING = 0.998
SPEED_LIMIT = math.log(1.5)
# Differences below the error of a few observations should not decide a placement.
SPEED_STEP = 0.1
# Workers and kinds that are kept; the one observed least recently is dropped.
WORKERS_LIMIT = 2_000
KINDS_LIMIT = 100


class Machine(NamedTuple):
    """A worker by its agent, and its kind: the labels that are not of a place."""

    agent: str
    kind: str = ''


class Evidence(NamedTuple):
    """Weighted sum of the speeds that were observed, and the weight."""

    weight: float = 0.0
    total: float = 0.0

    def add(self, value: float, weight: float, forgetting: float) -> 'Evidence':
        """Return the evidence with another observation."""
        return Evidence(
            forgetting * self.weight + weight, forgetting * self.total + weight * value
        )

    def mean(self, prior: float, spread: float) -> float:
        """Return the mean with a prior of some spread."""
        share = 1 / spread**2
        return (self.total + share * prior) / (self.weight + share)


class WorkerSpeeds:
    """What is known of the speeds of workers and of their kinds."""

    def __init__(self):
        self.workers: dict[str, Evidence] = {}
        self.kinds: dict[str, Evidence] = {}
        self.all_runs = Evidence()
        # Speeds that were asked for since the last observation; a pass asks for each
        # worker with each unit.
        self.found: dict[Machine, float] = {}

    def restore(self, workers: dict[str, Evidence], kinds: dict[str, Evidence]) -> None:
        """Take over what an earlier planner has learned."""
        self.workers.update(workers)
        self.kinds.update(kinds)
        self.found.clear()

    def find(self, machine: Machine) -> float:
        """Return the logarithm of a worker's speed, 0 if nothing is known of it."""
        found = self.found.get(machine)
        if found is None:
            if len(self.found) >= WORKERS_LIMIT:
                self.found.clear()
            found = self.found[machine] = self._compute(machine)
        return found

    def _compute(self, machine: Machine) -> float:
        kind = self.kinds.get(machine.kind)
        speed = kind.mean(0.0, KIND_SPREAD) if kind else 0.0
        worker = self.workers.get(machine.agent)
        if worker is not None:
            speed = worker.mean(speed, WORKER_SPREAD)
        return max(-SPEED_LIMIT, min(SPEED_LIMIT, speed))

    def find_level(self, machine: Machine) -> int:
        """Return a worker's speed in steps of `SPEED_STEP`, 0 if it is normal."""
        return round(self.find(machine) / SPEED_STEP)

    def learn(self, machine: Machine, expected: float, ran: float, noise: float):
        """
        Learn from a run: the logarithms of its expected and of its actual time.

        `expected` is on a worker of normal speed, and `noise` the spread of run times
        around it.
        """
        self.found.clear()
        speed = max(-RESIDUAL_LIMIT, min(RESIDUAL_LIMIT, expected - ran))
        weight = 1 / max(LEAST_NOISE, noise) ** 2
        self.all_runs = self.all_runs.add(speed, weight, MEAN_FORGETTING)
        speed -= self.all_runs.mean(0.0, KIND_SPREAD)
        worker = self.workers.pop(machine.agent, Evidence())
        self.workers[machine.agent] = worker.add(speed, weight, FORGETTING)
        if len(self.workers) > WORKERS_LIMIT:
            del self.workers[next(iter(self.workers))]
        kind = self.kinds.pop(machine.kind, Evidence())
        self.kinds[machine.kind] = kind.add(speed, weight, KIND_FORGETTING)
        if len(self.kinds) > KINDS_LIMIT:
            del self.kinds[next(iter(self.kinds))]
