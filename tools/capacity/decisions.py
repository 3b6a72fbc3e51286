"""Part (c): the decision code alone, up to the whole fleet at one entry."""

import random
import time
import tracemalloc
from collections.abc import Callable

from tools.capacity import fleet
from tools.capacity.fit import fit_power
from tools.capacity.report import Report
from yuccarelay.adapters import codec
from yuccarelay.adapters.records import encode_plan
from yuccarelay.core.effects import Request
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import (
    EntriesSeen,
    ManifestSeen,
    MessageReceived,
    PlanSeen,
    Registered,
    ReplyArrived,
    StoreHealthChanged,
    Tick,
)
from yuccarelay.core.guarantee_plan import assign_cells
from yuccarelay.core.jobs import Job
from yuccarelay.core.manifest import Manifest, check_manifest
from yuccarelay.core.messages import Announce, Heartbeat
from yuccarelay.core.models import (
    Adjacency,
    Claim,
    EntryRef,
    JobSpec,
    JobState,
    MemberRef,
)
from yuccarelay.core.ordering import NO_DEADLINE_MS, JobQueue
from yuccarelay.core.placement import PlacementPolicy, choose_workers
from yuccarelay.core.timing import SUSPECT_MS

WORKERS = (525, 1_050, 2_100, 4_200)
TASKS = 13
TEAMS = 200
JOBS_PER_TEAM = 20
OWN = EntryRef(7, 'north', '127.0.0.1:7000')
# Interval of the ticks of an entry, and step of the virtual clock in `measure_loss`.
TICK_MS = 100


async def measure_decisions(report: Report) -> None:
    """Measure the decision code at all fleet sizes, and its memory."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for workers in WORKERS:
        for key, value in measure_size(workers).items():
            points.setdefault(key, []).append((workers, value))
        report.progress(f'{workers} workers')
    for (name, unit), measured in points.items():
        report.add_points(name, measured, unit)
        if all(value > 0 for _, value in measured):
            report.add_value(f'{name}: growth with exponent', fit_power(measured))
    measure_memory(report)


def measure_ms(action: Callable[[], object], repeats: int = 3) -> float:
    """Return the shortest of several runs in milliseconds of processor time."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return 1_000 * min(times)


def make_checked_manifest(workers: int) -> Manifest:
    """Return a checked manifest of 200 teams and 4,000 jobs."""
    return check_manifest(fleet.make_manifest(workers, TEAMS, JOBS_PER_TEAM)).unwrap()


def make_core(manifest: Manifest) -> EntryCore:
    """Return a registered entry with a manifest and no workers."""
    core = EntryCore(OWN, random.Random(1), JobQueue())
    core.step(Registered(OWN.incarnation), 0)
    core.step(StoreHealthChanged(True), 0)
    core.step(EntriesSeen((OWN,)), 0)
    core.step(ManifestSeen(1, manifest), 0)
    return core


def announce_all(core: EntryCore, messages: list[bytes], now_ms: int) -> None:
    """Decode and process the announcement of each worker, and encode the replies."""
    for data in messages:
        message = codec.decode(data).unwrap().message
        for effect in core.step(MessageReceived(message, 1), now_ms):
            if type(effect).__name__ == 'Reply':
                codec.encode(effect.message, OWN.address)


def measure_size(workers: int) -> dict[tuple[str, str], float]:
    """Measure the decision code of a region with this number of workers."""
    results: dict[tuple[str, str], float] = {}
    manifest = make_checked_manifest(workers)
    states = [fleet.make_state(number, TASKS) for number in range(workers)]
    plan = measure_plans(results, manifest, states)
    core = make_core(manifest)
    core.step(PlanSeen(plan), 0)
    messages = [codec.encode(Announce(state), state.address) for state in states]
    results['view from nothing', 'ms'] = measure_ms(
        lambda: announce_all(core, messages, 0),
        repeats=1,
    )
    results['announcement, mean size', 'bytes'] = sum(map(len, messages)) / workers
    heartbeats = [
        MessageReceived(Heartbeat(state.worker_id, state.incarnation, 1), 1)
        for state in states[:200]
    ]
    results['one heartbeat', 'ms'] = (
        measure_ms(lambda: [core.step(heartbeat, 50) for heartbeat in heartbeats]) / 200
    )
    results['push of a new generation', 'ms'] = measure_ms(core._push_config)
    core.state.outbox.take_effects()
    measure_placement(results, core)
    measure_ticks(results, core)
    measure_loss(results, core)
    return results


def measure_plans(results, manifest: Manifest, states):
    """Measure a first plan, an unchanged one, and the loss of a worker or domain."""
    no_cells = frozenset()
    plan = assign_cells(manifest, 1, states, None, no_cells)
    results['plan from nothing', 'ms'] = measure_ms(
        lambda: assign_cells(manifest, 1, states, None, no_cells),
        repeats=1,
    )
    results['plan, nothing changed', 'ms'] = measure_ms(
        lambda: assign_cells(manifest, 1, states, plan, no_cells),
        repeats=1,
    )
    results['plan, one worker lost', 'ms'] = measure_ms(
        lambda: assign_cells(manifest, 1, states[1:], plan, no_cells),
        repeats=1,
    )
    lost = states[0].domain
    rest = [state for state in states if state.domain != lost]
    results['plan, a domain lost', 'ms'] = measure_ms(
        lambda: assign_cells(manifest, 1, rest, plan, no_cells),
        repeats=1,
    )
    results['plan in the store', 'bytes'] = len(encode_plan(plan))
    return plan


def measure_placement(results, core: EntryCore) -> None:
    """Measure the choice of workers for one member and for a gang of 64."""
    for name, members, adjacency in (
        ('one member', 1, Adjacency.ANY),
        ('a gang of 64', 64, Adjacency.DOMAIN),
    ):
        spec = JobSpec(
            organisation='team-000',
            name='job-000',
            service=fleet.SERVICE,
            members=members,
            accelerators=1,
            adjacency=adjacency,
        )

        def place(spec=spec):
            candidates = core.state.view.find_candidates(spec, 0)
            chosen = choose_workers(spec, candidates, PlacementPolicy.BUDDY)
            assert chosen is not None

        results[f'placement of {name}', 'ms'] = measure_ms(place)


def measure_ticks(results, core: EntryCore) -> None:
    """Measure a tick, a view digest, and a pass over jobs that do not fit."""
    core.step(Tick(), 0)
    core.planner.next_check_ms = 1_000_000_000
    results['tick, no jobs', 'ms'] = measure_ms(lambda: core.step(Tick(), 100))
    core.state.view.changed.clear()
    results['own digest', 'ms'] = measure_ms(lambda: core.state.view.compute_digest(0))
    for number in range(200):
        spec = JobSpec(
            organisation=f'team-{number:03d}',
            name='job-000',
            service=fleet.SERVICE,
            members=20_000,
            adjacency=Adjacency.REGION,
        )
        job = make_job(number, spec)
        core.state.jobs[job.job_id] = job
        core.state.queue.push(job.make_queued())
    results['pass over 200 jobs without room', 'ms'] = measure_ms(
        lambda: core.dispatcher.schedule(200),
        repeats=1,
    )
    for job_id in list(core.state.jobs):
        core.state.queue.remove(job_id)
        del core.state.jobs[job_id]


def make_job(number: int, spec: JobSpec, **fields) -> Job:
    """Return a job that this entry owns."""
    return Job(
        job_id=f'7-{number + 1}',
        spec=spec,
        payload=b'{}',
        key='',
        state=fields.pop('state', JobState.QUEUED),
        submitted_ms=0,
        start_deadline_ms=NO_DEADLINE_MS,
        revision=5,
        **fields,
    )


def add_running(core: EntryCore) -> None:
    """Add a running job of this entry for each task that the workers announce."""
    spec = JobSpec('team-000', 'job-000', fleet.SERVICE, accelerators=0)
    claim = Claim('team-000', 'job-000', (0,), 0, False, True)
    number = 0
    for worker_id, record in core.state.view.workers.items():
        state = record.state
        grants = []
        for grant in state.grants:
            ref = MemberRef(worker_id, state.address, state.incarnation, claim)
            job = make_job(
                number,
                spec,
                state=JobState.RUNNING,
                attempt=1,
                members=(ref,),
                started_ms=1,
                starts=1,
            )
            core.state.jobs[job.job_id] = job
            grants.append(grant._replace(attempt_id=job.attempt_id))
            number += 1
        new = state._replace(grants=tuple(grants))
        core.state.view.workers[worker_id] = record._replace(state=new)


def measure_loss(results, core: EntryCore) -> None:
    """
    Stop the heartbeats of a domain while all tasks run, on a virtual clock.

    The measurement lasts until the lost workers are suspect, and 2 s longer.
    Requests get no reply.
    """
    add_running(core)
    times: list[float] = []
    last_heartbeat_ms = 0
    for now_ms in range(TICK_MS, SUSPECT_MS + 2_000, TICK_MS):
        if now_ms - last_heartbeat_ms >= SUSPECT_MS // 3:
            last_heartbeat_ms = now_ms
            take_heartbeats(core, 'domain-0', now_ms)
        started = time.process_time()
        effects = core.step(Tick(), now_ms)
        requests = [one for one in effects if isinstance(one, Request)]
        for request in requests:
            core.step(ReplyArrived(request.tag, None), now_ms)
        times.append(1_000 * (time.process_time() - started))
    steady_times = times[10:30]
    results['all tasks running, processor per second', 'ms'] = sum(steady_times) / 2
    results['all tasks running, longest tick', 'ms'] = max(steady_times)
    loss_times = times[SUSPECT_MS // TICK_MS - 1 :]
    results['loss of a domain, longest tick with replies', 'ms'] = max(loss_times)
    results['loss of a domain, first 2 s', 'ms'] = sum(loss_times)


def take_heartbeats(core: EntryCore, lost: str, now_ms: int) -> None:
    """Process a heartbeat of each worker outside the lost domain."""
    for record in list(core.state.view.workers.values()):
        state = record.state
        if state.domain != lost:
            core.state.view.take_heartbeat(
                state.worker_id,
                state.incarnation,
                state.version,
                now_ms,
            )


def measure_memory(report: Report) -> None:
    """Measure the memory per worker without and with tasks, job and queued job."""
    spec = JobSpec('team-000', 'job-000', fleet.SERVICE)
    manifest = make_checked_manifest(WORKERS[0])

    def make_workers(count: int, tasks: int) -> object:
        core = make_core(manifest)
        for number in range(count):
            state = fleet.make_state(number, tasks)
            data = codec.encode(Announce(state), state.address)
            message = codec.decode(data).unwrap().message
            core.step(MessageReceived(message, 1), 0)
        return core

    def make_jobs(count: int, queued: bool) -> object:
        core = make_core(manifest)
        for number in range(count):
            job = make_job(number, spec)
            core.state.jobs[job.job_id] = job
            if queued:
                core.state.queue.push(job.make_queued())
        return core

    for name, hold in (
        ('memory per worker without tasks', lambda n: make_workers(n, 0)),
        ('memory per worker with 13 tasks', lambda n: make_workers(n, TASKS)),
        ('memory per job', lambda n: make_jobs(n, False)),
        ('memory per queued job', lambda n: make_jobs(n, True)),
    ):
        sizes = (250, 500, 1_000, 2_000)
        points = [
            (n, measure_retained_bytes(lambda n=n, hold=hold: hold(n))) for n in sizes
        ]
        report.add_points(name, points, 'bytes')


def measure_retained_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that remain allocated for an object."""
    tracemalloc.start()
    held = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(size)
