"""The tasks that store where a process listens."""

import asyncio

from result import Err, Ok

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.configuration_feed import EntryLink
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import Put, Store

RETRY_S = 0.5


class RegisterTask:
    """Stores the address of a process under its key, so that others find it."""

    def __init__(self, key: str, value: bytes, store: Store, journal: Journal):
        self.key = key
        self.value = value
        self.store = store
        self.journal = journal

    async def run(self) -> None:
        """Store the address, then wait until cancelled."""
        put = Put(self.key, self.value)
        failing = False
        while True:
            match await self.store.transact((), (put,)):
                case Ok():
                    break
                case Err(failure):
                    if not failing:
                        fields = {'key': self.key, 'reason': failure.reason}
                        self.journal.write('address_not_stored', fields)
                    failing = True
            await asyncio.sleep(RETRY_S)
        fields = {'key': self.key, 'value': self.value.decode()}
        self.journal.write('address_stored', fields)
        await asyncio.Event().wait()


class EntryRegisterTask:
    """Stores the address of an entry, and how far it is from the store."""

    def __init__(
        self,
        link: EntryLink,
        store: Store,
        clock: Clock,
        journal: Journal,
    ):
        self.link = link
        self.store = store
        self.clock = clock
        self.journal = journal

    async def run(self) -> None:
        """Measure a call to the store, store the address, and wait until cancelled."""
        key = batch_records.ENTRIES + self.link.node
        while True:
            sent_ms = self.clock.now_ms()
            if (await self.store.read(key)).is_ok():
                break
            await asyncio.sleep(RETRY_S)
        round_trip_ms = self.clock.now_ms() - sent_ms
        value = batch_records.encode_entry(
            self.link._replace(round_trip_ms=round_trip_ms)
        )
        await RegisterTask(key, value, self.store, self.journal).run()
