"""The manifest: organisations, their guarantees and the jobs they may run."""

from collections.abc import Iterable
from typing import NamedTuple, NotRequired, TypedDict

from result import Err, Ok, Result

from yuccarelay.core import feasibility
from yuccarelay.core.fleet import Cell, GuaranteedCell, RackCapacity
from yuccarelay.core.json_fields import FieldError, ObjectReader, join_path
from yuccarelay.core.models import Adjacency, JobClass, JobSpec
from yuccarelay.core.packing import PackingError, find_packing

MANIFEST_LIMIT_BYTES = 1_000_000
MANIFEST_VERSION = 1

# Upper bounds of single fields. They are far above the two-year figures of the
# design and keep a mistyped number from exhausting the memory of an entry.
RACK_WORKER_LIMIT = 1_000
ACCELERATOR_LIMIT = 64
SLOT_LIMIT = 1_024
MEMBER_LIMIT = 1_024
CELL_COUNT_LIMIT = 10_000
WEIGHT_LIMIT = 1_000
QUEUE_LIMIT = 1_000_000
ATTEMPT_LIMIT = 100
TIME_LIMIT_S = 30 * 86_400
FLEET_WORKER_LIMIT = 20_000
GUARANTEED_CELL_LIMIT = 100_000

CELL_PARTS = (
    Adjacency.WORKER,
    Adjacency.RACK,
    Adjacency.DOMAIN,
    Adjacency.REGION,
)


class RackDocument(TypedDict):
    """A rack of equal workers; accelerators and slots count per worker."""

    service: str
    workers: int
    accelerators: int
    slots: int


class DomainDocument(TypedDict):
    """The racks of a failure domain by name."""

    racks: dict[str, RackDocument]


class RegionDocument(TypedDict):
    """The failure domains of a region by name."""

    domains: dict[str, DomainDocument]


class FleetDocument(TypedDict):
    """The regions of the fleet by name."""

    regions: dict[str, RegionDocument]


class OperatorsDocument(TypedDict):
    """Digests `sha256:<64 hex>` of the operators' tokens."""

    token_digests: list[str]


class CellDocument(TypedDict):
    """A guaranteed cell; `region` may be left out if the fleet has one region."""

    count: int
    workers: int
    accelerators: int
    within: str
    service: str
    region: NotRequired[str]


JobDocument = TypedDict(
    'JobDocument',
    {
        'service': str,
        'class': NotRequired[str],
        'repeatable': bool,
        'checkpointable': NotRequired[bool],
        'members': NotRequired[int],
        'accelerators': NotRequired[int],
        'adjacency': NotRequired[str],
        'attempt_limit': NotRequired[int],
        'start_limit_s': NotRequired[float],
        'run_limit_s': NotRequired[float],
        'declared_run_s': NotRequired[float],
    },
)


class OrganisationDocument(TypedDict):
    """An organisation with its jobs by name."""

    token_digests: list[str]
    weight: int
    queue_limit: int
    guarantee: list[CellDocument]
    jobs: dict[str, JobDocument]


class ManifestDocument(TypedDict):
    """The JSON form of a manifest, with the organisations by name."""

    version: int
    fleet: FleetDocument
    operators: OperatorsDocument
    organisations: dict[str, OrganisationDocument]


class Organisation(NamedTuple):
    """An organisation with its guarantee and the jobs that it may run."""

    name: str
    token_digests: tuple[str, ...]
    weight: int
    queue_limit: int
    guarantee: tuple[GuaranteedCell, ...]
    jobs: dict[str, JobSpec]


class Manifest(NamedTuple):
    """A checked manifest."""

    racks: tuple[RackCapacity, ...]
    operator_digests: tuple[str, ...]
    organisations: dict[str, Organisation]


def check_manifest(document: object) -> Result[Manifest, tuple[FieldError, ...]]:
    """
    Check a decoded JSON document and return the manifest.

    The error lists every rule that is broken, with the path of the field, for
    example `organisations.guild-north.weight`. Checks that compare parts of the
    manifest skip parts that are invalid by themselves.
    """
    errors: list[FieldError] = []
    reader = ObjectReader(document, '', errors)
    reader.read_integer('version', MANIFEST_VERSION, MANIFEST_VERSION)
    fleet = reader.read_object('fleet')
    racks = read_fleet(fleet)
    fleet_valid = fleet.is_object and not errors_below(errors, 'fleet')
    operators = reader.read_object('operators')
    operator_digests = operators.read_digests('token_digests')
    operators.refuse_unknown()
    organisations = read_organisations(reader.read_object('organisations'))
    reader.refuse_unknown()
    manifest = Manifest(racks, operator_digests, organisations)
    errors.extend(check_digests(manifest))
    if fleet_valid:
        errors.extend(check_cells_and_jobs(manifest, errors))
    if fleet_valid and not errors:
        errors.extend(check_packing(manifest))
    return Err(tuple(errors)) if errors else Ok(manifest)


def errors_below(errors: Iterable[FieldError], path: str) -> bool:
    """Whether the field at `path` or one inside it breaks a rule."""
    return any(
        error.field == path or error.field.startswith(f'{path}.') for error in errors
    )


def read_fleet(fleet: ObjectReader) -> tuple[RackCapacity, ...]:
    """Read the declared racks."""
    racks = []
    regions = fleet.read_object('regions')
    fleet.refuse_unknown()
    for region, region_value in regions.iterate_named():
        path = join_path(regions.path, region)
        region_reader = ObjectReader(region_value, path, fleet.errors)
        domains = region_reader.read_object('domains')
        region_reader.refuse_unknown()
        for domain, domain_value in domains.iterate_named():
            path = join_path(domains.path, domain)
            domain_reader = ObjectReader(domain_value, path, fleet.errors)
            entries = domain_reader.read_object('racks')
            domain_reader.refuse_unknown()
            for rack, value in entries.iterate_named():
                path = join_path(entries.path, rack)
                rack_reader = ObjectReader(value, path, fleet.errors)
                racks.append(read_rack(rack_reader, region, domain, rack))
    total = sum(rack.workers for rack in racks)
    if total > FLEET_WORKER_LIMIT:
        rule = f'at most {FLEET_WORKER_LIMIT} workers, not {total}'
        fleet.refuse('regions', rule)
    return tuple(racks)


def read_rack(
    reader: ObjectReader,
    region: str,
    domain: str,
    rack: str,
) -> RackCapacity:
    """Read one declared rack."""
    capacity = RackCapacity(
        region=region,
        domain=domain,
        rack=rack,
        service=reader.read_name('service'),
        workers=reader.read_integer('workers', 1, RACK_WORKER_LIMIT),
        accelerators=reader.read_integer('accelerators', 0, ACCELERATOR_LIMIT),
        slots=reader.read_integer('slots', 1, SLOT_LIMIT),
    )
    reader.refuse_unknown()
    return capacity


def read_organisations(reader: ObjectReader) -> dict[str, Organisation]:
    """Read all organisations."""
    organisations = {}
    for name, value in reader.iterate_named():
        path = join_path(reader.path, name)
        entry = ObjectReader(value, path, reader.errors)
        organisations[name] = read_organisation(entry, name)
    return organisations


def read_organisation(reader: ObjectReader, name: str) -> Organisation:
    """Read one organisation without its invalid cells and jobs."""
    digests = reader.read_digests('token_digests')
    weight = reader.read_integer('weight', 1, WEIGHT_LIMIT)
    queue_limit = reader.read_integer('queue_limit', 1, QUEUE_LIMIT)
    guarantee = []
    for i, value in enumerate(reader.read_list('guarantee')):
        path = f'{join_path(reader.path, "guarantee")}[{i}]'
        cell_reader = ObjectReader(value, path, reader.errors)
        guaranteed = read_cell(cell_reader)
        if cell_reader.valid:
            guarantee.append(guaranteed)
    jobs = {}
    jobs_reader = reader.read_object('jobs')
    for job, value in jobs_reader.iterate_named():
        path = join_path(jobs_reader.path, job)
        job_reader = ObjectReader(value, path, reader.errors)
        spec = read_job(job_reader, name, job)
        if job_reader.valid:
            jobs[job] = spec
    reader.refuse_unknown()
    return Organisation(name, digests, weight, queue_limit, tuple(guarantee), jobs)


def read_cell(reader: ObjectReader) -> GuaranteedCell:
    """Read one entry of a guarantee."""
    count = reader.read_integer('count', 1, CELL_COUNT_LIMIT)
    cell = Cell(
        workers=reader.read_integer('workers', 1, RACK_WORKER_LIMIT),
        accelerators=reader.read_integer('accelerators', 1, ACCELERATOR_LIMIT),
        within=reader.read_choice('within', CELL_PARTS),
        service=reader.read_name('service'),
        region=reader.read_name('region') if reader.is_present('region') else '',
    )
    if reader.valid and (cell.workers == 1) != (cell.within is Adjacency.WORKER):
        rule = f'must be worker exactly when workers is 1, not {cell.within.value}'
        reader.refuse('within', rule)
    reader.refuse_unknown()
    return GuaranteedCell(cell, count)


def read_job(reader: ObjectReader, organisation: str, name: str) -> JobSpec:
    """Read one job; optional fields have the defaults of `JobSpec`."""
    base = JobSpec(organisation, name, service=reader.read_name('service'))
    spec = base._replace(
        job_class=reader.read_choice('class', tuple(JobClass), base.job_class),
        repeatable=reader.read_flag('repeatable'),
        checkpointable=reader.read_flag('checkpointable', base.checkpointable),
        members=reader.read_integer('members', 1, MEMBER_LIMIT, base.members),
        accelerators=reader.read_integer(
            'accelerators',
            0,
            ACCELERATOR_LIMIT,
            base.accelerators,
        ),
        adjacency=reader.read_choice('adjacency', tuple(Adjacency), base.adjacency),
        attempt_limit=reader.read_integer(
            'attempt_limit',
            1,
            ATTEMPT_LIMIT,
            base.attempt_limit,
        ),
        start_limit_ms=reader.read_seconds(
            'start_limit_s',
            TIME_LIMIT_S,
            base.start_limit_ms,
        ),
        run_limit_ms=reader.read_seconds(
            'run_limit_s',
            TIME_LIMIT_S,
            base.run_limit_ms,
        ),
        declared_run_ms=reader.read_seconds(
            'declared_run_s',
            TIME_LIMIT_S,
            base.declared_run_ms,
        ),
    )
    reader.refuse_unknown()
    return spec


def check_digests(manifest: Manifest) -> list[FieldError]:
    """Check that each token digest is unique among organisations and operators."""
    errors = []
    holders: dict[str, str] = {}
    lists = [('operators', manifest.operator_digests)]
    for name, organisation in manifest.organisations.items():
        lists.append((f'organisations.{name}', organisation.token_digests))
    for path, digests in lists:
        for digest in digests:
            holder = holders.setdefault(digest, path)
            if holder != path:
                rule = f'digest {digest} belongs to {holder} already'
                errors.append(FieldError(f'{path}.token_digests', rule))
        if len(set(digests)) < len(digests):
            rule = 'must not hold a digest twice'
            errors.append(FieldError(f'{path}.token_digests', rule))
    return errors


def check_cells_and_jobs(
    manifest: Manifest,
    errors: Iterable[FieldError],
) -> list[FieldError]:
    """
    Check each cell and job by itself against the fleet and the guarantee.

    `errors` are those found so far. If a cell is invalid, the guarantee is not
    known, so the jobs are not compared with it.
    """
    found = []
    fleet = feasibility.FleetProfiles(manifest.racks)
    regions = {rack.region for rack in manifest.racks}
    broken = {error.field.partition('[')[0] for error in errors}
    for name, organisation in manifest.organisations.items():
        path = f'organisations.{name}'
        guarantee_valid = f'{path}.guarantee' not in broken
        if guarantee_valid:
            for i, (cell, _) in enumerate(organisation.guarantee):
                field, rule = feasibility.explain_cell(fleet, cell)
                if not rule and not cell.region and len(regions) > 1:
                    # Each region has its own guarantee plan.
                    field, rule = 'region', 'is required in a fleet of several regions'
                if rule:
                    found.append(FieldError(f'{path}.guarantee[{i}].{field}', rule))
        for job, spec in organisation.jobs.items():
            rule = feasibility.explain_job(fleet, spec)
            if not rule and guarantee_valid:
                rule = feasibility.explain_guarantee(organisation.guarantee, spec)
            if rule:
                found.append(FieldError(f'{path}.jobs.{job}', rule))
    return found


def check_packing(manifest: Manifest) -> list[FieldError]:
    """Check that the cells of all organisations pack into the declared fleet."""
    organisations = manifest.organisations.values()
    total = sum(count for entry in organisations for _, count in entry.guarantee)
    if total > GUARANTEED_CELL_LIMIT:
        rule = f'at most {GUARANTEED_CELL_LIMIT} cells in all guarantees, not {total}'
        return [FieldError('organisations', rule)]
    guarantees = {
        name: organisation.guarantee
        for name, organisation in manifest.organisations.items()
    }
    match find_packing(manifest.racks, guarantees):
        case Err(error):
            return [explain_packing(manifest, error)]
        case _:
            return []


def explain_packing(manifest: Manifest, error: PackingError) -> FieldError:
    """Return the error for the guarantee entry whose cell did not fit."""
    remaining = error.ordinal
    guarantee = manifest.organisations[error.organisation].guarantee
    entry = 0
    while remaining >= guarantee[entry].count:
        remaining -= guarantee[entry].count
        entry += 1
    reason = (
        'no packing of all cells exists'
        if error.exhaustive
        else 'no packing of all cells was found within the step limit'
    )
    cell = feasibility.describe_cell(error.cell)
    return FieldError(
        f'organisations.{error.organisation}.guarantee[{entry}]',
        f'cell {remaining + 1} of {cell} does not fit into the fleet: {reason}',
    )
