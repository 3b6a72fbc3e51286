"""Runs cases in separate processes and reports the results of an experiment."""

import json
import math
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tools.measure.decisions import DECISIONS
from tools.measure.experiment import Experiment, Metrics
from tools.measure.faults import FAULTS
from tools.measure.figures import (
    draw_bars,
    draw_lines,
    find_mean,
    find_percentile,
    make_table,
    summarise,
)
from tools.measure.mixed import MIXED
from tools.measure.order import ORDER
from tools.measure.outages import CANCEL, CUT, OUTAGE
from tools.measure.peak_load import PEAK_LOAD, RECLAIM

ROOT = pathlib.Path(__file__).parents[2]
PLOTS = ROOT / 'docs' / 'plots'
EXPERIMENTS = {
    one.name: one
    for one in (
        MIXED,
        PEAK_LOAD,
        RECLAIM,
        FAULTS,
        ORDER,
        CANCEL,
        OUTAGE,
        CUT,
        DECISIONS,
    )
}
# A case that takes longer has a fault; all experiments must end within 10 min.
CASE_LIMIT_S = 300
PARALLEL = max(min((os.cpu_count() or 1) // 2, 6), 1)


class Case(NamedTuple):
    """One run of an experiment with one user, variant and seed."""

    experiment: str
    user: str
    variant: str
    seed: int


def list_cases(experiment: Experiment, seeds: Sequence[int]) -> list[Case]:
    """Return the cases of an experiment."""
    return [
        Case(experiment.name, user, variant.name, seed)
        for user in experiment.users
        for variant in experiment.variants
        for seed in seeds
    ]


def run_case(case: Case) -> Metrics:
    """Run one case in this process."""
    experiment = EXPERIMENTS[case.experiment]
    variants = {variant.name: variant for variant in experiment.variants}
    return experiment.run(case.user, variants[case.variant], case.seed)


def run_cases(cases: Sequence[Case], parallel: int) -> dict[Case, Metrics]:
    """Run each case in a separate process; show progress if stderr is a terminal."""
    results: dict[Case, Metrics] = {}
    start_s = time.monotonic()
    with ThreadPoolExecutor(parallel) as pool:
        for case, metrics in zip(cases, pool.map(_start_case, cases), strict=True):
            results[case] = metrics
            if sys.stderr.isatty():
                text = f'{case.experiment}: {len(results)} of {len(cases)} cases'
                seconds = time.monotonic() - start_s
                print(f'\r{text}, {seconds:.0f} s ', end='', file=sys.stderr)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    return results


def _start_case(case: Case) -> Metrics:
    command = [sys.executable, '-m', 'tools.measure', '--case', json.dumps(case)]
    done = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=CASE_LIMIT_S,
    )
    if done.returncode:
        raise RuntimeError(f'{case} failed:\n{done.stderr}')
    return json.loads(done.stdout)


def report(experiment: Experiment, results: dict[Case, Metrics]) -> str:
    """Return the table of an experiment, with a row for each metric."""
    groups: dict[tuple[str, str], list[Metrics]] = {}
    for case, metrics in results.items():
        groups.setdefault((case.user, case.variant), []).append(metrics)
    header = ['metric', *(f'{user}, {variant}' for user, variant in groups)]
    rows = [
        [
            column.title,
            *(
                summarise([metrics[column.metric] for metrics in group])
                for group in groups.values()
            ),
        ]
        for column in experiment.columns
    ]
    return make_table(header, rows)


def write_plots(experiment: Experiment, results: dict[Case, Metrics]) -> None:
    """Write the plots of an experiment."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    groups: dict[str, list[Metrics]] = {}
    for case, metrics in results.items():
        groups.setdefault(f'{case.user}, {case.variant}', []).append(metrics)
    bars = [
        (label, _find_bar([metrics[experiment.bar] for metrics in group]))
        for label, group in groups.items()
    ]
    title = next(c.title for c in experiment.columns if c.metric == experiment.bar)
    is_sample = isinstance(next(iter(results.values()))[experiment.bar], list)
    title = f'{experiment.name}: {title}, {"p99" if is_sample else "mean"}'
    path = PLOTS / f'{experiment.name}.svg'
    path.write_text(draw_bars(title, bars))
    if experiment.lines:
        lines = {
            label: _average([metrics[experiment.lines] for metrics in group])
            for label, group in groups.items()
        }
        text = draw_lines(
            f'{experiment.name}: {experiment.lines.replace("_", " ")}',
            lines,
            experiment.x_title,
        )
        (PLOTS / f'{experiment.name}-time.svg').write_text(text)


def _find_bar(samples: list[object]) -> float:
    if isinstance(samples[0], list):
        return find_percentile([v for sample in samples for v in sample], 99)
    return find_mean(v for v in samples if v is not None and not math.isnan(v))


def _average(series: list[list[float]]) -> list[float]:
    return [find_mean(values) for values in zip(*series, strict=False)]
