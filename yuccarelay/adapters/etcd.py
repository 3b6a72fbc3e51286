"""
The platform's store over the JSON gateway of the etcd v3 protocol.

Keys and values travel as base64 and 64-bit integers as decimal strings.
"""

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any
from urllib.parse import urlsplit

import msgspec
from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from yuccarelay.adapters.etcd_wire import (
    ErrorAnswer,
    GrantAnswer,
    KeepAnswer,
    RangeAnswer,
    TxnAnswer,
    WatchLine,
    convert_change,
    convert_page,
    convert_transaction,
    convert_value,
    find_prefix_end,
    make_compare,
    make_operation,
)
from yuccarelay.ports.store import (
    VALUE_LIMIT_BYTES,
    Delete,
    Guard,
    Page,
    Put,
    StoredValue,
    StoreFailure,
    TransactionResult,
    WatchEvent,
)

CALL_DEADLINE_MS = 2_000
# tornado queues the calls over this limit. With its default of 10 a group of
# slow calls would delay the renewal of the registration's lease.
CONNECTION_LIMIT = 100
# A page of 40 values of the largest size, as base64.
ANSWER_LIMIT_BYTES = 64_000_000
# The response body of a watch does not end, so only its lines are limited.
WATCH_BODY_LIMIT_BYTES = 1 << 50
WATCH_LINE_LIMIT_BYTES = 64_000_000
# The silent loss of a watch's connection is detected after 3 s + 3 x 1 s.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

# Statuses below 500 after which the call may still take effect: request timeout
# and call cancelled.
AMBIGUOUS_STATUSES = (408, 499)
# The server returns these errors before it proposes the write.
UNAMBIGUOUS_ERRORS = ('etcdserver: no leader', 'etcdserver: too many requests')
# Words in the messages of tornado for timeouts before a request is sent.
UNSENT_TIMEOUTS = ('while connecting', 'in request queue')

CONTENT_TYPE = 'application/json'
# Raised by an answer of another shape, a missing field, or a key that is not UTF-8.
BAD_ANSWER = (msgspec.MsgspecError, KeyError, ValueError)


def classify_error(error: Exception, writes: bool) -> StoreFailure:
    """Return the failure for an error of the HTTP client."""
    unsent = not isinstance(error, HTTPError)
    if isinstance(error, HTTPTimeoutError):
        unsent = any(words in str(error) for words in UNSENT_TIMEOUTS)
    return StoreFailure(
        reason=str(error) or type(error).__name__,
        ambiguous=writes and not unsent,
    )


def classify_status(status: int, body: bytes, writes: bool) -> StoreFailure:
    """Return the failure for an answer with an error status."""
    try:
        answer = msgspec.json.decode(body, type=ErrorAnswer)
    except msgspec.MsgspecError:
        answer = ErrorAnswer()
    message = answer.get('message') or answer.get('error') or f'status {status}'
    refused = status < 500 and status not in AMBIGUOUS_STATUSES and status != 429
    unambiguous = refused or status == 429 or message in UNAMBIGUOUS_ERRORS
    return StoreFailure(
        reason=message,
        ambiguous=writes and not unambiguous,
        refused=refused,
    )


class LineReader(HTTPMessageDelegate):
    """Splits a streamed body into lines and queues them; None ends the queue."""

    def __init__(self) -> None:
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.rest = bytearray()

    def data_received(self, chunk: bytes) -> None:
        """Queue the lines that the chunk completes."""
        self.rest += chunk
        if len(self.rest) > WATCH_LINE_LIMIT_BYTES:
            raise ValueError('watch line exceeds the size limit')
        *lines, rest = bytes(self.rest).split(b'\n') if b'\n' in chunk else [self.rest]
        self.rest = bytearray(rest)
        for line in lines:
            if line:
                self.lines.put_nowait(line)


class EtcdStore:
    """
    Client of one gateway, such as `http://127.0.0.1:2379`.

    Every call ends within the deadline. An open watch has its own connection.
    """

    def __init__(self, url: str, deadline_ms: int = CALL_DEADLINE_MS) -> None:
        parts = urlsplit(url)
        self.url = url.rstrip('/')
        self.host = parts.hostname or ''
        self.port = parts.port or 2379
        self.deadline_s = deadline_ms / 1000
        self.connector = TCPClient()
        self.client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=CONNECTION_LIMIT,
            max_body_size=ANSWER_LIMIT_BYTES,
            max_buffer_size=2 * ANSWER_LIMIT_BYTES,
        )

    def close(self) -> None:
        """Release the client; open calls end by their deadline."""
        self.client.close()
        self.connector.close()

    async def read_prefix(
        self,
        prefix: str,
        *,
        start_after: str = '',
        limit: int = 0,
    ) -> Result[Page, StoreFailure]:
        """Read the keys that start with a prefix, after `start_after` if given."""
        first = start_after.encode() + b'\0' if start_after else prefix.encode()
        body = {
            'key': first,
            'range_end': find_prefix_end(prefix.encode()),
            'limit': str(limit),
        }
        return await self.call('/v3/kv/range', body, RangeAnswer, convert_page)

    async def read(self, key: str) -> Result[StoredValue | None, StoreFailure]:
        """Read one key."""
        return await self.call(
            '/v3/kv/range',
            {'key': key.encode()},
            RangeAnswer,
            lambda found: next(map(convert_value, found.get('kvs', [])), None),
        )

    async def transact(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Put | Delete, ...],
    ) -> Result[TransactionResult, StoreFailure]:
        """Apply all writes if all guards hold, else none."""
        for write in writes:
            if isinstance(write, Put) and len(write.value) > VALUE_LIMIT_BYTES:
                reason = f'value of {write.key} is over {VALUE_LIMIT_BYTES} bytes'
                return Err(StoreFailure(reason=reason, ambiguous=False, refused=True))
        ranges = [{'request_range': {'key': guard.key.encode()}} for guard in guards]
        body = {
            'compare': [make_compare(guard) for guard in guards],
            'success': [make_operation(write) for write in writes],
            'failure': ranges,
        }
        return await self.call(
            '/v3/kv/txn',
            body,
            TxnAnswer,
            convert_transaction,
            writes=True,
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        body = {'TTL': str(math.ceil(ttl_s))}
        return await self.call(
            '/v3/lease/grant',
            body,
            GrantAnswer,
            lambda granted: granted['ID'],
            writes=True,
        )

    async def renew_lease(self, lease: int) -> Result[bool, StoreFailure]:
        """Renew a lease; false means that it no longer exists."""
        body = {'ID': str(lease)}
        return await self.call(
            '/v3/lease/keepalive',
            body,
            KeepAnswer,
            lambda kept: kept['result'].get('TTL', 0) > 0,
            writes=True,
        )

    async def revoke_lease(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and delete its keys."""
        body = {'ID': str(lease)}
        return await self.call(
            '/v3/lease/revoke',
            body,
            dict,
            lambda _: None,
            writes=True,
        )

    async def call(
        self,
        path: str,
        body: dict[str, Any],
        answer_type: Any,
        convert: Callable[[Any], Any],
        writes: bool = False,
    ) -> Result[Any, StoreFailure]:
        """Send one call, decode its answer and convert it to the port's type."""
        request = HTTPRequest(
            url=self.url + path,
            method='POST',
            headers={'Content-Type': CONTENT_TYPE},
            body=msgspec.json.encode(body),
            connect_timeout=self.deadline_s,
            request_timeout=self.deadline_s,
        )
        try:
            response = await self.fetch(request)
        except (HTTPError, OSError) as error:
            return Err(classify_error(error, writes))
        if response.code != 200:
            return Err(classify_status(response.code, response.body, writes))
        try:
            answer = msgspec.json.decode(response.body, type=answer_type, strict=False)
            return Ok(convert(answer))
        except BAD_ANSWER as error:
            return Err(StoreFailure(reason=f'bad answer: {error}', ambiguous=writes))

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """
        Send a request and return its response.

        tornado cannot abort a request: after the caller was cancelled it runs until
        its deadline, and its result is ignored.
        """
        sending = self.client.fetch(request, raise_error=False)
        sending.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(sending)

    async def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield the changes of a prefix until the connection ends."""
        try:
            async with asyncio.timeout(self.deadline_s):
                stream = await self.connector.connect(self.host, self.port)
        except (OSError, TimeoutError):
            return
        reader = LineReader()
        read_task = asyncio.create_task(
            self.read_watch(stream, reader, prefix, start_revision)
        )
        try:
            # The first line confirms the watch; without one the watch ends.
            async with asyncio.timeout(self.deadline_s):
                line = await reader.lines.get()
            while line is not None:
                result = msgspec.json.decode(line, type=WatchLine, strict=False)
                if result['result'].get('canceled', False):
                    return
                if events := result['result'].get('events'):
                    yield tuple(convert_change(change) for change in events)
                line = await reader.lines.get()
        except (TimeoutError, *BAD_ANSWER):
            return
        finally:
            stream.close()
            read_task.cancel()
            await asyncio.gather(read_task, return_exceptions=True)

    async def read_watch(
        self,
        stream: IOStream,
        reader: LineReader,
        prefix: str,
        start_revision: int,
    ) -> None:
        """Send the watch request and read its lines until the connection ends."""
        create = {
            'key': prefix.encode(),
            'range_end': find_prefix_end(prefix.encode()),
            'start_revision': str(start_revision),
        }
        body = msgspec.json.encode({'create_request': create})
        headers = HTTPHeaders(
            {
                'Host': f'{self.host}:{self.port}',
                'Content-Type': CONTENT_TYPE,
                'Content-Length': str(len(body)),
            }
        )
        limits = HTTP1ConnectionParameters(max_body_size=WATCH_BODY_LIMIT_BYTES)
        try:
            enable_keepalive(stream.socket)
            connection = HTTP1Connection(stream, True, limits)
            start = RequestStartLine('POST', '/v3/watch', 'HTTP/1.1')
            await connection.write_headers(start, headers, body)
            connection.finish()
            await connection.read_response(reader)
        except (OSError, StreamClosedError, ValueError):
            pass
        finally:
            reader.lines.put_nowait(None)


def enable_keepalive(connection: socket.socket) -> None:
    """Let the system close a connection whose peer no longer responds."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
