"""What stopping a task or a gang costs: work to repeat, and objectives missed."""

from yuccarelay.core.batch.draining import likely_end_ms
from yuccarelay.core.batch.entities import STOP_STAGES, Run, RunStage
from yuccarelay.core.batch.models import count_cores
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.ranking import find_start_by_ms, remaining_chains_ms
from yuccarelay.core.batch.run_times import Quantile
from yuccarelay.core.batch.waiting_units import find_due_ms

# Weight of lost work by the priority of its queue: preemption costs the callers of
# urgent and ordinary work more than those of deferrable work.
VICTIM_WEIGHTS = {0: 3.0, 1: 1.5}
# Added weight of lost work for each earlier run of a task, so that other work is
# preempted first.
REPEAT_WEIGHT = 0.5
# What a caller loses by a job that misses its objective, by the priority of its queue,
# in core-seconds of lost work. A late job is worth a fifth to a third of one in time.
LATE_COSTS_CORE_S = {0: 1_800, 1: 1_200}
DEFERRABLE_LATE_COST_CORE_S = 400


def find_late_cost(priority: int) -> float:
    """Return what a job of a queue loses if it is late, in core-seconds."""
    return LATE_COSTS_CORE_S.get(priority, DEFERRABLE_LATE_COST_CORE_S)


def weigh_loss(
    planner_state: PlannerState, runs: list[Run], restart_ms: int = 0
) -> float:
    """
    Return the weighted work that is lost by stopping a task or a gang, in core-seconds.

    With `restart_ms` each task that is stopped counts that much more. Without it a gang
    that has just started again costs nothing, and is stopped again and again.
    """
    queue = planner_state.find_queue(planner_state.plans[runs[0].task.job])
    earlier_runs = max(run.number for run in runs) - 1
    weight = VICTIM_WEIGHTS.get(queue.priority, 1.0) * (
        1 + REPEAT_WEIGHT * earlier_runs
    )
    restart_core_s = sum(
        count_cores(run.need) * restart_ms / 1000
        for run in runs
        if run.stage not in STOP_STAGES
    )
    unsaved_core_s = sum(lost_core_s(planner_state, run) for run in runs)
    return weight * (unsaved_core_s + restart_core_s)


def lost_core_s(planner_state: PlannerState, run: Run) -> float:
    """Return the work that is lost by stopping a run, in core-seconds."""
    if run.stage in STOP_STAGES or run.stage is RunStage.RECORDING:
        return 0.0
    return planner_state.unsaved_core_s(run)


def is_made_late(planner_state: PlannerState, runs: list[Run], restart_ms: int) -> bool:
    """
    Whether a task or a gang meets its objective if it is left, but not if it restarts.

    It starts again `restart_ms` from now at the earliest. A long-running task has no
    objective to miss.
    """
    plan = planner_state.plans[runs[0].task.job]
    queue = planner_state.find_queue(plan)
    step = plan.step(runs[0].task)
    if queue is None or step.is_long_running:
        return False
    if any(run.stage in STOP_STAGES for run in runs):
        return False
    occurrence, number = runs[0].task[1:3]
    due_ms = find_due_ms(plan, occurrence, planner_state.now)
    chains_ms = remaining_chains_ms(plan.job, planner_state.run_times)
    start_by_ms = find_start_by_ms(queue, number, due_ms, chains_ms)
    end_ms = max(likely_end_ms(planner_state, run) for run in runs)
    duration_ms = planner_state.run_times.total_ms(queue.name, step, Quantile.MEDIAN)
    return end_ms - duration_ms <= start_by_ms < planner_state.now.ms + restart_ms
