"""
Decides whether the crash of a worker is due to the task that it had just started.

Workers also crash by themselves, and a loss of power takes several of them. So a crash
is decided only some time after it was noticed: other losses that are noticed meanwhile
show that the task is not to blame. What is not decided is lost when the planner
changes, and then the crash counts nothing.
"""

from yuccarelay.core.batch.entities import (
    JobPlan,
    PendingCrash,
    Run,
    WorkerLoss,
    WorkerView,
)
from yuccarelay.core.batch.models import JobState, TaskId, TaskStage
from yuccarelay.core.batch.planner_state import PlannerState

# Workers that lose power together are down for up to 0.4 s more than each other, and an
# idle one is polled every 1.5 s, so their losses are noticed within this time.
LOSS_WINDOW_MS = 2_500
# A single crash is never enough, whatever the queue allows.
LEAST_CRASHES = 2
# A crash is noticed when the worker is back, some seconds after the start. Work that
# was assigned earlier had survived its start, even if another planner saw it.
START_WINDOW_MS = 10_000
# Workers that go down and up by themselves crash again within this time.
UNSTABLE_MS = 4_000


def is_new(planner_state: PlannerState, run: Run) -> bool:
    """Whether a run was assigned lately and is not known to have survived."""
    record = planner_state.plans[run.task.job].task(run.task)
    age_ms = planner_state.now.wall_ms - record.assigned_at_ms
    return not run.has_survived and age_ms <= START_WINDOW_MS


def note_loss(planner_state: PlannerState, view: WorkerView) -> None:
    """Note that the worker of an agent has ended; its runs are not released yet."""
    now_ms = planner_state.now.ms
    new_runs = [run for run in view.runs.values() if is_new(planner_state, run)]
    jobs = frozenset(run.task.job for run in new_runs)
    is_explained = len(jobs) == 1 and any(
        planner_state.plans[run.task.job].task(run.task).crashes for run in new_runs
    )
    recent = [
        loss
        for loss in planner_state.worker_losses
        if now_ms <= loss.noticed_ms + 2 * LOSS_WINDOW_MS
    ]
    recent.append(WorkerLoss(view.agent, now_ms, jobs, is_explained))
    view.unstable_until_ms = now_ms + UNSTABLE_MS
    planner_state.worker_losses = recent


def hold_crash(planner_state: PlannerState, view: WorkerView, run: Run) -> None:
    """Keep a crash until it can be decided, unless it cannot be due to the task."""
    now_ms = planner_state.now.ms
    if run.is_beside_new or now_ms < planner_state.elected_ms + LOSS_WINDOW_MS:
        return
    record = planner_state.plans[run.task.job].task(run.task)
    planner_state.pending_crashes.append(
        PendingCrash(
            task=run.task,
            run=run.number,
            agent=view.agent,
            started_ms=now_ms - (planner_state.now.wall_ms - record.assigned_at_ms),
            noticed_ms=now_ms,
            decide_at_ms=now_ms + LOSS_WINDOW_MS,
        )
    )


def decide_crashes(planner_state: PlannerState) -> None:
    """Attribute the crashes that no other loss explains, and end jobs at the limit."""
    now_ms = planner_state.now.ms
    due = [one for one in planner_state.pending_crashes if now_ms >= one.decide_at_ms]
    if not due:
        return
    planner_state.pending_crashes = [
        one for one in planner_state.pending_crashes if now_ms < one.decide_at_ms
    ]
    for crash in due:
        plan = planner_state.plans.get(crash.task.job)
        # A task that has survived a start since does not crash its workers.
        if plan is None or plan.ended or not plan.task(crash.task).crashes:
            continue
        if plan.task(crash.task).stage is TaskStage.DONE:
            continue
        if has_other_cause(planner_state, crash):
            planner_state.note('crash_not_attributed', task=crash.task, run=crash.run)
            continue
        attribute_crash(planner_state, plan, crash)


def has_other_cause(planner_state: PlannerState, crash: PendingCrash) -> bool:
    """Whether the agent changed, or other workers were lost, at about that time."""
    view = planner_state.workers[crash.agent]
    since_ms = max(1, crash.started_ms - LOSS_WINDOW_MS)
    if max(view.agent_changed_ms, view.silent_since_ms) >= since_ms:
        return True
    if any(
        loss.agent != crash.agent
        and abs(loss.noticed_ms - crash.noticed_ms) <= LOSS_WINDOW_MS
        and crash.task.job not in loss.jobs
        and not loss.is_explained
        for loss in planner_state.worker_losses
    ):
        return True
    # Agents whose machines lost power with the worker's may not be back yet.
    return any(
        other.is_silent and other.silent_since_ms >= since_ms
        for other in planner_state.workers.values()
    )


def attribute_crash(
    planner_state: PlannerState, plan: JobPlan, crash: PendingCrash
) -> None:
    """Count a crash against its task; at the limit its job is given up."""
    record = plan.task(crash.task)
    record = record._replace(crashes=record.crashes + 1)
    plan.put(crash.task, record)
    planner_state.changed.add(plan.job.id)
    limit = find_crashes_limit(planner_state, plan, crash.task)
    planner_state.note(
        'task_crashes_workers',
        task=crash.task,
        run=crash.run,
        agent=crash.agent,
        queue=plan.job.queue,
        crashes=record.attributed_crashes,
        limit=limit,
    )
    if limit is not None and record.attributed_crashes >= limit:
        planner_state.end_job(plan, JobState.FAILED)


def find_crashes_limit(
    planner_state: PlannerState, plan: JobPlan, task: TaskId
) -> int | None:
    """Return how many crashes end a job, None for any number."""
    queue = planner_state.find_queue(plan)
    if queue is None or plan.step(task).is_long_running:
        return None
    return max(LEAST_CRASHES, queue.max_attempts)


def list_pending(planner_state: PlannerState, task: TaskId) -> list[PendingCrash]:
    """Return the crashes of a task that are not decided yet."""
    return [one for one in planner_state.pending_crashes if one.task == task]


def find_undecided_ms(planner_state: PlannerState, plan: JobPlan, task: TaskId) -> int:
    """
    Return until when a task must not start, because its job may be given up.

    It is 0 unless the crashes that are not decided yet would reach the limit.
    """
    pending = list_pending(planner_state, task)
    limit = find_crashes_limit(planner_state, plan, task)
    crashes = plan.task(task).attributed_crashes + len(pending)
    if limit is None or not pending or crashes < limit:
        return 0
    return max(one.decide_at_ms for one in pending)
