"""
Choice of workers for the tasks of a unit.

Whole workers are kept whole: a task goes to the fullest worker that has room,
and a gang that should stay on one rack to the rack that it fills best.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from yuccarelay.core.batch.models import Resources, Step


class Candidate(NamedTuple):
    """
    Free room of one worker.

    `colocated` is how many tasks of the unit's step and occurrence it has already.
    `avoided` marks a worker that failed work lately, and `interferes` one where a
    filling task and a serving one would disturb each other.
    """

    agent: str
    rack: str
    labels: tuple[str, ...]
    free: Resources
    capacity: Resources
    colocated: int = 0
    avoided: bool = False
    interferes: bool = False


Placement = tuple[str, ...]


def place_tasks(
    step: Step,
    count: int,
    candidates: list[Candidate],
    spread: bool = False,
) -> Placement | None:
    """
    Return the agents for a number of tasks of a step, or None without room.

    A step that is slow away from its rack is placed there or, for a gang, on any
    one rack. Work that no rack could hold even when empty goes anywhere, and so
    does all work with `spread`.
    """
    if spread:
        healthy = [
            candidate
            for candidate in candidates
            if is_usable(step, candidate) and not candidate.avoided
        ]
        return place_tasks(step, count, candidates) or fill_candidates(
            step, count, healthy
        )
    placed = [
        (spare_after(step, count, members), placement)
        for members in group_candidates(step, count, candidates)
        if (placement := fill_candidates(step, count, members)) is not None
    ]
    return min(placed)[1] if placed else None


def is_usable(step: Step, candidate: Candidate) -> bool:
    """Whether a worker could ever hold a task of the step."""
    if step.label and step.label not in candidate.labels:
        return False
    return candidate.capacity.holds(resources_held(step))


def resources_held(step: Step) -> Resources:
    """Return the room that a task holds; filling tasks hold no processor time."""
    return step.need._replace(millicores=0) if step.best_effort else step.need


def fill_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> Placement | None:
    """Return agents for tasks, the fullest worker first, or None."""
    need = resources_held(step)
    chosen: list[str] = []
    for candidate in sorted(candidates, key=candidate_order):
        free, colocated = candidate.free, candidate.colocated
        while len(chosen) < count and free.holds(need):
            if step.per_worker and colocated >= step.per_worker:
                break
            chosen.append(candidate.agent)
            free, colocated = free.minus(need), colocated + 1
        if len(chosen) == count:
            return tuple(chosen)
    return None


def candidate_order(candidate: Candidate) -> tuple:
    """Sort the fullest worker first, and those where tasks disturb each other last."""
    return (
        candidate.interferes,
        candidate.free.accelerators,
        candidate.free.millicores,
        candidate.agent,
    )


def spare_after(step: Step, count: int, members: list[Candidate]) -> int:
    """Return the accelerators of a rack that stay free beside the tasks."""
    free = sum(candidate.free.accelerators for candidate in members)
    return free - count * step.need.accelerators


def group_racks(candidates: Iterable[Candidate]) -> Mapping[str, list[Candidate]]:
    """Return the workers of each rack."""
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.rack, []).append(candidate)
    return racks


class Victim(NamedTuple):
    """
    Work whose room a unit may use once it is gone.

    `gives` is what each worker gets back. `cost` is what speaks against it: the
    work that a stop throws away, or the time at which it ends by itself.
    """

    key: tuple
    gives: tuple[tuple[str, Resources], ...]
    cost: float


class Eviction(NamedTuple):
    """Where tasks go once the victims are gone."""

    placement: Placement
    victims: tuple[tuple, ...]
    cost: float


# The victims on each worker with what it gets back, the cheapest first.
VictimsByAgent = Mapping[str, list[tuple[Victim, Resources]]]
Combine = Callable[[Iterable[float]], float]


def add_costs(costs: Iterable[float]) -> float:
    """Return the cost of stopping all: what is thrown away adds up."""
    return sum(costs)


def latest_end(costs: Iterable[float]) -> float:
    """Return the cost of waiting for all: that of the one that ends last."""
    return max(costs, default=0.0)


def plan_eviction(
    step: Step,
    count: int,
    candidates: list[Candidate],
    victims: VictimsByAgent,
    combine: Combine = add_costs,
) -> Eviction | None:
    """
    Return a cheap set of victims that makes room for the tasks, or None.

    A gang that should stay on one rack gets the cheapest rack. The tasks are
    placed one by one, each where the victims that it needs cost least.
    """
    plans = [
        plan
        for members in group_candidates(step, count, candidates)
        if (plan := EvictionSearch(step, members, victims, combine).plan(count))
        is not None
    ]
    return min(plans, key=lambda plan: (plan.cost, plan.placement), default=None)


def group_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> list[list[Candidate]]:
    """Return the groups of workers of which one should hold all the tasks."""
    usable = [candidate for candidate in candidates if is_usable(step, candidate)]
    healthy = [candidate for candidate in usable if not candidate.avoided]
    if step.data_rack and any(candidate.rack == step.data_rack for candidate in usable):
        return [
            [candidate for candidate in healthy if candidate.rack == step.data_rack]
        ]
    if step.gang and step.same_rack:
        whole = group_racks(
            candidate._replace(free=candidate.capacity) for candidate in usable
        )
        racks = group_racks(healthy)
        able = [
            racks.get(rack, [])
            for rack, members in whole.items()
            if fill_candidates(step, count, members) is not None
        ]
        if able:
            return able
    return [healthy]


class EvictionSearch:
    """One search for the victims that make room on a group of workers."""

    def __init__(
        self,
        step: Step,
        candidates: list[Candidate],
        victims: VictimsByAgent,
        combine: Combine,
    ):
        self.step = step
        self.need = resources_held(step)
        self.candidates = {candidate.agent: candidate for candidate in candidates}
        self.free = {candidate.agent: candidate.free for candidate in candidates}
        self.colocated = {
            candidate.agent: candidate.colocated for candidate in candidates
        }
        self.combine = combine
        self.chosen: dict[tuple, Victim] = {}
        self.by_agent = victims

    def plan(self, count: int) -> Eviction | None:
        """Place a number of tasks, or return None when they do not fit."""
        options = {agent: self._find_victims(agent) for agent in self.candidates}
        placement: list[str] = []
        for _ in range(count):
            agent = self._choose(options)
            if agent is None:
                return None
            touched = {agent}
            for victim in options[agent]:
                self.chosen[victim.key] = victim
                for other, given in sum_gives(victim).items():
                    if other in self.free:
                        self.free[other] = self.free[other].plus(given)
                        touched.add(other)
            self.free[agent] = self.free[agent].minus(self.need)
            self.colocated[agent] += 1
            placement.append(agent)
            for other in touched:
                options[other] = self._find_victims(other)
        cost = self.combine(victim.cost for victim in self.chosen.values())
        return Eviction(tuple(placement), tuple(self.chosen), cost)

    def _choose(self, options: dict[str, list[Victim] | None]) -> str | None:
        """Return the worker whose victims cost least, the fullest among equals."""
        ranked = [
            (
                self.combine(victim.cost for victim in found),
                candidate_order(self.candidates[agent]._replace(free=self.free[agent])),
                agent,
            )
            for agent, found in options.items()
            if found is not None
        ]
        return min(ranked, default=(0, (), None))[2]

    def _find_victims(self, agent: str) -> list[Victim] | None:
        """Return the victims that one more task needs on a worker, or None."""
        limit = self.step.per_worker
        if limit and self.colocated[agent] >= limit:
            return None
        free = self.free[agent]
        found: list[tuple[Victim, Resources]] = []
        for victim, given in self.by_agent.get(agent, ()):
            if free.holds(self.need):
                break
            if victim.key not in self.chosen:
                found.append((victim, given))
                free = free.plus(given)
        if not free.holds(self.need):
            return None
        # Those that turn out not to be needed are spared, the dearest first.
        for victim, given in sorted(found, key=lambda one: -one[0].cost):
            if free.minus(given).holds(self.need):
                found.remove((victim, given))
                free = free.minus(given)
        return [victim for victim, _ in found]


def group_victims(victims: Iterable[Victim]) -> VictimsByAgent:
    """Return the victims by worker, the cheapest first."""
    by_agent: dict[str, list[tuple[Victim, Resources]]] = {}
    for victim in sorted(victims, key=lambda one: one.cost):
        for agent, given in sum_gives(victim).items():
            by_agent.setdefault(agent, []).append((victim, given))
    return by_agent


def sum_gives(victim: Victim) -> dict[str, Resources]:
    """Return what each worker gets back from a victim."""
    back: dict[str, Resources] = {}
    for agent, given in victim.gives:
        back[agent] = back.get(agent, Resources()).plus(given)
    return back
