"""Experiments e, f and g: mass cancellation, store outage, region partition."""

import time
from itertools import pairwise

from tools.measure.bench import Bench, Trace, count_owned, find_job
from tools.measure.experiment import Column, Experiment, Metrics
from tools.measure.figures import find_mean, find_ratio
from tools.measure.variants import BASELINE, CURRENT, Variant
from yuccarelay.core.events import CancelRequested, QueryRequested

WAVE_SIZES = (100, 400)
WAVE_RUN_MS = 600_000
WAVE_SETTLE_MS = 20_000
REUSE_RUN_MS = 5_000
REUSE_LIMIT_MS = 30_000

BEFORE_MS = 180_000
OUTAGE_MS = 600_000
AFTER_MS = 240_000
STEADY_RUN_MS = 20_000
STEADY_LOAD = 0.5
# Time after the outage in which retries of many clients could overload the store.
RETURN_MS = 10_000
QUERY_SHARE = 0.1


def run_cancel(user: str, variant: Variant, seed: int) -> Metrics:
    """Cancel many jobs at once, submit new jobs and measure when these start."""
    bench = Bench(user, variant, seed)
    costs: dict[int, list[float]] = {size: [] for size in WAVE_SIZES}
    _time_cancellations(bench, costs)
    names = [
        name
        for name, organisation in bench.manifest.organisations.items()
        if find_job(organisation, repeatable=True)
    ]
    reuse: list[float] = []
    unused = 0
    for size in WAVE_SIZES:
        wave = [_submit_repeatable(bench, names, WAVE_RUN_MS) for _ in range(size)]
        bench.simulation.run(WAVE_SETTLE_MS)
        bench.wave_size = size
        for trace in wave:
            if trace.job_id:
                bench.cancel(trace)
        fresh = [_submit_repeatable(bench, names, REUSE_RUN_MS) for _ in range(40)]
        bench.simulation.run(REUSE_LIMIT_MS)
        reuse += [
            (trace.started_ms - trace.submitted_ms) / 1000
            for trace in fresh
            if trace.started_ms >= 0
        ]
        unused += sum(trace.started_ms < 0 for trace in fresh)
        open_jobs = sum(bool(t.job_id) and t.ended_ms < 0 for t in wave)
    return {
        **{f'cost_{size}_us': values for size, values in costs.items()},
        'reuse_s': reuse,
        'unused': unused,
        'open': open_jobs,
    }


def _submit_repeatable(bench: Bench, names: list[str], run_ms: int) -> Trace:
    name = bench.arrivals.choice(names)
    job_name = find_job(bench.manifest.organisations[name], repeatable=True)
    return bench.submit(name, job_name, run_ms)


def _time_cancellations(bench: Bench, costs: dict[int, list[float]]) -> None:
    """Measure the processing time of each cancellation in microseconds."""
    deliver = bench.simulation.deliver

    def deliver_timed(process, event) -> None:
        if not isinstance(event, CancelRequested):
            deliver(process, event)
            return
        start_ns = time.perf_counter_ns()
        effects = process.core.step(event, bench.simulation.now_ms)
        costs[bench.wave_size].append((time.perf_counter_ns() - start_ns) / 1000)
        for effect in effects:
            bench.simulation._carry_out(process, effect)

    bench.simulation.deliver = deliver_timed


def run_outage(user: str, variant: Variant, seed: int) -> Metrics:
    """Stop the store for ten minutes under a steady load."""
    bench = Bench(user, variant, seed)
    _add_steady_load(bench, BEFORE_MS + OUTAGE_MS + AFTER_MS, keyed_share=0.2)
    store = bench.simulation.store
    call_counts = [store.calls]
    bench.sample(
        interval_ms=1_000,
        end_ms=BEFORE_MS + OUTAGE_MS + AFTER_MS,
        act=lambda: call_counts.append(store.calls),
    )
    bench.simulation.run(BEFORE_MS)
    store.up = False
    bench.simulation.run(OUTAGE_MS)
    store.up = True
    bench.simulation.run(AFTER_MS)
    rates = [after - before for before, after in pairwise(call_counts)]
    begin, end = BEFORE_MS // 1000, (BEFORE_MS + OUTAGE_MS) // 1000
    first_ms = 10_000 + BEFORE_MS
    during = [
        trace
        for trace in bench.submitted
        if first_ms <= trace.submitted_ms < first_ms + OUTAGE_MS
    ]
    return {
        'calls_before': find_mean(rates[:begin]),
        'calls_during': find_mean(rates[begin:end]),
        'calls_return_max': max(rates[end : end + RETURN_MS // 1000]),
        'calls_return_mean': find_mean(rates[end : end + RETURN_MS // 1000]),
        'calls_after': find_mean(rates[end + RETURN_MS // 1000 :]),
        'calls_over_time': [float(rate) for rate in rates],
        'submitted': len(during),
        'accepted': find_ratio(sum(bool(t.job_id) for t in during), len(during)),
        'refused': find_ratio(sum(bool(t.refusal) for t in during), len(during)),
        'done_in_outage': find_ratio(
            sum(0 < t.ended_ms < first_ms + OUTAGE_MS for t in during),
            len(during),
        ),
        'unknown': sum(t.outcome == 'Unknown' for t in bench.submitted),
        'not_run': sum(t.outcome == 'NotRun' for t in bench.submitted),
        'lost': _count_lost(bench),
    }


def _add_steady_load(bench: Bench, length_ms: int, keyed_share: float) -> None:
    for name, organisation in bench.manifest.organisations.items():
        owned = count_owned(organisation)
        job_names = {find_job(organisation, repeatable=r) for r in (True, False)} - {''}
        for job_name in sorted(job_names):
            rate = owned * STEADY_LOAD / len(job_names) * 1000 / STEADY_RUN_MS

            def submit(name=name, job_name=job_name) -> None:
                keyed = bench.arrivals.random() < keyed_share
                key = f'key-{len(bench.submitted)}' if keyed else ''
                run_ms = STEADY_RUN_MS * bench.arrivals.uniform(0.5, 1.5)
                bench.submit(name, job_name, run_ms, key=key)

            bench.plan_arrivals(lambda _, rate=rate: rate, length_ms, submit)


def _count_lost(bench: Bench) -> int:
    """Return the number of accepted jobs that did not end and that no entry knows."""
    known: set[str] = set()
    for process in bench.simulation.processes.values():
        if process.is_entry:
            known |= set(process.core.state.jobs)
    return sum(
        trace.job_id not in known and trace.ended_ms < 0
        for trace in bench.submitted
        if trace.job_id
    )


def run_cut(user: str, variant: Variant, seed: int) -> Metrics:
    """Cut the network between the regions; the store is in the first one."""
    bench = Bench(user, variant, seed)
    simulation = bench.simulation
    regions = list(bench.entries)
    length_ms = BEFORE_MS + OUTAGE_MS + AFTER_MS
    _add_steady_load(bench, length_ms, keyed_share=0)
    _add_remote_queries(bench, length_ms)
    metrics: Metrics = {}
    for phase, phase_ms in (
        ('before', BEFORE_MS),
        ('cut', OUTAGE_MS),
        ('after', AFTER_MS),
    ):
        if phase == 'cut':
            simulation.cut(*regions)
            simulation.store.cut_regions.add(regions[1])
        else:
            simulation.heal()
            simulation.store.cut_regions.clear()
        start_ms, link = simulation.now_ms, simulation.link
        messages, size = link.messages, link.bytes
        simulation.run(phase_ms)
        seconds = phase_ms / 1000
        metrics[f'messages_{phase}'] = (link.messages - messages) / seconds
        metrics[f'bytes_{phase}'] = (link.bytes - size) / seconds
        for index, region in enumerate(regions):
            metrics[f'{phase}_{index}'] = _measure_service(bench, region, start_ms)
    metrics['lost'] = _count_lost(bench)
    metrics['unknown'] = sum(t.outcome == 'Unknown' for t in bench.submitted)
    return metrics


def _add_remote_queries(bench: Bench, length_ms: int) -> None:
    """Query recent jobs at random entries of any region, once a second on average."""

    def send_query() -> None:
        known = [trace for trace in bench.submitted[-100:] if trace.job_id]
        if not known:
            return
        trace = bench.arrivals.choice(known)
        entries = [one for group in bench.entries.values() for one in group]
        bench.simulation.request(
            bench.arrivals.choice(entries),
            lambda request: QueryRequested(request, trace.organisation, trace.job_id),
        )

    bench.plan_arrivals(lambda _: 1.0, length_ms, send_query)


def _measure_service(bench: Bench, region: str, start_ms: int) -> float:
    """Return the share of submissions since `start_ms` that started within 30 s."""
    submissions = [
        trace
        for trace in bench.submitted
        if trace.submitted_ms >= start_ms
        and trace.submitted_ms < bench.simulation.now_ms - REUSE_LIMIT_MS
        and trace.entry in bench.entries[region]
    ]
    started = sum(
        0 <= trace.started_ms - trace.submitted_ms <= REUSE_LIMIT_MS
        for trace in submissions
    )
    return find_ratio(started, len(submissions))


CANCEL = Experiment(
    name='cancel',
    question='All queued and running jobs are cancelled at once, new ones follow.',
    run=run_cancel,
    columns=(
        *(
            Column(f'cost_{size}_us', f'µs per cancellation, {size} jobs')
            for size in WAVE_SIZES
        ),
        Column('reuse_s', 'start of new work s'),
        Column('unused', 'new jobs not started'),
        Column('open', 'cancelled jobs not ended'),
    ),
    variants=(BASELINE, CURRENT),
    bar='reuse_s',
    is_timed=True,
)

OUTAGE = Experiment(
    name='outage',
    question='The store is down for ten minutes while work goes on.',
    run=run_outage,
    columns=(
        Column('calls_before', 'calls/s before'),
        Column('calls_during', 'calls/s during'),
        Column('calls_return_max', 'most calls/s in 10 s after'),
        Column('calls_return_mean', 'calls/s in 10 s after'),
        Column('calls_after', 'calls/s later'),
        Column('submitted', 'submitted in outage'),
        Column('accepted', 'accepted'),
        Column('refused', 'refused'),
        Column('done_in_outage', 'ended in outage'),
        Column('unknown', 'unknown'),
        Column('not_run', 'not run'),
        Column('lost', 'lost'),
    ),
    bar='calls_return_max',
    lines='calls_over_time',
    x_title='time, 17 min',
)

CUT = Experiment(
    name='cut',
    question='The regions lose contact for ten minutes; the store is in the first.',
    run=run_cut,
    columns=(
        Column('messages_before', 'messages/s before'),
        Column('messages_cut', 'messages/s cut'),
        Column('messages_after', 'messages/s after'),
        Column('bytes_before', 'bytes/s before'),
        Column('bytes_cut', 'bytes/s cut'),
        Column('bytes_after', 'bytes/s after'),
        Column('before_0', 'served, store region, before'),
        Column('cut_0', 'cut'),
        Column('after_0', 'after'),
        Column('before_1', 'served, other region, before'),
        Column('cut_1', 'cut'),
        Column('after_1', 'after'),
        Column('unknown', 'unknown'),
        Column('lost', 'lost'),
    ),
    bar='cut_1',
)
