"""
Leases that limit the retention of the records of ended jobs.

All jobs that end within an hour share one lease, which costs one store call per
hour for each entry. A lease for each job would cost one more call per job, and
deletion without leases would have to read the records page by page.
"""

from result import Ok, Result

from yuccarelay.ports.clock import Clock
from yuccarelay.ports.store import StoreFailure
from yuccarelay.tasks.breaker import CircuitBreakerStore

ENDED_RETENTION_S = 24 * 3600
LEASE_SHARING_S = 3600


class RecordRetention:
    """Provides the current shared lease; part of the store task."""

    def __init__(self, store: CircuitBreakerStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.lease = 0
        self.deadline_ms = 0

    async def find_lease(self) -> Result[int, StoreFailure]:
        """Return a lease that lasts at least 24 h from now."""
        now_ms = self.clock.now_ms()
        if self.lease and now_ms < self.deadline_ms:
            return Ok(self.lease)
        granted = await self.store.grant_lease(ENDED_RETENTION_S + LEASE_SHARING_S)
        if granted.is_ok():
            self.lease = granted.unwrap()
            self.deadline_ms = now_ms + LEASE_SHARING_S * 1000
        return granted

    def discard_lease(self) -> None:
        """Grant a new lease at the next use, because the store refused this one."""
        self.lease = 0
