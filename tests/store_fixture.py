"""Parts that the store tests share: a clock to set, a journal, the stand-in."""

import unittest
from collections.abc import Mapping

from yuccarelay.adapters.etcd import EtcdStore
from yuccarelay.standins.store import StoreStandin

SHORT_DEADLINE_MS = 200


class FakeClock:
    """A clock that moves only when a test sets it."""

    def __init__(self) -> None:
        self.time_ms = 1_000

    def now_ms(self) -> int:
        return self.time_ms


class ListJournal:
    """Keeps the events that were written."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        self.events.append(event)


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-in on a port of the system's choice, and a client."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.standin = StoreStandin(self.clock)
        self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.store = self.open_store()

    def open_store(self, deadline_ms: int = 5_000) -> EtcdStore:
        store = EtcdStore(self.standin.url, deadline_ms)
        self.addCleanup(store.close)
        return store
