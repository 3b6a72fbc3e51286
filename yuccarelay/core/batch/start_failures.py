"""
Notices when workers of a service begin to fail what they start.

Such workers answer well, and what runs there goes on. Several of them usually begin at
the same time, so only runs that were started since show which workers are sound.
"""

from dataclasses import dataclass

# Workers that cannot run tasks fail them within half a second. A run that fails later
# tells more about its job.
START_FAILURE_MS = 1_000
# A series of failures is over after this time without another one. Workers that fail
# what they start usually recover within it.
SERIES_GAP_MS = 8_000


@dataclass(slots=True)
class FailureSeries:
    """Failed starts of a service; `since_ms` is when the first of them was started."""

    since_ms: int
    last_ms: int


class StartFailures:
    """The latest series of failed starts of each service."""

    def __init__(self):
        self.series: dict[str, FailureSeries] = {}

    def note(self, service: str, started_ms: int, now_ms: int) -> None:
        """Note a run that failed within `START_FAILURE_MS`."""
        series = self.series.get(service)
        if series is None or now_ms > series.last_ms + SERIES_GAP_MS:
            self.series[service] = FailureSeries(started_ms, now_ms)
            return
        series.last_ms = now_ms

    def find_since_ms(self, service: str, now_ms: int) -> int:
        """Return since when workers of a service fail starts, 0 if none does."""
        series = self.series.get(service)
        if series is None or now_ms > series.last_ms + SERIES_GAP_MS:
            return 0
        return series.since_ms
