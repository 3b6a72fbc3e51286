"""Simulation of the fleet of an example manifest, with a trace of each job."""

import json
import pathlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tools.measure.variants import Variant
from yuccarelay.adapters.codec import encode
from yuccarelay.core.effects import (
    Accepted,
    Log,
    NotAccepted,
    RespondToCaller,
    StartTask,
)
from yuccarelay.core.events import CancelRequested
from yuccarelay.core.manifest import Manifest, Organisation, check_manifest
from yuccarelay.core.models import JobSpec
from yuccarelay.core.placement import (
    Candidate,
    measure_fragmentation,
    measure_rack_fragmentation,
)
from yuccarelay.standins.simulation import Process, Simulation

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
USERS = ('guild', 'kanem')
ENTRIES_PER_REGION = 2
SETTLING_MS = 10_000
DECLARED_ERROR = 10
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 20


@dataclass(eq=False)
class Trace:
    """One submission and its result; times are -1 until they are known."""

    organisation: str
    name: str
    entry: str
    submitted_ms: int
    run_ms: int
    spec: JobSpec
    job_id: str = ''
    durable: bool = False
    refusal: str = ''
    retry_ms: int = 0
    started_ms: int = -1
    ended_ms: int = -1
    outcome: str = ''
    starts: int = 0

    @property
    def is_large(self) -> bool:
        """Whether the job needs at least 8 accelerators, the size of a worker."""
        return self.spec.total_accelerators >= 8

    @property
    def is_late(self) -> bool:
        """Whether the job did not start within its start limit."""
        wait_ms = self.started_ms - self.submitted_ms
        return self.started_ms < 0 or wait_ms > self.spec.start_limit_ms


@dataclass
class Link:
    """Counters of the messages between regions."""

    messages: int = 0
    bytes: int = 0
    kinds: Counter = field(default_factory=Counter)


class MeasuredSimulation(Simulation):
    """A simulation that traces each job and counts the bytes between regions."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.traces: dict[str, Trace] = {}
        self.requests: dict[int, Trace] = {}
        self.early: dict[str, list[tuple[str, int, str]]] = {}
        self.link = Link()
        self.task_starts = 0

    def write_line(self, event: str, **fields: object) -> None:
        """Discard the transcript, which would fill the memory in long runs."""

    def _carry_out(self, process: Process, effect: object) -> None:
        match effect:
            case RespondToCaller(request_id, Accepted(job_id, durable)):
                trace = self.requests[request_id]
                trace.job_id, trace.durable = job_id, durable
                self.traces[job_id] = trace
            case RespondToCaller(request_id, NotAccepted() as refusal):
                if request_id in self.requests:
                    trace = self.requests[request_id]
                    trace.refusal, trace.retry_ms = refusal.code, refusal.retry_ms
            case Log('job_started', fields):
                self._record_start(fields['job_id'])
            case Log('job_ended', fields):
                trace = self.traces.get(fields['job_id'])
                if trace is not None:
                    trace.ended_ms = self.now_ms
                    trace.outcome = fields['outcome']
            case StartTask():
                self.task_starts += 1
        super()._carry_out(process, effect)

    def _record_start(self, job_id: str) -> None:
        trace = self.traces.get(job_id)
        if trace is not None:
            trace.starts += 1
            if trace.started_ms < 0:
                trace.started_ms = self.now_ms

    def _send(self, sender: Process, request) -> None:
        receiver = self.processes.get(request.address)
        if receiver is not None:
            self._count_link(sender, receiver, request.message)
        super()._send(sender, request)

    def _answer(self, process: Process, token: int, message: object) -> None:
        if token in self.waiting:
            self._count_link(process, self.waiting[token][0], message)
        super()._answer(process, token, message)

    def _count_link(self, sender: Process, receiver: Process, message) -> None:
        if sender.region != receiver.region:
            self.link.messages += 1
            self.link.bytes += len(encode(message, sender.address))
            self.link.kinds[type(message).__name__] += 1


class Bench:
    """
    A simulated deployment with the fleet of one user and two entries per region.

    `arrivals` draws the load. It is separate from the random source of the
    simulation, so that all variants of one seed get the same load.
    """

    def __init__(
        self,
        user: str,
        variant: Variant,
        seed: int,
        start_limit_ms: int = 0,
        change: Callable[[Manifest], Manifest] | None = None,
    ):
        variant.apply()
        self.manifest = load_manifest(user, start_limit_ms)
        if change is not None:
            self.manifest = change(self.manifest)
        self.simulation = MeasuredSimulation(
            self.manifest,
            seed=seed,
            policy=variant.policy,
            make_queue=variant.make_queue,
        )
        self.arrivals = random.Random(seed * 7_919)
        self.entries: dict[str, list[str]] = {}
        self.submitted: list[Trace] = []
        self._add_fleet()
        self.simulation.run(SETTLING_MS)

    def _add_fleet(self) -> None:
        for region in dict.fromkeys(rack.region for rack in self.manifest.racks):
            for _ in range(ENTRIES_PER_REGION):
                address = f'127.0.0.1:{7001 + len(self.simulation.processes)}'
                self.simulation.add_entry(address, region)
                self.entries.setdefault(region, []).append(address)
        for rack in self.manifest.racks:
            for number in range(rack.workers):
                self.simulation.add_worker(
                    f'{rack.rack}-w{number}',
                    rack.region,
                    rack.domain,
                    rack.rack,
                    rack.service,
                    rack.accelerators,
                    rack.slots,
                )

    def submit(self, organisation: str, name: str, run_ms: float, **work) -> Trace:
        """Submit a job to a random entry of a region of its organisation."""
        region = self.arrivals.choice(find_regions(self.manifest, organisation))
        entry = self.arrivals.choice(self.entries[region])
        trace = Trace(
            organisation=organisation,
            name=name,
            entry=entry,
            submitted_ms=self.simulation.now_ms,
            run_ms=max(int(run_ms), 1),
            spec=self.manifest.organisations[organisation].jobs[name],
        )
        request = self.simulation.submit(
            entry,
            organisation,
            name,
            run_ms=trace.run_ms,
            **work,
        )
        self.simulation.requests[request] = trace
        self.submitted.append(trace)
        return trace

    def cancel(self, trace: Trace) -> None:
        """Cancel a job at the entry that it was submitted to."""
        self.simulation.request(
            trace.entry,
            lambda request_id: CancelRequested(
                request_id,
                trace.organisation,
                trace.job_id,
            ),
        )

    def plan_arrivals(self, rate_per_s, end_ms: int, act) -> None:
        """Call `act` at the times of a Poisson process; the rate may depend on time."""
        start_ms = self.simulation.now_ms

        def arrive() -> None:
            if self.simulation.now_ms < start_ms + end_ms:
                act()
                plan()

        def plan() -> None:
            rate = rate_per_s(self.simulation.now_ms - start_ms)
            delay_ms = int(self.arrivals.expovariate(rate) * 1000) if rate else 1_000
            self.simulation.at(max(delay_ms, 1), arrive)

        plan()

    def sample(self, interval_ms: int, end_ms: int, act) -> None:
        """Call `act` once per interval until `end_ms`."""
        for time_ms in range(interval_ms, end_ms + 1, interval_ms):
            self.simulation.at(time_ms, act)

    def draw_run_ms(self, declared_ms: float) -> float:
        """Return a run time up to ten times shorter or longer; some jobs straggle."""
        run_ms = declared_ms * DECLARED_ERROR ** self.arrivals.uniform(-1, 1)
        straggles = self.arrivals.random() < STRAGGLER_SHARE
        return run_ms * (STRAGGLER_FACTOR if straggles else 1)

    def read_candidates(self) -> list[Candidate]:
        """Return the workers with the free capacity that their agents report."""
        found = []
        for worker_id, state in self.simulation.workers.items():
            agent = self.simulation.processes[state.address].core
            active = agent.members.ledger.find_active()
            used = sum(entry.claim.total_accelerators for entry in active)
            slots = sum(len(entry.claim.members) for entry in active)
            found.append(
                Candidate(
                    worker_id=worker_id,
                    region=state.region,
                    domain=state.domain,
                    rack=state.rack,
                    accelerators=state.accelerators,
                    free_accelerators=state.accelerators - used,
                    free_slots=state.slots - slots,
                    owned_free=0,
                    others_owned=0,
                ),
            )
        return found

    def measure_utilisation(self) -> float:
        """Return the share of accelerators that are reserved."""
        candidates = self.read_candidates()
        free = sum(candidate.free_accelerators for candidate in candidates)
        return 1 - free / sum(candidate.accelerators for candidate in candidates)

    def measure_fragmentation(self) -> tuple[float, float]:
        """Return the fragmentation by workers and by racks."""
        candidates = self.read_candidates()
        return (
            measure_fragmentation(candidates),
            measure_rack_fragmentation(candidates),
        )

    def count(self, name: str) -> int:
        """Return the value of a counter of the decision code."""
        return self.simulation.counts.get(name, 0)

    def find_failures_per_start(self) -> float:
        """Return the number of refused acquisitions per started attempt."""
        starts = sum(trace.starts for trace in self.submitted)
        return self.count('acquire_failed') / max(starts, 1)


def load_manifest(user: str, start_limit_ms: int = 0) -> Manifest:
    """Return an example manifest; a start limit applies to non-preemptible jobs."""
    document = json.loads((EXAMPLES / f'manifest-{user}.json').read_text())
    manifest = check_manifest(document).unwrap()
    if not start_limit_ms:
        return manifest
    organisations = {
        name: limit_starts(organisation, start_limit_ms)
        for name, organisation in manifest.organisations.items()
    }
    return manifest._replace(organisations=organisations)


def limit_starts(organisation: Organisation, limit_ms: int) -> Organisation:
    """Return an organisation whose non-preemptible jobs have this start limit."""
    jobs = {
        name: spec if spec.preemptible else spec._replace(start_limit_ms=limit_ms)
        for name, spec in organisation.jobs.items()
    }
    return organisation._replace(jobs=jobs)


def find_regions(manifest: Manifest, organisation: str) -> list[str]:
    """Return the regions in which an organisation has guaranteed cells."""
    cells = manifest.organisations[organisation].guarantee
    named = sorted({cell.cell.region for cell in cells} - {''})
    return named or sorted({rack.region for rack in manifest.racks})


def count_owned(organisation: Organisation) -> int:
    """Return the guaranteed accelerators of an organisation."""
    return sum(
        cell.count * cell.cell.workers * cell.cell.accelerators
        for cell in organisation.guarantee
    )


def find_job(organisation: Organisation, repeatable: bool, gang=False) -> str:
    """Return the name of the first matching job, or an empty string."""
    for name, spec in organisation.jobs.items():
        if (spec.members > 1) is gang and (gang or spec.repeatable is repeatable):
            return name
    return ''
