"""Experiments b and c: peak load, and reclaim of lent accelerators."""

from tools.measure.bench import Bench, Trace, count_owned, find_job, find_regions
from tools.measure.experiment import Column, Experiment, Metrics
from tools.measure.figures import find_mean, find_ratio
from tools.measure.variants import (
    BASELINE,
    CURRENT,
    NO_ADMISSION,
    NO_BORROWING,
    Variant,
)

NORMAL_LOAD_MS = 120_000
RAMP_MS = 5_000
PEAK_MS = 60_000
RECOVERY_MS = 300_000
PEAK_FACTOR = 10
# The limits of the manifests, 600 s and 1,800 s, cannot be missed in a peak of 60 s.
START_LIMIT_MS = 20_000
REPRINT_RUN_MS = 3_000
# Reprints run only on the cells of their organisation. At the peak of ten times
# this load they need 2.5 times the capacity of these cells.
REPRINT_LOAD = 0.25
BACKGROUND_RUN_MS = 30_000
BACKGROUND_LOAD = 0.8
# Recovery ends when new reprints wait no longer than this.
RECOVERED_WAIT_MS = 2_000

OWNER_IDLE_MS = 300_000
RECLAIM_LENGTH_MS = 300_000
BORROWER_RUN_MS = 60_000
OWNER_RUN_MS = 10_000
BORROWERS_BACKLOG = 200


def find_load_factor(time_ms: int) -> float:
    """Return the load at a time as a multiple of the normal load."""
    end_ms = NORMAL_LOAD_MS + RAMP_MS + PEAK_MS
    if time_ms < NORMAL_LOAD_MS or time_ms >= end_ms:
        return 1.0
    return 1 + (PEAK_FACTOR - 1) * min((time_ms - NORMAL_LOAD_MS) / RAMP_MS, 1)


def run_peak_load(user: str, variant: Variant, seed: int) -> Metrics:
    """Simulate the peak load and return metrics of the jobs with a start limit."""
    bench = _simulate_peak_load(user, variant, seed)
    limited = [trace for trace in bench.submitted if not trace.spec.preemptible]
    peak = [trace for trace in limited if _is_in_peak(trace)]
    refused = [trace for trace in peak if trace.refusal]
    accepted = [trace for trace in peak if not trace.refusal]
    metrics: Metrics = {
        'crest_jobs': len(peak),
        'in_time': find_ratio(sum(not t.is_late for t in peak), len(peak)),
        'accepted_in_time': find_ratio(
            sum(not trace.is_late for trace in accepted),
            len(accepted),
        ),
        'refused': find_ratio(len(refused), len(peak)),
        'retry_s': [trace.retry_ms / 1000 for trace in refused],
        'wait_s': [
            (trace.started_ms - trace.submitted_ms) / 1000
            for trace in accepted
            if trace.started_ms >= 0
        ],
        'recovery_s': _find_recovery_s(limited),
        'acquire_failed': bench.find_failures_per_start(),
        'refused_late': float('nan'),
    }
    if variant.name == CURRENT.name:
        metrics['refused_late'] = _measure_late_if_admitted(user, seed, bench)
    return metrics


def _simulate_peak_load(user: str, variant: Variant, seed: int) -> Bench:
    bench = Bench(user, variant, seed, start_limit_ms=START_LIMIT_MS)
    length_ms = NORMAL_LOAD_MS + RAMP_MS + PEAK_MS + RECOVERY_MS
    for name, organisation in bench.manifest.organisations.items():
        owned = count_owned(organisation)
        regions = find_regions(bench.manifest, name)
        owned *= len(regions) if len(regions) > 1 else 1
        one_time_job = find_job(organisation, repeatable=False)
        rate = owned * REPRINT_LOAD * 1000 / REPRINT_RUN_MS
        bench.plan_arrivals(
            lambda time_ms, rate=rate: rate * find_load_factor(time_ms),
            length_ms,
            lambda name=name, one_time_job=one_time_job: bench.submit(
                name,
                one_time_job,
                REPRINT_RUN_MS * bench.arrivals.uniform(0.5, 1.5),
            ),
        )
        _add_background(bench, name, owned, length_ms)
    bench.simulation.run(length_ms)
    return bench


def _add_background(bench: Bench, name: str, owned: int, length_ms: int) -> None:
    organisation = bench.manifest.organisations[name]
    job_names = {
        find_job(organisation, repeatable=True),
        find_job(organisation, repeatable=False, gang=True),
    }
    for job_name in sorted(job_names - {''}):
        spec = organisation.jobs[job_name]
        load = owned * BACKGROUND_LOAD / 2
        rate = load * 1000 / (spec.total_accelerators * BACKGROUND_RUN_MS)
        bench.plan_arrivals(
            lambda _, rate=rate: rate,
            length_ms,
            lambda job_name=job_name: bench.submit(
                name,
                job_name,
                BACKGROUND_RUN_MS * bench.arrivals.uniform(0.5, 1.5),
            ),
        )


def _is_in_peak(trace: Trace) -> bool:
    begin_ms = NORMAL_LOAD_MS + 10_000
    return begin_ms <= trace.submitted_ms < begin_ms + RAMP_MS + PEAK_MS


def _find_recovery_s(limited: list[Trace]) -> float:
    """Return the time from the end of the peak to the last slow or refused job."""
    end_ms = 10_000 + NORMAL_LOAD_MS + RAMP_MS + PEAK_MS
    slow = [
        trace.submitted_ms
        for trace in limited
        if trace.refusal or trace.started_ms - trace.submitted_ms > RECOVERED_WAIT_MS
    ]
    return max(max(slow, default=end_ms) - end_ms, 0) / 1000


def _measure_late_if_admitted(user: str, seed: int, bench: Bench) -> float:
    """Return the share of refused jobs that start late if nothing is refused."""
    open_bench = _simulate_peak_load(user, Variant('open', values=NO_ADMISSION), seed)
    pairs = zip(bench.submitted, open_bench.submitted, strict=False)
    late = [
        unrefused.is_late for trace, unrefused in pairs if _is_refused_in_peak(trace)
    ]
    return find_ratio(sum(late), len(late))


def _is_refused_in_peak(trace: Trace) -> bool:
    return bool(trace.refusal) and _is_in_peak(trace)


def run_reclaim(user: str, variant: Variant, seed: int) -> Metrics:
    """Lend the accelerators of idle owners, then submit jobs of the owners."""
    bench = Bench(user, variant, seed)
    names = list(bench.manifest.organisations)
    owners = [n for n in names if bench.manifest.organisations[n].weight > 1]
    borrowers = [n for n in names if n not in owners]
    for name in borrowers:
        job_name = find_job(bench.manifest.organisations[name], repeatable=True)
        for _ in range(BORROWERS_BACKLOG):
            run_ms = BORROWER_RUN_MS * bench.arrivals.uniform(0.5, 1.5)
            bench.submit(name, job_name, run_ms)
    idle: list[float] = []
    reclaiming: list[float] = []
    bench.sample(5_000, OWNER_IDLE_MS, lambda: idle.append(bench.measure_utilisation()))
    bench.simulation.run(OWNER_IDLE_MS)
    owner_jobs = [_submit_owner_jobs(bench, name) for name in owners]
    bench.sample(
        interval_ms=5_000,
        end_ms=RECLAIM_LENGTH_MS,
        act=lambda: reclaiming.append(bench.measure_utilisation()),
    )
    bench.simulation.run(RECLAIM_LENGTH_MS)
    traces = [trace for group in owner_jobs for trace in group]
    return {
        'utilisation_idle': find_mean(idle),
        'utilisation_back': find_mean(reclaiming),
        'reclaim_s': [
            (trace.started_ms - trace.submitted_ms) / 1000
            for trace in traces
            if trace.started_ms >= 0
        ],
        'not_reclaimed': sum(trace.started_ms < 0 for trace in traces),
        'preemptions': bench.count('preemptions'),
        'lost_share': _measure_lost_share(bench),
        'borrowers_done': sum(
            trace.outcome == 'Completed' and trace.organisation in borrowers
            for trace in bench.submitted
        ),
        'acquire_failed': bench.find_failures_per_start(),
    }


def _submit_owner_jobs(bench: Bench, name: str) -> list[Trace]:
    """Submit one job for each guaranteed accelerator, all at the same time."""
    organisation = bench.manifest.organisations[name]
    job_name = find_job(organisation, repeatable=False)
    return [
        bench.submit(name, job_name, OWNER_RUN_MS)
        for _ in range(count_owned(organisation))
    ]


def _measure_lost_share(bench: Bench) -> float:
    """Return the run time of runs that did not complete as a share of all run time."""
    lost = total = 0
    for target in bench.simulation.targets.values():
        for run in target.runs.values():
            end_ms = run.end_ms if run.end_ms is not None else bench.simulation.now_ms
            total += end_ms - run.started_ms
            if run.end_ms is not None and not run.completed:
                lost += end_ms - run.started_ms
    return find_ratio(lost, total)


PEAK_LOAD = Experiment(
    name='crest',
    question='Demand for jobs with a start limit times ten for 60 s.',
    run=run_peak_load,
    columns=(
        Column('crest_jobs', 'jobs in the peak'),
        Column('in_time', 'started in time, of all'),
        Column('accepted_in_time', 'in time, of accepted'),
        Column('refused', 'refused'),
        Column('refused_late', 'refused that would be late'),
        Column('retry_s', 'retry time s'),
        Column('wait_s', 'wait of accepted s'),
        Column('recovery_s', 'recovery s'),
        Column('acquire_failed', 'refused acquisitions per start'),
    ),
    variants=(
        BASELINE,
        Variant('no_admission', values=NO_ADMISSION),
        CURRENT,
    ),
    bar='in_time',
)

RECLAIM = Experiment(
    name='reclaim',
    question='Accelerators of idle organisations are lent and taken back.',
    run=run_reclaim,
    columns=(
        Column('utilisation_idle', 'utilisation, owners idle'),
        Column('utilisation_back', 'utilisation, owners back'),
        Column('reclaim_s', 'time to reclaim s'),
        Column('not_reclaimed', 'owner jobs not started'),
        Column('preemptions', 'preemptions'),
        Column('lost_share', 'lost share of run time'),
        Column('borrowers_done', 'borrowers: jobs done'),
        Column('acquire_failed', 'refused acquisitions per start'),
    ),
    variants=(
        BASELINE,
        Variant('no_borrowing', values=NO_BORROWING),
        CURRENT,
    ),
    bar='utilisation_idle',
)
