"""Graceful shutdown of an entry: hand over every job, then deregister."""

from yuccarelay.core.dispatch import Dispatcher
from yuccarelay.core.effects import Deregister, Exit
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.job_requests import JobRequests
from yuccarelay.core.models import JobState
from yuccarelay.core.recording import Recorder
from yuccarelay.core.timing import REQUEST_TIMEOUT_MS


class Handover:
    """
    Releases the entry's jobs in the store, so that other entries adopt them.

    Running attempts continue under their leaders. A job that is not in the store
    delays the exit until it is, or until the deadline.
    """

    def __init__(
        self,
        state: EntryState,
        recorder: Recorder,
        dispatcher: Dispatcher,
        job_requests: JobRequests,
    ):
        self.state = state
        self.job_requests = job_requests
        self.recorder = recorder
        self.dispatcher = dispatcher
        self.deadline_ms: int | None = None
        self.exit_at_ms: int | None = None
        self.exited = False

    def begin(self, deadline_ms: int) -> None:
        """Start to drain: accept no new jobs from now on."""
        if self.deadline_ms is None:
            self.deadline_ms = deadline_ms
            self.state.draining = True
            self.state.outbox.log('drain', jobs=len(self._find_open()))

    def tick(self, now_ms: int) -> None:
        """Release jobs; deregister and exit when none is left or at the deadline."""
        if self.deadline_ms is None or self.exited:
            return
        if self.exit_at_ms is not None:
            late = now_ms >= self.deadline_ms + REQUEST_TIMEOUT_MS
            if now_ms >= self.exit_at_ms and (late or not self.job_requests.has_open()):
                self.exited = True
                self.state.outbox.add(Exit())
            return
        for job_id in self._find_open():
            self._release(job_id, now_ms)
        left = self._find_open()
        if left and now_ms < self.deadline_ms:
            return
        if left:
            self.state.outbox.log('drain_incomplete', jobs=len(left))
        self.state.outbox.add(Deregister())
        self.exit_at_ms = now_ms + REQUEST_TIMEOUT_MS

    def _find_open(self) -> list[str]:
        return [
            job_id
            for job_id, job in self.state.jobs.items()
            if job.state is not JobState.ENDED
            or (not job.recorded and job.decided is not None)
        ]

    def _release(self, job_id: str, now_ms: int) -> None:
        job = self.state.jobs[job_id]
        if job.writing or job.decided is not None:
            return
        if job.state is JobState.ACQUIRING:
            reason = 'the entry leaves'
            self.dispatcher.acquirer.abandon(job, -1, reason, now_ms)
            job = self.state.jobs[job_id]
        if job.state in (JobState.RECORDING, JobState.LAUNCHING):
            return
        if not self.state.store_up or self.state.fenced:
            return
        if job.revision and job.record_known:
            self.recorder.hand_over(job_id)
        else:
            self.recorder.flush(job_id)
