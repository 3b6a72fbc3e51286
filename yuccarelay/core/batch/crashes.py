"""
Finds the tasks that crash the workers that start them.

A worker that has crashed lists no ends, so such a task would be started again without
end. Each run that was started shortly before its worker crashed, and was not seen at
work since, is suspected. One of them may be to blame, or none: so the job starts next
on workers where no other job's runs are as new, with a growing pause. How many crashes
in a row are due to the task is decided in `crash_attribution`; after some of them it
starts alone on its workers, so that it harms nothing else. It is never given up, since
none of its runs has ended as failed. A run that is seen at work clears its task.
"""

from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.crash_attribution import (
    count_suspected,
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
from yuccarelay.core.batch.waiting_units import WaitingUnit

# A run that is listed this long after its start has not crashed its worker.
SURVIVED_MS = 1_000
# The pause after the second crash in a row, doubled with each further one. Work should
# not be idle for 3 s beside free resources, and guaranteed work never starts again late
# after a first crash, which is rarely its own fault.
CRASH_RETRY_MS = 500
CRASH_RETRY_LIMIT_MS = 2_000
# In a fleet that is in use each crash of a worker costs more, so there the pause of a
# task that is the likely cause grows further.
ISOLATION_RETRY_LIMIT_MS = 16_000
# Workers that go down and up by turns have been lost under a task up to four times in a
# row. After more crashes that are due to it a task runs alone on its workers.
ISOLATION_CRASHES = 5
# After twice as many a task is taken for the cause in an idle fleet as well.
CERTAIN_CRASHES = 2 * ISOLATION_CRASHES
# For so long an isolated task waits for workers without other runs; in a fleet of small
# tasks there may never be one.
ISOLATION_WAIT_MS = 10_000
# Most workers have no new runs at some moment within this time. For a unit on probation
# that has waited longer, workers are reserved.
SETTLING_WAIT_MS = SURVIVED_MS
# A new run has survived after 1 s, and is listed as such once the present poll of its
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
    hold_crash(planner_state, view, run)
    key = run.task[1:]
    in_a_row = plan.crashes_in_a_row.get(key, record.crashes) + 1
    plan.crashes_in_a_row[key] = in_a_row
    pause_ms = find_pause_ms(in_a_row, CRASH_RETRY_LIMIT_MS)
    suspected = count_suspected(planner_state, plan, run.task)
    isolation_pause_ms = find_pause_ms(suspected, ISOLATION_RETRY_LIMIT_MS)
    plan.held_until_ms[key] = planner_state.now.ms + pause_ms
    plan.isolation_pauses_end_ms[key] = planner_state.now.ms + isolation_pause_ms
    planner_state.note(
        'crash_counted',
        task=run.task,
        run=run.number,
        worker=run.worker.name,
        crashes=plan.task(run.task).attributed_crashes,
        pause_ms=pause_ms,
        isolation_pause_ms=isolation_pause_ms,
    )


def find_pause_ms(crashes: int, limit_ms: int) -> int:
    """Return the pause after so many crashes in a row."""
    if crashes < 2:
        return 0
    return min(CRASH_RETRY_MS * 2 ** min(crashes - 2, 10), limit_ms)


def must_pause(snapshot: CapacitySnapshot, entry: WaitingUnit) -> bool:
    """
    Whether a unit that may crash its workers waits longer than by its short pause.

    In a fleet that is mostly idle accepted work must not wait for long, so there it
    waits only after `CERTAIN_CRASHES`.
    """
    ends_ms = entry.plan.isolation_pauses_end_ms
    if not ends_ms:
        return False
    now_ms = snapshot.planner_state.now.ms
    is_paused = any(now_ms < ends_ms.get(task[1:], 0) for task in entry.unit.tasks)
    return is_paused and is_harmful(snapshot, entry)


def is_harmful(snapshot: CapacitySnapshot, entry: WaitingUnit) -> bool:
    """Whether a unit that may crash its workers would harm others by a start now."""
    crashes = count_attributed(entry.plan, entry.unit)
    return crashes >= CERTAIN_CRASHES or not snapshot.is_idle(entry.queue.service)


def count_attributed(plan: JobPlan, unit: Unit) -> int:
    """Return how many crashes in a row are due to a task of a unit."""
    return max(plan.task(task).attributed_crashes for task in unit.tasks)


def is_isolated(entry: WaitingUnit) -> bool:
    """Whether a unit is the likely cause of crashes, so that others keep apart."""
    return count_attributed(entry.plan, entry.unit) >= ISOLATION_CRASHES


def must_run_alone(snapshot: CapacitySnapshot, entry: WaitingUnit) -> bool:
    """Whether a unit starts only on workers that run nothing else."""
    if not is_isolated(entry) or not is_harmful(snapshot, entry):
        return False
    since_ms = entry.plan.waits[entry.unit.tasks[0][1:]].since_ms
    return snapshot.planner_state.now.ms < since_ms + ISOLATION_WAIT_MS


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
    plan.isolation_pauses_end_ms.pop(task[1:], None)
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
    """Return the workers on which nothing else runs that a crash would harm."""
    return [
        candidate
        for candidate in candidates
        if all(
            run.task in unit.tasks
            for run in planner_state.workers[candidate.agent].runs.values()
        )
    ]
