"""
Group commit of job records.

While one transaction is in flight, further writes wait and go into the next one
together. Each value carries a token of its write. A transaction whose reply was lost
is settled by sending it again: either its guards hold and it takes effect now, or
the values that the store returns show which write took effect.
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
# The store accepts 128 operations in a transaction; a write needs up to two. It
# accepts requests of 1.5 MB, and base64 adds a third.
GROUP_LIMIT = 32
GROUP_LIMIT_BYTES = VALUE_LIMIT_BYTES
# Time from the queueing of a write within which a lost reply is settled; after it the
# outcome is reported as unknown.
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
        """Key of the idempotency key's binding, or an empty string."""
        if not self.record.key:
            return ''
        return f'{KEYS_PREFIX}{self.record.organisation}/{self.record.key}'

    @property
    def touched(self) -> set[str]:
        """Keys that the transaction of the write may put."""
        return {self.job_key, self.binding_key} - {''}

    @property
    def ended(self) -> bool:
        """Whether the record is of an ended job, which is retained under a lease."""
        return self.record.state is JobState.ENDED


def make_guards(write: Write) -> list[Guard]:
    """Return the conditions of a write."""
    guards = [Guard(write.job_key, write.revision)]
    if write.revision == 0 and write.binding_key:
        guards.append(Guard(write.binding_key, 0))
    return guards


def make_puts(write: Write, lease: int) -> list[Put]:
    """Return the puts of a write; a binding expires together with its record."""
    lease = lease if write.ended else 0
    puts = [Put(write.job_key, write.value, lease)]
    if write.binding_key and (write.revision == 0 or write.ended):
        binding = encode_key(KeyValue(write.record.job_id))
        puts.append(Put(write.binding_key, binding, lease))
    return puts


def find_write_result(
    write: Write, current: dict[str, StoredValue]
) -> StoreResult | None:
    """Return the result of a write from the stored values; None if still open."""
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
        bound_job_id = binding.unwrap().job_id
        if bound_job_id != write.record.job_id or stored is None:
            return KeyTaken(bound_job_id)
    if stored is None:
        return Missing() if write.revision else None
    if stored.mod_revision == write.revision:
        return None
    return Conflict(decoded.unwrap().record, stored.mod_revision)


class RecordWriter:
    """Writes job records in groups; part of the store task."""

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
                    # Other writes need not wait until the outcome of these is known.
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
            # The store refuses a transaction that writes a key twice. A write stays
            # behind the earlier writes of the same key.
            if full or touched & write.touched:
                self.held.append(write)
            else:
                group.append(write)
            touched |= write.touched
        return group

    async def add_lease(self, group: list[Write]) -> tuple[list[Write], int]:
        """Return the writes that can proceed, and the lease for ended records."""
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
        Write a group, answer its writes, and return those of unknown outcome.

        If a guard fails, the writes that this decides are answered and the rest is
        written again, so each round answers at least one write. `outcome_unknown`
        is true if the writes were sent before and may have taken effect.
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
        """Answer the writes whose outcome is known and return the others."""
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
        """Write a refused group one by one; return the writes of unknown outcome."""
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
        """Retry writes whose reply was lost until their outcome is known."""
        deadline_ms = min(write.settle_deadline_ms for write in group)
        while group and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(jitter(self.rng, SETTLE_PAUSE_MS))
            await self.store.wait_closed((deadline_ms - self.clock.now_ms()) / 1000)
            group = await self.commit(group, lease, outcome_unknown=True)
        self.reply_all(group, Unavailable(ambiguous=True))

    def reply_all(self, group: list[Write], result: StoreResult) -> None:
        """Report the same result of several writes to the state machine."""
        for write in group:
            self.reply(write, result)

    def reply(self, write: Write, result: StoreResult) -> None:
        """Report the result of a write to the state machine."""
        self.state_machine.put_nowait(StoreReplied(write.tag, result))
