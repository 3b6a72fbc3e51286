"""
The store task: the only task of an entry that accesses the store.

It carries out the store effects of the state machine and the commits of the front
end, maintains the registration, and reports changes of the configuration.
"""

import asyncio
from typing import NamedTuple

from yuccarelay.adapters.records import decode_job, encode_plan
from yuccarelay.core.effects import (
    CreateRecord,
    Deregister,
    LoadOpenRecords,
    LoadRecord,
    ProposePlan,
    ReplaceRecord,
)
from yuccarelay.core.events import (
    Loaded,
    LoadedMany,
    Missing,
    StoreHealthChanged,
    StoreReplied,
    StoreResult,
    Unavailable,
)
from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.models import EntryRef, JobState
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import Guard, Put, Store, StoredValue
from yuccarelay.tasks import breaker, config_watch, record_writer, registration
from yuccarelay.tasks.breaker import CircuitBreakerStore
from yuccarelay.tasks.config_watch import ConfigWatch, ManifestCheck
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.manifest_commit import ManifestCommitter
from yuccarelay.tasks.messages import (
    CommitManifest,
    CommitReplied,
)
from yuccarelay.tasks.record_writer import JOBS_PREFIX, RecordWriter
from yuccarelay.tasks.registration import Registration

# Records may be up to 1 MB long, so a page that fails is requested again with half
# the number of records.
PAGE_LIMIT = 40


class StoreTimes(NamedTuple):
    """Times of the store task; tests shorten them."""

    lease_s: int = registration.LEASE_S
    keep_alive_ms: int = registration.KEEP_ALIVE_MS
    probe_first_ms: int = breaker.PROBE_FIRST_MS
    reconnect_ms: int = config_watch.RECONNECT_FIRST_MS
    settle_ms: int = record_writer.SETTLE_MS


class StoreTask:
    """
    Reads store effects and `CommitManifest` from `inbox`, reports to `state_machine`.

    `StoreHealthChanged` is also put into `front` if it is given. `entry` is the entry
    to register; its incarnation is not used.
    """

    def __init__(
        self,
        store: Store,
        entry: EntryRef,
        clock: Clock,
        rng: RandomSource,
        inbox: Mailbox,
        state_machine: Mailbox,
        front: Mailbox | None = None,
        *,
        journal: Journal,
        check_manifest: ManifestCheck | None = None,
        times: StoreTimes = StoreTimes(),  # noqa: B008 an immutable tuple
    ) -> None:
        if check_manifest is None:
            from yuccarelay.core.manifest import check_manifest
        self.inbox = inbox
        self.state_machine = state_machine
        self.front = front
        self.journal = journal
        self.store = CircuitBreakerStore(
            store, rng, self.report_health, times.probe_first_ms
        )
        self.registration = Registration(
            self.store,
            entry,
            clock,
            rng,
            state_machine,
            journal,
            lease_s=times.lease_s,
            keep_alive_ms=times.keep_alive_ms,
        )
        self.config = ConfigWatch(
            self.store,
            entry.region,
            rng,
            state_machine,
            journal,
            check_manifest,
            reconnect_ms=times.reconnect_ms,
        )
        self.writer = RecordWriter(
            self.store,
            clock,
            rng,
            state_machine,
            journal,
            settle_ms=times.settle_ms,
        )
        self.committer = ManifestCommitter(
            self.store,
            clock,
            rng,
            self.config,
            settle_ms=times.settle_ms,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with asyncio.TaskGroup() as parts:
            parts.create_task(self.store.run())
            parts.create_task(self.registration.run())
            parts.create_task(self.config.run())
            parts.create_task(self.writer.run())
            while True:
                self.handle_message(await self.inbox.get(), parts)

    def handle_message(self, message: object, parts: asyncio.TaskGroup) -> None:
        """Start the operation of a message without waiting for the store."""
        match message:
            case CreateRecord(tag, record):
                self.writer.add(tag, record, revision=0)
            case ReplaceRecord(tag, record, revision):
                self.writer.add(tag, record, revision)
            case LoadRecord(tag, job_id):
                parts.create_task(self.load(tag, job_id))
            case LoadOpenRecords(tag):
                parts.create_task(self.load_open(tag))
            case ProposePlan(plan):
                parts.create_task(self.propose(plan))
            case CommitManifest():
                parts.create_task(self.commit(message))
            case Deregister():
                self.registration.deregister()
            case _:
                raise TypeError(f'not a message for the store task: {message!r}')

    def report_health(self, up: bool) -> None:
        """Report to the other tasks whether the store is reachable."""
        self.journal.write('store_health_changed', {'up': up})
        self.state_machine.put_nowait(StoreHealthChanged(up))
        if self.front is not None:
            self.front.put_nowait(StoreHealthChanged(up))

    def reply(self, tag: str, result: StoreResult) -> None:
        """Report the result of a read to the state machine."""
        self.state_machine.put_nowait(StoreReplied(tag, result))

    def decode(self, stored: StoredValue) -> Loaded | None:
        """Return a stored record, or None after logging a malformed one."""
        decoded = decode_job(stored.value)
        if decoded.is_err():
            self.config.report_malformed(stored.key, decoded.unwrap_err())
            return None
        return Loaded(decoded.unwrap().record, stored.mod_revision)

    async def load(self, tag: str, job_id: str) -> None:
        """Read one record."""
        read = await self.store.read(JOBS_PREFIX + job_id)
        if read.is_err():
            self.reply(tag, Unavailable(ambiguous=False))
            return
        stored = read.unwrap()
        if stored is None:
            self.reply(tag, Missing())
            return
        self.reply(tag, self.decode(stored) or Unavailable(ambiguous=False))

    async def load_open(self, tag: str) -> None:
        """Read all records page by page and report those that have not ended."""
        records: list[Loaded] = []
        last, more, limit = '', True, PAGE_LIMIT
        while more:
            read = await self.store.read_prefix(
                JOBS_PREFIX,
                start_after=last,
                limit=limit,
            )
            if read.is_err():
                if limit == 1 or self.store.is_open:
                    self.reply(tag, Unavailable(ambiguous=False))
                    return
                limit //= 2
                continue
            page = read.unwrap()
            found = [self.decode(stored) for stored in page.values]
            records += [
                loaded
                for loaded in found
                if loaded is not None and loaded.record.state is not JobState.ENDED
            ]
            more = page.more and bool(page.values)
            last = page.values[-1].key if page.values else last
        self.reply(tag, LoadedMany(tuple(records)))

    async def propose(self, plan: Plan) -> None:
        """
        Write a plan if its epoch follows that of the last plan seen.

        The result is not reported: the watch delivers whichever plan is in the store,
        also when the reply to this write is lost.
        """
        seen = self.config.plan
        fields = {'epoch': plan.epoch, 'seen': seen.number}
        if plan.epoch != seen.number + 1:
            self.journal.write('plan_outdated', fields)
            return
        guard = Guard(self.config.plan_key, seen.mod_revision)
        write = Put(self.config.plan_key, encode_plan(plan))
        result = await self.store.transact((guard,), (write,))
        if result.is_err():
            reason = result.unwrap_err().reason
            self.journal.write('plan_not_written', fields | {'reason': reason})
        elif not result.unwrap().succeeded:
            self.journal.write('plan_outdated', fields)

    async def commit(self, request: CommitManifest) -> None:
        """Commit a manifest and reply to the front end."""
        result = await self.committer.commit(request)
        request.reply_to.put_nowait(CommitReplied(request.request_id, result))
