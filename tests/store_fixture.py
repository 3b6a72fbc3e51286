"""Fixtures of the store tests: a fake clock, the stand-in, a store task."""

import asyncio
import random
import unittest
from collections.abc import Mapping

from result import Err, Ok

from yuccarelay.adapters.etcd import EtcdStore
from yuccarelay.core.events import StoreReplied
from yuccarelay.core.manifest import FieldError, Manifest
from yuccarelay.core.models import EntryRef, JobRecord, JobState
from yuccarelay.standins.etcd_store import EtcdStoreStandin
from yuccarelay.tasks.messages import (
    CommitManifest,
)
from yuccarelay.tasks.store import StoreTask, StoreTimes

SHORT_DEADLINE_MS = 200
TIMES = StoreTimes(keep_alive_ms=5, probe_first_ms=10, reconnect_ms=2)
HANG_GUARD_S = 20  # no assertion; ends a test whose message never arrives


class FakeClock:
    """A clock that moves only when a test sets it."""

    def __init__(self) -> None:
        self.time_ms = 1_000

    def now_ms(self) -> int:
        return self.time_ms


class ListJournal:
    """A journal that records the events written."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        self.events.append(event)


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-in on a free port, and a client."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.standin = EtcdStoreStandin(self.clock)
        self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.store = self.open_store()

    def open_store(self, deadline_ms: int = 5_000) -> EtcdStore:
        store = EtcdStore(self.standin.url, deadline_ms)
        self.addCleanup(store.close)
        return store


def check_manifest(document):
    """Fake check of the manifest: a document with the field `bad` is refused."""
    if 'bad' in document:
        return Err((FieldError('bad', 'must not be there'),))
    return Ok(Manifest((), (document.get('text', ''),), {}))


def make_record(number: int, **fields: object) -> JobRecord:
    record = JobRecord(
        job_id=f'7-{number}',
        organisation='a',
        job_name='n',
        key='',
        owner=7,
        payload=b'x',
        state=JobState.QUEUED,
    )
    return record._replace(**fields)


class StoreTaskCase(StoreCase):
    """Starts a store task and reads what it reports."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.journal = ListJournal()
        self.inbox, self.state_machine, self.front = (asyncio.Queue() for _ in range(3))
        self.running = self.start_store_task(self.inbox, self.state_machine)

    def start_store_task(
        self,
        inbox,
        state_machine,
        deadline_ms=5_000,
        seed=1,
        times=TIMES,
        clock=None,
    ):
        store_task = StoreTask(
            self.open_store(deadline_ms),
            EntryRef(0, 'south', f'tcp://127.0.0.1:{seed}'),
            clock or self.clock,
            random.Random(seed),
            inbox,
            state_machine,
            journal=self.journal,
            check_manifest=check_manifest,
            times=times,
        )
        running = asyncio.create_task(store_task.run())
        self.addAsyncCleanup(self.stop_store_task, running)
        return running

    async def stop_store_task(self, running):
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def expect(self, kind, mailbox=None):
        """Return the next message of a kind and drop those before it."""
        mailbox = mailbox or self.state_machine
        while True:
            message = await asyncio.wait_for(mailbox.get(), HANG_GUARD_S)
            if isinstance(message, kind):
                return message

    async def send_effects(self, *effects):
        """Send effects together and return the results by tag."""
        for effect in effects:
            self.inbox.put_nowait(effect)
        replies = [await self.expect(StoreReplied) for _ in effects]
        return {reply.tag: reply.result for reply in replies}

    async def commit(self, text: bytes, replaces: int):
        self.inbox.put_nowait(CommitManifest(1, text, replaces, self.front))
        return (await asyncio.wait_for(self.front.get(), HANG_GUARD_S)).result

    async def wait_event(self, event: str):
        async with asyncio.timeout(HANG_GUARD_S):
            while event not in self.journal.events:
                await asyncio.sleep(0.001)

    def write_directly(self, key: str, value: bytes):
        """Write past the HTTP server, so that no injected fault affects the write."""
        self.standin.memory.revision += 1
        self.standin.memory.put(key.encode(), value, 0)
        self.standin.notify()

    async def list_keys(self, prefix: str) -> list[str]:
        page = (await self.store.read_prefix(prefix)).unwrap()
        return [value.key for value in page.values]
