"""Placement of guaranteed cells on live workers with as few moves as possible."""

from collections.abc import Iterable

from result import Err, Ok

from yuccarelay.core.fleet import Cell
from yuccarelay.core.models import WorkerState
from yuccarelay.core.packing import (
    Bin,
    BinTable,
    CellRequest,
    make_packing_key,
    place_greedily,
    search,
)

# A cell that does not fit is tried in this many parts of the fleet. In each part
# smaller cells may move, and these may move others, down to `REPAIR_DEPTH`.
REPAIRS_PER_CELL = 8
REPAIR_DEPTH = 4
# Number of repairs in one plan; bounds the time of a plan when capacity is short.
REPAIR_LIMIT = 128

CellKey = tuple[str, int]
BinIndices = tuple[int, ...]


def list_live_workers(workers: Iterable[WorkerState]) -> list[WorkerState]:
    """Return the newest state of each worker, sorted by name."""
    newest: dict[str, WorkerState] = {}
    for state in sorted(workers):
        newest[state.worker_id] = state
    return list(newest.values())


class CellPlacer:
    """
    Places cells on live workers and moves cells so that others fit.

    `placed` holds the bins of each placed cell, `pinned` the cells that must not
    move.
    """

    def __init__(
        self,
        workers: Iterable[WorkerState],
        requests: Iterable[CellRequest],
    ):
        self.cells: dict[CellKey, Cell] = {
            (request.organisation, request.ordinal): request.cell
            for request in requests
        }
        self.placed: dict[CellKey, BinIndices] = {}
        self.pinned: set[CellKey] = set()
        live = list_live_workers(workers)
        self.table = BinTable(
            Bin(
                service=state.service,
                region=state.region,
                domain=state.domain,
                rack=state.rack,
                worker_id=state.worker_id,
                accelerators=state.accelerators,
            )
            for state in live
        )
        self.draining = {state.worker_id for state in live if state.draining}
        # Cells on each bin; a dict keeps the order the same in every run.
        self.by_bin: dict[int, dict[CellKey, None]] = {}
        # Steps to undo: a cell and the bins that it left, or None if it was placed.
        self.undo_log: list[tuple[CellKey, BinIndices | None]] = []
        self.unplaceable: set[Cell] = set()
        self.repairs_left = REPAIR_LIMIT

    def record(self, key: CellKey, indices: BinIndices) -> None:
        """Record the bins of a cell whose accelerators the table has allocated."""
        self.placed[key] = indices
        for i in indices:
            self.by_bin.setdefault(i, {})[key] = None
        self.undo_log.append((key, None))

    def occupy(self, key: CellKey, indices: BinIndices) -> None:
        """Place a cell on bins."""
        self.table.take(self.cells[key], indices)
        self.record(key, indices)

    def vacate(self, key: CellKey) -> BinIndices:
        """Remove a cell from its bins and return the bins."""
        indices = self.placed.pop(key)
        for i in indices:
            del self.by_bin[i][key]
        self.table.release(self.cells[key], indices)
        self.undo_log.append((key, indices))
        return indices

    def rollback(self, mark: int) -> None:
        """Undo the steps that follow position `mark` of the undo log."""
        for key, indices in reversed(self.undo_log[mark:]):
            if indices is None:
                self.vacate(key)
            else:
                self.occupy(key, indices)
        del self.undo_log[mark:]

    def can_carry(self, cell: Cell, indices: BinIndices) -> bool:
        """Whether the bins are distinct, meet the constraints and have the capacity."""
        low, end = self.table.find_range(cell)
        if indices[0] < low or indices[-1] >= min(
            end,
            self.table.find_part_end(cell, indices[0]),
        ):
            return False
        if len(set(indices)) < len(indices):
            return False
        return all(self.table.free[i] >= cell.accelerators for i in indices)

    def close_draining(self) -> None:
        """Leave no free capacity on draining workers; the cells placed there stay."""
        for worker_id in self.draining:
            self.table.free[self.table.index[worker_id]] = 0

    def place_missing(self) -> None:
        """Place the unassigned cells and move others only when needed."""
        self.close_draining()
        # After moves, a cell may fit that did not fit before.
        placed_count = -1
        while placed_count < len(self.placed):
            placed_count = len(self.placed)
            self.unplaceable.clear()
            self.place_without_moves()
            for request in self.list_missing():
                if request.cell in self.unplaceable:
                    continue
                # Short chains of moves are tried first.
                depths = range(1, REPAIR_DEPTH + 1)
                if not any(self.repair(request, depth) for depth in depths):
                    self.unplaceable.add(request.cell)
        missing = self.list_missing()
        for service in sorted({request.cell.service for request in missing}):
            self.repack_service(service)

    def place_without_moves(self) -> None:
        """Place the unassigned cells that fit without moves."""
        missing = self.list_missing()
        found = place_greedily(self.table, missing)
        for request, indices in zip(missing, found, strict=True):
            if indices:
                self.record(request[:2], indices)

    def list_missing(self) -> list[CellRequest]:
        """Return the unassigned cells in the order of `make_packing_key`."""
        missing = (
            CellRequest(*key, cell)
            for key, cell in self.cells.items()
            if key not in self.placed
        )
        return sorted(missing, key=make_packing_key)

    def repair(self, request: CellRequest, depth: int) -> bool:
        """
        Place a cell; if it does not fit, move smaller cells out of one part.

        A moved cell that does not fit moves smaller ones in turn, down to `depth`
        levels. Parts with the fewest workers to move are tried first.
        """
        indices = self.table.complete(request.cell, (), 0)
        if indices:
            self.occupy(request[:2], indices)
            return True
        if depth == 0 or not self.has_accelerators(request.cell):
            return False
        for _, _, start, end in self.list_parts(request.cell)[:REPAIRS_PER_CELL]:
            if self.repairs_left == 0:
                return False
            self.repairs_left -= 1
            if self.repair_part(request, start, end, depth):
                return True
        return False

    def has_accelerators(self, cell: Cell) -> bool:
        """
        Whether enough accelerators are free for a cell to fit after moves.

        The free accelerators of all regions count, because cells without a region
        can move between regions.
        """
        start, end = self.table.find_range(cell._replace(region=''))
        return sum(self.table.free[start:end]) >= cell.workers * cell.accelerators

    def list_parts(self, cell: Cell) -> list[tuple[int, int, int, int]]:
        """Return parts for a cell: workers and accelerators to move, start, end."""
        parts = []
        i, end = self.table.find_range(cell)
        while i < end:
            part_end = min(end, self.table.find_part_end(cell, i))
            if self.fits_without_movable(cell, i, part_end):
                movable = self.list_movable(cell, i, part_end)
                workers = sum(self.cells[key].workers for key in movable)
                size = sum(self.measure_size(key) for key in movable)
                parts.append((workers, size, i, part_end))
            i = part_end
        return sorted(parts)

    def measure_size(self, key: CellKey) -> int:
        """Return the number of accelerators of a cell on all of its workers."""
        return self.cells[key].workers * self.cells[key].accelerators

    def fits_without_movable(self, cell: Cell, start: int, end: int) -> bool:
        """Whether a cell fits into a range of bins without the movable cells there."""
        workers = 0
        for i in range(start, end):
            free = self.table.free[i]
            for key in self.by_bin.get(i, ()):
                if self.is_movable(key, cell):
                    free += self.cells[key].accelerators
            workers += free >= cell.accelerators
        return workers >= cell.workers

    def is_movable(self, key: CellKey, cell: Cell) -> bool:
        """
        Whether a placed cell may move so that `cell` fits.

        Compared in this order, the cell must have fewer accelerators per worker,
        fewer workers, or no region where `cell` has one. So a chain of moves ends.
        """
        other = self.cells[key]
        other_size = (other.accelerators, other.workers, bool(other.region))
        cell_size = (cell.accelerators, cell.workers, bool(cell.region))
        return key not in self.pinned and other_size < cell_size

    def list_movable(self, cell: Cell, start: int, end: int) -> list[CellKey]:
        """Return the cells on a range of bins that may move so that `cell` fits."""
        keys = {key: None for i in range(start, end) for key in self.by_bin.get(i, ())}
        return [key for key in keys if self.is_movable(key, cell)]

    def repair_part(
        self,
        request: CellRequest,
        start: int,
        end: int,
        depth: int,
    ) -> bool:
        """Try to place a cell in a range of bins by moving smaller cells."""
        mark = len(self.undo_log)
        movable = self.list_movable(request.cell, start, end)
        vacated = {key: self.vacate(key) for key in movable}
        indices = self.table.complete(request.cell, (), start)
        if indices and indices[0] < end:
            self.occupy(request[:2], indices)
            if self.place_vacated(vacated, depth):
                return True
        self.rollback(mark)
        return False

    def place_vacated(self, vacated: dict[CellKey, BinIndices], depth: int) -> bool:
        """Place vacated cells, on their old bins if they still fit there."""
        ordered = sorted(
            (CellRequest(*key, self.cells[key]) for key in vacated),
            key=make_packing_key,
        )
        moved = []
        for request in ordered:
            old = vacated[request[:2]]
            if self.can_carry(request.cell, old):
                self.occupy(request[:2], old)
            else:
                moved.append(request)
        return all(self.repair(request, depth - 1) for request in moved)

    def repack_service(self, service: str) -> None:
        """
        Place all unpinned cells of a service anew, provided that all cells fit.

        The manifest check accepts guarantees that first fit cannot pack, so this
        uses the same search as the check.
        """
        mark = len(self.undo_log)
        for key in tuple(self.placed):
            if key not in self.pinned and self.cells[key].service == service:
                self.vacate(key)
        requests = [r for r in self.list_missing() if r.cell.service == service]
        match search(self.table, requests):
            case Ok(found):
                for request, indices in found.items():
                    self.record(request[:2], indices)
            case Err(_):
                self.rollback(mark)
