"""
The task that writes the records of jobs in a term.

Each write requires that the planner's key still has the term's revision and
that the record has the revision last seen. After a lost answer the next attempt
shows whether the write took effect: its guard fails, and the reply has what the
store holds.
"""

import asyncio
import random
from dataclasses import dataclass

from result import Err, Ok

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.events import RecordSaved, RemoveJob, SaveRecord
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import (
    Delete,
    Guard,
    Put,
    Store,
    StoreFailure,
    TransactionResult,
)
from yuccarelay.tasks.mailbox import Mailbox

# A transaction takes 32 entries; the planner's key is one, and each record counts
# twice, as a guard and as a write.
RECORDS_PER_WRITE = 15
RETRY_PAUSE_S = 0.1
# A record that the store refuses by itself, for example because it is too large, is
# written again after this time. Each attempt counts as a call to the store.
REFUSED_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class TermBegan:
    """Election to record writer: write under this term, from these revisions."""

    term: int
    revisions: dict[str, int]


@dataclass(frozen=True, slots=True)
class TermEnded:
    """
    The term is over.

    From the election it means that no more records are written, from the record
    writer that the store refused a write of the term.
    """


class RecordsTask:
    """
    Writes the newest version of each record, many in one call.

    `refused` has the records of calls that the store has refused, and when each is due.
    They are written in calls of their own, so that the others are not held up.
    """

    def __init__(
        self,
        store: Store,
        inbox: Mailbox,
        planner: Mailbox,
        election: Mailbox,
        rng: random.Random,
        journal: Journal,
    ):
        self.store = store
        self.inbox = inbox
        self.planner = planner
        self.election = election
        self.rng = rng
        self.journal = journal
        self.term = 0
        self.revisions: dict[str, int] = {}
        self.waiting: dict[str, SaveRecord] = {}
        self.refused: dict[str, float] = {}
        self.failing = False

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            if not self._choose_batch():
                await self._await_message()
            await self._handle_waiting()
            batch = self._choose_batch()
            if batch and self.term:
                await self._write_batch(batch)

    async def _await_message(self) -> None:
        """Handle the next message, or return once a refused record is due."""
        due = [self.refused[job] for job in self.waiting if job in self.refused]
        try:
            async with asyncio.timeout_at(min(due, default=None)):
                message = await self.inbox.get()
        except TimeoutError:
            return
        await self._handle(message)

    def _choose_batch(self) -> list[SaveRecord]:
        """Return the records to write in the next call."""
        now = asyncio.get_running_loop().time()
        due = [
            save
            for save in self.waiting.values()
            if now >= self.refused.get(save.job, 0)
        ]
        if due and due[0].job in self.refused:
            return due[:1]
        batch = [save for save in due if save.job not in self.refused]
        return batch[:RECORDS_PER_WRITE]

    async def _handle_waiting(self) -> None:
        """Handle the messages that have arrived."""
        while not self.inbox.empty():
            await self._handle(self.inbox.get_nowait())

    async def _handle(self, message) -> None:
        match message:
            case TermBegan(term, revisions):
                self.term, self.revisions = term, dict(revisions)
                self.waiting.clear()
                self.refused.clear()
            case TermEnded():
                self.term = 0
                self.waiting.clear()
            case SaveRecord(job) if self.term:
                self.waiting[job] = message
            case RemoveJob(job) if self.term:
                await self._remove_job(job)

    async def _remove_job(self, job: str) -> None:
        """Remove a job; a failure is left to a later term's clean-up."""
        self.waiting.pop(job, None)
        self.refused.pop(job, None)
        folders = batch_records.JOB_FOLDERS
        guards = (Guard(batch_records.PLANNER, self.term),)
        removed = await self.store.transact(
            guards,
            tuple(Delete(folder + job) for folder in folders),
        )
        if removed.is_err():
            reason = removed.err_value.reason
            self.journal.write('job_not_removed', {'job': job, 'reason': reason})

    async def _write_batch(self, batch: list[SaveRecord]) -> None:
        """
        Write some records and notify the planner, or wait before a retry.

        An answer that comes after the end of the term is ignored: the versions of the
        next planner start again, so it would take its own records for saved.
        """
        term = self.term
        keys = {save.job: batch_records.RECORDS + save.job for save in batch}
        guards = [Guard(batch_records.PLANNER, self.term)]
        guards += [
            Guard(keys[save.job], self.revisions.get(save.job, 0)) for save in batch
        ]
        puts = [
            Put(keys[save.job], batch_records.encode(save.record)) for save in batch
        ]
        written = await self.store.transact(tuple(guards), tuple(puts))
        await self._handle_waiting()
        if self.term != term:
            return
        match written:
            case Ok(TransactionResult(succeeded=True, revision=revision)):
                self._set_failing(False)
                for save in batch:
                    self.revisions[save.job] = revision
                    self.refused.pop(save.job, None)
                    # A newer version goes behind the records that wait already.
                    newest = self.waiting.pop(save.job, save)
                    if newest != save:
                        self.waiting[save.job] = newest
                    self.planner.put_nowait(RecordSaved(save.job, save.version))
            case Ok(TransactionResult(current=current)):
                self._handle_conflict(batch, {value.key: value for value in current})
            case Err(StoreFailure(refused=True, reason=reason)):
                self._handle_refusal(batch, reason)
            case Err(failure):
                self._set_failing(True, failure.reason)
                await asyncio.sleep(RETRY_PAUSE_S * (1 + self.rng.random()))

    def _handle_conflict(self, batch: list[SaveRecord], current: dict) -> None:
        """Take the store's revisions for the next attempt, or end an outdated term."""
        planner = current.get(batch_records.PLANNER)
        if planner is None or planner.mod_revision != self.term:
            self.journal.write('write_refused', {'term': self.term})
            self.term = 0
            self.waiting.clear()
            self.election.put_nowait(TermEnded())
            return
        for save in batch:
            value = current.get(batch_records.RECORDS + save.job)
            self.revisions[save.job] = value.mod_revision if value else 0

    def _handle_refusal(self, batch: list[SaveRecord], reason: str) -> None:
        """Write the records of a refused call one by one, and a refused one later."""
        due = asyncio.get_running_loop().time()
        if len(batch) == 1:
            due += REFUSED_RETRY_S
            fields = {'term': self.term, 'job': batch[0].job, 'reason': reason}
            self.journal.write('record_refused', fields)
        self.refused.update((save.job, due) for save in batch)

    def _set_failing(self, failing: bool, reason: str = '') -> None:
        if failing is not self.failing:
            self.failing = failing
            event = 'records_waiting' if failing else 'records_written'
            fields = {'term': self.term, 'records': len(self.waiting), 'reason': reason}
            self.journal.write(event, fields)
