"""Requests of callers: submit, query and cancel jobs."""

from dataclasses import replace

from result import Err, Ok, Result

from yuccarelay.core.admission import check_admission
from yuccarelay.core.dispatch import Dispatcher
from yuccarelay.core.effects import IdMinted, NotAccepted, Undecided
from yuccarelay.core.entry_state import EntryState, Waiter
from yuccarelay.core.events import (
    CancelRequested,
    IdRequested,
    QueryRequested,
    SubmitRequested,
)
from yuccarelay.core.forwarding import Forwarder
from yuccarelay.core.jobs import Job
from yuccarelay.core.manifest import FieldError
from yuccarelay.core.messages import JobStatus, SubmitJob
from yuccarelay.core.models import JobSpec, JobState
from yuccarelay.core.recording import Recorder
from yuccarelay.core.submission import choose_region, find_spec


class JobRequests:
    """Handles callers' requests; those for other entries go to the forwarder."""

    def __init__(
        self,
        state: EntryState,
        recorder: Recorder,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
    ):
        self.state = state
        self.recorder = recorder
        self.dispatcher = dispatcher
        self.forwarder = forwarder
        self.minted: dict[str, str] = {}

    def mint(self, event: IdRequested) -> None:
        """Issue a job id that this entry accepts for one submission."""
        if not self.state.is_serving:
            self.state.refuse(event.request_id, 'not_ready')
            return
        job_id = self.state.mint_job_id()
        self.minted[job_id] = event.organisation
        self.state.respond(event.request_id, IdMinted(job_id))

    def submit(self, event: SubmitRequested, now_ms: int) -> None:
        """Accept and record a job, forward it to another region, or refuse it."""
        state = self.state
        if event.job_id and event.job_id in state.jobs:
            self._repeat_submission(event)
            return
        # While the store is down, the entry cannot register again. A job that
        # it accepts then has no record, so no other entry can have adopted it.
        if not state.is_serving or (state.fenced and state.store_up):
            state.refuse(event.request_id, 'not_ready')
            return
        if event.job_id and self.forwarder.repeat_submission(event):
            return
        if event.job_id and self.minted.get(event.job_id) != event.organisation:
            rule = 'this entry did not give out this id, or not to this organisation'
            errors = (FieldError('job_id', rule),)
            state.respond(event.request_id, NotAccepted('unknown_id', errors))
            return
        match find_spec(state.manifest, event.organisation, event.job_name):
            case Err(refusal):
                state.respond(event.request_id, refusal)
            case Ok(spec):
                self._submit_to_region(event, spec, now_ms)

    def submit_forwarded(self, message: SubmitJob, reply_to: int, now_ms: int) -> None:
        """Accept a job that an entry of another region forwarded."""
        self.minted[message.job_id] = message.organisation
        event = SubmitRequested(
            request_id=-reply_to,
            organisation=message.organisation,
            job_name=message.job_name,
            payload=message.payload,
            key=message.key,
            job_id=message.job_id,
        )
        self.submit(event, now_ms)

    def query(self, event: QueryRequested, now_ms: int) -> None:
        """Respond with a job's status, at its end if the caller waits."""
        job = self.state.jobs.get(event.job_id)
        if job is None:
            self.forwarder.query(event, now_ms)
        elif job.spec.organisation != event.organisation:
            self.state.refuse(event.request_id, 'not_found')
        elif job.state is JobState.ENDED or not event.wait_ms:
            self.state.respond(event.request_id, job.make_status())
        else:
            waiter = Waiter(event.request_id, now_ms + event.wait_ms)
            self.state.waiters.setdefault(job.job_id, []).append(waiter)

    def cancel(self, event: CancelRequested, now_ms: int) -> None:
        """Cancel a job and return its status to the caller."""
        if event.job_id not in self.state.jobs:
            self.forwarder.cancel(event)
            return
        status = self.cancel_here(event.organisation, event.job_id, now_ms)
        if status.found:
            self.state.respond(event.request_id, status)
        else:
            self.state.refuse(event.request_id, 'not_found')

    def cancel_here(self, organisation: str, job_id: str, now_ms: int) -> JobStatus:
        """Cancel a job that this entry owns and return its status."""
        job = self.state.jobs.get(job_id)
        if job is None or job.spec.organisation != organisation:
            return JobStatus(job_id, found=False)
        if job.decided is None:
            self.dispatcher.cancel(job_id, now_ms)
        return self.state.jobs[job_id].make_status()

    def find_status(self, organisation: str, job_id: str) -> JobStatus:
        """Return the status of a job that this entry owns."""
        job = self.state.jobs.get(job_id)
        if job is None or job.spec.organisation != organisation:
            return JobStatus(job_id, found=False)
        return job.make_status()

    def tick(self, now_ms: int) -> None:
        """Respond to callers whose wait has timed out, or to all when draining."""
        for job_id, waiters in list(self.state.waiters.items()):
            due = [
                waiter
                for waiter in waiters
                if now_ms >= waiter.deadline_ms or self.state.draining
            ]
            for waiter in due:
                waiters.remove(waiter)
                job = self.state.jobs.get(job_id)
                if job is not None:
                    self.state.respond(waiter.request_id, job.make_status())
                else:
                    self.state.refuse(waiter.request_id, 'not_ready')
            if not waiters:
                del self.state.waiters[job_id]

    def has_open(self) -> bool:
        """Whether a caller still waits for this entry, another one or the store."""
        return bool(self.state.waiters) or self.forwarder.has_open()

    def _submit_to_region(
        self, event: SubmitRequested, spec: JobSpec, now_ms: int
    ) -> None:
        state = self.state
        region = choose_region(state.manifest, spec, state.entry.region)
        if region == state.entry.region:
            self._submit_here(event, spec, now_ms)
            return
        job_id = event.job_id or state.mint_job_id()
        self.minted.pop(job_id, None)
        self.forwarder.submit(replace(event, job_id=job_id), region)

    def _submit_here(self, event: SubmitRequested, spec: JobSpec, now_ms: int) -> None:
        state = self.state
        match self._check_admission(spec, now_ms):
            case Err(refusal):
                state.outbox.count(f'jobs.refused.{refusal.code}')
                state.respond(event.request_id, refusal)
                return
        if event.key and not state.store_up:
            state.refuse(event.request_id, 'store_unavailable')
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

    def _repeat_submission(self, event: SubmitRequested) -> None:
        job = self.state.jobs[event.job_id]
        first = (job.spec.organisation, job.spec.name, job.payload)
        if first != (event.organisation, event.job_name, event.payload):
            rule = 'this id is in use for another submission'
            refusal = NotAccepted('id_taken', (FieldError('job_id', rule),))
            self.state.respond(event.request_id, refusal)
        elif job.state is JobState.RECORDING:
            self.state.respond(event.request_id, Undecided(job.job_id))
        else:
            self.state.respond(event.request_id, job.make_status())
