"""
Search for the work that has to end before the tasks of a unit fit.

That work is stopped for the unit, or the unit waits for it to end by itself.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from yuccarelay.core.batch.models import Resources, Step
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Placement,
    Suspicion,
    candidate_order,
    count_fitting,
    group_candidates,
    is_usable,
    needs_group,
    resources_held,
)


class Victim(NamedTuple):
    """
    Work whose resources a unit may use once it has ended.

    `freed` lists the resources that become free on each worker. `cost` is the work
    that a stop would lose, or the time at which the victim ends by itself.
    """

    key: tuple
    freed: tuple[tuple[str, Resources], ...]
    cost: float


class Eviction(NamedTuple):
    """Placement of tasks once the victims have ended, and the cost of that."""

    placement: Placement
    victims: tuple[tuple, ...]
    cost: float


class VictimsByAgent(NamedTuple):
    """
    The victims on each worker with the resources they free there, cheapest first.

    `totals` has what all victims on a worker free together.
    """

    listed: Mapping[str, list[tuple[Victim, Resources]]]
    totals: Mapping[str, Resources]


Combine = Callable[[Iterable[float]], float]


def add_costs(costs: Iterable[float]) -> float:
    """Return the cost of stopping all victims: the sum of the lost work."""
    return sum(costs)


def latest_end(costs: Iterable[float]) -> float:
    """Return the cost of waiting for all victims: the time the last one ends."""
    return max(costs, default=0.0)


def plan_eviction(
    step: Step,
    count: int,
    candidates: list[Candidate],
    victims: VictimsByAgent,
    combine: Combine = add_costs,
) -> Eviction | None:
    """
    Return a low-cost set of victims that lets the tasks fit, or None.

    A gang that should stay on one rack gets the cheapest rack. The search is greedy:
    the tasks are placed one by one, each where the victims it needs cost least. Workers
    that have failed their last run come last: they are empty and would cost nothing,
    but all that is lost for the others would be lost in vain.
    """
    reachable = list_reachable(step, count, candidates, victims.totals)
    if not reachable:
        return None
    groups = [reachable]
    if needs_group(step):
        agents = {candidate.agent for candidate in reachable}
        groups = [
            [candidate for candidate in members if candidate.agent in agents]
            for members in group_candidates(step, count, candidates)
        ]
    plans = [
        plan
        for members in groups
        if (plan := EvictionSearch(step, members, victims, combine).plan(count))
        is not None
    ]
    if len(plans) < 2:
        return plans[0] if plans else None
    failing = {
        candidate.agent
        for candidate in reachable
        if candidate.suspicion is Suspicion.FAILED
    }
    return min(
        plans,
        key=lambda plan: (
            sum(agent in failing for agent in plan.placement),
            plan.cost,
            plan.placement,
        ),
    )


def list_reachable(
    step: Step,
    count: int,
    candidates: list[Candidate],
    freed: Mapping[str, Resources],
) -> list[Candidate]:
    """
    Return the workers that could hold a task once all victims have ended.

    There are none if these could not hold all tasks together. It takes a sum for each
    worker, and most units that wait on a full fleet need no search after it.
    """
    need, found, room = resources_held(step), [], 0
    for candidate in candidates:
        if candidate.avoided or not is_usable(step, candidate):
            continue
        free = candidate.free
        if candidate.agent in freed:
            free = free.plus(freed[candidate.agent])
        if free.holds(need):
            found.append(candidate)
            room += count_fitting(step, free, candidate.colocated, count)
    return found if room >= count else []


class EvictionSearch:
    """A search for victims on a group of workers."""

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
        self.by_agent = victims.listed

    def plan(self, count: int) -> Eviction | None:
        """Place a number of tasks, or return None if they do not fit."""
        options: dict[str, list[Victim]] = {}
        ranks: dict[str, tuple] = {}
        self._rank(self.candidates, options, ranks)
        placement: list[str] = []
        for _ in range(count):
            if not ranks:
                return None
            agent = min(ranks.values())[-1]
            touched = {agent}
            for victim in options[agent]:
                self.chosen[victim.key] = victim
                for other, resources in sum_freed(victim).items():
                    if other in self.free:
                        self.free[other] = self.free[other].plus(resources)
                        touched.add(other)
            self.free[agent] = self.free[agent].minus(self.need)
            self.colocated[agent] += 1
            placement.append(agent)
            self._rank(touched, options, ranks)
        cost = self.combine(victim.cost for victim in self.chosen.values())
        return Eviction(tuple(placement), tuple(self.chosen), cost)

    def _rank(
        self,
        agents: Iterable[str],
        options: dict[str, list[Victim]],
        ranks: dict[str, tuple],
    ) -> None:
        """
        Update the victims that one more task needs on some workers, and their ranks.

        The worker whose victims cost least has the lowest rank, the fullest among
        equals, and those that have failed their last run come after the others. Workers
        on which the task does not fit have none.
        """
        for agent in agents:
            found = self._find_victims(agent)
            if found is None:
                options.pop(agent, None)
                ranks.pop(agent, None)
                continue
            options[agent] = found
            candidate = self.candidates[agent]
            if self.free[agent] is not candidate.free:
                candidate = candidate._replace(free=self.free[agent])
            ranks[agent] = (
                candidate.suspicion is Suspicion.FAILED,
                self.combine([victim.cost for victim in found]),
                candidate_order(candidate),
                agent,
            )

    def _find_victims(self, agent: str) -> list[Victim] | None:
        """Return the victims that one more task needs on a worker, or None."""
        limit = self.step.per_worker
        if limit and self.colocated[agent] >= limit:
            return None
        free = self.free[agent]
        if free.holds(self.need):
            return []
        found: list[tuple[Victim, Resources]] = []
        for victim, resources in self.by_agent.get(agent, ()):
            if victim.key not in self.chosen:
                found.append((victim, resources))
                free = free.plus(resources)
                if free.holds(self.need):
                    break
        else:
            return None
        if len(found) == 1:
            return [found[0][0]]
        # Leave out victims that are not needed after all, the most expensive first.
        for victim, resources in sorted(found, key=lambda item: -item[0].cost):
            if free.minus(resources).holds(self.need):
                found.remove((victim, resources))
                free = free.minus(resources)
        return [victim for victim, _ in found]


def group_victims(victims: Iterable[Victim]) -> VictimsByAgent:
    """Return the victims on each worker, the cheapest first."""
    listed: dict[str, list[tuple[Victim, Resources]]] = {}
    totals: dict[str, Resources] = {}
    for victim in sorted(victims, key=lambda item: item.cost):
        freed = victim.freed
        if len(freed) > 1:
            freed = sum_freed(victim).items()
        for agent, resources in freed:
            listed.setdefault(agent, []).append((victim, resources))
            known = totals.get(agent)
            totals[agent] = resources if known is None else known.plus(resources)
    return VictimsByAgent(listed, totals)


def sum_freed_by(victims: VictimsByAgent, cost: float) -> Mapping[str, Resources]:
    """Return what the victims of at most some cost free together on each worker."""
    totals: dict[str, Resources] = {}
    for agent, listed in victims.listed.items():
        total = Resources()
        for victim, resources in listed:
            if victim.cost > cost:
                break
            total = total.plus(resources)
        totals[agent] = total
    return totals


def sum_freed(victim: Victim) -> Mapping[str, Resources]:
    """Return the resources that a victim frees on each worker."""
    by_agent: dict[str, Resources] = {}
    for agent, resources in victim.freed:
        known = by_agent.get(agent)
        by_agent[agent] = resources if known is None else known.plus(resources)
    return by_agent
