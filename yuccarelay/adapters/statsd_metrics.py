"""Metrics: counters and timings over statsd, and histograms in memory."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from yuccarelay.adapters.tables import format_table

PREFIX = 'yuccarelay'
# Jobs may wait and run for days; longer times are recorded as this one.
HIGHEST_MS = 7 * 24 * 3_600_000
SIGNIFICANT_DIGITS = 2
# 200 organisations with 3 classes and 2 times each make 1,200.
HISTOGRAM_LIMIT = 1_500


class HistogramKey(NamedTuple):
    """The metric, organisation and job class of a histogram."""

    name: str
    organisation: str
    job_class: str


class HistogramRow(NamedTuple):
    """Summary of a histogram; times are in milliseconds."""

    name: str
    organisation: str
    job_class: str
    count: int
    p50_ms: int
    p90_ms: int
    p99_ms: int
    max_ms: int


class StatsdMetrics:
    """
    Metrics of one process.

    Without an address nothing is sent, but the histograms are kept. Once there are
    `HISTOGRAM_LIMIT` histograms, the times of further keys are sent but not stored;
    `dropped` counts them.
    """

    def __init__(self, address: tuple[str, int] | None):
        self.client = make_client(address) if address else None
        self.histograms: dict[HistogramKey, HdrHistogram] = {}
        self.dropped = 0

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""
        if self.client is not None:
            self.client.incr(name, amount)

    def observe(
        self,
        name: str,
        organisation: str,
        job_class: str,
        value_ms: int,
    ) -> None:
        """Record a time in the histogram of an organisation and class."""
        if self.client is not None:
            organisation_part = organisation.replace('.', '_')
            self.client.timing(f'{name}.{organisation_part}.{job_class}', value_ms)
        key = HistogramKey(name, organisation, job_class)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= HISTOGRAM_LIMIT:
                self.dropped += 1
                return
            histogram = make_histogram()
            self.histograms[key] = histogram
        histogram.record_value(min(max(value_ms, 0), HIGHEST_MS))

    def count_waste(self, job_class: str, cause: str, core_s: float) -> None:
        """Send the core-seconds of work that was lost to a cause."""
        if self.client is not None:
            self.client.incr(f'wasted_core_seconds.{job_class}.{cause}', round(core_s))

    def gauge(self, name: str, value: float) -> None:
        """Send the latest value of a state as a gauge."""
        if self.client is not None:
            self.client.gauge(name, value)

    def list_histograms(self) -> list[HistogramRow]:
        """Return the summaries in the order of their keys."""
        return [summarise(key, self.histograms[key]) for key in sorted(self.histograms)]

    def format_histograms(self) -> str:
        """Return the summaries as a plain-text table."""
        return format_table(HistogramRow._fields, self.list_histograms())

    def close(self) -> None:
        """Close the socket."""
        if self.client is not None:
            self.client.close()


def make_client(address: tuple[str, int]) -> StatsClient:
    """Return a client whose sends never block: a full buffer drops the packet."""
    host, port = address
    client = StatsClient(host=host, port=port, prefix=PREFIX, ipv6=':' in host)
    # The library has no setting for this. It ignores errors of the socket.
    client._sock.setblocking(False)
    return client


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of times from 1 ms to `HIGHEST_MS`."""
    return HdrHistogram(
        lowest_trackable_value=1,
        highest_trackable_value=HIGHEST_MS,
        significant_figures=SIGNIFICANT_DIGITS,
        word_size=4,
    )


def summarise(key: HistogramKey, histogram: HdrHistogram) -> HistogramRow:
    """Return the summary of a histogram."""
    return HistogramRow(
        *key,
        count=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(50),
        p90_ms=histogram.get_value_at_percentile(90),
        p99_ms=histogram.get_value_at_percentile(99),
        max_ms=histogram.get_max_value(),
    )
