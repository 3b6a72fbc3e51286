"""A small fleet with two organisations, for tests that run simulations."""

from yuccarelay.core.manifest import (
    Cell,
    GuaranteedCell,
    Manifest,
    Organisation,
    RackCapacity,
)
from yuccarelay.core.models import Adjacency, JobClass, JobSpec
from yuccarelay.standins.simulation import NetworkFaults, Simulation

SERVICE = 'reorder-desk'
NORTH_ENTRY = '127.0.0.1:7003'
NORTH_WORKERS = ('n0', 'n1', 'n2')
ENTRIES = ('127.0.0.1:7001', '127.0.0.1:7002')
WORKERS = ('w0', 'w1', 'w2', 'w3', 'w4', 'w5')


def make_spec(organisation: str, name: str, **fields: object) -> JobSpec:
    """Return a job of the test service."""
    return JobSpec(organisation=organisation, name=name, service=SERVICE, **fields)


def make_organisation(name: str, cells: tuple[GuaranteedCell, ...]) -> Organisation:
    """Return an organisation with one job of each kind."""
    jobs = (
        make_spec(name, 'once', repeatable=False),
        make_spec(name, 'again'),
        make_spec(name, 'urgent', job_class=JobClass.URGENT),
        make_spec(name, 'resumable', repeatable=False, checkpointable=True),
        make_spec(
            name,
            'gang',
            repeatable=False,
            members=3,
            accelerators=2,
            adjacency=Adjacency.RACK,
        ),
        make_spec(
            name,
            'wide-gang',
            repeatable=False,
            members=3,
            accelerators=4,
            adjacency=Adjacency.RACK,
        ),
        make_spec(
            name,
            'soft-gang',
            members=3,
            accelerators=8,
            adjacency=Adjacency.RACK,
        ),
    )
    return Organisation(
        name=name,
        token_digests=(),
        weight=1,
        queue_limit=1_000,
        guarantee=cells,
        jobs={spec.name: spec for spec in jobs},
    )


def make_cell(
    workers: int,
    accelerators: int,
    count: int = 1,
    region: str = 'south',
) -> GuaranteedCell:
    """Return a guaranteed cell in a region of the test fleet."""
    within = Adjacency.WORKER if workers == 1 else Adjacency.RACK
    cell = Cell(workers, accelerators, within, SERVICE, region)
    return GuaranteedCell(cell, count)


def make_manifest() -> Manifest:
    """
    Return a manifest for two racks of three workers with 8 accelerators each.

    Organisation `alder` owns four accelerators on each worker of a rack, `birch`
    one whole rack.
    """
    racks = tuple(
        RackCapacity('south', domain, rack, SERVICE, 3, 8, 8)
        for domain, rack in (('hobart', 'r0'), ('huon', 'r1'))
    )
    return Manifest(
        racks=racks,
        operator_digests=(),
        organisations={
            'alder': make_organisation('alder', (make_cell(3, 4),)),
            'birch': make_organisation('birch', (make_cell(3, 8),)),
        },
    )


def make_two_region_manifest() -> Manifest:
    """Return the manifest with a second region, where both own parts of one rack."""
    manifest = make_manifest()
    north = RackCapacity('north', 'launceston', 'r2', SERVICE, 3, 8, 8)
    alder = (make_cell(3, 4), make_cell(3, 4, region='north'))
    birch = (make_cell(3, 8), make_cell(3, 2, region='north'))
    return manifest._replace(
        racks=(*manifest.racks, north),
        organisations={
            'alder': make_organisation('alder', alder),
            'birch': make_organisation('birch', birch),
        },
    )


def make_two_region_simulation(seed: int = 1) -> Simulation:
    """Return a simulation of two regions; the store is in the south."""
    simulation = Simulation(make_two_region_manifest(), seed=seed)
    for address in ENTRIES:
        simulation.add_entry(address, 'south')
    simulation.add_entry(NORTH_ENTRY, 'north')
    add_workers(simulation)
    for worker_id in NORTH_WORKERS:
        simulation.add_worker(worker_id, 'north', 'launceston', 'r2', SERVICE)
    simulation.run(8_000)
    return simulation


def add_workers(simulation: Simulation) -> None:
    """Add the six workers of the south."""
    for number, worker_id in enumerate(WORKERS):
        domain, rack = (('hobart', 'r0'), ('huon', 'r1'))[number // 3]
        simulation.add_worker(worker_id, 'south', domain, rack, SERVICE)


def make_simulation(
    seed: int = 1,
    faults: NetworkFaults = NetworkFaults(),  # noqa: B008
) -> Simulation:
    """Return a simulation of two entries and six workers, ready to accept jobs."""
    simulation = Simulation(make_manifest(), seed=seed, faults=faults)
    for address in ENTRIES:
        simulation.add_entry(address, 'south')
    add_workers(simulation)
    simulation.run(8_000)
    return simulation
