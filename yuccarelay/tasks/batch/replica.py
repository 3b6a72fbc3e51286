"""The task that watches the store and notifies the other tasks of changes."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.configuration_feed import EntryLink
from yuccarelay.core.batch.events import (
    AgentAddressChanged,
    JobAccepted,
    JobCancelled,
    QueueTermsStored,
)
from yuccarelay.core.batch.models import Job, JobRecord
from yuccarelay.core.batch.silence import KnownSilence, receive_silence
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import (
    WATCH_WAIT_MS,
    ChangeFeed,
    Store,
    StoredValue,
    StoreFailure,
    WatchEvent,
)
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox

# The end of a store outage is detected by a retry; only then are ended jobs shown
# and new ones accepted again.
RETRY_S = 0.1
# A read takes one network round trip and, when the store is slow, 0.3 s.
SLOW_READ_S = 0.4
# After a failure an answer without much of a wait shows that the store is back.
PROBE_WAIT_MS = 1
# A watch is answered every second, and up to 0.4 s later between regions or when the
# store is slow. One that is overdue may miss changes: its connection is silent, or
# this process was paused.
WATCH_OVERDUE_MS = 1_500
# Entries that do not plan gather changes for this time before they ask for more. If
# each entry fetched each change at once, the store's calls would grow with entries
# times jobs.
GATHER_S = 0.1
# A key that is absent from a fresh read was deleted while no watch was open, so a
# read has all pages or fails.
READ_PAGES_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class RecordChanged:
    """The record of a job changed."""

    job: str
    record: JobRecord


@dataclass(frozen=True, slots=True)
class JobRemoved:
    """A job was removed from the store."""

    job: str


@dataclass(frozen=True, slots=True)
class JobsListed:
    """A fresh read found exactly these jobs."""

    jobs: frozenset[str]


@dataclass(frozen=True, slots=True)
class PlannerKeyChanged:
    """The planner's key: its revision and its holder, empty if there is none."""

    holder: str
    revision: int


@dataclass(frozen=True, slots=True)
class SilenceChanged:
    """The record of silent agents, with times of this process, and its revision."""

    silence: KnownSilence
    revision: int


@dataclass(frozen=True, slots=True)
class EntryAddressChanged:
    """The address of an entry, empty once it is removed."""

    node: str
    address: str


@dataclass(frozen=True, slots=True)
class EntryLinkChanged:
    """How an entry is connected, without a link once it is removed."""

    node: str
    link: EntryLink | None


@dataclass(frozen=True, slots=True)
class StoreReachability:
    """The store answered a watch or a read, or stopped answering."""

    store_reachable: bool


@dataclass(frozen=True, slots=True)
class ReplicaConfirmed:
    """The replica of the jobs has all changes until `fresh_until_ms`."""

    fresh_until_ms: int


async def read_all(store: Store, prefix: str):
    """Read all pages of a prefix; the revision is that of the first page."""
    values: list[StoredValue] = []
    revision, after = 0, ''
    for _ in range(READ_PAGES_LIMIT):
        match await store.read_prefix(prefix, start_after=after):
            case Ok(page):
                values += page.values
                revision = revision or page.revision
                if not page.more:
                    return Ok((values, revision))
                if not page.values:
                    return Err(StoreFailure('an empty page, but more', ambiguous=False))
                after = page.values[-1].key
            case Err() as failed:
                return failed
    raise RuntimeError(f'{prefix} has more than {READ_PAGES_LIMIT} pages')


class ReplicaTask:
    """
    Watches the project's keys.

    The request handler receives each change before the planner does, so that it
    can resend to a new planner what that planner ignored before its term.
    """

    def __init__(
        self,
        node: str,
        store: ChangeFeed,
        handler: Mailbox,
        planner: Mailbox,
        election: Mailbox,
        configuration: Mailbox,
        clock: Clock,
        journal: Journal,
    ):
        self.node = node
        self.store = store
        self.clock = clock
        self.handler = handler
        self.planner = planner
        self.election = election
        self.configuration = configuration
        self.journal = journal
        self.store_reachable: bool | None = None
        self.failed_calls = 0
        self.planning_node = ''

    async def run(self) -> None:
        """Read the keys, watch them from there, and read them again after a gap."""
        while True:
            match await self._read():
                case Ok((values, revision)):
                    self._report_reachability(True)
                    self._handle_listing(values)
                    await self.follow(revision)
                    self.journal.write('watch_ended', {'prefix': batch_records.ROOT})
                case Err(failure):
                    self._report_reachability(False, failure.reason)
                    await asyncio.sleep(RETRY_S)

    async def follow(self, revision: int) -> None:
        """
        Handle the changes after a revision until the store has dropped its history.

        After an outage the watch goes on where it was. If each entry read everything
        again, their reads would take seconds between regions.
        """
        wait_ms = WATCH_WAIT_MS
        overdue_ms = self.clock.now_ms() + WATCH_OVERDUE_MS
        while True:
            asking = self.store.read_changes(batch_records.ROOT, revision, wait_ms)
            match await asking:
                case Ok(changes):
                    self._report_reachability(True)
                    for event in changes.events:
                        self.handle_change(event)
                    self._confirm(overdue_ms)
                    if changes.events and self._may_gather():
                        await asyncio.sleep(GATHER_S)
                    revision, wait_ms = changes.revision, WATCH_WAIT_MS
                case Err(StoreFailure(refused=True)):
                    return
                case Err(failure):
                    self._report_reachability(False, failure.reason)
                    await asyncio.sleep(RETRY_S)
                    wait_ms = PROBE_WAIT_MS
            overdue_ms = self.clock.now_ms() + WATCH_OVERDUE_MS

    def _may_gather(self) -> bool:
        """Whether changes can wait; a planner needs them at once."""
        return self.planning_node != self.node

    def _confirm(self, overdue_ms: int) -> None:
        """
        Confirm the replica after an answer of the watch that came in time.

        An overdue answer may have waited while this process was paused, so only the
        next one shows that nothing is missing.
        """
        now_ms = self.clock.now_ms()
        if now_ms <= overdue_ms:
            self.handler.put_nowait(ReplicaConfirmed(now_ms + WATCH_OVERDUE_MS))

    async def _read(self):
        """
        Read all keys; report the store as unreachable while a read is slow.

        The replica is stale meanwhile. After the store dropped its history a read
        takes only milliseconds, and requests are still served.
        """
        reading = asyncio.ensure_future(read_all(self.store, batch_records.ROOT))
        try:
            done, _ = await asyncio.wait({reading}, timeout=SLOW_READ_S)
            if not done:
                self.handler.put_nowait(StoreReachability(False))
            return await reading
        finally:
            reading.cancel()

    def _report_reachability(self, store_reachable: bool, reason: str = '') -> None:
        """Notify the request handler, and log changes of the reachability."""
        if self.store_reachable is not store_reachable:
            self.store_reachable = store_reachable
            event = 'store_found' if store_reachable else 'store_lost'
            self.journal.write(
                event,
                {
                    'prefix': batch_records.ROOT,
                    'reason': reason,
                    'failed_calls': self.failed_calls,
                },
            )
        self.failed_calls = 0 if store_reachable else self.failed_calls + 1
        self.handler.put_nowait(StoreReachability(store_reachable))

    def _handle_listing(self, values: list[StoredValue]) -> None:
        """Handle a fresh read; a planner's key that is not in it counts as deleted."""
        found = {value.key for value in values}
        jobs = frozenset(
            key.removeprefix(batch_records.JOBS)
            for key in found
            if key.startswith(batch_records.JOBS)
        )
        self.handler.put_nowait(JobsListed(jobs))
        if batch_records.PLANNER not in found:
            self.election.put_nowait(PlannerKeyChanged('', 0))
        for value in values:
            event = WatchEvent(value.key, value, value.mod_revision)
            self.handle_change(event)

    def handle_change(self, event: WatchEvent) -> None:
        """Decode a change and pass it on; an unexpected error costs only this one."""
        try:
            self._pass_change(event)
        except Exception as error:
            write_failure(self.journal, 'change_failed', error, {'key': event.key})

    def _pass_change(self, event: WatchEvent) -> None:
        key, value = event.key, event.value
        folder, _, name = key.rpartition('/')
        match folder + '/':
            case batch_records.JOBS:
                self._handle_job(name, value)
            case batch_records.RECORDS if value is not None:
                record = batch_records.decode_record(value.value)
                if self._is_readable(key, record):
                    self.handler.put_nowait(RecordChanged(name, record.ok_value))
            case batch_records.CANCELS if value is not None:
                self._notify(JobCancelled(name))
            case batch_records.TERMS if value is not None:
                terms = batch_records.decode_terms(value.value)
                if self._is_readable(key, terms):
                    self._notify(QueueTermsStored(name, terms.ok_value))
            case batch_records.AGENTS if value is not None:
                agent = batch_records.decode_agent(value.value)
                if self._is_readable(key, agent):
                    self._notify(AgentAddressChanged(name, agent.ok_value))
            case batch_records.ENTRIES:
                link = batch_records.decode_entry(name, value.value) if value else None
                address = link.address if link else ''
                self.handler.put_nowait(EntryAddressChanged(name, address))
                self.configuration.put_nowait(EntryLinkChanged(name, link))
            case batch_records.ROOT if key == batch_records.PLANNER:
                holder = value.value.decode(errors='replace') if value else ''
                self.planning_node = holder.split(' ')[0]
                self.election.put_nowait(PlannerKeyChanged(holder, event.revision))
            case batch_records.ROOT if key == batch_records.SILENCE and value:
                record = batch_records.decode_silence(value.value)
                if self._is_readable(key, record):
                    silence = receive_silence(record.ok_value, self.clock.now_ms())
                    change = SilenceChanged(silence, value.mod_revision)
                    self.election.put_nowait(change)

    def _handle_job(self, name: str, value: StoredValue | None) -> None:
        if value is None:
            self.handler.put_nowait(JobRemoved(name))
            return
        job = batch_records.decode_job(value.value)
        if self._is_readable(value.key, job):
            found: Job = job.ok_value
            self._notify(JobAccepted(found))

    def _notify(self, event) -> None:
        self.handler.put_nowait(event)
        self.planner.put_nowait(event)

    def _is_readable(self, key: str, decoded) -> bool:
        match decoded:
            case Err(reason):
                self.journal.write('value_unreadable', {'key': key, 'reason': reason})
                return False
        return True
