"""
Applies a worker's report to the planner's state.

Ended runs are acknowledged to the worker only once they are recorded, so that a crash
of the planner does not lose any.
"""

from dataclasses import replace

from yuccarelay.core.batch.crash_attribution import note_loss
from yuccarelay.core.batch.crashes import (
    clear_crashes,
    count_crash,
    note_survival,
)
from yuccarelay.core.batch.entities import JobPlan, Run, RunStage, WorkerView
from yuccarelay.core.batch.events import OrderAnswered
from yuccarelay.core.batch.models import (
    End,
    EndedRun,
    JobState,
    RunningTask,
    TaskId,
    TaskStage,
    WorkerId,
    parse_task_id,
)
from yuccarelay.core.batch.neighbours import watch_neighbours
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.protocol import Report, Stop
from yuccarelay.core.batch.run_observations import learn_done, learn_members
from yuccarelay.core.batch.start_failures import START_FAILURE_MS

ORPHAN_RETRY_MS = 1_000
# A stop takes up to 0.9 s. A run that is still listed this long after its stop was
# accepted has been started since, by a later incarnation of the worker.
STOP_LIMIT_MS = 1_500
# Interval at which new checkpoints of a job are written to its record. A crash loses
# about as much progress as the platform's own checkpoint interval.
CHECKPOINTS_PAUSE_MS = 1_500
# A worker that failed tasks of this many jobs in a row gets no work for a while, nor
# does one that failed as many tasks of a step which runs elsewhere.
FAILURES_LIMIT = 2
FAILURES_PAUSE_MS = 8_000
# After a single failure a worker is suspect for this time, unless a task is done there.
# The job may as well be the cause, so the worker is only chosen after the others.
SUSPECT_MS = 8_000
# A step avoids a worker on which it has failed for this time. A worker's fault usually
# passes within it, and a step that fails by itself would run out of workers.
FAILED_STEP_MS = SUSPECT_MS
# A worker on which a run has gone on for this time, or was done, could run tasks when
# the run was started. Workers that cannot do so fail their runs within half a second.
PROVEN_RUN_MS = 1_000
PROVEN_MS = 8_000
# The pause after the second failed attempt, doubled with each further one. Meanwhile
# other work shows which workers fail.
FAILED_RETRY_MS = 250
FAILED_RETRY_LIMIT_MS = 2_000


class ReportReader:
    """Applies reports to the planner's state."""

    def __init__(self, planner_state: PlannerState):
        self.planner_state = planner_state

    def read(self, view: WorkerView, report: Report, event: OrderAnswered) -> None:
        """Apply a report that answers a poll."""
        planner_state = self.planner_state
        now_ms = planner_state.now.ms
        if report.lists_read:
            view.closed_below_ms = report.closed_below_ms
        view.closed_below_ms = max(view.closed_below_ms, report.closed_below_ms)
        view.changes, view.is_settled = report.changes, report.is_settled
        self._learn_expiry(view, report)
        if not report.lists_read and is_outdated(view, report):
            # An agent that has restarted takes a late heartbeat for its worker's.
            report = replace(report, worker=None)
        self._note_incarnation(view, report)
        if report.worker is not None:
            view.drain_deadline_ms = now_ms + report.worker.leaves_in_ms
            view.cold_until_ms = now_ms + report.cold_ms
        if report.lists_read:
            if not view.read_ms:
                planner_state.dirty = True
                planner_state.repeat_stops(view)
                planner_state.note(
                    'worker_read', agent=view.agent, runs=len(report.running)
                )
            view.read_ms = now_ms
            view.basis, view.basis_received_ms = report.basis, now_ms
            self._read_ends(view, report.ended)
            self._read_running(view, report, event.sent_ms)
        elif event.order.call_worker or report.worker is None:
            # The leases of a worker that does not answer are not extended.
            view.basis = None
        elif view.basis is not None:
            view.basis, view.basis_received_ms = report.basis, now_ms
        self._release_ended_incarnations(view, report.lists_read)

    def _learn_expiry(self, view: WorkerView, report: Report) -> None:
        """
        Learn when the leases that the agent has given have expired.

        The agent has seen this planner's term and refuses earlier planners from now on,
        so this holds for the leases of all of them. Without it, each planner would wait
        for a lost worker from its own election on.
        """
        if report.leases_expire_in_ms is None:
            return
        expiry_ms = self.planner_state.now.ms + report.leases_expire_in_ms
        view.inherited_expiry_ms = min(view.inherited_expiry_ms, expiry_ms)
        if report.late_leases_expire_in_ms:
            view.extend_lease(
                self.planner_state.now.ms + report.late_leases_expire_in_ms
            )

    def _note_incarnation(self, view: WorkerView, report: Report) -> None:
        """Note a new incarnation of the worker, or that there is no worker."""
        planner_state = self.planner_state
        info = report.worker
        worker = WorkerId(view.agent, info.name, info.born_ms) if info else None
        was_draining = view.info is not None and view.info.draining
        if worker != view.id:
            planner_state.note(
                'worker_changed',
                agent=view.agent,
                worker=worker.name if worker else None,
                before=view.id.name if view.id else None,
            )
            if view.id is not None and not was_draining:
                note_loss(planner_state, view)
            view.id = worker
            if view.info is not None:
                view.has_drained = was_draining
            view.seen, view.acknowledged_end, view.ends, view.orphaned_runs = (
                0,
                0,
                {},
                {},
            )
            view.has_orphans = False
            view.read_ms = 0
            view.basis = None
            view.failures, view.failed_jobs = 0, set()
            view.avoid_until_ms = view.suspect_until_ms = 0
            view.proven_until_ms = 0
            view.failed_start_ms = view.sound_start_ms = 0
            planner_state.dirty = True
        view.info = info
        if info is not None and info.draining and not was_draining:
            planner_state.releases.note_drain(info.service, planner_state.now.wall_ms)
            planner_state.note(
                'worker_draining',
                agent=view.agent,
                worker=info.name,
                leaves_in_ms=info.leaves_in_ms,
                runs=len(view.runs),
            )

    def _release_ended_incarnations(self, view: WorkerView, is_current: bool) -> None:
        """
        Release the runs of incarnations that have ended.

        An incarnation that has just answered (`is_current`) is the only one. The time
        of birth alone would leave runs in place if the time of day has been set back
        between two incarnations. If there is no worker, those that were born before
        `closed_below_ms` have ended. That another incarnation is reported without its
        lists proves nothing: the runs wait for its lists, or for the lease to expire.

        A worker keeps its name when it restarts, so the next incarnation may carry
        out a start that was meant for the previous one. Only a run that the previous
        incarnation listed is certain to have ended with it; any other is stopped on
        the next incarnation first.
        """
        planner_state = self.planner_state
        for run in list(view.runs.values()):
            if run.worker == view.id:
                continue
            is_closed = view.id is None and run.worker.born_ms < view.closed_below_ms
            if not is_current and not is_closed:
                continue
            if not run.lost_with_worker and run.stage is not RunStage.RECORDING:
                run.lost_with_worker = True
                self._note_loss(view, run)
                count_crash(planner_state, view, run)
            if run.stage is RunStage.RECORDING or (
                run.listed and not run.start_repeated
            ):
                planner_state.release(run, 'worker_ended')
            elif run.stage is RunStage.STOPPED:
                run.move(RunStage.STOPPING, planner_state.now.ms)
                planner_state.send_stop(run)
            else:
                planner_state.stop_run(run, 'worker_ended')
                plan = planner_state.plans[run.task.job]
                planner_state.break_gang(plan, run.task, 'worker_ended')

    def _note_loss(self, view: WorkerView, run: Run) -> None:
        """Log a run whose worker has ended, and how long it was seen at work."""
        seen_running_ms = 0
        if run.seen_running_ms and run.started_ms:
            seen_running_ms = run.seen_running_ms - run.started_ms
        self.planner_state.note(
            'run_lost_with_worker',
            task=run.task,
            run=run.number,
            worker=run.worker.name,
            seen_running_ms=seen_running_ms,
            is_back=view.id is not None,
            runs=len(view.runs),
        )

    def _read_ends(self, view: WorkerView, ends: tuple[EndedRun, ...]) -> None:
        for end in sorted(ends):
            if end.number <= view.seen or end.number in view.ends:
                continue
            task = parse_task_id(end.task)
            plan = self.planner_state.plans.get(task.job) if task else None
            run = plan.runs.get(task) if plan else None
            if is_run_of(run, end.run, view):
                self._record_end(view, plan, run, end)
            elif plan is not None and is_last_run(plan, task, end):
                self._record_late_end(view, plan, task, end)
            else:
                view.ends[end.number] = ('', 0)
                continue
            view.ends[end.number] = (plan.job.id, plan.version)
        self.acknowledge(view)

    def acknowledge(self, view: WorkerView) -> None:
        """Advance `view.seen` past the ended runs whose records are saved."""
        for number in sorted(view.ends):
            job, version = view.ends[number]
            plan = self.planner_state.plans.get(job)
            if plan is not None and plan.saved < version:
                return
            view.seen = max(view.seen, number)
            del view.ends[number]

    def _record_end(
        self,
        view: WorkerView,
        plan: JobPlan,
        run: Run,
        end: EndedRun,
    ) -> None:
        """Record the end of a run and release it."""
        planner_state = self.planner_state
        planner_state.note(
            'run_ended',
            task=run.task,
            run=run.number,
            agent=view.agent,
            worker=run.worker.name,
            how=end.end,
            ran_ms=planner_state.now.ms - run.started_ms if run.started_ms else 0,
        )
        run.worker = view.id
        if end.checkpoint > run.checkpoint:
            run.checkpoint, run.saved_ms = end.checkpoint, planner_state.now.ms
        run.move(RunStage.STOPPED, planner_state.now.ms)
        if end.end in (End.DONE, End.FAILED):
            clear_crashes(planner_state, plan, run.task)
        match end.end:
            case End.DONE:
                self._learn_duration(view, plan, run)
                self._note_sound_end(view, plan, run)
                self._record_done(plan, run.task)
            case End.FAILED:
                self._record_failure(view, plan, run)
        planner_state.release(run, end.end)
        if not plan.ended and plan.is_done():
            planner_state.end_job(plan, JobState.COMPLETED)

    def _record_late_end(
        self, view: WorkerView, plan: JobPlan, task: TaskId, end: EndedRun
    ) -> None:
        """
        Record work that was done by a run which counted as lost.

        Its worker was silent until the lease had expired. The task was not started
        again yet, so a second run would only repeat the work.
        """
        self.planner_state.note(
            'run_ended_late', task=task, run=end.run, worker=view.id.name
        )
        self._record_done(plan, task)
        if not plan.ended and plan.is_done():
            self.planner_state.end_job(plan, JobState.COMPLETED)

    def _learn_duration(self, view: WorkerView, plan: JobPlan, run: Run) -> None:
        """Learn from a run, and log whether its queue changes its predictor."""
        planner_state = self.planner_state
        learn_members(planner_state.run_times, plan, run, planner_state.find_machine)
        switch = learn_done(
            planner_state.run_times, plan, run, view.machine(), planner_state.now.ms
        )
        if switch is not None:
            planner_state.note(
                'run_times_switched',
                queue=switch.queue,
                predictor='learned' if switch.is_learned else 'submitted',
                jobs=switch.jobs,
                submitted_factor=round(switch.submitted_error, 2),
                learned_factor=round(switch.learned_error, 2),
            )

    def _note_progress(self, view: WorkerView, plan: JobPlan, run: Run) -> None:
        """
        Note that a worker runs a task, and since when it could start one.

        So the step is not to blame for its failures elsewhere right after a start.
        """
        now_ms = self.planner_state.now.ms
        view.proven_until_ms = now_ms + PROVEN_MS
        view.sound_start_ms = max(view.sound_start_ms, run.started_ms)
        failed_starts = plan.failed_starts.get(run.task[1:3], {})
        for worker, times_ms in list(failed_starts.items()):
            # A single task may be at fault by itself.
            if len(times_ms) < FAILURES_LIMIT:
                continue
            del failed_starts[worker]
            other = self.planner_state.workers[worker.agent]
            last_ms = max(times_ms.values())
            if other.id == worker and other.sound_start_ms < last_ms:
                self._avoid(other, last_ms + FAILURES_PAUSE_MS)

    def _avoid(self, view: WorkerView, until_ms: int) -> None:
        """Give a worker that fails its work none for a while."""
        if until_ms <= max(view.avoid_until_ms, self.planner_state.now.ms):
            return
        view.avoid_until_ms = until_ms
        self.planner_state.note(
            'worker_avoided', agent=view.agent, failures=view.failures
        )

    def _note_sound_end(self, view: WorkerView, plan: JobPlan, run: Run) -> None:
        """
        Note a run that was done.

        It clears its worker unless another run was started later and failed there.
        """
        self._note_progress(view, plan, run)
        if run.started_ms > view.failed_start_ms:
            view.failures = 0
            view.failed_jobs.clear()
            view.suspect_until_ms = 0

    def _record_done(self, plan: JobPlan, task: TaskId) -> None:
        step = plan.step(task)
        if step.is_long_running:
            return
        tasks = (task,)
        if step.gang:
            tasks = plan.step_tasks(task.occurrence, task.step)
        for done in tasks:
            plan.put(done, plan.task(done)._replace(stage=TaskStage.DONE, worker=None))
        self.planner_state.changed.add(plan.job.id)

    def _record_failure(self, view: WorkerView, plan: JobPlan, run: Run) -> None:
        """Count a failed attempt; for a gang, one attempt of all its members."""
        planner_state = self.planner_state
        view.suspect_until_ms = planner_state.now.ms + SUSPECT_MS
        view.failed_start_ms = max(view.failed_start_ms, run.started_ms)
        if planner_state.now.ms <= run.started_ms + START_FAILURE_MS:
            planner_state.start_failures.note(
                view.info.service, run.started_ms, planner_state.now.ms
            )
            failed_starts = plan.failed_starts.setdefault(run.task[1:3], {})
            failed_starts.setdefault(view.id, {})[run.task] = planner_state.now.ms
        if plan.job.id not in view.failed_jobs:
            view.failed_jobs.add(plan.job.id)
            view.failures += 1
        if view.failures >= FAILURES_LIMIT:
            self._avoid(view, planner_state.now.ms + FAILURES_PAUSE_MS)
        failed_on = plan.failed_on.setdefault(run.task[1:3], {})
        failed_on[view.id] = planner_state.now.ms + FAILED_STEP_MS
        step = plan.step(run.task)
        if step.is_long_running or plan.ended:
            return
        tasks = (run.task,)
        if step.gang:
            tasks = plan.step_tasks(run.task.occurrence, run.task.step)
        if plan.task(run.task).failed_run >= run.number:
            # Another member of the gang has failed, maybe under another planner.
            return
        for task in tasks:
            record = plan.task(task)
            failures = record.failures + 1
            plan.put(task, record._replace(failures=failures, failed_run=run.number))
        planner_state.changed.add(plan.job.id)
        failures = plan.task(run.task).failures
        key, now_ms = run.task[1:3], planner_state.now.ms
        plan.failed_ms[key] = now_ms
        if failures > 1 and len(tasks) == step.count:
            # The other tasks of a step do not wait for one that failed.
            pause_ms = FAILED_RETRY_MS * 2 ** (failures - 2)
            plan.retry_at_ms[key] = now_ms + min(pause_ms, FAILED_RETRY_LIMIT_MS)
        queue = planner_state.find_queue(plan)
        # Without a known limit the job waits until its queue is known.
        if queue is not None and failures >= queue.max_attempts:
            planner_state.end_job(plan, JobState.FAILED)

    def _read_running(
        self,
        view: WorkerView,
        report: Report,
        sent_ms: int,
    ) -> None:
        planner_state = self.planner_state
        now_ms = planner_state.now.ms
        listed = set()
        view.has_orphans = False
        for entry in report.running:
            task = parse_task_id(entry.task)
            plan = planner_state.plans.get(task.job) if task else None
            run = plan.runs.get(task) if plan else None
            if not is_run_of(run, entry.run, view):
                view.has_orphans = True
                self._stop_orphaned_run(view, entry)
                continue
            listed.add(task)
            run.worker = view.id
            run.listed = True
            run.seen_running_ms = now_ms
            if entry.checkpoint > run.checkpoint:
                run.checkpoint = entry.checkpoint
                run.saved_ms = now_ms
            run.recent_metric = entry.recent_metric
            if entry.percent != run.percent:
                run.percent = entry.percent
                run.percent_since_ms = now_ms
                if run.started_ms and now_ms >= run.started_ms + PROVEN_RUN_MS:
                    self._note_progress(view, plan, run)
            if run.stage in (RunStage.UNCERTAIN, RunStage.ORDERED):
                run.move(RunStage.RUNNING, now_ms)
                run.started_ms = run.started_ms or now_ms
                run.saved_ms = run.saved_ms or (
                    now_ms if run.checkpoint else run.started_ms
                )
                if plan.task(task).stage is not TaskStage.ASSIGNED or plan.ended:
                    planner_state.stop_run(run, 'not_wanted')
            elif (
                run.stage is RunStage.STOPPED and run.since_ms + STOP_LIMIT_MS < sent_ms
            ):
                run.move(RunStage.STOPPING, now_ms)
                planner_state.send_stop(run)
            note_survival(planner_state, plan, run)
        self._record_checkpoints(view)
        watch_neighbours(planner_state, view)
        if not report.is_whole:
            # A run that is missing may be among the ends that are not listed yet.
            return
        for run in list(view.runs.values()):
            if run.task not in listed and run.worker == view.id:
                self._resolve_missing(run, sent_ms)

    def _record_checkpoints(self, view: WorkerView) -> None:
        """Record new checkpoints periodically, so that a failover keeps them."""
        planner_state = self.planner_state
        for run in view.runs.values():
            plan = planner_state.plans[run.task.job]
            record = plan.task(run.task)
            is_unchanged = (
                run.number != record.run or run.checkpoint <= record.checkpoint
            )
            due_ms = plan.checkpoints_ms + CHECKPOINTS_PAUSE_MS
            if is_unchanged or plan.ended or planner_state.now.ms < due_ms:
                continue
            for task, other in plan.runs.items():
                known = plan.task(task)
                if other.number == known.run and other.checkpoint > known.checkpoint:
                    plan.put(task, known._replace(checkpoint=other.checkpoint))
            plan.checkpoints_ms = planner_state.now.ms
            planner_state.changed.add(plan.job.id)

    def _resolve_missing(self, run: Run, sent_ms: int) -> None:
        """Handle a run that the worker lists neither as running nor as ended."""
        match run.stage:
            case RunStage.UNCERTAIN:
                self.planner_state.stop_run(run, 'unsettled')
            case RunStage.RUNNING if run.since_ms < sent_ms:
                self.planner_state.stop_run(run, 'missing')
            case RunStage.STOPPED if run.since_ms < sent_ms:
                self.planner_state.release(run, 'not_running')

    def _stop_orphaned_run(self, view: WorkerView, entry: RunningTask) -> None:
        """Stop a run without a record, such as one whose start was delayed."""
        planner_state = self.planner_state
        key = (entry.task, entry.run)
        if planner_state.now.ms < view.orphaned_runs.get(key, 0):
            return
        view.orphaned_runs[key] = planner_state.now.ms + ORPHAN_RETRY_MS
        planner_state.note(
            'stray_run', agent=view.agent, task=entry.task, run=entry.run
        )
        planner_state.order(
            view, Stop(planner_state.term, view.id, entry.task, entry.run)
        )


def is_run_of(run: Run | None, number: int, view: WorkerView) -> bool:
    """
    Whether run `number` that a worker lists is the given run.

    A later incarnation of the worker than the assigned one may list it.
    """
    return run is not None and run.number == number and run.worker.agent == view.agent


def is_last_run(plan: JobPlan, task: TaskId, end: EndedRun) -> bool:
    """Whether an end is that of a task's last run, and the task waits for another."""
    record = plan.tasks.get(task[1:])
    return (
        end.end == End.DONE
        and not plan.ended
        and record is not None
        and record.stage is TaskStage.WAITING
        and record.run == end.run
        and not plan.step(task).is_long_running
    )


def is_outdated(view: WorkerView, report: Report) -> bool:
    """Whether a report names an incarnation of the worker that has ended."""
    return report.worker is not None and report.worker.born_ms < view.closed_below_ms
