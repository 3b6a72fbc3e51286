"""Experiment i: scheduling order between organisations and between job classes."""

from tools.measure.bench import Bench, Trace
from tools.measure.experiment import Column, Experiment, Metrics
from tools.measure.variants import (
    AGED_FIRST,
    BASELINE,
    CHARGED_AT_END,
    CURRENT,
    Variant,
)
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.models import JobClass

LONG_JOBS = 48
LONG_RUN_MS = 1_500_000
LONG_HEAD_START_MS = 120_000
SHORT_JOBS = 120
SHORT_RUN_MS = 20_000
# Ordinary jobs age into the urgent class after 30 min.
AGED_JOBS = 700
AGED_RUN_MS = 240_000
URGENT_JOBS = 20
AGEING_WAIT_MS = 1_860_000
AFTER_MS = 600_000


def run_order(user: str, variant: Variant, seed: int) -> Metrics:
    """Let one organisation occupy the fleet, and urgent jobs queue with aged jobs."""
    heavy, light = ('guild-south', 'market-stalls')
    job_name = 'proof-render'
    if user == 'kanem':
        heavy, light, job_name = 'kano-gins', 'gombe-gins', 'weighbridge-reconcile'
    return _measure_shares(
        user, variant, seed, heavy, light, job_name
    ) | _measure_urgent(
        user,
        variant,
        seed,
        heavy,
        job_name,
    )


def _measure_shares(user, variant, seed, heavy, light, job_name) -> Metrics:
    bench = Bench(user, variant, seed)
    if user == 'kanem':
        # The two compete only if the light one has cells in the same region.
        light = 'weighbridges'
    for _ in range(LONG_JOBS):
        bench.submit(heavy, job_name, LONG_RUN_MS)
    bench.simulation.run(LONG_HEAD_START_MS)
    groups: dict[str, list[Trace]] = {heavy: [], light: []}
    for _ in range(SHORT_JOBS):
        for name, traces in groups.items():
            run_ms = SHORT_RUN_MS * bench.arrivals.uniform(0.5, 1.5)
            traces.append(bench.submit(name, job_name, run_ms))
    bench.simulation.run(AFTER_MS)
    return {
        'heavy_wait_s': [_find_wait_s(t, bench) for t in groups[heavy]],
        'light_wait_s': [_find_wait_s(t, bench) for t in groups[light]],
    }


def _measure_urgent(user, variant, seed, heavy, job_name) -> Metrics:
    bench = Bench(user, variant, seed, change=_add_urgent)
    for _ in range(AGED_JOBS):
        bench.submit(heavy, job_name, AGED_RUN_MS * bench.arrivals.uniform(0.5, 1.5))
    bench.simulation.run(AGEING_WAIT_MS)
    urgent = []
    for _ in range(URGENT_JOBS):
        urgent.append(bench.submit(heavy, 'urgent-job', 1_000))
        bench.simulation.run(5_000)
    bench.simulation.run(AFTER_MS)
    return {'urgent_wait_s': [_find_wait_s(trace, bench) for trace in urgent]}


def _add_urgent(manifest: Manifest) -> Manifest:
    """Give each organisation an urgent job, and make its other jobs ordinary."""
    changed = {}
    for name, organisation in manifest.organisations.items():
        jobs = {
            job: spec._replace(job_class=JobClass.ORDINARY, start_limit_ms=10**8)
            for job, spec in organisation.jobs.items()
        }
        first = next(iter(jobs.values()))
        jobs['urgent-job'] = first._replace(
            name='urgent-job',
            members=1,
            accelerators=1,
            repeatable=True,
            job_class=JobClass.URGENT,
        )
        changed[name] = organisation._replace(jobs=jobs)
    return manifest._replace(organisations=changed)


def _find_wait_s(trace: Trace, bench: Bench) -> float:
    end_ms = trace.started_ms if trace.started_ms >= 0 else bench.simulation.now_ms
    return (end_ms - trace.submitted_ms) / 1000


ORDER = Experiment(
    name='order',
    question='An organisation that holds the fleet, and urgent work behind aged work.',
    run=run_order,
    columns=(
        Column('heavy_wait_s', 'wait of the holder s'),
        Column('light_wait_s', 'wait of the other s'),
        Column('urgent_wait_s', 'wait of urgent jobs s'),
    ),
    variants=(
        BASELINE,
        Variant('charged_at_end', values=CHARGED_AT_END),
        Variant('aged_first', values=AGED_FIRST),
        CURRENT,
    ),
    bar='urgent_wait_s',
)
