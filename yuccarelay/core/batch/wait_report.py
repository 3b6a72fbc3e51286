"""
Reports why work that may start is not placed, and runs that are not settled.

Without it the log of a job that waits just ends, and nothing tells a full fleet from a
rule that keeps the job off free workers.
"""

from typing import NamedTuple

from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.crashes import (
    has_crashed_worker,
    keep_off,
    list_settled,
)
from yuccarelay.core.batch.entities import JobPlan, Run, RunStage, Wait, WorkerView
from yuccarelay.core.batch.last_attempts import withhold_unproven
from yuccarelay.core.batch.models import Step
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import (
    Avoidance,
    Candidate,
    is_usable,
    resources_held,
)
from yuccarelay.core.batch.waiting_units import WaitingUnit

# Users notice work that waits this long beside free resources.
WAIT_LOG_MS = 3_000
# The slowest order, a stop that is repeated, is settled within this time.
UNSETTLED_LOG_MS = 5_000


class WaitCounts(NamedTuple):
    """
    How many workers may take a waiting unit, and what excludes the others.

    `open` counts those that take new work, `usable` those that could hold a task if
    they were empty, and `room` those that could hold one beside their runs. The
    further counts are parts of `room`, by what keeps the unit off: an avoidance, work
    on probation after a crash, resources reserved for other units, or no approval.
    `evacuated` counts those outside of `open` that could hold a task if they were empty
    and their failure domain were not evacuated.
    """

    open: int
    usable: int
    room: int
    failed_before: int
    failing: int
    last_attempt: int
    unproven: int
    probation: int
    reserved: int
    unapproved: int
    evacuated: int

    def cause(self) -> str:
        """Return the name of what excludes the most workers with free resources."""
        if not self.usable:
            return 'evacuated' if self.evacuated else 'no_worker'
        if not self.room:
            return 'evacuated' if self.evacuated else 'no_room'
        excluded = self._asdict()
        for total in ('open', 'usable', 'room', 'evacuated'):
            del excluded[total]
        cause = max(excluded, key=excluded.get)
        if excluded[cause]:
            return cause
        return 'evacuated' if self.evacuated else 'fragmented'


def report_wait(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> None:
    """Log a unit that could not be placed for a while; again at each doubling."""
    wait = entry.plan.waits[entry.unit.tasks[0][1:]]
    wait.passes += 1
    if not is_log_due(planner_state, entry.plan, entry.unit[1:3], wait):
        return
    counts = count_workers(planner_state, snapshot, entry)
    planner_state.note(
        'unit_waiting',
        job=entry.unit.job,
        step=entry.unit.step,
        occurrence=entry.unit.occurrence,
        index=entry.unit.tasks[0].index,
        tasks=len(entry.unit.tasks),
        cause=counts.cause(),
        waited_ms=planner_state.now.ms - wait.since_ms,
        passes=wait.passes,
        attempts=max(entry.plan.task(task).failures for task in entry.unit.tasks),
        late=entry.rank.late,
        useless=entry.rank.useless,
        open=counts.open,
        usable=counts.usable,
        room=counts.room,
        failed_before=counts.failed_before,
        failing=counts.failing,
        last_attempt=counts.last_attempt,
        unproven=counts.unproven,
        probation=counts.probation,
        reserved=counts.reserved,
        unapproved=counts.unapproved,
        evacuated=counts.evacuated,
    )


def report_unknown_queue(planner_state: PlannerState, plan: JobPlan) -> None:
    """Log a job that cannot be planned, because no configuration has its queue."""
    wait = plan.waits.setdefault((0, 0, 0), Wait(planner_state.now.ms))
    wait.passes += 1
    if is_log_due(planner_state, plan, (0, 0), wait):
        planner_state.note(
            'unit_waiting',
            job=plan.job.id,
            cause='unknown_queue',
            queue=plan.job.queue,
            waited_ms=planner_state.now.ms - wait.since_ms,
            passes=wait.passes,
        )


def is_log_due(
    planner_state: PlannerState, plan: JobPlan, key: tuple[int, int], wait: Wait
) -> bool:
    """Whether the wait of a step is to be logged now, and again at twice its length."""
    now_ms = planner_state.now.ms
    due_ms = max(plan.wait_log_due_ms.get(key, 0), wait.since_ms + WAIT_LOG_MS)
    if now_ms < due_ms:
        return False
    plan.wait_log_due_ms[key] = now_ms + (now_ms - wait.since_ms)
    return True


def count_workers(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> WaitCounts:
    """Return which workers may take a unit, for the log."""
    plan, unit = entry.plan, entry.unit
    step = plan.job.steps[unit.step]
    candidates = withhold_unproven(
        planner_state, snapshot, entry, snapshot.list_candidates(unit, entry.queue)
    )
    usable = [candidate for candidate in candidates if is_usable(step, candidate)]
    apart = keep_off(planner_state, unit, entry.entitled, candidates)
    if has_crashed_worker(plan, unit):
        apart = list_settled(planner_state, unit, apart)
    agents_apart = {candidate.agent for candidate in apart}
    need = resources_held(step)
    room = [
        candidate
        for candidate in usable
        if has_room(plan, step, planner_state.workers[candidate.agent], unit[1:3])
    ]
    avoidances = [candidate.avoidance for candidate in room]
    return WaitCounts(
        open=len(candidates),
        usable=len(usable),
        room=len(room),
        failed_before=avoidances.count(Avoidance.FAILED_BEFORE),
        failing=avoidances.count(Avoidance.FAILING),
        last_attempt=avoidances.count(Avoidance.LAST_ATTEMPT),
        unproven=avoidances.count(Avoidance.UNPROVEN),
        probation=sum(candidate.agent not in agents_apart for candidate in room),
        reserved=sum(not candidate.free.holds(need) for candidate in room),
        unapproved=sum(
            planner_state.find_ticket(
                plan, unit.tasks[0], planner_state.workers[candidate.agent].id
            )
            is None
            for candidate in room
        ),
        evacuated=sum(
            could_hold_empty(step, view)
            for view in snapshot.evacuated.get(entry.queue.service, ())
        ),
    )


def could_hold_empty(step: Step, view: WorkerView) -> bool:
    """Whether a worker could run a task of a step if it were empty."""
    info = view.info
    candidate = Candidate(
        view.agent, info.rack, info.labels, info.capacity, info.capacity
    )
    return is_usable(step, candidate)


def has_room(plan: JobPlan, step: Step, view: WorkerView, key: tuple[int, int]) -> bool:
    """Whether a worker could hold a task of a step beside its runs."""
    if not view.info.capacity.minus(view.used()).holds(resources_held(step)):
        return False
    colocated = sum(
        run.task.job == plan.job.id and run.task[1:3] == key
        for run in view.runs.values()
    )
    return not step.per_worker or colocated < step.per_worker


def report_unsettled_run(planner_state: PlannerState, run: Run) -> None:
    """Log a run that was not settled for a while; again at each doubling."""
    now_ms = planner_state.now.ms
    if run.stage is RunStage.RUNNING:
        return
    if now_ms < max(run.unsettled_log_due_ms, run.since_ms + UNSETTLED_LOG_MS):
        return
    run.unsettled_log_due_ms = now_ms + (now_ms - run.since_ms)
    view = planner_state.workers[run.worker.agent]
    planner_state.note(
        'run_unsettled',
        task=run.task,
        run=run.number,
        worker=run.worker.name,
        stage=run.stage.value,
        age_ms=now_ms - run.since_ms,
        read_age_ms=now_ms - view.read_ms if view.read_ms else None,
        lease_ends_in_ms=view.lease_expiry_ms - now_ms,
    )
