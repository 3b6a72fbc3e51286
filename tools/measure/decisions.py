"""Experiment h: time per scheduling decision."""

import gc
import random
import time

from tools.measure.experiment import Column, Experiment, Metrics
from tools.measure.variants import BASELINE, CURRENT, Variant
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import (
    ManifestSeen,
    MessageReceived,
    Registered,
    StoreHealthChanged,
    Tick,
)
from yuccarelay.core.jobs import Job
from yuccarelay.core.manifest import Manifest, Organisation, RackCapacity
from yuccarelay.core.messages import Announce
from yuccarelay.core.models import (
    Claim,
    EntryRef,
    Grant,
    JobClass,
    JobSpec,
    JobState,
    MemberRef,
    WorkerState,
)
from yuccarelay.core.timing import TICK_MS

FLEETS = (10, 100, 1_000, 4_200)
DEPTHS = (0, 100, 1_000)
ORGANISATIONS = 8
PASSES = 12
RUNNING_JOBS = 10_000
WORKERS_PER_RACK = 3
SERVICE = 'bench'


def run_decisions(user: str, variant: Variant, seed: int) -> Metrics:
    """Time scheduling passes that place one job behind queued jobs that do not fit."""
    variant.apply()
    metrics: Metrics = {}
    for workers in FLEETS:
        for depth in DEPTHS:
            core = make_core(variant, workers, depth, seed)
            metrics[f'pass_{workers}_{depth}_ms'] = _time_passes(core)
    core = make_core(variant, FLEETS[0], 0, seed)
    _add_running_jobs(core, RUNNING_JOBS)
    metrics['tick_ms'] = _time_ticks(core)
    return metrics


def make_core(variant: Variant, workers: int, depth: int, seed: int) -> EntryCore:
    """Return an entry with a mostly busy fleet and `depth` queued jobs."""
    rng = random.Random(seed)
    core = EntryCore(
        EntryRef(0, 'south', '127.0.0.1:7001'),
        rng,
        variant.make_queue(),
        variant.policy,
    )
    core.step(StoreHealthChanged(True), 0)
    core.step(Registered(1), 0)
    core.step(ManifestSeen(1, _make_manifest(workers)), 0)
    for number in range(workers):
        state = _make_worker(number, rng)
        core.step(MessageReceived(Announce(state), 1), 0)
    for number in range(depth):
        # A gang of 9 accelerators on one worker never fits.
        add_job(core, number, _make_spec(number, 'large', 9))
    return core


def _make_manifest(workers: int) -> Manifest:
    racks = tuple(
        RackCapacity('south', 'a', f'r{number}', SERVICE, WORKERS_PER_RACK, 8, 8)
        for number in range(-(-workers // WORKERS_PER_RACK))
    )
    organisations = {
        f'org{number}': Organisation(
            name=f'org{number}',
            token_digests=(),
            weight=1,
            queue_limit=10_000,
            guarantee=(),
            jobs={},
        )
        for number in range(ORGANISATIONS)
    }
    return Manifest(racks, (), organisations)


def _make_worker(number: int, rng: random.Random) -> WorkerState:
    used = rng.choice((4, 6, 7, 7))
    grants = tuple(
        Grant(f'9-{number}.{index}', 'org0', 1, 1, False, True, True)
        for index in range(used)
    )
    return WorkerState(
        worker_id=f'w{number:05}',
        incarnation=1,
        version=1,
        address=f'127.0.0.1:{10_000 + number}',
        service=SERVICE,
        region='south',
        domain='a',
        rack=f'r{number // WORKERS_PER_RACK}',
        accelerators=8,
        slots=8,
        grants=grants,
    )


def _make_spec(number: int, name: str, accelerators: int) -> JobSpec:
    return JobSpec(
        organisation=f'org{number % ORGANISATIONS}',
        name=name,
        service=SERVICE,
        job_class=JobClass.ORDINARY,
        accelerators=accelerators,
    )


def add_job(core: EntryCore, number: int, spec: JobSpec) -> str:
    """Put a job into the queue without storing a record."""
    job_id = f'1-{number + 1}'
    core.state.jobs[job_id] = Job(
        job_id=job_id,
        spec=spec,
        payload=b'',
        key='',
        state=JobState.QUEUED,
        submitted_ms=0,
        start_deadline_ms=10**9,
    )
    core.state.enqueue(job_id)
    return job_id


def _time_passes(core: EntryCore) -> list[float]:
    times = []
    for number in range(PASSES):
        add_job(core, 1_000_000 + number, _make_spec(number, 'small', 1))
        gc.collect()
        start_ns = time.perf_counter_ns()
        core.dispatcher.schedule(now_ms=10)
        times.append((time.perf_counter_ns() - start_ns) / 1e6)
        core.state.outbox.take_effects()
    return times


def _add_running_jobs(core: EntryCore, count: int) -> None:
    spec = _make_spec(0, 'small', 1)
    claim = Claim(spec.organisation, spec.name, (0,), 1, False, True)
    for number in range(count):
        job_id = add_job(core, number, spec)
        core.state.queue.remove(job_id)
        core.state.update(
            job_id,
            state=JobState.RUNNING,
            members=(MemberRef('w00000', '127.0.0.1:10000', 1, claim),),
            attempt=1,
            revision=1,
            started_ms=1,
            next_send_ms=10**9,
        )
    core.state.outbox.take_effects()


def _time_ticks(core: EntryCore) -> list[float]:
    times = []
    for number in range(PASSES):
        now_ms = 100 + number * TICK_MS
        start_ns = time.perf_counter_ns()
        core.step(Tick(), now_ms)
        times.append((time.perf_counter_ns() - start_ns) / 1e6)
    return times


DECISIONS = Experiment(
    name='decisions',
    question='Time of a pass that places one job, by workers and queued jobs.',
    run=run_decisions,
    columns=(
        *(
            Column(f'pass_{workers}_{depth}_ms', f'{workers} w, {depth} q: ms')
            for workers in FLEETS
            for depth in DEPTHS
        ),
        Column('tick_ms', f'tick, {RUNNING_JOBS:,} running jobs: ms'),
    ),
    variants=(BASELINE, CURRENT),
    users=('synthetic',),
    bar='pass_4200_1000_ms',
    is_timed=True,
)
