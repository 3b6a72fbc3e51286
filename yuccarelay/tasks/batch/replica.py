"""The task that watches the store and notifies the other tasks of changes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.events import (
    AgentAddressChanged,
    Configured,
    JobAccepted,
    JobCancelled,
)
from yuccarelay.core.batch.models import Configuration, Job, JobRecord
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
class EntryAddressChanged:
    """The address of an entry, empty once it is removed."""

    node: str
    address: str


@dataclass(frozen=True, slots=True)
class StoreReachability:
    """The store answered a watch or a read, or stopped answering."""

    store_reachable: bool


@dataclass(frozen=True, slots=True)
class ReplicaConfirmed:
    """The replica of a prefix has all changes until `fresh_until_ms`."""

    prefix: str
    fresh_until_ms: int


class ConfigurationReader:
    """Reads the operators' configuration from the store."""

    def __init__(self, store: Store, key: str, decode: Callable):
        self.store = store
        self.key = key
        self.decode = decode

    async def read(self) -> Result[Configuration, str]:
        """Return the configuration, or the reason why there is none."""
        match await self.store.read(self.key):
            case Ok(None):
                return Err('the store has no configuration')
            case Ok(value):
                return self.decode(value.value)
            case Err(failure):
                return Err(failure.reason)


async def read_all(store: Store, prefix: str):
    """Read all pages of a prefix; the revision is that of the first page."""
    values: list[StoredValue] = []
    revision, after = 0, ''
    for _ in range(READ_PAGES_LIMIT):
        match await store.read_prefix(prefix, start_after=after):
            case Ok(page):
                values += page.values
                revision = revision or page.revision
                if not page.more or not page.values:
                    return Ok((values, revision))
                after = page.values[-1].key
            case Err() as failed:
                return failed
    raise RuntimeError(f'{prefix} has more than {READ_PAGES_LIMIT} pages')


class ReplicaTask:
    """
    Watches the project's keys and the operators' configuration.

    The request handler receives each change before the planner does, so that it
    can resend to a new planner what that planner ignored before its term.
    """

    def __init__(
        self,
        node: str,
        store: ChangeFeed,
        configuration_prefix: str,
        decode_configuration: Callable,
        handler: Mailbox,
        planner: Mailbox,
        election: Mailbox,
        clock: Clock,
        journal: Journal,
    ):
        self.node = node
        self.store = store
        self.clock = clock
        self.configuration_prefix = configuration_prefix
        self.decode_configuration = decode_configuration
        self.handler = handler
        self.planner = planner
        self.election = election
        self.journal = journal
        self.store_reachable: dict[str, bool] = {}
        self.failed_calls: dict[str, int] = {}
        self.planning_node = ''

    async def run(self) -> None:
        """Watch both prefixes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_prefix(self.configuration_prefix))
            group.create_task(self.watch_prefix(batch_records.ROOT))

    async def watch_prefix(self, prefix: str) -> None:
        """Read a prefix, watch it from there, and read it again after a gap."""
        while True:
            match await self._read(prefix):
                case Ok((values, revision)):
                    self._report_reachability(prefix, True)
                    self._handle_listing(prefix, values)
                    await self.follow(prefix, revision)
                    self.journal.write('watch_ended', {'prefix': prefix})
                case Err(failure):
                    self._report_reachability(prefix, False, failure.reason)
                    await asyncio.sleep(RETRY_S)

    async def follow(self, prefix: str, revision: int) -> None:
        """
        Handle the changes after a revision until the store has dropped its history.

        After an outage the watch goes on where it was. If each entry read everything
        again, their reads would take seconds between regions.
        """
        wait_ms = WATCH_WAIT_MS
        overdue_ms = self.clock.now_ms() + WATCH_OVERDUE_MS
        while True:
            match await self.store.read_changes(prefix, revision, wait_ms):
                case Ok(changes):
                    self._report_reachability(prefix, True)
                    for event in changes.events:
                        self.handle_change(event)
                    self._confirm(prefix, overdue_ms)
                    if changes.events and self._may_gather(prefix):
                        await asyncio.sleep(GATHER_S)
                    revision, wait_ms = changes.revision, WATCH_WAIT_MS
                case Err(StoreFailure(refused=True)):
                    return
                case Err(failure):
                    self._report_reachability(prefix, False, failure.reason)
                    await asyncio.sleep(RETRY_S)
                    wait_ms = PROBE_WAIT_MS
            overdue_ms = self.clock.now_ms() + WATCH_OVERDUE_MS

    def _may_gather(self, prefix: str) -> bool:
        """Whether changes of a prefix can wait; a planner needs them at once."""
        return prefix == batch_records.ROOT and self.planning_node != self.node

    def _confirm(self, prefix: str, overdue_ms: int) -> None:
        """
        Confirm the replica after an answer of the watch that came in time.

        An overdue answer may have waited while this process was paused, so only the
        next one shows that nothing is missing.
        """
        now_ms = self.clock.now_ms()
        if now_ms <= overdue_ms:
            self.handler.put_nowait(ReplicaConfirmed(prefix, now_ms + WATCH_OVERDUE_MS))

    async def _read(self, prefix: str):
        """
        Read a prefix; report the store as unreachable while a read is slow.

        The replica is stale meanwhile. After the store dropped its history a read
        takes only milliseconds, and requests are still served.
        """
        reading = asyncio.ensure_future(read_all(self.store, prefix))
        try:
            done, _ = await asyncio.wait({reading}, timeout=SLOW_READ_S)
            if not done:
                self.handler.put_nowait(StoreReachability(False))
            return await reading
        finally:
            reading.cancel()

    def _report_reachability(
        self, prefix: str, store_reachable: bool, reason: str = ''
    ) -> None:
        """Notify the request handler, and log changes of the reachability."""
        failed_calls = self.failed_calls.get(prefix, 0)
        if self.store_reachable.get(prefix) is not store_reachable:
            self.store_reachable[prefix] = store_reachable
            event = 'store_found' if store_reachable else 'store_lost'
            fields = {'prefix': prefix, 'reason': reason, 'failed_calls': failed_calls}
            self.journal.write(event, fields)
        self.failed_calls[prefix] = 0 if store_reachable else failed_calls + 1
        self.handler.put_nowait(StoreReachability(store_reachable))

    def _handle_listing(self, prefix: str, values: list[StoredValue]) -> None:
        """Handle a fresh read; a planner's key that is not in it counts as deleted."""
        if prefix == batch_records.ROOT:
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
            case batch_records.AGENTS if value is not None:
                agent = batch_records.decode_agent(value.value)
                if self._is_readable(key, agent):
                    self._notify(AgentAddressChanged(name, agent.ok_value))
            case batch_records.ENTRIES:
                address = value.value.decode(errors='replace') if value else ''
                self.handler.put_nowait(EntryAddressChanged(name, address))
            case batch_records.ROOT if key == batch_records.PLANNER:
                holder = value.value.decode(errors='replace') if value else ''
                self.planning_node = holder.split(' ')[0]
                self.election.put_nowait(PlannerKeyChanged(holder, event.revision))
            case self.configuration_prefix if value and name == 'config':
                found = self.decode_configuration(value.value)
                if self._is_readable(key, found):
                    self._handle_configuration(found.ok_value)

    def _handle_job(self, name: str, value: StoredValue | None) -> None:
        if value is None:
            self.handler.put_nowait(JobRemoved(name))
            return
        job = batch_records.decode_job(value.value)
        if self._is_readable(value.key, job):
            found: Job = job.ok_value
            self._notify(JobAccepted(found))

    def _handle_configuration(self, configuration: Configuration) -> None:
        self._notify(Configured(configuration))

    def _notify(self, event) -> None:
        self.handler.put_nowait(event)
        self.planner.put_nowait(event)

    def _is_readable(self, key: str, decoded) -> bool:
        match decoded:
            case Err(reason):
                self.journal.write('value_unreadable', {'key': key, 'reason': reason})
                return False
        return True
