"""Helpers for the tests of the invariants."""

import random

from tests import oracle
from tests.fleet import ENTRIES, SERVICE, make_simulation
from yuccarelay.core.agent import AgentCore
from yuccarelay.core.effects import Reply, Request, StartTask
from yuccarelay.core.events import MessageReceived, QueryRequested, ReplyArrived, Tick
from yuccarelay.core.messages import ConfigChanged, Launch, Prepare, Welcome
from yuccarelay.core.models import Claim, MemberRef, OwnedShare, WorkerState
from yuccarelay.core.timing import HOLD_MS
from yuccarelay.standins.simulation import Simulation

ENTRY = '127.0.0.1:7001'
AGENT = '127.0.0.1:9000'
OTHER_AGENT = '127.0.0.1:9001'
INCARNATION = 7


def make_claim(
    accelerators: int = 1,
    guaranteed: bool = False,
    preemptible: bool = True,
    organisation: str = 'alder',
    members: tuple[int, ...] = (0,),
) -> Claim:
    """Return a claim, by default of one member."""
    return Claim(
        organisation=organisation,
        job_name='again',
        members=members,
        accelerators=accelerators,
        guaranteed=guaranteed,
        preemptible=preemptible,
    )


class AgentHarness:
    """Drives one agent without a network and records its effects."""

    def __init__(self, now_ms: int = 0, owned: int = 4, incarnation=INCARNATION):
        state = WorkerState(
            worker_id='w0',
            incarnation=incarnation,
            version=0,
            address=AGENT,
            service=SERVICE,
            region='south',
            domain='hobart',
            rack='r0',
            accelerators=8,
            slots=8,
        )
        self.incarnation = incarnation
        self.core = AgentCore(state, (ENTRY,), random.Random(1))
        self.now_ms = now_ms
        self.effects: list[object] = []
        self.token = 0
        share = OwnedShare('alder', owned)
        self.send_request(ConfigChanged(Welcome((), 1, 1, (share,))))

    def step(self, event: object) -> list[object]:
        """Run one step of the agent and return its effects."""
        effects = self.core.step(event, self.now_ms)
        self.effects.extend(effects)
        return effects

    def send_request(self, message: object) -> object | None:
        """Send a request and return the reply, or None if it is not immediate."""
        self.token += 1
        for effect in self.step(MessageReceived(message, self.token)):
            if isinstance(effect, Reply) and effect.reply_to == self.token:
                return effect.message
        return None

    def deliver_reply(self, tag: str, reply: object | None) -> None:
        """Deliver the reply to a request of the agent."""
        self.step(ReplyArrived(tag, reply))

    def wait(self, duration_ms: int, tick_ms: int = 250) -> None:
        """Advance the time with ticks."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + tick_ms)
            self.step(Tick())

    def prepare(self, attempt_id: str, claim: Claim) -> object | None:
        """Send `Prepare` for an attempt and return the reply."""
        return self.send_request(
            Prepare(attempt_id, self.incarnation, 1, claim, HOLD_MS)
        )

    def launch(
        self,
        attempt_id: str,
        claim: Claim,
        others: tuple[MemberRef, ...] = (),
    ) -> object | None:
        """Launch an attempt whose first member is this agent; return the reply."""
        own = MemberRef('w0', AGENT, self.incarnation, claim)
        return self.send_request(
            Launch(
                attempt_id=attempt_id,
                incarnation=self.incarnation,
                generation=1,
                members=(own, *others),
                payload=b'{}',
                owner_address=ENTRY,
                run_ms=60_000,
            ),
        )

    def find_started(self) -> list[str]:
        """Return the ids of the tasks that the agent ordered to start."""
        return [
            effect.task_id for effect in self.effects if isinstance(effect, StartTask)
        ]

    def find_requests(self, kind: type) -> list[Request]:
        """Return the requests with a message of one kind that the agent sent."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, Request) and isinstance(effect.message, kind)
        ]


def find_job_id(simulation: Simulation, address: str, request_id: int) -> str:
    """Return the id of an accepted job."""
    return simulation.find_response(address, request_id).job_id


def accept(simulation: Simulation, job: str, entry: str = ENTRIES[0], **fields) -> str:
    """Submit a job, wait until it is accepted and return its id."""
    organisation = fields.pop('organisation', 'alder')
    request_id = simulation.submit(entry, organisation, job, **fields)
    simulation.run_until(
        lambda: simulation.find_response(entry, request_id) is not None,
        5_000,
    )
    return find_job_id(simulation, entry, request_id)


def query_status(
    simulation: Simulation,
    job_id: str,
    entry: str = ENTRIES[0],
    organisation: str = 'alder',
) -> object | None:
    """Query a job at an entry and return the response."""
    request_id = simulation.request(
        entry,
        lambda number: QueryRequested(number, organisation, job_id),
    )
    simulation.run(2_500)
    return simulation.find_response(entry, request_id)


def find_outcome(simulation: Simulation, job_id: str, entry: str = ENTRIES[0]) -> str:
    """Return the kind of a job's outcome, or an empty string."""
    status = query_status(simulation, job_id, entry)
    outcome = getattr(status, 'outcome', None)
    return outcome.kind if outcome else ''


def find_runs(simulation: Simulation, job_id: str) -> list[object]:
    """Return the runs of a job's members."""
    return oracle.collect_runs(simulation)[job_id]


def start_running(
    simulation: Simulation, job: str, entry: str = ENTRIES[0], **fields
) -> str:
    """Submit a job, wait until it runs and return its id."""
    job_id = accept(simulation, job, entry, **fields)
    simulation.run_until(lambda: bool(find_runs(simulation, job_id)), 10_000)
    return job_id


def find_worker(simulation: Simulation, job_id: str) -> str:
    """Return the worker of a job's first run."""
    return find_runs(simulation, job_id)[0].worker_id


def count_in_use(simulation: Simulation, worker_id: str) -> int:
    """Return the number of members that run on a worker's target."""
    target = simulation.targets[worker_id]
    return sum(run.end_ms is None for run in target.runs.values())


__all__ = ['make_simulation']
