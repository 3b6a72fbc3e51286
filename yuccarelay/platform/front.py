"""HTTP interfaces that the platform calls: callers and readiness."""

import asyncio
import contextlib
import time
from typing import NamedTuple

import tornado.web
from tornado.httpserver import HTTPServer

from yuccarelay.adapters.byte_room import ByteRoom
from yuccarelay.adapters.http_server import RequestGuard
from yuccarelay.core.batch.request_handler import (
    NO_ROOM_RETRY_AFTER_S,
    Accepted,
    Call,
    Cancelled,
    Failed,
    Invalid,
    NoRoom,
    NoSuchJob,
    NoSuchQueue,
    NotAccepted,
    NotReady,
    Outcome,
    Pending,
    State,
    Taken,
    Undecided,
    UnknownKey,
)
from yuccarelay.core.request_budget import SMALL_BODY_BYTES
from yuccarelay.platform.jobs import decode_draft
from yuccarelay.platform.serving import listen, make_app

DEADLINE_HEADER = 'X-Yuccarelay-Deadline-Ms'
KEY_SCHEME = 'Token '
DEFAULT_DEADLINE_MS = 3_000
LONGEST_DEADLINE_MS = 30_000
NOT_READY_RETRY_AFTER_S = 1
# Share of a caller's time limit for which its submission waits to be decoded.
WAIT_SHARE = 0.5
# Share of the requests in progress that clients may take which send the next request
# before they have the answer to the last one.
PIPELINED_SHARE = 1 / 16


class Rooms(NamedTuple):
    """Room for the requests, and the bytes of bodies, that are decided on at a time."""

    requests: ByteRoom
    pipelined: ByteRoom
    small_bodies: ByteRoom
    large_bodies: ByteRoom

    def list_needed(
        self, size_bytes: int, is_pipelined: bool
    ) -> list[tuple[ByteRoom, int]]:
        """
        Return the rooms that a request needs.

        Large bodies do not delay small ones, nor a pipelining client the others.
        """
        is_small = size_bytes <= SMALL_BODY_BYTES
        bodies = self.small_bodies if is_small else self.large_bodies
        own = [(bodies, size_bytes)] if size_bytes else []
        requests = self.pipelined if is_pipelined else self.requests
        return [*own, (requests, 1)]


class CallerHandler(tornado.web.RequestHandler):
    """Jobs: submit, state, cancel and the number of waiting jobs."""

    def initialize(self, ask, draining, rooms) -> None:
        """Take the functions that answer and report draining, and the rooms."""
        self.ask = ask
        self.draining = draining
        self.rooms = rooms
        self.answering: asyncio.Task | None = None
        self.client_left = False

    async def get(self) -> None:
        """Answer with the state of a job, or the number of waiting jobs."""
        await self._answer()

    async def post(self) -> None:
        """Submit a job."""
        await self._answer()

    async def delete(self) -> None:
        """Cancel a job."""
        await self._answer()

    async def _answer(self) -> None:
        limit_ms = read_deadline(self.request.headers.get(DEADLINE_HEADER, ''))
        outcome = await self._find_outcome(limit_ms)
        if outcome is None:
            return
        status, body = encode_outcome(outcome)
        self.set_status(status)
        match outcome:
            case NotAccepted(retry_after_s) | NoRoom(retry_after_s):
                self.set_header('Retry-After', str(retry_after_s))
            case NotReady():
                self.set_header('Retry-After', str(NOT_READY_RETRY_AFTER_S))
        if self.draining():
            self.set_header('Connection', 'close')
        await self.finish(body)

    async def _find_outcome(self, limit_ms: int) -> Outcome | None:
        """Return the answer, or None if the client left before it was decided on."""
        size_bytes = len(self.request.body)
        is_pipelined = self.request.connection.stream.is_pipelined()
        needed = self.rooms.list_needed(size_bytes, is_pipelined)
        started_s = time.monotonic()
        async with contextlib.AsyncExitStack() as stack:
            self.answering = asyncio.current_task()
            try:
                async with asyncio.timeout(limit_ms * WAIT_SHARE / 1_000):
                    for room, amount in needed:
                        await stack.enter_async_context(room.reserve(amount))
            except TimeoutError:
                return NoRoom(NO_ROOM_RETRY_AFTER_S)
            except asyncio.CancelledError:
                if self.client_left:
                    return None
                raise
            finally:
                self.answering = None
            waited_ms = int((time.monotonic() - started_s) * 1_000)
            return await self._ask(limit_ms - waited_ms)

    async def _ask(self, limit_ms: int) -> Outcome:
        """Decode the request and ask for its outcome."""
        request = self.request
        draft = decode_draft(request.body) if request.method == 'POST' else None
        request.body = b''
        call = Call(
            method=request.method,
            host=request.host.partition(':')[0],
            path=request.path,
            key=read_key(request.headers.get('Authorization', '')),
            draft=draft,
            wall_ms=time.time_ns() // 1_000_000,
        )
        return await self.ask(call, limit_ms)

    def on_connection_close(self) -> None:
        """Drop a request that is not decided on when its client has left."""
        super().on_connection_close()
        self.client_left = True
        if self.answering is not None:
            self.answering.cancel()

    def log_exception(self, *_) -> None:
        """Suppress Tornado's trace of an exception."""


def read_key(authorization: str) -> str:
    """Return the key of an authorization header, or nothing."""
    if not authorization.startswith(KEY_SCHEME):
        return ''
    return authorization[len(KEY_SCHEME) :].strip()


def read_deadline(text: str) -> int:
    """Return how long a caller waits, in milliseconds."""
    if not text.isdecimal():
        return DEFAULT_DEADLINE_MS
    return min(int(text), LONGEST_DEADLINE_MS)


def encode_outcome(outcome: Outcome) -> tuple[int, dict]:
    """Return the status and the body of an outcome."""
    match outcome:
        case Accepted() | Cancelled():
            return 200, {}
        case State(state):
            return 200, {'state': str(state)}
        case Pending(count):
            return 200, {'pending': count}
        case Invalid(reason):
            return 400, {'error': reason}
        case UnknownKey():
            return 401, {'error': 'the key is not known'}
        case NoSuchQueue():
            return 404, {'error': 'no queue has this host and path'}
        case Taken():
            return 409, {'error': 'the id belongs to another job'}
        case NoSuchJob():
            return 410, {'error': 'no such job'}
        case NoRoom():
            return 503, {'error': 'too many requests or jobs, nothing was stored'}
        case NotReady():
            return 503, {'error': 'the newest configuration is not known'}
        case NotAccepted():
            return 503, {'error': 'the store cannot be reached, nothing was stored'}
        case Failed():
            return 500, {'error': 'internal error, the outcome is unknown'}
        case Undecided():
            return 504, {'error': 'the store did not answer in time'}


class ReadinessHandler(tornado.web.RequestHandler):
    """Reports whether this process accepts new connections."""

    def initialize(self, ready) -> None:
        """Take the function that returns whether this process is ready."""
        self.ready = ready

    def get(self) -> None:
        """Answer 200 or 503."""
        self.set_status(200 if self.ready() else 503)


def serve_callers(address: str, ask, draining, guard: RequestGuard) -> HTTPServer:
    """Serve callers."""
    rooms = Rooms(
        ByteRoom(guard.limits.requests),
        ByteRoom(max(1, int(PIPELINED_SHARE * guard.limits.requests))),
        ByteRoom(guard.limits.small_decoding_bytes),
        ByteRoom(guard.limits.large_decoding_bytes),
    )
    parts = {'ask': ask, 'draining': draining, 'rooms': rooms}
    return listen(make_app([('.*', CallerHandler, parts)]), address, guard)


def serve_readiness(address: str, ready, guard: RequestGuard) -> HTTPServer:
    """Serve the load balancer's readiness check."""
    handlers = [('/api/readiness', ReadinessHandler, {'ready': ready})]
    return listen(make_app(handlers), address, guard)
