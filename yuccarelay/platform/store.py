"""The store port over the platform's metadata store."""

import base64
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial
from typing import TypedDict

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.adapters.http_client import HttpClient, HttpFailure
from yuccarelay.adapters.http_connection import HttpResponse
from yuccarelay.ports.store import (
    WATCH_WAIT_MS,
    Changes,
    Delete,
    Guard,
    Page,
    Put,
    StoredValue,
    StoreFailure,
    TransactionResult,
    WatchEvent,
)

# The store answers in 4 ms, in up to 300 ms when it is slow, and in 60 ms between
# regions.
CALL_LIMIT_S = 0.8
# A watch that is not answered by then has a dead connection.
WATCH_LIMIT_S = CALL_LIMIT_S + WATCH_WAIT_MS / 1_000
PAGE_LIMIT_S = 2.0


class Item(TypedDict, total=False):
    """An item on the wire; `value` is base64."""

    key: str
    value: str
    revision: int
    created: int
    lease: int
    deleted: bool


class ItemPage(TypedDict):
    """Answer of a range; `at` is the store's revision."""

    items: list[Item]
    hasMore: bool
    at: int


class ItemEvents(TypedDict):
    """Answer of a watch."""

    events: list[Item]
    at: int


class Revision(TypedDict):
    """Answer of a transaction that took effect."""

    revision: int


class Conflict(TypedDict):
    """Answer of a transaction whose condition did not hold."""

    items: list[Item | None]


class Lease(TypedDict):
    """Answer of a lease call."""

    lease: int
    ttlMs: int


class PlatformStore:
    """Compare-and-swap, leases and watches of the platform."""

    def __init__(self, address: str):
        self.client = HttpClient(address)

    async def read_prefix(
        self,
        prefix: str,
        *,
        start_after: str = '',
        limit: int = 0,
    ) -> Result[Page, StoreFailure]:
        """Read a page of the keys that start with a prefix."""
        query = {'prefix': prefix}
        if start_after:
            query['after'] = start_after
        answer = await self._call(
            'GET', '/api/kv-range', query=query, limit=PAGE_LIMIT_S
        )
        return answer.and_then(lambda response: parse(response, ItemPage)).map(
            lambda page: Page(
                tuple(make_value(item) for item in page['items']),
                page['at'],
                page.get('hasMore', False),
            ),
        )

    async def read(self, key: str) -> Result[StoredValue | None, StoreFailure]:
        """Read one key."""
        answer = await self._call(
            'GET', '/api/kv-key', query={'key': key}, accept=(404,)
        )
        match answer:
            case Ok(HttpResponse(status=404)):
                return Ok(None)
        return answer.and_then(lambda response: parse(response, Item)).map(make_value)

    async def transact(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Put | Delete, ...],
    ) -> Result[TransactionResult, StoreFailure]:
        """Apply all writes if all guards hold, else none."""
        puts = [write for write in writes if isinstance(write, Put)]
        body = {
            'expected': [
                {'key': guard.key, 'revision': guard.mod_revision} for guard in guards
            ],
            'write': [
                {
                    'key': put.key,
                    'value': base64.b64encode(put.value).decode(),
                    **({'lease': put.lease} if put.lease else {}),
                }
                for put in puts
            ],
            'remove': [write.key for write in writes if isinstance(write, Delete)],
        }
        answer = await self._call('POST', '/api/kv-txn', body=body, accept=(412,))
        match answer:
            case Ok(HttpResponse(status=412) as response):
                return parse(response, Conflict).map(make_conflict)
        return answer.and_then(lambda response: parse(response, Revision)).map(
            lambda done: TransactionResult(True, done['revision']),
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        body = {'ttlMs': int(ttl_s * 1000)}
        answer = await self._call('POST', '/api/kv-lease', body=body)
        return answer.and_then(lambda response: parse(response, Lease)).map(
            lambda lease: lease['lease'],
        )

    async def renew_lease(self, lease: int) -> Result[bool, StoreFailure]:
        """Renew a lease; false means that it no longer exists."""
        path = f'/api/kv-keep/{lease}'
        answer = await self._call('POST', path, body={}, accept=(404,))
        return answer.map(lambda response: response.status != 404)

    async def revoke_lease(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and delete its keys."""
        path = f'/api/kv-lease-end/{lease}'
        answer = await self._call('DELETE', path, accept=(404,))
        return answer.map(lambda _: None)

    async def read_changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreFailure]:
        """Return the changes of a prefix after a revision."""
        query = {'prefix': prefix, 'after': str(after), 'waitMs': str(wait_ms)}
        limit = CALL_LIMIT_S + wait_ms / 1000
        answer = await self._call('GET', '/api/kv-watch', query=query, limit=limit)
        return answer.and_then(parse_changes)

    async def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield a prefix's changes; an empty tuple shows that the watch is alive."""
        after = start_revision - 1
        while True:
            match await self.read_changes(prefix, after, WATCH_WAIT_MS):
                case Ok(changes):
                    after = changes.revision
                    yield changes.events
                case Err():
                    return

    async def close(self) -> None:
        """Close the connections."""
        await self.client.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict | None = None,
        accept: tuple[int, ...] = (),
        limit: float = CALL_LIMIT_S,
    ) -> Result[HttpResponse, StoreFailure]:
        answer = await self.client.call(
            method,
            path,
            query=query,
            body=None if body is None else msgspec.json.encode(body),
            timeout_s=limit,
        )
        match answer:
            case Ok(HttpResponse(status=status)) if status in (200, *accept):
                return answer
            case Ok(HttpResponse(status=status)):
                # 503 and the client errors mean that nothing was done; 503 and 429
                # are transient, after the others the same call would fail again.
                # Any other status, such as 502 or 504, leaves that open.
                ambiguous = status >= 500 and status != 503
                refused = 400 <= status < 500 and status != 429
                return Err(StoreFailure(f'status {status}', ambiguous, refused))
            case Err(HttpFailure(reason, sent)):
                return Err(StoreFailure(reason, ambiguous=sent))


def parse(response: HttpResponse, kind) -> Result:
    """Decode a body; after an unreadable one the outcome of a write is unknown."""
    found = decoding.decode(partial(msgspec.json.decode, type=kind), response.body)
    return found.map_err(
        lambda reason: StoreFailure(f'unreadable answer: {reason}', ambiguous=True)
    )


def parse_changes(response: HttpResponse) -> Result[Changes, StoreFailure]:
    """Decode changes; the same call would give the same unreadable ones again."""
    return (
        parse(response, ItemEvents)
        .map(
            lambda page: Changes(
                tuple(make_event(item) for item in page['events']),
                page['at'],
                int(response.transfer_s * 1000),
            ),
        )
        .map_err(lambda failure: replace(failure, refused=True))
    )


def make_value(item: Item) -> StoredValue:
    """Return an item; a value that is not base64 is passed on as it is."""
    text = item.get('value', '')
    try:
        value = base64.b64decode(text, validate=True)
    except ValueError:
        value = text.encode()
    return StoredValue(
        item.get('key', ''),
        value,
        item.get('created', 0),
        item.get('revision', 0),
    )


def make_event(item: Item) -> WatchEvent:
    """Return an item of a watch as an event."""
    value = None if item.get('deleted') else make_value(item)
    return WatchEvent(item.get('key', ''), value, item.get('revision', 0))


def make_conflict(conflict: Conflict) -> TransactionResult:
    """Return the result of a failed transaction, with its guarded keys that exist."""
    present = [item for item in conflict['items'] if item and item.get('revision')]
    current = tuple(make_value(item) for item in present)
    return TransactionResult(False, 0, current)
