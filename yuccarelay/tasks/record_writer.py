"""
Group commit of job records.

While one transaction is under way, further writes wait and go into the next one
together. Each value carries a token of its writer, so a transaction whose answer
was lost is settled by sending it again: either its guards hold and it takes
effect now, or the values that the store returns show whose write did.
"""

import asyncio
from typing import NamedTuple

from yuccarelay.adapters.records import (
    JobValue,
    KeyValue,
    decode_job,
    decode_key,
    encode_job,
    encode_key,
)
from yuccarelay.core.events import (
    Conflict,
    KeyTaken,
    Missing,
    Stored,
    StoreReplied,
    StoreResult,
    Unavailable,
)
from yuccarelay.core.models import JobRecord, JobState
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import (
    VALUE_LIMIT_BYTES,
    Guard,
    Put,
    StoredValue,
    TransactionResult,
)
from yuccarelay.tasks.breaker import CircuitBreakerStore, jitter
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.record_retention import RecordRetention
from yuccarelay.tasks.registration import make_token

JOBS_PREFIX = 'jobs/'
KEYS_PREFIX = 'keys/'
# The service takes 128 operations in a transaction; a write needs up to two. It
# takes requests of 1.5 MB, and base64 adds a third.
GROUP_LIMIT = 32
GROUP_LIMIT_BYTES = VALUE_LIMIT_BYTES
# A lost answer is settled within this time of the first attempt, or not at all.
SETTLE_MS = 8_000
SETTLE_PAUSE_MS = 200


class Write(NamedTuple):
    """A record to be written; `revision` is 0 for a new one."""

    tag: str
    record: JobRecord
    revision: int
    token: str
    value: bytes
    settle_deadline_ms: int

    @property
    def job_key(self) -> str:
        """Key of the record."""
        return JOBS_PREFIX + self.record.job_id

    @property
    def binding_key(self) -> str:
        """Key of the idempotency key's binding, or nothing."""
        if not self.record.key:
            return ''
        return f'{KEYS_PREFIX}{self.record.organisation}/{self.record.key}'

    @property
    def touched(self) -> set[str]:
        """Keys that the write may put."""
        return {self.job_key, self.binding_key} - {''}

    @property
    def ended(self) -> bool:
        """Whether the record is kept only for a while."""
        return self.record.state is JobState.ENDED


def make_guards(write: Write) -> list[Guard]:
    """Return the conditions of a write."""
    guards = [Guard(write.job_key, write.revision)]
    if write.revision == 0 and write.binding_key:
        guards.append(Guard(write.binding_key, 0))
    return guards


def make_puts(write: Write, lease: int) -> list[Put]:
    """Return the values of a write; the key's binding goes when its record does."""
    lease = lease if write.ended else 0
    puts = [Put(write.job_key, write.value, lease)]
    if write.binding_key and (write.revision == 0 or write.ended):
        binding = encode_key(KeyValue(write.record.job_id))
        puts.append(Put(write.binding_key, binding, lease))
    return puts


def find_write_result(
    write: Write, current: dict[str, StoredValue]
) -> StoreResult | None:
    """Return the end of a write by what the store holds; None if it may go on."""
    stored = current.get(write.job_key)
    if stored is not None:
        decoded = decode_job(stored.value)
        if decoded.is_err():
            return Unavailable(ambiguous=False)
        if decoded.unwrap().writer == write.token:
            return Stored(stored.mod_revision)
    if write.revision == 0 and write.binding_key in current:
        binding = decode_key(current[write.binding_key].value)
        if binding.is_err():
            return Unavailable(ambiguous=False)
        bound = binding.unwrap().job_id
        if bound != write.record.job_id or stored is None:
            return KeyTaken(bound)
    if stored is None:
        return Missing() if write.revision else None
    if stored.mod_revision == write.revision:
        return None
    return Conflict(decoded.unwrap().record, stored.mod_revision)


class RecordWriter:
    """Writes job records in groups; part of the store keeper."""

    def __init__(
        self,
        store: CircuitBreakerStore,
        clock: Clock,
        rng: RandomSource,
        state_machine: Mailbox,
        journal: Journal,
        settle_ms: int = SETTLE_MS,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.state_machine = state_machine
        self.journal = journal
        self.settle_ms = settle_ms
        self.retention = RecordRetention(store, clock)
        self.waiting: asyncio.Queue[Write] = asyncio.Queue()
        self.held: list[Write] = []

    def add(self, tag: str, record: JobRecord, revision: int) -> None:
        """Queue a write; a record over the limit is refused at once."""
        token = make_token(self.rng)
        write = Write(
            tag=tag,
            record=record,
            revision=revision,
            token=token,
            value=encode_job(JobValue(token, record)),
            settle_deadline_ms=self.clock.now_ms() + self.settle_ms,
        )
        if len(write.value) > VALUE_LIMIT_BYTES:
            self.journal.write('record_too_large', {'job_id': record.job_id})
            self.reply(write, Unavailable(ambiguous=False))
            return
        self.waiting.put_nowait(write)

    async def run(self) -> None:
        """Write group after group until cancelled."""
        async with asyncio.TaskGroup() as settling:
            while True:
                group = await self.take_group()
                group, lease = await self.add_lease(group)
                if unresolved := await self.commit(group, lease):
                    # Other writes need not wait for the end of the doubt.
                    settling.create_task(self.settle(unresolved, lease))

    async def take_group(self) -> list[Write]:
        """Wait for writes and return as many as fit into one transaction."""
        candidates, self.held = self.held, []
        if not candidates:
            candidates.append(await self.waiting.get())
        while not self.waiting.empty():
            candidates.append(self.waiting.get_nowait())
        group: list[Write] = []
        touched: set[str] = set()
        size = 0
        for write in candidates:
            size += len(write.value)
            full = len(group) == GROUP_LIMIT or (group and size > GROUP_LIMIT_BYTES)
            # The service refuses a transaction that writes a key twice. A write of
            # a key stays behind the earlier writes of it.
            if full or touched & write.touched:
                self.held.append(write)
            else:
                group.append(write)
            touched |= write.touched
        return group

    async def add_lease(self, group: list[Write]) -> tuple[list[Write], int]:
        """Return the writes that can go on, and the lease for ended records."""
        if not any(write.ended for write in group):
            return group, 0
        lease = await self.retention.find_lease()
        if lease.is_ok():
            return group, lease.unwrap()
        for write in group:
            if write.ended:
                self.reply(write, Unavailable(ambiguous=False))
        return [write for write in group if not write.ended], 0

    async def commit(
        self,
        group: list[Write],
        lease: int,
        outcome_unknown: bool = False,
    ) -> list[Write]:
        """
        Write a group, answer its writes, and return those that are in doubt.

        A group of which some guard failed is written again without the writes
        that this answers, so each round ends at least one write. `outcome_unknown` says
        that the writes were sent before and may have taken effect.
        """
        while group:
            guards = [guard for write in group for guard in make_guards(write)]
            puts = [put for write in group for put in make_puts(write, lease)]
            result = await self.store.transact(tuple(guards), tuple(puts))
            if result.is_ok():
                group = self.answer(group, result.unwrap())
                continue
            failure = result.unwrap_err()
            if failure.refused:
                return await self.commit_singly(group, lease, outcome_unknown)
            if failure.ambiguous or outcome_unknown:
                return group
            self.reply_all(group, Unavailable(ambiguous=False))
            return []
        return []

    def answer(self, group: list[Write], done: TransactionResult) -> list[Write]:
        """Answer the writes whose end is known and return the others."""
        if done.succeeded:
            for write in group:
                self.reply(write, Stored(done.revision))
            return []
        current = {value.key: value for value in done.current}
        open_writes = []
        for write in group:
            result = find_write_result(write, current)
            if result is None:
                open_writes.append(write)
            else:
                self.reply(write, result)
        return open_writes

    async def commit_singly(
        self,
        group: list[Write],
        lease: int,
        outcome_unknown: bool,
    ) -> list[Write]:
        """Write the members of a refused group singly; return those in doubt."""
        if lease:
            self.retention.discard_lease()
        if len(group) == 1:
            self.reply(group[0], Unavailable(ambiguous=outcome_unknown))
            return []
        unresolved = []
        for write in group:
            single, new_lease = await self.add_lease([write])
            unresolved += await self.commit(single, new_lease, outcome_unknown)
        return unresolved

    async def settle(self, group: list[Write], lease: int) -> None:
        """Repeat writes whose answer was lost until their end is known."""
        deadline_ms = min(write.settle_deadline_ms for write in group)
        while group and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(jitter(self.rng, SETTLE_PAUSE_MS))
            await self.store.wait_closed((deadline_ms - self.clock.now_ms()) / 1000)
            group = await self.commit(group, lease, outcome_unknown=True)
        self.reply_all(group, Unavailable(ambiguous=True))

    def reply_all(self, group: list[Write], result: StoreResult) -> None:
        """Tell the state machine the common end of some writes."""
        for write in group:
            self.reply(write, result)

    def reply(self, write: Write, result: StoreResult) -> None:
        """Tell the state machine the end of a write."""
        self.state_machine.put_nowait(StoreReplied(write.tag, result))
