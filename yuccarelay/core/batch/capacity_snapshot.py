"""What one pass of scheduling knows of the room on the workers."""

from collections.abc import Iterable

from yuccarelay.core.batch.entities import Reservation, Unit, WorkerView
from yuccarelay.core.batch.models import Queue, Resources, Step
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Victim,
    VictimsByAgent,
    group_victims,
)


class CapacitySnapshot:
    """
    Free room of the open workers, kept in step with what the pass decides.

    Runs, reservations and earmarks hold room. Computing it for each unit again
    would take most of a pass on large fleets.
    """

    def __init__(self, planner_state: PlannerState, entitled: set[str]):
        self.planner_state = planner_state
        self.entitled = entitled
        self.advance_reservations: list[Reservation] = []
        self.open: dict[str, list[WorkerView]] = {}
        self.free: dict[str, Resources] = {}
        for view in planner_state.workers.values():
            if is_open(view):
                self.open.setdefault(view.info.service, []).append(view)
                self.free[view.agent] = view.info.capacity.minus(view.used())
        for reservation in planner_state.reserved.values():
            self._hold(reservation)
        self.ends: VictimsByAgent | None = None

    def list_candidates(self, unit: Unit, queue: Queue) -> list[Candidate]:
        """Return the rooms of the workers that may take a unit."""
        planner_state = self.planner_state
        plan = planner_state.plans[unit.job]
        failed_on = plan.failed_on.get(unit[1:3], frozenset())
        step = plan.job.steps[unit.step]
        own = planner_state.reserved.get(tuple(unit))
        candidates = []
        for view in self.open.get(queue.service, ()):
            free = self.free[view.agent]
            if own is not None:
                for _ in range(own.placement.count(view.agent)):
                    free = free.plus(own.need)
            colocated = 0
            if step.per_worker:
                colocated = sum(run.task[:3] == unit[:3] for run in view.runs.values())
            avoided = (
                planner_state.now.ms < view.avoid_until_ms or view.agent in failed_on
            )
            info = view.info
            candidates.append(
                Candidate(
                    view.agent,
                    info.rack,
                    info.labels,
                    free,
                    info.capacity,
                    colocated,
                    avoided,
                    self._would_interfere(step, view),
                ),
            )
        if all(candidate.avoided for candidate in candidates):
            # A fault that all workers share must not stop everything.
            return [candidate._replace(avoided=False) for candidate in candidates]
        return candidates

    def _would_interfere(self, step: Step, view: WorkerView) -> bool:
        """Whether a serving and a filling task would be on one worker."""
        if not (step.best_effort or step.target_ms):
            return False
        others = [
            self.planner_state.plans[run.task.job].step(run.task)
            for run in view.runs.values()
        ]
        if step.best_effort:
            return any(other.target_ms for other in others)
        return any(other.best_effort for other in others)

    def refresh(self, agents: Iterable[str]) -> None:
        """Count the room of some workers again after a decision."""
        for agent in set(agents) & self.free.keys():
            view = self.planner_state.workers[agent]
            free = view.info.capacity.minus(view.used())
            for holding in (
                *self.planner_state.reserved.values(),
                *self.advance_reservations,
            ):
                for _ in range(holding.placement.count(agent)):
                    free = free.minus(holding.need)
            self.free[agent] = free

    def advance_reservation(self, advance_reservation: Reservation) -> None:
        """Keep room from the units that come later in the pass."""
        self.advance_reservations.append(advance_reservation)
        self._hold(advance_reservation)

    def _hold(self, holding: Reservation) -> None:
        for agent in holding.placement:
            if agent in self.free:
                self.free[agent] = self.free[agent].minus(holding.need)

    def list_expected_ends(self) -> VictimsByAgent:
        """Return the runs with the times at which they should end."""
        if self.ends is None:
            self.ends = group_victims(
                Victim(
                    key=tuple(run.task),
                    gives=((run.worker.agent, run.need),),
                    cost=self.planner_state.expected_end_ms(run),
                )
                for view in self.planner_state.workers.values()
                for run in view.runs.values()
            )
        return self.ends


def is_open(view: WorkerView) -> bool:
    """Whether a worker takes new work."""
    info = view.info
    return (
        info is not None
        and view.read_ms > 0
        and view.basis is not None
        and not info.draining
    )
