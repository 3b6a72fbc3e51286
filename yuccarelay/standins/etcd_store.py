"""
Stand-in for an etcd store, for tests and demonstrations.

Serves the part of the etcd v3 JSON gateway that yuccarelay uses, from memory.
`POST /fault` injects faults: it takes the fields of `StoreFaults` and `compact`.
`GET /counts` shows the calls by kind.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from yuccarelay.ports.clock import Clock
from yuccarelay.standins.memory_store import MemoryStore, Refusal, Version, decode, show

EXPIRY_CHECK_MS = 250
BODY_LIMIT_BYTES = 100_000_000


@dataclass(slots=True)
class StoreFaults:
    """
    Faults that the stand-in injects.

    `down` is empty, `refuse` (calls are answered with 503 and watches end) or
    `hang` (nothing is answered; the pending calls take effect when the hang ends,
    even if the client has disconnected). The next `lose_answers` transactions take
    effect, but their connections are closed without an answer. Ranges are read at
    `stale_revision` unless it is 0.
    """

    down: str = ''
    latency_ms: int = 0
    lose_answers: int = 0
    stale_revision: int = 0


class EtcdStoreStandin:
    """HTTP server of the stand-in; `port` is set by `start`."""

    def __init__(self, clock: Clock, address: str = '127.0.0.1', port: int = 0) -> None:
        self.memory = MemoryStore(clock)
        self.faults = StoreFaults()
        self.counts: Counter[str] = Counter()
        self.address = address
        self.port = port
        self.changed = asyncio.Event()
        self.server: HTTPServer | None = None

    @property
    def url(self) -> str:
        """URL of the gateway."""
        return f'http://{self.address}:{self.port}'

    def start(self) -> None:
        """Listen on `port`; with port 0 the system chooses one."""
        arguments = {'standin': self}
        application = Application(
            [
                (r'/v3/watch', WatchHandler, arguments),
                (r'/v3/(.+)', CallHandler, arguments),
                (r'/fault', FaultHandler, arguments),
                (r'/counts', CountsHandler, arguments),
            ],
            log_function=lambda handler: None,  # counts replace an access log
        )
        sockets = bind_sockets(self.port, self.address)
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(application, max_body_size=BODY_LIMIT_BYTES)
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        server, self.server = self.server, None
        if server is not None:
            server.stop()
            await server.close_all_connections()
            self.notify()
            # Let the waiting handlers run once and see the closed connections.
            await asyncio.sleep(0)

    async def run(self) -> None:
        """Serve until cancelled."""
        if self.server is None:
            self.start()
        try:
            while True:
                await asyncio.sleep(EXPIRY_CHECK_MS / 1000)
                self.expire()
        finally:
            await self.stop()

    def expire(self) -> None:
        """Expire the leases that are past their deadline and wake the watches."""
        self.memory.expire_leases()
        self.notify()

    def notify(self) -> None:
        """Wake the handlers that wait for a change of the data or of the faults."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_faults(self, compact: bool = False, **faults: Any) -> None:
        """Set the named faults; `compact` drops the history up to this revision."""
        for name, value in faults.items():
            setattr(self.faults, name, value)
        if compact:
            self.memory.compact(self.memory.revision)
        self.notify()

    async def delay(self) -> None:
        """Wait for a hang to end and add the latency; raise `Refusal` while down."""
        while self.faults.down == 'hang' and self.server is not None:
            await self.changed.wait()
        if self.faults.latency_ms:
            await asyncio.sleep(self.faults.latency_ms / 1000)
        if self.faults.down == 'refuse' or self.server is None:
            raise Refusal(503, 'etcdserver: no leader')
        self.memory.expire_leases()

    def make_header(self) -> dict[str, str]:
        """Return the header of an answer."""
        return {'revision': str(self.memory.revision)}

    def answer(self, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        """Execute a call and return its answer."""
        match kind:
            case 'kv/range':
                return self.answer_range(body)
            case 'kv/txn':
                result = self.memory.transact(body)
                return {'header': self.make_header()} | result
            case 'lease/grant':
                ttl_s = int(body['TTL'])
                lease = self.memory.grant(ttl_s)
                return {'ID': str(lease), 'TTL': str(ttl_s)}
            case 'lease/keepalive':
                ttl_s = self.memory.renew(int(body['ID']))
                shown = {'TTL': str(ttl_s)} if ttl_s else {}
                return {'result': {'ID': body['ID']} | shown}
            case 'lease/revoke':
                self.memory.revoke(int(body['ID']))
                return {'header': self.make_header()}
            case _:
                raise Refusal(404, 'Not Found')

    def answer_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Read a range, at the stale revision if that fault is set."""
        revision = self.faults.stale_revision or self.memory.revision
        end = decode(body.get('range_end', ''))
        found = self.memory.read(decode(body['key']), end, revision)
        limit = int(body.get('limit', 0)) or len(found)
        return {
            'header': {'revision': str(revision)},
            'kvs': [show(item) for item in found[:limit]],
            'more': len(found) > limit,
            'count': str(len(found)),
        }


class StandinHandler(RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, standin: EtcdStoreStandin) -> None:
        """Store the stand-in that tornado passes to each handler."""
        self.standin = standin

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected; detach the connection if so."""
        disconnected = self.request.connection.stream.closed()
        if disconnected:
            self.detach()
        return disconnected

    def refuse(self, refusal: Refusal) -> None:
        """Answer with an error status."""
        if self.is_disconnected():
            return
        self.set_status(refusal.status)
        self.finish({'error': refusal.message, 'message': refusal.message})


class CallHandler(StandinHandler):
    """Serves the calls that have a single answer."""

    async def post(self, kind: str) -> None:
        """Execute one call."""
        self.standin.counts[kind] += 1
        try:
            await self.standin.delay()
            answer = self.standin.answer(kind, json.loads(self.request.body))
        except Refusal as refusal:
            self.refuse(refusal)
            return
        self.standin.notify()
        if kind == 'kv/txn' and self.standin.faults.lose_answers > 0:
            self.standin.faults.lose_answers -= 1
            self.detach().close()
            return
        if not self.is_disconnected():
            await self.finish(answer)


class WatchHandler(StandinHandler):
    """Serves one watch as JSON lines."""

    async def post(self) -> None:
        """Send the changes from the start revision on until the client disconnects."""
        self.standin.counts['watch'] += 1
        try:
            await self.standin.delay()
        except Refusal as refusal:
            self.refuse(refusal)
            return
        create = json.loads(self.request.body)['create_request']
        try:
            await self.send({'created': True})
            await self.send_changes(create)
        except StreamClosedError:
            pass
        self.is_disconnected()

    async def send(self, result: dict[str, Any]) -> None:
        """Send one line."""
        line = {'result': {'header': self.standin.make_header()} | result}
        self.write(json.dumps(line) + '\n')
        await self.flush()

    async def send_changes(self, create: dict[str, Any]) -> None:
        """Send changes until calls are refused or the next change was compacted."""
        memory = self.standin.memory
        key, end = decode(create['key']), decode(create['range_end'])
        start = int(create.get('start_revision', 0)) or memory.revision + 1
        while self.standin.faults.down != 'refuse':
            changed = self.standin.changed
            if self.standin.faults.down != 'hang':
                if start <= memory.compacted:
                    compacted = str(memory.compacted)
                    await self.send({'canceled': True, 'compact_revision': compacted})
                    return
                revision = memory.revision
                changes = [item for item in memory.log if item.mod_revision >= start]
                chosen = [item for item in changes if key <= item.key < end]
                start = max(start, revision + 1)
                if chosen:
                    await self.send({'events': [show_change(item) for item in chosen]})
            await changed.wait()
            if self.request.connection.stream.closed():
                return


def show_change(version: Version) -> dict[str, Any]:
    """Return the JSON form of a change."""
    if version.value is None:
        return {'type': 'DELETE', 'kv': show(version)}
    return {'kv': show(version)}


class FaultHandler(StandinHandler):
    """Sets faults."""

    def post(self) -> None:
        """Set the faults that the body names."""
        faults = json.loads(self.request.body)
        known = {'compact', *StoreFaults.__dataclass_fields__}
        unknown = sorted(set(faults) - known)
        if unknown:
            self.refuse(Refusal(400, f'unknown faults: {", ".join(unknown)}'))
            return
        self.standin.set_faults(**faults)
        self.finish({})


class CountsHandler(StandinHandler):
    """Shows the number of calls."""

    def get(self) -> None:
        """Answer with the number of calls by kind."""
        self.finish(dict(self.standin.counts))
