"""
HTTP server whose connections and bodies count against the budget of its process.

All servers of a process share one `RequestGuard`. The guard owns the connections and
asks `core.request_budget` which of them are served, read and closed.
"""

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

import tornado.web
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from yuccarelay.adapters.acceptor import Acceptor
from yuccarelay.core.request_budget import (
    Close,
    Limits,
    Reason,
    RequestBudget,
    RequestTerms,
)
from yuccarelay.ports.journal import Journal

SWEEP_S = 0.5
# Deadlines count at most this time for each sweep, so that a process which was paused
# or busy first reads what its clients sent meanwhile.
SWEEP_LIMIT_MS = 1_000
LOG_INTERVAL_MS = 5_000
RETRY_AFTER_S = 1
# One read. Each connection that waits for room buffers at most one.
CHUNK_BYTES = 8_192
# Tornado reads a request in parts of `CHUNK_BYTES`, or up to the limit of a head.
BUFFER_LIMIT_BYTES = 1_048_576
STATUS_TEXTS = {413: 'Request Entity Too Large', 503: 'Service Unavailable'}


class RequestGuard:
    """
    Task that owns the connections of all HTTP servers of a process.

    `terms` returns the limits of a request under the configuration in force.
    """

    def __init__(
        self,
        limits: Limits,
        journal: Journal,
        terms: Callable[[], RequestTerms] = RequestTerms,
    ):
        self.limits = limits
        self.budget = RequestBudget(limits)
        self.journal = journal
        self.terms = terms
        self.streams: dict[int, GuardedStream] = {}
        self.waiting: dict[int, asyncio.Future] = {}
        self.counts: Counter[Reason] = Counter()
        self.now_ms = 0
        self.logged_ms = -LOG_INTERVAL_MS

    async def run(self) -> None:
        """Close overdue connections and report what was closed, until cancelled."""
        loop = asyncio.get_running_loop()
        swept = loop.time()
        while True:
            await asyncio.sleep(SWEEP_S)
            elapsed_ms = int((loop.time() - swept) * 1_000)
            swept = loop.time()
            self.sweep(min(elapsed_ms, SWEEP_LIMIT_MS))

    def sweep(self, elapsed_ms: int) -> None:
        """Advance the deadlines and close what is overdue."""
        self.now_ms += elapsed_ms
        overdue = self.budget.find_overdue(self.now_ms)
        # Closing the others may admit a request that is to be refused.
        for close in overdue:
            if close.reason is Reason.NO_ROOM:
                self._resume(close.connection, False)
        for close in overdue:
            if close.reason is not Reason.NO_ROOM:
                self.close(close)
        if self.counts and self.now_ms - self.logged_ms >= LOG_INTERVAL_MS:
            self.logged_ms = self.now_ms
            for reason, count in self.counts.items():
                self.journal.write(
                    'requests_limited',
                    {
                        'reason': reason.value,
                        'count': count,
                        'connections': len(self.streams),
                        'waiting': len(self.waiting),
                    },
                )
            self.counts.clear()

    def open(self, connection, address: str) -> 'GuardedStream | None':
        """Return the stream of a new connection, or None if there is no room."""
        number, victim = self.budget.connect(address, self.now_ms)
        if victim is not None:
            self.close(victim)
        if not number:
            self.counts[Reason.CONNECTIONS] += 1
            return None
        stream = GuardedStream(
            connection,
            guard=self,
            number=number,
            max_buffer_size=BUFFER_LIMIT_BYTES,
            read_chunk_size=CHUNK_BYTES,
        )
        self.streams[number] = stream
        return stream

    def close(self, close: Close) -> None:
        """Close a connection and count the reason."""
        self.counts[close.reason] += 1
        stream = self.streams.get(close.connection)
        if stream is not None:
            stream.close()

    def release(self, number: int) -> None:
        """Release all that a closed connection held."""
        self.streams.pop(number, None)
        admitted = self.budget.close(number)
        future = self.waiting.pop(number, None)
        if future is not None and not future.done():
            # The read of the body that follows reports the closed connection.
            future.set_result(True)
        self._admit(admitted)

    def await_request(self, number: int) -> None:
        """Note that a connection has no request, and close it if it has to."""
        close = self.budget.await_request(number, self.now_ms)
        if close is not None:
            self.close(close)

    def receive_head(self, number: int, size_bytes: int) -> asyncio.Future | None:
        """Return None if the body may be read, or a future of whether it may be."""
        if number not in self.streams:
            return None
        if self.budget.receive_head(number, size_bytes, self.now_ms):
            return None
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        return future

    def count_unanswered(self) -> int:
        """Return how many complete requests are not answered, also those that wait."""
        return self.budget.count_unanswered()

    def note_answer(self, number: int) -> None:
        """Release the body of a request whose answer is written."""
        self._admit(self.budget.answer(number, self.now_ms))

    def note_refusal(self, number: int) -> None:
        """Release the room of a request that is refused before it is read."""
        self._admit(self.budget.refuse(number, self.now_ms))

    def _admit(self, numbers: list[int]) -> None:
        for number in numbers:
            self._resume(number, True)

    def _resume(self, number: int, has_room: bool) -> None:
        future = self.waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(has_room)


class GuardedStream(IOStream):
    """Stream that reports its progress and its end to the guard."""

    def __init__(self, connection, guard: RequestGuard, number: int, **sizes: int):
        self.guard = guard
        self.number = number
        self.is_unused = True
        super().__init__(connection, **sizes)

    def is_pipelined(self) -> bool:
        """Whether the current request is one of many pipelined in a row."""
        return self.guard.budget.is_pipelined(self.number)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and report the bytes."""
        size = super().read_from_fd(buf)
        if size:
            self.guard.budget.note_read(self.number, size, self.guard.now_ms)
        return size

    def write(self, data: bytes | memoryview) -> asyncio.Future:
        """Write, and report that the request is answered."""
        self.guard.note_answer(self.number)
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Write, and report that the client takes the answer."""
        size = super().write_to_fd(data)
        if size:
            self.guard.budget.note_write(self.number, self.guard.now_ms)
        return size

    def close_fd(self) -> None:
        """Close, and release all that the connection held."""
        try:
            super().close_fd()
        finally:
            self.guard.release(self.number)


class GuardedServer(HTTPServer):
    """Server whose connections and bodies the guard admits."""

    def initialize(
        self,
        app: tornado.web.Application,
        guard: RequestGuard,
        **settings: object,
    ) -> None:
        """Take the application, the guard and settings of `HTTPServer`."""
        self.guard = guard
        super().initialize(
            app,
            chunk_size=CHUNK_BYTES,
            max_header_size=guard.limits.header_bytes,
            **settings,
        )

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """
        Start to accept connections on sockets.

        Tornado has no public place to choose what handles an error of accepting.
        """
        for listening in sockets:
            acceptor = Acceptor(listening, self._handle_connection, self.guard.journal)
            self._sockets[listening.fileno()] = listening
            self._handlers[listening.fileno()] = acceptor.stop

    def _handle_connection(self, connection, address) -> None:
        """
        Serve a connection, or close it at once if there is no room.

        Tornado has no public place to refuse a connection or to choose its stream.
        """
        peer = address[0] if isinstance(address, tuple) else ''
        stream = None
        try:
            stream = self.guard.open(connection, peer)
            if stream is None:
                connection.close()
                return
            self.handle_stream(stream, address)
        except OSError as error:
            logging.getLogger(__name__).info('connection not served: %r', error)
            if stream is None:
                connection.close()
            else:
                stream.close()

    def start_request(
        self,
        server_conn: HTTP1ServerConnection,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection."""
        stream = server_conn.stream
        self.guard.await_request(stream.number)
        is_first, stream.is_unused = stream.is_unused, False
        inner = super().start_request(server_conn, request_conn)
        return GuardedMessage(self.guard, stream.number, request_conn, inner, is_first)


class GuardedMessage(HTTPMessageDelegate):
    """Delegate that lets a body be read once there is room for it."""

    def __init__(
        self,
        guard: RequestGuard,
        number: int,
        connection: HTTPConnection,
        inner: HTTPMessageDelegate,
        is_first: bool,
    ):
        self.guard = guard
        self.number = number
        self.connection = connection
        self.inner = inner
        self.is_first = is_first
        self.terms = guard.terms()
        self.received_bytes = 0
        self.refused = False

    def headers_received(self, start_line, headers: HTTPHeaders) -> Awaitable | None:
        """Refuse a body that is announced too large, or wait for room for it."""
        if not self.is_first and self.number not in self.guard.streams:
            # Tornado would serve all requests that it has read of a closed connection.
            raise HTTPInputError('the connection is closed')
        limit_bytes = self.terms.body_limit_bytes
        discard_bytes = self.terms.discard_limit_bytes
        text = headers.get('Content-Length', '')
        size_bytes = int(text) if text.isascii() and text.isdecimal() else 0
        if 'Transfer-Encoding' in headers:
            size_bytes = min(limit_bytes, discard_bytes)
        self.connection.set_max_body_size(max(size_bytes, discard_bytes))
        ready = self.inner.headers_received(start_line, headers)
        if size_bytes > limit_bytes:
            self._refuse(413, Reason.BODY_SIZE)
            if size_bytes > discard_bytes:
                self.connection.finish()
            return ready
        stored_bytes = min(size_bytes, self.terms.stored_limit_bytes)
        room = self.guard.receive_head(self.number, stored_bytes)
        if room is None:
            return ready
        return self._wait(ready, room)

    async def _wait(self, ready: Awaitable | None, room: asyncio.Future) -> None:
        """Wait for room; a request that gets none is answered and closed."""
        if ready is not None:
            await ready
        if not await room:
            self._refuse(503, Reason.NO_ROOM)
            self.connection.finish()

    def data_received(self, chunk: bytes) -> Awaitable | None:
        """Pass a part of the body on, unless the request is refused."""
        self.received_bytes += len(chunk)
        if self.received_bytes > self.terms.body_limit_bytes and not self.refused:
            self._refuse(413, Reason.BODY_SIZE)
        if self.refused:
            return None
        return self.inner.data_received(chunk)

    def _refuse(self, status: int, reason: Reason) -> None:
        """Answer before the body is read; the connection is closed after it."""
        self.refused = True
        self.guard.counts[reason] += 1
        # Handlers free what they have of the body.
        self.inner.on_connection_close()
        headers = HTTPHeaders({'Content-Length': '0', 'Connection': 'close'})
        if status == 503:
            headers['Retry-After'] = str(RETRY_AFTER_S)
        self.guard.note_refusal(self.number)
        start_line = ResponseStartLine('HTTP/1.1', status, STATUS_TEXTS[status])
        self.connection.write_headers(start_line, headers)

    def finish(self) -> None:
        """Pass the complete request on; a refused one is closed."""
        if self.refused:
            self.connection.finish()
            return
        self.guard.budget.finish_body(self.number)
        self.inner.finish()

    def on_connection_close(self) -> None:
        """Free what was received of a request that is not complete."""
        if not self.refused:
            self.inner.on_connection_close()
