"""
Tasks by which entries serve each other while the store rejects some of them.

`RelayTask` makes calls to the store for other entries and sends them the
configuration; `PeerConfigurationTask` requests it.
"""

import asyncio

from result import Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.events import Configured
from yuccarelay.core.batch.models import Configuration
from yuccarelay.core.batch.request_handler import (
    NewerConfiguration,
    NotAccepted,
    Outcome,
    ReadConfiguration,
    ReadJob,
    StoreCall,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Listener
from yuccarelay.tasks.batch.request_handler import (
    RELAY_LIMIT_MS,
    RELAYS_LIMIT,
    RETRY_AFTER_S,
    RequestHandlerTask,
)
from yuccarelay.tasks.failures import write_failure

# The users allow 3 s from a configuration's acknowledgement to its effect.
PEER_CONFIGURATION_S = 0.5


class PeerConfigurationTask:
    """
    Reads newer configurations from other entries while the store is unreachable.

    An entry that the store rejects would otherwise refuse keys that the operators
    have added since, and accept those that they have removed.
    """

    def __init__(self, handler: RequestHandlerTask, journal: Journal):
        self.handler = handler
        self.journal = journal

    async def run(self) -> None:
        """Query other entries while the store is unreachable, until cancelled."""
        while True:
            await asyncio.sleep(PEER_CONFIGURATION_S)
            if not self.handler.store_reachable:
                await self.query_entries()

    async def query_entries(self) -> None:
        """
        Query other entries, and apply the newest configuration that they have.

        An entry that is cut off from the store as well may have an older one. After
        a restart that one would allow keys that have been withdrawn.
        """
        known = self.handler.handler.configuration
        query = ReadConfiguration(known.version if known else 0)
        newest: Configuration | None = None
        for address in self.handler.list_others()[:RELAYS_LIMIT]:
            found = await self.handler.sockets.request(
                address,
                batch_codec.encode(query),
                RELAY_LIMIT_MS,
            )
            match found.and_then(batch_codec.decode):
                case Ok(NewerConfiguration(configuration)):
                    fields = {'version': configuration.version, 'address': address}
                    self.journal.write('configuration_from_entry', fields)
                    if newest is None or configuration.version > newest.version:
                        newest = configuration
        if newest is not None:
            for inbox in (self.handler.inbox, self.handler.planner):
                inbox.put_nowait(Configured(newest))


class RelayTask:
    """Makes calls to the store for entries that the store rejects."""

    def __init__(
        self,
        handler: RequestHandlerTask,
        listener: Listener,
        clock: Clock,
        journal: Journal,
    ):
        self.handler = handler
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
            case Ok(ReadConfiguration() as query):
                answer = self.handler.handler.find_newer_configuration(query)
                self.listener.reply(request_id, batch_codec.encode(answer))
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
