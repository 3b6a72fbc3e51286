"""The guarantee plan: which live workers carry which guaranteed cells."""

from collections.abc import Sequence
from typing import NamedTuple

from yuccarelay.core.cell_placement import CellKey, CellPlacer
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.models import OwnedShare, WorkerState
from yuccarelay.core.packing import CellRequest, list_requests


class CellAssignment(NamedTuple):
    """
    The workers that carry one guaranteed cell.

    `ordinal` numbers the cells of one organisation in the order of its
    guarantee; `accelerators` counts per worker.
    """

    organisation: str
    ordinal: int
    workers: tuple[str, ...]
    accelerators: int


class Plan(NamedTuple):
    """Which workers carry which guaranteed cells; `epoch` rises with each change."""

    epoch: int
    generation: int
    assignments: tuple[CellAssignment, ...]


def assign_cells(
    manifest: Manifest,
    generation: int,
    workers: Sequence[WorkerState],
    previous: Plan | None,
    pinned: frozenset[CellKey],
) -> Plan:
    """
    Return the plan for the live workers, `previous` itself when nothing changes.

    An assignment stays when its workers are present, not draining and have the
    capacity. `pinned` names cells of the previous plan that are in use: they are
    placed first, are not moved for others, and stay on a draining worker. The
    order of `workers` does not matter. Cells that do not fit are left out.
    """
    requests = list_plan_requests(manifest)
    placer = CellPlacer(workers, requests)
    if previous:
        keep_assignments(placer, previous, pinned)
    placer.place_missing()
    assignments = list_assignments(placer)
    if (
        previous
        and previous.generation == generation
        and previous.assignments == assignments
    ):
        return previous
    return Plan(previous.epoch + 1 if previous else 1, generation, assignments)


def unplaced_cells(manifest: Manifest, plan: Plan) -> tuple[CellRequest, ...]:
    """Return the guaranteed cells that the plan leaves out, by organisation."""
    placed = {
        (assignment.organisation, assignment.ordinal) for assignment in plan.assignments
    }
    return tuple(
        request
        for request in list_plan_requests(manifest)
        if (request.organisation, request.ordinal) not in placed
    )


def owned_shares(plan: Plan, worker_id: str) -> tuple[OwnedShare, ...]:
    """
    Return what each organisation owns on a worker, sorted by organisation.

    For many workers of one plan, `index_shares` is faster.
    """
    assignments = tuple(
        assignment for assignment in plan.assignments if worker_id in assignment.workers
    )
    return index_shares(plan._replace(assignments=assignments)).get(worker_id, ())


def index_shares(plan: Plan) -> dict[str, tuple[OwnedShare, ...]]:
    """Return the owned shares of every worker that carries a cell."""
    totals: dict[str, dict[str, int]] = {}
    for assignment in plan.assignments:
        for worker_id in assignment.workers:
            shares = totals.setdefault(worker_id, {})
            owned = shares.get(assignment.organisation, 0)
            shares[assignment.organisation] = owned + assignment.accelerators
    return {
        worker_id: tuple(OwnedShare(*share) for share in sorted(shares.items()))
        for worker_id, shares in totals.items()
    }


def list_plan_requests(manifest: Manifest) -> list[CellRequest]:
    """Return all guaranteed cells of a manifest by organisation and ordinal."""
    return list_requests(
        {
            name: organisation.guarantee
            for name, organisation in manifest.organisations.items()
        },
    )


def keep_assignments(
    placer: CellPlacer, previous: Plan, pinned: frozenset[CellKey]
) -> None:
    """
    Place the cells of the previous plan that may stay.

    When a guarantee changes, the ordinals of its cells shift. An assignment whose
    ordinal now names a cell of another size is kept for a cell of its own size.
    """
    assignments = sorted(
        previous.assignments,
        key=lambda assignment: (assignment[:2] not in pinned, assignment),
    )
    shifted = []
    for assignment in assignments:
        is_pinned = assignment[:2] in pinned
        if not keep_assignment(
            placer, assignment, assignment[:2], is_pinned
        ) and are_workers_present(placer, assignment, is_pinned):
            shifted.append(assignment)
    unplaced: dict[str, list[CellKey]] = {}
    for key in placer.cells:
        if key not in placer.placed:
            unplaced.setdefault(key[0], []).append(key)
    for assignment in shifted:
        keys = unplaced.get(assignment.organisation, [])
        kept = next(
            (
                key
                for key in keys
                if keep_assignment(placer, assignment, key, assignment[:2] in pinned)
            ),
            None,
        )
        if kept:
            keys.remove(kept)


def are_workers_present(
    placer: CellPlacer, assignment: CellAssignment, pinned: bool
) -> bool:
    """Whether the workers are present and, unless the cell is pinned, not draining."""
    present = all(name in placer.table.index for name in assignment.workers)
    return present and (pinned or placer.draining.isdisjoint(assignment.workers))


def keep_assignment(
    placer: CellPlacer, assignment: CellAssignment, key: CellKey, pinned: bool
) -> bool:
    """Place the cell on the workers of the assignment; return false if it cannot."""
    cell = placer.cells.get(key)
    if cell is None or key in placer.placed:
        return False
    size = (len(assignment.workers), assignment.accelerators)
    if size != (cell.workers, cell.accelerators):
        return False
    if not are_workers_present(placer, assignment, pinned):
        return False
    indices = tuple(sorted(placer.table.index[name] for name in assignment.workers))
    if not placer.can_carry(cell, indices):
        return False
    placer.occupy(key, indices)
    if pinned:
        placer.pinned.add(key)
    return True


def list_assignments(placer: CellPlacer) -> tuple[CellAssignment, ...]:
    """Return the assignments by organisation and ordinal."""
    return tuple(
        CellAssignment(
            organisation=key[0],
            ordinal=key[1],
            workers=placer.table.name_workers(indices),
            accelerators=placer.cells[key].accelerators,
        )
        for key, indices in sorted(placer.placed.items())
    )
