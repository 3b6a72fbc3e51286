"""The transport port over the request/reply sockets of nng on TCP."""

import asyncio
import contextlib

import pynng
from pynng.exceptions import check_err
from pynng.nng import ffi, lib
from result import Err, Ok, Result

from yuccarelay.adapters.deadline import limit_wait
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.transport import RequestCallback, TransportFailure

# Requests that one listener answers at the same time. Requests beyond these
# wait in the sockets, which slows their senders down.
LISTENER_CONTEXTS = 64
# nng closes the connection of a larger message before it holds it in memory. The
# limit is above the codec's, so that a slightly oversized message gets an answer.
RECEIVE_LIMIT_BYTES = 16_000_000
# Requests that are read before other tasks run.
READS_PER_TURN = 32
STALE_PAUSE_S = 0.02
# Polled, because nng could report that a slow connection has accepted a reply only
# by a call into Python from one of its threads.
SENDING_CHECK_S = 0.01
# A peer that does not read must not occupy the contexts that others need. The event
# loop keeps this limit, because a time-out of nng lets one of its threads spin until
# the next millisecond begins.
SEND_LIMIT_MS = 10_000
RECONNECT_FIRST_MS = 100
RECONNECT_LONGEST_MS = 2_000
NO_RESEND = -1
NO_LIMIT_MS = -1


class NngListener:
    """
    A listening socket whose contexts are read on the event loop.

    The loop watches the socket's receive descriptor and reads without waiting,
    so that no thread of nng calls into Python; a receive through pynng's asyncio
    functions costs several times the processor time. pynng has no functions for
    this, so the calls go to the C interface that it exposes as `lib`.
    """

    def __init__(self, socket: pynng.Rep0, address: str):
        self.socket = socket
        self.address = address
        self.free = [_ReplyContext(socket) for _ in range(LISTENER_CONTEXTS)]
        self.waiting: dict[int, _ReplyContext] = {}
        self.sending: list[_ReplyContext] = []
        self.last_id = 0
        self.reading = False
        self.closed = False

    def start(self, on_request: RequestCallback) -> None:
        """Pass each request with its id to `on_request`."""
        self.on_request = on_request
        self.loop = asyncio.get_running_loop()
        self.descriptor = self.socket.recv_fd
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Watch the receive descriptor while there is a free context."""
        if not self.closed and not self.reading and self.free:
            self.reading = True
            self.loop.add_reader(self.descriptor, self._read_requests)

    def _pause_reading(self) -> None:
        """Leave further requests in the sockets."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.descriptor)

    def _read_requests(self) -> None:
        """Read waiting requests, at most `READS_PER_TURN` before other tasks run."""
        for count in range(READS_PER_TURN):
            if not self.free:
                self._pause_reading()
                return
            data = self.free[-1].receive()
            if data is None:
                if count == 0:
                    self._ignore_stale_descriptor()
                return
            self.last_id += 1
            self.waiting[self.last_id] = self.free.pop()
            self.on_request(self.last_id, data)

    def _ignore_stale_descriptor(self) -> None:
        """
        Stop watching the descriptor for `STALE_PAUSE_S`.

        The descriptor stays readable when a connection ends before its request
        is read; without the pause the event loop would spin.
        """
        self._pause_reading()
        self.loop.call_later(STALE_PAUSE_S, self._resume_reading)

    def reply(self, request_id: int, data: bytes) -> bool:
        """Answer a request; false when it was answered or abandoned before."""
        context = self.waiting.pop(request_id, None)
        if context is None:
            return False
        if context.send(data):
            self._free_context(context)
        else:
            self._await_sending(context)
        return True

    def abandon_request(self, request_id: int) -> bool:
        """Leave a request unanswered; false when it was answered before."""
        context = self.waiting.pop(request_id, None)
        if context is not None:
            self._free_context(context)
        return context is not None

    def _free_context(self, context: '_ReplyContext') -> None:
        """Use a context for another request."""
        self.free.append(context)
        self._resume_reading()

    def _await_sending(self, context: '_ReplyContext') -> None:
        """Check later whether a slow connection has accepted a reply."""
        context.send_deadline_s = self.loop.time() + SEND_LIMIT_MS / 1_000
        self._check_later(context)

    def _check_later(self, context: '_ReplyContext') -> None:
        if not self.sending:
            self.loop.call_later(SENDING_CHECK_S, self._collect_sent)
        self.sending.append(context)

    def _collect_sent(self) -> None:
        """Free the contexts whose reply was sent, has failed or is overdue."""
        if self.closed:
            return
        sending, self.sending = self.sending, []
        for context in sending:
            if context.is_sending() and self.loop.time() >= context.send_deadline_s:
                context.cancel()
            if context.is_sending():
                self._check_later(context)
            else:
                self._free_context(context)

    def close(self) -> None:
        """Close the socket and its contexts."""
        if self.closed:
            return
        self._pause_reading()
        self.closed = True
        for context in [*self.free, *self.waiting.values(), *self.sending]:
            context.close()
        self.socket.close()


class _ReplyContext:
    """One context of a listening socket, with an operation that it reuses."""

    def __init__(self, socket: pynng.Rep0):
        self.context = socket.new_context()
        self.message = ffi.new('nng_msg **')
        operation = ffi.new('nng_aio **')
        check_err(lib.nng_aio_alloc(operation, ffi.NULL, ffi.NULL))
        self.operation = operation[0]
        lib.nng_aio_set_timeout(self.operation, NO_LIMIT_MS)
        self.send_deadline_s = 0.0

    def receive(self) -> bytes | None:
        """Return a waiting request, or None."""
        error_code = lib.nng_ctx_recvmsg(
            self.context.context,
            self.message,
            lib.NNG_FLAG_NONBLOCK,
        )
        if error_code:
            return None
        message = self.message[0]
        data = bytes(ffi.buffer(lib.nng_msg_body(message), lib.nng_msg_len(message)))
        lib.nng_msg_free(message)
        return data

    def send(self, data: bytes) -> bool:
        """Start to send a reply; false when nng has not accepted it yet."""
        check_err(lib.nng_msg_alloc(self.message, 0))
        check_err(lib.nng_msg_append(self.message[0], data, len(data)))
        lib.nng_aio_set_msg(self.operation, self.message[0])
        check_err(lib.nng_ctx_send(self.context.context, self.operation))
        return not self.is_sending()

    def cancel(self) -> None:
        """Give up the reply that is being sent."""
        lib.nng_aio_cancel(self.operation)

    def is_sending(self) -> bool:
        """Whether the reply is still being sent; frees the message of a failed one."""
        if lib.nng_aio_busy(self.operation):
            return True
        if lib.nng_aio_result(self.operation):
            self._free_unsent()
        return False

    def _free_unsent(self) -> None:
        """Free the message of a send that failed; nng leaves it to the caller."""
        message = lib.nng_aio_get_msg(self.operation)
        if message != ffi.NULL:
            lib.nng_msg_free(message)
            lib.nng_aio_set_msg(self.operation, ffi.NULL)

    def close(self) -> None:
        """Abort and free the operation, and close the context."""
        self.context.close()
        lib.nng_aio_stop(self.operation)
        if lib.nng_aio_result(self.operation):
            self._free_unsent()
        lib.nng_aio_free(self.operation)


class NngPeer:
    """A socket to one peer, with one context for each open request."""

    def __init__(self, socket: pynng.Req0, clock: Clock):
        self.socket = socket
        self.clock = clock
        self.connected = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        socket.add_post_pipe_connect_cb(self._note_pipe_from_thread)
        socket.add_post_pipe_remove_cb(self._note_pipe_from_thread)

    def _note_pipe_from_thread(self, _pipe: pynng.Pipe) -> None:
        """Pass a change of the connection from nng's thread to the event loop."""
        # The event loop may be closed before the last connection is removed.
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(self._update_connected)

    def _update_connected(self) -> None:
        """Let requests proceed while there is a connection."""
        if self.socket.pipes:
            self.connected.set()
        else:
            self.connected.clear()

    async def request(
        self,
        data: bytes,
        deadline_ms: int,
    ) -> Result[bytes, TransportFailure]:
        """Send a request and return the reply that arrives by the deadline."""
        remaining_s = (deadline_ms - self.clock.now_ms()) / 1000
        try:
            async with limit_wait(self.loop.time() + remaining_s):
                # pynng does not free the message of a send that is cancelled,
                # so nothing is sent before there is a connection.
                await self.connected.wait()
                return Ok(await self._exchange(data))
        except TimeoutError:
            sent = self.connected.is_set()
            return Err(TransportFailure('no reply by the deadline', sent))
        except pynng.NNGException as error:
            return Err(TransportFailure(str(error)))

    async def _exchange(self, data: bytes) -> bytes:
        """Send a request on a context of its own and receive its reply."""
        with self.socket.new_context() as context:
            await context.asend(data)
            # pynng drops a cancellation that arrives as the send ends, and
            # would then wait for the reply without a deadline.
            if asyncio.current_task().cancelling():
                raise asyncio.CancelledError
            return await context.arecv()

    def close(self) -> None:
        """Close the socket; open requests end with a failure."""
        self.socket.close()
        # Wakes the requests that wait for a connection; they fail on the closed socket.
        self.connected.set()


class NngTransport:
    """Opens the sockets of a process."""

    def __init__(self, clock: Clock):
        self.clock = clock

    def listen(self, address: str) -> Result[NngListener, TransportFailure]:
        """Listen on an address; port 0 lets the system choose the port."""
        socket = pynng.Rep0(recv_max_size=RECEIVE_LIMIT_BYTES)
        try:
            socket.listen(f'tcp://{address}')
        except pynng.NNGException as error:
            socket.close()
            return Err(TransportFailure(f'cannot listen on {address}: {error}'))
        bound = str(socket.listeners[0].local_address)
        return Ok(NngListener(socket=socket, address=bound))

    def connect(self, address: str) -> Result[NngPeer, TransportFailure]:
        """Return a socket to a peer, which need not be reachable yet."""
        socket = pynng.Req0(
            resend_time=NO_RESEND,
            recv_max_size=RECEIVE_LIMIT_BYTES,
            reconnect_time_min=RECONNECT_FIRST_MS,
            reconnect_time_max=RECONNECT_LONGEST_MS,
        )
        peer = NngPeer(socket=socket, clock=self.clock)
        try:
            socket.dial(f'tcp://{address}', block=False)
        except pynng.NNGException as error:
            socket.close()
            reason = f'cannot connect to {address}: {error}'
            return Err(TransportFailure(reason, sent=False))
        return Ok(peer)
