"""
Acquisition of workers for one attempt: reserve, record, launch.

An attempt id is used for one acquisition only. `Prepare` goes to the members in the
order of worker ids, so of two entries in conflict one always proceeds.
"""

from yuccarelay.core.attempt_tracking import AttemptTracker
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.jobs import Job
from yuccarelay.core.messages import (
    Abort,
    Launch,
    Launched,
    Message,
    Prepare,
    Prepared,
    Reclaiming,
    Refusal,
    Refused,
)
from yuccarelay.core.models import (
    Claim,
    JobState,
    MemberRef,
)
from yuccarelay.core.placement import Assignment, Candidate
from yuccarelay.core.recording import Recorder
from yuccarelay.core.timing import (
    HOLD_MS,
    REPEAT_INTERVAL_MS,
)

ACQUIRE_MS = 20_000
# `Prepare` messages without a reply, in a row, after which an agent counts as
# unreachable. Until then its worker and the holds on the others are kept.
UNANSWERED_LIMIT = 3
LAUNCH_MS = 5_000


class Acquirer:
    """Drives an attempt from the choice of workers to its launch."""

    def __init__(
        self, state: EntryState, recorder: Recorder, attempt_tracker: AttemptTracker
    ):
        self.state = state
        self.recorder = recorder
        self.attempt_tracker = attempt_tracker

    def begin(
        self,
        job: Job,
        assignments: tuple[Assignment, ...],
        candidates: list[Candidate],
        now_ms: int,
    ) -> None:
        """Begin an attempt on the chosen workers."""
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
            unanswered=0,
            launched=False,
            next_send_ms=now_ms,
            deadline_ms=now_ms + ACQUIRE_MS,
        )
        state.view.add_pending(job.attempt_id, members)
        for ref in members:
            state.find_health(job.spec.service).begin_probe(ref.worker_id, now_ms)
        if job.retrying:
            state.find_budget(job.spec.service).take(now_ms)
            job = state.update(job.job_id, retrying=False)
        # Other jobs need `Prepare` even if they have no record. If `Launch` were the
        # first message to the agent, a refusal by another incarnation could not prove
        # that nothing started.
        skips_prepare = job.spec.repeatable and not reclaims
        if len(members) == 1 and skips_prepare:
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
        """Handle a reply to `Prepare`, and send one to the next member."""
        job = self.state.find_current(attempt_id, JobState.ACQUIRING)
        if job is None:
            return
        if reply is None and job.unanswered + 1 < UNANSWERED_LIMIT:
            unanswered = job.unanswered + 1
            self.state.update(job.job_id, unanswered=unanswered, next_send_ms=now_ms)
            return
        if reply is not None:
            job = self.state.update(job.job_id, unanswered=0)
        all_asked = index + 1 >= len(job.members)
        match reply:
            case Prepared():
                job = self.state.update(job.job_id, ready=job.ready | {index})
            case Reclaiming(_, ready_ms):
                # The other members can prepare meanwhile; this one is asked again.
                self.state.update(
                    job.job_id,
                    next_send_ms=min(now_ms + ready_ms, now_ms + REPEAT_INTERVAL_MS),
                )
            case Refused(_, refusal):
                self.abandon(job, index, refusal.value, now_ms)
                return
            case _:
                self.abandon(job, index, 'no answer', now_ms)
                return
        if not all_asked and job.asked == index:
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
        """Continue the acquisition when a store call for its job has ended."""
        job = self.state.jobs.get(job_id)
        if job is None or job.state is not JobState.ACQUIRING:
            return
        if job.cancelling:
            self.abandon(job, -1, 'cancelled', now_ms)
            return
        match step:
            case 'attempt':
                self._launch(job_id, now_ms)
            case 'attempt_unavailable':
                self.abandon(job, -1, 'store unavailable', now_ms)
            case 'current':
                self._launch_when_recorded(job_id, now_ms)

    def _launch(self, job_id: str, now_ms: int) -> None:
        job = self.state.update(
            job_id,
            state=JobState.LAUNCHING,
            launched=True,
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
        """Handle the reply to `Launch`; without one the attempt may be running."""
        job = self.state.find_current(attempt_id, JobState.LAUNCHING)
        if job is None:
            return
        match reply:
            case Launched():
                self.attempt_tracker.take_running(job, now_ms)
            case Refused(refusal=Refusal.WRONG_INCARNATION):
                # An earlier copy may have reached the incarnation it was sent to.
                self.attempt_tracker.settle(job.job_id, now_ms)
            case Refused(_, refusal):
                # The refusal proves that nothing started, and leaves a tombstone.
                job = self.state.update(job.job_id, launched=False)
                self.abandon(job, 0, refusal.value, now_ms)
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
                self.attempt_tracker.settle(job.job_id, now_ms)

    def abandon(self, job: Job, index: int, reason: str, now_ms: int) -> None:
        """
        Release the reservations of an attempt that has not started; requeue its job.

        `index` is the member that refused or did not answer, -1 if there is none. An
        attempt that was launched is settled instead.
        """
        state = self.state
        state.outbox.log('acquire_failed', attempt_id=job.attempt_id, reason=reason)
        state.outbox.count('acquire_failed')
        if job.launched:
            # A delayed copy of `Launch` may still start it; ask the leader if it did.
            self.attempt_tracker.settle(job.job_id, now_ms)
            return
        if index >= 0 and reason != Refusal.TOMBSTONED.value:
            state.view.mark_full(job.members[index].worker_id, now_ms)
        last = len(job.members) - 1 if index < 0 else max(index, job.asked)
        for ref in job.members[: last + 1]:
            abort = Abort(job.attempt_id, ref.incarnation)
            state.outbox.send(ref.address, abort, f'abort:{job.attempt_id}')
        job = state.update(job.job_id, conflicts=job.conflicts + 1)
        self.attempt_tracker.requeue(
            job, now_ms, self.attempt_tracker.find_backoff_ms(job.conflicts)
        )

    def tick(self, job: Job, now_ms: int) -> None:
        """Repeat `Prepare`, and abandon the acquisition at its deadline."""
        if now_ms >= job.deadline_ms and job.writing != 'attempt':
            self.abandon(job, -1, 'not acquired in time', now_ms)
        elif now_ms >= job.next_send_ms:
            # This extends holds and asks reclaiming members again.
            self.state.update(job.job_id, next_send_ms=now_ms + REPEAT_INTERVAL_MS)
            for index in range(job.asked + 1):
                self._prepare(job.job_id, index)
