"""Checks whether a cell or a job fits into declared racks or into a guarantee."""

from collections import Counter
from collections.abc import Hashable, Iterable
from typing import NamedTuple

from yuccarelay.core.fleet import Cell, GuaranteedCell, RackCapacity
from yuccarelay.core.models import Adjacency, JobSpec


def describe_cell(cell: Cell) -> str:
    """Return a description of a cell for an error."""
    where = f'service {cell.service}'
    where += f' in region {cell.region}' if cell.region else ''
    return (
        f'{cell.workers} x {cell.accelerators} accelerators '
        f'within one {cell.within.value} of {where}'
    )


class WorkerKind(NamedTuple):
    """Capacity of a worker."""

    accelerators: int
    slots: int


# Number of workers of each kind in a rack, failure domain or region.
Profile = frozenset[tuple[WorkerKind, int]]


def find_part(rack: RackCapacity, adjacency: Adjacency) -> Hashable:
    """Return the part of the fleet around this rack in which members are adjacent."""
    match adjacency:
        case Adjacency.ANY:
            return ()
        case Adjacency.REGION:
            return rack.region
        case Adjacency.DOMAIN:
            return (rack.region, rack.domain)
        case Adjacency.RACK | Adjacency.WORKER:
            return (rack.region, rack.domain, rack.rack)


class FleetProfiles:
    """
    The distinct profiles of the parts of a fleet.

    Most parts of a fleet are alike, so a job is compared with a few profiles
    instead of with every rack.
    """

    def __init__(self, racks: Iterable[RackCapacity]):
        self.racks = tuple(racks)
        self.profiles: dict[tuple[str, str, Adjacency], set[Profile]] = {}
        for adjacency in Adjacency:
            self._collect(adjacency)

    def _collect(self, adjacency: Adjacency) -> None:
        """Collect the profiles of all parts of one adjacency."""
        parts: dict[tuple, Counter[WorkerKind]] = {}
        for rack in self.racks:
            workers = 1 if adjacency is Adjacency.WORKER else rack.workers
            kind = WorkerKind(rack.accelerators, rack.slots)
            for region in ('', rack.region):
                key = (rack.service, region, find_part(rack, adjacency))
                parts.setdefault(key, Counter())[kind] += workers
        for (service, region, _), kinds in parts.items():
            profiles = self.profiles.setdefault((service, region, adjacency), set())
            profiles.add(frozenset(kinds.items()))

    def list_profiles(
        self,
        service: str,
        region: str,
        adjacency: Adjacency,
    ) -> set[Profile]:
        """Return the profiles of a service; an empty region means any."""
        return self.profiles.get((service, region, adjacency), set())


def explain_cell(fleet: FleetProfiles, cell: Cell) -> tuple[str, str]:
    """Return the field and the rule that a cell breaks, or two empty strings."""
    if not fleet.list_profiles(cell.service, '', cell.within):
        return 'service', f'no rack has the service {cell.service}'
    profiles = fleet.list_profiles(cell.service, cell.region, cell.within)
    if not profiles:
        rule = f'no rack of service {cell.service} is in region {cell.region}'
        return 'region', rule
    most = max(
        sum(n for kind, n in profile if kind.accelerators >= cell.accelerators)
        for profile in profiles
    )
    if most < cell.workers:
        return 'workers', f'the fleet has no place for {describe_cell(cell)}'
    return '', ''


def count_members(spec: JobSpec, accelerators: int) -> int:
    """Return how many members fit into the accelerators; slots are not counted."""
    return accelerators // spec.accelerators if spec.accelerators else spec.members


def explain_job(fleet: FleetProfiles, spec: JobSpec) -> str:
    """Return why a job can never run in the empty fleet, or an empty string."""
    profiles = fleet.list_profiles(spec.service, '', spec.adjacency)
    if not profiles:
        return f'no rack has the service {spec.service}'
    most = max(
        sum(
            n * min(kind.slots, count_members(spec, kind.accelerators)) for kind, n in p
        )
        for p in profiles
    )
    if most >= spec.members:
        return ''
    return (
        f'{spec.members} members of {spec.accelerators} accelerators with adjacency '
        f'{spec.adjacency.value} do not fit into the fleet, at most {most} do'
    )


def find_common_location(cell: Cell, adjacency: Adjacency) -> Hashable | None:
    """
    Return a key; cells with an equal key are certain to be adjacent.

    Cells bound to one region are in that region, and any two cells satisfy `any`.
    None means that the cell may be far from others.
    """
    match adjacency:
        case Adjacency.ANY:
            return ('any',)
        case Adjacency.REGION if cell.region:
            return ('region', cell.region)
        case _:
            return None


_SPANS = {
    Adjacency.WORKER: 0,
    Adjacency.RACK: 1,
    Adjacency.DOMAIN: 2,
    Adjacency.REGION: 3,
    Adjacency.ANY: 4,
}


def count_in_cell(cell: Cell, spec: JobSpec) -> int:
    """Return how many members one cell holds under the job's adjacency."""
    each = count_members(spec, cell.accelerators)
    if _SPANS[cell.within] <= _SPANS[spec.adjacency]:
        return cell.workers * each
    # The cell spans more than the adjacency, so only the members on one worker of it
    # are certain to be adjacent.
    return each


def explain_guarantee(guarantee: Iterable[GuaranteedCell], spec: JobSpec) -> str:
    """
    Return why a job that may not borrow never fits its guarantee, or ''.

    Such a job runs only in the cells of its organisation. Cells are added up only
    if they are certain to satisfy the job's adjacency together.
    """
    if spec.preemptible or spec.accelerators == 0:
        return ''
    most = 0
    members_by_location: dict[Hashable, int] = {}
    for cell, count in guarantee:
        if cell.service != spec.service:
            continue
        members = count_in_cell(cell, spec)
        most = max(most, members)
        location = find_common_location(cell, spec.adjacency)
        if location is not None:
            members_by_location[location] = (
                members_by_location.get(location, 0) + members * count
            )
    most = max(most, *members_by_location.values(), 0)
    if most >= spec.members:
        return ''
    return (
        'a job that is neither repeatable nor checkpointable must fit into the '
        f'guarantee of its organisation: {spec.members} members of '
        f'{spec.accelerators} accelerators with adjacency {spec.adjacency.value} '
        f'are needed, at most {most} fit'
    )
