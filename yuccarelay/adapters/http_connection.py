"""One HTTP/1.1 connection of a client, used for one request after another."""

import socket
import time
from collections.abc import Callable, Hashable, Mapping
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError


class HttpRequest(NamedTuple):
    """A request; `target` is the path with its query."""

    method: str
    target: str
    body: bytes
    headers: Mapping[str, str]


class HttpResponse(NamedTuple):
    """A complete response; `transfer_s` is how long it took once it had begun."""

    status: int
    body: bytes
    transfer_s: float = 0


class IncompleteResponseError(Exception):
    """The connection ended, or the bytes on it are not an HTTP response."""


class ClientStream(IOStream):
    """A stream that tells whether bytes have arrived that nobody asked for."""

    def has_unread_bytes(self) -> bool:
        """Whether bytes are left over from the last response, or came after it."""
        return self._read_buffer_size > 0


class ResponseReader(HTTPMessageDelegate):
    """Collects the parts of a response, and calls `on_progress` after each."""

    def __init__(self, on_progress: Callable[[], None] = lambda: None):
        self.on_progress = on_progress
        self.status = 0
        self.chunks: list[bytes] = []
        self.expected_bytes: int | None = None
        self.is_complete = False
        self.keeps_open = False
        self.began_s = self.ended_s = 0.0

    def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Note the status, and whether the server keeps the connection open."""
        self.began_s = time.monotonic()
        self.status = start_line.code
        length = headers.get('Content-Length', '')
        self.expected_bytes = int(length) if length.isdecimal() else None
        is_closing = headers.get('Connection', '').lower() == 'close'
        self.keeps_open = start_line.version == 'HTTP/1.1' and not is_closing
        self.on_progress()

    def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self.chunks.append(chunk)
        self.on_progress()

    def finish(self) -> None:
        """Note that the response is complete."""
        self.is_complete = True
        self.ended_s = time.monotonic()

    def describe_progress(self) -> str:
        """Return how much of the body has arrived."""
        if not self.status:
            return 'no response'
        received_bytes = sum(map(len, self.chunks))
        expected = '' if self.expected_bytes is None else f' of {self.expected_bytes}'
        return f'{received_bytes}{expected} bytes received'


class HttpConnection:
    """
    A connection to a server; it carries one request at a time.

    `idle_deadline` is the loop's time after which an idle connection is not used
    again. A connection whose request was cancelled must be closed, because the
    response may still arrive on it. `reader` has what arrived of the last response.
    `server` identifies the process at the other end, None while it is not known: a
    connection ends with that process, so it never leads to a later one.
    """

    def __init__(self):
        self.stream = ClientStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.idle_deadline = 0.0
        self.reader = ResponseReader()
        self.server: Hashable | None = None
        # With a callback the stream notices while it is idle that the server closes it.
        self.stream.set_close_callback(lambda: None)

    async def exchange(
        self, request: HttpRequest, on_progress: Callable[[], None] = lambda: None
    ) -> HttpResponse:
        """
        Send a request and return the complete response.

        `on_progress` is called after each part of the response that has arrived.
        Raises `IncompleteResponseError` and closes the connection if there is none.
        """
        headers = HTTPHeaders(request.headers)
        if request.body or request.method != 'GET':
            headers['Content-Length'] = str(len(request.body))
        line = RequestStartLine(request.method, request.target, 'HTTP/1.1')
        connection = HTTP1Connection(self.stream, True, HTTP1ConnectionParameters())
        reader = self.reader = ResponseReader(on_progress)
        try:
            # A failed write shows in the read as well.
            connection.write_headers(line, headers, request.body or None)
            connection.finish()
            await connection.read_response(reader)
        except StreamClosedError as error:
            self.close()
            raise IncompleteResponseError(describe_end(error)) from error
        if not reader.is_complete:
            self.close()
            raise IncompleteResponseError('the response cannot be read')
        if not reader.keeps_open or self.stream.has_unread_bytes():
            self.close()
        else:
            self.stream.set_close_callback(lambda: None)
        body = b''.join(reader.chunks)
        return HttpResponse(reader.status, body, reader.ended_s - reader.began_s)

    def is_usable(self, now: float) -> bool:
        """Whether an idle connection can carry another request."""
        return (
            now < self.idle_deadline
            and not self.stream.closed()
            and not self.stream.has_unread_bytes()
        )

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


async def open_connection(host: str, port: int) -> HttpConnection:
    """Connect to a server at an IPv4 address; raise `OSError` if that fails."""
    connection = HttpConnection()
    try:
        await connection.stream.connect((host, port))
        connection.stream.set_nodelay(True)
    except BaseException:
        connection.close()
        raise
    return connection


def describe_end(error: StreamClosedError) -> str:
    """Return why a connection has ended."""
    return f'connection closed: {error.real_error or "by the server"}'
