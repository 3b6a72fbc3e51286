"""
Foresees which workers a rolling release replaces next.

A release starts new workers of a service and drains the earlier ones, some at a time,
for longer than most runs take. While workers are drained one after the other, those
that were born before will probably be drained as well, and work placed there is moved
or lost.
"""

from dataclasses import dataclass

# A series of drains is over after this time without another one.
SERIES_GAP_MS = 10_000
# Fewer workers drain in a row where no release is under way, too.
SERIES_MINIMUM = 3
# Workers that are taken away together drain within this time; those of a release drain
# in turns, at most `TURN_GAP_MS` apart.
TOGETHER_MS = 800
TURN_GAP_MS = 3_000
# A release starts the new workers this long before it drains the first earlier one.
NEW_WORKERS_LEAD_MS = 6_000


@dataclass(slots=True)
class DrainSeries:
    """Workers of a service that were drained one after the other, by time of day."""

    first_ms: int
    last_ms: int
    count: int = 1


class Releases:
    """The latest series of drains of each service."""

    def __init__(self):
        self.series: dict[str, DrainSeries] = {}

    def note_drain(self, service: str, wall_ms: int) -> None:
        """Note that a worker of a service has begun to drain."""
        series = self.series.get(service)
        if series is None or wall_ms > series.last_ms + SERIES_GAP_MS:
            self.series[service] = DrainSeries(wall_ms, wall_ms)
            return
        series.last_ms = max(series.last_ms, wall_ms)
        series.count += 1

    def find_cutoff_ms(self, service: str, wall_ms: int) -> int:
        """
        Return the time of birth before which workers will probably be drained.

        It is 0 while no release is under way.
        """
        series = self.series.get(service)
        if (
            series is None
            or series.count < SERIES_MINIMUM
            or wall_ms > series.last_ms + SERIES_GAP_MS
        ):
            return 0
        return series.first_ms - NEW_WORKERS_LEAD_MS

    def is_draining(self, service: str, wall_ms: int) -> bool:
        """Whether a release is under way and will soon drain more workers."""
        series = self.series.get(service)
        return (
            series is not None
            and series.count >= SERIES_MINIMUM
            and series.last_ms > series.first_ms + TOGETHER_MS
            and wall_ms <= series.last_ms + TURN_GAP_MS
        )
