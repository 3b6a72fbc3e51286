"""
A deployment in virtual time: the real decision code with simulated interfaces.

A `Simulation` runs entry and agent cores with a simulated network, store and
targets. All randomness comes from one seed, so the same inputs give the same
transcript. Tests, golden files and the measurement tool use it.

    simulation = Simulation(manifest, seed=1)
    simulation.add_entry('127.0.0.1:7001', 'south')
    simulation.add_worker('w1', 'south', 'hobart', 'r1', 'reorder-desk')
    simulation.run(5_000)
    request_id = simulation.submit(
        '127.0.0.1:7001', 'guild', 'proof-render', run_ms=100
    )
    simulation.run(5_000)
"""

import heapq
import json
import random
from collections.abc import Callable

from yuccarelay.core.agent import AgentCore
from yuccarelay.core.effects import (
    ActivateManifest,
    Count,
    DropAnswer,
    Exit,
    Log,
    Observe,
    RenewTasks,
    Reply,
    Request,
    RespondToCaller,
    RetainAnswers,
    ServeAnswer,
    SetAnswerPeers,
    StartTask,
    StopTask,
)
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import (
    DrainRequested,
    MessageReceived,
    ReplyArrived,
    SubmitRequested,
    Tick,
)
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.messages import AnswersKept
from yuccarelay.core.models import EntryRef, WorkerState
from yuccarelay.core.ordering import JobQueue
from yuccarelay.core.placement import PlacementPolicy
from yuccarelay.core.timing import TICK_MS
from yuccarelay.standins.simulation_store import SimulatedStore
from yuccarelay.standins.simulation_target import SimulatedTarget
from yuccarelay.standins.simulation_types import Crash, NetworkFaults, Process

LOCAL_DELAY_MS = 1
REGION_DELAY_MS = 30


class Simulation:
    """Processes, network, store and targets that share one virtual clock."""

    def __init__(
        self,
        manifest: Manifest | None = None,
        seed: int = 1,
        faults: NetworkFaults = NetworkFaults(),  # noqa: B008
        policy: PlacementPolicy = PlacementPolicy.BUDDY,
        make_queue: Callable[[], JobQueue] = JobQueue,
    ):
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.faults = faults
        self.policy = policy
        self.make_queue = make_queue
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = 0
        self.processes: dict[str, Process] = {}
        self.targets: dict[str, SimulatedTarget] = {}
        self.store = SimulatedStore(self)
        self.waiting: dict[int, tuple[Process, str]] = {}
        self.next_reply = 1
        self.next_request = 1
        self.next_incarnation = 1_000
        self.cuts: set[frozenset[str]] = set()
        self.lines: list[str] = []
        self.counts: dict[str, int] = {}
        self.observed: list[Observe] = []
        self.workers: dict[str, WorkerState] = {}
        self.link_messages = 0
        self.crash: Crash | None = None
        if manifest is not None:
            self.store.put_manifest(manifest)

    # Setup and execution

    def add_entry(self, address: str, region: str) -> Process:
        """Start an entry, or restart it after it was killed."""
        core = EntryCore(
            EntryRef(0, region, address),
            self.rng,
            self.make_queue(),
            self.policy,
        )
        process = self._add(Process(address, region, core))
        self.store.register(process)
        return process

    def add_worker(
        self,
        worker_id: str,
        region: str,
        domain: str,
        rack: str,
        service: str,
        accelerators: int = 8,
        slots: int = 8,
    ) -> Process:
        """Start an agent and its target; the target outlives its agent."""
        port = 9_000 + len(self.workers)
        state = WorkerState(
            worker_id=worker_id,
            incarnation=0,
            version=0,
            address=f'127.0.0.1:{port}',
            service=service,
            region=region,
            domain=domain,
            rack=rack,
            accelerators=accelerators,
            slots=slots,
        )
        self.workers[worker_id] = state
        self.targets[worker_id] = SimulatedTarget(self, worker_id)
        return self.start_agent(worker_id)

    def start_agent(self, worker_id: str) -> Process:
        """Start the agent of a worker, or restart it after it was killed."""
        state = self.workers[worker_id]
        self.next_incarnation += 1
        state = state._replace(incarnation=self.next_incarnation)
        seeds = tuple(
            process.address
            for process in self.processes.values()
            if process.is_entry and process.region == state.region
        )
        core = AgentCore(state, seeds, self.rng)
        return self._add(Process(state.address, state.region, core))

    def run(self, duration_ms: int) -> None:
        """Advance the virtual clock and run the actions that are due."""
        end_ms = self.now_ms + duration_ms
        while self.heap and self.heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.heap)
            action()
        self.now_ms = end_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Advance the clock until a condition holds; return false at the limit."""
        end_ms = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= end_ms:
                return False
            self.run(min(50, end_ms - self.now_ms))
        return True

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.sequence += 1
        heapq.heappush(self.heap, (self.now_ms + delay_ms, self.sequence, action))

    # Callers

    def request(self, address: str, make_event: Callable[[int], object]) -> int:
        """Send a caller's request to an entry and return its request id."""
        request_id = self.next_request
        self.next_request += 1
        process = self.processes[address]
        event = make_event(request_id)
        self.at(3, lambda: self.deliver(process, event))
        return request_id

    def submit(
        self,
        address: str,
        organisation: str,
        job_name: str,
        key: str = '',
        job_id: str = '',
        **work: object,
    ) -> int:
        """Submit a job whose work is given by fields such as `run_ms` and `fail`."""
        payload = json.dumps(work, sort_keys=True).encode()
        self.write_line('submit', at=address, organisation=organisation, job=job_name)
        return self.request(
            address,
            lambda request_id: SubmitRequested(
                request_id=request_id,
                organisation=organisation,
                job_name=job_name,
                payload=payload,
                key=key,
                job_id=job_id,
            ),
        )

    def find_response(self, address: str, request_id: int) -> object | None:
        """Return the answer of an entry to a caller, or None if there is none yet."""
        return self.processes[address].responses.get(request_id)

    # Faults

    def kill(self, address: str) -> None:
        """End a process immediately, without draining it."""
        process = self.processes[address]
        process.alive = False
        self.store.forget(process)
        self.write_line('kill', process=address)

    def kill_worker(self, worker_id: str) -> None:
        """End an agent and all tasks of its target, as when the machine is lost."""
        self.kill(self.workers[worker_id].address)
        self.targets[worker_id].end_all_tasks()

    def crash_at(self, address: str, at_event: int, effects_kept: int = 99) -> None:
        """End a process during its n-th event from now on, not counting ticks."""
        self.crash = Crash(address, at_event, effects_kept)

    def pause(self, address: str) -> None:
        """Suspend a process; events for it are queued, except ticks."""
        self.processes[address].paused = True
        self.write_line('pause', process=address)

    def resume(self, address: str) -> None:
        """Resume a suspended process and deliver its queued events."""
        process = self.processes[address]
        process.paused = False
        self.write_line('resume', process=address)
        held, process.held = process.held, []
        for event in held:
            self.deliver(process, event)

    def drain(self, address: str, deadline_ms: int) -> None:
        """Request a graceful stop of a process within `deadline_ms` from now."""
        event = DrainRequested(self.now_ms + deadline_ms)
        self.write_line('drain', process=address)
        self.deliver(self.processes[address], event)

    def cut(self, one: str, other: str) -> None:
        """Drop messages between two addresses or regions."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all network partitions."""
        self.cuts.clear()

    # Internals

    def deliver(self, process: Process, event: object) -> None:
        """Deliver an event to a process, unless it has ended."""
        if not process.alive or process.exited:
            return
        if process.paused:
            if not isinstance(event, Tick):
                process.held.append(event)
            return
        effects = process.core.step(event, self.now_ms)
        crashes = self._is_crash_due(process, event)
        if crashes:
            effects = effects[: self.crash.effects_kept]
        for effect in effects:
            self._carry_out(process, effect)
        if crashes:
            self.kill(process.address)

    def _is_crash_due(self, process: Process, event: object) -> bool:
        crash = self.crash
        if crash is None or crash.address != process.address or isinstance(event, Tick):
            return False
        self.crash = crash._replace(at_event=crash.at_event - 1)
        return crash.at_event == 1

    def write_line(self, event: str, **fields: object) -> None:
        """Add a line to the transcript."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.lines.append(f'{self.now_ms:>8} {event} {text}'.rstrip())

    def _add(self, process: Process) -> Process:
        self.processes[process.address] = process
        self.at(1 + int(self.rng.random() * TICK_MS), lambda: self._tick(process))
        return process

    def _tick(self, process: Process) -> None:
        if process.alive and not process.exited:
            self.deliver(process, Tick())
            self.at(TICK_MS, lambda: self._tick(process))

    def _carry_out(self, process: Process, effect: object) -> None:
        match effect:
            case Request():
                self._send(process, effect)
            case Reply(reply_to, message):
                self._answer(process, reply_to, message)
            case Log(event, fields):
                self.write_line(event, by=process.address, **fields)
            case Count(name, amount):
                self.counts[name] = self.counts.get(name, 0) + amount
            case Observe():
                self.observed.append(effect)
            case RespondToCaller(request_id, response):
                process.responses[request_id] = response
            case StartTask() | StopTask() | RenewTasks():
                worker_id = process.core.announcer.state.worker_id
                self.targets[worker_id].take(process, effect)
            case Exit():
                process.exited = True
                self.store.forget(process)
                self.write_line('exit', process=process.address)
            case RetainAnswers(reply_to, parts):
                kept = AnswersKept(tuple(part.task_id for part in parts))
                self._answer(process, reply_to, kept)
            case ActivateManifest() | ServeAnswer() | DropAnswer() | SetAnswerPeers():
                pass
            case _:
                self.store.take(process, effect)

    def _send(self, sender: Process, request: Request) -> None:
        token = self.next_reply
        self.next_reply += 1
        self.waiting[token] = (sender, request.tag)
        self.at(request.timeout_ms, lambda: self._time_out(token))
        event = MessageReceived(request.message, token)
        copies = 2 if self.rng.random() < self.faults.duplicate else 1
        for _ in range(copies):
            delay_ms = self._pick_delay(sender, request.address)
            if delay_ms is not None:
                self.at(delay_ms, lambda: self._receive(request.address, event))

    def _receive(self, address: str, event: MessageReceived) -> None:
        process = self.processes.get(address)
        if process is not None:
            self.deliver(process, event)

    def _answer(self, process: Process, token: int, message: object) -> None:
        if token not in self.waiting:
            return
        receiver, tag = self.waiting[token]
        delay_ms = self._pick_delay(process, receiver.address)
        if delay_ms is not None:
            event = ReplyArrived(tag, message)
            self.at(delay_ms, lambda: self._finish(token, event))

    def _finish(self, token: int, event: ReplyArrived) -> None:
        if token in self.waiting:
            receiver, _ = self.waiting.pop(token)
            self.deliver(receiver, event)

    def _time_out(self, token: int) -> None:
        if token in self.waiting:
            receiver, tag = self.waiting.pop(token)
            self.deliver(receiver, ReplyArrived(tag, None))

    def _pick_delay(self, sender: Process, address: str) -> int | None:
        receiver = self.processes.get(address)
        if receiver is None or self._is_cut(sender, receiver):
            return None
        if self.rng.random() < self.faults.lose:
            return None
        delay_ms = LOCAL_DELAY_MS
        if sender.region != receiver.region:
            delay_ms = REGION_DELAY_MS
            self.link_messages += 1
        if self.rng.random() < self.faults.late:
            delay_ms += int(self.faults.late_ms * self.rng.random())
        return delay_ms

    def _is_cut(self, one: Process, other: Process) -> bool:
        pairs = (
            frozenset((one.address, other.address)),
            frozenset((one.region, other.region)),
        )
        return any(pair in self.cuts and len(pair) == 2 for pair in pairs)
