"""
Choice of workers for the tasks of a unit.

Empty workers are left empty for large tasks: a task goes to the fullest worker that
it fits on, and a gang that should stay on one rack goes to the rack with the fewest
accelerators left over.
"""

import enum
import heapq
from collections.abc import Iterable, Mapping
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

    @property
    def is_doubtful(self) -> bool:
        """Whether the worker is likely to fail, to drain or to be slow."""
        return bool(self.suspicion or self.outdated or self.is_cold or self.is_unstable)


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
        sum(candidate.is_doubtful for candidate in tasks),
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


def needs_group(step: Step) -> bool:
    """Whether it matters on which racks the tasks of a step run."""
    return bool(step.data_rack) or (step.gang and step.same_rack)


def group_candidates(
    step: Step, count: int, candidates: list[Candidate]
) -> list[list[Candidate]]:
    """Return the groups of workers; the tasks go to one of the groups."""
    groups = group_suitable(step, count, candidates)
    if groups is not None:
        return groups
    return [
        [
            candidate
            for candidate in candidates
            if is_usable(step, candidate) and not candidate.avoided
        ]
    ]


def group_suitable(
    step: Step, count: int, candidates: list[Candidate]
) -> list[list[Candidate]] | None:
    """Return the workers of each suitable rack; None if none could hold the tasks."""
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
    return None


def could_hold_beside(step: Step, count: int, members: list[Candidate]) -> bool:
    """Whether workers without other work could hold more tasks of a step."""
    room = sum(
        count_fitting(step, candidate.capacity, candidate.colocated, count)
        for candidate in members
    )
    return room >= count
