"""Outlier ejection: workers that fail far more than their peers get no new work."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

# Half-life of a result, so that recent runs of a worker decide.
RESULT_HALF_LIFE_MS = 300_000

# With fewer results, a worker is not compared with its peers.
RESULTS_NEEDED = 5.0

# A worker is an outlier when its failure share is at least this much above the
# median of its peers. A fault common to all workers raises the median too.
FAILURE_MARGIN = 0.4

# If fewer workers would be usable, the fault is assumed to be common to all.
MIN_HEALTHY_SHARE = 0.5

EJECTION_BASE_MS = 30_000
EJECTION_CEILING_MS = 3_600_000

# Jobs may run for hours, so a probe without a result by then does not hold back
# the next one.
PROBE_LIMIT_MS = 60_000

# An ejection this long after the end of the last one lasts the base time again.
EJECTION_RESET_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class Healthy:
    """Takes work; the last of `ejections` earlier ejections ended at `since_ms`."""

    ejections: int = 0
    since_ms: int = 0


@dataclass(frozen=True, slots=True)
class Ejected:
    """Takes no work until `until_ms`, and then one probe."""

    ejections: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class Probing:
    """One job was sent as a probe; another may follow after `deadline_ms`."""

    ejections: int
    deadline_ms: int


HealthStatus = Healthy | Ejected | Probing


class ResultCounts(NamedTuple):
    """Numbers of results and failures of a worker, decaying with time."""

    results: float = 0.0
    failures: float = 0.0
    updated_ms: int = 0

    @property
    def failure_share(self) -> float:
        """Failures per result; 0 without results."""
        return self.failures / self.results if self.results else 0.0


class HealthTracker:
    """
    Health status of the workers of one service.

    `begin_probe` is called for each worker that a job is sent to. If the ejection of
    the worker is over, the job is a probe, and no other one follows until its result.
    """

    def __init__(self):
        self.result_counts: dict[str, ResultCounts] = {}
        self.statuses: dict[str, HealthStatus] = {}

    def record(self, worker_id: str, succeeded: bool, now_ms: int) -> None:
        """Record the result of a run; it may eject the worker or end its probing."""
        match self.statuses.get(worker_id, Healthy()):
            case Healthy(ejections, since_ms):
                self._count_result(worker_id, succeeded, now_ms)
                if not succeeded and self._is_outlier(worker_id, now_ms):
                    recent = now_ms - since_ms < EJECTION_RESET_MS
                    self._eject(worker_id, ejections if recent else 0, now_ms)
            case Probing(ejections) if succeeded:
                self.result_counts.pop(worker_id, None)
                self.statuses[worker_id] = Healthy(ejections, now_ms)
            case Probing(ejections):
                self._eject(worker_id, ejections, now_ms)
            case Ejected():
                # The run started before the ejection, so its result is ignored.
                pass

    def begin_probe(self, worker_id: str, now_ms: int) -> None:
        """Record that a job was sent; it is a probe if the ejection time is over."""
        match self.statuses.get(worker_id):
            case Ejected(ejections, due_ms) | Probing(ejections, due_ms):
                if now_ms >= due_ms:
                    deadline_ms = now_ms + PROBE_LIMIT_MS
                    self.statuses[worker_id] = Probing(ejections, deadline_ms)

    def remove_worker(self, worker_id: str) -> None:
        """Remove the state of a worker that deregistered or has a new incarnation."""
        self.result_counts.pop(worker_id, None)
        self.statuses.pop(worker_id, None)

    def find_usable(self, worker_ids: Iterable[str], now_ms: int) -> frozenset[str]:
        """
        Return the workers of the service that may be given a job now.

        If the share of these would be under `MIN_HEALTHY_SHARE`, the fault is assumed
        to be common to all and each worker is usable.
        """
        workers = frozenset(worker_ids)
        usable = workers.difference(
            worker_id
            for worker_id, status in self.statuses.items()
            if not isinstance(status, Healthy)
            and not self._may_probe(worker_id, now_ms)
        )
        return usable if len(usable) >= MIN_HEALTHY_SHARE * len(workers) else workers

    def _may_probe(self, worker_id: str, now_ms: int) -> bool:
        match self.statuses.get(worker_id):
            case Ejected(_, due_ms) | Probing(_, due_ms):
                return now_ms >= due_ms
            case _:
                return False

    def _eject(self, worker_id: str, ejections: int, now_ms: int) -> None:
        duration_ms = min(EJECTION_BASE_MS << min(ejections, 16), EJECTION_CEILING_MS)
        self.statuses[worker_id] = Ejected(ejections + 1, now_ms + duration_ms)

    def _count_result(self, worker_id: str, succeeded: bool, now_ms: int) -> None:
        counts = self._decay_counts(worker_id, now_ms)
        self.result_counts[worker_id] = ResultCounts(
            results=counts.results + 1,
            failures=counts.failures + (not succeeded),
            updated_ms=now_ms,
        )

    def _decay_counts(self, worker_id: str, now_ms: int) -> ResultCounts:
        counts = self.result_counts.get(worker_id, ResultCounts())
        factor = 0.5 ** (max(now_ms - counts.updated_ms, 0) / RESULT_HALF_LIFE_MS)
        return ResultCounts(counts.results * factor, counts.failures * factor, now_ms)

    def _is_outlier(self, worker_id: str, now_ms: int) -> bool:
        counts = self._decay_counts(worker_id, now_ms)
        if counts.results < RESULTS_NEEDED:
            return False
        # Results of peers are compared without decay: a worker that fails at once is
        # always free and may get all the work, so its peers have no new results.
        peers = [
            peer.failure_share
            for peer_id, peer in self.result_counts.items()
            if peer_id != worker_id and peer.results >= 1
        ]
        if not peers:
            return False
        return counts.failure_share >= statistics.median(peers) + FAILURE_MARGIN
