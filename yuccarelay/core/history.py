"""Run times learned from earlier runs of the same job."""

import math
from collections import OrderedDict, deque

from yuccarelay.core.models import JobSpec

JOBS_KEPT = 4_096
RUNS_KEPT = 32

# With fewer runs the high quantile is only the slowest of very few.
RUNS_NEEDED = 5

# A run time is used to promise that a job ends before a gang starts, so it errs
# towards long; a maximum would let one straggler decide.
RUN_QUANTILE = 0.9


class RunHistory:
    """
    Latest run times per organisation and job name.

    Keeps at most `JOBS_KEPT` jobs with `RUNS_KEPT` runs each; the job that has not
    run for longest is forgotten first.
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

    def measure_run_ms(self, spec: JobSpec) -> int | None:
        """Return the learned run time, or None before the first few runs."""
        runs = sorted(self.runs.get((spec.organisation, spec.name), ()))
        if len(runs) < RUNS_NEEDED:
            return None
        return runs[math.ceil(RUN_QUANTILE * len(runs)) - 1]

    def estimate_run_ms(self, spec: JobSpec) -> int:
        """Return the learned run time, or the declared one before the first runs."""
        learned_ms = self.measure_run_ms(spec)
        return spec.declared_run_ms if learned_ms is None else learned_ms
