"""Counters, histograms and gauges."""

from typing import Protocol


class Metrics(Protocol):
    """Records counts, times and states; never blocks and never fails."""

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""
        ...

    def observe(
        self,
        name: str,
        organisation: str,
        job_class: str,
        value_ms: int,
    ) -> None:
        """Record a time in the histogram of an organisation and class."""
        ...

    def count_waste(self, job_class: str, cause: str, core_s: float) -> None:
        """Add to the core-seconds of work that was lost to a cause."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge of a state to its latest value."""
        ...
