"""
Decisions of the agent that is co-located with a worker.

The agent stores no durable state. It tracks the worker by its heartbeats, refuses
planners of an old term, and converts a lease reference to the end of the lease on the
worker's clock.
"""

from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.leases import Leases
from yuccarelay.core.batch.models import WorkerId, WorkerInfo
from yuccarelay.core.batch.protocol import Declined, LeaseReference, OldTerm


class Heartbeat(NamedTuple):
    """A worker's report about itself; `clock_ms` is on its own clock."""

    info: WorkerInfo
    sequence: int
    clock_ms: int


@dataclass(slots=True)
class ClockSample:
    """A reading of the worker's clock and when it arrived here."""

    worker_ms: int
    at_ms: int


class WorkerGuard:
    """One agent's state of its worker, and the checks that orders must pass."""

    def __init__(self, node: str, incarnation: int, leases: Leases):
        self.node = node
        self.incarnation = incarnation
        self.leases = leases
        self.term = 0
        self.worker: WorkerInfo | None = None
        self.drain_deadline_ms = 0
        self.sequence = -1
        self.closed_below_ms = 0
        self.changes = 0
        self.sample: ClockSample | None = None

    def take_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Apply a heartbeat; false if it is older than the last one applied."""
        info = heartbeat.info
        if info.born_ms < self.closed_below_ms:
            return False
        known = self.worker
        same_incarnation = known is not None and (known.name, known.born_ms) == (
            info.name,
            info.born_ms,
        )
        if same_incarnation and heartbeat.sequence <= self.sequence:
            return False
        if not same_incarnation:
            self.sample = None
        self.closed_below_ms = max(self.closed_below_ms, info.born_ms)
        if has_changed(known, info):
            self.changes += 1
        self.worker = info
        self.drain_deadline_ms = now_ms + info.leaves_in_ms
        self.sequence = heartbeat.sequence
        self.take_clock(heartbeat.clock_ms, now_ms)
        return True

    def take_deregistration(self, name: str, born_ms: int | None = None) -> bool:
        """
        Note that a worker deregistered; false if it is not the current one.

        `born_ms` is None if it is not stated. A worker keeps its name when it restarts,
        and the deregistration of the previous incarnation may arrive late. No heartbeat
        of a deregistered incarnation is accepted, so the next one would be lost.
        """
        if self.worker is None or self.worker.name != name:
            return False
        if born_ms not in (None, self.worker.born_ms):
            return False
        self.closed_below_ms = self.worker.born_ms + 1
        self.changes += 1
        self.worker = None
        self.sample = None
        return True

    def take_birth(self, born_ms: int) -> bool:
        """
        Note the birth of the incarnation that has just answered a call.

        If it is before that of the known one, the time of day was set back between
        them. The heartbeats of the one that answers would be refused for ever. Returns
        whether the known one has ended, and the next heartbeat is to be accepted.
        `born_ms` is 0 if it is not known.
        """
        if self.worker is None or not 0 < born_ms < self.worker.born_ms:
            return False
        self.closed_below_ms = born_ms
        self.changes += 1
        self.worker = None
        self.sample = None
        return True

    def take_clock(self, worker_ms: int, now_ms: int) -> None:
        """Note a reading of the worker's clock."""
        self.sample = ClockSample(worker_ms, now_ms)

    def worker_id(self) -> WorkerId | None:
        """Return the current incarnation of the worker, or None."""
        if self.worker is None:
            return None
        return WorkerId(self.node, self.worker.name, self.worker.born_ms)

    def check_term(self, term: int) -> OldTerm | None:
        """Adopt a newer term, or return the refusal of an older one."""
        if term < self.term:
            return OldTerm(self.term)
        self.term = term
        return None

    def lease_end(self, basis: LeaseReference | None, now_ms: int) -> int | None:
        """
        Return the end of a lease on the worker's clock.

        None if the lease has expired, if the reference is not of this incarnation of
        the agent, or if no reading of the worker's clock is known.
        """
        if basis is None or basis.incarnation != self.incarnation:
            return None
        end_ms = basis.at_ms + self.leases.lease_ms
        if self.sample is None or end_ms <= now_ms:
            return None
        return self.sample.worker_ms + end_ms - self.sample.at_ms

    def check_start(self, worker: WorkerId) -> Declined | None:
        """Return why no run may start on this incarnation of the worker, or None."""
        if worker != self.worker_id():
            return Declined('other_worker')
        if self.worker.draining:
            return Declined('draining')
        return None


def has_changed(before: WorkerInfo | None, now: WorkerInfo) -> bool:
    """Whether a heartbeat differs from the last in more than the time to drain."""
    if before is None:
        return True
    return before._replace(leaves_in_ms=0) != now._replace(leaves_in_ms=0)
