"""
Learns from the workers' reports which tasks slow each other down, and what that costs.

The kind of a task is its image, or the queue of its job if it names none.
"""

from collections.abc import Iterable

from yuccarelay.core.batch.co_location import RunSample
from yuccarelay.core.batch.entities import JobPlan, Run, RunStage, WorkerView
from yuccarelay.core.batch.interference import Change, InterferenceTable
from yuccarelay.core.batch.models import Step, WorkerId
from yuccarelay.core.batch.pacing import FULL_PERCENT
from yuccarelay.core.batch.planner_state import PlannerState

# A worker is slow in the first seconds after it has started.
COLD_MS = 15_000
# A run loads its input first, and one that goes on from a checkpoint loads that too.
JUST_STARTED_MS = 1_000
JUST_RESTORED_MS = 2_500
# Costs are compared in steps of this size, so that small ones do not break up packing.
COST_STEP = 0.1
FADE_PERIOD_MS = 1_000


def find_kind(plan: JobPlan, step: Step) -> str:
    """Return the kind of the tasks of a step."""
    return step.image or plan.job.queue


def find_run_kind(planner_state: PlannerState, run: Run) -> str:
    """Return the kind of a run."""
    plan = planner_state.plans[run.task.job]
    return find_kind(plan, plan.step(run.task))


def watch_neighbours(planner_state: PlannerState, view: WorkerView) -> None:
    """Learn from the runs of a worker whose lists were just read."""
    watch, now_ms = planner_state.co_locations, planner_state.now.ms
    if not planner_state.learns_interference:
        return
    if view.id is None or not watch.is_due(view.id, now_ms):
        return
    if not is_typical(planner_state, view):
        watch.forget(view.agent)
        return
    samples = [
        make_sample(planner_state, run)
        for run in view.runs.values()
        if run.stage not in (RunStage.RECORDING, RunStage.ORDERED)
    ]
    for observation in watch.sample(view.id, samples, now_ms):
        change = planner_state.interference.take(observation, view.agent, now_ms)
        if change is not None:
            note_change(planner_state, change)


def is_typical(planner_state: PlannerState, view: WorkerView) -> bool:
    """
    Whether the runs of a worker advance as they would on any other.

    A cold, slow, failing or leaving worker slows its runs down by itself, a paced run
    slows others less, and a run without a record is of no known kind.
    """
    now = planner_state.now
    return (
        view.info is not None
        and not view.info.draining
        and not view.has_orphans
        and not is_cold(view.id, now.wall_ms)
        and now.ms >= max(view.avoid_until_ms, view.suspect_until_ms)
        and all(
            run.stage is not RunStage.UNCERTAIN and not is_paced(planner_state, run)
            for run in view.runs.values()
        )
    )


def is_paced(planner_state: PlannerState, run: Run) -> bool:
    """Whether a run does not go at full speed, or may not."""
    step = planner_state.plans[run.task.job].step(run.task)
    return step.best_effort and run.pace != FULL_PERCENT


def is_cold(worker: WorkerId, wall_ms: int) -> bool:
    """Whether an incarnation of a worker is in its first seconds."""
    return abs(wall_ms - worker.born_ms) < COLD_MS


def make_sample(planner_state: PlannerState, run: Run) -> RunSample:
    """Return what is known of a run from the last report."""
    plan = planner_state.plans[run.task.job]
    step = plan.step(run.task)
    is_restored = run.number > 1 and step.checkpointing
    unsteady_ms = JUST_RESTORED_MS if is_restored else JUST_STARTED_MS
    return RunSample(
        key=(run.task, run.number),
        kind=find_kind(plan, step),
        percent=run.percent,
        tail_ratio=run.recent_metric / step.target_ms if step.target_ms else 0,
        is_steady=run.stage is RunStage.RUNNING
        and planner_state.now.ms >= run.started_ms + unsteady_ms,
    )


def fade_interference(planner_state: PlannerState) -> None:
    """Let the pairs fade that were not seen for some time."""
    now_ms = planner_state.now.ms
    if now_ms < planner_state.fade_due_ms:
        return
    planner_state.fade_due_ms = now_ms + FADE_PERIOD_MS
    for change in planner_state.interference.fade(now_ms):
        note_change(planner_state, change)


def note_change(planner_state: PlannerState, change: Change) -> None:
    """Log a pair that has become known or has been forgotten."""
    if change.is_known:
        planner_state.note(
            'interference_learned',
            kind=change.pair.kind,
            beside=change.pair.beside,
            factor=round(change.factor, 2),
            count=round(change.count, 1),
            workers=change.workers,
        )
    else:
        planner_state.note(
            'interference_forgotten',
            kind=change.pair.kind,
            beside=change.pair.beside,
            factor=round(change.factor, 2),
            count=round(change.count, 1),
        )


def sum_interference(
    table: InterferenceTable, kind: str, others: Iterable[str]
) -> float:
    """
    Return what a task of a kind and the runs beside it lose through each other.

    It is the sum of the logarithms of their slow-downs, in steps of `COST_STEP`.
    """
    others = tuple(others)
    cost = sum(table.slowdown(kind, other) for other in set(others))
    cost += sum(table.slowdown(other, kind) for other in others)
    return round(round(cost / COST_STEP) * COST_STEP, 1)
