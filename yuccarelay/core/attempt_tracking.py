"""
Tracking of attempts that may have started, and what follows from their ends.

After `Launch` was sent, a job is sent again only when the agent proves that the
attempt did not start, or when the job is repeatable and its leases have expired.
"""

from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.jobs import Job
from yuccarelay.core.messages import (
    AttemptReport,
    AttemptStatus,
    EndState,
    Fate,
    Message,
    Settle,
    StopAttempt,
)
from yuccarelay.core.models import (
    CancelledAfterStart,
    CancelledBeforeStart,
    Completed,
    EndDetail,
    Failed,
    JobState,
    Unknown,
)
from yuccarelay.core.ordering import NO_DEADLINE_MS
from yuccarelay.core.recording import Recorder
from yuccarelay.core.retry import compute_backoff_ms
from yuccarelay.core.timing import (
    LEASE_MS,
    RENEW_INTERVAL_MS,
    REPEAT_INTERVAL_MS,
    SETTLE_MS,
    START_WINDOW_MS,
    TICK_MS,
)

# A repeatable job is started again only when no member of the lost attempt can
# still run.
RESTART_DELAY_MS = LEASE_MS + START_WINDOW_MS + RENEW_INTERVAL_MS + 2 * TICK_MS
# A running attempt is settled when its leader has not announced it for this long.
ANNOUNCEMENT_TIMEOUT_MS = 10_000
# A job whose workers are lost this often may be the cause of their loss. It starts
# again rarely, so that it takes few others with it.
FREQUENT_STARTS = 20
FREQUENT_RESTART_DELAY_MS = 60_000
# The deadline for the next announcement is moved only when it lags by this much.
ANNOUNCEMENT_SLACK_MS = 2_000
# Jobs run for hours. If they were charged only at their ends, an organisation that
# occupies the whole fleet would appear to use nothing.
CHARGE_INTERVAL_MS = 15_000


class AttemptTracker:
    """Tracks running attempts and decides what follows from each end."""

    def __init__(self, state: EntryState, recorder: Recorder):
        self.state = state
        self.recorder = recorder

    def take_running(self, job: Job, now_ms: int) -> None:
        """Record that the leader has accepted the attempt."""
        if job.starts == 0:
            self._record_first_start(job, now_ms)
        self.state.update(
            job.job_id,
            state=JobState.RUNNING,
            starts=job.starts if job.started_ms else job.starts + 1,
            started_ms=job.started_ms or now_ms,
            conflicts=0,
            next_send_ms=now_ms + ANNOUNCEMENT_TIMEOUT_MS,
        )
        self.state.outbox.log(
            'job_started',
            job_id=job.job_id,
            attempt=job.attempt,
            worker=job.members[0].worker_id,
        )
        if job.cancelling:
            self.send_stop(job)

    def _record_first_start(self, job: Job, now_ms: int) -> None:
        state = self.state
        state.observe('wait', job, now_ms - job.submitted_ms)
        state.find_budget(job.spec.service).record_fresh(now_ms)
        waiting = state.queue.depth(job.spec.organisation)
        state.start_history.record(job.spec.organisation, now_ms, waiting)

    def settle(self, job_id: str, now_ms: int) -> None:
        """Ask the leader for the status of an attempt that may have started."""
        job = self.state.update(
            job_id,
            state=JobState.SETTLING,
            deadline_ms=now_ms + SETTLE_MS,
        )
        self._send_settle(job, now_ms)

    def _send_settle(self, job: Job, now_ms: int) -> None:
        leader = job.members[0]
        self.state.update(job.job_id, next_send_ms=now_ms + REPEAT_INTERVAL_MS)
        message = Settle(
            attempt_id=job.attempt_id,
            incarnation=leader.incarnation,
            owner_address=self.state.entry.address,
        )
        self.state.outbox.send(leader.address, message, f'settle:{job.attempt_id}')

    def take_attempt_status(
        self,
        attempt_id: str,
        reply: Message | None,
        now_ms: int,
    ) -> None:
        """Handle the status of an attempt that its leader reports."""
        job = self.state.find_current(attempt_id)
        if job is None or job.state not in (JobState.SETTLING, JobState.RUNNING):
            return
        match reply:
            case Fate(state=AttemptStatus.NOT_STARTED):
                self._end_not_started(job, now_ms)
            case Fate(state=AttemptStatus.RUNNING):
                if job.state is JobState.SETTLING:
                    self.take_running(job, now_ms)
            case Fate(state=AttemptStatus.ENDED, end=EndState() as end, detail=detail):
                self.take_end(job, end, detail or EndDetail(), now_ms)
            case Fate(state=AttemptStatus.UNKNOWN):
                self._end_lost(job, 'the agent restarted', now_ms)

    def take_report(self, report: AttemptReport, now_ms: int) -> bool:
        """Handle the report of an end; return whether this entry has the job."""
        job = self.state.find_current(report.attempt_id)
        if job is None:
            job_id = report.attempt_id.rpartition('.')[0]
            return job_id in self.state.jobs
        if job.state is JobState.ENDED:
            self._correct_unknown(job, report, now_ms)
        elif job.state in (JobState.LAUNCHING, JobState.RUNNING, JobState.SETTLING):
            self.take_end(job, report.end, report.detail, now_ms)
        return True

    def _correct_unknown(self, job: Job, report: AttemptReport, now_ms: int) -> None:
        # A late report of completion replaces an unknown outcome.
        if isinstance(job.outcome, Unknown) and report.end is EndState.COMPLETED:
            self.state.update(job.job_id, recorded=False)
            self.recorder.decide(job.job_id, Completed(report.detail.parts), now_ms)

    def take_end(
        self,
        job: Job,
        end: EndState,
        detail: EndDetail,
        now_ms: int,
    ) -> None:
        """Decide what follows from the end of an attempt."""
        if end is EndState.COMPLETED:
            self._record_success(job, now_ms)
        self._charge(job, now_ms)
        if end is not EndState.NOT_STARTED:
            self.state.update(job.job_id, may_have_run=True)
        job = self.state.jobs[job.job_id]
        match end:
            case EndState.COMPLETED:
                completed = Completed(detail.parts)
                self.recorder.decide(job.job_id, completed, now_ms)
            case EndState.FAILED:
                self._end_failed(job, detail.reason, now_ms)
            case EndState.NOT_STARTED:
                self._end_not_started(job, now_ms)
            case EndState.PREEMPTED:
                self._end_preempted(job, detail, now_ms)
            case EndState.STOPPED:
                stopped = CancelledAfterStart(detail.reason)
                self.recorder.decide(job.job_id, stopped, now_ms)
            case EndState.LOST:
                self._end_lost(job, detail.reason, now_ms)

    def _end_preempted(self, job: Job, detail: EndDetail, now_ms: int) -> None:
        self.state.outbox.count('preemptions')
        # A target may save the progress of any task; only a job that is declared
        # checkpointable resumes from there.
        resumes = job.spec.checkpointable and detail.checkpointed
        if job.spec.repeatable or resumes:
            self.requeue(job, now_ms, delay_ms=0)
        else:
            # Another attempt would do the first part of the work twice.
            reason = f'{detail.reason}, without a checkpoint'
            self.recorder.decide(job.job_id, Failed(reason), now_ms)

    def _end_failed(self, job: Job, reason: str, now_ms: int) -> None:
        self._record_failure(job, reason, now_ms)
        job = self.state.update(job.job_id, failures=job.failures + 1)
        retry = job.spec.repeatable and job.failures < job.spec.attempt_limit
        if job.cancelling or not retry:
            self.recorder.decide(job.job_id, Failed(reason), now_ms)
            return
        self.state.outbox.count('retries')
        job = self.state.update(job.job_id, retrying=True)
        self.requeue(job, now_ms, self.find_backoff_ms(job.failures))

    def _end_not_started(self, job: Job, now_ms: int) -> None:
        job = self.state.update(job.job_id, conflicts=job.conflicts + 1)
        self.requeue(job, now_ms, self.find_backoff_ms(job.conflicts))

    def _end_lost(self, job: Job, reason: str, now_ms: int) -> None:
        self._record_failure(job, reason, now_ms)
        job = self.state.update(job.job_id, may_have_run=True)
        if not job.spec.repeatable:
            self.recorder.decide(job.job_id, Unknown(reason), now_ms)
        elif job.cancelling:
            self.recorder.decide(job.job_id, CancelledAfterStart(reason), now_ms)
        else:
            # The loss of an instance is not a failure of the job. The retry budget
            # does not apply, because with it the work of a lost failure domain would
            # take hours to start elsewhere.
            self.state.outbox.count('restarts')
            is_frequent = job.starts >= FREQUENT_STARTS
            delay_ms = FREQUENT_RESTART_DELAY_MS if is_frequent else RESTART_DELAY_MS
            self.requeue(job, now_ms, delay_ms)

    def requeue(self, job: Job, now_ms: int, delay_ms: int) -> None:
        """Queue a job for another attempt, or end it when it is cancelled."""
        state = self.state
        state.view.drop_pending(job.attempt_id, job.members)
        if job.cancelling:
            proof = f'attempt {job.attempt_id} did not start'
            outcome = (
                CancelledBeforeStart(proof)
                if not job.has_run
                else CancelledAfterStart('an earlier attempt ran or may have run')
            )
            self.recorder.decide(job.job_id, outcome, now_ms)
            return
        if job.has_run:
            # The deadline is for the first start; a job that has run may restart later.
            state.update(job.job_id, start_deadline_ms=NO_DEADLINE_MS)
        state.update(
            job.job_id,
            not_before_ms=now_ms + delay_ms,
            members=(),
            ready=frozenset(),
            asked=0,
        )
        state.enqueue(job.job_id)

    def send_stop(self, job: Job) -> None:
        """Ask the leader to stop the attempt."""
        leader = job.members[0]
        message = StopAttempt(job.attempt_id, leader.incarnation)
        self.state.outbox.send(leader.address, message, f'stop:{job.attempt_id}')

    def tick_settling(self, job: Job, now_ms: int) -> None:
        """Query the attempt status again, until the deadline."""
        if now_ms >= job.deadline_ms:
            self._end_lost(job, 'the agent does not answer', now_ms)
        elif now_ms >= job.next_send_ms:
            self._send_settle(job, now_ms)

    def tick_running(self, job: Job, now_ms: int) -> None:
        """Settle an attempt whose leader is silent or does not announce it."""
        since_ms = max(job.started_ms, job.charged_until_ms)
        if job.started_ms and now_ms >= since_ms + CHARGE_INTERVAL_MS:
            self._charge_running(job, now_ms)
        leader = job.members[0]
        record = self.state.view.workers.get(leader.worker_id)
        attempt_id = job.attempt_id
        announced = record is not None and any(
            grant.attempt_id == attempt_id for grant in record.state.grants
        )
        if self.state.view.is_suspect(leader.worker_id, now_ms):
            self.settle(job.job_id, now_ms)
        elif record.state.incarnation != leader.incarnation:
            self._end_lost(job, 'the agent restarted', now_ms)
        elif announced:
            if (
                job.next_send_ms
                < now_ms + ANNOUNCEMENT_TIMEOUT_MS - ANNOUNCEMENT_SLACK_MS
            ):
                self.state.update(
                    job.job_id, next_send_ms=now_ms + ANNOUNCEMENT_TIMEOUT_MS
                )
        elif now_ms >= job.next_send_ms:
            self.settle(job.job_id, now_ms)
        elif job.cancelling and now_ms >= job.next_send_ms - ANNOUNCEMENT_TIMEOUT_MS:
            self.send_stop(job)

    def _charge(self, job: Job, now_ms: int) -> None:
        if not job.started_ms:
            return
        self._charge_running(job, now_ms)
        used = (now_ms - job.started_ms) * max(1, job.spec.total_accelerators)
        self.state.update(job.job_id, attained_ms=job.attained_ms + used, started_ms=0)

    def _charge_running(self, job: Job, now_ms: int) -> None:
        """Charge the organisation for the time since the last charge."""
        since_ms = max(job.started_ms, job.charged_until_ms)
        used = (now_ms - since_ms) * max(1, job.spec.total_accelerators)
        self.state.queue.charge(job.spec.organisation, used)
        self.state.update(job.job_id, charged_until_ms=now_ms)

    def _record_success(self, job: Job, now_ms: int) -> None:
        health = self.state.find_health(job.spec.service)
        for ref in job.members:
            health.record(ref.worker_id, True, now_ms)
        if job.starts > 1:
            self.state.find_budget(job.spec.service).refund(now_ms)
        if job.started_ms:
            run_ms = now_ms - job.started_ms
            self.state.run_history.record(job.spec, run_ms)

    def _record_failure(self, job: Job, reason: str, now_ms: int) -> None:
        # The reason begins with the id of the worker that ended the attempt; the
        # other members of a gang did not fail.
        failed_worker_id = reason.partition(':')[0]
        refs = [ref for ref in job.members if ref.worker_id == failed_worker_id]
        domains = set()
        for ref in refs or job.members:
            self.state.find_health(job.spec.service).record(
                ref.worker_id,
                False,
                now_ms,
            )
            record = self.state.view.workers.get(ref.worker_id)
            if record is not None:
                domains.add(record.state.domain)
        self.state.update(job.job_id, avoid_domains=frozenset(domains))

    def find_backoff_ms(self, retry: int) -> int:
        """Return the delay before the next acquisition, with jitter."""
        return compute_backoff_ms(retry, self.state.rng.random())
