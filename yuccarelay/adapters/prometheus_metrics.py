"""Metrics in the text format of Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Names of queues and organisations come from the configuration. Beyond this many
# combinations, new ones are recorded as `OTHER`, so that memory is bounded.
LABELS_LIMIT = 800
OTHER = 'other'
# From a request that the replica answers itself to the longest jobs.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 300, 3_600, 86_400)


class PrometheusMetrics:
    """Counters, histograms for each organisation and class, and gauges."""

    content_type = 'text/plain; version=0.0.4; charset=utf-8'

    def __init__(self):
        self.registry = CollectorRegistry()
        self.seen: set[tuple[str, ...]] = set()
        self.events = Counter(
            'yuccarelay_events',
            'Events of the log by name and result.',
            ('event', 'result'),
            registry=self.registry,
        )
        self.times = Histogram(
            'yuccarelay_time_seconds',
            'Times by metric, organisation and class.',
            ('metric', 'organisation', 'class'),
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.waste = Counter(
            'yuccarelay_wasted_core_seconds',
            'Work that was lost, by class and cause.',
            ('class', 'cause'),
            registry=self.registry,
        )
        self.states = Gauge(
            'yuccarelay_state',
            'Latest state of the process by name.',
            ('name',),
            registry=self.registry,
        )

    def count(self, name: str, amount: int) -> None:
        """Add to the counter of an event; a result follows a dot."""
        event, _, result = name.partition('.')
        if not self._has_own_metric('event', event, result):
            result = OTHER
        self.events.labels(event, result).inc(amount)

    def observe(
        self,
        name: str,
        organisation: str,
        job_class: str,
        value_ms: int,
    ) -> None:
        """Record a time in the histogram of an organisation and class."""
        if not self._has_own_metric(name, organisation, job_class):
            organisation = job_class = OTHER
        self.times.labels(name, organisation, job_class).observe(value_ms / 1000)

    def count_waste(self, job_class: str, cause: str, core_s: float) -> None:
        """Add to the core-seconds of work that was lost to a cause."""
        if not self._has_own_metric('waste', job_class, cause):
            job_class = cause = OTHER
        self.waste.labels(job_class, cause).inc(core_s)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge of a state to its latest value."""
        self.states.labels(name).set(value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)

    def _has_own_metric(self, *labels: str) -> bool:
        """Whether a combination of labels has, or may get, a metric of its own."""
        if labels not in self.seen and len(self.seen) < LABELS_LIMIT:
            self.seen.add(labels)
        return labels in self.seen
