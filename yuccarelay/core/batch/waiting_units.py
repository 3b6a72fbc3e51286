"""The units of all jobs that may start now, with their ranks."""

from typing import NamedTuple

from yuccarelay.core.batch.entities import JobPlan, Moment, Unit, Wait
from yuccarelay.core.batch.models import Queue, Step, TaskStage
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.ranking import (
    is_tight,
    rank_long_running,
    rank_unit,
    remaining_chains_ms,
)

# A step that is slower when spread over racks waits this long for a single rack,
# unless its job is already late. Resources should not stay idle for 3 s.
SPREAD_AFTER_MS = 2_000


class WaitingUnit(NamedTuple):
    """
    A unit that may start, with its rank.

    With `spread` it may go to several racks although that is slower. One that
    `needs_speed` would be late if it ran for much longer than is usual.
    """

    rank: tuple
    unit: Unit
    plan: JobPlan
    queue: Queue
    entitled: bool
    spread: bool
    needs_speed: bool = False


class UnitKinds:
    """Which waiting units of a job fit on the same workers."""

    def __init__(self):
        self.numbers: dict[tuple, int] = {}
        # Kinds of steps without a history, with and without `spread`.
        self.by_step: dict[tuple[str, int, bool], int] = {}

    def find(self, entry: WaitingUnit) -> int:
        """
        Return a number that is equal for units of a job which fit on the same workers.

        The tasks of a step are alike, and so are steps that ask for the same, unless
        the workers of a task depend on what has happened to its own step. Without this,
        a job of thousands of equal steps would keep the planner busy until it loses its
        term.
        """
        plan, unit, step = entry.plan, entry.unit, entry.plan.job.steps[entry.unit.step]
        has_history = (
            plan.failed_on and unit[1:3] in plan.failed_on
        ) or plan.has_failed(unit.tasks)
        if has_history or step.per_worker or entry.queue.advice is not None:
            return self._number(unit[:3])
        key = (unit.job, unit.step, entry.spread)
        kind = self.by_step.get(key)
        if kind is None:
            alike = (unit.job, step._replace(after=()), entry.spread)
            kind = self.by_step[key] = self._number(alike)
        return kind

    def _number(self, alike: tuple) -> int:
        return self.numbers.setdefault(alike, len(self.numbers))


def list_waiting(
    planner_state: PlannerState,
    plan: JobPlan,
    queue: Queue,
    entitled: bool,
) -> list[WaitingUnit]:
    """Return the units of a job that may start now, with their ranks."""
    found = []
    now = planner_state.now
    chains_ms = remaining_chains_ms(plan.job, planner_state.run_times)
    for occurrence in range(plan.occurrences()):
        if plan.due_wall_ms(occurrence) > now.wall_ms:
            break
        due_ms = find_due_ms(plan, occurrence, now)
        for number, step in enumerate(plan.job.steps):
            if not all(plan.is_step_done(occurrence, s) for s in step.after):
                continue
            if now.ms < plan.retry_at_ms.get((occurrence, number), 0):
                continue
            ready_ms = plan.ready_ms.setdefault((occurrence, number), now.ms)
            rank = rank_unit(plan, queue, number, due_ms, entitled, chains_ms, now.ms)
            for unit in list_units(plan, occurrence, number, step):
                if is_held(plan, unit, now.ms):
                    continue
                wait = plan.waits.setdefault(unit.tasks[0][1:], Wait(now.ms))
                spread_ms = ready_ms + SPREAD_AFTER_MS
                if step.is_long_running:
                    # Its siblings may start again and again, so it waits by itself.
                    rank = rank_long_running(queue, entitled, wait.since_ms)
                    spread_ms = wait.since_ms + SPREAD_AFTER_MS
                spread = rank.late or now.ms > spread_ms
                needs_speed = not step.is_long_running and is_tight(
                    rank, chains_ms[number], now.ms
                )
                found.append(
                    WaitingUnit(rank, unit, plan, queue, entitled, spread, needs_speed)
                )
    return found


def find_due_ms(plan: JobPlan, occurrence: int, now: Moment) -> int:
    """Return when an occurrence was due on the planner's clock, or its job accepted."""
    due_wall_ms = plan.due_wall_ms(occurrence)
    return now.ms - (now.wall_ms - due_wall_ms) if due_wall_ms else plan.accepted_ms


def is_held(plan: JobPlan, unit: Unit, now_ms: int) -> bool:
    """Whether a task of a unit waits because it may have crashed its worker."""
    if not plan.held_until_ms:
        return False
    return any(now_ms < plan.held_until_ms.get(task[1:], 0) for task in unit.tasks)


def list_units(plan: JobPlan, occurrence: int, number: int, step: Step) -> list[Unit]:
    """Return the units of a step that have no run and are not done."""
    tasks = plan.step_tasks(occurrence, number)
    if step.gang:
        idle = all(
            task not in plan.runs and plan.task(task).stage is TaskStage.WAITING
            for task in tasks
        )
        return [Unit(plan.job.id, occurrence, number, tasks)] if idle else []
    return [
        Unit(plan.job.id, occurrence, number, (task,))
        for task in tasks
        if task not in plan.runs and plan.task(task).stage is TaskStage.WAITING
    ]
