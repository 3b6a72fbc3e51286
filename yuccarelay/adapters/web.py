"""
HTTP front end of an entry.

The front end decides nothing about jobs. It turns requests into events, matches
the responses by request id and encodes them. Deadlines are in milliseconds of
the monotonic clock.
"""

import asyncio
import contextlib
import itertools
import sys
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.web import Application

from yuccarelay.adapters import base_handler, handlers
from yuccarelay.adapters.http_server import GuardedServer, RequestGuard
from yuccarelay.adapters.tokens import Caller, identify_caller
from yuccarelay.core.effects import ActivateManifest, RespondToCaller
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, Manifest
from yuccarelay.core.request_budget import Limits, RequestTerms
from yuccarelay.ports.journal import Journal
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.messages import (
    AnswerUnavailable,
    CommitReplied,
    FullAnswer,
)

if TYPE_CHECKING:
    from yuccarelay.adapters.statsd_metrics import StatsdMetrics

# The entry's own deadlines (store calls, forwarding) end well before this one,
# so it is reached only when a task is stuck or a response was lost.
RESPONSE_LIMIT_MS = 20_000
# After a commit the manifest usually comes into force here within milliseconds.
# While the watch is lost, the reply to the commit waits no longer than this.
PUBLISH_LIMIT_MS = 1_000
# A keep-alive connection without a request is closed after this time.
IDLE_LIMIT_S = 300
# A body that arrives more slowly would occupy memory and delay a drain.
BODY_LIMIT_S = 60
# The handlers check the sizes of bodies themselves, and keep at most the larger of the
# limits of a payload and a manifest.
TERMS = RequestTerms(
    body_limit_bytes=sys.maxsize,
    stored_limit_bytes=MANIFEST_LIMIT_BYTES,
    discard_limit_bytes=base_handler.DISCARD_LIMIT_BYTES,
)
DEFAULT_LIMITS = Limits()


class CountedLimits:
    """Journal that counts what was limited, and passes the line on."""

    def __init__(self, metrics: 'StatsdMetrics', journal: Journal | None):
        self.metrics = metrics
        self.journal = journal

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Count the requests by reason, and write the line."""
        self.metrics.count(f'http.limited.{fields["reason"]}', fields['count'])
        if self.journal is not None:
            self.journal.write(event, fields)


def read_clock_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class FrontEnd:
    """
    Task that owns the callers' connections and the requests in flight.

    `late_responses` counts the responses that no request was waiting for any more.
    """

    def __init__(
        self,
        state_machine: Mailbox,
        store_task: Mailbox,
        answers: Mailbox,
        inbox: Mailbox,
        metrics: 'StatsdMetrics',
        bootstrap_digests: tuple[str, ...],
        limits: Limits = DEFAULT_LIMITS,
        journal: Journal | None = None,
    ):
        self.state_machine = state_machine
        self.store_task = store_task
        self.answers = answers
        self.inbox = inbox
        self.metrics = metrics
        self.bootstrap_digests = bootstrap_digests
        self.guard = RequestGuard(
            limits, CountedLimits(metrics, journal), lambda: TERMS
        )
        self.generation = 0
        self.manifest: Manifest | None = None
        self.manifest_text = b''
        self.draining = False
        self.open_requests = 0
        self.late_responses = 0
        self.response_limit_ms = RESPONSE_LIMIT_MS
        self.publish_limit_ms = PUBLISH_LIMIT_MS
        self._published = asyncio.Event()
        self._request_ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self) -> None:
        """Read the inbox until cancelled."""
        while True:
            self.handle_message(await self.inbox.get())

    def handle_message(self, message: object) -> None:
        """Pass a response to its request, or put a manifest in force."""
        match message:
            case ActivateManifest(generation, manifest, text):
                # A manifest never reverts, even if messages are reordered.
                if generation > self.generation:
                    self.generation = generation
                    self.manifest = manifest
                    self.manifest_text = text
                    self._published.set()
                    self._published = asyncio.Event()
            case RespondToCaller(request_id, response):
                self._resolve(request_id, response)
            case CommitReplied(request_id, result):
                self._resolve(request_id, result)
            case FullAnswer(request_id) | AnswerUnavailable(request_id):
                self._resolve(request_id, message)
            case other:
                raise TypeError(f'unexpected message: {type(other).__name__}')

    def _resolve(self, request_id: int, response: object) -> None:
        future = self._waiting.get(request_id)
        if future is None or future.done():
            self.late_responses += 1
            self.metrics.count('http.late_responses', 1)
            return
        future.set_result(response)

    async def send_and_wait(
        self,
        mailbox: Mailbox,
        make_message: Callable[[int], object],
        wait_ms: int = 0,
    ) -> object | None:
        """
        Put a message into a mailbox and wait for the response.

        `make_message` gets the request id. The result is None when no response
        came by the deadline, which a long poll extends by `wait_ms`.
        """
        request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        try:
            async with asyncio.timeout((self.response_limit_ms + wait_ms) / 1_000):
                await mailbox.put(make_message(request_id))
                return await future
        except TimeoutError:
            self.metrics.count('http.response_timeouts', 1)
            return None
        finally:
            del self._waiting[request_id]

    async def wait_published(self, generation: int) -> None:
        """
        Wait until a committed manifest is in force here, for a bounded time.

        An operator who has the reply to a commit then reads that manifest, and
        may replace it at once.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.publish_limit_ms / 1_000):
                while self.generation < generation:
                    await self._published.wait()

    def identify(self, token: str) -> Caller:
        """Return the caller that a token belongs to under the manifest in force."""
        return identify_caller(token, self.manifest, self.bootstrap_digests)

    def open_request(self) -> None:
        """Count a request that `drain` must wait for."""
        self.open_requests += 1
        self._idle.clear()

    def close_request(self) -> None:
        """Count a request as ended."""
        self.open_requests -= 1
        if not self.open_requests:
            self._idle.set()

    def start_draining(self) -> None:
        """Fail the health check from now on; other requests are still served."""
        self.draining = True

    async def drain(self, deadline_ms: int) -> bool:
        """
        Fail the health check and wait for the open requests until the deadline.

        The caller first keeps serving after `start_draining` until the load
        balancer has noticed, and stops the server from accepting connections. The
        result is false when some requests were still open at the deadline.
        """
        self.start_draining()
        remaining_s = max(0, deadline_ms - read_clock_ms()) / 1_000
        try:
            async with asyncio.timeout(remaining_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def make_application(self) -> Application:
        """Return the tornado application with all endpoints."""
        return Application(
            handlers.make_routes(self),
            default_handler_class=handlers.UnknownHandler,
            default_handler_args={'front': self},
            log_function=base_handler.count_request,
        )

    def make_server(self) -> HTTPServer:
        """Return a server of the application; the caller binds it."""
        return GuardedServer(
            self.make_application(),
            self.guard,
            max_body_size=base_handler.DISCARD_LIMIT_BYTES,
            idle_connection_timeout=IDLE_LIMIT_S,
            body_timeout=BODY_LIMIT_S,
        )
