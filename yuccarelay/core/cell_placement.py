"""Placing of guaranteed cells on live workers with as few moves as possible."""

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

# A cell without room tries this many parts of the fleet, in each of which smaller
# cells may move, and those may move others, down to a depth.
REPAIRS_PER_CELL = 8
REPAIR_DEPTH = 4
# Tries of all cells of one plan; bounds the time of a plan when room is short.
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
    Places cells on live workers and moves cells to make room for others.

    `placed` holds the bins of each placed cell, `pinned` the cells that stay.
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
        # Each step with the bins that a cell left, or None when it was placed.
        self.undo_log: list[tuple[CellKey, BinIndices | None]] = []
        self.unplaceable: set[Cell] = set()
        self.repairs_left = REPAIR_LIMIT

    def record(self, key: CellKey, indices: BinIndices) -> None:
        """Note the bins of a cell that the table holds."""
        self.placed[key] = indices
        for i in indices:
            self.by_bin.setdefault(i, {})[key] = None
        self.undo_log.append((key, None))

    def occupy(self, key: CellKey, indices: BinIndices) -> None:
        """Place a cell on bins."""
        self.table.take(self.cells[key], indices)
        self.record(key, indices)

    def vacate(self, key: CellKey) -> BinIndices:
        """Take a cell from its bins and return them."""
        indices = self.placed.pop(key)
        for i in indices:
            del self.by_bin[i][key]
        self.table.release(self.cells[key], indices)
        self.undo_log.append((key, indices))
        return indices

    def rollback(self, mark: int) -> None:
        """Undo the steps that the trail holds after the mark."""
        for key, indices in reversed(self.undo_log[mark:]):
            if indices is None:
                self.vacate(key)
            else:
                self.occupy(key, indices)
        del self.undo_log[mark:]

    def can_carry(self, cell: Cell, indices: BinIndices) -> bool:
        """Whether the bins are different, in the cell's place and have room."""
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
        """Leave no room on draining workers; the cells kept there stay."""
        for worker_id in self.draining:
            self.table.free[self.table.index[worker_id]] = 0

    def place_missing(self) -> None:
        """Place the cells without a home, moving others only when needed."""
        self.close_draining()
        # Moved cells can leave room for a cell that found none before.
        before = -1
        while before < len(self.placed):
            before = len(self.placed)
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
        """Place the cells without a home where there is room for them."""
        missing = self.list_missing()
        found = place_greedily(self.table, missing)
        for request, indices in zip(missing, found, strict=True):
            if indices:
                self.record(request[:2], indices)

    def list_missing(self) -> list[CellRequest]:
        """Return the cells without a home, difficult ones first."""
        missing = (
            CellRequest(*key, cell)
            for key, cell in self.cells.items()
            if key not in self.placed
        )
        return sorted(missing, key=make_packing_key)

    def repair(self, request: CellRequest, depth: int) -> bool:
        """
        Place a cell, moving smaller cells out of one part if there is no room.

        A moved cell that finds no room moves smaller ones in turn, down to
        `depth` levels. Parts with less in the way are tried first.
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
        Whether moves can ever make room for a cell.

        The free accelerators of all regions count, as cells of any region move.
        """
        start, end = self.table.find_range(cell._replace(region=''))
        return sum(self.table.free[start:end]) >= cell.workers * cell.accelerators

    def list_parts(self, cell: Cell) -> list[tuple[int, int, int, int]]:
        """Return the parts that can hold a cell: workers to move, size, start, end."""
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
        """Return the accelerators of a cell on all of its workers."""
        return self.cells[key].workers * self.cells[key].accelerators

    def fits_without_movable(self, cell: Cell, start: int, end: int) -> bool:
        """Whether a cell fits into a range of bins without its movable cells."""
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
        Whether a placed cell may move for the benefit of another.

        Only a cell that asks less of each worker, is smaller or is not bound to a
        region moves, so a chain of moves has an end.
        """
        other = self.cells[key]
        strict = (other.accelerators, other.workers, bool(other.region))
        wanted = (cell.accelerators, cell.workers, bool(cell.region))
        return key not in self.pinned and strict < wanted

    def list_movable(self, cell: Cell, start: int, end: int) -> list[CellKey]:
        """Return the cells on a range of bins that may move for another."""
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
        before = {key: self.vacate(key) for key in movable}
        indices = self.table.complete(request.cell, (), start)
        if indices and indices[0] < end:
            self.occupy(request[:2], indices)
            if self.place_vacated(before, depth):
                return True
        self.rollback(mark)
        return False

    def place_vacated(self, before: dict[CellKey, BinIndices], depth: int) -> bool:
        """Place vacated cells, at their old place if it has room."""
        ordered = sorted(
            (CellRequest(*key, self.cells[key]) for key in before),
            key=make_packing_key,
        )
        moved = []
        for request in ordered:
            old = before[request[:2]]
            if self.can_carry(request.cell, old):
                self.occupy(request[:2], old)
            else:
                moved.append(request)
        return all(self.repair(request, depth - 1) for request in moved)

    def repack_service(self, service: str) -> None:
        """
        Place all unpinned cells of a service anew if every cell finds room then.

        The manifest check allows packings that first fit does not find, so this
        is the search of the check.
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
