"""HTTP interfaces that the platform calls: callers and readiness."""

import time

import tornado.web
from tornado.httpserver import HTTPServer

from yuccarelay.core.batch.request_handler import (
    Accepted,
    Call,
    Cancelled,
    Failed,
    Invalid,
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
from yuccarelay.platform.jobs import decode_draft
from yuccarelay.platform.serving import listen, make_app

DEADLINE_HEADER = 'X-Yuccarelay-Deadline-Ms'
KEY_SCHEME = 'Token '
DEFAULT_DEADLINE_MS = 3_000
LONGEST_DEADLINE_MS = 30_000
NOT_READY_RETRY_AFTER_S = 1


class CallerHandler(tornado.web.RequestHandler):
    """Jobs: submit, state, cancel and the number of waiting jobs."""

    def initialize(self, ask, draining) -> None:
        """Take the function that answers a call, and the one that reports draining."""
        self.ask = ask
        self.draining = draining

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
        request = self.request
        draft = decode_draft(request.body) if request.method == 'POST' else None
        call = Call(
            method=request.method,
            host=request.host.partition(':')[0],
            path=request.path,
            key=read_key(request.headers.get('Authorization', '')),
            draft=draft,
            wall_ms=time.time_ns() // 1_000_000,
        )
        limit_ms = read_deadline(request.headers.get(DEADLINE_HEADER, ''))
        outcome = await self.ask(call, limit_ms)
        status, body = encode_outcome(outcome)
        self.set_status(status)
        match outcome:
            case NotAccepted(retry_after_s):
                self.set_header('Retry-After', str(retry_after_s))
            case NotReady():
                self.set_header('Retry-After', str(NOT_READY_RETRY_AFTER_S))
        if self.draining():
            self.set_header('Connection', 'close')
        await self.finish(body)

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


def serve_callers(address: str, ask, draining) -> HTTPServer:
    """Serve callers."""
    parts = {'ask': ask, 'draining': draining}
    return listen(make_app([('.*', CallerHandler, parts)]), address)


def serve_readiness(address: str, ready) -> HTTPServer:
    """Serve the load balancer's readiness check."""
    handlers = [('/api/readiness', ReadinessHandler, {'ready': ready})]
    return listen(make_app(handlers), address)
