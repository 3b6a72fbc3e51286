"""Packing of cells into workers: first fit decreasing with bounded backtracking."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from yuccarelay.core.fleet import Cell, GuaranteedCell, RackCapacity
from yuccarelay.core.models import Adjacency

# A step examines one worker. The limit bounds the time that a check takes on an
# entry; steps count from the first cell that did not fit.
STEP_LIMIT = 1_000_000

_LEVELS = {Adjacency.RACK: 4, Adjacency.DOMAIN: 3, Adjacency.REGION: 2}


class Bin(NamedTuple):
    """A worker that carries cells. Bins are sorted by their fields in this order."""

    service: str
    region: str
    domain: str
    rack: str
    worker_id: str
    accelerators: int


class CellRequest(NamedTuple):
    """One guaranteed cell of an organisation, see `CellAssignment` for `ordinal`."""

    organisation: str
    ordinal: int
    cell: Cell


class PackedCell(NamedTuple):
    """The workers that carry one cell."""

    organisation: str
    ordinal: int
    workers: tuple[str, ...]


class PackingError(NamedTuple):
    """
    The cell that did not fit into the packing that got furthest.

    `exhaustive` is true when no packing exists, and false when the search
    stopped at its step limit.
    """

    organisation: str
    ordinal: int
    cell: Cell
    exhaustive: bool


def list_requests(
    guarantees: Mapping[str, Iterable[GuaranteedCell]],
) -> list[CellRequest]:
    """Return one request for each cell, numbered in the order of its guarantee."""
    requests = []
    for organisation in sorted(guarantees):
        ordinal = 0
        for cell, count in guarantees[organisation]:
            for _ in range(count):
                requests.append(CellRequest(organisation, ordinal, cell))
                ordinal += 1
    return requests


def make_packing_key(request: CellRequest) -> tuple:
    """Return the key of first fit decreasing: large and region-bound cells first."""
    cell = request.cell
    return (
        -cell.workers * cell.accelerators,
        -cell.accelerators,
        -_LEVELS.get(cell.within, 0),
        not cell.region,
        cell.service,
        cell.region,
        request.organisation,
        request.ordinal,
    )


def make_bound_first_key(request: CellRequest) -> tuple:
    """Return a sort key that puts cells bound to a region before all others."""
    return (not request.cell.region, *make_packing_key(request))


class BinTable:
    """
    Free accelerators of a set of workers.

    Bins are sorted by location, so each rack, failure domain, region and service
    is one range of indices. `steps` counts search steps, see `STEP_LIMIT`.
    """

    def __init__(self, bins: Iterable[Bin]):
        self.bins = sorted(bins)
        self.free = [entry.accelerators for entry in self.bins]
        self.index = {entry.worker_id: i for i, entry in enumerate(self.bins)}
        self.ends = {level: self._find_ends(level) for level in (1, 2, 3, 4)}
        self.starts: dict[tuple[str, ...], int] = {}
        for i, entry in enumerate(self.bins):
            self.starts.setdefault((entry.service,), i)
            self.starts.setdefault((entry.service, entry.region), i)
        self.steps = 0

    def _find_ends(self, level: int) -> list[int]:
        """Return for each bin the end of the range with equal first `level` fields."""
        ends = [0] * len(self.bins)
        for i in reversed(range(len(self.bins))):
            last = i + 1 == len(self.bins)
            if last or self.bins[i][:level] != self.bins[i + 1][:level]:
                ends[i] = i + 1
            else:
                ends[i] = ends[i + 1]
        return ends

    def find_range(self, cell: Cell) -> tuple[int, int]:
        """Return the range of bins that match the cell's service and region."""
        key = (cell.service, cell.region) if cell.region else (cell.service,)
        start = self.starts.get(key)
        return (0, 0) if start is None else (start, self.ends[len(key)][start])

    def find_part_end(self, cell: Cell, i: int) -> int:
        """Return the end of the part around bin `i` that must hold the whole cell."""
        level = _LEVELS.get(cell.within)
        return self.ends[level][i] if level else i + 1

    def complete(
        self,
        cell: Cell,
        indices: tuple[int, ...],
        start: int,
    ) -> tuple[int, ...] | None:
        """Return `indices` completed with the first bins from `start` on, or None."""
        if indices:
            return self._fill(
                cell, indices, start, self.find_part_end(cell, indices[0])
            )
        low, end = self.find_range(cell)
        i = max(low, start)
        while i < end:
            self.steps += 1
            if self.free[i] < cell.accelerators:
                i += 1
                continue
            part_end = self.find_part_end(cell, i)
            found = self._fill(cell, (i,), i + 1, part_end)
            if found:
                return found
            i = part_end
        return None

    def _fill(
        self,
        cell: Cell,
        indices: tuple[int, ...],
        start: int,
        end: int,
    ) -> tuple[int, ...] | None:
        """Return `indices` completed with the first bins of a range, or None."""
        found = list(indices)
        i = start
        while len(found) < cell.workers and i < end:
            if self.free[i] >= cell.accelerators:
                found.append(i)
            i += 1
        self.steps += 1 + i - start
        return tuple(found) if len(found) == cell.workers else None

    def advance(self, cell: Cell, indices: tuple[int, ...]) -> tuple[int, ...] | None:
        """Return the next choice after `indices` in lexicographic order, or None."""
        for j in reversed(range(len(indices))):
            following = self.complete(cell, indices[:j], self.skip_equal(indices[j]))
            if following:
                return following
        return None

    def skip_equal(self, i: int) -> int:
        """
        Return the next bin that is not interchangeable with bin `i`.

        Bins of one rack with equal free accelerators are interchangeable.
        """
        following = i + 1
        while following < self.ends[4][i] and self.free[following] == self.free[i]:
            following += 1
        return following

    def take(self, cell: Cell, indices: Iterable[int]) -> None:
        """Allocate the cell's accelerators on the bins."""
        for i in indices:
            self.free[i] -= cell.accelerators

    def release(self, cell: Cell, indices: Iterable[int]) -> None:
        """Free the cell's accelerators on the bins."""
        for i in indices:
            self.free[i] += cell.accelerators

    def name_workers(self, indices: Iterable[int]) -> tuple[str, ...]:
        """Return the worker ids of the bins."""
        return tuple(self.bins[i].worker_id for i in indices)


def place_greedily(
    table: BinTable,
    requests: Sequence[CellRequest],
) -> list[tuple[int, ...] | None]:
    """
    Place each cell first fit, in the given order; None for a cell that does not fit.

    For a run of equal cells, the search continues at the bins of the previous cell,
    because earlier bins that did not fit the previous one do not fit the next.
    """
    placed: list[tuple[int, ...] | None] = []
    previous = None
    cursor: int | None = 0
    for request in requests:
        if request.cell != previous:
            previous, cursor = request.cell, 0
        indices = None if cursor is None else table.complete(request.cell, (), cursor)
        cursor = indices[0] if indices else None
        if indices:
            table.take(request.cell, indices)
        placed.append(indices)
    return placed


def lacks_capacity(table: BinTable, requests: Iterable[CellRequest]) -> bool:
    """
    Whether totals prove that the cells cannot all fit.

    In each service and region, the accelerators must suffice. For each number of
    accelerators per worker, so must the places for parts of this size or larger.
    """
    demand: dict[tuple[str, str], Counter[int]] = {}
    for _, _, cell in requests:
        for region in {'', cell.region}:
            sizes = demand.setdefault((cell.service, region), Counter())
            sizes[cell.accelerators] += cell.workers
    return any(
        range_lacks_capacity(table, service, region, sizes)
        for (service, region), sizes in demand.items()
    )


def range_lacks_capacity(
    table: BinTable,
    service: str,
    region: str,
    sizes: Counter[int],
) -> bool:
    """Whether a region lacks capacity for parts, counted in `sizes` by accelerators."""
    part = Cell(1, 1, Adjacency.WORKER, service, region)
    start, end = table.find_range(part)
    free = Counter(table.free[start:end])
    total_free = sum(amount * bins for amount, bins in free.items())
    if total_free < sum(size * number for size, number in sizes.items()):
        return True
    wanted = 0
    for size in sorted(sizes, reverse=True):
        wanted += sizes[size]
        if sum(amount // size * bins for amount, bins in free.items()) < wanted:
            return True
    return False


def search(
    table: BinTable,
    requests: Sequence[CellRequest],
    step_limit: int = STEP_LIMIT,
) -> Result[dict[CellRequest, tuple[int, ...]], tuple[CellRequest, bool]]:
    """
    Place all cells, by first fit if that succeeds and else by backtracking.

    The error is the cell that did not fit and whether the search was exhaustive.
    The table holds the cells on success and is unchanged on error.
    """
    ordered = sorted(requests, key=make_packing_key)
    infeasible = lacks_capacity(table, ordered)
    # Cells of any region can use up a region that region-bound cells need, so the
    # order with bound cells first is tried as well.
    other = [] if infeasible else sorted(requests, key=make_bound_first_key)
    for order in (ordered, other):
        placed = place_greedily(table, order)
        if all(placed) and (order or not requests):
            return Ok(dict(zip(order, placed, strict=True)))
        for request, indices in zip(order, placed, strict=True):
            table.release(request.cell, indices or ())
    return backtrack(table, ordered, 0 if infeasible else step_limit, infeasible)


def backtrack(
    table: BinTable,
    requests: Sequence[CellRequest],
    step_limit: int,
    infeasible: bool,
) -> Result[dict[CellRequest, tuple[int, ...]], tuple[CellRequest, bool]]:
    """
    Place cells depth first in the given order, see `search`.

    Equal cells are placed in the order of their first bins, which excludes only
    permutations. `infeasible` is true if no packing exists; then the first cell that
    does not fit is the error.
    """
    limit: int | None = None
    chosen: list[tuple[int, ...]] = []
    deepest = 0
    retry: tuple[int, ...] | None = None
    while len(chosen) < len(requests):
        i = len(chosen)
        cell = requests[i].cell
        if retry is not None:
            indices = table.advance(cell, retry)
        else:
            equal = i > 0 and requests[i - 1].cell == cell
            indices = table.complete(cell, (), chosen[-1][0] if equal else 0)
        retry = None
        if indices:
            table.take(cell, indices)
            chosen.append(indices)
            continue
        deepest = max(deepest, i)
        if limit is None:
            limit = table.steps + step_limit
        if infeasible or not chosen or table.steps >= limit:
            for request, placed in zip(requests, chosen, strict=False):
                table.release(request.cell, placed)
            return Err((requests[deepest], infeasible or not chosen))
        retry = chosen.pop()
        table.release(requests[i - 1].cell, retry)
    return Ok(dict(zip(requests, chosen, strict=True)))


def list_bins(racks: Iterable[RackCapacity]) -> list[Bin]:
    """Return one bin for each declared worker, named after its location."""
    return [
        Bin(
            service=rack.service,
            region=rack.region,
            domain=rack.domain,
            rack=rack.rack,
            worker_id=f'{rack.region}/{rack.domain}/{rack.rack}/{number}',
            accelerators=rack.accelerators,
        )
        for rack in racks
        for number in range(rack.workers)
    ]


def find_packing(
    racks: Iterable[RackCapacity],
    guarantees: Mapping[str, Iterable[GuaranteedCell]],
    step_limit: int = STEP_LIMIT,
) -> Result[tuple[PackedCell, ...], PackingError]:
    """
    Pack the cells of all organisations into the declared racks.

    `guarantees` maps each organisation to its cells. The packed cells are sorted
    by organisation and ordinal.
    """
    table = BinTable(list_bins(racks))
    match search(table, list_requests(guarantees), step_limit):
        case Ok(placed):
            packed = (
                PackedCell(
                    organisation=request.organisation,
                    ordinal=request.ordinal,
                    workers=table.name_workers(indices),
                )
                for request, indices in placed.items()
            )
            return Ok(tuple(sorted(packed)))
        case Err((request, exhaustive)):
            return Err(PackingError(*request, exhaustive))
