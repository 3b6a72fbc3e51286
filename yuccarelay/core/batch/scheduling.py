"""Chooses the units to start now, and their workers."""

from yuccarelay.core.batch.advice import StepAdvice
from yuccarelay.core.batch.capacity_snapshot import (
    BACKFILL_LIMIT_MS,
    CapacitySnapshot,
)
from yuccarelay.core.batch.crashes import (
    SETTLING_WAIT_MS,
    keep_off,
    list_settled,
    must_settle,
    note_new_neighbours,
    reserve_settling,
)
from yuccarelay.core.batch.entities import Reservation
from yuccarelay.core.batch.events import QueryAdvice
from yuccarelay.core.batch.eviction import Decline, evict_for, note_declined
from yuccarelay.core.batch.guarantees import URGENT_PRIORITY, find_entitled
from yuccarelay.core.batch.last_attempts import withhold_unproven
from yuccarelay.core.batch.placement_choice import (
    choose_placement,
    choose_reserved,
    has_room,
    note_separation,
)
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.run_times import Quantile
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Placement,
    candidate_order,
    resources_held,
)
from yuccarelay.core.batch.victim_search import (
    latest_end,
    plan_eviction,
)
from yuccarelay.core.batch.wait_report import report_unknown_queue, report_wait
from yuccarelay.core.batch.waiting_units import (
    UnitKinds,
    WaitingUnit,
    list_units,
    list_waiting,
)

# A gang waits at most this long for a release, because a release may stop and go on.
RELEASE_WAIT_MS = 6_000
# Units with an advance reservation while units of lower rank are placed. More would
# leave resources idle for work that starts much later.
ADVANCE_RESERVATIONS_LIMIT = 4
# Checks of one step against one worker that a scheduling pass makes in a millisecond
# on half a core. A pass is followed by a pause of its own length, so that the process
# can also answer callers.
PLACEMENT_CHECKS_PER_MS = 40
LONGEST_PAUSE_MS = 100
# Time that an advice query may take beyond the response time of the service itself.
ADVICE_SLACK_MS = 1_500


def assign_units(planner_state: PlannerState) -> None:
    """Place the waiting units in the order of their ranks."""
    now_ms = planner_state.now.ms
    if not planner_state.is_term_confirmed():
        return
    if not planner_state.evacuated.is_confirmed(now_ms):
        # Work may have to keep off any failure domain.
        return
    for key, reservation in list(planner_state.reserved.items()):
        if now_ms > reservation.until_ms:
            del planner_state.reserved[key]
    entitled = find_entitled(planner_state)
    waiting: list[WaitingUnit] = []
    for plan in planner_state.plans.values():
        queue = planner_state.find_queue(plan)
        if plan.ended:
            continue
        if queue is None:
            report_unknown_queue(planner_state, plan)
            continue
        waiting += list_waiting(planner_state, plan, queue, plan.job.id in entitled)
    if not waiting:
        return
    waiting.sort(key=lambda one: (one.rank, one.unit.tasks[0]))
    snapshot = CapacitySnapshot(planner_state, entitled)
    kinds, blocked = UnitKinds(), set()
    for entry in waiting:
        kind = kinds.find(entry)
        # If one of several alike units cannot be placed, the others wait.
        if kind in blocked and tuple(entry.unit) not in planner_state.reserved:
            continue
        if not place_unit(planner_state, snapshot, entry):
            blocked.add(kind)
    steps = len({entry.unit[:3] for entry in waiting})
    pause_ms = steps * len(planner_state.workers) / PLACEMENT_CHECKS_PER_MS
    planner_state.pass_due_ms = now_ms + min(LONGEST_PAUSE_MS, int(pause_ms))


def place_unit(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> bool:
    """
    Assign a unit, or evict other work for it if it may.

    False means that the unit has to wait until other work ends by itself.
    """
    key = tuple(entry.unit)
    candidates = list_usable(planner_state, snapshot, entry)
    reservation = planner_state.reserved.get(key)
    if reservation is not None and not is_reservation_usable(reservation, candidates):
        note_reservation_lost(snapshot, entry, reservation, candidates)
        del planner_state.reserved[key]
        snapshot.refresh(reservation.placement)
        candidates = list_usable(planner_state, snapshot, entry)
        reservation = None
    open_candidates = candidates
    if must_settle(planner_state, entry.unit):
        candidates = list_settled(planner_state, entry.unit, candidates)
    placement = None
    if reservation is not None:
        placement = choose_reserved(snapshot, entry, candidates, reservation)
    elif has_room(snapshot, entry):
        placement = choose_placement(snapshot, entry, candidates)
    if placement is None and reservation is None:
        backfill = snapshot.list_backfill(entry.unit, entry.queue, candidates)
        if backfill:
            placement = choose_placement(snapshot, entry, backfill)
    if waits_for_release(planner_state, entry, candidates, placement):
        report_wait(planner_state, snapshot, entry)
        return False
    if placement is not None:
        planner_state.reserved.pop(key, None)
        planner_state.assign(entry.plan, entry.unit, placement)
        note_separation(snapshot, entry, candidates, placement)
        note_new_neighbours(planner_state, entry.unit)
        snapshot.refresh((*placement, *(reservation.placement if reservation else ())))
        return True
    if reservation is not None:
        return True
    urgent = entry.queue.priority == URGENT_PRIORITY
    may_displace = entry.entitled or (urgent and not entry.rank.late)
    if may_displace and evict_for(planner_state, snapshot, entry, candidates):
        return True
    if reserve_unsettled(planner_state, snapshot, entry, open_candidates):
        return True
    has_unsettled = len(candidates) < len(open_candidates)
    if (
        may_displace
        and has_unsettled
        and evict_for(planner_state, snapshot, entry, open_candidates)
    ):
        return True
    if urgent and not may_displace:
        note_declined(planner_state, entry, Decline.LATE)
    report_wait(planner_state, snapshot, entry)
    reserve_in_advance(snapshot, entry, open_candidates)
    return False


def reserve_unsettled(
    planner_state: PlannerState,
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
) -> bool:
    """Reserve workers for a unit that waits only for new runs to survive."""
    wait = entry.plan.waits[entry.unit.tasks[0][1:]]
    has_waited = planner_state.now.ms >= wait.since_ms + SETTLING_WAIT_MS
    if not has_waited or not must_settle(planner_state, entry.unit):
        return False
    placement = choose_placement(snapshot, entry, candidates)
    if placement is None:
        return False
    reserve_settling(planner_state, entry.unit, placement)
    snapshot.refresh(placement)
    return True


def list_usable(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> list[Candidate]:
    """Return the workers that may take a unit and are approved if need be."""
    candidates = snapshot.list_candidates(
        entry.unit, entry.queue, needs_speed=entry.needs_speed
    )
    candidates = withhold_unproven(planner_state, snapshot, entry, candidates)
    candidates = keep_off(planner_state, entry.unit, entry.entitled, candidates)
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
    return not list_closed(reservation, candidates)


def list_closed(reservation: Reservation, candidates: list[Candidate]) -> list[str]:
    """Return the workers of a reservation that take no work of its unit any more."""
    open_agents = {candidate.agent for candidate in candidates if not candidate.avoided}
    return sorted(set(reservation.placement) - open_agents)


def note_reservation_lost(
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    reservation: Reservation,
    candidates: list[Candidate],
) -> None:
    """Log that a unit loses its reserved workers, and which of them takes no work."""
    snapshot.planner_state.note(
        'reservation_lost',
        job=entry.unit.job,
        step=entry.unit.step,
        occurrence=entry.unit.occurrence,
        index=entry.unit.tasks[0].index,
        tasks=len(entry.unit.tasks),
        workers=len(set(reservation.placement)),
        fits_elsewhere=has_room(snapshot, entry),
        closed=','.join(list_closed(reservation, candidates)),
    )


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
    that needs a whole worker would never start. Runs on a slow or failing worker may
    not end when they are expected to, so nothing is withheld for these.
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
    now_ms = snapshot.planner_state.now.ms
    workers = snapshot.planner_state.workers
    sound = [
        candidate
        for candidate in candidates
        if now_ms >= workers[candidate.agent].avoid_until_ms
    ]
    ends = snapshot.list_expected_ends(Quantile.HIGH)
    soonest = plan_eviction(step, count, sound, ends, latest_end)
    if soonest is not None:
        since_ms = entry.plan.waits[entry.unit.tasks[0][1:]].since_ms
        snapshot.add_advance_reservation(
            Reservation(
                placement=soonest.placement,
                need=resources_held(step),
                until_ms=now_ms,
                backfill_until_ms=since_ms + BACKFILL_LIMIT_MS,
                start_ms=soonest.cost,
            )
        )
