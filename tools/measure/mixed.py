"""Experiment a: a mixed load of long gangs and short jobs."""

from tools.measure.bench import (
    Bench,
    Trace,
    count_owned,
    find_job,
    find_regions,
)
from tools.measure.experiment import Column, Experiment, Metrics
from tools.measure.figures import find_mean, find_ratio
from tools.measure.variants import BASELINE, CURRENT, NO_ADVANCE_RESERVATION, Variant
from yuccarelay.core.models import JobClass
from yuccarelay.core.placement import PlacementPolicy

LENGTH_MS = 3_000_000
SAMPLE_MS = 20_000
# Declared run times of the load; those of the manifests would need days.
SHORT_DECLARED_MS = 10_000
GANG_DECLARED_MS = 90_000
# Upper limit of a run time, so that most jobs can end within the simulated time.
RUN_CEILING_MS = 1_200_000
# Requested accelerator time as a share of the guaranteed accelerator time.
ONCE_LOAD = 0.3
REPEATABLE_LOAD = 0.35
GANG_LOAD = 0.5
# Lower limit of the run time in a slowdown; with run times of 1 s and less, any
# delay would give a huge slowdown.
SLOWDOWN_FLOOR_MS = 5_000
# Mean of `Bench.draw_run_ms` for a declared time of 1, without the upper limit.
MEAN_RUN = 3.4


def run_mixed(user: str, variant: Variant, seed: int) -> Metrics:
    """Simulate the mixed load and return its metrics."""
    bench = Bench(user, variant, seed)
    for name, organisation in bench.manifest.organisations.items():
        owned = count_owned(organisation)
        regions = find_regions(bench.manifest, name)
        owned *= len(regions) if len(regions) > 1 else 1
        one_time_job = find_job(organisation, repeatable=False)
        repeatable_job = find_job(organisation, repeatable=True)
        gang = find_job(organisation, repeatable=False, gang=True)
        extra_load = GANG_LOAD if not repeatable_job else 0
        _plan_job(
            bench,
            name,
            one_time_job,
            owned * (ONCE_LOAD + extra_load / 2),
            SHORT_DECLARED_MS,
        )
        _plan_job(
            bench, name, repeatable_job, owned * REPEATABLE_LOAD, SHORT_DECLARED_MS
        )
        _plan_job(bench, name, gang, owned * GANG_LOAD, GANG_DECLARED_MS)
    samples: list[tuple[float, float, float]] = []
    bench.sample(
        interval_ms=SAMPLE_MS,
        end_ms=LENGTH_MS,
        act=lambda: samples.append(
            (bench.measure_utilisation(), *bench.measure_fragmentation()),
        ),
    )
    bench.simulation.run(LENGTH_MS)
    return _compute_metrics(bench, samples)


def _plan_job(bench: Bench, organisation: str, name: str, load, declared_ms) -> None:
    if not name:
        return
    spec = bench.manifest.organisations[organisation].jobs[name]
    rate = load * 1000 / (spec.total_accelerators * declared_ms * MEAN_RUN)

    def submit() -> None:
        run_ms = min(bench.draw_run_ms(declared_ms), RUN_CEILING_MS)
        bench.submit(organisation, name, run_ms)

    bench.plan_arrivals(lambda _: rate, LENGTH_MS, submit)


def _compute_metrics(bench: Bench, samples) -> Metrics:
    now_ms = bench.simulation.now_ms
    accepted = [trace for trace in bench.submitted if trace.job_id]
    shorts = [trace for trace in accepted if trace.spec.members == 1]
    gangs = [trace for trace in accepted if trace.is_large]
    ended = [trace for trace in accepted if trace.outcome == 'Completed']
    waits = [_find_wait_ms(trace, now_ms) / 1000 for trace in gangs]
    metrics: Metrics = {
        'short_slowdown': [_find_slowdown(one, now_ms) for one in shorts],
        'gang_wait_s': waits,
        'gangs_unstarted': sum(trace.started_ms < 0 for trace in gangs),
        'gangs': len(gangs),
        'utilisation': find_mean(one[0] for one in samples),
        'fragmentation': find_mean(one[1] for one in samples),
        'rack_fragmentation': find_mean(one[2] for one in samples),
        'fragmentation_over_time': [one[1] for one in samples],
        'acquire_failed': bench.find_failures_per_start(),
        'preemptions': bench.count('preemptions'),
        'completed': find_ratio(len(ended), len(bench.submitted)),
    }
    for job_class in JobClass:
        metrics[f'completion_{job_class.value}_s'] = [
            (trace.ended_ms - trace.submitted_ms) / 1000
            for trace in ended
            if trace.spec.job_class is job_class
        ]
    return metrics


def _find_wait_ms(trace: Trace, now_ms: int) -> int:
    end_ms = trace.started_ms if trace.started_ms >= 0 else now_ms
    return end_ms - trace.submitted_ms


def _find_slowdown(trace: Trace, now_ms: int) -> float:
    length_ms = max(trace.run_ms, SLOWDOWN_FLOOR_MS)
    return (_find_wait_ms(trace, now_ms) + length_ms) / length_ms


MIXED = Experiment(
    name='mixed',
    question='Long gangs and short jobs together, with wrong run times.',
    run=run_mixed,
    columns=(
        Column('short_slowdown', 'slowdown of short jobs'),
        Column('completion_ordinary_s', 'ordinary: completion s'),
        Column('completion_deferrable_s', 'deferrable: completion s'),
        Column('gang_wait_s', 'gangs of 8 and more: wait s'),
        Column('gangs', 'gangs'),
        Column('gangs_unstarted', 'gangs never started'),
        Column('utilisation', 'utilisation'),
        Column('fragmentation', 'fragmentation'),
        Column('rack_fragmentation', 'rack fragmentation'),
        Column('acquire_failed', 'refused acquisitions per start'),
        Column('preemptions', 'preemptions'),
        Column('completed', 'completed of submitted'),
    ),
    variants=(
        BASELINE,
        Variant('best_fit', policy=PlacementPolicy.BEST_FIT),
        Variant('no_earmark', values=NO_ADVANCE_RESERVATION),
        CURRENT,
    ),
    bar='short_slowdown',
    lines='fragmentation_over_time',
    x_title='time, 50 min',
)
