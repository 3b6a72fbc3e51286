"""
HTTP client that keeps its connections open.

Tornado's simple client opens a connection for each request, so the connections of
`http_connection` are pooled here.
"""

import asyncio
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple
from urllib.parse import quote, urlencode

from result import Err, Ok, Result
from tornado.iostream import StreamClosedError

from yuccarelay.adapters.deadline import limit_wait
from yuccarelay.adapters.http_connection import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    open_connection,
)

# Opening a connection to another region takes one round trip of 60 ms.
CONNECT_LIMIT_S = 0.4
# Idle connections are closed on this side, before the platform's limit of 15 s.
KEEP_IDLE_S = 12
CONNECTIONS_LIMIT = 24
# A call that is answered bit by bit ends after this time at the latest.
TRANSFER_LIMIT_S = 10
# Slower than the links of the smallest machines, which have 625,000 and more.
UPLOAD_BYTES_PER_S = 250_000


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """
    No complete response; `sent` is false if the request was definitely not sent.

    `refused` means that nothing listens at the address, and `unchecked` that the server
    did not answer the request of the `ServerCheck`.
    """

    reason: str
    sent: bool
    refused: bool = False
    unchecked: bool = False


@dataclass(frozen=True, slots=True)
class OtherServer:
    """
    Another process than the expected one answered; the request was not sent.

    `response` is its answer to the request of the `ServerCheck`.
    """

    response: HttpResponse


# Reads from a response which process has sent it, None if it does not say.
Identify = Callable[[HttpResponse], Hashable | None]


class ServerCheck(NamedTuple):
    """
    A request that shows which process is at the other end of a connection.

    It must change nothing, because it may reach any process.
    """

    method: str
    path: str
    body: bytes
    identify: Identify
    expected: Hashable


class ConnectionPool:
    """Connections to one server; at most `CONNECTIONS_LIMIT` are in use."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.free_slots = asyncio.Semaphore(CONNECTIONS_LIMIT)
        self.idle: list[HttpConnection] = []
        self.is_retired = False

    async def acquire(self) -> HttpConnection:
        """Return a connection that was used before, or open one."""
        await self.free_slots.acquire()
        try:
            return self._find_idle() or await open_connection(self.host, self.port)
        except BaseException:
            self.free_slots.release()
            raise

    def _find_idle(self) -> HttpConnection | None:
        """Return the connection used last, and close those that cannot be used."""
        now = asyncio.get_running_loop().time()
        usable = [connection for connection in self.idle if connection.is_usable(now)]
        for connection in self.idle:
            if connection not in usable:
                connection.close()
        self.idle = usable
        return self.idle.pop() if self.idle else None

    def release(self, connection: HttpConnection, *, is_reusable: bool) -> None:
        """Take a connection back after its request."""
        self.free_slots.release()
        if not is_reusable or self.is_retired or connection.stream.closed():
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_deadline = now + KEEP_IDLE_S
        self.idle.append(connection)

    def retire(self) -> None:
        """Close the idle connections; those in use are closed when released."""
        self.is_retired = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class HttpClient:
    """
    Client for one address; each call has its own time limit.

    The limit holds until the response begins, with additional time for a large body,
    and then between the parts of the response. If it held for the whole call, a large
    one on a slow link would be given up and made again without end. A response that
    arrived while this process was held up is read, also if the limit is over by then.
    """

    def __init__(self, address: str):
        self.address = address
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port) if port.isdecimal() else 0
        self.pool: ConnectionPool | None = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        check: ServerCheck | None = None,
        identify: Identify | None = None,
    ) -> Result[HttpResponse, HttpFailure | OtherServer]:
        """
        Send a request and return its response; fail if it stays silent too long.

        With `check` it is only sent to the expected process. One more request shows
        which process that is on a connection where it is not known. With `identify` the
        response shows it as well.
        """
        request = HttpRequest(
            method,
            path + encode_query(query),
            body or b'',
            {
                'Host': self.address,
                'Content-Type': 'application/json',
                **(headers or {}),
            },
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s + len(request.body) / UPLOAD_BYTES_PER_S
        while True:
            found, was_idle = await self._call_once(
                request, check, identify, deadline, timeout_s
            )
            match found:
                # The server may close an idle connection as it is used again.
                case Err(HttpFailure(sent=False)) if was_idle and (
                    loop.time() < deadline
                ):
                    continue
            return found

    async def _call_once(
        self,
        request: HttpRequest,
        check: ServerCheck | None,
        identify: Identify | None,
        deadline: float,
        timeout_s: float,
    ) -> tuple[Result[HttpResponse, HttpFailure | OtherServer], bool]:
        """Make a call on one connection; also return whether that was an idle one."""
        pool = self._open_pool()
        now = asyncio.get_running_loop().time()
        try:
            async with limit_wait(min(deadline, now + CONNECT_LIMIT_S)):
                connection = await pool.acquire()
        except (TimeoutError, OSError) as error:
            refused = isinstance(find_cause(error), ConnectionRefusedError)
            failure = HttpFailure(describe(error), sent=False, refused=refused)
            return Err(failure), False
        was_idle = connection.idle_deadline > 0
        is_reusable = False
        try:
            other = None
            if check is not None and connection.server != check.expected:
                other = await self._verify(
                    connection, request, check, deadline, timeout_s
                )
            found = other or await self._exchange(
                connection, request, deadline, timeout_s
            )
            match found:
                case Ok(response):
                    is_reusable = True
                    if identify is not None:
                        connection.server = identify(response)
                case Err(OtherServer()):
                    is_reusable = True
            return found, was_idle
        finally:
            pool.release(connection, is_reusable=is_reusable)

    async def _verify(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        check: ServerCheck,
        deadline: float,
        timeout_s: float,
    ) -> Err[HttpFailure | OtherServer] | None:
        """Return why a request cannot reach the expected process, or None."""
        probe = request._replace(
            method=check.method, target=check.path, body=check.body
        )
        match await self._exchange(connection, probe, deadline, timeout_s):
            case Ok(response):
                connection.server = check.identify(response)
                if connection.server != check.expected:
                    return Err(OtherServer(response))
            case Err(failure):
                return Err(replace(failure, sent=False, unchecked=True))
        return None

    async def _exchange(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        first_deadline: float,
        silence_limit_s: float,
    ) -> Result[HttpResponse, HttpFailure]:
        loop = asyncio.get_running_loop()
        last_deadline = loop.time() + max(TRANSFER_LIMIT_S, silence_limit_s)
        try:
            async with limit_wait(first_deadline) as limit:

                def extend_limit() -> None:
                    limit.set(min(last_deadline, loop.time() + silence_limit_s))

                response = await connection.exchange(request, extend_limit)
            return Ok(response)
        except (IncompleteResponseError, OSError, ValueError) as error:
            reason = describe(error)
            if isinstance(error, TimeoutError):
                reason = f'time limit: {connection.reader.describe_progress()}'
                # The other open connections may be dead as well.
                self.renew()
            return Err(HttpFailure(reason, sent=True))

    def renew(self) -> None:
        """Use new connections from now on; open requests keep theirs."""
        if self.pool is not None:
            self.pool.retire()
            self.pool = None

    def _open_pool(self) -> ConnectionPool:
        if self.pool is None:
            self.pool = ConnectionPool(self.host, self.port)
        return self.pool

    async def close(self) -> None:
        """Close the connections."""
        self.renew()


def encode_query(query: Mapping[str, str] | None) -> str:
    """Return a query with its question mark, empty if there is none."""
    return f'?{urlencode(query, safe="/", quote_via=quote)}' if query else ''


def describe(error: Exception) -> str:
    """Return the type and the text of an error."""
    error = find_cause(error)
    return f'{type(error).__name__}: {error}'[:200]


def find_cause(error: Exception) -> BaseException:
    """Return the error for which a stream was closed, or the error itself."""
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        return error.real_error
    return error
