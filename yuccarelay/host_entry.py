"""Builds the entry on the users' platform."""

import asyncio
import os
import random
from functools import partial

from yuccarelay.adapters.nng import NngTransport
from yuccarelay.core.batch.configuration_feed import EntryLink
from yuccarelay.core.batch.evacuated_domains import make_times
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.planner import Planner
from yuccarelay.core.request_budget import RequestTerms
from yuccarelay.environment import Environment
from yuccarelay.host_process import BootClock, open_journal, report_settings
from yuccarelay.platform import front, jobs
from yuccarelay.platform.advice import HttpAdvisor
from yuccarelay.platform.settings import HostSettings
from yuccarelay.platform.store import PlatformStore
from yuccarelay.ports.activity import ActivityMeter
from yuccarelay.runtime import Role, call_on_hangup, open_listener, running
from yuccarelay.tasks.batch.advice import AdviceTask
from yuccarelay.tasks.batch.configuration import ConfigurationTask
from yuccarelay.tasks.batch.election import ElectionTask
from yuccarelay.tasks.batch.evacuation import EvacuationTask
from yuccarelay.tasks.batch.peers import PeerSockets
from yuccarelay.tasks.batch.planner import OrderLinksTask, PlannerTask
from yuccarelay.tasks.batch.records import RecordsTask
from yuccarelay.tasks.batch.register import EntryRegisterTask
from yuccarelay.tasks.batch.relay import RelayTask
from yuccarelay.tasks.batch.replica import ReplicaTask
from yuccarelay.tasks.batch.request_handler import RequestHandlerTask
from yuccarelay.tasks.mailbox import Mailbox

# Share of the platform's grace period for which the process continues to serve after
# SIGTERM, so that the load balancer and open connections can move to other entries.
DRAIN_SHARE = 0.6
LAST_READS_S = 0.2


def find_terms(handler: RequestHandlerTask) -> RequestTerms:
    """Return the limits of a request under the configuration in force."""
    configuration = handler.handler.configuration
    if configuration is None:
        return RequestTerms()
    return RequestTerms(body_limit_bytes=configuration.body_limit_bytes)


class OpenCalls:
    """Counts the requests of callers that are not answered yet."""

    def __init__(self, handler: RequestHandlerTask):
        self.handler = handler
        self.count = 0

    async def ask(self, call, limit_ms: int):
        """Forward a request to the handler and count it until it is answered."""
        self.count += 1
        try:
            return await self.handler.ask(call, limit_ms)
        finally:
            self.count -= 1


async def build_host_entry(
    settings: HostSettings,
    path: str,
    env: Environment,
    meter: ActivityMeter,
) -> Role:
    """Return an entry: it serves callers, and plans jobs if it is elected."""
    journal, guard, server_tasks = open_journal(settings, env, meter)
    clock = BootClock()
    rng = random.Random(os.urandom(16))
    store = PlatformStore(settings.store)
    handler_box, planner_box, election_box = Mailbox(), Mailbox(), Mailbox()
    records_box, links_box, advice_box = Mailbox(), Mailbox(), Mailbox()
    configuration_box = Mailbox()
    evacuation_box = Mailbox() if settings.evacuation_ms > 0 else None
    advisor = HttpAdvisor(settings.advisor)
    transport = NngTransport(clock)
    address = f'{settings.ip}:{settings.internal_port}'
    listener = open_listener(transport, address)
    link = EntryLink(
        settings.node, address, settings.region, link_mbps=settings.link_mbps
    )
    handler = RequestHandlerTask(
        store,
        handler_box,
        planner_box,
        settings.node,
        PeerSockets(transport, clock),
        configuration_box,
        clock,
        rng,
        journal,
        settings.limits.jobs_bytes,
    )
    guard.terms = partial(find_terms, handler)
    election = ElectionTask(
        settings.node,
        store,
        election_box,
        planner_box,
        records_box,
        handler_box,
        clock,
        rng,
        journal,
        evacuation_box,
    )
    tasks = [
        handler,
        election,
        ReplicaTask(
            settings.node,
            store,
            handler_box,
            planner_box,
            election_box,
            configuration_box,
            clock,
            journal,
        ),
        ConfigurationTask(
            link,
            store,
            jobs.CONFIGURATION_PREFIX,
            jobs.decode_configuration,
            PeerSockets(transport, clock),
            configuration_box,
            handler_box,
            planner_box,
            clock,
            journal,
        ),
        RecordsTask(store, records_box, planner_box, election_box, rng, journal),
        PlannerTask(
            Planner(
                make_leases(settings.longest_hold_ms),
                follows_evacuation=evacuation_box is not None,
                learns_interference=settings.learns_interference,
            ),
            clock,
            planner_box,
            links_box,
            records_box,
            election_box,
            advice_box,
            journal,
        ),
        AdviceTask(advisor, advice_box, planner_box, clock),
        OrderLinksTask(links_box, planner_box, PeerSockets(transport, clock), journal),
        RelayTask(handler, configuration_box, listener, clock, journal),
        EntryRegisterTask(link, store, clock, journal),
        *server_tasks,
    ]
    if evacuation_box is not None:
        tasks.append(
            EvacuationTask(
                store,
                jobs.EVACUATION_PREFIX,
                make_times(settings.evacuation_ms),
                evacuation_box,
                planner_box,
                clock,
                journal,
            )
        )
    stop = asyncio.Event()
    calls = OpenCalls(handler)
    callers = front.serve_callers(settings.front, calls.ask, stop.is_set, guard)
    readiness = front.serve_readiness(
        settings.readiness,
        lambda: handler.is_ready() and not stop.is_set(),
        guard,
    )

    async def run() -> None:
        journal.write('entry_started', {'node': settings.node})
        call_on_hangup(lambda: report_settings(settings, path, journal))
        async with running(tasks, journal):
            await stop.wait()
            journal.write('entry_draining', {'node': settings.node})
            await election.resign()
            await asyncio.sleep(settings.grace_s * DRAIN_SHARE)
            callers.stop()
            readiness.stop()
            # Requests that arrived while the process was paused are not read yet.
            await asyncio.sleep(LAST_READS_S)
            while calls.count or guard.count_unanswered():
                await asyncio.sleep(0.02)
        await store.close()
        await advisor.close()
        journal.write('entry_stopped', {'node': settings.node})
        journal.close()

    return Role(settings.front, '', run(), stop)
