"""The task that answers callers' requests and owns the replica of the jobs."""

import asyncio
import contextlib
import random
from dataclasses import dataclass
from functools import partial

from result import Err, Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.events import (
    AgentAddressChanged,
    Configured,
    JobAccepted,
    JobCancelled,
    QueueTermsStored,
)
from yuccarelay.core.batch.models import ENDED
from yuccarelay.core.batch.protocol import AgentAddress
from yuccarelay.core.batch.request_handler import (
    RETRY_AFTER_S,
    Call,
    Decision,
    Failed,
    NotAccepted,
    NotReady,
    Outcome,
    ReadJob,
    RequestHandler,
    State,
    StoreCall,
    StoreCancel,
    StoreJob,
    Undecided,
)
from yuccarelay.core.request_budget import Limits
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import Store
from yuccarelay.ports.transport import TransportFailure
from yuccarelay.tasks.batch.configuration import (
    ConfigurationConfirmed,
    ConfirmationWanted,
)
from yuccarelay.tasks.batch.peers import PeerSockets
from yuccarelay.tasks.batch.replica import (
    EntryAddressChanged,
    JobRemoved,
    JobsListed,
    RecordChanged,
    ReplicaConfirmed,
    StoreReachability,
)
from yuccarelay.tasks.batch.store_calls import StoreCalls
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox

# Another entry's call to the store takes up to 0.3 s when the store is slow.
RELAY_LIMIT_MS = 600
RELAYS_LIMIT = 2
# After no other entry reached the store either, requests are refused for this time
# without another relay; the watch detects the end of an outage.
RELAY_PAUSE_MS = 300
# With no more time left than this, a request waits for a store that is away. It waits
# for a share of that time, so that a refusal leaves its caller time to ask elsewhere.
STORE_WAIT_MS = 1_000
STORE_WAIT_SHARE = 0.5
# A request waits at most this long for the confirmation of an overdue configuration.
CONFIRMATION_WAIT_MS = 600
# A configuration is overdue 1.5 s after its last confirmation. The users allow 3 s from
# the acknowledgement of a change to its effect, so this much later it may be too old.
CONFIGURATION_GRACE_MS = 1_000
# Share of the caller's time limit that is spent waiting for the store.
DEADLINE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Front end to request handler: answer a request by a deadline."""

    call: Call
    deadline_ms: int
    reply_to: asyncio.Future


@dataclass(frozen=True, slots=True)
class ResendAll:
    """Election to request handler: a term began, send the planner all that is known."""


class RequestHandlerTask:
    """Decides on requests, and makes the calls to the store that they need."""

    def __init__(
        self,
        store: Store,
        inbox: Mailbox,
        planner: Mailbox,
        node: str,
        sockets: PeerSockets,
        configuration: Mailbox,
        clock: Clock,
        rng: random.Random,
        journal: Journal,
        jobs_limit_bytes: int = Limits().jobs_bytes,
    ):
        self.store = store
        self.inbox = inbox
        self.planner = planner
        self.configuration = configuration
        self.node = node
        self.sockets = sockets
        self.clock = clock
        self.rng = rng
        self.journal = journal
        self.handler = RequestHandler(jobs_limit_bytes)
        self.agents: dict[str, AgentAddress] = {}
        self.entries: dict[str, str] = {}
        self.store_reachable = False
        self.store_found = asyncio.Event()
        self.jobs_fresh_until_ms = 0
        self.configuration_fresh_until_ms = 0
        self.configuration_confirmed = asyncio.Event()
        self.relay_retry_ms = 0
        self.last_failure_ms: dict[str, int] = {}
        self.calls: set[asyncio.Task] = set()
        self.store_calls = StoreCalls(
            store,
            self.handler,
            self.is_replica_fresh,
            partial(self.set_store_reachable, False),
            clock,
            rng,
            journal,
        )

    def is_ready(self) -> bool:
        """Whether requests can be answered."""
        return self.handler.configuration is not None

    async def ask(self, call: Call, limit_ms: int) -> Outcome:
        """Return the answer to a request; called by the front end's tasks."""
        reply_to = asyncio.get_running_loop().create_future()
        deadline_ms = self.clock.now_ms() + int(limit_ms * DEADLINE_SHARE)
        self.inbox.put_nowait(RequestReceived(call, deadline_ms, reply_to))
        return await reply_to

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.take(await self.inbox.get())

    def take(self, message) -> None:
        """Handle one message."""
        handler = self.handler
        match message:
            case RequestReceived():
                task = asyncio.ensure_future(self._answer(message))
                self.calls.add(task)
                task.add_done_callback(self.calls.discard)
            case JobAccepted(job):
                handler.add_job(job)
            case RecordChanged(job, record):
                handler.set_record(job, record)
            case JobCancelled(job):
                handler.cancelled.add(job)
            case QueueTermsStored(job, terms):
                handler.job_terms[job] = terms
            case JobRemoved(job):
                handler.remove_job(job)
            case JobsListed(jobs):
                for job in handler.jobs.keys() - jobs:
                    handler.remove_job(job)
            case Configured(configuration):
                if handler.configure(configuration):
                    self.journal.write(
                        'configuration_applied',
                        {'version': configuration.version},
                    )
            case AgentAddressChanged(node, agent_address):
                self.agents[node] = agent_address
            case EntryAddressChanged(node, address):
                self.entries[node] = address
            case StoreReachability(store_reachable):
                self.set_store_reachable(store_reachable)
            case ReplicaConfirmed(fresh_until_ms):
                self.jobs_fresh_until_ms = fresh_until_ms
            case ConfigurationConfirmed(fresh_until_ms):
                self.configuration_fresh_until_ms = fresh_until_ms
                if self.is_configuration_fresh():
                    self.configuration_confirmed.set()
            case ResendAll():
                self._resend_all()

    def _resend_all(self) -> None:
        """Send the planner the events that it ignored before its term began."""
        for node, agent_address in self.agents.items():
            self.planner.put_nowait(AgentAddressChanged(node, agent_address))
        for job, terms in self.handler.job_terms.items():
            self.planner.put_nowait(QueueTermsStored(job, terms))
        for job in self.handler.jobs.values():
            self.planner.put_nowait(JobAccepted(job))
        for job in self.handler.cancelled:
            self.planner.put_nowait(JobCancelled(job))

    async def _answer(self, request: RequestReceived) -> None:
        """Answer one request; after an unexpected error its outcome is unknown."""
        received_ms = self.clock.now_ms()
        outcome: Outcome = Failed()
        try:
            decision: Decision = NotReady()
            if await self.confirm_configuration():
                decision = self.handler.decide(request.call)
            outcome = await self.conclude(request.call, decision, request.deadline_ms)
            self._log(request, outcome, received_ms)
        except Exception as error:
            fields = {'method': request.call.method, 'path': request.call.path}
            write_failure(self.journal, 'request_error', error, fields)
        if not request.reply_to.done():
            request.reply_to.set_result(outcome)

    def is_configuration_fresh(self) -> bool:
        """Whether the configuration is known to be the newest."""
        return self.clock.now_ms() <= self.configuration_fresh_until_ms

    async def confirm_configuration(self) -> bool:
        """
        Return whether requests can be answered by the configuration.

        A process that was paused, or whose watch is overdue, may hold keys and queues
        that were removed meanwhile, and lack new ones. It waits for a confirmation, and
        without one it gives no answer after a while. While the store is unreachable
        the last known version applies.
        """
        if self.is_configuration_fresh() or not self.store_reachable:
            return True
        self.configuration_confirmed.clear()
        self.configuration.put_nowait(ConfirmationWanted())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRMATION_WAIT_MS / 1000):
                await self.configuration_confirmed.wait()
        grace_ends_ms = self.configuration_fresh_until_ms + CONFIGURATION_GRACE_MS
        return self.clock.now_ms() <= grace_ends_ms or not self.store_reachable

    def is_replica_fresh(self) -> bool:
        """Whether the replica has all changes of jobs that the store has made."""
        return self.store_reachable and self.clock.now_ms() <= self.jobs_fresh_until_ms

    async def conclude(
        self,
        call: Call,
        decision: Decision,
        deadline_ms: int,
    ) -> Outcome:
        """
        Return the answer that a decision leads to.

        While this entry's replica may be stale, the state of a job that has not
        ended is read from another entry.
        """
        match decision:
            case StoreJob() | ReadJob() | StoreCancel():
                return await self.call_or_relay(decision, deadline_ms)
            case State(state) if state not in ENDED and not self.is_replica_fresh():
                job = self.handler.jobs[call.path.rpartition('/')[2]]
                found = await self._relay(ReadJob(job.id, job.queue))
                return found if isinstance(found, State) else decision
        return decision

    async def call_or_relay(self, call: StoreCall, deadline_ms: int) -> Outcome:
        """
        Make a call to the store, or relay it to another entry.

        The store may reject calls of this machine and serve the others. While it
        serves neither, a request is refused at once if its caller has time for several
        tries. Otherwise it waits for the end of the outage for half of the time left.
        """
        now_ms = self.clock.now_ms()
        wait_until_ms = 0
        if deadline_ms - now_ms <= STORE_WAIT_MS:
            wait_until_ms = now_ms + int(STORE_WAIT_SHARE * (deadline_ms - now_ms))
        while True:
            outcome: Outcome = NotAccepted(RETRY_AFTER_S)
            if self.store_reachable:
                outcome = await self.call_store(call, deadline_ms)
            if isinstance(outcome, NotAccepted):
                self.set_store_reachable(False)
                outcome = await self._relay(call)
            now_ms = self.clock.now_ms()
            if not isinstance(outcome, NotAccepted) or now_ms >= wait_until_ms:
                return outcome
            await self._wait_for_store(min(wait_until_ms, self.relay_retry_ms))

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Note whether the store answers; requests that wait for it go on if so."""
        self.store_reachable = is_reachable
        if is_reachable:
            self.store_found.set()
        else:
            self.store_found.clear()

    async def _wait_for_store(self, until_ms: int) -> None:
        """Wait until the store can be reached, but no longer than a deadline."""
        wait_s = max(0, until_ms - self.clock.now_ms()) / 1000
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.store_found.wait(), wait_s)

    async def call_store(self, call: StoreCall, deadline_ms: int) -> Outcome:
        """Make the call to the store that decides a request."""
        return await self.store_calls.make(call, deadline_ms)

    async def _relay(self, call: StoreCall) -> Outcome:
        """Relay a call to other entries; one that does not answer may have made it."""
        if self.clock.now_ms() < self.relay_retry_ms:
            return NotAccepted(RETRY_AFTER_S)
        for address in self.list_others()[:RELAYS_LIMIT]:
            found = await self.sockets.request(
                address,
                batch_codec.encode(call),
                RELAY_LIMIT_MS,
            )
            match found.and_then(batch_codec.decode):
                case Ok(NotAccepted()):
                    continue
                case Ok(outcome):
                    return outcome
                case Err(TransportFailure(sent=False)):
                    self.last_failure_ms[address] = self.clock.now_ms()
                case Err():
                    self.last_failure_ms[address] = self.clock.now_ms()
                    if isinstance(call, StoreJob):
                        return Undecided()
        self.relay_retry_ms = self.clock.now_ms() + RELAY_PAUSE_MS
        return NotAccepted(RETRY_AFTER_S)

    def list_others(self) -> list[str]:
        """Return the other entries' addresses, those that failed last at the end."""
        others = [
            address
            for node, address in self.entries.items()
            if node != self.node and address
        ]
        self.rng.shuffle(others)
        return sorted(others, key=lambda address: self.last_failure_ms.get(address, 0))

    def _log(
        self, request: RequestReceived, outcome: Outcome, received_ms: int
    ) -> None:
        """
        Log the outcome of a request.

        Reads of states and counts are left out, except those that were answered by a
        configuration that may be too old.
        """
        call = request.call
        overdue_ms = 0
        if self.configuration_fresh_until_ms:
            overdue_ms = max(0, received_ms - self.configuration_fresh_until_ms)
        is_count = call.method == 'GET' and call.path.endswith('/')
        is_read = isinstance(outcome, State) or (
            is_count and not isinstance(outcome, NotReady)
        )
        if is_read and not overdue_ms:
            return
        configuration = self.handler.configuration
        organisation = configuration and configuration.find_organisation(call.key)
        self.journal.write(
            'request_answered',
            {
                'organisation': organisation.name if organisation else None,
                'took_ms': self.clock.now_ms() - received_ms,
                'limit_ms': request.deadline_ms - received_ms,
                'method': call.method,
                'path': call.path,
                'outcome': type(outcome).__name__,
                'configuration': configuration.version if configuration else None,
                'configuration_overdue_ms': overdue_ms,
            },
        )
