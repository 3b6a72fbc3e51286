"""
Choice of workers for the tasks of a unit.

Empty workers are left empty for large tasks: a task goes to the fullest worker that
it fits on, and a gang that should stay on one rack goes to the rack with the fewest
accelerators left over.
"""

import enum
import heapq
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from yuccarelay.core.batch.models import Resources, Step


class Suspicion(enum.IntEnum):
    """
    Whether a worker is likely to fail a task, which it then gets after other workers.

    The unit has failed elsewhere, and the worker has run a task lately, but was given
    it before others began to fail what they start (OUTDATED), or has not run one lately
    (UNPROVEN). FAILED: its last run failed.
    """

    NONE = 0
    OUTDATED = 1
    UNPROVEN = 2
    FAILED = 3


class Avoidance(enum.Enum):
    """
    Why a worker takes no task of a unit; each reason ends at a deadline.

    FAILING: it was slow, or work of several jobs failed there. FAILED_BEFORE: the
    step of the unit has failed there. LAST_ATTEMPT: with one more failure the job
    fails, and the last run on the worker failed. UNPROVEN: likewise, and the worker is
    not known to run what it starts.
    """

    FAILING = 'failing'
    FAILED_BEFORE = 'failed_before'
    LAST_ATTEMPT = 'last_attempt'
    UNPROVEN = 'unproven'


class Candidate(NamedTuple):
    """
    A worker that may take a unit, with its free resources.

    `colocated` is the number of tasks of the unit's step and occurrence that run on it.
    `avoidance` is why it takes no task of the unit, and `interferes` marks one where a
    best-effort and a latency-sensitive task would run together. `outdated` marks one
    that a release will probably drain soon, `is_cold` one that is slow because it has
    started lately. `interference` is what the tasks on it and one of the unit are known
    to lose through each other, and `self_interference` what each further task of the
    unit there adds; see `InterferenceTable`. `speed_level` is the worker's speed in
    steps of a tenth, 0 if it is normal or not known; it counts if the unit
    `needs_speed`. One that `is_unstable` has crashed a short time ago.
    """

    agent: str
    rack: str
    labels: tuple[str, ...]
    free: Resources
    capacity: Resources
    colocated: int = 0
    avoidance: Avoidance | None = None
    interferes: bool = False
    outdated: bool = False
    suspicion: Suspicion = Suspicion.NONE
    is_cold: bool = False
    interference: float = 0
    self_interference: float = 0
    speed_level: int = 0
    needs_speed: bool = False
    is_unstable: bool = False

    @property
    def avoided(self) -> bool:
        """Whether the worker takes no task of the unit."""
        return self.avoidance is not None


Placement = tuple[str, ...]


def place_tasks(
    step: Step,
    count: int,
    candidates: list[Candidate],
    spread: bool = False,
) -> Placement | None:
    """
    Return the agents for a number of tasks of a step, or None if they do not fit.

    A step with a `data_rack` is placed on that rack, and a gang with `same_rack` on
    any single rack. Work without a rack that could hold it, even if empty, goes
    anywhere, and so does work with `spread` that does not fit on a suitable rack now.
    A gang takes as long as its slowest member.
    """
    fitting = [
        candidate
        for candidate in list_fitting(step, candidates)
        if not candidate.avoided and is_usable(step, candidate)
    ]
    if not has_room(step, count, fitting):
        # None of the groups is larger.
        return None
    if not needs_group(step):
        return fill_candidates(step, count, fitting)
    groups = group_candidates(step, count, candidates)
    placed = [
        (*rank_placement(step, count, members, placement), placement)
        for members in groups
        if (placement := fill_candidates(step, count, members)) is not None
    ]
    if placed:
        return min(placed)[-1]
    return fill_candidates(step, count, fitting) if spread else None


def rank_placement(
    step: Step, count: int, members: list[Candidate], placement: Placement
) -> tuple:
    """Return a sort key of a placement within a group of workers; lower is better."""
    chosen = {candidate.agent: candidate for candidate in members}
    tasks = [chosen[agent] for agent in placement]
    return (
        sum(candidate.suspicion is Suspicion.FAILED for candidate in tasks),
        sum(
            bool(
                candidate.outdated
                or candidate.suspicion
                or candidate.is_cold
                or candidate.is_unstable
            )
            for candidate in tasks
        ),
        sum(candidate.interference for candidate in tasks),
        free_accelerators_after(step, count, members),
        max(rank_speed(candidate) for candidate in tasks),
    )


def is_usable(step: Step, candidate: Candidate) -> bool:
    """Whether a worker could run a task of the step if it were empty."""
    if step.label and step.label not in candidate.labels:
        return False
    return candidate.capacity.holds(resources_held(step))


def could_hold(step: Step, count: int, candidates: list[Candidate]) -> bool:
    """Whether the workers that are not avoided could hold the tasks if empty."""
    room = 0
    for candidate in candidates:
        if room >= count:
            break
        if not candidate.avoided and is_usable(step, candidate):
            room += count_fitting(step, candidate.capacity, 0, count)
    return room >= count


def resources_held(step: Step) -> Resources:
    """Return the resources a task holds; best-effort tasks hold no millicores."""
    if not step.best_effort:
        return step.need
    return Resources(0, step.need.memory_mb, step.need.accelerators)


def fill_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> Placement | None:
    """Return agents for the tasks, the fullest workers first, or None."""
    fitting = list_fitting(step, candidates)
    if not has_room(step, count, fitting):
        return None
    if count == 1:
        return (min(fitting, key=candidate_order).agent,)
    if any(candidate.self_interference for candidate in fitting):
        return spread_over_candidates(step, count, fitting)
    chosen: list[str] = []
    for candidate in sorted(fitting, key=candidate_order):
        left = count - len(chosen)
        tasks = count_fitting(step, candidate.free, candidate.colocated, left)
        chosen += [candidate.agent] * tasks
        if len(chosen) == count:
            break
    return tuple(chosen)


def list_fitting(step: Step, candidates: list[Candidate]) -> list[Candidate]:
    """Return the workers that one more task of a step fits on."""
    need, limit = resources_held(step), step.per_worker
    return [
        candidate
        for candidate in candidates
        if candidate.free.holds(need) and not (limit and candidate.colocated >= limit)
    ]


def has_room(step: Step, count: int, candidates: list[Candidate]) -> bool:
    """Whether a number of tasks fit on some workers now."""
    room = 0
    for candidate in candidates:
        if room >= count:
            break
        room += count_fitting(step, candidate.free, candidate.colocated, count)
    return room >= count


def count_fitting(step: Step, free: Resources, colocated: int, limit: int) -> int:
    """Return how many more tasks of a step fit on a worker, at most `limit`."""
    fitting = limit
    if step.per_worker:
        fitting = min(limit, step.per_worker - colocated)
    for available, needed in zip(free, resources_held(step), strict=True):
        if available < needed:
            return 0
        if needed:
            fitting = min(fitting, available // needed)
    return max(0, fitting)


def spread_over_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> Placement | None:
    """Return agents for tasks that slow each other down, or None if they do not fit."""
    need = resources_held(step)
    order = [
        (candidate_order(candidate), candidate)
        for candidate in candidates
        if can_take(step, candidate)
    ]
    heapq.heapify(order)
    chosen: list[str] = []
    while order and len(chosen) < count:
        _, candidate = heapq.heappop(order)
        chosen.append(candidate.agent)
        candidate = candidate._replace(
            free=candidate.free.minus(need),
            colocated=candidate.colocated + 1,
            interference=candidate.interference + candidate.self_interference,
        )
        if can_take(step, candidate):
            heapq.heappush(order, (candidate_order(candidate), candidate))
    return tuple(chosen) if len(chosen) == count else None


def can_take(step: Step, candidate: Candidate) -> bool:
    """Whether one more task of a step fits on a worker."""
    if step.per_worker and candidate.colocated >= step.per_worker:
        return False
    return candidate.free.holds(resources_held(step))


def candidate_order(candidate: Candidate) -> tuple:
    """
    Return a sort key: fullest workers first, then the fastest for work that needs it.

    Workers where tasks are known to slow each other down come after the others, then
    cold ones, then those that have just crashed, then those that a release will
    probably drain soon, then those that are likely to fail, and last those with
    best-effort beside latency-sensitive tasks.
    """
    return (
        candidate.interferes,
        candidate.suspicion,
        candidate.outdated,
        candidate.is_unstable,
        candidate.is_cold,
        candidate.interference,
        candidate.free.accelerators,
        rank_speed(candidate),
        candidate.free.millicores,
        candidate.agent,
    )


def rank_speed(candidate: Candidate) -> int:
    """Return a sort key: faster workers first, equal if the unit does not need it."""
    return -candidate.speed_level if candidate.needs_speed else 0


def free_accelerators_after(step: Step, count: int, members: list[Candidate]) -> int:
    """Return the accelerators of a rack that are left free by the tasks."""
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


def needs_group(step: Step) -> bool:
    """Whether it matters on which racks the tasks of a step run."""
    return bool(step.data_rack) or (step.gang and step.same_rack)


def group_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> list[list[Candidate]]:
    """Return the groups of workers; the tasks go to one of the groups."""
    usable = [candidate for candidate in candidates if is_usable(step, candidate)]
    healthy = [candidate for candidate in usable if not candidate.avoided]
    if step.data_rack and any(candidate.rack == step.data_rack for candidate in usable):
        return [
            [candidate for candidate in healthy if candidate.rack == step.data_rack]
        ]
    if step.gang and step.same_rack:
        racks = group_racks(healthy)
        feasible = [
            racks.get(rack, [])
            for rack, members in group_racks(usable).items()
            if could_hold_beside(step, count, members)
        ]
        if feasible:
            return feasible
    return [healthy]


def could_hold_beside(step: Step, count: int, members: list[Candidate]) -> bool:
    """Whether workers without other work could hold more tasks of a step."""
    room = sum(
        count_fitting(step, candidate.capacity, candidate.colocated, count)
        for candidate in members
    )
    return room >= count


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
