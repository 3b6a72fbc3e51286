"""
The planner: decides which run starts and stops on which worker.

One process plans at a time, but correctness does not depend on that. Each assignment
is recorded in the store, on condition that the planner's term is still current,
before the start is ordered. Workers refuse orders of older terms. A run is replaced
only when its worker's lists, its reported end or the expiry of its lease prove that
it is not running.
"""

from yuccarelay.core.batch import evacuation, supervision
from yuccarelay.core.batch.entities import (
    JobPlan,
    Moment,
    Run,
    RunStage,
    WorkerView,
)
from yuccarelay.core.batch.events import (
    AdviceFailed,
    AdviceGiven,
    AgentAddressChanged,
    Configured,
    Deposed,
    Effect,
    Elected,
    EvacuationConfirmed,
    Event,
    JobAccepted,
    JobCancelled,
    OrderAnswered,
    PlannerTick,
    QueueTermsStored,
    Reconnect,
    RecordSaved,
    SilenceSaved,
    StepDown,
    TermConfirmed,
)
from yuccarelay.core.batch.leases import Leases
from yuccarelay.core.batch.models import (
    Job,
    JobState,
    TaskId,
    TaskStage,
    parse_task_id,
)
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.polling import poll
from yuccarelay.core.batch.protocol import (
    AgentAddress,
    Declined,
    Look,
    OldTerm,
    Pace,
    Paced,
    Report,
    Start,
    Started,
    Stop,
    Stopped,
    Unanswered,
)
from yuccarelay.core.batch.reports import ReportReader
from yuccarelay.core.batch.run_time_record import load_record
from yuccarelay.core.batch.scheduling import LONGEST_PAUSE_MS, assign_units
from yuccarelay.core.batch.silence import SilentAgents

# Ended runs whose records are not saved yet are listed again by each poll; the pause
# keeps the planner from polling in a busy loop.
UNSAVED_PAUSE_MS = 300
LOST_AGENT_PAUSE_MS = 300
# A worker that declined or did not answer a start gets no new work for this time.
REFUSED_PAUSE_MS = 1_000


class Planner:
    """
    State machine of the planner; `step` handles an event and returns effects.

    With `follows_evacuation` it starts work only by a confirmed set of evacuated
    domains, and with `learns_interference` it learns which tasks slow each other down.
    """

    def __init__(
        self,
        leases: Leases,
        *,
        follows_evacuation: bool = False,
        learns_interference: bool = True,
    ):
        self.planner_state = PlannerState(
            leases,
            follows_evacuation=follows_evacuation,
            learns_interference=learns_interference,
        )
        self.reports = ReportReader(self.planner_state)
        # Whether the last event made a pass.
        self.has_passed = False

    @property
    def term(self) -> int:
        """The term of this planner, 0 while it does not plan."""
        return self.planner_state.term

    def step(self, event: Event, now: Moment) -> list[Effect]:
        """Handle an event and return the effects to carry out."""
        self.planner_state.now = now
        self.has_passed = False
        if not self.planner_state.term and not isinstance(event, Elected | Configured):
            return []
        match event:
            case Elected():
                self._restore_state(event)
            case Deposed():
                self.planner_state.reset()
                return []
            case TermConfirmed(sent_ms):
                self.planner_state.confirmed_ms = max(
                    self.planner_state.confirmed_ms, sent_ms
                )
            case JobAccepted(job):
                self._add_job(job)
            case QueueTermsStored(job, terms):
                self.planner_state.queues.job_terms[job] = terms
            case JobCancelled(job):
                self._cancel(job)
            case AgentAddressChanged(node, agent_address):
                self._add_agent(node, agent_address)
            case Configured(configuration):
                self.planner_state.configure(configuration)
            case OrderAnswered():
                self._handle_answer(event)
            case RecordSaved(job, version):
                self._handle_record_saved(job, version)
            case SilenceSaved(version):
                self.planner_state.silent_agents.note_saved(version)
            case AdviceGiven() | AdviceFailed():
                self._handle_advice(event)
            case EvacuationConfirmed():
                evacuation.take_confirmation(self.planner_state, event)
            case PlannerTick():
                evacuation.note_expiry(self.planner_state)
                supervision.tick(self.planner_state)
        if (
            self.planner_state.dirty
            and self.planner_state.term
            and self.planner_state.configuration is not None
            and now.ms >= self.planner_state.pass_due_ms
        ):
            self.planner_state.dirty = False
            self.has_passed = True
            assign_units(self.planner_state)
        return self.planner_state.take_effects()

    def end_step(self, now_ms: int) -> None:
        """
        Note when the planner was done with the last event.

        A pass of some time is followed by a pause as long as it, from its end. The
        pause that is known before, from the size of the pass, counts from its begin, so
        it is over when a pass takes longer than was expected.
        """
        if self.has_passed:
            took_ms = now_ms - self.planner_state.now.ms
            due_ms = now_ms + min(LONGEST_PAUSE_MS, took_ms)
            due_ms = max(self.planner_state.pass_due_ms, due_ms)
            self.planner_state.pass_due_ms = due_ms

    def _restore_state(self, event: Elected) -> None:
        """Rebuild the state from the store; workers are polled before they get work."""
        self.planner_state.reset()
        self.planner_state.term = event.term
        self.planner_state.confirmed_ms = self.planner_state.now.ms
        self.planner_state.elected_ms = self.planner_state.now.ms
        self.planner_state.inherited_expiry_ms = (
            self.planner_state.leases.inherited_expiry_ms(self.planner_state.now.ms)
        )
        self.planner_state.ended_term = event.ended_term
        self.planner_state.silent_agents = SilentAgents(event.term, event.silence)
        if event.run_times is not None:
            load_record(self.planner_state.run_times, event.run_times)
        for node, agent_address in event.agents.items():
            self._add_agent(node, agent_address)
        self.planner_state.queues.job_terms.update(event.job_terms)
        self.planner_state.withheld = event.withheld
        self.planner_state.unclaimed_records = dict(event.records)
        for job in event.jobs.values():
            age_ms = max(0, self.planner_state.now.wall_ms - job.accepted_at_ms)
            self._add_job(job, age_ms)
        for job in event.cancelled:
            self._cancel(job)
        self.planner_state.dirty = True
        self.planner_state.note(
            'planner_elected',
            jobs=len(self.planner_state.plans),
            agents=len(self.planner_state.workers),
            open=sum(not plan.ended for plan in self.planner_state.plans.values()),
        )

    def _add_agent(self, node: str, agent_address: AgentAddress) -> None:
        """
        Poll a worker that is new or whose agent has restarted.

        A poll sent to the previous incarnation of the agent would end only at its
        time limit.
        """
        view = self.planner_state.workers.get(node)
        if view is None:
            view = self.planner_state.add_worker(node, agent_address)
        elif view.agent_address != agent_address:
            view.agent_address = agent_address
            view.agent_changed_ms = self.planner_state.now.ms
            view.poll = None
            # The earlier process of the agent knew the newest term, this one does not.
            view.inherited_expiry_ms = self.planner_state.inherited_expiry_ms
            self.planner_state.effects.append(Reconnect(agent_address.address))
        if not view.is_polling:
            poll(self.planner_state, view)

    def _add_job(self, job: Job, age_ms: int = 0) -> None:
        """
        Add an accepted job, and the runs of its record that may exist.

        Without its record a job would begin anew, also the tasks that run or are done.
        """
        if job.id in self.planner_state.plans:
            return
        if job.id in self.planner_state.withheld:
            self.planner_state.note('job_withheld', job=job.id)
            return
        record = self.planner_state.unclaimed_records.pop(job.id, None)
        plan = JobPlan(job, self.planner_state.now.ms - age_ms)
        self.planner_state.plans[job.id] = plan
        if record is not None:
            plan.load(record)
            if not plan.ended and any(task.crashes for task in plan.tasks.values()):
                self.planner_state.suspects.add(job.id)
            self._restore_runs(plan)
        self.planner_state.dirty = True
        self.planner_state.note(
            'job_seen',
            job=job.id,
            queue=job.queue,
            organisation=job.organisation,
            state=plan.state,
            steps=len(job.steps),
            tasks=sum(step.count for step in job.steps),
            accelerators=max(step.need.accelerators for step in job.steps),
        )
        if job.id in self.planner_state.early_cancellations:
            self.planner_state.early_cancellations.discard(job.id)
            self._cancel(job.id)

    def _restore_runs(self, plan: JobPlan) -> None:
        """Treat each assigned task of a record as a run that may exist."""
        for key, task in plan.tasks.items():
            if task.stage is TaskStage.ASSIGNED and task.worker is not None:
                run = self.planner_state.track_run(
                    plan,
                    TaskId(plan.job.id, *key),
                    RunStage.UNCERTAIN,
                )
                age_ms = max(0, self.planner_state.now.wall_ms - task.assigned_at_ms)
                run.started_ms = self.planner_state.now.ms - age_ms
                run.start_repeated = True
                run.is_beside_new = True
                run.pace = None

    def _cancel(self, job: str) -> None:
        """
        Cancel a job and stop its runs.

        A listing of the store has the cancellations before the jobs.
        """
        plan = self.planner_state.plans.get(job)
        if plan is None:
            self.planner_state.early_cancellations.add(job)
            return
        if plan.ended:
            return
        plan.cancelled = True
        self.planner_state.end_job(plan, JobState.CANCELLED)

    def _start_saved(self, plan: JobPlan) -> None:
        """
        Order the starts of runs whose assignment is saved.

        Later changes of the record need not be saved: in a job of many tasks there may
        always be one.
        All runs are checked before the first start is ordered: the release of one
        member also releases the rest of its gang.
        """
        for run in list(plan.runs.values()):
            if is_assignment_saved(plan, run):
                reason = self._find_start_obstacle(plan, run)
                if reason is not None:
                    self.planner_state.release(run, reason)
        for run in plan.runs.values():
            if is_assignment_saved(plan, run):
                self._order_start(plan, run)

    def _find_start_obstacle(self, plan: JobPlan, run: Run) -> str | None:
        """Return why a saved run cannot start on its worker, or None if it can."""
        view = self.planner_state.workers[run.worker.agent]
        if (
            view.id != run.worker
            or view.basis is None
            or not self.planner_state.may_extend_leases(view.agent)
        ):
            return 'worker_changed'
        if self.planner_state.find_ticket(plan, run.task, run.worker) is None:
            return 'no_ticket'
        return self.planner_state.evacuated.find_obstacle(
            view.info.domain, self.planner_state.now.ms
        )

    def _order_start(self, plan: JobPlan, run: Run) -> None:
        """Order the start of a run, and extend the lease of its worker for it."""
        view = self.planner_state.workers[run.worker.agent]
        run.move(RunStage.ORDERED, self.planner_state.now.ms)
        view.extend_lease(
            self.planner_state.leases.lease_expiry_ms(view.basis_received_ms)
        )
        order = Start(
            term=self.planner_state.term,
            basis=view.basis,
            worker=run.worker,
            task=str(run.task),
            run=run.number,
            specification=plan.job.specification,
            checkpoint=run.checkpoint,
            ticket=self.planner_state.find_ticket(plan, run.task, run.worker),
            start_by_ms=self.planner_state.evacuated.start_by_ms(
                view.basis.at_ms, view.basis_received_ms
            ),
        )
        self.planner_state.order(view, order)

    def _handle_answer(self, event: OrderAnswered) -> None:
        """Handle the answer to an order, or its absence."""
        view = self.planner_state.workers.get(event.agent)
        if view is None or event.order.term != self.planner_state.term:
            return
        match event.answer:
            case OldTerm(term):
                self.planner_state.note('term_refused', agent=event.agent, newer=term)
                self.planner_state.effects.append(StepDown(term))
                return
        match event.order:
            case Look():
                self._handle_poll_reply(view, event)
            case Start():
                self._handle_start_reply(view, event)
            case Stop():
                self._handle_stop_reply(view, event)
            case Pace():
                self._handle_pace_reply(event)

    def _handle_poll_reply(self, view: WorkerView, event: OrderAnswered) -> None:
        if event.order is not view.poll:
            return
        view.poll = None
        match event.answer:
            case Report() as report:
                view.is_silent = False
                if report.lists_read and event.order.worker == view.id:
                    view.acknowledged_end = max(view.acknowledged_end, event.order.seen)
                self.reports.read(view, report, event)
                pause_ms = UNSAVED_PAUSE_MS if view.ends else 0
                if not report.lists_read and event.order.call_worker:
                    pause_ms = LOST_AGENT_PAUSE_MS
            case Unanswered() | Declined():
                # No lease is extended until the agent answers again.
                view.basis = None
                if not view.is_silent:
                    view.silent_since_ms = self.planner_state.now.ms
                view.is_silent = True
                pause_ms = LOST_AGENT_PAUSE_MS
                if view.read_ms:
                    self.planner_state.note(
                        'agent_lost', agent=view.agent, runs=len(view.runs)
                    )
                    view.read_ms = 0
            case _:
                return
        if pause_ms:
            view.poll_due_ms = self.planner_state.now.ms + pause_ms
        else:
            poll(self.planner_state, view)

    def _handle_advice(self, event: AdviceGiven | AdviceFailed) -> None:
        """Handle the response of the advice service, or its failure."""
        job, *step = event.key
        plan = self.planner_state.plans.get(job)
        if plan is None or event.term != self.planner_state.term:
            return
        advice = plan.advice[tuple(step)]
        queue = self.planner_state.find_queue(plan)
        terms = queue.advice if queue is not None else None
        match event:
            case AdviceGiven(tickets=tickets, sent_ms=sent_ms) if terms is not None:
                self.planner_state.note(
                    'advice_given',
                    job=job,
                    step=step[1],
                    asked=len(advice.asked),
                    approved=len(tickets),
                    took_ms=self.planner_state.now.ms - advice.query_since_ms,
                )
                advice.take_answer(dict(tickets), sent_ms, terms.valid_ms)
            case AdviceFailed(reason=reason):
                self.planner_state.note(
                    'advice_failed', job=job, step=step[1], reason=reason
                )
                advice.take_failure(self.planner_state.now.ms)
            case _:
                # A newer configuration removed the advice from the queue.
                advice.take_failure(self.planner_state.now.ms)
        self.planner_state.dirty = True

    def _find_run(self, order: Start | Stop | Pace) -> Run | None:
        task = parse_task_id(order.task)
        plan = self.planner_state.plans.get(task.job)
        run = plan.runs.get(task) if plan else None
        return run if run is not None and run.number == order.run else None

    def _handle_start_reply(self, view: WorkerView, event: OrderAnswered) -> None:
        run = self._find_run(event.order)
        if run is None:
            return
        plan = self.planner_state.plans[run.task.job]
        match event.answer:
            case Started(repeated, born_ms):
                if born_ms:
                    run.worker = run.worker._replace(born_ms=born_ms)
                run.start_repeated = run.start_repeated or repeated
                run.started_ms = self.planner_state.now.ms
                run.saved_ms = run.percent_since_ms = self.planner_state.now.ms
                if run.stage is RunStage.ORDERED:
                    run.move(RunStage.RUNNING, self.planner_state.now.ms)
                if not plan.begun:
                    plan.begun = True
                    plan.version += 1
                    self.planner_state.changed.add(plan.job.id)
                if plan.task(run.task).crashes:
                    # The poll under way may last until the worker goes down again.
                    poll(self.planner_state, view)
            case Declined(reason):
                self.planner_state.note(
                    'start_declined',
                    task=run.task,
                    run=run.number,
                    worker=run.worker.name,
                    reason=reason,
                )
                view.avoid_until_ms = self.planner_state.now.ms + REFUSED_PAUSE_MS
                self.planner_state.postpone(plan, run.task)
                self.planner_state.release(run, reason)
            case Unanswered(reason):
                view.avoid_until_ms = self.planner_state.now.ms + REFUSED_PAUSE_MS
                self.planner_state.postpone(plan, run.task)
                self.planner_state.stop_run(run, reason)

    def _handle_pace_reply(self, event: OrderAnswered) -> None:
        run = self._find_run(event.order)
        if run is not None and not isinstance(event.answer, Paced):
            run.pace = None

    def _handle_stop_reply(self, view: WorkerView, event: OrderAnswered) -> None:
        key = (event.order.task, event.order.run)
        if view.orphaned_runs.pop(key, None):
            return
        run = self._find_run(event.order)
        if run is None or run.stage is not RunStage.STOPPING:
            return
        match event.answer:
            case Stopped() if event.order.worker == view.id:
                # A later incarnation may also have carried out the start; its lists
                # show whether it did.
                run.worker = view.id
                run.move(RunStage.STOPPED, self.planner_state.now.ms)

    def _handle_record_saved(self, job: str, version: int) -> None:
        plan = self.planner_state.plans.get(job)
        if plan is None:
            return
        plan.saved = max(plan.saved, version)
        self._start_saved(plan)
        for view in self.planner_state.workers.values():
            if not view.ends:
                continue
            self.reports.acknowledge(view)
            is_reached = view.read_ms and view.agent_address.address
            if not view.ends and not view.is_polling and is_reached:
                # Further runs may have ended there during the pause.
                poll(self.planner_state, view)


def is_assignment_saved(plan: JobPlan, run: Run) -> bool:
    """Whether a run that was not started yet is in the saved record of its job."""
    return run.stage is RunStage.RECORDING and plan.saved >= run.version
