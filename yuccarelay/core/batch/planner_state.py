"""
State shared by the planner's modules, and the operations that change it.

Operations that assign, stop or end runs and jobs belong here, so that records,
resources and orders stay consistent.
"""

from yuccarelay.core.batch.advice import StepAdvice
from yuccarelay.core.batch.co_location import CoLocationWatch
from yuccarelay.core.batch.entities import (
    STOP_STAGES,
    JobPlan,
    Moment,
    PendingCrash,
    Reservation,
    Run,
    RunStage,
    Unit,
    WorkerLoss,
    WorkerView,
)
from yuccarelay.core.batch.evacuated_domains import EvacuatedDomains
from yuccarelay.core.batch.events import Effect, Note, SaveRecord, SendOrder
from yuccarelay.core.batch.interference import InterferenceTable
from yuccarelay.core.batch.known_queues import KnownQueues
from yuccarelay.core.batch.leases import Leases
from yuccarelay.core.batch.models import (
    Configuration,
    JobRecord,
    JobState,
    Queue,
    TaskId,
    TaskStage,
    WorkerId,
    count_cores,
)
from yuccarelay.core.batch.pacing import TolerablePaces
from yuccarelay.core.batch.protocol import AgentAddress, Look, Pace, Start, Stop
from yuccarelay.core.batch.releases import Releases
from yuccarelay.core.batch.run_observations import learn_stopped
from yuccarelay.core.batch.run_times import Quantile, RunTimes
from yuccarelay.core.batch.silence import SilentAgents
from yuccarelay.core.batch.start_failures import StartFailures
from yuccarelay.core.batch.unit_placement import resources_held
from yuccarelay.core.batch.worker_speeds import Machine

# The connection to an agent may be silent: a stop that has not been answered is sent
# again after this time, and then after twice as long each time, because the repeats
# would keep a worker busy that is only slow.
STOP_RETRY_MS = 700
STOP_RETRY_LIMIT_MS = 5_600
# A unit whose start failed is tried again after this time.
RETRY_MS = 100
# Below this progress the estimate is more accurate than a projection from progress.
MIN_PROJECTION_PERCENT = 5
# Workers may begin to fail what they start in the midst of a series of failures, so a
# run that was started earlier than this does not show that its worker is sound.
START_PROOF_MS = 8_000
# Marks the reason of members that are stopped because another one was lost.
GANG_PREFIX = 'gang_'


class PlannerState:
    """State of one planner; `now` is the time of the event being handled."""

    def __init__(
        self,
        leases: Leases,
        *,
        follows_evacuation: bool = False,
        learns_interference: bool = True,
    ):
        self.leases = leases
        self.learns_interference = learns_interference
        self.evacuated = EvacuatedDomains(is_followed=follows_evacuation)
        self.now = Moment(0, 0)
        self.configuration: Configuration | None = None
        self.services: frozenset[str] = frozenset()
        self.queues = KnownQueues()
        self.confirmed_ms = 0
        self.elected_ms = 0
        # When the leases of earlier planners have expired at the latest.
        self.inherited_expiry_ms = 0
        # Term of an earlier planner that has ended for certain.
        self.ended_term = 0
        self.run_times = RunTimes()
        self.interference = InterferenceTable()
        self.tolerable_paces = TolerablePaces()
        self.reset()

    def reset(self) -> None:
        """Discard the state that belongs to a term."""
        self.term = 0
        self.plans: dict[str, JobPlan] = {}
        # Jobs whose cancellation was reported before the job itself.
        self.early_cancellations: set[str] = set()
        # Jobs that are not planned, because their records cannot be read.
        self.withheld: frozenset[str] = frozenset()
        # Records of jobs that were not listed with them.
        self.unclaimed_records: dict[str, JobRecord] = {}
        self.queues.job_terms.clear()
        # Jobs under which a worker has crashed, until their tasks survive a start.
        self.suspects: set[str] = set()
        # Crashes that are not decided yet, and the latest losses of workers.
        self.pending_crashes: list[PendingCrash] = []
        self.worker_losses: list[WorkerLoss] = []
        self.workers: dict[str, WorkerView] = {}
        self.silent_agents = SilentAgents()
        self.reserved: dict[tuple, Reservation] = {}
        self.releases = Releases()
        self.start_failures = StartFailures()
        self.evacuated.reset()
        self.pass_due_ms = 0
        self.changed: set[str] = set()
        self.effects: list[Effect] = []
        self.dirty = False
        self.state_due_ms = 0
        self.run_times_due_ms = 0
        self.co_locations = CoLocationWatch()
        self.fade_due_ms = 0

    def note(self, event: str, **fields: object) -> None:
        """Queue a log line."""
        self.effects.append(Note(event, {'term': self.term, **fields}))

    def is_term_confirmed(self) -> bool:
        """Whether the store confirmed the term recently enough to extend leases."""
        return self.now.ms < self.confirmed_ms + self.leases.abandon_ms

    def may_extend_leases(self, agent: str) -> bool:
        """
        Whether an agent may be ordered to extend leases.

        The store may hold no record that says the opposite.
        """
        return self.is_term_confirmed() and self.silent_agents.may_extend(agent)

    def order(self, view: WorkerView, order: Look | Start | Stop | Pace) -> None:
        """Queue an order for an agent."""
        self.effects.append(SendOrder(view.agent, view.agent_address.address, order))

    def configure(self, configuration: Configuration) -> None:
        """
        Apply a configuration if it is newer than the current one.

        Configurations come from the store and from other entries, in any order.
        """
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.services = frozenset(queue.service for queue in configuration.queues)
        self.queues.configure(configuration)
        self.dirty = True

    def count_unread(self) -> int:
        """Return how many workers have not been read since they were last lost."""
        return sum(not view.read_ms for view in self.workers.values())

    def find_queue(self, plan: JobPlan) -> Queue | None:
        """Return the queue of a job, or None if it is not known in any way."""
        return self.queues.find(plan.job, self.now.ms - plan.accepted_ms)

    def list_suspects_reserved(self) -> list[tuple[str, str]]:
        """Return the workers that are reserved for suspected jobs, and the jobs."""
        return [
            (agent, key[0])
            for key, reservation in self.reserved.items()
            if key[0] in self.suspects
            for agent in reservation.placement
        ]

    def find_ticket(self, plan: JobPlan, task: TaskId, worker: WorkerId) -> str | None:
        """Return the ticket for a start, empty if none is needed, None if missing."""
        queue = self.find_queue(plan)
        if queue is None:
            return None
        if queue.advice is None:
            return ''
        advice = plan.advice.setdefault(task[1:3], StepAdvice())
        return advice.find_ticket(worker, self.now.ms)

    def starts_tasks(self, view: WorkerView) -> bool:
        """
        Whether a worker that runs tasks is known to start them as well.

        Workers that fail what they start go on with what they run. So while workers of
        its service do, it needs a run that was started since, and not long ago.
        """
        if view.info is None:
            return False
        since_ms = self.start_failures.find_since_ms(view.info.service, self.now.ms)
        if not since_ms:
            return True
        return view.sound_start_ms >= max(since_ms, self.now.ms - START_PROOF_MS)

    def list_interfering(self, view: WorkerView) -> tuple[list[Run], list[Run]]:
        """
        Return the latency-sensitive and the best-effort runs of a worker.

        Both lists are empty unless the worker has runs of both kinds.
        """
        latency_sensitive, best_effort_runs = [], []
        for run in view.runs.values():
            step = self.plans[run.task.job].step(run.task)
            if step.target_ms:
                latency_sensitive.append(run)
            elif step.best_effort:
                best_effort_runs.append(run)
        return (
            (latency_sensitive, best_effort_runs)
            if latency_sensitive and best_effort_runs
            else ([], [])
        )

    def add_worker(self, agent: str, agent_address: AgentAddress) -> WorkerView:
        """
        Add the worker of an agent whose leases earlier planners may have extended.

        What is known of an agent in the record of silent agents holds. If the last
        planner has ended, it heard every other agent with runs before that.
        """
        silence = self.silent_agents.known
        expiry_ms = silence.expiry_ms.get(agent, self.inherited_expiry_ms)
        if agent not in silence.expiry_ms and 0 < silence.term == self.ended_term:
            expiry_ms = self.leases.lease_expiry_ms(self.elected_ms)
        expiry_ms = min(expiry_ms, self.inherited_expiry_ms)
        view = WorkerView(agent, agent_address, expiry_ms)
        view.is_silent = agent in silence.expiry_ms
        self.workers[agent] = view
        return view

    def track_run(self, plan: JobPlan, task: TaskId, stage: RunStage) -> Run:
        """Track a recorded assignment as a run until it is released."""
        record = plan.task(task)
        worker = record.worker
        run = Run(
            task=task,
            number=record.run,
            worker=worker,
            need=resources_held(plan.step(task)),
            stage=stage,
            since_ms=self.now.ms,
            checkpoint=record.checkpoint,
            is_from_start=not record.checkpoint,
        )
        plan.runs[task] = run
        view = self.workers.get(worker.agent)
        if view is None:
            view = self.add_worker(worker.agent, AgentAddress(''))
        view.runs[task] = run
        return run

    def find_machine(self, run: Run) -> Machine:
        """Return the worker of a run, without its kind if the worker is not known."""
        view = self.workers.get(run.worker.agent)
        return view.machine() if view else Machine(run.worker.agent)

    def estimate_ms(self, run: Run) -> float:
        """Return the median of the total duration of a run."""
        plan = self.plans[run.task.job]
        step = plan.step(run.task)
        machine = self.find_machine(run)
        return self.run_times.total_ms(plan.job.queue, step, Quantile.MEDIAN, machine)

    def will_end(self, run: Run) -> bool:
        """Whether a run ends by itself or is being stopped."""
        return (
            run.stage in STOP_STAGES
            or not self.plans[run.task.job].step(run.task).is_long_running
        )

    def expected_end_ms(self, run: Run, quantile: Quantile) -> float:
        """Return the expected end of a run, from its progress or a prediction."""
        now_ms = self.now.ms
        if run.stage in STOP_STAGES:
            return now_ms
        ran_ms = now_ms - run.started_ms if run.started_ms else 0
        if run.percent >= MIN_PROJECTION_PERCENT:
            return now_ms + ran_ms * (100 - run.percent) / run.percent
        plan = self.plans[run.task.job]
        step = plan.step(run.task)
        return now_ms + self.run_times.remaining_ms(
            plan.job.queue,
            step,
            ran_ms,
            quantile,
            self.find_machine(run),
        )

    def end_job(self, plan: JobPlan, state: JobState) -> None:
        """Record the end of a job and stop its runs."""
        plan.state = state
        self.suspects.discard(plan.job.id)
        plan.ended_at_ms = self.now.wall_ms
        plan.version += 1
        self.changed.add(plan.job.id)
        self.dirty = True
        for run in list(plan.runs.values()):
            # The other members of a completed gang end by themselves.
            if plan.task(run.task).stage is not TaskStage.DONE:
                self.stop_run(run, f'job_{state}')
        for key in [key for key in self.reserved if key[0] == plan.job.id]:
            del self.reserved[key]
        self.note(
            'job_ended',
            job=plan.job.id,
            queue=plan.job.queue,
            organisation=plan.job.organisation,
            state=state,
            age_ms=self.now.ms - plan.accepted_ms,
        )

    def assign(self, plan: JobPlan, unit: Unit, placement: tuple[str, ...]) -> None:
        """Record a run of each task; starts are ordered once the record is saved."""
        number = 1 + max(plan.task(task).run for task in unit.tasks)
        newest = max(plan.task(task).checkpoint for task in unit.tasks)
        for task, agent in zip(unit.tasks, placement, strict=True):
            record = plan.task(task)
            plan.put(
                task,
                record._replace(
                    stage=TaskStage.ASSIGNED,
                    run=number,
                    worker=self.workers[agent].id,
                    assigned_at_ms=self.now.wall_ms,
                    checkpoint=newest if len(unit.tasks) > 1 else record.checkpoint,
                ),
            )
            self.track_run(plan, task, RunStage.RECORDING)
        for task in unit.tasks:
            plan.runs[task].version = plan.version
        plan.state = JobState.RUNNING
        plan.ready_ms.pop((unit.occurrence, unit.step), None)
        plan.waits.pop(unit.tasks[0][1:], None)
        self.changed.add(plan.job.id)
        step = plan.job.steps[unit.step]
        views = [self.workers[agent] for agent in placement]
        speeds = [self.run_times.find_speed(view.machine()) for view in views]
        self.note(
            'run_assigned',
            job=plan.job.id,
            step=unit.step,
            occurrence=unit.occurrence,
            index=unit.tasks[0].index,
            tasks=len(unit.tasks),
            run=number,
            workers=','.join(placement),
            racks=len({view.rack() for view in views}),
            least_speed=round(min(speeds), 2),
            suspect=sum(self.now.ms < view.suspect_until_ms for view in views),
            unproven=sum(
                self.now.ms >= view.proven_until_ms or not self.starts_tasks(view)
                for view in views
            ),
            unread=self.count_unread(),
            image=step.image,
            submitted_ms=step.estimated_ms,
            estimate_ms=int(
                self.run_times.total_ms(plan.job.queue, step, Quantile.MEDIAN)
            ),
            waited_ms=self.now.ms - plan.accepted_ms,
        )

    def stop_run(self, run: Run, reason: str) -> None:
        """Order the stop of a run; release it at once if no start was ordered."""
        if run.stage is RunStage.RECORDING:
            self.release(run, reason)
            return
        if run.stage in STOP_STAGES:
            return
        run.move(RunStage.STOPPING, self.now.ms)
        run.stop_reason = reason
        self.note(
            'run_stopping',
            task=run.task,
            run=run.number,
            worker=run.worker.name,
            reason=reason,
        )
        self.send_stop(run)

    def send_stop(self, run: Run) -> None:
        """
        Send the stop to the current worker of the run's agent.

        This may be a later incarnation than the one the run was assigned to. It
        must receive the stop as well, so that it refuses a start that was delayed
        in the network.
        """
        pause_ms = min(STOP_RETRY_LIMIT_MS, STOP_RETRY_MS * 2**run.stops_sent)
        run.stop_due_ms = self.now.ms + pause_ms
        run.stops_sent += 1
        view = self.workers[run.worker.agent]
        if view.agent_address.address and view.id is not None:
            order = Stop(self.term, view.id, str(run.task), run.number)
            self.order(view, order)

    def repeat_stops(self, view: WorkerView) -> None:
        """Send the stops that a worker has not answered while it was silent."""
        for run in view.runs.values():
            if run.stage is RunStage.STOPPING:
                run.stops_sent = 0
                self.send_stop(run)

    def release(self, run: Run, reason: str) -> None:
        """
        Free the resources of a run that is certain not to be running.

        A run that was already released, for example with its gang, stays as it is.
        """
        plan = self.plans[run.task.job]
        if plan.runs.get(run.task) is not run:
            return
        lost_core_s = self.unsaved_core_s(run)
        machine = self.find_machine(run)
        learn_stopped(self.run_times, plan, run, machine)
        self.workers[run.worker.agent].runs.pop(run.task, None)
        plan.runs.pop(run.task, None)
        self.dirty = True
        record = plan.task(run.task)
        if record.stage is TaskStage.DONE:
            lost_core_s = 0.0
        if record.stage is TaskStage.ASSIGNED and record.run == run.number:
            waiting = record._replace(
                stage=TaskStage.WAITING,
                worker=None,
                checkpoint=max(record.checkpoint, run.checkpoint),
            )
            plan.put(run.task, waiting)
            self.changed.add(plan.job.id)
        if plan.ended and not plan.runs:
            plan.version += 1
            self.changed.add(plan.job.id)
        self.break_gang(plan, run.task, reason)
        self.note(
            'run_released',
            task=run.task,
            run=run.number,
            worker=run.worker.name,
            reason=reason,
            queue=plan.job.queue,
            cause=run.stop_reason or reason,
            lost_core_s=round(lost_core_s, 1),
        )

    def unsaved_core_s(self, run: Run) -> float:
        """Return the work of a run that no checkpoint holds, in core-seconds."""
        if not run.started_ms:
            return 0.0
        since_ms = run.started_ms
        if self.plans[run.task.job].step(run.task).checkpointing:
            since_ms = max(since_ms, run.saved_ms)
        return count_cores(run.need) * max(0, self.now.ms - since_ms) / 1000

    def break_gang(self, plan: JobPlan, task: TaskId, reason: str) -> None:
        """
        Stop the remaining members of a gang after one was lost.

        A member that is released at once breaks the gang again, with the reason that
        it was given here.
        """
        if not plan.step(task).gang:
            return
        reason = GANG_PREFIX + reason.removeprefix(GANG_PREFIX)
        for other in list(plan.runs.values()):
            is_member = (other.task.occurrence, other.task.step) == task[1:3]
            if is_member and plan.task(other.task).stage is TaskStage.ASSIGNED:
                self.stop_run(other, reason)

    def postpone(self, plan: JobPlan, task: TaskId) -> None:
        """Delay the next attempt to place a unit by `RETRY_MS`."""
        plan.retry_at_ms[task[1:3]] = self.now.ms + RETRY_MS

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects, with a save of each changed record."""
        for job in sorted(self.changed):
            plan = self.plans[job]
            self.effects.append(SaveRecord(job, plan.version, plan.record()))
        self.changed.clear()
        effects, self.effects = self.effects, []
        return effects
