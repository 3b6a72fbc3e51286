"""Choice of the workers on which a waiting unit starts now."""

from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.crashes import has_crashed_worker, list_unshared
from yuccarelay.core.batch.entities import Reservation
from yuccarelay.core.batch.neighbours import find_kind
from yuccarelay.core.batch.unit_placement import (
    Candidate,
    Placement,
    group_suitable,
    needs_group,
    place_tasks,
    resources_held,
)
from yuccarelay.core.batch.waiting_units import WaitingUnit


def has_room(snapshot: CapacitySnapshot, entry: WaitingUnit) -> bool:
    """
    Whether as many tasks as a unit has would fit if it took any worker.

    On a full fleet this saves the search for each unit that waits.
    """
    need = resources_held(entry.plan.job.steps[entry.unit.step])
    slots = snapshot.count_slots(entry.queue.service, need)
    return slots >= len(entry.unit.tasks)


def choose_placement(
    snapshot: CapacitySnapshot, entry: WaitingUnit, candidates: list[Candidate]
) -> Placement | None:
    """
    Return the workers for a unit, or None; on probation it runs alone if it can.

    While a new planner has not heard all workers, a unit that belongs on one rack does
    not go elsewhere, not even if it is late, because that rack may be among the workers
    that are not heard.
    """
    step = entry.plan.job.steps[entry.unit.step]
    count = len(entry.unit.tasks)
    if (
        needs_group(step)
        and snapshot.awaits_answers
        and group_suitable(step, count, candidates) is None
    ):
        return None
    spread = entry.spread and not snapshot.awaits_answers
    placement = None
    if has_crashed_worker(entry.plan, entry.unit):
        unshared = list_unshared(snapshot.planner_state, entry.unit, candidates)
        placement = place_tasks(step, count, unshared, spread)
    return placement or place_tasks(step, count, candidates, spread)


def choose_reserved(
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
    reservation: Reservation,
) -> Placement | None:
    """
    Return the workers for a unit that has some reserved, or None.

    It also starts elsewhere once it fits there, because a reserved worker that does not
    answer its stops would hold it up. Doubtful workers had been passed over when its
    own were reserved, so it does not go to these.
    """
    reserved = [
        candidate
        for candidate in candidates
        if candidate.agent in reservation.placement
    ]
    return choose_placement(snapshot, entry, reserved) or choose_placement(
        snapshot,
        entry,
        [
            candidate
            for candidate in candidates
            if candidate.agent in reservation.placement or not candidate.is_doubtful
        ],
    )


def note_separation(
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
    placement: Placement,
) -> None:
    """Log a placement that known interference has decided."""
    costs = {candidate.agent: candidate.interference for candidate in candidates}
    if not any(
        candidate.interference or candidate.self_interference
        for candidate in candidates
    ):
        return
    plain = choose_placement(
        snapshot,
        entry,
        [
            candidate._replace(interference=0, self_interference=0)
            for candidate in candidates
        ],
    )
    if plain is None or sorted(plain) == sorted(placement):
        return
    step = entry.plan.job.steps[entry.unit.step]
    snapshot.planner_state.note(
        'interference_avoided',
        job=entry.unit.job,
        step=entry.unit.step,
        index=entry.unit.tasks[0].index,
        kind=find_kind(entry.plan, step),
        workers=','.join(placement),
        instead_of=','.join(plain),
        cost=round(sum(costs[agent] for agent in placement), 1),
        avoided_cost=round(sum(costs[agent] for agent in plain), 1),
    )
