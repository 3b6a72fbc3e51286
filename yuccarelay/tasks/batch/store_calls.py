"""The calls to the store that decide callers' requests."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.request_handler import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    NoSuchJob,
    NotAccepted,
    Outcome,
    ReadJob,
    RequestHandler,
    State,
    StoreCall,
    StoreCancel,
    StoreJob,
    Taken,
    Undecided,
    derive_state,
    is_same_job,
    is_visible,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import Guard, Put, Store, TransactionResult
from yuccarelay.tasks.batch.early_cancellations import (
    EarlyCancellationStore,
    make_cancel_guards,
)

# After a lost answer the next call shows whether the write took effect. More calls
# than these fail only while the store is down, and then the caller should retry.
STORE_TRIES = 3
RETRY_PAUSE_MS = 25


class StoreCalls:
    """
    Makes the calls to the store that requests need, for callers and other entries.

    It is part of the request handler's task, whose replica it shares. `note_failure` is
    called after a write of a job that got no answer.
    """

    def __init__(
        self,
        store: Store,
        handler: RequestHandler,
        is_replica_fresh: Callable[[], bool],
        note_failure: Callable[[], None],
        clock: Clock,
        rng: random.Random,
        journal: Journal,
    ):
        self.store = store
        self.handler = handler
        self.is_replica_fresh = is_replica_fresh
        self.note_failure = note_failure
        self.clock = clock
        self.rng = rng
        self.journal = journal
        self.early_cancellations = EarlyCancellationStore(store, clock, journal)

    async def make(self, call: StoreCall, deadline_ms: int) -> Outcome:
        """Make a call and return the answer to its request."""
        match call:
            case StoreJob():
                return await self._store_job(call, deadline_ms)
            case ReadJob():
                return await self._read_state(call)
            case StoreCancel():
                return await self._store_cancel(call)

    async def _store_job(self, call: StoreJob, deadline_ms: int) -> Outcome:
        """
        Store a job; a write with an unknown outcome is never reported as refused.

        A write that the store carries out late fails if the job was cancelled
        meanwhile. One that finds the cancellation stores the job as cancelled: its
        caller has cancelled it, and it remains one job.
        """
        job = call.job
        key = batch_records.JOBS + job.id
        guards, puts = (Guard(key, 0),), (Put(key, batch_records.encode(job)),)
        if call.terms is not None:
            terms = batch_records.encode_terms(call.terms)
            puts = (Put(batch_records.TERMS + job.id, terms), *puts)
        conditions = (*guards, *make_cancel_guards(job))
        undecided = False
        failures = 0
        while failures < STORE_TRIES:
            match await self.store.transact(conditions, puts):
                case Ok(TransactionResult(succeeded=True)):
                    return Accepted()
                case Ok(TransactionResult(current=current)):
                    if conditions == guards or any(v.key == key for v in current):
                        return self._compare(job, current)
                    self.journal.write('job_cancelled_before', {'job': job.id})
                    cancel = Put(batch_records.CANCELS + job.id, b'1')
                    conditions, puts = guards, (cancel, *puts)
                    continue
                case Err(failure):
                    undecided = undecided or failure.ambiguous
                    if not undecided:
                        return NotAccepted(RETRY_AFTER_S)
                    self.note_failure()
                    if self.clock.now_ms() >= deadline_ms:
                        break
            failures += 1
            await asyncio.sleep(self._pause_s())
        return Undecided()

    def _pause_s(self) -> float:
        return RETRY_PAUSE_MS * (1 + self.rng.random()) / 1000

    def _compare(self, job: Job, current: tuple) -> Outcome:
        """Distinguish a repeated submission from another job with the same id."""
        for value in current:
            match batch_records.decode_job(value.value):
                case Ok(stored) if is_same_job(stored, job):
                    return Accepted()
        return Taken()

    async def _find_job(self, call: ReadJob | StoreCancel) -> Job | NoSuchJob | None:
        """Read a job that the caller may see from the store; None if that fails."""
        match await self.store.read(batch_records.JOBS + call.job):
            case Ok(None):
                return NoSuchJob()
            case Ok(value):
                match batch_records.decode_job(value.value):
                    case Ok(job) if is_visible(job, call.queue, call.organisation):
                        return job
                return NoSuchJob()
        return None

    async def _read_state(self, call: ReadJob) -> Outcome:
        """Return the state of a job that the replica does not have."""
        match await self._find_job(call):
            case Job() as job:
                return await self._read_record(job.id)
            case NoSuchJob() as found:
                return found
        return NotAccepted(RETRY_AFTER_S)

    async def _read_record(self, job: str) -> Outcome:
        """
        Return a job's state from the replica, or from the store if it is stale.

        A replica that does not have the job yet may also lack its cancellation.
        """
        record = self.handler.records.get(job)
        is_cancelled = job in self.handler.cancelled
        is_fresh = self.is_replica_fresh()
        if not is_fresh:
            match await self.store.read(batch_records.RECORDS + job):
                case Ok(value) if value is not None:
                    record = batch_records.decode_record(value.value).unwrap_or(record)
                case Err():
                    return NotAccepted(RETRY_AFTER_S)
        if not is_cancelled and not (is_fresh and job in self.handler.jobs):
            match await self.store.read(batch_records.CANCELS + job):
                case Ok(value):
                    is_cancelled = value is not None
                case Err():
                    return NotAccepted(RETRY_AFTER_S)
        return State(derive_state(record, is_cancelled))

    async def _store_cancel(self, cancel: StoreCancel) -> Outcome:
        """Store a cancellation; the write is idempotent."""
        if not cancel.known:
            found = await self._find_job(cancel)
            if isinstance(found, NoSuchJob):
                answer = await self.early_cancellations.mark(cancel)
                if answer is not None:
                    return answer
                found = await self._find_job(cancel)
            if isinstance(found, NoSuchJob):
                return found
            if found is None:
                return NotAccepted(RETRY_AFTER_S)
        key = batch_records.CANCELS + cancel.job
        match await self.store.transact((Guard(key, 0),), (Put(key, b'1'),)):
            case Ok():
                self.handler.cancelled.add(cancel.job)
                return Cancelled()
        return NotAccepted(RETRY_AFTER_S)
