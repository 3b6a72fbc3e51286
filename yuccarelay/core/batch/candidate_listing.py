"""
Workers as they look to units, built once for all units of a pass that see them alike.

Building a candidate of each worker for each waiting unit took most of a pass.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from yuccarelay.core.batch.entities import Unit, WorkerView
from yuccarelay.core.batch.models import Queue, Resources
from yuccarelay.core.batch.neighbours import (
    find_kind,
    find_run_kind,
    sum_interference,
)
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import Avoidance, Candidate, Suspicion

# More than the tasks of any unit.
UNLIMITED = 1_000_000


class UnitTraits(NamedTuple):
    """
    What decides how workers look to a unit, but for what has happened to its own step.

    `kind` is set if the runs beside it count.
    """

    service: str
    needs_speed: bool
    has_failed: bool
    is_last_attempt: bool
    kind: str = ''
    is_best_effort: bool = False
    is_latency_sensitive: bool = False


class Listing:
    """
    The candidates of one `UnitTraits`, in the order of the workers.

    `changes_seen` is how many changes of workers in the pass they account for.
    """

    def __init__(self, candidates: list[Candidate], changes_seen: int):
        self.candidates = candidates
        self.changes_seen = changes_seen
        self.positions = {
            candidate.agent: position for position, candidate in enumerate(candidates)
        }


class Slots:
    """
    How many tasks with some need fit beside the runs of the workers of a service.

    What keeps a unit off a worker does not count here, so this is an upper bound.
    """

    def __init__(self, need: Resources, agents: Iterable[str]):
        self.need = need
        self.by_agent = dict.fromkeys(agents, 0)
        self.total = 0
        self.changes_seen = 0

    def update(self, agents: Iterable[str], free: Mapping[str, Resources]) -> None:
        """Count again on some workers."""
        for agent in agents:
            if agent in self.by_agent:
                slots = count_slots(free[agent], self.need)
                self.total += slots - self.by_agent[agent]
                self.by_agent[agent] = slots


def count_slots(free: Resources, need: Resources) -> int:
    """Return how many tasks fit into free resources, `UNLIMITED` if they need none."""
    if not free.holds(need):
        return 0
    return min(
        (have // one for have, one in zip(free, need, strict=True) if one > 0),
        default=UNLIMITED,
    )


def find_traits(
    planner_state: PlannerState, unit: Unit, queue: Queue, *, needs_speed: bool
) -> UnitTraits:
    """Return what decides how the workers look to a unit."""
    plan = planner_state.plans[unit.job]
    step = plan.job.steps[unit.step]
    failures = max(plan.task(task).failures for task in unit.tasks)
    has_class = step.best_effort or bool(step.target_ms)
    return UnitTraits(
        service=queue.service,
        needs_speed=needs_speed,
        has_failed=failures > 0,
        # One more failure would end the job.
        is_last_attempt=0 < queue.max_attempts - 1 <= failures,
        kind=find_kind(plan, step)
        if has_class or planner_state.interference.known
        else '',
        is_best_effort=step.best_effort,
        is_latency_sensitive=bool(step.target_ms),
    )


def mark_own_step(
    planner_state: PlannerState, unit: Unit, listing: Listing
) -> list[Candidate]:
    """
    Return the candidates of a listing with what has happened to the step of a unit.

    Other candidates are shared by the units of all jobs.
    """
    candidates = list(listing.candidates)
    plan = planner_state.plans[unit.job]
    if plan.job.steps[unit.step].per_worker:
        colocated = Counter(
            run.worker.agent for run in plan.runs.values() if run.task[1:3] == unit[1:3]
        )
        for agent, count in colocated.items():
            position = listing.positions.get(agent)
            if position is not None:
                candidates[position] = candidates[position]._replace(colocated=count)
    for worker, until_ms in plan.failed_on.get(unit[1:3], {}).items():
        position = listing.positions.get(worker.agent)
        if position is None or candidates[position].avoided:
            continue
        is_same = planner_state.workers[worker.agent].id == worker
        if is_same and planner_state.now.ms < until_ms:
            candidates[position] = candidates[position]._replace(
                avoidance=Avoidance.FAILED_BEFORE
            )
    return candidates


class CandidateMaker:
    """Builds the candidates of workers for units; what holds for all units, once."""

    def __init__(self, planner_state: PlannerState, cutoffs_ms: dict[str, int]):
        self.planner_state = planner_state
        # Workers born before these times are outdated, by service.
        self.cutoffs_ms = cutoffs_ms
        self.speed_levels: dict[str, int] = {}

    def make(self, traits: UnitTraits, view: WorkerView, free: Resources) -> Candidate:
        """Return a worker as it looks to units with some traits."""
        planner_state, info = self.planner_state, view.info
        interference = self_interference = 0.0
        if planner_state.interference.known:
            table, kind = planner_state.interference, traits.kind
            others = [find_run_kind(planner_state, run) for run in view.runs.values()]
            interference = sum_interference(table, kind, others)
            self_interference = sum_interference(table, kind, [kind])
        return Candidate(
            view.agent,
            info.rack,
            info.labels,
            free,
            info.capacity,
            0,
            self._find_avoidance(traits, view),
            self._would_interfere(traits, view),
            view.id.born_ms < self.cutoffs_ms[info.service],
            self._find_suspicion(traits, view),
            self._is_cold(view),
            interference,
            self_interference,
            self._find_speed_level(view),
            traits.needs_speed,
            planner_state.now.ms < view.unstable_until_ms,
        )

    def _find_speed_level(self, view: WorkerView) -> int:
        level = self.speed_levels.get(view.agent)
        if level is None:
            speeds = self.planner_state.run_times.speeds
            level = self.speed_levels[view.agent] = speeds.find_level(view.machine())
        return level

    def _find_avoidance(self, traits: UnitTraits, view: WorkerView) -> Avoidance | None:
        """Return why a worker takes no task of a unit, or None if it may."""
        now_ms = self.planner_state.now.ms
        if now_ms < view.avoid_until_ms:
            return Avoidance.FAILING
        if traits.is_last_attempt and now_ms < view.suspect_until_ms:
            return Avoidance.LAST_ATTEMPT
        return None

    def _find_suspicion(self, traits: UnitTraits, view: WorkerView) -> Suspicion:
        """
        Return whether a worker is likely to fail a task of a unit.

        After a failure a unit goes to workers that are known to run tasks, because
        several workers often begin to fail at the same time.
        """
        now_ms = self.planner_state.now.ms
        if now_ms < view.suspect_until_ms:
            return Suspicion.FAILED
        if traits.has_failed and now_ms >= view.proven_until_ms:
            return Suspicion.UNPROVEN
        if traits.has_failed and not self.planner_state.starts_tasks(view):
            return Suspicion.OUTDATED
        return Suspicion.NONE

    def _is_cold(self, view: WorkerView) -> bool:
        """Whether a worker is slow because it has started lately."""
        planner_state = self.planner_state
        return (
            planner_state.evacuated.is_followed
            and planner_state.now.ms < view.cold_until_ms
        )

    def _would_interfere(self, traits: UnitTraits, view: WorkerView) -> bool:
        """
        Whether latency-sensitive and best-effort tasks would share the worker.

        Those that are known to tolerate each other do not count.
        """
        if not (traits.is_best_effort or traits.is_latency_sensitive):
            return False
        planner_state = self.planner_state
        table, now_ms = planner_state.interference, planner_state.now.ms
        for run in view.runs.values():
            other = planner_state.plans[run.task.job].step(run.task)
            other_kind = find_run_kind(planner_state, run)
            if traits.is_best_effort and other.target_ms:
                pair = (other_kind, traits.kind)
            elif not traits.is_best_effort and other.best_effort:
                pair = (traits.kind, other_kind)
            else:
                continue
            if not table.is_tolerated(*pair, now_ms):
                return True
        return False
