"""Stores cancellations of jobs whose submission may still arrive."""

import asyncio

from result import Err, Ok, Result

from yuccarelay.adapters import batch_records
from yuccarelay.core.batch.early_cancellations import EarlyCancellations
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.request_handler import (
    NO_ROOM_RETRY_AFTER_S,
    RETRY_AFTER_S,
    NoRoom,
    NoSuchJob,
    NotAccepted,
    StoreCancel,
)
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import (
    Guard,
    Put,
    Store,
    StoreFailure,
    TransactionResult,
)

# Cancellations share a lease for this time, so that each costs one call.
LEASE_PERIOD_MS = 30_000
# A cancellation is kept for 300 s at least, like a job that has ended: longer than a
# process is paused, a request waits or the store delays a write.
LEASE_TTL_S = 330.0
# The lease may end while the store is down; then another one is granted.
WRITE_TRIES = 2


class EarlyCancellationStore:
    """
    Marks jobs as cancelled that the store does not hold.

    The submission of such a job may wait in another entry, or its write in the store.
    It is stored on condition that there is no such mark, so that the job cannot run
    after its cancellation was acknowledged. The marks end with their lease, whatever
    becomes of the entry.
    """

    def __init__(self, store: Store, clock: Clock, journal: Journal):
        self.store = store
        self.clock = clock
        self.journal = journal
        self.early_cancellations = EarlyCancellations()
        self.lease = 0
        self.lease_due_ms = 0
        self.granting = asyncio.Lock()

    async def mark(
        self, cancel: StoreCancel
    ) -> NoSuchJob | NoRoom | NotAccepted | None:
        """Mark a job; return the answer, or None if a job of this id is stored now."""
        organisation = cancel.organisation
        if not self.early_cancellations.take(organisation, self.clock.now_ms()):
            return NoRoom(NO_ROOM_RETRY_AFTER_S)
        match await self._write(cancel):
            case Ok(TransactionResult(succeeded=True)):
                fields = {'job': cancel.job, 'organisation': organisation}
                self.journal.write('cancelled_before_job', fields)
                return NoSuchJob()
            case Ok():
                return None
        return NotAccepted(RETRY_AFTER_S)

    async def _write(
        self, cancel: StoreCancel
    ) -> Result[TransactionResult, StoreFailure]:
        """Write the mark, unless the store holds a job of this id."""
        key = batch_records.name_early_cancel(
            cancel.job, cancel.queue, cancel.organisation
        )
        guard = Guard(batch_records.JOBS + cancel.job, 0)
        written: Result[TransactionResult, StoreFailure]
        for _ in range(WRITE_TRIES):
            match await self._find_lease():
                case Ok(lease):
                    put = Put(key, b'1', lease)
                case Err() as failed:
                    return failed
            written = await self.store.transact((guard,), (put,))
            match written:
                case Err(StoreFailure(refused=True)):
                    # Another call may have found a new lease meanwhile.
                    self.lease = 0 if self.lease == lease else self.lease
                case _:
                    break
        return written

    async def _find_lease(self) -> Result[int, StoreFailure]:
        """Return a lease that lasts for long enough."""
        async with self.granting:
            now_ms = self.clock.now_ms()
            if self.lease and now_ms < self.lease_due_ms:
                return Ok(self.lease)
            granted = await self.store.grant_lease(LEASE_TTL_S)
            if isinstance(granted, Ok):
                self.lease = granted.ok_value
                self.lease_due_ms = now_ms + LEASE_PERIOD_MS
            return granted


def make_cancel_guards(job: Job) -> tuple[Guard, ...]:
    """Return the conditions that no caller who may see a job has cancelled it."""
    viewers = sorted({'', job.organisation})
    return tuple(
        Guard(batch_records.name_early_cancel(job.id, job.queue, viewer), 0)
        for viewer in viewers
    )
