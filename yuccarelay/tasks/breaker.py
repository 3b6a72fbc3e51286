"""
Circuit breaker around the store.

After `FAILURE_LIMIT` consecutive failures, calls fail at once. A single probe with
jittered backoff detects when the store is back, so that an outage costs few calls
and recovery does not cause a burst of them.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import Any

from result import Err, Result

from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import (
    Delete,
    Guard,
    Page,
    Put,
    Store,
    StoredValue,
    StoreFailure,
    TransactionResult,
    WatchEvent,
)

FAILURE_LIMIT = 5
# The longest pause between probes stays well below the lease of a registration,
# so that a registration survives an outage of a few seconds.
PROBE_FIRST_MS = 250
PROBE_LAST_MS = 4_000
PROBE_KEY = 'probe'  # never written, so a probe reads no value

OPEN = StoreFailure(reason='circuit breaker is open', ambiguous=False)


def jitter(rng: RandomSource, mean_ms: float) -> float:
    """Return a random pause in seconds, between half and one and a half the mean."""
    return mean_ms * (0.5 + rng.random()) / 1000


class CircuitBreakerStore:
    """
    The `Store` port behind a circuit breaker.

    `report` is called with each change of reachability, including the first success
    or the first opening.
    """

    def __init__(
        self,
        store: Store,
        rng: RandomSource,
        report: Callable[[bool], None],
        probe_first_ms: int = PROBE_FIRST_MS,
    ) -> None:
        self.store = store
        self.rng = rng
        self.report = report
        self.probe_first_ms = probe_first_ms
        self.failures = 0
        self.reported: bool | None = None
        self.closed = asyncio.Event()
        self.closed.set()
        self.opened = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the breaker is open, so that calls fail at once."""
        return self.opened.is_set()

    async def run(self) -> None:
        """Probe the store while the breaker is open, until cancelled."""
        while True:
            await self.opened.wait()
            mean_ms = self.probe_first_ms
            while self.is_open:
                await asyncio.sleep(jitter(self.rng, mean_ms))
                mean_ms = min(2 * mean_ms, PROBE_LAST_MS)
                self.record_result(await self.store.read(PROBE_KEY))

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until the breaker is closed, at most for the timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0, timeout_s)):
                await self.closed.wait()

    def record_result(self, result: Result[Any, StoreFailure]) -> None:
        """Open or close the breaker by the result of a call."""
        if result.is_ok() or result.unwrap_err().refused:
            self.failures = 0
            self.opened.clear()
            self.closed.set()
            self.report_change(up=True)
            return
        self.failures += 1
        if self.failures >= FAILURE_LIMIT:
            self.closed.clear()
            self.opened.set()
            self.report_change(up=False)

    def report_change(self, up: bool) -> None:
        """Report the health if it has changed."""
        if self.reported is not up:
            self.reported = up
            self.report(up)

    async def call(
        self,
        make: Callable[[], Awaitable[Result[Any, StoreFailure]]],
    ) -> Result[Any, StoreFailure]:
        """Make a call unless the breaker is open."""
        if self.is_open:
            return Err(OPEN)
        result = await make()
        # Calls that were in flight when the breaker opened are ignored. Only the probe
        # may close it, since a late success can be older than the failure.
        if not self.is_open:
            self.record_result(result)
        return result

    async def read_prefix(
        self,
        prefix: str,
        *,
        start_after: str = '',
        limit: int = 0,
    ) -> Result[Page, StoreFailure]:
        """Read the keys that start with a prefix."""
        return await self.call(
            lambda: self.store.read_prefix(
                prefix,
                start_after=start_after,
                limit=limit,
            )
        )

    async def read(self, key: str) -> Result[StoredValue | None, StoreFailure]:
        """Read one key."""
        return await self.call(lambda: self.store.read(key))

    async def transact(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Put | Delete, ...],
    ) -> Result[TransactionResult, StoreFailure]:
        """Apply all writes if all guards hold, else none."""
        return await self.call(lambda: self.store.transact(guards, writes))

    async def grant_lease(self, ttl_s: int) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        return await self.call(lambda: self.store.grant_lease(ttl_s))

    async def renew_lease(self, lease: int) -> Result[bool, StoreFailure]:
        """Renew a lease."""
        return await self.call(lambda: self.store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease."""
        return await self.call(lambda: self.store.revoke_lease(lease))

    def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield the changes of a prefix; a watch does not affect the breaker."""
        return self.store.watch(prefix, start_revision)
