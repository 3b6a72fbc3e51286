"""Requests of callers: submit, ask, cancel; forwarded to the owner entry if needed."""

from dataclasses import dataclass

from result import Err, Ok, Result

from yuccarelay.core.admission import check_admission
from yuccarelay.core.dispatch import Dispatcher
from yuccarelay.core.events import (
    CancelRequested,
    IdMinted,
    IdRequested,
    Loaded,
    LoadRecord,
    Missing,
    NotAccepted,
    Queried,
    StoreResult,
    Submitted,
    Unavailable,
)
from yuccarelay.core.jobs import Job, make_record_status
from yuccarelay.core.manifest import FieldError
from yuccarelay.core.messages import CancelJob, JobStatus, Message, QueryJob
from yuccarelay.core.models import JobRecord, JobSpec, JobState, parse_incarnation
from yuccarelay.core.recording import Recorder
from yuccarelay.core.state import EntryState, Waiter
from yuccarelay.core.submission import find_spec

NOT_SERVING_RETRY_MS = 1_000
FORWARD_POLL_MS = 300


@dataclass(frozen=True, slots=True)
class ForwardQuery:
    """A query of another entry's job; repeated until its end or the deadline."""

    request_id: int
    organisation: str
    job_id: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """A cancellation of another entry's job."""

    request_id: int
    organisation: str
    job_id: str


Forward = ForwardQuery | ForwardCancel


class Intake:
    """Answers callers, from this entry, from the owner entry, or from the store."""

    def __init__(self, state: EntryState, recorder: Recorder, dispatcher: Dispatcher):
        self.state = state
        self.recorder = recorder
        self.dispatcher = dispatcher
        self.forwards: dict[str, Forward] = {}
        self.polls: list[tuple[int, ForwardQuery]] = []
        self.minted: dict[str, str] = {}
        self.next_forward = 1

    def mint(self, event: IdRequested) -> None:
        """Give a caller an id that this entry accepts once."""
        if not self.state.is_serving:
            self._refuse(event.request_id, 'not_ready')
            return
        job_id = self.state.mint_job_id()
        self.minted[job_id] = event.organisation
        self.state.respond(event.request_id, IdMinted(job_id))

    def submit(self, event: Submitted, now_ms: int) -> None:
        """Accept a job and have it recorded, or refuse it."""
        state = self.state
        if event.job_id and event.job_id in state.jobs:
            self._repeat_submission(event)
            return
        # While the store is down, the entry cannot register anew. A job that it
        # takes then has no record, so no other entry can have adopted it.
        if not state.is_serving or (state.fenced and state.store_up):
            self._refuse(event.request_id, 'not_ready')
            return
        if event.job_id and self.minted.get(event.job_id) != event.organisation:
            rule = 'this entry did not give out this id, or not to this organisation'
            errors = (FieldError('job_id', rule),)
            state.respond(event.request_id, NotAccepted('unknown_id', errors))
            return
        match find_spec(state.manifest, event.organisation, event.job_name):
            case Err(refusal):
                state.respond(event.request_id, refusal)
                return
            case Ok(spec):
                pass
        match self._check_admission(spec, now_ms):
            case Err(refusal):
                state.outbox.count(f'jobs.refused.{refusal.code}')
                state.respond(event.request_id, refusal)
                return
        if event.key and not state.store_up:
            self._refuse(event.request_id, 'store_unavailable')
            return
        job_id = event.job_id or state.mint_job_id()
        self.minted.pop(job_id, None)
        state.jobs[job_id] = Job(
            job_id=job_id,
            spec=spec,
            payload=event.payload,
            key=event.key,
            state=JobState.RECORDING,
            submitted_ms=now_ms,
            start_deadline_ms=now_ms + spec.start_limit_ms,
            request_id=event.request_id,
        )
        if state.store_up:
            self.recorder.create(job_id)
        else:
            self.recorder.accept_volatile(job_id)

    def _check_admission(self, spec: JobSpec, now_ms: int) -> Result[None, NotAccepted]:
        state = self.state
        name = spec.organisation
        result = check_admission(
            depth=state.queue.depth(name),
            queue_limit=state.manifest.organisations[name].queue_limit,
            ahead=state.queue.count_ahead(name, spec.job_class),
            rate=state.start_history.measure(name, now_ms),
            now_ms=now_ms,
            start_deadline_ms=now_ms + spec.start_limit_ms,
        )
        return result.map_err(
            lambda refusal: NotAccepted(refusal.reason, retry_ms=refusal.retry_ms),
        )

    def query(self, event: Queried, now_ms: int) -> None:
        """Answer where a job stands, at its end if the caller waits."""
        job = self.state.jobs.get(event.job_id)
        if job is not None:
            self._answer_query(job, event, now_ms)
            return
        forward = ForwardQuery(
            request_id=event.request_id,
            organisation=event.organisation,
            job_id=event.job_id,
            deadline_ms=now_ms + event.wait_ms,
        )
        self._forward(forward)

    def cancel(self, event: CancelRequested, now_ms: int) -> None:
        """Cancel a job; the answer says where it stands now."""
        job = self.state.jobs.get(event.job_id)
        if job is None:
            forward = ForwardCancel(event.request_id, event.organisation, event.job_id)
            self._forward(forward)
            return
        status = self.cancel_here(event.organisation, event.job_id, now_ms)
        if status.found:
            self.state.respond(event.request_id, status)
        else:
            self._refuse(event.request_id, 'not_found')

    def cancel_here(self, organisation: str, job_id: str, now_ms: int) -> JobStatus:
        """Cancel a job that this entry owns and return its state."""
        job = self.state.jobs.get(job_id)
        if job is None or job.spec.organisation != organisation:
            return JobStatus(job_id, found=False)
        if job.decided is None:
            self.dispatcher.cancel(job_id, now_ms)
        return self.state.jobs[job_id].make_status()

    def find_status(self, organisation: str, job_id: str) -> JobStatus:
        """Return the state of a job that this entry owns."""
        job = self.state.jobs.get(job_id)
        if job is None or job.spec.organisation != organisation:
            return JobStatus(job_id, found=False)
        return job.make_status()

    def take_forward_reply(self, tag: str, reply: Message | None, now_ms: int) -> None:
        """Take the owner entry's answer, or look into the store."""
        forward = self.forwards.pop(tag, None)
        if forward is None:
            return
        if not isinstance(reply, JobStatus) or not reply.found:
            self._load(forward)
            return
        self._answer_forward(forward, reply, now_ms)

    def take_record(self, tag: str, result: StoreResult, now_ms: int) -> None:
        """Take the record of a job that no entry named by its id holds."""
        forward = self.forwards.pop(tag, None)
        if forward is None:
            return
        match result:
            case Loaded(record, _) if record.organisation == forward.organisation:
                self._answer_from_record(forward, record, now_ms)
            case Unavailable():
                self._refuse(forward.request_id, 'store_unavailable')
            case Loaded() | Missing() | _:
                self._refuse(forward.request_id, 'not_found')

    def tick(self, now_ms: int) -> None:
        """Answer callers whose wait is over and ask other entries again."""
        for job_id, waiters in list(self.state.waiters.items()):
            due = [waiter for waiter in waiters if now_ms >= waiter.deadline_ms]
            for waiter in due:
                waiters.remove(waiter)
                job = self.state.jobs.get(job_id)
                if job is not None:
                    self.state.respond(waiter.request_id, job.make_status())
                else:
                    self._refuse(waiter.request_id, 'not_ready')
            if not waiters:
                del self.state.waiters[job_id]
        due_polls = [forward for due_ms, forward in self.polls if now_ms >= due_ms]
        self.polls = [poll for poll in self.polls if now_ms < poll[0]]
        for forward in due_polls:
            self._forward(forward)

    def _repeat_submission(self, event: Submitted) -> None:
        job = self.state.jobs[event.job_id]
        same = (job.spec.organisation, job.spec.name, job.payload)
        if same != (event.organisation, event.job_name, event.payload):
            rule = 'this id is in use for another submission'
            refusal = NotAccepted('id_taken', (FieldError('job_id', rule),))
            self.state.respond(event.request_id, refusal)
        elif job.state is JobState.RECORDING:
            self._refuse(event.request_id, 'in_progress')
        else:
            self.state.respond(event.request_id, job.make_status())

    def _answer_query(self, job: Job, event: Queried, now_ms: int) -> None:
        if job.spec.organisation != event.organisation:
            self._refuse(event.request_id, 'not_found')
        elif job.state is JobState.ENDED or not event.wait_ms:
            self.state.respond(event.request_id, job.make_status())
        else:
            waiter = Waiter(event.request_id, now_ms + event.wait_ms)
            self.state.waiters.setdefault(job.job_id, []).append(waiter)

    def _forward(self, forward: Forward) -> None:
        owner = self.state.find_entry(parse_incarnation(forward.job_id))
        if owner is None or owner.address == self.state.entry.address:
            self._load(forward)
        else:
            self._send(forward, owner.address)

    def _send(self, forward: Forward, address: str) -> None:
        match forward:
            case ForwardQuery(_, organisation, job_id):
                message: Message = QueryJob(organisation, job_id)
            case ForwardCancel(_, organisation, job_id):
                message = CancelJob(organisation, job_id)
        self.state.outbox.send(address, message, self._remember(forward, 'forward'))

    def _load(self, forward: Forward) -> None:
        if not self.state.store_up:
            self._refuse(forward.request_id, 'store_unavailable')
            return
        tag = self._remember(forward, 'lookup')
        self.state.outbox.add(LoadRecord(tag, forward.job_id))

    def _remember(self, forward: Forward, kind: str) -> str:
        tag = f'{kind}:{self.next_forward}'
        self.next_forward += 1
        self.forwards[tag] = forward
        return tag

    def _answer_from_record(self, forward: Forward, record: JobRecord, now_ms) -> None:
        owner = self.state.find_entry(record.owner)
        is_minter = record.owner == parse_incarnation(record.job_id)
        if record.state is JobState.ENDED or owner is None or is_minter:
            self._answer_forward(forward, make_record_status(record), now_ms)
        elif owner.address == self.state.entry.address:
            # This entry adopted the job meanwhile.
            self._answer_forward(forward, make_record_status(record), now_ms)
        else:
            self._send(forward, owner.address)

    def _answer_forward(self, forward: Forward, status: JobStatus, now_ms) -> None:
        match forward:
            case ForwardQuery(deadline_ms=deadline_ms) if (
                status.outcome is None and now_ms + FORWARD_POLL_MS < deadline_ms
            ):
                self.polls.append((now_ms + FORWARD_POLL_MS, forward))
            case _:
                self.state.respond(forward.request_id, status)

    def _refuse(self, request_id: int, code: str) -> None:
        retry_ms = 0 if code == 'not_found' else NOT_SERVING_RETRY_MS
        self.state.respond(request_id, NotAccepted(code, retry_ms=retry_ms))
