"""
The task that elects the planner by a key in the store.

The key is written under a lease if it does not exist, or if an earlier run of
this node holds it; its revision is the term. Correctness does not depend on a
single holder: records are written under the condition that the key has the term's
revision, and workers refuse older terms.
"""

import asyncio
import random
from dataclasses import replace

from result import Err, Ok

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.events import Deposed, Elected, StepDown, TermConfirmed
from yuccarelay.core.batch.leases import TERM_RENEWAL_MS, TERM_TTL_S
from yuccarelay.core.batch.run_time_record import RunTimesRecord
from yuccarelay.core.batch.silence import (
    NO_SILENCE,
    KnownSilence,
    receive_silence,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import Guard, Put, Store, StoredValue, TransactionResult
from yuccarelay.tasks.batch.records import TermBegan, TermEnded
from yuccarelay.tasks.batch.replica import (
    PlannerKeyChanged,
    SilenceChanged,
    read_all,
)
from yuccarelay.tasks.batch.request_handler import ResendAll
from yuccarelay.tasks.mailbox import Mailbox

# Candidates wait this multiple of their round-trip time to the store, so that one
# close to the store is elected first; a failover to a distant one takes some 200 ms
# longer.
HEAD_START_ROUND_TRIPS = 3
# A watch may miss the deletion of the key; the key is read again after this time.
RECHECK_S = 1.5
RETRY_S = 0.3
# A process whose planner failed or was refused leaves the key to another for this time.
# Its own next planner would probably fail on the same state.
STAND_BACK_S = 2.0


class ElectionTask:
    """Competes for the planner's key, and renews its lease while it holds the key."""

    def __init__(
        self,
        node: str,
        store: Store,
        inbox: Mailbox,
        planner: Mailbox,
        records: Mailbox,
        handler: Mailbox,
        clock: Clock,
        rng: random.Random,
        journal: Journal,
        evacuation: Mailbox | None = None,
    ):
        self.node = node
        self.evacuation = evacuation
        self.store = store
        self.inbox = inbox
        self.planner = planner
        self.records = records
        self.handler = handler
        self.clock = clock
        self.rng = rng
        self.journal = journal
        self.holder = f'{node} {rng.getrandbits(64):016x}'
        self.lease = 0
        self.term = 0
        self.resigned = False
        self.steps_down = False
        self.silence = SilenceChanged(NO_SILENCE, 0)
        # Term of the earlier run of this node whose key was taken over.
        self.ended_term = 0

    async def run(self) -> None:
        """Compete and renew until cancelled."""
        while not self.resigned:
            await self._compete()
            await self._renew()
            if self.steps_down:
                await self._stand_back()
        await asyncio.Event().wait()

    async def resign(self) -> None:
        """Release the key at once, so that another process can be elected."""
        self.resigned = True
        if self.term:
            self._end_term('resigned')
        if self.lease:
            await self.store.revoke_lease(self.lease)

    async def _stand_back(self) -> None:
        """Release the key, and do not compete for it for a while."""
        self.steps_down = False
        self.journal.write('election_left', {'node': self.node})
        await self.store.revoke_lease(self.lease)
        await asyncio.sleep(STAND_BACK_S)

    async def _compete(self) -> None:
        """Return once this process holds the key and began its term, or resigned."""
        while not self.term and not self.resigned:
            sent_ms = self.clock.now_ms()
            found = await self.store.read(batch_records.PLANNER)
            match found:
                case Err():
                    await asyncio.sleep(RETRY_S * (1 + self.rng.random()))
                    continue
                case Ok(value) if value is not None and not self._is_own(value):
                    await self._await_vacancy()
                    continue
            round_trip_ms = self.clock.now_ms() - sent_ms
            if found.ok_value is None:
                await asyncio.sleep(HEAD_START_ROUND_TRIPS * round_trip_ms / 1000)
            await self._try_key(found.ok_value)
        self._discard_messages()

    def _is_own(self, value: StoredValue) -> bool:
        """Whether an earlier run of this node holds the key."""
        return value.value.decode(errors='replace').split(' ')[0] == self.node

    async def _await_vacancy(self) -> None:
        """Wait until the watch reports the key as deleted, at most `RECHECK_S`."""
        deadline = asyncio.get_running_loop().time() + RECHECK_S
        while True:
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    message = await self.inbox.get()
            except TimeoutError:
                return
            self._note_silence(message)
            if isinstance(message, PlannerKeyChanged) and not message.holder:
                return

    def _discard_messages(self) -> None:
        while not self.inbox.empty():
            self._note_silence(self.inbox.get_nowait())

    def _note_silence(self, message) -> None:
        """
        Keep the newest record of silent agents.

        One that arrives again keeps the times of its first arrival.
        """
        match message:
            case SilenceChanged(revision=revision) if revision > self.silence.revision:
                self.silence = message

    async def _try_key(self, value: StoredValue | None) -> None:
        """Write the key if it has not changed since it was read."""
        match await self.store.grant_lease(TERM_TTL_S):
            case Ok(_) if self.resigned:
                return
            case Ok(lease):
                self.lease = lease
            case Err():
                await asyncio.sleep(RETRY_S)
                return
        sent_ms = self.clock.now_ms()
        self.ended_term = value.mod_revision if value else 0
        guard = Guard(batch_records.PLANNER, self.ended_term)
        put = Put(batch_records.PLANNER, self.holder.encode(), self.lease)
        match await self.store.transact((guard,), (put,)):
            case Ok(TransactionResult(succeeded=True, revision=revision)):
                await self._begin_term(revision, sent_ms)
            case _:
                # A write that is still in flight fails once its lease is revoked.
                await self.store.revoke_lease(self.lease)
                self.lease = 0

    async def _begin_term(self, term: int, sent_ms: int) -> None:
        """Read all keys, then notify the record writer, planner and request handler."""
        match await self._read_keys():
            case Ok((values, _)):
                self._discard_messages()
                elected, revisions = make_elected(term, values)
                elected = replace(
                    elected,
                    silence=self._find_silence(values),
                    ended_term=self.ended_term,
                    run_times=self._find_run_times(values),
                )
            case Err(failure):
                self.journal.write('term_not_begun', {'reason': failure.reason})
                await self.store.revoke_lease(self.lease)
                self.lease = 0
                return
        self.term = term
        self.records.put_nowait(TermBegan(term, revisions))
        self.planner.put_nowait(elected)
        if self.evacuation is not None:
            self.evacuation.put_nowait(TermBegan(term, revisions))
        self.planner.put_nowait(TermConfirmed(sent_ms))
        self.handler.put_nowait(ResendAll())
        self.journal.write('term_began', {'term': term, 'node': self.node})

    def _find_silence(self, values: list[StoredValue]) -> KnownSilence:
        """Return the stored record of silent agents, as this process first read it."""
        for value in values:
            if value.key == batch_records.SILENCE:
                match batch_records.decode_silence(value.value):
                    case Ok(record):
                        silence = receive_silence(record, self.clock.now_ms())
                        self._note_silence(SilenceChanged(silence, value.mod_revision))
                        return self.silence.silence
        return NO_SILENCE

    def _find_run_times(self, values: list[StoredValue]) -> RunTimesRecord | None:
        """Return the stored record of run times; one that is unreadable is dropped."""
        for value in values:
            if value.key == batch_records.RUN_TIMES:
                match batch_records.decode_run_times(value.value):
                    case Ok(record):
                        return record
                    case Err(reason):
                        self.journal.write('run_times_dropped', {'reason': reason})
        return None

    async def _read_keys(self):
        """
        Read all keys, and renew the lease meanwhile.

        With many keys or a slow store a read takes longer than the lease lasts, and no
        process would ever begin a term.
        """
        reading = asyncio.ensure_future(read_all(self.store, batch_records.ROOT))
        try:
            while True:
                pause_s = TERM_RENEWAL_MS / 1000
                done, _ = await asyncio.wait({reading}, timeout=pause_s)
                if done:
                    return reading.result()
                await self.store.renew_lease(self.lease)
        finally:
            reading.cancel()

    def _end_term(self, reason: str) -> None:
        self.journal.write('term_ended', {'term': self.term, 'reason': reason})
        self.term = 0
        self.records.put_nowait(TermEnded())
        self.planner.put_nowait(Deposed(reason))
        if self.evacuation is not None:
            self.evacuation.put_nowait(TermEnded())

    async def _renew(self) -> None:
        """Renew the lease until the term ends."""
        while self.term:
            sent_ms = self.clock.now_ms()
            match await self.store.renew_lease(self.lease):
                case Ok(True):
                    self.planner.put_nowait(TermConfirmed(sent_ms))
                case Ok(False):
                    self._end_term('lease_ended')
                    return
            if await self._is_replaced(TERM_RENEWAL_MS / 1000) and self.term:
                self._end_term('replaced')

    async def _is_replaced(self, wait_s: float) -> bool:
        """Wait; return True early once another process plans or the term must end."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while (remaining_s := deadline - asyncio.get_running_loop().time()) > 0:
            try:
                async with asyncio.timeout(remaining_s):
                    message = await self.inbox.get()
            except TimeoutError:
                return False
            self._note_silence(message)
            match message:
                case PlannerKeyChanged(holder, revision):
                    if holder != self.holder and revision > self.term:
                        return True
                case StepDown():
                    self.steps_down = True
                    return True
                case TermEnded():
                    return True
        return False


def make_elected(
    term: int,
    values: list[StoredValue],
) -> tuple[Elected, dict[str, int]]:
    """Return the planner's initial state, and the revision of each record's key."""
    jobs, records, revisions, agents, job_terms = {}, {}, {}, {}, {}
    cancelled, withheld = set(), set()
    for value in values:
        folder, _, name = value.key.rpartition('/')
        match folder + '/':
            case batch_records.JOBS:
                match batch_records.decode_job(value.value):
                    case Ok(job):
                        jobs[name] = job
            case batch_records.RECORDS:
                revisions[value.key] = value.mod_revision
                match batch_records.decode_record(value.value):
                    case Ok(record):
                        records[name] = record
                    case Err():
                        withheld.add(name)
            case batch_records.ROOT if value.key in batch_records.PLANNER_RECORDS:
                revisions[value.key] = value.mod_revision
            case batch_records.TERMS:
                match batch_records.decode_terms(value.value):
                    case Ok(terms):
                        job_terms[name] = terms
            case batch_records.CANCELS:
                cancelled.add(name)
            case batch_records.AGENTS:
                match batch_records.decode_agent(value.value):
                    case Ok(agent_address):
                        agents[name] = agent_address
    elected = Elected(
        term,
        jobs,
        records,
        frozenset(cancelled),
        agents,
        job_terms,
        frozenset(withheld),
    )
    return elected, revisions
