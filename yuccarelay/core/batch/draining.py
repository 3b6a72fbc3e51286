"""
Decides which runs of a draining worker are stopped, and when.

A run that is likely to end within the notice is left. One that is not is stopped at
once, since it would lose the rest of the notice as well; with checkpoints it goes on
until shortly before the worker leaves.
"""

from yuccarelay.core.batch.entities import Run, RunStage, WorkerView
from yuccarelay.core.batch.planner_state import MIN_PROJECTION_PERCENT, PlannerState
from yuccarelay.core.batch.run_times import Quantile

# A stop takes up to 0.9 s on a worker, plus the network delay between regions.
DRAIN_MARGIN_MS = 1_300
# Submitted estimates are wrong by this factor at the median, so a run without progress
# may take that much less than expected.
ESTIMATE_ERROR = 2
# A worker reports progress at least every 2 s while a run goes on.
STALLED_MS = 3_000
DRAIN_REASON = 'worker_draining'


def drain_worker(planner_state: PlannerState, view: WorkerView) -> None:
    """
    Stop the runs that a draining worker will not finish, so they move elsewhere.

    Runs with checkpoints are stopped only shortly before the drain deadline. A gang is
    stopped with the first of its members on the worker that cannot end in time.
    """
    now_ms = planner_state.now.ms
    left_ms = view.drain_deadline_ms - now_ms
    for run in list(view.runs.values()):
        if run.stage is not RunStage.RUNNING:
            continue
        if earliest_end_ms(planner_state, run) - now_ms <= left_ms + DRAIN_MARGIN_MS:
            continue
        plan = planner_state.plans[run.task.job]
        if plan.step(run.task).checkpointing and left_ms > DRAIN_MARGIN_MS:
            continue
        planner_state.stop_run(run, DRAIN_REASON)
        planner_state.break_gang(plan, run.task, DRAIN_REASON)


def earliest_end_ms(planner_state: PlannerState, run: Run) -> float:
    """
    Return when a run ends by its progress, or without any if it is a short one.

    A run without progress has little to lose by a stop, but a prediction alone is too
    uncertain to stop it for.
    """
    likely_ms = likely_end_ms(planner_state, run)
    if has_progress(run):
        return likely_ms
    shortest_ms = planner_state.estimate_ms(run) / ESTIMATE_ERROR
    low_ms = planner_state.expected_end_ms(run, Quantile.LOW)
    return min(likely_ms, low_ms, run.started_ms + shortest_ms)


def likely_end_ms(planner_state: PlannerState, run: Run) -> float:
    """
    Return when a run is likely to end, from its progress when that was reported.

    A worker is polled every 2 s, so a projection of that progress from the present time
    would be late by up to that, in proportion to what is left.
    """
    ran_ms = run.percent_since_ms - run.started_ms
    is_recent = planner_state.now.ms <= run.percent_since_ms + STALLED_MS
    if has_progress(run) and ran_ms > 0 and is_recent:
        return run.started_ms + ran_ms * 100 / run.percent
    return planner_state.expected_end_ms(run, Quantile.MEDIAN)


def has_progress(run: Run) -> bool:
    """Whether a run has reported enough progress to project its end."""
    return run.percent >= MIN_PROJECTION_PERCENT
