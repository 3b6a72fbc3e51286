"""Tasks that own the sockets to other processes."""

import asyncio

from result import Err, Ok

from yuccarelay.adapters import codec
from yuccarelay.core.effects import Request
from yuccarelay.core.events import ReplyArrived
from yuccarelay.core.messages import Malformed, Message
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Peer, Transport
from yuccarelay.tasks.mailbox import Mailbox

# Longer than the intervals of heartbeats and renewals, so that their connections
# stay open.
IDLE_LIMIT_MS = 60_000
IDLE_CHECK_INTERVAL_S = 10.0


class LinkTask:
    """
    Owns the socket to one peer and sends requests concurrently.

    Reads (request, deadline) from `inbox` and puts exactly one `ReplyArrived`
    into `state_machine` for each request that it has read, also when it is cancelled.
    """

    def __init__(
        self,
        sender: str,
        peer: Peer,
        inbox: Mailbox,
        state_machine: Mailbox,
        clock: Clock,
        journal: Journal,
    ):
        self.sender = sender
        self.peer = peer
        self.inbox = inbox
        self.state_machine = state_machine
        self.clock = clock
        self.journal = journal
        self.exchanges: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send requests until cancelled, then close the socket."""
        try:
            while True:
                request, deadline_ms = await self.inbox.get()
                self._start_exchange(request, deadline_ms)
        finally:
            await self._close()

    def _start_exchange(self, request: Request, deadline_ms: int) -> None:
        """Send a request in a task of its own."""
        exchange = asyncio.create_task(self._exchange(request, deadline_ms))
        self.exchanges.add(exchange)
        exchange.add_done_callback(self.exchanges.discard)
        exchange.add_done_callback(
            lambda done: self._report(request, None if done.cancelled() else done),
        )

    async def _exchange(self, request: Request, deadline_ms: int) -> Message | None:
        """Return the reply to a request, or None if there is no usable one."""
        data = codec.encode(request.message, self.sender)
        if len(data) > codec.SIZE_LIMIT_BYTES:
            self._log('request_too_large', request, f'{len(data)} bytes')
            return None
        match await self.peer.request(data, deadline_ms):
            case Ok(answer):
                return self._read_reply(request, answer)
            case Err(failure):
                self._log('request_failed', request, failure.reason)
                return None

    def _read_reply(self, request: Request, answer: bytes) -> Message | None:
        """Return a reply, or None if it is malformed or reports `Malformed`."""
        match codec.decode(answer):
            case Ok(codec.Received(Malformed(reason), _)):
                self._log('request_rejected', request, reason)
                return None
            case Ok(received):
                return received.message
            case Err(error):
                self._log('reply_malformed', request, error.reason)
                return None

    def _report(self, request: Request, done: asyncio.Task | None) -> None:
        """Report the outcome of a request to the state machine."""
        reply = done.result() if done else None
        self.state_machine.put_nowait(ReplyArrived(tag=request.tag, reply=reply))

    def _log(self, event: str, request: Request, reason: str) -> None:
        """Log why a request has no usable reply."""
        kind = type(request.message).__name__
        fields = {'address': request.address, 'kind': kind, 'reason': reason}
        self.journal.write(event, fields)

    async def _close(self) -> None:
        """Cancel the open requests and close the socket."""
        for exchange in self.exchanges:
            exchange.cancel()
        if self.exchanges:
            await asyncio.wait(self.exchanges)
        self.peer.close()


class LinkManagerTask:
    """
    Gives each address its own `LinkTask` and ends those that are idle.

    Reads `Request` from `inbox`. Exactly one `ReplyArrived` for each is put into
    `state_machine`, also when the task is cancelled.
    """

    def __init__(
        self,
        sender: str,
        inbox: Mailbox,
        state_machine: Mailbox,
        clock: Clock,
        transport: Transport,
        journal: Journal,
    ):
        self.sender = sender
        self.inbox = inbox
        self.state_machine = state_machine
        self.clock = clock
        self.transport = transport
        self.journal = journal
        self.links: dict[str, tuple[Mailbox, asyncio.Task]] = {}
        self.idle_deadlines_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Pass on requests until cancelled, then close all links."""
        try:
            async with asyncio.TaskGroup() as group:
                self.group = group
                group.create_task(self._pass_requests())
                group.create_task(self._close_idle_links())
        finally:
            await self._close_links(list(self.links))
            while not self.inbox.empty():
                self._report_failure(self.inbox.get_nowait())

    def _report_failure(self, request: Request) -> None:
        """Report to the state machine that a request was not sent."""
        self.state_machine.put_nowait(ReplyArrived(tag=request.tag, reply=None))

    async def _pass_requests(self) -> None:
        """Forward each request to the mailbox of its link."""
        while True:
            self._pass_request(await self.inbox.get())

    def _pass_request(self, request: Request) -> None:
        """Find or start the link and store the request's deadline."""
        deadline_ms = self.clock.now_ms() + request.timeout_ms
        inbox = self._find_link(request.address)
        if inbox is None:
            self._report_failure(request)
            return
        # All requests of a link have ended by its idle deadline.
        idle_deadline_ms = max(
            deadline_ms + IDLE_LIMIT_MS,
            self.idle_deadlines_ms.get(request.address, 0),
        )
        self.idle_deadlines_ms[request.address] = idle_deadline_ms
        inbox.put_nowait((request, deadline_ms))

    def _find_link(self, address: str) -> Mailbox | None:
        """Return the mailbox of a link, or None when its address is unusable."""
        if address in self.links:
            return self.links[address][0]
        match self.transport.connect(address):
            case Ok(peer):
                return self._start_link(address, peer)
            case Err(failure):
                fields = {'address': address, 'reason': failure.reason}
                self.journal.write('link_failed', fields)
                return None

    def _start_link(self, address: str, peer: Peer) -> Mailbox:
        """Start the task of a link and return its mailbox."""
        inbox = Mailbox()
        link = LinkTask(
            sender=self.sender,
            peer=peer,
            inbox=inbox,
            state_machine=self.state_machine,
            clock=self.clock,
            journal=self.journal,
        )
        self.links[address] = (inbox, self.group.create_task(link.run()))
        return inbox

    async def _close_idle_links(self) -> None:
        """Close idle links at a fixed interval."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            await self.close_idle_links()

    async def close_idle_links(self) -> None:
        """Close the links whose idle deadline has passed."""
        now_ms = self.clock.now_ms()
        deadlines = self.idle_deadlines_ms.items()
        await self._close_links([key for key, end_ms in deadlines if end_ms <= now_ms])

    async def _close_links(self, addresses: list[str]) -> None:
        """Cancel links and wait until their sockets are closed."""
        closed = [self.links.pop(address) for address in addresses]
        for address in addresses:
            del self.idle_deadlines_ms[address]
        for _, task in closed:
            task.cancel()
        if closed:
            await asyncio.wait([task for _, task in closed])
        for inbox, _ in closed:
            while not inbox.empty():
                request, _ = inbox.get_nowait()
                self._report_failure(request)
