"""
The platform's key-value store.

Calls are counted by the platform: each call as one, and an open watch as one.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from result import Result

VALUE_LIMIT_BYTES = 1_000_000  # the largest value that the platform's store holds


class StoredValue(NamedTuple):
    """A key with its value and the revisions of its creation and last change."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


class Put(NamedTuple):
    """A write inside a transaction; `lease` is 0 for a value without a lease."""

    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    """A deletion inside a transaction."""

    key: str


# Only the time limit of a waiting watch shows that its connection is dead. Until then
# its reader has stale values.
WATCH_WAIT_MS = 1_000


class Guard(NamedTuple):
    """
    A condition of a transaction.

    The key must have been changed last at `mod_revision`; 0 means that the key
    must not exist.
    """

    key: str
    mod_revision: int


class TransactionResult(NamedTuple):
    """
    Whether the guards held, and the store's revision after the transaction.

    When they did not hold, `current` has the values of the guarded keys that
    exist.
    """

    succeeded: bool
    revision: int
    current: tuple[StoredValue, ...] = ()


class Page(NamedTuple):
    """Values of a range in key order, and the store's revision at the read."""

    values: tuple[StoredValue, ...]
    revision: int
    more: bool


class WatchEvent(NamedTuple):
    """A change reported by a watch; `value` is None when the key was deleted."""

    key: str
    value: StoredValue | None
    revision: int


class Changes(NamedTuple):
    """
    Changes of a prefix in revision order, and the revision that they reach.

    `transfer_ms` is how long the answer took to arrive once it had begun.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    transfer_ms: int = 0


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """
    A call without a usable answer.

    `ambiguous` is true when a write may have taken effect: the request was sent
    and no answer came. It is false when the store refused the call or could not
    be reached at all. `refused` is true when the store is reachable and would
    refuse the same call again; such a failure is unrelated to its health.
    """

    reason: str
    ambiguous: bool
    refused: bool = False


class Store(Protocol):
    """Compare-and-swap, leases and watches. Each call has a deadline."""

    async def read_prefix(
        self,
        prefix: str,
        *,
        start_after: str = '',
        limit: int = 0,
    ) -> Result[Page, StoreFailure]:
        """Read the keys that start with a prefix, after `start_after` if given."""
        ...

    async def read(self, key: str) -> Result[StoredValue | None, StoreFailure]:
        """Read one key."""
        ...

    async def transact(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Put | Delete, ...],
    ) -> Result[TransactionResult, StoreFailure]:
        """Apply all writes if all guards hold, else none."""
        ...

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id; a store may round up to whole seconds."""
        ...

    async def renew_lease(self, lease: int) -> Result[bool, StoreFailure]:
        """Renew a lease; false means that it no longer exists."""
        ...

    async def revoke_lease(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and delete its keys."""
        ...

    def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """
        Yield the changes of a prefix from a revision on, in revision order.

        The iterator ends when the connection does; the caller reads the prefix
        again and opens a new watch.
        """
        ...


class ChangeFeed(Store, Protocol):
    """A store whose watches can go on after an outage, without another full read."""

    async def read_changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreFailure]:
        """
        Return the changes of a prefix after a revision.

        Without any the answer is held until there is one, at most `wait_ms`. The
        failure is `refused` if the store has dropped the history from there on.
        """
        ...
