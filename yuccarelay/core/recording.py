"""
Writes of job records, and what follows from their results.

At most one write of a job is in progress at a time. An outcome that asserts that
nothing ran is reported to callers only once it is recorded, because otherwise an
entry that adopts the job could still run it.
"""

from yuccarelay.core.effects import (
    Accepted,
    CreateRecord,
    LoadRecord,
    NotAccepted,
    ReplaceRecord,
    Response,
    Undecided,
)
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.events import (
    Conflict,
    KeyTaken,
    Loaded,
    Missing,
    Stored,
    StoreResult,
    Unavailable,
)
from yuccarelay.core.jobs import Job
from yuccarelay.core.manifest import FieldError
from yuccarelay.core.models import (
    CancelledBeforeStart,
    JobState,
    NotRun,
    Outcome,
)

STORE_RETRY_MS = 1_000
# Incarnations start at 1.
NO_OWNER = 0


class Recorder:
    """Keeps the store's records of this entry's jobs up to date."""

    def __init__(self, state: EntryState):
        self.state = state

    def create(self, job_id: str) -> None:
        """Write the record of a job that the store does not have yet."""
        self._begin_call(job_id, 'create')
        job = self.state.jobs[job_id]
        entry = self.state.entry
        record = job.make_record(entry.incarnation, entry.region)
        self.state.outbox.add(CreateRecord(f'create:{job_id}', record))

    def accept_volatile(self, job_id: str) -> None:
        """Accept a job without a record while the store is down."""
        self._accept(job_id)

    def hand_over(self, job_id: str) -> None:
        """Release ownership, so that another entry adopts the job at once."""
        self._begin_call(job_id, 'handover')
        job = self.state.jobs[job_id]
        record = job.make_record(NO_OWNER, self.state.entry.region)
        tag = f'handover:{job_id}'
        self.state.outbox.add(ReplaceRecord(tag, record, job.revision))

    def write_attempt(self, job_id: str) -> None:
        """Write the attempt before it is launched."""
        self._replace(job_id, 'attempt')

    def write_owner(self, job_id: str) -> None:
        """Write this entry's current incarnation as the owner."""
        self._replace(job_id, 'owner')

    def decide(self, job_id: str, outcome: Outcome, now_ms: int) -> None:
        """End a job; an outcome that asserts that nothing ran is recorded first."""
        state = self.state
        job = state.update(job_id, decided=outcome)
        state.queue.remove(job_id)
        state.view.drop_pending(job.attempt_id, job.members)
        if not job.is_stored or not _asserts_not_run(outcome):
            state.publish_end(job_id, outcome, now_ms)
        self.flush(job_id)

    def flush(self, job_id: str) -> None:
        """Write what the store does not have yet, if the store is up."""
        job = self.state.jobs[job_id]
        if job.writing or job.recorded:
            return
        if not self.state.store_up or self.state.fenced:
            return
        if not job.record_known:
            self._load(job_id)
        elif job.decided is not None:
            if job.revision:
                self._replace(job_id, 'end')
            else:
                self.create(job_id)
        elif job.revision == 0:
            self.create(job_id)

    def take_result(self, kind: str, job_id: str, result: StoreResult, now_ms: int):
        """Handle the result of a store call; return the step for `take_record_step`."""
        if job_id not in self.state.jobs:
            return ''
        self.state.update(job_id, writing='')
        if kind == 'same':
            self._respond_for_key(job_id, result, now_ms)
            return ''
        match result:
            case Stored(revision):
                return self._take_stored(kind, job_id, revision, now_ms)
            case Conflict(record, revision) | Loaded(record, revision):
                return self._take_current(kind, job_id, record, revision, now_ms)
            case KeyTaken(other):
                self._take_key_conflict(job_id, other)
                return ''
            case Missing():
                # The write that may have created the record did not take effect.
                self.state.update(job_id, revision=0, record_known=True)
                return self._continue(job_id)
            case Unavailable(ambiguous):
                return self._take_unavailable(kind, job_id, ambiguous, now_ms)
        return ''

    def _take_stored(self, kind: str, job_id: str, revision: int, now_ms: int) -> str:
        job = self.state.update(job_id, revision=revision, record_known=True)
        if kind == 'handover':
            self._drop_job(job_id, now_ms)
            return ''
        if job.state is JobState.RECORDING:
            self._accept(job_id)
        if job.decided is None:
            return kind
        if kind != 'end':
            # The outcome was decided while this write was in progress.
            self.flush(job_id)
            return ''
        self.state.update(job_id, recorded=True)
        if job.state is not JobState.ENDED:
            self.state.publish_end(job_id, job.decided, now_ms)
        return ''

    def _take_current(self, kind, job_id, record, revision, now_ms) -> str:
        if record.owner != self.state.entry.incarnation and not (
            kind in ('owner', 'load') and self._is_own_earlier(record.owner)
        ):
            self._drop_job(job_id, now_ms)
            return 'gone'
        if record.state is JobState.ENDED and self.state.jobs[job_id].decided is None:
            self._drop_job(job_id, now_ms)
            return 'gone'
        job = self.state.update(job_id, revision=revision, record_known=True)
        if kind == 'create' or job.state is JobState.RECORDING:
            return self._take_stored('create', job_id, revision, now_ms)
        return self._continue(job_id)

    def _is_own_earlier(self, owner: int) -> bool:
        return owner in self.state.earlier_incarnations

    def _take_unavailable(self, kind, job_id, ambiguous: bool, now_ms: int) -> str:
        job = self.state.jobs[job_id]
        if ambiguous:
            job = self.state.update(job_id, record_known=False)
        if kind == 'create' and job.state is JobState.RECORDING:
            return self._take_create_unavailable(job, ambiguous)
        if kind == 'attempt':
            return 'attempt_unavailable'
        return ''

    def _take_create_unavailable(self, job: Job, ambiguous: bool) -> str:
        if not job.key:
            self._accept(job.job_id)
            return 'create'
        if ambiguous:
            self.state.respond(job.request_id, Undecided(job.job_id))
            self.state.update(job.job_id, request_id=0)
            return ''
        refusal = NotAccepted(code='store_unavailable', retry_ms=STORE_RETRY_MS)
        self.state.respond(job.request_id, refusal)
        self.state.remove_job(job.job_id)
        return 'gone'

    def _accept(self, job_id: str) -> None:
        job = self.state.jobs[job_id]
        durable = job.revision > 0
        self.state.respond(job.request_id, Accepted(job_id, durable))
        job = self.state.update(job_id, request_id=0)
        if job.state is JobState.RECORDING:
            self.state.outbox.log('job_accepted', job_id=job_id, durable=durable)
            self.state.outbox.count('jobs.accepted')
            if job.decided is None:
                self.state.enqueue(job_id)

    def _take_key_conflict(self, job_id: str, other: str) -> None:
        if other == job_id:
            # An earlier write of this entry took effect after all.
            self.state.update(job_id, record_known=False)
            self.flush(job_id)
            return
        # The first job with the key is the answer only to the same submission.
        self._begin_call(job_id, 'same')
        self.state.outbox.add(LoadRecord(f'same:{job_id}', other))

    def _respond_for_key(self, job_id: str, result: StoreResult, now_ms: int) -> None:
        job = self.state.jobs[job_id]
        match result:
            case Loaded(record):
                first = (record.job_name, record.payload_digest)
                if first == (job.spec.name, job.payload_digest):
                    response: Response = Accepted(record.job_id, durable=True)
                else:
                    rule = f'is in use for job {record.job_id}, which is another one'
                    errors = (FieldError('Idempotency-Key', rule),)
                    response = NotAccepted('key_taken', errors)
            case _:
                # A repeated submission with the key will find the first job.
                response = NotAccepted('store_unavailable', retry_ms=STORE_RETRY_MS)
        self.state.respond(job.request_id, response)
        self.state.update(job_id, request_id=0)
        self._drop_job(job_id, now_ms)

    def _drop_job(self, job_id: str, now_ms: int) -> None:
        job = self.state.jobs[job_id]
        self.state.respond(job.request_id, Accepted(job_id, durable=True))
        for waiter in self.state.waiters.pop(job_id, []):
            self.state.respond(waiter.request_id, job.make_status())
        if job.state is not JobState.ENDED:
            self.state.remove_job(job_id)

    def _continue(self, job_id: str) -> str:
        job = self.state.jobs[job_id]
        if job.decided is not None or job.revision == 0:
            self.flush(job_id)
            return ''
        return 'current'

    def _load(self, job_id: str) -> None:
        self._begin_call(job_id, 'load')
        self.state.outbox.add(LoadRecord(f'load:{job_id}', job_id))

    def _replace(self, job_id: str, kind: str) -> None:
        self._begin_call(job_id, kind)
        job = self.state.jobs[job_id]
        entry = self.state.entry
        record = job.make_record(entry.incarnation, entry.region)
        tag = f'{kind}:{job_id}'
        self.state.outbox.add(ReplaceRecord(tag, record, job.revision))

    def _begin_call(self, job_id: str, kind: str) -> None:
        self.state.update(job_id, writing=kind)


def _asserts_not_run(outcome: Outcome) -> bool:
    match outcome:
        case NotRun() | CancelledBeforeStart():
            return True
        case _:
            return False
