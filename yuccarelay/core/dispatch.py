"""
Attempts of an entry's jobs: acquire workers, record, launch, follow, settle.

An attempt id is used for one acquisition only. After `Launch` was sent, the job
is sent again only when the agent proves that the attempt did not start, or when
the job is repeatable and its leases have lapsed.
"""

from yuccarelay.core.jobs import Job
from yuccarelay.core.messages import (
    Abort,
    AttemptReport,
    EndState,
    Fate,
    FateState,
    Launch,
    Launched,
    Message,
    Prepare,
    Prepared,
    Reclaiming,
    Refusal,
    Refused,
    Settle,
    StopAttempt,
)
from yuccarelay.core.models import (
    CHECKPOINTED,
    CancelledAfterStart,
    CancelledBeforeStart,
    Claim,
    Completed,
    Failed,
    JobSpec,
    JobState,
    MemberRef,
    NotRun,
    OutcomeRecord,
    Unknown,
)
from yuccarelay.core.placement import Assignment, Candidate, choose_workers
from yuccarelay.core.recording import Recorder
from yuccarelay.core.state import EntryState
from yuccarelay.core.timing import (
    HOLD_MS,
    LEASE_MS,
    RENEW_INTERVAL_MS,
    REPEAT_INTERVAL_MS,
    SETTLE_MS,
    START_WINDOW_MS,
    TICK_MS,
)

ACQUIRE_MS = 20_000
LAUNCH_MS = 5_000
BACKOFF_MS = 100
BACKOFF_LIMIT_MS = 5_000
# A repeatable job is started again only when no member of the lost attempt can
# still run.
LAPSE_MS = LEASE_MS + START_WINDOW_MS + RENEW_INTERVAL_MS + 2 * TICK_MS
# A running attempt is settled when its leader no longer announces it for so long.
MISSING_MS = 10_000
# Jobs that are looked at in one scheduling pass.
PASS_LIMIT = 200


class Dispatcher:
    """Drives each job's current attempt."""

    def __init__(self, state: EntryState, recorder: Recorder):
        self.state = state
        self.recorder = recorder

    def schedule(self, now_ms: int) -> None:
        """Start attempts for queued jobs, best first, while workers are free."""
        state = self.state
        if not state.is_serving:
            return
        unplaceable: set[JobSpec] = set()
        for queued in state.queue.order(now_ms, PASS_LIMIT):
            job = state.jobs[queued.job_id]
            if now_ms < job.not_before_ms or job.writing or not self._may_start(job):
                continue
            if job.spec in unplaceable:
                continue
            candidates = state.view.find_candidates(job.spec, now_ms)
            assignments = choose_workers(
                job.spec,
                candidates,
                state.policy,
                job.avoid_domains,
            )
            if assignments is None:
                unplaceable.add(job.spec)
            else:
                self._begin(job, assignments, candidates, now_ms)

    def _may_start(self, job: Job) -> bool:
        state = self.state
        if not job.is_stored:
            return True
        if state.fenced:
            return False
        return job.spec.repeatable or (state.store_up and job.record_known)

    def _begin(
        self,
        job: Job,
        assignments: tuple[Assignment, ...],
        candidates: list[Candidate],
        now_ms: int,
    ) -> None:
        state = self.state
        by_worker = {candidate.worker_id: candidate for candidate in candidates}
        members = tuple(
            self._make_ref(job, assignment)
            for assignment in sorted(assignments, key=lambda one: one.worker_id)
        )
        reclaims = any(
            ref.claim.total_accelerators > by_worker[ref.worker_id].free_accelerators
            or len(ref.claim.members) > by_worker[ref.worker_id].free_slots
            for ref in members
        )
        state.queue.remove(job.job_id)
        job = state.update(
            job.job_id,
            state=JobState.ACQUIRING,
            attempt=job.next_attempt,
            members=members,
            ready=frozenset(),
            next_send_ms=now_ms,
            deadline_ms=now_ms + ACQUIRE_MS,
        )
        state.view.add_pending(job.attempt_id, members)
        if len(members) == 1 and not reclaims and not job.needs_attempt_record:
            self._launch(job.job_id, now_ms)
        else:
            self._prepare(job.job_id, 0)

    def _make_ref(self, job: Job, assignment: Assignment) -> MemberRef:
        worker = self.state.view.workers[assignment.worker_id].state
        return MemberRef(
            worker_id=worker.worker_id,
            address=worker.address,
            incarnation=worker.incarnation,
            claim=Claim(
                organisation=job.spec.organisation,
                job_name=job.spec.name,
                members=assignment.members,
                accelerators=job.spec.accelerators,
                guaranteed=assignment.guaranteed,
                preemptible=job.spec.preemptible,
            ),
        )

    def _prepare(self, job_id: str, index: int) -> None:
        job = self.state.jobs[job_id]
        ref = job.members[index]
        message = Prepare(
            attempt_id=job.attempt_id,
            incarnation=ref.incarnation,
            generation=self.state.generation,
            claim=ref.claim,
            hold_ms=HOLD_MS,
        )
        tag = f'prepare:{job.attempt_id}#{index}'
        self.state.outbox.send(ref.address, message, tag)

    def take_prepare_reply(
        self,
        attempt_id: str,
        index: int,
        reply: Message | None,
        now_ms: int,
    ) -> None:
        """Take a member's answer; ask the next one in order of worker ids."""
        job = self._find_current(attempt_id, JobState.ACQUIRING)
        if job is None:
            return
        asked_all = index + 1 >= len(job.members)
        match reply:
            case Prepared():
                job = self.state.update(job.job_id, ready=job.ready | {index})
            case Reclaiming(_, ready_ms):
                # The others can be asked meanwhile; this one is asked again.
                self.state.update(
                    job.job_id,
                    next_send_ms=min(now_ms + ready_ms, now_ms + REPEAT_INTERVAL_MS),
                )
            case Refused(_, refusal):
                self._give_up(job, index, refusal.value, now_ms)
                return
            case _:
                self._give_up(job, index, 'no answer', now_ms)
                return
        if not asked_all and job.asked == index:
            self.state.update(job.job_id, asked=index + 1)
            self._prepare(job.job_id, index + 1)
        elif len(job.ready) == len(job.members):
            self._launch_when_recorded(job.job_id, now_ms)

    def _launch_when_recorded(self, job_id: str, now_ms: int) -> None:
        job = self.state.jobs[job_id]
        if not job.needs_attempt_record:
            self._launch(job_id, now_ms)
        elif not job.writing:
            self.recorder.write_attempt(job_id)

    def take_record_step(self, step: str, job_id: str, now_ms: int) -> None:
        """Go on after a store call for a job has ended."""
        job = self.state.jobs.get(job_id)
        if job is None or job.state is not JobState.ACQUIRING:
            return
        if job.cancelling:
            self._give_up(job, -1, 'cancelled', now_ms)
            return
        match step:
            case 'attempt':
                self._launch(job_id, now_ms)
            case 'attempt_unavailable':
                self._give_up(job, -1, 'store unavailable', now_ms)
            case 'current':
                self._launch_when_recorded(job_id, now_ms)

    def _launch(self, job_id: str, now_ms: int) -> None:
        job = self.state.update(
            job_id,
            state=JobState.LAUNCHING,
            deadline_ms=now_ms + LAUNCH_MS,
        )
        self._send_launch(job)

    def _send_launch(self, job: Job) -> None:
        leader = job.members[0]
        message = Launch(
            attempt_id=job.attempt_id,
            incarnation=leader.incarnation,
            generation=self.state.generation,
            members=job.members,
            payload=job.payload,
            owner_address=self.state.entry.address,
            run_ms=job.spec.run_limit_ms,
        )
        self.state.outbox.send(leader.address, message, f'launch:{job.attempt_id}')

    def take_launch_reply(
        self,
        attempt_id: str,
        reply: Message | None,
        now_ms: int,
    ) -> None:
        """Take the leader's answer to `Launch`; no answer means that it may run."""
        job = self._find_current(attempt_id, JobState.LAUNCHING)
        if job is None:
            return
        match reply:
            case Launched():
                self._take_running(job, now_ms)
            case Refused(_, refusal):
                # The refusal proves that nothing started, and leaves a tombstone.
                self._give_up(job, 0, refusal.value, now_ms)
            case Reclaiming(_, ready_ms):
                self.state.update(
                    job.job_id,
                    state=JobState.ACQUIRING,
                    deadline_ms=now_ms + ACQUIRE_MS,
                    next_send_ms=now_ms + ready_ms,
                )
            case _ if now_ms < job.deadline_ms:
                self._send_launch(job)
            case _:
                self.settle(job.job_id, now_ms)

    def _take_running(self, job: Job, now_ms: int) -> None:
        if job.starts == 0:
            self.state.observe('wait', job, now_ms - job.submitted_ms)
        self.state.update(
            job.job_id,
            state=JobState.RUNNING,
            starts=job.starts if job.started_ms else job.starts + 1,
            started_ms=job.started_ms or now_ms,
            conflicts=0,
            next_send_ms=now_ms + MISSING_MS,
        )
        self.state.outbox.log(
            'job_started',
            job_id=job.job_id,
            attempt=job.attempt,
            worker=job.members[0].worker_id,
        )
        if job.cancelling:
            self._send_stop(job)

    def settle(self, job_id: str, now_ms: int) -> None:
        """Find out what became of an attempt that may have started."""
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

    def take_fate(
        self,
        attempt_id: str,
        reply: Message | None,
        now_ms: int,
    ) -> None:
        """Take what the leader proves about an attempt."""
        job = self._find_current(attempt_id)
        if job is None or job.state not in (JobState.SETTLING, JobState.RUNNING):
            return
        match reply:
            case Fate(state=FateState.NOT_STARTED):
                self._end_not_started(job, now_ms)
            case Fate(state=FateState.RUNNING):
                if job.state is JobState.SETTLING:
                    self._take_running(job, now_ms)
            case Fate(state=FateState.ENDED, end=EndState() as end, outcome=outcome):
                self.take_end(job, end, outcome, now_ms)
            case Fate(state=FateState.UNKNOWN):
                self._end_lost(job, 'the agent restarted', now_ms)

    def take_report(self, report: AttemptReport, now_ms: int) -> bool:
        """Take the end of an attempt; false when this entry does not have the job."""
        job = self._find_current(report.attempt_id)
        if job is None:
            job_id = report.attempt_id.rpartition('.')[0]
            return job_id in self.state.jobs
        if job.state is JobState.ENDED:
            self._correct_unknown(job, report, now_ms)
        elif job.state in (JobState.LAUNCHING, JobState.RUNNING, JobState.SETTLING):
            self.take_end(job, report.end, report.outcome, now_ms)
        return True

    def _correct_unknown(self, job: Job, report: AttemptReport, now_ms: int) -> None:
        # A proof that arrives late replaces an outcome that was unknown.
        if isinstance(job.outcome, Unknown) and report.end is EndState.COMPLETED:
            self.state.update(job.job_id, recorded=False)
            self.recorder.decide(job.job_id, Completed(report.outcome.parts), now_ms)

    def take_end(
        self,
        job: Job,
        end: EndState,
        outcome: OutcomeRecord,
        now_ms: int,
    ) -> None:
        """Decide what follows from the end of an attempt."""
        self._charge(job, now_ms)
        match end:
            case EndState.COMPLETED:
                completed = Completed(outcome.parts)
                self.recorder.decide(job.job_id, completed, now_ms)
            case EndState.FAILED:
                self._end_failed(job, outcome.reason, now_ms)
            case EndState.NOT_STARTED:
                self._end_not_started(job, now_ms)
            case EndState.PREEMPTED:
                self._end_preempted(job, outcome, now_ms)
            case EndState.STOPPED:
                stopped = CancelledAfterStart(outcome.reason)
                self.recorder.decide(job.job_id, stopped, now_ms)
            case EndState.LOST:
                self._end_lost(job, outcome.reason, now_ms)

    def _end_preempted(self, job: Job, outcome: OutcomeRecord, now_ms: int) -> None:
        self.state.outbox.count('preemptions')
        if job.spec.repeatable or outcome.proof == CHECKPOINTED:
            self._requeue(job, now_ms, delay_ms=0)
        else:
            # Another attempt would do the first part of the work twice.
            reason = f'{outcome.reason}, without a checkpoint'
            self.recorder.decide(job.job_id, Failed(reason), now_ms)

    def _end_failed(self, job: Job, reason: str, now_ms: int) -> None:
        self._avoid(job)
        retry = job.spec.repeatable and job.starts < job.spec.attempt_limit
        if job.cancelling or not retry:
            self.recorder.decide(job.job_id, Failed(reason), now_ms)
        else:
            self.state.outbox.count('retries')
            self._requeue(job, now_ms, self._backoff_ms(job.starts))

    def _end_not_started(self, job: Job, now_ms: int) -> None:
        if job.cancelling:
            proof = f'the agent refuses attempt {job.attempt_id} from now on'
            self.recorder.decide(job.job_id, CancelledBeforeStart(proof), now_ms)
        else:
            job = self.state.update(job.job_id, conflicts=job.conflicts + 1)
            self._requeue(job, now_ms, self._backoff_ms(job.conflicts))

    def _end_lost(self, job: Job, reason: str, now_ms: int) -> None:
        self._avoid(job)
        if not job.spec.repeatable:
            self.recorder.decide(job.job_id, Unknown(reason), now_ms)
        elif job.cancelling:
            self.recorder.decide(job.job_id, CancelledAfterStart(reason), now_ms)
        elif job.starts >= job.spec.attempt_limit:
            self.recorder.decide(job.job_id, Failed(reason), now_ms)
        else:
            self.state.outbox.count('retries')
            self._requeue(job, now_ms, LAPSE_MS)

    def _requeue(self, job: Job, now_ms: int, delay_ms: int) -> None:
        state = self.state
        state.view.drop_pending(job.attempt_id, job.members)
        if job.cancelling:
            proof = f'attempt {job.attempt_id} did not start'
            outcome = (
                CancelledBeforeStart(proof)
                if job.starts == 0
                else CancelledAfterStart('an earlier attempt ran')
            )
            self.recorder.decide(job.job_id, outcome, now_ms)
            return
        if job.starts:
            # The limit is for the first start; each further one has as long.
            deadline_ms = now_ms + delay_ms + job.spec.start_limit_ms
            state.update(job.job_id, start_deadline_ms=deadline_ms)
        state.update(
            job.job_id,
            not_before_ms=now_ms + delay_ms,
            members=(),
            ready=frozenset(),
            asked=0,
        )
        state.enqueue(job.job_id)

    def _give_up(self, job: Job, index: int, reason: str, now_ms: int) -> None:
        """Release an acquisition that met a refusal; nothing of it has started."""
        state = self.state
        state.outbox.log('acquire_failed', attempt_id=job.attempt_id, reason=reason)
        state.outbox.count('acquire_failed')
        if index >= 0 and reason != Refusal.TOMBSTONED.value:
            state.view.mark_full(job.members[index].worker_id, now_ms)
        last = len(job.members) - 1 if index < 0 else max(index, job.asked)
        for ref in job.members[: last + 1]:
            abort = Abort(job.attempt_id, ref.incarnation)
            state.outbox.send(ref.address, abort, f'abort:{job.attempt_id}')
        job = state.update(job.job_id, conflicts=job.conflicts + 1)
        self._requeue(job, now_ms, self._backoff_ms(job.conflicts))

    def give_up_for_drain(self, job: Job, now_ms: int) -> None:
        """Release an acquisition, because the entry leaves."""
        self._give_up(job, -1, 'the entry leaves', now_ms)

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancel a job in whatever state it is."""
        job = self.state.update(job_id, cancelling=True)
        match job.state:
            case JobState.QUEUED:
                self._requeue(job, now_ms, delay_ms=0)
            case JobState.ACQUIRING if job.writing != 'attempt':
                self._give_up(job, -1, 'cancelled', now_ms)
            case JobState.RUNNING:
                self._send_stop(job)

    def _send_stop(self, job: Job) -> None:
        leader = job.members[0]
        message = StopAttempt(job.attempt_id, leader.incarnation)
        self.state.outbox.send(leader.address, message, f'stop:{job.attempt_id}')

    def tick(self, now_ms: int) -> None:
        """Check the deadlines of queued jobs and of attempts."""
        for queued in self.state.queue.take_expired(now_ms):
            self._expire_queued(queued.job_id, now_ms)
        for job in list(self.state.jobs.values()):
            match job.state:
                case JobState.QUEUED if job.cancelling and job.decided is None:
                    self._requeue(job, now_ms, delay_ms=0)
                case JobState.ACQUIRING:
                    self._tick_acquiring(job, now_ms)
                case JobState.SETTLING:
                    self._tick_settling(job, now_ms)
                case JobState.RUNNING:
                    self._tick_running(job, now_ms)

    def _expire_queued(self, job_id: str, now_ms: int) -> None:
        job = self.state.jobs[job_id]
        if job.starts:
            outcome = Failed('no worker was free for another attempt in time')
            self.recorder.decide(job_id, outcome, now_ms)
        else:
            outcome = NotRun('start deadline passed', 'it was never launched')
            self.recorder.decide(job_id, outcome, now_ms)

    def _tick_acquiring(self, job: Job, now_ms: int) -> None:
        if job.writing == 'attempt':
            return
        if now_ms >= job.deadline_ms:
            self._give_up(job, -1, 'not acquired in time', now_ms)
        elif now_ms >= job.next_send_ms:
            # Holds are extended, and members that were reclaiming asked again.
            self.state.update(job.job_id, next_send_ms=now_ms + REPEAT_INTERVAL_MS)
            for index in range(job.asked + 1):
                self._prepare(job.job_id, index)

    def _tick_settling(self, job: Job, now_ms: int) -> None:
        if now_ms >= job.deadline_ms:
            self._end_lost(job, 'the agent does not answer', now_ms)
        elif now_ms >= job.next_send_ms:
            self._send_settle(job, now_ms)

    def _tick_running(self, job: Job, now_ms: int) -> None:
        leader = job.members[0]
        record = self.state.view.workers.get(leader.worker_id)
        known = record is not None and any(
            grant.attempt_id == job.attempt_id for grant in record.state.grants
        )
        if self.state.view.is_suspect(leader.worker_id, now_ms):
            self.settle(job.job_id, now_ms)
        elif record.state.incarnation != leader.incarnation:
            self._end_lost(job, 'the agent restarted', now_ms)
        elif known:
            self.state.update(job.job_id, next_send_ms=now_ms + MISSING_MS)
        elif now_ms >= job.next_send_ms:
            self.settle(job.job_id, now_ms)
        elif job.cancelling and now_ms >= job.next_send_ms - MISSING_MS:
            self._send_stop(job)

    def _charge(self, job: Job, now_ms: int) -> None:
        if not job.started_ms:
            return
        used = (now_ms - job.started_ms) * max(1, job.spec.total_accelerators)
        self.state.queue.charge(job.spec.organisation, used)
        self.state.update(job.job_id, attained_ms=job.attained_ms + used, started_ms=0)

    def _avoid(self, job: Job) -> None:
        domains = {
            self.state.view.workers[ref.worker_id].state.domain
            for ref in job.members
            if ref.worker_id in self.state.view.workers
        }
        self.state.update(job.job_id, avoid_domains=frozenset(domains))

    def _backoff_ms(self, tries: int) -> int:
        ceiling = min(BACKOFF_LIMIT_MS, BACKOFF_MS * 2 ** min(tries, 10))
        return int(ceiling * (0.5 + 0.5 * self.state.rng.random()))

    def _find_current(
        self,
        attempt_id: str,
        job_state: JobState | None = None,
    ) -> Job | None:
        """Return the job whose current attempt this is, in that state if given."""
        job = self.state.jobs.get(attempt_id.rpartition('.')[0])
        if job is None or job.attempt_id != attempt_id:
            return None
        if job_state is not None and job.state is not job_state:
            return None
        return job
