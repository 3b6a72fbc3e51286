"""Scheduling of an entry's queued jobs, and the deadline checks of all its jobs."""

from collections.abc import Sequence

from yuccarelay.core.acquire import Acquirer
from yuccarelay.core.advance_reservation import (
    AdvanceReservation,
    choose_advance_reservation,
    find_waiting_gang,
    restrict_candidates,
)
from yuccarelay.core.attempt_tracking import AttemptTracker
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.free_capacity import FreeCapacity, may_hold
from yuccarelay.core.jobs import Job
from yuccarelay.core.models import JobSpec, JobState, NotRun, Outcome, Unknown
from yuccarelay.core.ordering import QueuedJob
from yuccarelay.core.placement import Candidate, choose_workers
from yuccarelay.core.recording import Recorder

# Jobs considered in each round of a scheduling pass.
PASS_LIMIT = 200
# Each further round excludes the job specs that did not fit in earlier ones, so that
# jobs behind a long queue of them are considered too.
PASS_ROUNDS = 5
# A job that waits for the store or for its service's retry budget is deferred
# by this time, so that it does not take the place of one that can start.
DEFERRAL_MS = 1_000
ADVANCE_RESERVATION_INTERVAL_MS = 1_000
# Capacity also becomes free without a change of the view, as when an ejection or an
# advance reservation ends. Jobs that did not fit are tried again at this interval,
# and at each change of the view.
RECHECK_INTERVAL_MS = 250
# The loss of a leader is detected after several seconds of silence, so a check of
# each running job at every tick has no benefit.
RUNNING_CHECK_MS = 1_000


class Dispatcher:
    """Starts attempts for queued jobs and drives them to their end."""

    def __init__(self, state: EntryState, recorder: Recorder):
        self.state = state
        self.recorder = recorder
        self.attempt_tracker = AttemptTracker(state, recorder)
        self.acquirer = Acquirer(state, recorder, self.attempt_tracker)
        self.advance_reservation: AdvanceReservation | None = None
        self.next_reservation_ms = 0
        self.running_checks: dict[str, int] = {}
        self.unplaceable: set[JobSpec] = set()
        self.unplaceable_version = -1
        self.next_recheck_ms = 0

    def schedule(self, now_ms: int) -> None:
        """Start attempts for queued jobs, in queue order, while capacity is free."""
        state = self.state
        if not state.is_serving:
            return
        self._update_advance_reservation(now_ms)
        unplaceable = self._refresh_unplaceable(now_ms)
        for _ in range(PASS_ROUNDS):
            count_before = len(unplaceable)
            ordered = state.queue.order(now_ms, PASS_LIMIT, unplaceable)
            deferred = self._place(ordered, unplaceable, now_ms)
            if len(ordered) < PASS_LIMIT or (
                len(unplaceable) == count_before and not deferred
            ):
                break

    def _place(
        self,
        ordered: list[QueuedJob],
        unplaceable: set[JobSpec],
        now_ms: int,
    ) -> int:
        """Start attempts for ordered jobs and return how many were deferred."""
        state = self.state
        free_capacities: dict[str, FreeCapacity] = {}
        deferred = 0
        for queued in ordered:
            job = state.jobs[queued.job_id]
            if job.spec in unplaceable or job.writing:
                continue
            if not self._may_start(job, now_ms):
                deferred += 1
                state.update(job.job_id, not_before_ms=now_ms + DEFERRAL_MS)
                state.enqueue(job.job_id)
                continue
            if not self._may_fit(job.spec, free_capacities):
                unplaceable.add(job.spec)
                continue
            candidates = self._find_candidates(queued, now_ms)
            assignments = choose_workers(
                job.spec,
                candidates,
                state.policy,
                job.avoid_domains,
            )
            if assignments is None:
                unplaceable.add(job.spec)
            else:
                self.acquirer.begin(job, assignments, candidates, now_ms)
        return deferred

    def _refresh_unplaceable(self, now_ms: int) -> set[JobSpec]:
        """Return the specs that did not fit; none once capacity may be free again."""
        version = self.state.view.version
        if version != self.unplaceable_version or now_ms >= self.next_recheck_ms:
            self.unplaceable = set()
            self.unplaceable_version = version
            self.next_recheck_ms = now_ms + RECHECK_INTERVAL_MS
        return self.unplaceable

    def _may_fit(self, spec: JobSpec, free_capacities: dict[str, FreeCapacity]) -> bool:
        # Placements within a pass only reduce the free capacity, so one measurement of
        # all workers rules out every job of the pass that exceeds it.
        if spec.service not in free_capacities:
            free_capacities[spec.service] = self.state.view.measure_free_capacity(
                spec.service
            )
        return may_hold(free_capacities[spec.service], spec)

    def _find_candidates(self, queued: QueuedJob, now_ms: int) -> Sequence[Candidate]:
        state = self.state
        candidates = state.view.find_candidates(queued.spec, now_ms)
        usable = state.find_health(queued.spec.service).find_usable(
            [candidate.worker_id for candidate in candidates],
            now_ms,
        )
        return restrict_candidates(
            queued,
            [one for one in candidates if one.worker_id in usable],
            self.advance_reservation,
            now_ms,
            state.run_history.get_learned_run_ms(queued.spec),
        )

    def _update_advance_reservation(self, now_ms: int) -> None:
        if now_ms < self.next_reservation_ms:
            return
        self.next_reservation_ms = now_ms + ADVANCE_RESERVATION_INTERVAL_MS
        ordered = self.state.queue.order(now_ms, PASS_LIMIT)
        waiting = find_waiting_gang(ordered, now_ms)
        if waiting is None:
            self.advance_reservation = None
            return
        state = self.state
        organisation = waiting.spec.organisation
        self.advance_reservation = choose_advance_reservation(
            waiting,
            state.view.find_candidates(waiting.spec, now_ms),
            {
                worker_id: shares.get(organisation, 0)
                for worker_id, shares in state.view.owned.items()
            },
            self._estimate_free_ms(),
            now_ms,
        )

    def _estimate_free_ms(self) -> dict[str, int]:
        """Return when workers become free, if all their jobs have known run times."""
        free_ms: dict[str, int] = {}
        for worker_id, record in self.state.view.workers.items():
            ends = [
                self._estimate_end_ms(grant.attempt_id) for grant in record.state.grants
            ]
            if ends and None not in ends:
                free_ms[worker_id] = max(ends)
        return free_ms

    def _estimate_end_ms(self, attempt_id: str) -> int | None:
        job = self.state.find_current(attempt_id, JobState.RUNNING)
        if job is None:
            return None
        run_ms = self.state.run_history.get_learned_run_ms(job.spec)
        return None if run_ms is None else job.started_ms + run_ms

    def _may_start(self, job: Job, now_ms: int) -> bool:
        state = self.state
        if job.retrying and not state.find_budget(job.spec.service).count_left(now_ms):
            return False
        if not job.is_stored:
            return True
        if state.fenced and state.store_up:
            # Other entries may have adopted the job.
            return False
        return job.spec.repeatable or (state.store_up and job.record_known)

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancel a job, whatever its state."""
        job = self.state.update(job_id, cancelling=True)
        match job.state:
            case JobState.QUEUED:
                self.attempt_tracker.requeue(job, now_ms, delay_ms=0)
            case JobState.ACQUIRING if job.writing != 'attempt':
                self.acquirer.abandon(job, -1, 'cancelled', now_ms)
            case JobState.RUNNING:
                self.attempt_tracker.send_stop(job)

    def tick(self, now_ms: int) -> None:
        """Check the deadlines of queued jobs and of attempts."""
        for queued in self.state.queue.take_expired(now_ms):
            self._expire_queued(queued.job_id, now_ms)
        for job_id in list(self.state.jobs.needs_tick):
            job = self.state.jobs[job_id]
            match job.state:
                case JobState.QUEUED:
                    self.attempt_tracker.requeue(job, now_ms, delay_ms=0)
                case JobState.ACQUIRING:
                    self.acquirer.tick(job, now_ms)
                case JobState.SETTLING:
                    self.attempt_tracker.tick_settling(job, now_ms)
        self._check_running(now_ms)

    def _check_running(self, now_ms: int) -> None:
        """Check each running job once per interval; the earliest due come first."""
        jobs = self.state.jobs
        for job_id in jobs.newly_running:
            self.running_checks.pop(job_id, None)
            self.running_checks[job_id] = now_ms + RUNNING_CHECK_MS
        jobs.newly_running.clear()
        due = []
        for job_id, due_ms in self.running_checks.items():
            if now_ms < due_ms:
                break
            due.append(job_id)
        for job_id in due:
            del self.running_checks[job_id]
            job = jobs.get(job_id)
            if job is not None and job.state is JobState.RUNNING:
                self.running_checks[job_id] = now_ms + RUNNING_CHECK_MS
                self.attempt_tracker.tick_running(job, now_ms)

    def _expire_queued(self, job_id: str, now_ms: int) -> None:
        outcome: Outcome = NotRun('start deadline passed', 'it was never launched')
        if self.state.jobs[job_id].has_run:
            outcome = Unknown('start deadline passed; an earlier attempt may have run')
        self.recorder.decide(job_id, outcome, now_ms)
