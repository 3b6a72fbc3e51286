"""What the planner learns about run times from runs that end or are stopped."""

from collections.abc import Callable

from yuccarelay.core.batch.entities import JobPlan, Run
from yuccarelay.core.batch.models import TaskStage
from yuccarelay.core.batch.run_times import GroupKey, RunTimes, Switch
from yuccarelay.core.batch.worker_speeds import Machine

# A percentage is a whole number, so smaller progress says little about the speed.
LEAST_PERCENT = 20


def learn_done(
    run_times: RunTimes, plan: JobPlan, run: Run, machine: Machine, now_ms: int
) -> Switch | None:
    """
    Learn from a run that was done and had begun without a checkpoint.

    Return whether its queue changes its predictor.
    """
    step = plan.step(run.task)
    if not run.started_ms or not run.is_from_start or step.is_long_running:
        return None
    return run_times.learn_done(
        plan.job.queue,
        GroupKey(*run.task[:3]),
        step,
        now_ms - run.started_ms,
        machine,
        is_whole=not run.checkpoint,
    )


def learn_stopped(
    run_times: RunTimes, plan: JobPlan, run: Run, machine: Machine
) -> None:
    """
    Learn that a stopped run takes at least as long as it was seen running.

    A run that failed is left out: it need not have taken longer than that.
    """
    step = plan.step(run.task)
    if (
        run.stop_reason
        and run.started_ms
        and run.is_from_start
        and not step.is_long_running
        and plan.task(run.task).stage is not TaskStage.DONE
    ):
        run_times.learn_stopped(
            plan.job.queue,
            GroupKey(*run.task[:3]),
            step,
            run.seen_running_ms - run.started_ms,
            machine,
        )


def learn_members(
    run_times: RunTimes,
    plan: JobPlan,
    run: Run,
    find_machine: Callable[[Run], Machine],
) -> None:
    """
    Learn the speeds of the workers of a gang once its first member is done.

    All members end with the slowest, so only their progress tells the others apart.
    Members that are far from their data are slow for that reason.
    """
    step = plan.step(run.task)
    is_first = plan.task(run.task).stage is not TaskStage.DONE
    if not step.gang or step.data_rack or not is_first:
        return
    projected_ms = [
        (find_machine(member), project_ms(member))
        for member in plan.runs.values()
        if member.task[1:3] == run.task[1:3]
        and member.is_from_start
        and member.percent >= LEAST_PERCENT
        and member.started_ms < member.percent_since_ms
    ]
    run_times.learn_side_by_side(projected_ms)


def project_ms(run: Run) -> float:
    """Return how long a run takes by its progress when that was reported."""
    return (run.percent_since_ms - run.started_ms) * 100 / run.percent
