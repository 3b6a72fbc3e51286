"""
The task that writes the records of jobs, and those of the planner, in a term.

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
from yuccarelay.core.batch.events import (
    RecordSaved,
    RemoveJob,
    SaveRecord,
    SaveRunTimes,
    SaveSilence,
    SilenceSaved,
)
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
Save = SaveRecord | SaveSilence | SaveRunTimes
# A record that the store refuses by itself, for example because it is too large, is
# written again after this time. Each attempt counts as a call to the store.
REFUSED_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class TermBegan:
    """Election to record writer: write under this term, from these keys' revisions."""

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

    `waiting` has the records to write by their keys. `refused` has those of calls that
    the store has refused, and when each is due. They are written in calls of their own,
    so that the others are not held up.
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
        self.waiting: dict[str, Save] = {}
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
        due = [self.refused[key] for key in self.waiting if key in self.refused]
        try:
            async with asyncio.timeout_at(min(due, default=None)):
                message = await self.inbox.get()
        except TimeoutError:
            return
        await self._handle(message)

    def _choose_batch(self) -> list[str]:
        """
        Return the keys of the records to write in the next call.

        That of silent agents comes first: no lease of an agent in it is extended before
        one without the agent is stored. That of run times, which nothing waits for,
        comes last.
        """
        now = asyncio.get_running_loop().time()
        due = [key for key in self.waiting if now >= self.refused.get(key, 0)]
        due.sort(key=find_order)
        if due and due[0] in self.refused:
            return due[:1]
        batch = [key for key in due if key not in self.refused]
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
                self.waiting[batch_records.RECORDS + job] = message
            case SaveSilence() if self.term:
                self.waiting[batch_records.SILENCE] = message
            case SaveRunTimes() if self.term:
                self.waiting[batch_records.RUN_TIMES] = message
            case RemoveJob(job) if self.term:
                await self._remove_job(job)

    async def _remove_job(self, job: str) -> None:
        """Remove a job; a failure is left to a later term's clean-up."""
        self.waiting.pop(batch_records.RECORDS + job, None)
        self.refused.pop(batch_records.RECORDS + job, None)
        folders = batch_records.JOB_FOLDERS
        guards = (Guard(batch_records.PLANNER, self.term),)
        removed = await self.store.transact(
            guards,
            tuple(Delete(folder + job) for folder in folders),
        )
        if removed.is_err():
            reason = removed.err_value.reason
            self.journal.write('job_not_removed', {'job': job, 'reason': reason})

    async def _write_batch(self, batch: list[str]) -> None:
        """
        Write some records and notify the planner, or wait before a retry.

        An answer that comes after the end of the term is ignored: the versions of the
        next planner start again, so it would take its own records for saved.
        """
        term = self.term
        saves = {key: self.waiting[key] for key in batch}
        guards = [Guard(batch_records.PLANNER, self.term)]
        guards += [Guard(key, self.revisions.get(key, 0)) for key in batch]
        puts = [
            Put(key, batch_records.encode(save.record)) for key, save in saves.items()
        ]
        written = await self.store.transact(tuple(guards), tuple(puts))
        await self._handle_waiting()
        if self.term != term:
            return
        match written:
            case Ok(TransactionResult(succeeded=True, revision=revision)):
                self._set_failing(False)
                for key, save in saves.items():
                    self.revisions[key] = revision
                    self.refused.pop(key, None)
                    # A newer version goes behind the records that wait already.
                    newest = self.waiting.pop(key, save)
                    if newest != save:
                        self.waiting[key] = newest
                    self._report_saved(save)
            case Ok(TransactionResult(current=current)):
                self._handle_conflict(batch, {value.key: value for value in current})
            case Err(StoreFailure(refused=True, reason=reason)):
                self._handle_refusal(batch, reason)
            case Err(failure):
                self._set_failing(True, failure.reason)
                await asyncio.sleep(RETRY_PAUSE_S * (1 + self.rng.random()))

    def _report_saved(self, save: Save) -> None:
        """Tell the planner that the store holds a record."""
        match save:
            case SaveRecord(job, version):
                self.planner.put_nowait(RecordSaved(job, version))
            case SaveSilence(version):
                self.planner.put_nowait(SilenceSaved(version))

    def _handle_conflict(self, batch: list[str], current: dict) -> None:
        """Take the store's revisions for the next attempt, or end an outdated term."""
        planner = current.get(batch_records.PLANNER)
        if planner is None or planner.mod_revision != self.term:
            self.journal.write('write_refused', {'term': self.term})
            self.term = 0
            self.waiting.clear()
            self.election.put_nowait(TermEnded())
            return
        for key in batch:
            value = current.get(key)
            self.revisions[key] = value.mod_revision if value else 0

    def _handle_refusal(self, batch: list[str], reason: str) -> None:
        """Write the records of a refused call one by one, and a refused one later."""
        due = asyncio.get_running_loop().time()
        if len(batch) == 1:
            due += REFUSED_RETRY_S
            job = batch[0].rpartition('/')[2]
            fields = {'term': self.term, 'job': job, 'reason': reason}
            self.journal.write('record_refused', fields)
        self.refused.update((key, due) for key in batch)

    def _set_failing(self, failing: bool, reason: str = '') -> None:
        if failing is not self.failing:
            self.failing = failing
            event = 'records_waiting' if failing else 'records_written'
            fields = {'term': self.term, 'records': len(self.waiting), 'reason': reason}
            self.journal.write(event, fields)


def find_order(key: str) -> tuple[bool, bool]:
    """Return the sort key of a record among those that wait."""
    return key != batch_records.SILENCE, key == batch_records.RUN_TIMES
