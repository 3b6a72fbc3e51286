"""
Builds the agent on the users' platform.

It is a module of its own because agents are the most numerous processes, and should
not load what only entries need.
"""

import asyncio
import os
import random

from yuccarelay.adapters import batch_records
from yuccarelay.adapters.nng import NngTransport
from yuccarelay.core.batch.agent import WorkerGuard
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.protocol import AgentAddress
from yuccarelay.environment import Environment
from yuccarelay.host_process import BootClock, open_journal, report_settings
from yuccarelay.platform.control import serve_worker
from yuccarelay.platform.settings import HostSettings
from yuccarelay.platform.store import PlatformStore
from yuccarelay.platform.worker import HttpWorker
from yuccarelay.ports.activity import ActivityMeter
from yuccarelay.runtime import Role, call_on_hangup, open_listener, running
from yuccarelay.tasks.batch.agent import WorkerAgentTask
from yuccarelay.tasks.batch.register import RegisterTask


async def build_host_agent(
    settings: HostSettings,
    path: str,
    env: Environment,
    meter: ActivityMeter,
) -> Role:
    """Return the agent of a worker, which runs on the same instance."""
    journal, request_guard, server_tasks = open_journal(settings, env, meter)
    clock = BootClock()
    rng = random.Random(os.urandom(16))
    store = PlatformStore(settings.store)
    worker = HttpWorker(settings.worker)
    address = f'{settings.ip}:{settings.internal_port}'
    listener = open_listener(NngTransport(clock), address)
    guard = WorkerGuard(
        settings.node,
        rng.getrandbits(48),
        make_leases(settings.longest_hold_ms),
        clock.now_ms(),
    )
    agent_task = WorkerAgentTask(guard, worker, listener, clock, journal)
    agent_address = batch_records.encode_agent(AgentAddress(address, guard.incarnation))
    register = RegisterTask(
        batch_records.AGENTS + settings.node, agent_address, store, journal
    )
    tasks = [agent_task, register, *server_tasks]
    server = serve_worker(
        settings.control,
        agent_task.receive_heartbeat,
        agent_task.deregister,
        journal,
        request_guard,
    )
    stop = asyncio.Event()

    async def run() -> None:
        journal.write('agent_started', {'node': settings.node, 'address': address})
        call_on_hangup(lambda: report_settings(settings, path, journal))
        async with running(tasks, journal):
            await stop.wait()
            server.stop()
        await worker.close()
        await store.close()
        journal.write('agent_stopped', {'node': settings.node})
        journal.close()

    return Role(address, '', run(), stop)
