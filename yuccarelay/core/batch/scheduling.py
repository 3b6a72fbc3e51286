"""Chooses the units to start now, and the runs to stop for urgent ones."""

from typing import NamedTuple

from yuccarelay.core.batch.advice import StepAdvice
from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.entities import (
    STOP_STAGES,
    JobPlan,
    Reservation,
    Run,
    RunStage,
    Unit,
)
from yuccarelay.core.batch.events import QueryAdvice
from yuccarelay.core.batch.guarantees import URGENT_PRIORITY, find_entitled
from yuccarelay.core.batch.models import (
    Queue,
    Step,
    TaskStage,
    count_cores,
)
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.ranking import rank_unit
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Eviction,
    Placement,
    Victim,
    candidate_order,
    group_victims,
    latest_end,
    place_tasks,
    plan_eviction,
    resources_held,
)

# Resources freed by victims are reserved for the unit they were stopped for. A stop
# takes up to a second, and a poll has to report its end; when the reservation expires,
# the unit is placed as any other.
RESERVATION_MS = 4_000
# A step that is slower when spread over racks waits this long for a single rack,
# unless its job is already late. Resources should not stay idle for 3 s.
SPREAD_AFTER_MS = 2_000
# A gang waits at most this long for a release, because a release may stop and go on.
RELEASE_WAIT_MS = 6_000
# Units with an advance reservation while units of lower rank are placed. More would
# leave resources idle for work that starts much later.
ADVANCE_RESERVATIONS_LIMIT = 4
# Work on borrowed resources that may be lost for one urgent job outside its guarantee,
# in core-seconds: a multiple of the job's own work, because the benefit grows with the
# size of the job, and a base, because small jobs count too. The limit is about the
# value of an average urgent job in the users' deployments at their price of lost work.
URGENT_WASTE_BASE = 200
URGENT_WASTE_FACTOR = 1.5
URGENT_WASTE_LIMIT = 1_800
# Checks of one step against one worker that a scheduling pass makes in a millisecond
# on half a core. A pass is followed by a pause of its own length, so that the process
# can also answer callers.
PLACEMENT_CHECKS_PER_MS = 40
LONGEST_PAUSE_MS = 100
# A stop takes at most 0.4 to 0.9 s on the users' platform, usually half of that.
STOP_MS = 500
# Weight of lost work by the priority of its queue: preemption costs the callers of
# urgent and ordinary work more than those of deferrable work.
VICTIM_WEIGHTS = {0: 3.0, 1: 1.5}
DEFERRABLE_PRIORITY = 2
# A long-running task is available once its worker lists it with this percentage.
AVAILABLE_PERCENT = 100
# Time that an advice query may take beyond the response time of the service itself.
ADVICE_SLACK_MS = 1_500
# Added weight of lost work for each earlier run of a task, so that other work is
# preempted first.
REPEAT_WEIGHT = 0.5


class WaitingUnit(NamedTuple):
    """A unit that may start, with its rank."""

    rank: tuple
    unit: Unit
    plan: JobPlan
    queue: Queue
    entitled: bool
    spread: bool


def assign_units(planner_state: PlannerState) -> None:
    """Place the waiting units in the order of their ranks."""
    if not planner_state.may_extend_leases():
        return
    now_ms = planner_state.now.ms
    for key, reservation in list(planner_state.reserved.items()):
        if now_ms > reservation.until_ms:
            del planner_state.reserved[key]
    entitled = find_entitled(planner_state.plans.values(), planner_state.configuration)
    waiting: list[WaitingUnit] = []
    for plan in planner_state.plans.values():
        queue = planner_state.find_queue(plan)
        if queue is None or plan.ended:
            continue
        waiting += list_waiting(planner_state, plan, queue, plan.job.id in entitled)
    if not waiting:
        return
    waiting.sort(key=lambda one: (one.rank, one.unit.tasks[0]))
    snapshot = CapacitySnapshot(planner_state, entitled)
    blocked = set()
    for entry in waiting:
        step = entry.unit[:3]
        # The tasks of a step are equal: if one cannot be placed, none can.
        if step in blocked and tuple(entry.unit) not in planner_state.reserved:
            continue
        if not place_unit(planner_state, snapshot, entry):
            blocked.add(step)
    steps = len({entry.unit[:3] for entry in waiting})
    pause_ms = steps * len(planner_state.workers) / PLACEMENT_CHECKS_PER_MS
    planner_state.pass_due_ms = now_ms + min(LONGEST_PAUSE_MS, int(pause_ms))


def list_waiting(
    planner_state: PlannerState,
    plan: JobPlan,
    queue: Queue,
    entitled: bool,
) -> list[WaitingUnit]:
    """Return the units of a job that may start now, with their ranks."""
    found = []
    now = planner_state.now
    for occurrence in range(plan.occurrences()):
        due_wall_ms = plan.due_wall_ms(occurrence)
        if due_wall_ms > now.wall_ms:
            break
        due_ms = plan.accepted_ms
        if due_wall_ms:
            due_ms = now.ms - (now.wall_ms - due_wall_ms)
        for number, step in enumerate(plan.job.steps):
            if not all(plan.is_step_done(occurrence, s) for s in step.after):
                continue
            if now.ms < plan.retry_at_ms.get((occurrence, number), 0):
                continue
            ready_ms = plan.ready_ms.setdefault((occurrence, number), now.ms)
            rank = rank_unit(
                plan,
                queue,
                number,
                due_ms,
                entitled,
                planner_state.durations,
                now.ms,
            )
            for unit in list_units(plan, occurrence, number, step):
                spread = rank.late or now.ms > ready_ms + SPREAD_AFTER_MS
                found.append(WaitingUnit(rank, unit, plan, queue, entitled, spread))
    return found


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


def place_unit(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> bool:
    """
    Assign a unit, or evict other work for it if it may.

    False means that the unit has to wait until other work ends by itself.
    """
    step = entry.plan.job.steps[entry.unit.step]
    count = len(entry.unit.tasks)
    key = tuple(entry.unit)
    candidates = list_usable(planner_state, snapshot, entry)
    reservation = planner_state.reserved.get(key)
    if reservation is not None and not is_reservation_usable(reservation, candidates):
        del planner_state.reserved[key]
        snapshot.refresh(reservation.placement)
        candidates = list_usable(planner_state, snapshot, entry)
        reservation = None
    if reservation is not None:
        candidates = [
            candidate
            for candidate in candidates
            if candidate.agent in reservation.placement
        ]
    placement = place_tasks(step, count, candidates, entry.spread)
    if waits_for_release(planner_state, entry, candidates, placement):
        return False
    if placement is not None:
        planner_state.reserved.pop(key, None)
        planner_state.assign(entry.plan, entry.unit, placement)
        snapshot.refresh((*placement, *(reservation.placement if reservation else ())))
        return True
    if reservation is not None:
        return True
    urgent = entry.queue.priority == URGENT_PRIORITY
    may_displace = entry.entitled or (urgent and not entry.rank.late)
    if may_displace and evict_for(planner_state, snapshot, entry, candidates):
        return True
    reserve_in_advance(snapshot, entry, candidates)
    return False


def list_usable(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> list[Candidate]:
    """Return the workers that may take a unit and are approved if need be."""
    candidates = snapshot.list_candidates(entry.unit, entry.queue)
    if entry.queue.advice is None:
        return candidates
    return filter_approved(planner_state, entry, candidates)


def is_reservation_usable(
    reservation: Reservation, candidates: list[Candidate]
) -> bool:
    """
    Whether all workers of a reservation still take work.

    One that has become slow or drains meanwhile would hold up the unit until the
    reservation expires, which is longer than guaranteed work may wait.
    """
    open_agents = {candidate.agent for candidate in candidates if not candidate.avoided}
    return open_agents.issuperset(reservation.placement)


def waits_for_release(
    planner_state: PlannerState,
    entry: WaitingUnit,
    candidates: list[Candidate],
    placement: Placement | None,
) -> bool:
    """
    Whether a gang waits until a release has drained more workers.

    The gang would be stopped whole with the first of its workers that drains, and lose
    its work and that of the runs it displaced. Work within its guarantee does not wait.
    """
    key = entry.unit[1:3]
    now = planner_state.now
    if (
        entry.entitled
        or len(entry.unit.tasks) == 1
        or now.ms > entry.plan.ready_ms[key] + RELEASE_WAIT_MS
        or not planner_state.releases.is_draining(entry.queue.service, now.wall_ms)
    ):
        return False
    outdated = {candidate.agent for candidate in candidates if candidate.outdated}
    return placement is None or not outdated.isdisjoint(placement)


def filter_approved(
    planner_state: PlannerState, entry: WaitingUnit, candidates: list[Candidate]
) -> list[Candidate]:
    """
    Return the approved workers for a step, and query the advice service for others.

    The query is sent with the first unit and names the emptiest workers first.
    """
    advice = entry.plan.advice.setdefault(entry.unit[1:3], StepAdvice())
    now_ms = planner_state.now.ms
    workers = [
        planner_state.workers[candidate.agent].id
        for candidate in sorted(candidates, key=candidate_order, reverse=True)
    ]
    approved = [
        candidate
        for candidate in candidates
        if advice.find_ticket(planner_state.workers[candidate.agent].id, now_ms)
        is not None
    ]
    query = advice.choose_query(workers, now_ms)
    terms = entry.queue.advice
    if query:
        advice.begin_query(query, now_ms)
        service_ms = terms.decision_ms + terms.worker_ms * len(query)
        names = tuple(worker.name for worker in query)
        limit_ms = service_ms + ADVICE_SLACK_MS
        planner_state.effects.append(
            QueryAdvice(planner_state.term, entry.unit[:3], names, limit_ms)
        )
    return approved


def reserve_in_advance(
    snapshot: CapacitySnapshot, entry: WaitingUnit, candidates: list[Candidate]
) -> None:
    """
    Reserve the resources that become free soonest for some tasks of a step.

    The reservation holds while units of lower rank are placed in the same pass.
    Without it small tasks would take every accelerator that becomes free, and a task
    that needs a whole worker would never start.
    """
    if (
        entry.rank.useless
        or len(snapshot.advance_reservations) >= ADVANCE_RESERVATIONS_LIMIT
    ):
        return
    step = entry.plan.job.steps[entry.unit.step]
    count = len(entry.unit.tasks)
    if not step.gang:
        count = len(list_units(entry.plan, *entry.unit[1:3], step))
        count = min(count, ADVANCE_RESERVATIONS_LIMIT)
    soonest = plan_eviction(
        step, count, candidates, snapshot.list_expected_ends(), latest_end
    )
    if soonest is not None:
        until_ms = snapshot.planner_state.now.ms
        snapshot.add_advance_reservation(
            Reservation(soonest.placement, resources_held(step), until_ms)
        )


def evict_for(
    planner_state: PlannerState,
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
) -> bool:
    """
    Stop work of lower rank so that urgent work fits; false if none was stopped.

    Resources are freed for all waiting units of the step at once, because a job is of
    no use in part. Work within its guarantee always gets its resources. Other urgent
    work gets them if it can then meet its objective, would not meet it by waiting,
    and the lost work is within the limit.
    """
    step = entry.plan.job.steps[entry.unit.step]
    units = [
        unit
        for unit in list_units(entry.plan, *entry.unit[1:3], step)
        if tuple(unit) not in planner_state.reserved
    ]
    count = sum(len(unit.tasks) for unit in units)
    if not entry.entitled and not is_eviction_worthwhile(
        snapshot, entry, candidates, count
    ):
        return False
    victims = group_victims(list_victims(planner_state, snapshot.entitled, entry))
    eviction = plan_eviction(step, count, candidates, victims)
    if eviction is None and entry.entitled and len(units) > 1:
        units, count = [entry.unit], len(entry.unit.tasks)
        eviction = plan_eviction(step, count, candidates, victims)
    if eviction is None:
        return False
    if not entry.entitled and eviction.cost > find_waste_limit(planner_state, entry):
        return False
    entry.plan.displaced_core_s += eviction.cost
    reserve(planner_state, units, eviction)
    planner_state.note(
        'room_reclaimed',
        job=entry.unit.job,
        entitled=entry.entitled,
        tasks=count,
        victims=len(eviction.victims),
        waste_core_s=round(eviction.cost, 1),
        workers=','.join(eviction.placement),
    )
    touched = set(eviction.placement)
    for job, occurrence, number, index in eviction.victims:
        for run in list(planner_state.plans[job].runs.values()):
            in_step = run.task[1:3] == (occurrence, number)
            if in_step and index in (-1, run.task.index):
                touched.add(run.worker.agent)
                planner_state.stop_run(run, 'reclaimed')
    snapshot.refresh(touched)
    return True


def reserve(planner_state: PlannerState, units: list[Unit], eviction: Eviction) -> None:
    """Reserve the resources freed by an eviction for its units."""
    need = resources_held(planner_state.plans[units[0].job].job.steps[units[0].step])
    until_ms = planner_state.now.ms + RESERVATION_MS
    placement = list(eviction.placement)
    for unit in units:
        agents = tuple(placement[: len(unit.tasks)])
        del placement[: len(unit.tasks)]
        planner_state.reserved[tuple(unit)] = Reservation(agents, need, until_ms)


def is_eviction_worthwhile(
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
    count: int,
) -> bool:
    """Whether a step can meet its objective by an eviction but not by waiting."""
    start_by_ms = entry.rank.start_by_ms
    if snapshot.planner_state.now.ms + STOP_MS > start_by_ms:
        return False
    step = entry.plan.job.steps[entry.unit.step]
    soonest = plan_eviction(
        step, count, candidates, snapshot.list_expected_ends(), latest_end
    )
    return soonest is None or soonest.cost > start_by_ms


def find_waste_limit(planner_state: PlannerState, entry: WaitingUnit) -> float:
    """Return the core-seconds of other work that may still be lost for a job."""
    step = entry.plan.job.steps[entry.unit.step]
    duration_ms = planner_state.durations.estimate_ms(
        entry.queue.name, step.estimated_ms
    )
    step_core_s = step.count * count_cores(step.need) * duration_ms / 1000
    limit = min(
        URGENT_WASTE_LIMIT, URGENT_WASTE_BASE + URGENT_WASTE_FACTOR * step_core_s
    )
    return limit - entry.plan.displaced_core_s


def list_victims(
    planner_state: PlannerState, entitled: set[str], entry: WaitingUnit
) -> list[Victim]:
    """Return the work that may be stopped for a unit; gangs are stopped whole."""
    victims = []
    evictable: dict[tuple, int] = {}
    for plan in planner_state.plans.values():
        queue = planner_state.find_queue(plan)
        urgent = queue is not None and queue.priority == URGENT_PRIORITY
        if plan.job.id in entitled or (urgent and not entry.entitled):
            continue
        groups: dict[tuple, list] = {}
        for run in plan.runs.values():
            index = -1 if plan.step(run.task).gang else run.task.index
            groups.setdefault((*run.task[:3], index), []).append(run)
        for key, runs in groups.items():
            step = plan.job.steps[key[2]]
            if step.is_long_running:
                remaining = evictable.setdefault(
                    key[:3],
                    count_evictable(plan, key, entry.entitled),
                )
                evictable[key[:3]] = remaining - len(runs)
                if remaining < len(runs):
                    continue
            priority = queue.priority if queue is not None else DEFERRABLE_PRIORITY
            earlier_runs = max(run.number for run in runs) - 1
            weight = VICTIM_WEIGHTS.get(priority, 1.0) * (
                1 + REPEAT_WEIGHT * earlier_runs
            )
            waste = weight * sum(lost_core_s(planner_state, run) for run in runs)
            freed = tuple((run.worker.agent, run.need) for run in runs)
            victims.append(Victim(key, freed, waste))
    return victims


def count_evictable(plan: JobPlan, key: tuple, entitled: bool) -> int:
    """
    Return how many tasks of a long-running step may be evicted now.

    Users notice each task that is unavailable, so only work within its guarantee may
    evict them, and only as many as the step's `max_unavailable` permits at a time.
    """
    step = plan.job.steps[key[2]]
    if not entitled:
        return 0
    if step.max_unavailable < 0:
        return step.count
    available = sum(
        run.stage is RunStage.RUNNING and run.percent >= AVAILABLE_PERCENT
        for run in plan.runs.values()
        if run.task[1:3] == key[1:3]
    )
    return max(0, step.max_unavailable - (step.count - available))


def lost_core_s(planner_state: PlannerState, run: Run) -> float:
    """Return the work that is lost by stopping a run, in core-seconds."""
    if run.stage in STOP_STAGES or run.stage is RunStage.RECORDING:
        return 0.0
    return planner_state.unsaved_core_s(run)
