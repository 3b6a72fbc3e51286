"""Base class of the request handlers: authentication, body limit and replies."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tornado.web import RequestHandler, stream_request_body

from yuccarelay.adapters import bodies
from yuccarelay.adapters.bodies import Refused
from yuccarelay.adapters.replies import HttpReply, reply_error
from yuccarelay.adapters.tokens import Caller, parse_bearer
from yuccarelay.core.manifest import FieldError

if TYPE_CHECKING:
    from yuccarelay.adapters.web import FrontEnd

# An oversized body up to this size is read and discarded, so that the client gets
# the 413 instead of a reset connection. After a larger one the connection is closed.
DISCARD_LIMIT_BYTES = 8 * 1024 * 1024

UNAUTHENTICATED = Refused(
    status=401,
    code='unauthenticated',
    errors=(FieldError('Authorization', 'must be a known bearer token'),),
)
NOT_OPERATOR = Refused(
    status=403,
    code='forbidden',
    errors=(FieldError('Authorization', 'must be the token of an operator'),),
)
NOT_ORGANISATION = Refused(
    status=403,
    code='forbidden',
    errors=(FieldError('Authorization', 'must be the token of an organisation'),),
)


def count_request(handler: RequestHandler) -> None:
    """Count a finished request by its status; single requests are not logged."""
    handler.front.metrics.count(f'http.status.{handler.get_status()}', 1)


@stream_request_body
class BaseHandler(RequestHandler):
    """
    Request handler with authentication, a body limit and JSON error replies.

    A subclass sets who may use it in `audience`: `organisation`, `operator` or
    `anyone`. The token is checked before the body is read.
    """

    audience = 'organisation'
    body_limit = 0

    def initialize(self, front: 'FrontEnd') -> None:
        """Store the front end and count the request as open."""
        self.front = front
        self.caller = Caller(organisation='', operator=False)
        self.body = bytearray()
        self.oversized = False
        self.opened = True
        self.handling_task: asyncio.Task | None = None
        front.open_request()

    def set_default_headers(self) -> None:
        """Remove the `Server` header, which names the server software and version."""
        self.clear_header('Server')

    def compute_etag(self) -> None:
        """Return None: only a manifest has an `ETag`, which holds its generation."""

    def prepare(self) -> None:
        """Check the token and the declared length before the body is read."""
        token = parse_bearer(self.request.headers.get('Authorization', ''))
        self.caller = self.front.identify(token)
        refused = self.check_audience() or self.check_length()
        if refused is not None:
            self.send(reply_error(refused))

    def check_audience(self) -> Refused | None:
        """Return the refusal of a caller who may not use the endpoint, or None."""
        if self.audience == 'anyone':
            return None
        if not self.caller.known:
            return UNAUTHENTICATED
        if self.audience == 'operator' and not self.caller.operator:
            return NOT_OPERATOR
        if self.audience == 'organisation' and not self.caller.organisation:
            return NOT_ORGANISATION
        return None

    def check_length(self) -> Refused | None:
        """Return the refusal of a body above `DISCARD_LIMIT_BYTES`, or None."""
        text = self.request.headers.get('Content-Length', '')
        length = int(text) if text.isascii() and text.isdecimal() else 0
        if length <= DISCARD_LIMIT_BYTES:
            return None
        # Otherwise tornado would answer 400 without a body. The connection is closed
        # after the reply.
        self.request.connection.set_max_body_size(length)
        return bodies.refuse_size('body', self.body_limit)

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, or discard all of it once it exceeds the limit."""
        if len(self.body) + len(chunk) > self.body_limit:
            self.oversized = True
            self.body.clear()
        if not self.oversized:
            self.body += chunk

    async def serve(
        self,
        respond: Callable[..., Awaitable[HttpReply]],
        *arguments: object,
    ) -> None:
        """Refuse an oversized body, else send the reply of `respond`."""
        if self.oversized:
            self.send(reply_error(bodies.refuse_size('body', self.body_limit)))
            return
        self.handling_task = asyncio.current_task()
        try:
            self.send(await respond(*arguments))
        except asyncio.CancelledError:
            # The client has disconnected; `on_connection_close` closed the request.
            if self.opened:
                raise

    async def send_to_state_machine(
        self,
        make_event: Callable[[int], object],
        wait_ms: int = 0,
    ) -> object | None:
        """Send an event to the state machine and return its response, or None."""
        return await self.front.send_and_wait(
            self.front.state_machine, make_event, wait_ms
        )

    def send(self, reply: HttpReply) -> None:
        """Send a reply and finish the request."""
        self.set_status(reply.status)
        self.set_header('Content-Type', reply.content_type)
        for name, value in reply.headers:
            self.set_header(name, value)
        if self.front.draining:
            # A connection that is kept alive would be closed at the end of the
            # drain, possibly during a request.
            self.set_header('Connection', 'close')
        self.finish(reply.body)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send errors raised by tornado or by a handler as JSON."""
        codes = {404: 'no_such_path', 405: 'method_not_allowed'}
        code = codes.get(status_code, 'internal' if status_code >= 500 else 'invalid')
        self.send(reply_error(Refused(status=status_code, code=code)))

    def close_once(self) -> None:
        """Count the request as closed; later calls do nothing."""
        if self.opened:
            self.opened = False
            self.front.close_request()

    def on_finish(self) -> None:
        """Count the request as closed after the reply was written."""
        self.close_once()

    def on_connection_close(self) -> None:
        """Cancel the handling of the request when the client has disconnected."""
        super().on_connection_close()
        self.close_once()
        if self.handling_task is not None:
            self.handling_task.cancel()
