"""Chooses the runs to stop for urgent units, and reserves what they free."""

import enum

from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.draining import likely_end_ms
from yuccarelay.core.batch.entities import (
    JobPlan,
    Reservation,
    Run,
    RunStage,
    Unit,
)
from yuccarelay.core.batch.guarantees import URGENT_PRIORITY
from yuccarelay.core.batch.models import count_cores
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.run_times import Quantile
from yuccarelay.core.batch.stop_costs import (
    find_late_cost,
    is_made_late,
    weigh_loss,
)
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    resources_held,
)
from yuccarelay.core.batch.victim_search import (
    Eviction,
    Victim,
    group_victims,
    latest_end,
    list_reachable,
    plan_eviction,
    sum_freed_by,
)
from yuccarelay.core.batch.waiting_units import WaitingUnit, is_held, list_units

# Resources freed by victims are reserved for the unit they were stopped for. A stop
# takes up to a second, and a poll has to report its end; when the reservation expires,
# the unit is placed as any other.
RESERVATION_MS = 4_000
# Work on borrowed resources that may be lost for one urgent job outside its guarantee,
# in core-seconds: a multiple of the job's own work, because the benefit grows with the
# size of the job, and a base, because small jobs count too. The limit is about the
# value of an average urgent job in the users' deployments at their price of lost work.
URGENT_WASTE_BASE = 200
URGENT_WASTE_FACTOR = 1.5
URGENT_WASTE_LIMIT = 1_800
# A stop takes at most 0.4 to 0.9 s on the users' platform, usually half of that.
STOP_MS = 500
LONGEST_STOP_MS = 900
# What a restart costs a task at least beside the work again: the stop, a poll that
# lists its end, and a start, which takes 0.6 s with its record.
RESTART_MS = LONGEST_STOP_MS + 600
# Within this time a run ends by itself about as soon as a stop frees its resources, and
# its own caller would wait longer for a restart than for its end.
ENDING_MS = STOP_MS + RESTART_MS
# Runs that are being stopped are listed as ended by then.
FREED_RESERVATION_MS = LONGEST_STOP_MS + 1_000
# A long-running task is available once its worker lists it with this percentage.
AVAILABLE_PERCENT = 100


class Decline(enum.Enum):
    """
    Why no work is stopped for an urgent unit.

    UNREAD: not all workers have answered a new planner yet. LATE: its job cannot meet
    its objective any more, and it is outside its guarantee. TOO_LATE: likewise, once
    the stops have ended. WAITING_IS_ENOUGH: enough other work ends by itself in time.
    NOT_ENOUGH: all work that may be stopped is too little. TOO_COSTLY: the lost work
    exceeds the limit.
    """

    UNREAD = 'unread'
    LATE = 'late'
    TOO_LATE = 'too_late'
    WAITING_IS_ENOUGH = 'waiting_is_enough'
    NOT_ENOUGH = 'not_enough'
    TOO_COSTLY = 'too_costly'


def evict_for(
    planner_state: PlannerState,
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
) -> bool:
    """
    Stop work of lower rank so that urgent work fits; false if it got no reservation.

    Resources are freed for all waiting units of the step at once, because a job is of
    no use in part. A new planner stops nothing before the workers have answered it: the
    first of them may be full while most are idle. Work within its guarantee always gets
    its resources. Other urgent work gets them if it can then meet its objective, would
    not meet it by waiting, and the lost work is within the limit. What other stops free
    is reserved instead if it is enough.
    """
    if snapshot.awaits_answers:
        note_declined(planner_state, entry, Decline.UNREAD)
        return False
    step = entry.plan.job.steps[entry.unit.step]
    units = [
        unit
        for unit in list_units(entry.plan, *entry.unit[1:3], step)
        if tuple(unit) not in planner_state.reserved
        and not is_held(entry.plan, unit, planner_state.now.ms)
    ]
    count = sum(len(unit.tasks) for unit in units)
    if not entry.entitled:
        if planner_state.now.ms + STOP_MS > entry.rank.start_by_ms:
            note_declined(planner_state, entry, Decline.TOO_LATE)
            return False
        freed = plan_eviction(step, count, candidates, snapshot.list_stopping())
        if freed is not None:
            reserve_freed(planner_state, snapshot, units, freed)
            return True
        if not is_eviction_worthwhile(snapshot, entry, candidates, count):
            note_declined(planner_state, entry, Decline.WAITING_IS_ENOUGH)
            return False
    victims = group_victims(list_victims(planner_state, snapshot.entitled, entry))
    eviction = plan_eviction(step, count, candidates, victims)
    if eviction is None and entry.entitled and len(units) > 1:
        units, count = [entry.unit], len(entry.unit.tasks)
        eviction = plan_eviction(step, count, candidates, victims)
    if eviction is None:
        note_declined(planner_state, entry, Decline.NOT_ENOUGH)
        return False
    waste = sum(
        weigh_loss(planner_state, list_victim_runs(planner_state, key))
        for key in eviction.victims
    )
    limit = find_waste_limit(planner_state, entry)
    if not entry.entitled and waste > limit:
        note_declined(planner_state, entry, Decline.TOO_COSTLY, waste, limit)
        return False
    entry.plan.displaced_core_s += waste
    reserve(planner_state, units, eviction)
    planner_state.note(
        'room_reclaimed',
        job=entry.unit.job,
        entitled=entry.entitled,
        tasks=count,
        victims=len(eviction.victims),
        waste_core_s=round(waste, 1),
        made_late=count_made_late(planner_state, eviction),
        unread=planner_state.count_unread(),
        workers=','.join(eviction.placement),
    )
    touched = set(eviction.placement)
    for key in eviction.victims:
        for run in list_victim_runs(planner_state, key):
            touched.add(run.worker.agent)
            planner_state.stop_run(run, 'reclaimed')
    snapshot.refresh(touched)
    return True


def note_declined(
    planner_state: PlannerState,
    entry: WaitingUnit,
    reason: Decline,
    waste_core_s: float = 0,
    limit_core_s: float = 0,
) -> None:
    """Log why nothing is stopped for an urgent unit, whenever the reason changes."""
    wait = entry.plan.waits[entry.unit.tasks[0][1:]]
    if wait.declined == reason.value:
        return
    wait.declined = reason.value
    planner_state.note(
        'room_not_reclaimed',
        job=entry.unit.job,
        step=entry.unit.step,
        occurrence=entry.unit.occurrence,
        index=entry.unit.tasks[0].index,
        tasks=len(entry.unit.tasks),
        reason=reason.value,
        entitled=entry.entitled,
        waited_ms=planner_state.now.ms - wait.since_ms,
        start_by_in_ms=int(entry.rank.start_by_ms - planner_state.now.ms),
        waste_core_s=round(waste_core_s, 1),
        limit_core_s=round(limit_core_s, 1),
    )


def list_victim_runs(planner_state: PlannerState, key: tuple) -> list[Run]:
    """Return the runs of a victim; the index is -1 for all members of a gang."""
    job, occurrence, number, index = key
    return [
        run
        for run in planner_state.plans[job].runs.values()
        if run.task[1:3] == (occurrence, number) and index in (-1, run.task.index)
    ]


def count_made_late(planner_state: PlannerState, eviction: Eviction) -> int:
    """Return how many victims would meet their objectives if they were left."""
    victims = [list_victim_runs(planner_state, key) for key in eviction.victims]
    return sum(is_made_late(planner_state, runs, RESTART_MS) for runs in victims)


def reserve(
    planner_state: PlannerState,
    units: list[Unit],
    eviction: Eviction,
    for_ms: int = RESERVATION_MS,
) -> None:
    """Reserve the resources that become free for some units."""
    need = resources_held(planner_state.plans[units[0].job].job.steps[units[0].step])
    until_ms = planner_state.now.ms + for_ms
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
    """Whether a step meets its objective by an eviction but not by waiting."""
    step = entry.plan.job.steps[entry.unit.step]
    ends = snapshot.list_expected_ends(Quantile.MEDIAN)
    # Waiting that long is no slower than a stop.
    stopped_by_ms = snapshot.planner_state.now.ms + LONGEST_STOP_MS
    deadline_ms = max(entry.rank.start_by_ms, stopped_by_ms)
    freed = sum_freed_by(ends, deadline_ms)
    if not list_reachable(step, count, candidates, freed):
        # All that ends in time is too little, on whichever workers.
        return True
    soonest = plan_eviction(step, count, candidates, ends, latest_end)
    return soonest is None or soonest.cost > deadline_ms


def reserve_freed(
    planner_state: PlannerState,
    snapshot: CapacitySnapshot,
    units: list[Unit],
    freed: Eviction,
) -> None:
    """
    Reserve what is free, or is being freed, for the units of a step.

    Without this, other work starts on whichever part is free first, and more work is
    stopped for the same step.
    """
    reserve(planner_state, units, freed, FREED_RESERVATION_MS)
    planner_state.note(
        'room_reserved',
        job=units[0].job,
        tasks=len(freed.placement),
        workers=','.join(freed.placement),
    )
    snapshot.refresh(freed.placement)


def find_waste_limit(planner_state: PlannerState, entry: WaitingUnit) -> float:
    """Return the core-seconds of other work that may still be lost for a job."""
    step = entry.plan.job.steps[entry.unit.step]
    duration_ms = planner_state.run_times.total_ms(
        entry.queue.name, step, Quantile.MEDIAN
    )
    step_core_s = step.count * count_cores(step.need) * duration_ms / 1000
    limit = min(
        URGENT_WASTE_LIMIT, URGENT_WASTE_BASE + URGENT_WASTE_FACTOR * step_core_s
    )
    return limit - entry.plan.displaced_core_s


def list_victims(
    planner_state: PlannerState, entitled: set[str], entry: WaitingUnit
) -> list[Victim]:
    """
    Return the work that may be stopped for a unit; gangs are stopped whole.

    Work within its guarantee may stop whatever it likes, so for it a whole step that
    would miss its objective by the stop costs more. Single tasks of a wide step are
    left out, because the first of them that is stopped makes their job late.
    """
    victims = []
    evictable: dict[tuple, int] = {}
    for plan in planner_state.plans.values():
        queue = planner_state.find_queue(plan)
        if queue is None:
            # Nothing tells where it could run again.
            continue
        urgent = queue.priority == URGENT_PRIORITY
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
            if not entry.entitled and is_ending(planner_state, runs):
                continue
            is_whole = step.gang or step.count == 1
            freed = tuple((run.worker.agent, run.need) for run in runs)
            cost = weigh_loss(planner_state, runs, RESTART_MS)
            if (
                entry.entitled
                and is_whole
                and is_made_late(planner_state, runs, RESTART_MS)
            ):
                cost += find_late_cost(queue.priority)
            victims.append(Victim(key, freed, cost))
    return victims


def is_ending(planner_state: PlannerState, runs: list[Run]) -> bool:
    """
    Whether a task or all members of a gang are expected to end very soon.

    Nothing is known of the end of a run without progress that has outlasted its
    estimate.
    """
    ends_by_ms = planner_state.now.ms + ENDING_MS
    return all(
        run.stage is RunStage.RUNNING
        and planner_state.will_end(run)
        and planner_state.now.ms < likely_end_ms(planner_state, run) <= ends_by_ms
        for run in runs
    )


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
