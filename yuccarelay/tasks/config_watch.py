"""Watch on the prefix `config/`: manifest, guarantee plan and live entries."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from typing import NamedTuple

from result import Result

from yuccarelay.adapters.records import (
    decode_document,
    decode_entry,
    decode_manifest,
    decode_plan,
)
from yuccarelay.core.events import EntriesSeen, ManifestSeen, PlanSeen
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, FieldError, Manifest
from yuccarelay.core.models import EntryRef
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import Page, StoredValue
from yuccarelay.tasks.breaker import CircuitBreakerStore, jitter
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.registration import ENTRIES_PREFIX

CONFIG_PREFIX = 'config/'
MANIFEST_KEY = 'config/manifest'
PLAN_PREFIX = 'config/plan/'
RECONNECT_FIRST_MS = 250
RECONNECT_LAST_MS = 5_000
OUTAGE_CHECK_S = 60

ManifestCheck = Callable[[object], Result[Manifest, tuple[FieldError, ...]]]


class SeenVersion(NamedTuple):
    """The highest generation or epoch seen, and the revision that holds it."""

    number: int = 0
    mod_revision: int = 0


class ConfigWatch:
    """
    Reports what the store holds under `config/`; part of the store task.

    A manifest or plan older than one already reported is never reported, even if the
    store serves a stale read.
    """

    def __init__(
        self,
        store: CircuitBreakerStore,
        region: str,
        rng: RandomSource,
        state_machine: Mailbox,
        journal: Journal,
        check_manifest: ManifestCheck,
        reconnect_ms: int = RECONNECT_FIRST_MS,
    ) -> None:
        self.store = store
        self.rng = rng
        self.state_machine = state_machine
        self.journal = journal
        self.check_manifest = check_manifest
        self.reconnect_ms = reconnect_ms
        self.manifest = SeenVersion()
        # Each region has its own plan, proposed by the entries that see its workers.
        self.plan_key = PLAN_PREFIX + region
        self.plan = SeenVersion()
        self.revision = 0
        self.entries: dict[str, EntryRef] = {}
        self.announced: tuple[EntryRef, ...] | None = None

    async def run(self) -> None:
        """Read and watch the prefix, anew after each lost watch, until cancelled."""
        mean_ms = self.reconnect_ms
        while True:
            page = await self.store.read_prefix(CONFIG_PREFIX)
            if page.is_ok() and self.apply_page(page.unwrap()):
                mean_ms = self.reconnect_ms
                await self.watch_until_outage()
            await asyncio.sleep(jitter(self.rng, mean_ms))
            mean_ms = min(2 * mean_ms, RECONNECT_LAST_MS)
            while self.store.is_open:
                await self.store.wait_closed(OUTAGE_CHECK_S)

    async def watch_until_outage(self) -> None:
        """
        Apply the changes from the watch until it ends or the breaker opens.

        A watch over a connection that hangs yields nothing, so it is cancelled when
        the breaker opens and opened anew after the outage.
        """
        applying = asyncio.create_task(self.apply_changes())
        outage = asyncio.create_task(self.store.opened.wait())
        tasks = (applying, outage)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        if not applying.cancelled():
            applying.result()

    async def apply_changes(self) -> None:
        """Apply the changes after the revision that was read."""
        watch = self.store.watch(CONFIG_PREFIX, self.revision + 1)
        async with aclosing(watch):
            async for events in watch:
                for event in events:
                    if event.value is None:
                        self.entries.pop(event.key, None)
                    else:
                        self.apply_value(event.value)
                    self.revision = max(self.revision, event.revision)
                self.announce_entries()

    def apply_page(self, page: Page) -> bool:
        """Apply a read of the prefix; false if it is older than what was seen."""
        if page.revision < self.revision:
            fields = {'revision': page.revision, 'seen': self.revision}
            self.journal.write('stale_read_ignored', fields)
            return False
        self.revision = page.revision
        self.entries.clear()
        for value in page.values:
            self.apply_value(value)
        self.announce_entries()
        return True

    def apply_value(self, value: StoredValue) -> None:
        """Apply one value by its key."""
        if value.key == MANIFEST_KEY:
            self.apply_manifest(value)
        elif value.key == self.plan_key:
            self.apply_plan(value)
        elif value.key.startswith(ENTRIES_PREFIX):
            self.apply_entry(value)

    def apply_manifest(self, value: StoredValue) -> None:
        """Report the manifest if its generation is new and its text is valid."""
        decoded = decode_manifest(value.value)
        if decoded.is_err():
            self.report_malformed(value.key, decoded.unwrap_err())
            return
        generation = decoded.unwrap().generation
        if not self.is_new(value, generation, self.manifest):
            return
        self.manifest = SeenVersion(generation, value.mod_revision)
        text = decoded.unwrap().text
        if len(text) > MANIFEST_LIMIT_BYTES:
            self.report_malformed(value.key, f'has {len(text)} bytes')
            return
        document = decode_document(text)
        if document.is_err():
            self.report_malformed(value.key, document.unwrap_err())
            return
        checked = self.check_manifest(document.unwrap())
        if checked.is_err():
            self.report_malformed(value.key, str(checked.unwrap_err()))
            return
        self.state_machine.put_nowait(ManifestSeen(generation, checked.unwrap(), text))

    def apply_plan(self, value: StoredValue) -> None:
        """Report the plan if its epoch is new."""
        decoded = decode_plan(value.value)
        if decoded.is_err():
            self.report_malformed(value.key, decoded.unwrap_err())
            return
        plan = decoded.unwrap()
        if self.is_new(value, plan.epoch, self.plan):
            self.plan = SeenVersion(plan.epoch, value.mod_revision)
            self.state_machine.put_nowait(PlanSeen(plan))

    def apply_entry(self, value: StoredValue) -> None:
        """Record a live entry."""
        decoded = decode_entry(value.value, value.create_revision)
        if decoded.is_err():
            self.report_malformed(value.key, decoded.unwrap_err())
            return
        self.entries[value.key] = decoded.unwrap()

    def is_new(self, value: StoredValue, number: int, seen: SeenVersion) -> bool:
        """Return whether a generation or epoch is the highest so far."""
        if number < seen.number:
            fields = {'key': value.key, 'number': number, 'seen': seen.number}
            self.journal.write('older_value_ignored', fields)
        return number > seen.number

    def announce_entries(self) -> None:
        """Report the live entries if they changed."""
        entries = tuple(sorted(self.entries.values()))
        if entries != self.announced:
            self.announced = entries
            self.state_machine.put_nowait(EntriesSeen(entries))

    def report_malformed(self, key: str, reason: str) -> None:
        """Log a value that cannot be used."""
        self.journal.write('malformed_value', {'key': key, 'reason': reason})
