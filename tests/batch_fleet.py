"""
Simulates workers, agents and a store around the real planner in virtual time.

Workers end runs whose lease has expired, refuse orders of older terms and starts of
stopped runs, and list ended runs until they are acknowledged. Faults are set on the
objects: a worker may be silent, leave a start unanswered or restart, a task may crash
the workers that start it, the store or the advice service may be down, and the store
may be slow.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from yuccarelay.core.batch.agent import Heartbeat, WorkerGuard
from yuccarelay.core.batch.entities import Moment
from yuccarelay.core.batch.events import (
    AdviceFailed,
    AdviceGiven,
    Configured,
    Elected,
    JobAccepted,
    JobCancelled,
    Note,
    OrderAnswered,
    PlannerTick,
    QueryAdvice,
    QueueTermsStored,
    RecordSaved,
    SaveRecord,
    SaveSilence,
    SendOrder,
    SilenceSaved,
    TermConfirmed,
)
from yuccarelay.core.batch.known_queues import QueueTerms, make_terms
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.models import (
    AdviceTerms,
    Configuration,
    EndedRun,
    Job,
    JobRecord,
    Organisation,
    Queue,
    Resources,
    RunningTask,
    Step,
    WorkerInfo,
)
from yuccarelay.core.batch.planner import Planner
from yuccarelay.core.batch.protocol import (
    AgentAddress,
    Declined,
    LeaseReference,
    Look,
    Pace,
    Paced,
    Report,
    Start,
    Started,
    Stop,
    Stopped,
    Unanswered,
)
from yuccarelay.core.batch.silence import (
    NO_SILENCE,
    SilenceRecord,
    receive_silence,
)

TICK_MS = 100
CRASH_AFTER_MS = 10
DOWN_MS = 3_000
NETWORK_DELAY_MS = 2
WALL_START_MS = 1_700_000_000_000
LONGEST_HOLD_MS = 10_000

URGENT = Queue('urgent', 'h', '/u/', 'desk', 0, 4, 1.5, 600)
ORDINARY = Queue('ordinary', 'h', '/o/', 'desk', 1, 3, 3.0, 1_500)
DEFERRABLE = Queue('patient', 'h', '/p/', 'desk', 2, 4, 3.0, 3_000)
ADVICE_MS = 100
ADVICE = AdviceTerms(decision_ms=50, worker_ms=5, valid_ms=3_000)
ADVISED = Queue('advised', 'h', '/a/', 'desk', 1, 3, 3.0, 1_500, advice=ADVICE)
CONFIGURATION = Configuration(
    version=1,
    queues=(URGENT, ORDINARY, DEFERRABLE, ADVISED),
    organisations=(
        Organisation('guild', frozenset({'k1'}), 16),
        Organisation('kanem', frozenset({'k2'}), 8),
    ),
)
WORKER_CAPACITY = Resources(128_000, 262_144, 8)

_numbers = itertools.count(1)


def make_step(count: int = 1, accelerators: int = 1, **fields) -> Step:
    """Return a step whose tasks need a core, some memory and accelerators."""
    need = Resources(1_000, 1_000, accelerators)
    return Step(count, need, **{'estimated_ms': 1_000, **fields})


def make_job(*steps: Step, queue: Queue = ORDINARY, **fields) -> Job:
    """Return a job with a unique id; by default it has one task."""
    return Job(
        id=f'{next(_numbers):016x}',
        queue=queue.name,
        organisation=fields.pop('organisation', 'guild'),
        specification='s',
        steps=steps or (make_step(),),
        accepted_at_ms=fields.pop('accepted_at_ms', WALL_START_MS),
        **fields,
    )


@dataclass
class FakeRun:
    """A run on a worker."""

    task: str
    run: int
    ends_ms: int
    checkpoint: str = ''
    started_ms: int = 0
    percent: float | None = None
    # How it ends, if not as all runs of its worker do.
    how: str = ''


@dataclass
class FakeWorker:
    """A worker and the guard of its agent."""

    name: str
    rack: str
    born_ms: int = 1
    run_ms: int = 1_000
    how: str = 'done'
    silent: bool = False
    # Its agent refuses connections, which is known at once.
    refuses: bool = False
    # Its answers take so much longer than others.
    answer_ms: int = 0
    lose_starts: int = 0
    # Starts are carried out, but their answers do not arrive.
    lose_answers: bool = False
    lose_stops: int = 0
    stops: int = 0
    # Stopped runs end one after the other, each after this time.
    stop_ms: int = 0
    # It restarts, and its agent learns of it with the next start.
    restarts_unnoticed: bool = False
    # The machine has no worker any more; the agent knows it from a late heartbeat.
    is_gone: bool = False
    # Names of the tasks that crash the worker when it starts them.
    deadly: set[str] = field(default_factory=set)
    crashes_at_ms: int | None = None
    back_at_ms: int | None = None
    draining: bool = False
    leaves_in_ms: int = 0
    domain: str = 'hobart'
    cold_ms: int = 0
    capacity: Resources = WORKER_CAPACITY
    lease_end_ms: int = 0
    runs: dict[str, FakeRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    refused: set[tuple[str, int]] = field(default_factory=set)
    starts: list[tuple[int, str, int]] = field(default_factory=list)
    paces: dict[str, int] = field(default_factory=dict)
    tails: list[tuple[int, float]] = field(default_factory=list)
    needs_ticket: bool = False
    rejected: int = 0
    # So many ended runs are listed at a time.
    ends_limit: int = 500
    tickets: dict[str, int] = field(default_factory=dict)
    latency_sensitive_job: str = ''
    tail_alone: float = 0
    tail_by_best_effort: float = 0
    all_ended: list[tuple[str, str]] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self):
        self.guard = WorkerGuard(
            f'agent-{self.name}',
            7,
            make_leases(LONGEST_HOLD_MS),
        )
        self.sequence = 0

    def send_heartbeat(self, now_ms: int) -> None:
        """Send a heartbeat to the agent, unless the worker is down."""
        if self.back_at_ms is not None:
            return
        self.sequence += 1
        info = WorkerInfo(
            self.name,
            self.born_ms,
            'desk',
            self.domain,
            self.capacity,
            ('a', self.rack),
            self.rack,
            self.draining,
            self.leaves_in_ms,
        )
        heartbeat = Heartbeat(info, self.sequence, now_ms, self.cold_ms)
        self.guard.take_heartbeat(heartbeat, now_ms)
        self.identify()

    def identify(self) -> None:
        """Let the agent ask the worker which of the candidates it is."""
        for candidate in self.guard.list_candidates():
            if candidate == (self.name, self.born_ms):
                self.guard.confirm(candidate)
            else:
                self.guard.refute(candidate)

    def crash(self, now_ms: int) -> None:
        """Restart as a new incarnation without state."""
        self.born_ms = now_ms
        self.runs.clear()
        self.ended.clear()
        self.refused.clear()
        self.numbers = itertools.count(1)
        self.sequence = 0

    def end(self, task: str, how: str) -> None:
        """End a run and add it to the list of ended runs."""
        run = self.runs.pop(task)
        number = next(self.numbers)
        self.ended.append(EndedRun(number, task, run.run, how, run.checkpoint))
        self.all_ended.append((task, how))
        self.refused.add((task, run.run))

    def _stop(self, task: str, now_ms: int) -> None:
        if not self.stop_ms:
            self.end(task, 'stopped')
            return
        run = self.runs[task]
        if run.how != 'stopped':
            earlier = sum(other.how == 'stopped' for other in self.runs.values())
            run.how, run.ends_ms = 'stopped', now_ms + (earlier + 1) * self.stop_ms

    def count_done(self, job: str) -> int:
        """Return how many tasks of a job were done on this worker."""
        return sum(
            task.startswith(job) and how == 'done' for task, how in self.all_ended
        )

    def advance(self, now_ms: int) -> None:
        """End the runs whose duration or lease is over; crash and come back."""
        if self.crashes_at_ms is not None and now_ms >= self.crashes_at_ms:
            self.crashes_at_ms, self.back_at_ms = None, now_ms + DOWN_MS
            self.runs.clear()
        if self.back_at_ms is not None:
            if now_ms < self.back_at_ms:
                return
            self.back_at_ms = None
            self.crash(now_ms)
        for task, run in list(self.runs.items()):
            if now_ms >= self.lease_end_ms:
                self.end(task, 'lapsed')
            elif now_ms >= run.ends_ms:
                self.end(task, run.how or self.how)

    def order(self, order, now_ms: int):
        """Carry out an order as the agent and the worker would; return the answer."""
        if self.silent or self.refuses:
            return Unanswered('silent')
        old = self.guard.check_term(order.term)
        if old is not None:
            return old
        is_down = self.back_at_ms is not None
        if is_down and not isinstance(order, Look):
            return Unanswered('no answer')
        match order:
            case Look():
                return self._poll(order, now_ms)
            case Start():
                return self._start(order, now_ms)
            case Stop(_, worker, task, run):
                if worker != self.guard.worker_id():
                    return Declined('other_worker')
                self.stops += 1
                if self.lose_stops:
                    self.lose_stops -= 1
                    return Unanswered('no answer')
                self.refused.add((task, run))
                if task in self.runs and self.runs[task].run == run:
                    self._stop(task, now_ms)
                return Stopped()
            case Pace(_, _, task, _, percent):
                self.paces[task] = percent
                return Paced()
        return None

    def recent_metric(self, run: FakeRun) -> float:
        """Return the response time tail of a latency-sensitive run, 0 for others."""
        if not self.latency_sensitive_job or not run.task.startswith(
            self.latency_sensitive_job
        ):
            return 0
        best_effort_percent = sum(
            self.paces.get(task, 100)
            for task in self.runs
            if not task.startswith(self.latency_sensitive_job)
        )
        return self.tail_alone + self.tail_by_best_effort * best_effort_percent / 100

    def _poll(self, order: Look, now_ms: int) -> Report:
        if self.is_gone and self.guard.has_ended(now_ms):
            self.guard.take_departure()
        worker = self.guard.worker_id()
        is_reached = not self.is_gone and self.back_at_ms is None
        if worker is not None and order.call_worker and is_reached:
            if order.worker == worker:
                self.ended = [e for e in self.ended if e.number > order.seen]
                end_ms = self.guard.extend_lease(order.basis, now_ms)
                self.lease_end_ms = max(self.lease_end_ms, end_ms or 0)
            running = tuple(
                RunningTask(
                    run.task,
                    run.run,
                    run.checkpoint,
                    self.percent(run, now_ms),
                    self.recent_metric(run),
                )
                for run in self.runs.values()
            )
            ended = tuple(self.ended[: self.ends_limit])
        else:
            running = ended = ()
        return Report(
            LeaseReference(7, now_ms),
            self.guard.worker,
            worker is not None and order.call_worker and is_reached,
            running,
            ended,
            self.guard.closed_below_ms,
            is_whole=len(ended) < self.ends_limit,
            leases_expire_in_ms=max(0, self.guard.leases_expire_ms - now_ms),
            cold_ms=self.cold_ms,
            is_settled=self.guard.is_settled(now_ms),
            late_leases_expire_in_ms=max(0, self.guard.late_lease_expiry_ms() - now_ms),
        )

    def percent(self, run: FakeRun, now_ms: int) -> float:
        """Return the progress of a run in percent."""
        if run.percent is not None:
            return run.percent
        return 100 * (now_ms - run.started_ms) / max(1, run.ends_ms - run.started_ms)

    def _start(self, order: Start, now_ms: int):
        if order.worker == self.guard.worker_id() and self.restarts_unnoticed:
            # The start shows that another incarnation is there.
            self.restarts_unnoticed = False
            self.crash(now_ms)
            self.guard.take_other_birth(now_ms, now_ms, now_ms, is_idle=True)
        declined = self.guard.check_start(order.worker, order.start_by_ms, now_ms)
        if declined is not None:
            return declined
        end_ms = self.guard.extend_lease(order.basis, now_ms)
        if end_ms is None:
            return Declined('lease_over')
        if (order.task, order.run) in self.refused:
            return Declined('old')
        if self.needs_ticket:
            step = order.task.rpartition('.')[0]
            is_valid = order.ticket and now_ms < self.tickets.get(step, 0)
            if not is_valid:
                self.rejected += 1
                return Declined('ticket')
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        if self.lose_starts:
            self.lose_starts -= 1
            return Unanswered('no answer')
        run = FakeRun(
            order.task,
            order.run,
            now_ms + self.run_ms,
            order.checkpoint,
            now_ms,
        )
        self.runs[order.task] = run
        self.starts.append((now_ms, order.task, order.run))
        if order.task in self.deadly and self.crashes_at_ms is None:
            self.crashes_at_ms = now_ms + CRASH_AFTER_MS
        if self.lose_answers:
            return Unanswered('no answer')
        return Started(born_ms=self.guard.find_called(order.worker).born_ms)


class Fleet:
    """A planner, its workers and the store, in virtual time."""

    follows_evacuation = False

    def __init__(self, *workers: FakeWorker, configuration=CONFIGURATION):
        self.workers = {f'agent-{worker.name}': worker for worker in workers}
        self.configuration = configuration
        self.now_ms = 1_000
        self.term = 0
        self.jobs: dict[str, Job] = {}
        self.job_terms: dict[str, QueueTerms] = {}
        self.records: dict[str, JobRecord] = {}
        self.cancelled: set[str] = set()
        self.store_down = False
        # Duration of a write of records; the next one begins after it.
        self.write_ms = 0
        self.is_writing = False
        self.unsaved: list[SaveRecord | SaveSilence] = []
        # The record of silent agents, and when the other entries received it.
        self.silence = NO_SILENCE
        self.silence_record = SilenceRecord()
        self.notes: list[tuple[str, dict]] = []
        self.queue: list = []
        self.order_numbers = itertools.count()
        self.waits: list[int] = []
        self.queries: list[QueryAdvice] = []
        # The service handles one query after another; when it is free again.
        self.advice_free_ms = 0
        self.ticket_valid_ms = ADVICE.valid_ms
        self.approved: set[str] = set()
        self.advice_down = False
        self.replace_planner()

    def replace_planner(
        self, orders_delayed_ms: int | None = None, *, is_restart: bool = False
    ) -> None:
        """
        Replace the planner by a new one that restores its state from the store.

        With `orders_delayed_ms` the orders of the old one are still in the network
        and arrive later by that time. With `is_restart` it is a new process on the same
        node, otherwise another entry that has been there for long.
        """
        silence, ended_term = self.silence, 0
        if is_restart:
            silence = receive_silence(self.silence_record, self.now_ms)
            ended_term = self.term
        orders = [entry[2] for entry in sorted(self.queue) if entry[2][0] == 'order']
        self.queue = []
        self.is_writing = False
        if orders_delayed_ms is not None:
            for order in orders:
                self.schedule(orders_delayed_ms, order)
        self.unsaved = []
        self.term += 1
        self.planner = Planner(
            make_leases(LONGEST_HOLD_MS), follows_evacuation=self.follows_evacuation
        )
        for worker in self.workers.values():
            worker.send_heartbeat(self.now_ms)
        self.feed(Configured(self.configuration))
        agents = dict.fromkeys(self.workers, AgentAddress('address'))
        self.feed(
            Elected(
                self.term,
                dict(self.jobs),
                dict(self.records),
                frozenset(self.cancelled),
                agents,
                dict(self.job_terms),
                silence=silence,
                ended_term=ended_term,
            ),
        )

    def feed(self, event) -> None:
        """Pass an event to the planner and carry out the effects."""
        wall_ms = WALL_START_MS + self.now_ms
        for effect in self.planner.step(event, Moment(self.now_ms, wall_ms)):
            match effect:
                case SendOrder(agent, _, order):
                    self.schedule(
                        NETWORK_DELAY_MS, ('order', agent, order, self.now_ms)
                    )
                case SaveRecord() | SaveSilence():
                    self.unsaved.append(effect)
                case QueryAdvice():
                    self.queries.append(effect)
                    sent_ms = max(self.now_ms, self.advice_free_ms)
                    self.advice_free_ms = sent_ms + ADVICE_MS
                    delay_ms = self.advice_free_ms - self.now_ms
                    self.schedule(delay_ms, ('advice', effect, sent_ms))
                case Note(name, fields):
                    self.notes.append((name, dict(fields)))

    def schedule(self, delay_ms: int, item: tuple) -> None:
        """Schedule an item for delivery after a delay."""
        entry = (self.now_ms + delay_ms, next(self.order_numbers), item)
        heapq.heappush(self.queue, entry)

    def submit(self, job: Job) -> Job:
        """Store a job with the terms of its queue and report both to the planner."""
        self.jobs[job.id] = job
        for queue in self.configuration.queues:
            if queue.name == job.queue:
                self.job_terms[job.id] = make_terms(queue)
                self.feed(QueueTermsStored(job.id, self.job_terms[job.id]))
        self.feed(JobAccepted(job))
        return job

    def cancel(self, job: Job) -> None:
        """Store a cancellation and report it to the planner."""
        self.cancelled.add(job.id)
        self.feed(JobCancelled(job.id))

    def save(self) -> None:
        """Store the unsaved records, unless the store is down."""
        if self.store_down or self.is_writing or not self.unsaved:
            return
        saves, self.unsaved = self.unsaved, []
        if self.write_ms:
            self.is_writing = True
            self.schedule(self.write_ms, ('written', saves))
        else:
            self.confirm(saves)

    def confirm(self, saves: list[SaveRecord | SaveSilence]) -> None:
        """Store records and report them to the planner as saved."""
        for save in saves:
            match save:
                case SaveRecord(job, _, record):
                    self.records[job] = record
                case SaveSilence(_, record):
                    self.silence_record = record
                    self.silence = receive_silence(record, self.now_ms)
        for save in saves:
            match save:
                case SaveRecord(job, version):
                    self.feed(RecordSaved(job, version))
                case SaveSilence(version):
                    self.feed(SilenceSaved(version))

    def run(self, duration_ms: int) -> 'Fleet':
        """Advance the virtual time in steps of 1 ms."""
        end_ms = self.now_ms + duration_ms
        next_tick_ms = self.now_ms + TICK_MS
        while self.now_ms < end_ms:
            self.now_ms += 1
            for worker in self.workers.values():
                worker.advance(self.now_ms)
            while self.queue and self.queue[0][0] <= self.now_ms:
                self.deliver(heapq.heappop(self.queue)[2])
            self.save()
            if self.now_ms >= next_tick_ms:
                next_tick_ms += TICK_MS
                for worker in self.workers.values():
                    worker.send_heartbeat(self.now_ms)
                if not self.store_down:
                    self.feed(TermConfirmed(self.now_ms))
                self.feed(PlannerTick())
        return self

    def deliver(self, item: tuple) -> None:
        """Deliver one scheduled order or answer, advice query or write."""
        match item:
            case ('order', agent, order, sent_ms):
                if isinstance(order, Look):
                    self.waits.append(order.wait_ms)
                worker = self.workers[agent]
                answer = worker.order(order, self.now_ms)
                wait_ms = NETWORK_DELAY_MS + worker.answer_ms
                if isinstance(answer, Unanswered) and not worker.refuses:
                    wait_ms = 1_200
                nothing_ended = isinstance(answer, Report) and not answer.ended
                if isinstance(order, Look) and nothing_ended and order.wait_ms:
                    wait_ms = 50
                event = OrderAnswered(agent, order, answer, sent_ms)
                self.schedule(wait_ms, ('answer', event))
            case ('answer', event):
                self.feed(event)
            case ('advice', query, sent_ms):
                self.feed(self.advise(query, sent_ms))
            case ('written', saves):
                self.is_writing = False
                self.confirm(saves)

    def advise(self, query: QueryAdvice, sent_ms: int) -> AdviceGiven | AdviceFailed:
        """Answer a query as the advice service does."""
        if self.advice_down:
            return AdviceFailed(query.term, query.key, 'status 503')
        tickets = {}
        for worker in self.workers.values():
            if worker.name in query.workers and worker.name in self.approved:
                tickets[worker.name] = f'{query.step} {self.now_ms}'
                worker.tickets[query.step] = self.now_ms + self.ticket_valid_ms
        return AdviceGiven(query.term, query.key, tickets, sent_ms)

    def state(self, job: Job) -> str:
        """Return the recorded state of a job."""
        record = self.records.get(job.id)
        return str(record.state) if record else 'queued'

    def starts(self, job: Job) -> list[tuple[int, str, int]]:
        """Return all starts of a job's tasks as time, task and run."""
        found = [
            start
            for worker in self.workers.values()
            for start in worker.starts
            if start[1].startswith(job.id)
        ]
        return sorted(found)


def make_fleet(count: int = 3, per_rack: int = 3, **fields) -> Fleet:
    """Return a fleet of equal workers that the planner has polled."""
    workers = [
        FakeWorker(f'w{number}', f'r{number // per_rack}', **fields)
        for number in range(count)
    ]
    return Fleet(*workers).run(200)
