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
from yuccarelay.ports.store import Delete, Guard, Put, Store, TransactionResult
from yuccarelay.tasks.mailbox import Mailbox

# A transaction takes 32 entries; the planner's key is one, and each record counts
# twice, as a guard and as a write.
RECORDS_PER_WRITE = 15
RETRY_PAUSE_S = 0.1


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
    """Writes the newest version of each record, many in one call."""

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
        self.failing = False

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            if not self.waiting:
                await self._handle(await self.inbox.get())
            while not self.inbox.empty():
                await self._handle(self.inbox.get_nowait())
            if self.waiting and self.term:
                await self._write_batch()

    async def _handle(self, message) -> None:
        match message:
            case TermBegan(term, revisions):
                self.term, self.revisions = term, dict(revisions)
                self.waiting.clear()
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
        folders = batch_records.JOB_FOLDERS
        guards = (Guard(batch_records.PLANNER, self.term),)
        removed = await self.store.transact(
            guards,
            tuple(Delete(folder + job) for folder in folders),
        )
        if removed.is_err():
            reason = removed.err_value.reason
            self.journal.write('job_not_removed', {'job': job, 'reason': reason})

    async def _write_batch(self) -> None:
        """Write some records and notify the planner, or wait before a retry."""
        batch = list(self.waiting.values())[:RECORDS_PER_WRITE]
        keys = {save.job: batch_records.RECORDS + save.job for save in batch}
        guards = [Guard(batch_records.PLANNER, self.term)]
        guards += [
            Guard(keys[save.job], self.revisions.get(save.job, 0)) for save in batch
        ]
        puts = [
            Put(keys[save.job], batch_records.encode(save.record)) for save in batch
        ]
        match await self.store.transact(tuple(guards), tuple(puts)):
            case Ok(TransactionResult(succeeded=True, revision=revision)):
                self._set_failing(False)
                for save in batch:
                    self.revisions[save.job] = revision
                    if self.waiting.get(save.job) == save:
                        del self.waiting[save.job]
                    self.planner.put_nowait(RecordSaved(save.job, save.version))
            case Ok(TransactionResult(current=current)):
                self._handle_conflict(batch, {value.key: value for value in current})
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

    def _set_failing(self, failing: bool, reason: str = '') -> None:
        if failing is not self.failing:
            self.failing = failing
            event = 'records_waiting' if failing else 'records_written'
            fields = {'term': self.term, 'records': len(self.waiting), 'reason': reason}
            self.journal.write(event, fields)
