"""
Finds the tasks that crash the workers that start them.

A worker that has crashed lists no ends, so such a task would be started again without
end. Each run that was started shortly before its worker crashed, and was not seen at
work since, is suspected. One of them may be to blame, or none: so the job starts next
on workers where no other job's runs are as new, with a growing pause. How many crashes
in a row are due to the task is decided in `crash_attribution`. A run that is seen at
work clears its task.
"""

from yuccarelay.core.batch.crash_attribution import (
    find_crashes_limit,
    find_undecided_ms,
    hold_crash,
    is_new,
)
from yuccarelay.core.batch.entities import JobPlan, Reservation, Run, Unit, WorkerView
from yuccarelay.core.batch.models import TaskId, TaskStage
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Placement,
    resources_held,
)

# A task that crashes its worker does so at once, and a worker that goes down and up by
# itself is up for 0.8 s or more. So a run that is listed this long after its start has
# not crashed its worker.
SURVIVED_MS = 300
# The pause after the second crash in a row, doubled with each further one. Work should
# not be idle for 3 s beside free resources, and guaranteed work never starts again late
# after a first crash, which is rarely its own fault.
CRASH_RETRY_MS = 500
CRASH_RETRY_LIMIT_MS = 2_000
# Most workers have no new runs at some moment within this time. For a unit on probation
# that has waited longer, workers are reserved.
SETTLING_WAIT_MS = 1_000
# A new run has survived after 0.3 s, and is listed as such once the present poll of its
# worker ends, after up to 2 s.
SETTLING_RESERVATION_MS = 2_000


def count_crash(planner_state: PlannerState, view: WorkerView, run: Run) -> None:
    """Suspect a run whose worker has crashed just after it had started it."""
    plan = planner_state.plans[run.task.job]
    record = plan.task(run.task)
    has_left = view.id is None or view.has_drained
    is_over = plan.ended or record.stage is TaskStage.DONE
    if has_left or is_over or not is_new(planner_state, run):
        return
    if record.crashed_run >= run.number:
        # Another planner counted it before the run was released.
        return
    crashes = max(1, record.crashes)
    plan.put(run.task, record._replace(crashes=crashes, crashed_run=run.number))
    planner_state.changed.add(plan.job.id)
    planner_state.suspects.add(plan.job.id)
    planner_state.note(
        'crash_counted',
        task=run.task,
        run=run.number,
        worker=run.worker.name,
        crashes=plan.task(run.task).attributed_crashes,
        limit=find_crashes_limit(planner_state, plan, run.task),
    )
    hold_crash(planner_state, view, run)
    key = run.task[1:]
    in_a_row = plan.crashes_in_a_row.get(key, record.crashes) + 1
    plan.crashes_in_a_row[key] = in_a_row
    pause_ms = 0
    if in_a_row > 1:
        pause_ms = min(CRASH_RETRY_MS * 2 ** (in_a_row - 2), CRASH_RETRY_LIMIT_MS)
    undecided_ms = find_undecided_ms(planner_state, plan, run.task)
    plan.held_until_ms[key] = max(planner_state.now.ms + pause_ms, undecided_ms)


def note_survival(planner_state: PlannerState, plan: JobPlan, run: Run) -> None:
    """Clear a task whose run is listed by its worker some time after its start."""
    if run.has_survived or not run.started_ms:
        return
    if planner_state.now.ms < run.started_ms + SURVIVED_MS:
        return
    run.has_survived = True
    planner_state.dirty = True
    clear_crashes(planner_state, plan, run.task)


def clear_crashes(planner_state: PlannerState, plan: JobPlan, task: TaskId) -> None:
    """Clear a task that has run on a worker which did not crash."""
    record = plan.task(task)
    plan.crashes_in_a_row.pop(task[1:], None)
    if record.crashes:
        plan.put(task, record._replace(crashes=0))
        planner_state.changed.add(plan.job.id)
        if not any(task.crashes for task in plan.tasks.values()):
            planner_state.suspects.discard(plan.job.id)


def has_crashed_worker(plan: JobPlan, unit: Unit) -> bool:
    """Whether a worker has crashed under a task of a unit, and none survived since."""
    return any(plan.task(task).crashes for task in unit.tasks)


def find_probations(planner_state: PlannerState) -> dict[str, set[str]]:
    """
    Return the workers with runs on probation, and the jobs of these.

    They are those of tasks that may have crashed a worker, until they have survived.
    Workers that are reserved for such a task count as well.
    """
    found: dict[str, set[str]] = {}
    for job in planner_state.suspects:
        plan = planner_state.plans[job]
        for run in plan.runs.values():
            if plan.task(run.task).crashes and not run.has_survived:
                found.setdefault(run.worker.agent, set()).add(job)
    for agent, job in planner_state.list_suspects_reserved():
        found.setdefault(agent, set()).add(job)
    return found


def keep_off(
    planner_state: PlannerState,
    unit: Unit,
    entitled: bool,
    candidates: list[Candidate],
) -> list[Candidate]:
    """
    Return the workers without another job's runs on probation.

    Guaranteed work takes any worker, because it may not wait.
    """
    if not planner_state.suspects or entitled:
        return candidates
    probations = find_probations(planner_state)
    return [
        candidate
        for candidate in candidates
        if not probations.get(candidate.agent, set()) - {unit.job}
    ]


def list_settled(
    planner_state: PlannerState, unit: Unit, candidates: list[Candidate]
) -> list[Candidate]:
    """
    Return the workers on which all runs of other jobs have survived their start.

    There it would show that a crash is due to the unit.
    """
    return [
        candidate
        for candidate in candidates
        if all(
            run.task.job == unit.job or run.has_survived
            for run in planner_state.workers[candidate.agent].runs.values()
        )
    ]


def must_settle(planner_state: PlannerState, unit: Unit) -> bool:
    """
    Whether a unit may start only where the runs of other jobs have survived.

    Guaranteed work may start on each worker again and again, so this ends at a time.
    """
    plan = planner_state.plans[unit.job]
    settled_by_ms = plan.waits[unit.tasks[0][1:]].settled_by_ms
    is_over = 0 < settled_by_ms <= planner_state.now.ms
    return has_crashed_worker(plan, unit) and not is_over


def note_new_neighbours(planner_state: PlannerState, unit: Unit) -> None:
    """
    Note which runs on a unit's workers are beside new ones of other jobs.

    If such a worker crashes, nothing tells which of them is to blame.
    """
    plan = planner_state.plans[unit.job]
    for task in unit.tasks:
        run = plan.runs[task]
        for other in planner_state.workers[run.worker.agent].runs.values():
            if other.task.job != unit.job and not other.has_survived:
                run.is_beside_new = other.is_beside_new = True


def reserve_settling(
    planner_state: PlannerState, unit: Unit, placement: Placement
) -> None:
    """
    Reserve workers for a unit on probation until their other runs have survived.

    Other work keeps off them meanwhile. Without this, short work that starts on each
    worker again and again would hold up the unit without an end.
    """
    plan = planner_state.plans[unit.job]
    step = plan.job.steps[unit.step]
    until_ms = planner_state.now.ms + SETTLING_RESERVATION_MS
    plan.waits[unit.tasks[0][1:]].settled_by_ms = until_ms
    reservation = Reservation(placement, resources_held(step), until_ms)
    planner_state.reserved[tuple(unit)] = reservation
    planner_state.note(
        'probation_reserved',
        job=unit.job,
        step=unit.step,
        occurrence=unit.occurrence,
        index=unit.tasks[0].index,
        tasks=len(unit.tasks),
        workers=','.join(placement),
    )


def list_unshared(
    planner_state: PlannerState, unit: Unit, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the workers on which no other job runs that a crash would harm."""
    return [
        candidate
        for candidate in candidates
        if all(
            run.task.job == unit.job
            for run in planner_state.workers[candidate.agent].runs.values()
        )
    ]
