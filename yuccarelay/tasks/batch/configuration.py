"""
The task that keeps the operators' configuration up to date.

It follows another entry where it can, and else the store, and it serves the entries
that follow this one. Both run side by side: the store is asked only if it is due.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.configuration_feed import (
    ConfigurationHistory,
    ConfigurationQuery,
    ConfigurationVersion,
    EntryLink,
    ReadConfiguration,
    SourcePause,
    WatchConfiguration,
    list_sources,
)
from yuccarelay.core.batch.events import Configured
from yuccarelay.core.batch.models import Configuration
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import (
    WATCH_WAIT_MS,
    ChangeFeed,
    StoredValue,
    StoreFailure,
)
from yuccarelay.tasks.batch.entry_watches import EntryWatches, PeerAsked
from yuccarelay.tasks.batch.peers import PeerSockets
from yuccarelay.tasks.batch.replica import (
    WATCH_OVERDUE_MS,
    EntryLinkChanged,
    read_all,
)
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox

# The entry that is followed answers when its own watch does, at least every second, and
# without a wait after 0.3 s.
ENTRY_WATCH_LIMIT_MS = WATCH_WAIT_MS + 600
ENTRY_ANSWER_LIMIT_MS = 600
# The whole configuration of 4,200 queues is 110 kB in this form, 0.2 s of 5 Mbit/s.
ENTRY_READ_LIMIT_MS = 5_000
# Entries tried one after the other before a pause.
SOURCES_LIMIT = 2
# With each entry that ranks before it an entry waits longer before it reads the store,
# so that one does first and the others follow it.
STORE_STEP_MS = 300
STORE_STEPS_LIMIT = 8
RETRY_S = 0.1
# An unexpected error may repeat; a shorter pause would fill the log.
FAILED_RETRY_S = 1.0
# After an answer that took this long to arrive, the newest version is read rather than
# the changes since, each of which would be sent in full.
SLOW_TRANSFER_MS = 300
# A watch that paused for longer goes on with a read, for the same reason.
WATCH_GAP_MS = 2_000


@dataclass(frozen=True, slots=True)
class ConfirmationWanted:
    """Request handler to configuration: find out at once whether there is a newer."""


@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed:
    """Configuration to request handler: its version is the newest until then."""

    fresh_until_ms: int


class ConfigurationTask:
    """Owns the known versions of the configuration, and sockets to other entries."""

    def __init__(
        self,
        own: EntryLink,
        store: ChangeFeed,
        prefix: str,
        decode: Callable[[bytes], Result[Configuration, str]],
        sockets: PeerSockets,
        inbox: Mailbox,
        handler: Mailbox,
        planner: Mailbox,
        clock: Clock,
        journal: Journal,
    ):
        self.own = own
        self.store = store
        self.prefix = prefix
        self.decode = decode
        self.sockets = sockets
        self.inbox = inbox
        self.handler = handler
        self.planner = planner
        self.clock = clock
        self.journal = journal
        self.history = ConfigurationHistory()
        self.entries: dict[str, EntryLink] = {}
        self.pauses: dict[str, SourcePause] = {}
        self.source = ''
        # Until when the version is known to be the newest, from entries and the store.
        self.entry_fresh_until_ms = 0
        self.store_fresh_until_ms = 0
        self.via: tuple[str, ...] = ()
        self.wanted = asyncio.Event()
        self.watches = EntryWatches(self._describe_version)
        self.revision = 0
        self.revision_seen_ms = 0

    async def run(self) -> None:
        """Follow the configuration and serve other entries until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._serve())
                group.create_task(self._repeat(self._follow_entries))
                group.create_task(self._repeat(self._follow_store))
        finally:
            self.sockets.close()

    async def _serve(self) -> None:
        while True:
            self.take(await self.inbox.get())

    async def _repeat(self, follow: Callable[[], Awaitable[bool]]) -> None:
        """Call a function again and again, with a pause when it confirmed nothing."""
        while True:
            try:
                if not await follow():
                    await asyncio.sleep(RETRY_S)
            except Exception as error:
                write_failure(self.journal, 'configuration_failed', error)
                await asyncio.sleep(FAILED_RETRY_S)

    def take(self, message) -> None:
        """Handle one message."""
        match message:
            case EntryLinkChanged(node, None):
                self.entries.pop(node, None)
            case EntryLinkChanged(node, link) if node == self.own.node:
                # The others rank this entry by what it has stored.
                self.own = link
            case EntryLinkChanged(node, link):
                self.entries[node] = link
                self.pauses.pop(node, None)
            case ConfirmationWanted():
                self.wanted.set()
            case PeerAsked(ReadConfiguration()):
                self.watches.send_newer(message, self.history)
            case PeerAsked(WatchConfiguration(waits=waits)):
                if not waits and not self.is_fresh():
                    self.wanted.set()
                self.watches.add(message)

    @property
    def fresh_until_ms(self) -> int:
        """Until when this version is known to be the newest."""
        return max(self.entry_fresh_until_ms, self.store_fresh_until_ms)

    def is_fresh(self) -> bool:
        """Whether this version is known to be the newest."""
        return self.clock.now_ms() <= self.fresh_until_ms

    def _describe_version(self) -> ConfigurationVersion:
        """Return what other entries are told about this version."""
        fresh_for_ms = max(0, self.fresh_until_ms - self.clock.now_ms())
        is_from_store = self.store_fresh_until_ms >= self.entry_fresh_until_ms
        via = () if is_from_store else self.via
        return ConfigurationVersion(self.history.version, fresh_for_ms, via)

    def _list_entries(self) -> list[EntryLink]:
        """Return the entries to ask now."""
        now_ms = self.clock.now_ms()
        sources = list_sources(self.own, self.entries)
        links = sources.before
        if now_ms > self.store_fresh_until_ms:
            links += sources.after
        found = [
            link
            for link in links
            if link.node not in self.pauses
            or self.pauses[link.node].retry_at_ms <= now_ms
        ]
        return found[:SOURCES_LIMIT]

    async def _follow_entries(self) -> bool:
        """
        Return whether another entry has confirmed the newest version.

        Of entries that do not know whether theirs is the newest, the one with the
        highest version counts: the other may have been cut off for longer, and after a
        restart its version would allow keys that have been withdrawn.
        """
        doubtful: list[tuple[int, EntryLink]] = []
        for link in self._list_entries():
            answer = await self._watch_entry(link)
            received_ms = self.clock.now_ms()
            if answer is not None and answer.fresh_for_ms:
                if await self._read_entry(link, answer.version):
                    self._confirm_from_entry(link, answer, received_ms)
                    return True
                answer = None
            pause = self.pauses.setdefault(link.node, SourcePause())
            pause.extend(self.clock.now_ms(), is_silent=answer is None)
            if answer is not None:
                doubtful.append((answer.version, link))
        if doubtful:
            version, link = max(doubtful, key=lambda pair: pair[0])
            await self._read_entry(link, version)
        return False

    async def _watch_entry(self, link: EntryLink) -> ConfigurationVersion | None:
        """
        Wait for a newer version of another entry, or for its confirmation.

        Returns the answer, as one that confirms nothing if it cannot be relied on, or
        None if there is none.
        """
        waits = self.is_fresh() and link.node not in self.pauses
        limit_ms = ENTRY_WATCH_LIMIT_MS if waits else ENTRY_ANSWER_LIMIT_MS
        sent_ms = self.clock.now_ms()
        watch = WatchConfiguration(self.history.version, waits)
        answer = await self._ask(link, watch, limit_ms, can_abandon=waits)
        if not isinstance(answer, ConfigurationVersion):
            return None
        is_overdue = self.clock.now_ms() > sent_ms + limit_ms
        if is_overdue or self.own.node in answer.via:
            # An overdue answer may have waited while this process was paused.
            return replace(answer, fresh_for_ms=0)
        return answer

    async def _read_entry(self, link: EntryLink, version: int) -> bool:
        """Read a version from another entry if it is newer; whether it is here now."""
        if version <= self.history.version:
            return True
        read = ReadConfiguration(self.history.version)
        answer = await self._ask(link, read, ENTRY_READ_LIMIT_MS)
        configuration = self.history.apply(answer)
        if configuration is None:
            # It may have come from the store meanwhile.
            return version <= self.history.version
        fields = {'version': configuration.version, 'address': link.address}
        self.journal.write('configuration_from_entry', fields)
        self._announce(configuration)
        return True

    def _confirm_from_entry(
        self, link: EntryLink, answer: ConfigurationVersion, received_ms: int
    ) -> None:
        """Note until when another entry knows that there is no newer version."""
        fresh_for_ms = min(answer.fresh_for_ms, WATCH_OVERDUE_MS)
        self.entry_fresh_until_ms = received_ms + fresh_for_ms
        self.via = (link.node, *answer.via)
        self.pauses.pop(link.node, None)
        self._note_source(link.node)
        self._confirm()

    async def _ask(
        self,
        link: EntryLink,
        query: ConfigurationQuery,
        limit_ms: int,
        can_abandon: bool = False,
    ):
        """
        Return another entry's answer, or None without one.

        With `can_abandon` it is given up once a request waits for a confirmation that
        is overdue: the other entry may be gone.
        """
        asking = asyncio.ensure_future(
            self.sockets.request(link.address, batch_codec.encode(query), limit_ms)
        )
        waits = {asking}
        if can_abandon:
            waits.add(asyncio.ensure_future(self._await_overdue()))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if not asking.done():
                return None
            return asking.result().and_then(batch_codec.decode).unwrap_or(None)
        finally:
            for task in waits:
                task.cancel()

    async def _await_overdue(self) -> None:
        """Return once a confirmation is wanted while this version may be old."""
        while True:
            await self.wanted.wait()
            if not self.is_fresh():
                return
            self.wanted.clear()

    def _is_store_due(self) -> bool:
        """Whether no entry confirms the version, for as long as this one waits."""
        steps = len(list_sources(self.own, self.entries).before)
        if not steps:
            return True
        wait_ms = STORE_STEP_MS * min(steps, STORE_STEPS_LIMIT)
        return self.clock.now_ms() > self.entry_fresh_until_ms + wait_ms

    async def _follow_store(self) -> bool:
        """Read the configuration from the store, or watch it, if no entry has it."""
        if not self._is_store_due():
            return False
        if self.clock.now_ms() > self.revision_seen_ms + WATCH_GAP_MS:
            self.revision = 0
        asking = self._watch_store() if self.revision else self._read_store()
        match await asking:
            case Ok(revision):
                self.revision = revision
                self.revision_seen_ms = self.clock.now_ms()
                self._note_source('store')
                return True
            case Err(StoreFailure(refused=True)) if self.revision:
                # The store has dropped the history from there on.
                self.revision = 0
                return True
            case Err(failure):
                self._note_source('none', failure.reason)
                return False

    async def _read_store(self) -> Result[int, StoreFailure]:
        """
        Read the newest version; return the revision to watch from.

        It is 0 after a slow transfer of a new version, because of changes that may have
        been made meanwhile: the watch would send each of them in full.
        """
        sent_ms = self.clock.now_ms()
        known = self.history.version
        found = await read_all(self.store, self.prefix)
        match found:
            case Ok((values, revision)):
                self._apply_values(values)
                self._confirm_from_store(sent_ms)
                is_slow = self.clock.now_ms() > sent_ms + SLOW_TRANSFER_MS
                is_changed = known not in (0, self.history.version)
                return Ok(0 if is_slow and is_changed else revision)
        return found

    async def _watch_store(self) -> Result[int, StoreFailure]:
        """Wait for changes; return the revision to watch from, 0 as for a read."""
        overdue_ms = self.clock.now_ms() + WATCH_OVERDUE_MS
        wait_ms = WATCH_WAIT_MS if self.is_fresh() else 1
        found = await self.store.read_changes(self.prefix, self.revision, wait_ms)
        match found:
            case Ok(changes):
                events = [event.value for event in changes.events if event.value]
                self._apply_values(events)
                answered_ms = self.clock.now_ms() - changes.transfer_ms
                # An overdue answer may have waited while this process was paused.
                if answered_ms <= overdue_ms:
                    self._confirm_from_store(answered_ms)
                is_slow = changes.transfer_ms > SLOW_TRANSFER_MS
                return Ok(0 if is_slow else changes.revision)
        return found

    def _apply_values(self, values: list[StoredValue]) -> None:
        """Apply the newest version among values of the store."""
        newest: Configuration | None = None
        for value in values:
            if value.key != self.prefix + 'config':
                continue
            match self.decode(value.value):
                case Ok(found) if newest is None or found.version > newest.version:
                    newest = found
                case Err(reason):
                    fields = {'key': value.key, 'reason': reason}
                    self.journal.write('value_unreadable', fields)
        if newest is not None and self.history.put(newest):
            self._announce(newest)

    def _announce(self, configuration: Configuration) -> None:
        """Send a new version to the other tasks."""
        for inbox in (self.handler, self.planner):
            inbox.put_nowait(Configured(configuration))

    def _confirm_from_store(self, answered_ms: int) -> None:
        """Note that the store had no newer version at that time."""
        fresh_until_ms = answered_ms + WATCH_OVERDUE_MS
        self.store_fresh_until_ms = max(self.store_fresh_until_ms, fresh_until_ms)
        self._confirm()

    def _confirm(self) -> None:
        """Tell the other tasks and entries until when this version is the newest."""
        self.handler.put_nowait(ConfigurationConfirmed(self.fresh_until_ms))
        if self.is_fresh():
            self.wanted.clear()
        self.watches.answer()

    def _note_source(self, source: str, reason: str = '') -> None:
        """Log where the configuration comes from when that changes."""
        if source != self.source:
            self.source = source
            fields = {'source': source, 'reason': reason}
            self.journal.write('configuration_source', fields)
