"""Adoption of jobs whose owner entry is gone."""

from yuccarelay.core.dispatch import Dispatcher
from yuccarelay.core.effects import LoadOpenRecords, ReplaceRecord
from yuccarelay.core.entry_assignment import digest_entries
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.events import Loaded, LoadedMany, Stored, StoreResult
from yuccarelay.core.jobs import Job
from yuccarelay.core.models import (
    Claim,
    EntryRef,
    JobRecord,
    JobSpec,
    JobState,
    MemberRef,
)

# Spreads the reads of the remaining entries, which all notice a loss at once.
ADOPTION_JITTER_MS = 1_500
ADOPTION_RETRY_MS = 5_000
# A region may be cut off for an hour while its entries and agents keep working. Other
# regions adopt its jobs only when it has been gone for longer than that.
REGION_LOSS_MS = 7_200_000
REGION_SCAN_MS = 60_000


class Adopter:
    """
    Adopts the open jobs of entries whose registration has ended.

    Ownership changes by compare-and-swap on the record, so a paused owner cannot
    write an attempt afterwards. An attempt that was recorded is settled with its
    leader before the job is queued again.
    """

    def __init__(self, state: EntryState, dispatcher: Dispatcher):
        self.state = state
        self.dispatcher = dispatcher
        self.scan_at_ms: int | None = None
        self.adopting: dict[str, JobRecord] = {}
        self.lost_regions_ms: dict[str, int] = {}

    def take_entries(self, entries: tuple[EntryRef, ...], now_ms: int) -> None:
        """Update the live entries; scan for orphaned jobs soon when one is gone."""
        known = {entry.incarnation for entry in self.state.entries}
        live = {entry.incarnation for entry in entries}
        first = not self.state.entries
        self.state.entries = entries
        for entry in entries:
            self.lost_regions_ms.pop(entry.region, None)
        self.state.entries_digest = digest_entries(entries)
        if first or known - live:
            self._scan_soon(now_ms, ADOPTION_JITTER_MS)

    def tick(self, now_ms: int) -> None:
        """Request the open records when a scan is due."""
        state = self.state
        if self.scan_at_ms is None or now_ms < self.scan_at_ms:
            return
        if not state.is_serving or not state.store_up or state.fenced:
            return
        self.scan_at_ms = None
        state.outbox.add(LoadOpenRecords('scan:'))

    def take_scan(self, result: StoreResult, now_ms: int) -> None:
        """Adopt the jobs whose owner is gone, from the open records."""
        match result:
            case LoadedMany(records):
                for loaded in records:
                    self._adopt_if_orphaned(loaded, now_ms)
            case _:
                self._scan_soon(now_ms, ADOPTION_RETRY_MS)

    def _adopt_if_orphaned(self, loaded: Loaded, now_ms: int) -> None:
        record = loaded.record
        state = self.state
        is_owner_live = any(one.incarnation == record.owner for one in state.entries)
        is_own = record.owner == state.entry.incarnation
        if is_owner_live or is_own or record.job_id in state.jobs:
            return
        if not self._may_adopt_from(record.region, now_ms):
            if self.scan_at_ms is None:
                self._scan_soon(now_ms, REGION_SCAN_MS)
            return
        taken = record._replace(
            owner=state.entry.incarnation,
            adoptions=record.adoptions + 1,
        )
        self.adopting[record.job_id] = taken
        tag = f'adopt:{record.job_id}'
        state.outbox.add(ReplaceRecord(tag, taken, loaded.revision))

    def _may_adopt_from(self, region: str, now_ms: int) -> bool:
        if region == self.state.entry.region:
            return True
        lost_ms = self.lost_regions_ms.setdefault(region, now_ms)
        return now_ms - lost_ms >= REGION_LOSS_MS

    def take_result(self, job_id: str, result: StoreResult, now_ms: int) -> None:
        """Handle the result of a change of ownership."""
        record = self.adopting.pop(job_id, None)
        if record is None:
            return
        match result:
            case Stored(revision):
                self._adopt(record, revision, now_ms)
            case _:
                # Another entry adopted the job first, or the store did not answer.
                self._scan_soon(now_ms, ADOPTION_RETRY_MS)

    def _adopt(self, record: JobRecord, revision: int, now_ms: int) -> None:
        state = self.state
        spec = self._find_spec(record)
        state.jobs[record.job_id] = Job(
            job_id=record.job_id,
            spec=spec,
            payload=record.payload,
            key=record.key,
            state=JobState.QUEUED,
            submitted_ms=now_ms,
            start_deadline_ms=now_ms + spec.start_limit_ms,
            revision=revision,
            attempt=record.attempt,
            adoptions=record.adoptions,
            may_have_run=self._may_have_run(record),
            members=record.members,
        )
        state.outbox.log('job_adopted', job_id=record.job_id, attempt=record.attempt)
        state.outbox.count('jobs.adopted')
        if record.attempt and record.members:
            state.view.add_pending(
                state.jobs[record.job_id].attempt_id,
                record.members,
            )
            self.dispatcher.attempt_tracker.settle(record.job_id, now_ms)
        elif not self._settle_announced(record.job_id, now_ms):
            state.enqueue(record.job_id)

    def _may_have_run(self, record: JobRecord) -> bool:
        # Every attempt of a job that is not repeatable is recorded before it is
        # launched, and only a checkpointable one has another after one that ran.
        spec = self._find_known_spec(record)
        if spec is None or spec.repeatable:
            return True
        return spec.checkpointable and record.attempt > 1

    def _settle_announced(self, job_id: str, now_ms: int) -> bool:
        # The attempts of a repeatable job are not recorded. One that an agent
        # announces is settled, so that the work is not done again.
        for worker in self.state.view.workers.values():
            attempt_ids = [grant.attempt_id for grant in worker.state.grants]
            attempt_ids.extend(worker.state.unreported)
            for attempt_id in attempt_ids:
                head, _, number = attempt_id.rpartition('.')
                if head != job_id:
                    continue
                claim = Claim('', '', (), 0, False, True)
                ref = MemberRef(
                    worker_id=worker.state.worker_id,
                    address=worker.state.address,
                    incarnation=worker.state.incarnation,
                    claim=claim,
                )
                self.state.update(job_id, attempt=int(number), members=(ref,))
                self.dispatcher.attempt_tracker.settle(job_id, now_ms)
                return True
        return False

    def _find_spec(self, record: JobRecord) -> JobSpec:
        known = self._find_known_spec(record)
        if known is not None:
            return known
        # The job was removed from the manifest. An attempt is still settled, but as
        # no worker has the empty service, no further one starts.
        return JobSpec(
            organisation=record.organisation,
            name=record.job_name,
            service='',
            repeatable=False,
            start_limit_ms=0,
        )

    def _find_known_spec(self, record: JobRecord) -> JobSpec | None:
        organisation = self.state.manifest.organisations.get(record.organisation)
        return organisation.jobs.get(record.job_name) if organisation else None

    def _scan_soon(self, now_ms: int, jitter_ms: int) -> None:
        self.scan_at_ms = now_ms + int(jitter_ms * self.state.rng.random())
