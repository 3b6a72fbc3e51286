"""
Stand-in of the platform's metadata store, for tests.

It serves the calls that `platform/store.py` makes, on the data of `MemoryStore`.
Faults: refuse all calls with 503, apply writes without an answer, apply them
late, and drop the history. `sent_values` counts how often the value of each key was
sent.
"""

import asyncio
import base64
import collections
import json
from collections.abc import Callable
from functools import partial

import tornado.web
from tornado.httpserver import HTTPServer

from yuccarelay.ports.clock import Clock
from yuccarelay.standins.memory_store import MemoryStore, Version

WATCH_STEP_S = 0.02
WRITE_DELAY_S = 1.0
PAGE_ITEMS = 500


class PlatformStoreStandin:
    """HTTP server of the stand-in, with its faults."""

    def __init__(self, clock: Clock):
        self.memory = MemoryStore(clock)
        self.down = False
        self.unanswered_writes = 0
        self.delayed_writes = 0
        self.calls = 0
        self.sent_values: collections.Counter[str] = collections.Counter()
        self.server: HTTPServer | None = None
        self.address = ''

    def start(self) -> None:
        """Listen on a port that the system chooses."""
        parts = {'standin': self}
        app = tornado.web.Application(
            [
                ('/api/kv-key', KeyHandler, parts),
                ('/api/kv-range', RangeHandler, parts),
                ('/api/kv-watch', WatchHandler, parts),
                ('/api/kv-txn', TransactionHandler, parts),
                ('/api/kv-lease', LeaseHandler, parts),
                ('/api/kv-keep/([0-9]+)', LeaseRenewHandler, parts),
                ('/api/kv-lease-end/([0-9]+)', LeaseEndHandler, parts),
            ],
            log_function=lambda _: None,
        )
        self.server = HTTPServer(app)
        self.server.listen(0, address='127.0.0.1')
        port = next(iter(self.server._sockets.values())).getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close the listening socket and the connections."""
        self.server.stop()
        await self.server.close_all_connections()

    def delay_write(self, carry_out: Callable[[], object]) -> None:
        """Carry a write out late; a test may choose another time."""
        asyncio.get_running_loop().call_later(WRITE_DELAY_S, carry_out)

    def write(self, key: str, value: bytes) -> None:
        """Write a key without conditions, as the operator does."""
        self.memory.revision += 1
        self.memory.put(key.encode(), value, 0)

    def list_under(self, prefix: str) -> list[Version]:
        """Return the current versions of the keys that start with a prefix."""
        return self.memory.read(
            prefix.encode(),
            prefix.encode() + b'\xff',
            self.memory.revision,
        )


class StoreHandler(tornado.web.RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, standin: PlatformStoreStandin) -> None:
        """Store the stand-in that tornado passes to each handler."""
        self.standin = standin
        self.memory = standin.memory

    def prepare(self) -> None:
        """Answer 503 while the store is down; expire leases."""
        self.standin.calls += 1
        if self.standin.down:
            self.set_status(503)
            self.finish()
            return
        self.memory.expire_leases()

    def read_body(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.request.body or b'{}')

    def finish_with(self, status: int, body: dict) -> None:
        """Answer with a JSON body."""
        for item in (body, *body.get('items', []), *body.get('events', [])):
            if 'value' in item:
                self.standin.sent_values[item['key']] += 1
        self.set_status(status)
        self.finish(body)


class KeyHandler(StoreHandler):
    """Reads one key."""

    def get(self) -> None:
        """Answer with the item or 404."""
        key = self.get_query_argument('key').encode()
        found = self.memory.find(key, self.memory.revision)
        if found is None:
            self.finish_with(404, {})
        else:
            self.finish_with(200, show(found))


class RangeHandler(StoreHandler):
    """Reads the keys that start with a prefix."""

    def get(self) -> None:
        """Answer with a page of items."""
        after = self.get_query_argument('after', '').encode()
        found = self.standin.list_under(self.get_query_argument('prefix'))
        rest = [item for item in found if item.key > after]
        self.finish_with(
            200,
            {
                'items': [show(item) for item in rest[:PAGE_ITEMS]],
                'hasMore': len(rest) > PAGE_ITEMS,
                'at': self.memory.revision,
            },
        )


class WatchHandler(StoreHandler):
    """Waits for changes of the keys that start with a prefix."""

    async def get(self) -> None:
        """Answer as soon as there is a change, or when the wait time has passed."""
        prefix = self.get_query_argument('prefix').encode()
        after = int(self.get_query_argument('after'))
        steps = int(self.get_query_argument('waitMs')) / 1000 / WATCH_STEP_S
        while True:
            if after < self.memory.compacted:
                self.finish_with(410, {})
                return
            self.memory.expire_leases()
            events = [
                show(change)
                for change in self.memory.log
                if change.mod_revision > after and change.key.startswith(prefix)
            ]
            steps -= 1
            if events or steps <= 0 or self.standin.down:
                break
            await asyncio.sleep(WATCH_STEP_S)
        if self.standin.down:
            self.finish_with(503, {})
        else:
            self.finish_with(200, {'events': events, 'at': self.memory.revision})


class TransactionHandler(StoreHandler):
    """Writes keys if conditions hold."""

    async def post(self) -> None:
        """Apply the writes and answer, unless a fault delays or drops the answer."""
        body = self.read_body()
        if self.standin.delayed_writes:
            self.standin.delayed_writes -= 1
            self.standin.delay_write(partial(self.transact, body))
            self.drop()
            return
        status, answer = self.transact(body)
        if self.standin.unanswered_writes:
            self.standin.unanswered_writes -= 1
            self.drop()
            return
        self.finish_with(status, answer)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply all writes if all conditions hold."""
        memory = self.memory
        conditions = body.get('expected', [])
        entries = [*conditions, *body.get('write', []), *body.get('remove', [])]
        if len(entries) > 32:
            return 400, {}
        leases = [int(put.get('lease', 0)) for put in body.get('write', [])]
        if any(lease and lease not in memory.leases for lease in leases):
            return 404, {}
        found = {
            condition['key']: memory.find(condition['key'].encode(), memory.revision)
            for condition in conditions
        }
        held = all(
            (found[condition['key']].mod_revision if found[condition['key']] else 0)
            == condition['revision']
            for condition in conditions
        )
        if not held:
            return 412, {'items': [show(item) for item in found.values() if item]}
        memory.revision += 1
        for put in body.get('write', []):
            value = base64.b64decode(put['value'])
            memory.put(put['key'].encode(), value, int(put.get('lease', 0)))
        for key in body.get('remove', []):
            memory.delete(key.encode())
        return 200, {'revision': memory.revision}


class LeaseHandler(StoreHandler):
    """Creates a lease."""

    def post(self) -> None:
        """Answer with the id of the new lease."""
        ttl_ms = self.read_body()['ttlMs']
        lease = self.memory.grant(ttl_ms / 1000)
        self.finish_with(200, {'lease': lease, 'ttlMs': ttl_ms})


class LeaseRenewHandler(StoreHandler):
    """Renews a lease."""

    def post(self, lease: str) -> None:
        """Answer 200, or 404 if the lease has ended."""
        self.finish_with(200 if self.memory.renew(int(lease)) else 404, {})


class LeaseEndHandler(StoreHandler):
    """Ends a lease."""

    def delete(self, lease: str) -> None:
        """Revoke the lease and delete its keys; answer 404 if it has ended."""
        if int(lease) not in self.memory.leases:
            self.finish_with(404, {})
            return
        self.memory.revoke(int(lease))
        self.finish_with(200, {})


def show(version: Version) -> dict:
    """Return the JSON form of a version; a deletion has `deleted` and no value."""
    shown = {'key': version.key.decode(), 'revision': version.mod_revision}
    if version.value is None:
        return {**shown, 'deleted': True}
    return {
        **shown,
        'value': base64.b64encode(version.value).decode(),
        'created': version.create_revision,
        'lease': version.lease,
    }
