"""
Task that owns the metrics of a process and serves them over HTTP.

The metrics library is imported only once the process is serving, because its import
would prolong the time in which a restarting entry does not serve its callers.
"""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from yuccarelay.ports.journal import Journal
from yuccarelay.tasks.mailbox import Mailbox

if TYPE_CHECKING:
    from yuccarelay.adapters.http_server import RequestGuard

# The load balancer adds an entry after at most two health checks, one each second.
LOAD_DELAY_S = 2.0
# Limit of queued updates, before the library is loaded or while it cannot keep up.
WAITING_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter."""

    name: str
    amount: int


@dataclass(frozen=True, slots=True)
class Observe:
    """Record a duration in the histogram of an organisation and class."""

    name: str
    organisation: str
    job_class: str
    value_ms: int


@dataclass(frozen=True, slots=True)
class CountWaste:
    """Add to the core-seconds of work that was lost to a cause."""

    job_class: str
    cause: str
    core_s: float


@dataclass(frozen=True, slots=True)
class SetGauge:
    """Set a gauge to its latest value."""

    name: str
    value: float


class QueuedMetrics:
    """The `Metrics` port over a mailbox; updates are dropped when it is full."""

    def __init__(self):
        self.inbox = Mailbox(WAITING_LIMIT)
        self.dropped = 0

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""
        self._put(Count(name, amount))

    def observe(
        self,
        name: str,
        organisation: str,
        job_class: str,
        value_ms: int,
    ) -> None:
        """Record a duration in the histogram of an organisation and class."""
        self._put(Observe(name, organisation, job_class, value_ms))

    def count_waste(self, job_class: str, cause: str, core_s: float) -> None:
        """Add to the core-seconds of work that was lost to a cause."""
        self._put(CountWaste(job_class, cause, core_s))

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its latest value."""
        self._put(SetGauge(name, value))

    def _put(self, message: Count | Observe | CountWaste | SetGauge) -> None:
        try:
            self.inbox.put_nowait(message)
        except asyncio.QueueFull:
            self.dropped += 1


class MetricsTask:
    """Applies queued updates to the metrics library and serves its text output."""

    def __init__(
        self,
        queued_metrics: QueuedMetrics,
        address: str,
        path: str,
        journal: Journal,
        guard: 'RequestGuard',
    ):
        self.guard = guard
        self.queued_metrics = queued_metrics
        self.journal = journal
        self.address = address
        self.path = path

    async def run(self) -> None:
        """Record until cancelled, then close the server."""
        await asyncio.sleep(LOAD_DELAY_S)
        try:
            from yuccarelay.adapters.metrics_http import serve_metrics
            from yuccarelay.adapters.prometheus_metrics import PrometheusMetrics

            metrics = PrometheusMetrics()
            server = serve_metrics(self.address, self.path, metrics, self.guard)
        except (ImportError, OSError) as error:
            # A role must not fail because its metrics cannot be served.
            fields = {'address': self.address, 'reason': repr(error)}
            self.journal.write('metrics_unavailable', fields)
            await asyncio.Event().wait()
        try:
            while True:
                self._record(metrics, await self.queued_metrics.inbox.get())
        finally:
            server.stop()

    def _record(self, metrics, message) -> None:
        match message:
            case Count(name, amount):
                metrics.count(name, amount)
            case Observe(name, organisation, job_class, value_ms):
                metrics.observe(name, organisation, job_class, value_ms)
            case CountWaste(job_class, cause, core_s):
                metrics.count_waste(job_class, cause, core_s)
            case SetGauge(name, value):
                metrics.gauge(name, value)
        if self.queued_metrics.dropped:
            metrics.gauge('metrics_dropped', self.queued_metrics.dropped)
