"""Task that owns the listening socket of a process."""

import asyncio

from result import Err, Ok

from yuccarelay.adapters import codec
from yuccarelay.core.effects import Reply
from yuccarelay.core.events import MessageReceived
from yuccarelay.core.messages import Malformed
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.metrics import Metrics
from yuccarelay.ports.transport import Listener
from yuccarelay.tasks.mailbox import Mailbox

# Senders retry a request long before this. An unanswered request must not hold one
# of the listener's contexts indefinitely.
ANSWER_LIMIT_MS = 10_000
EXPIRY_INTERVAL_S = 1.0


class ListenerTask:
    """
    Passes requests to the state machine and its replies to the senders.

    Reads `Reply` from `inbox` and puts `MessageReceived` into `state_machine`. Input
    that cannot be decoded is answered with `Malformed` and counted.
    """

    def __init__(
        self,
        listener: Listener,
        inbox: Mailbox,
        state_machine: Mailbox,
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self.listener = listener
        self.address = listener.address
        self.inbox = inbox
        self.state_machine = state_machine
        self.clock = clock
        self.journal = journal
        self.metrics = metrics
        self.deadlines_ms: dict[int, int] = {}

    async def run(self) -> None:
        """Serve until cancelled, then close the socket."""
        self.listener.start(self.take_request)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_replies())
                group.create_task(self._expire_requests())
        finally:
            self.listener.close()

    def take_request(self, request_id: int, data: bytes) -> None:
        """Decode a request and pass it to the state machine."""
        match codec.decode(data):
            case Ok(received):
                deadline_ms = self.clock.now_ms() + ANSWER_LIMIT_MS
                self.deadlines_ms[request_id] = deadline_ms
                event = MessageReceived(message=received.message, reply_to=request_id)
                self.state_machine.put_nowait(event)
            case Err(error):
                self._reject(request_id, error)

    def _reject(self, request_id: int, error: codec.CodecError) -> None:
        """Reply to input that cannot be decoded."""
        self.metrics.count(f'malformed.{error.code}', 1)
        fields = {'code': error.code, 'reason': error.reason}
        self.journal.write('message_rejected', fields)
        malformed = Malformed(f'{error.code}: {error.reason}')
        self.listener.reply(request_id, codec.encode(malformed, self.address))

    async def _send_replies(self) -> None:
        """Send the replies of the state machine; a late one is dropped."""
        while True:
            reply: Reply = await self.inbox.get()
            self.deadlines_ms.pop(reply.reply_to, None)
            data = codec.encode(reply.message, self.address)
            if not self.listener.reply(reply.reply_to, data):
                self.metrics.count('late_replies', 1)

    async def _expire_requests(self) -> None:
        """Abandon expired requests at a fixed interval."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire_requests()

    def expire_requests(self) -> None:
        """Abandon the expired requests; deadlines are in the order of arrival."""
        now_ms = self.clock.now_ms()
        while self.deadlines_ms:
            request_id = next(iter(self.deadlines_ms))
            if self.deadlines_ms[request_id] > now_ms:
                return
            del self.deadlines_ms[request_id]
            self.listener.abandon_request(request_id)
            self.metrics.count('unanswered_requests', 1)
