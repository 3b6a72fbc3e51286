"""Run times learned from earlier runs of the same job."""

import math
from collections import OrderedDict, deque

from yuccarelay.core.models import JobSpec

JOBS_KEPT = 4_096
RUNS_KEPT = 32

# With fewer runs, the quantile is the slowest of very few runs.
RUNS_NEEDED = 5

# Backfill relies on a job ending before a gang starts, so the estimate is a high
# quantile; a maximum would depend on a single straggler.
RUN_QUANTILE = 0.9


class RunHistory:
    """
    Latest run times per organisation and job name.

    Keeps at most `JOBS_KEPT` jobs with `RUNS_KEPT` runs each and drops the least
    recently run job first.
    """

    def __init__(self):
        self.runs: OrderedDict[tuple[str, str], deque[int]] = OrderedDict()

    def record(self, spec: JobSpec, run_ms: int) -> None:
        """Record the run time of a completed run."""
        key = (spec.organisation, spec.name)
        self.runs.setdefault(key, deque(maxlen=RUNS_KEPT)).append(run_ms)
        self.runs.move_to_end(key)
        if len(self.runs) > JOBS_KEPT:
            self.runs.popitem(last=False)

    def get_learned_run_ms(self, spec: JobSpec) -> int | None:
        """Return the learned run time, or None before `RUNS_NEEDED` runs."""
        runs = sorted(self.runs.get((spec.organisation, spec.name), ()))
        if len(runs) < RUNS_NEEDED:
            return None
        return runs[math.ceil(RUN_QUANTILE * len(runs)) - 1]

    def estimate_run_ms(self, spec: JobSpec) -> int:
        """Return the learned run time, or the declared one if none is known."""
        learned_ms = self.get_learned_run_ms(spec)
        return spec.declared_run_ms if learned_ms is None else learned_ms
