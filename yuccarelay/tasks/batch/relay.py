"""
The task by which an entry serves the others.

It makes calls to the store for those that the store rejects, and passes on what they
ask about the configuration.
"""

import asyncio

from result import Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.configuration_feed import ConfigurationQuery
from yuccarelay.core.batch.request_handler import (
    RETRY_AFTER_S,
    NotAccepted,
    Outcome,
    ReadJob,
    StoreCall,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Listener
from yuccarelay.tasks.batch.configuration import ENTRY_WATCH_LIMIT_MS
from yuccarelay.tasks.batch.entry_watches import PeerAsked
from yuccarelay.tasks.batch.request_handler import (
    RELAY_LIMIT_MS,
    RequestHandlerTask,
)
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox


class RelayTask:
    """Makes calls to the store for entries that the store rejects."""

    def __init__(
        self,
        handler: RequestHandlerTask,
        configuration: Mailbox,
        listener: Listener,
        clock: Clock,
        journal: Journal,
    ):
        self.handler = handler
        self.configuration = configuration
        self.listener = listener
        self.clock = clock
        self.journal = journal
        self.calls: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Serve until cancelled, then close the socket."""
        self.listener.start(self._receive)
        try:
            await asyncio.Event().wait()
        finally:
            self.listener.close()

    def _receive(self, request_id: int, data: bytes) -> None:
        task = asyncio.ensure_future(self.serve_safely(request_id, data))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def serve_safely(self, request_id: int, data: bytes) -> None:
        """Serve a call; after an unexpected error it stays without a reply."""
        try:
            await self.serve(request_id, data)
        except Exception as error:
            write_failure(self.journal, 'relayed_call_failed', error)
            self.listener.abandon_request(request_id)

    async def serve(self, request_id: int, data: bytes) -> None:
        """Make a call for another entry and reply."""
        match batch_codec.decode(data):
            case Ok(query) if isinstance(query, ConfigurationQuery):
                await self._ask_configuration(request_id, query)
            case Ok(call) if isinstance(call, StoreCall):
                outcome: Outcome = NotAccepted(RETRY_AFTER_S)
                end = None
                if isinstance(call, ReadJob):
                    end = self.handler.handler.find_end(call)
                if end is not None:
                    # The state of a job that has ended never changes.
                    outcome = end
                elif self.handler.store_reachable:
                    deadline_ms = self.clock.now_ms() + RELAY_LIMIT_MS
                    outcome = await self.handler.call_store(call, deadline_ms)
                fields = {
                    'call': type(call).__name__,
                    'outcome': type(outcome).__name__,
                }
                self.journal.write('call_relayed', fields)
                self.listener.reply(request_id, batch_codec.encode(outcome))
            case _:
                self.listener.abandon_request(request_id)

    async def _ask_configuration(
        self, request_id: int, query: ConfigurationQuery
    ) -> None:
        """Reply with what the configuration's task answers, if it does in time."""
        reply_to = asyncio.get_running_loop().create_future()
        self.configuration.put_nowait(PeerAsked(query, reply_to))
        try:
            async with asyncio.timeout(ENTRY_WATCH_LIMIT_MS / 1000):
                self.listener.reply(request_id, await reply_to)
        except TimeoutError:
            self.listener.abandon_request(request_id)
