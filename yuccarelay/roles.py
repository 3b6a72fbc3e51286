"""Builds each role from its tasks."""

import asyncio
import os
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from yuccarelay.adapters.eliot_journal import EliotJournal
from yuccarelay.adapters.statsd_metrics import StatsdMetrics
from yuccarelay.config import AgentSettings, EntrySettings, split_address
from yuccarelay.core.agent import AgentCore
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import DrainRequested
from yuccarelay.core.models import EntryRef, WorkerState
from yuccarelay.core.ordering import JobQueue
from yuccarelay.core.request_budget import derive_limits
from yuccarelay.core.timing import TICK_MS
from yuccarelay.environment import Environment, open_log
from yuccarelay.exit_status import ExitStatus
from yuccarelay.runtime import (
    Role,
    naming_address,
    open_listener,
    run_until_signal,
    running,
)
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.state_machine import MachineTask, Routes, TickTask

if TYPE_CHECKING:
    from yuccarelay.config import LocalSettings, StoreSettings, TargetSettings

# The load balancer notices a failed health check within this time.
BALANCER_MS = 5_000
# A job that became ready between two events is placed at the next tick.
ENTRY_TICK_MS = 100


class Standin(NamedTuple):
    """Name, address, log and stop event of a running stand-in."""

    name: str
    url: str
    journal: EliotJournal
    stop: asyncio.Event

    async def wait(self) -> None:
        """Log the address, and wait until the role is asked to stop."""
        self.journal.write('standin_started', {'role': self.name, 'url': self.url})
        await self.stop.wait()
        self.journal.write('standin_stopped', {'role': self.name})
        self.journal.close()


def run_entry(settings: EntrySettings, env: Environment) -> ExitStatus:
    """Run an entry until it is asked to stop."""
    return asyncio.run(run_until_signal(build_entry(settings, env), env))


def run_agent(settings: AgentSettings, env: Environment) -> ExitStatus:
    """Run an agent until it is asked to stop."""
    return asyncio.run(run_until_signal(build_agent(settings, env), env))


def run_store(settings: 'StoreSettings', env: Environment) -> ExitStatus:
    """Run the stand-in of the store until it is asked to stop."""
    return asyncio.run(run_until_signal(build_store(settings, env), env))


def run_target(settings: 'TargetSettings', env: Environment) -> ExitStatus:
    """Run the stand-in of a target until it is asked to stop."""
    return asyncio.run(run_until_signal(build_target(settings, env), env))


def run_local(settings: 'LocalSettings', env: Environment) -> ExitStatus:
    """Run the whole system in one process."""
    from yuccarelay.demo import run_demo
    from yuccarelay.local import run_system

    run = run_demo if settings.demo else run_system
    return asyncio.run(run(settings, env))


async def build_entry(settings: EntrySettings, env: Environment) -> Role:
    """Return an entry that is listening; `run` serves until `stop` is set."""
    from yuccarelay.adapters.etcd import EtcdStore
    from yuccarelay.adapters.nng import NngTransport
    from yuccarelay.adapters.web import FrontEnd
    from yuccarelay.tasks.answers import AnswersTask
    from yuccarelay.tasks.links import LinkManagerTask
    from yuccarelay.tasks.listener import ListenerTask
    from yuccarelay.tasks.store import StoreTask

    journal = EliotJournal(open_log(settings.log, env))
    metrics = make_metrics(settings.statsd)
    rng = random.Random(os.urandom(16))
    transport = NngTransport(env.clock)
    listener = open_listener(transport, settings.listen)
    entry = EntryRef(0, settings.region, listener.address)
    state_machine_box, listener_box, links_box = Mailbox(), Mailbox(), Mailbox()
    store_box, front_box, answers_box = Mailbox(), Mailbox(), Mailbox()
    state_machine = MachineTask(
        core=EntryCore(entry, rng, JobQueue()),
        clock=env.clock,
        inbox=state_machine_box,
        routes=Routes(
            listener=listener_box,
            links=links_box,
            store_task=store_box,
            front=front_box,
            answers=answers_box,
        ),
        journal=journal,
        metrics=metrics,
    )
    front = FrontEnd(
        state_machine_box,
        store_box,
        answers_box,
        front_box,
        metrics,
        settings.bootstrap_operator_digests,
        derive_limits(settings.memory_mb, settings.file_descriptors),
        journal,
    )
    server = front.make_server()
    host, port = split_address(settings.http)
    with naming_address(settings.http):
        server.listen(port, address=host)
    http_port = next(iter(server._sockets.values())).getsockname()[1]
    tasks = [
        state_machine,
        TickTask(state_machine_box, ENTRY_TICK_MS),
        ListenerTask(
            listener, listener_box, state_machine_box, env.clock, journal, metrics
        ),
        LinkManagerTask(
            entry.address,
            links_box,
            state_machine_box,
            env.clock,
            transport,
            journal,
        ),
        AnswersTask(
            entry.address,
            answers_box,
            transport,
            env.clock,
            journal,
            listener=listener_box,
        ),
        StoreTask(
            EtcdStore(settings.store),
            entry,
            env.clock,
            rng,
            store_box,
            state_machine_box,
            journal=journal,
        ),
        front,
        front.guard,
    ]
    stop = asyncio.Event()

    async def run() -> None:
        journal.write('entry_started', {'address': entry.address, 'http': http_port})
        async with running(tasks, journal):
            await stop.wait()
            front.start_draining()
            await asyncio.sleep(BALANCER_MS / 1000)
            deadline_ms = env.clock.now_ms() + settings.drain_s * 1000
            state_machine_box.put_nowait(DrainRequested(deadline_ms))
            await state_machine.exited.wait()
            server.stop()
            await front.drain(deadline_ms)
            await server.close_all_connections()
        journal.write('entry_stopped', {'address': entry.address})
        journal.close()

    url = f'http://{host}:{http_port}'
    return Role(entry.address, url, run(), stop, state_machine)


async def build_agent(settings: AgentSettings, env: Environment) -> Role:
    """Return an agent that is listening; `run` serves until `stop` is set."""
    from yuccarelay.adapters.nng import NngTransport
    from yuccarelay.adapters.target_http import HttpTarget
    from yuccarelay.tasks.links import LinkManagerTask
    from yuccarelay.tasks.listener import ListenerTask
    from yuccarelay.tasks.runner import RunnerTask

    journal = EliotJournal(open_log(settings.log, env))
    metrics = make_metrics(settings.statsd)
    rng = random.Random(os.urandom(16))
    transport = NngTransport(env.clock)
    listener = open_listener(transport, settings.listen)
    state_machine_box, listener_box, links_box = Mailbox(), Mailbox(), Mailbox()
    runner_box = Mailbox()
    state = WorkerState(
        worker_id=settings.worker,
        incarnation=make_incarnation(rng),
        version=0,
        address=listener.address,
        service=settings.service,
        region=settings.region,
        domain=settings.domain,
        rack=settings.rack,
        accelerators=settings.accelerators,
        slots=settings.slots,
    )
    state_machine = MachineTask(
        core=AgentCore(state, settings.entries, rng),
        clock=env.clock,
        inbox=state_machine_box,
        routes=Routes(listener=listener_box, links=links_box, runner=runner_box),
        journal=journal,
        metrics=metrics,
    )
    target = HttpTarget(settings.target, settings.connections)
    tasks = [
        state_machine,
        TickTask(state_machine_box, TICK_MS),
        ListenerTask(
            listener, listener_box, state_machine_box, env.clock, journal, metrics
        ),
        LinkManagerTask(
            state.address,
            links_box,
            state_machine_box,
            env.clock,
            transport,
            journal,
        ),
        RunnerTask(
            target,
            runner_box,
            state_machine_box,
            listener_box,
            env.clock,
            settings.connections,
            settings.answer_memory_mb * 1_000_000,
        ),
    ]
    stop = asyncio.Event()

    async def run() -> None:
        journal.write(
            'agent_started',
            {'worker': state.worker_id, 'address': state.address},
        )
        async with running(tasks, journal):
            await stop.wait()
            deadline_ms = env.clock.now_ms() + settings.drain_s * 1000
            state_machine_box.put_nowait(DrainRequested(deadline_ms))
            await state_machine.exited.wait()
        target.close()
        journal.write('agent_stopped', {'worker': state.worker_id})
        journal.close()

    return Role(state.address, '', run(), stop, state_machine)


async def build_store(settings: 'StoreSettings', env: Environment) -> Role:
    """Return the store stand-in."""
    from yuccarelay.standins.etcd_store import EtcdStoreStandin

    journal = EliotJournal(open_log(settings.log, env))
    host, port = split_address(settings.listen)
    standin = EtcdStoreStandin(env.clock, host, port)
    standin.set_faults(latency_ms=settings.latency_ms)
    with naming_address(settings.listen):
        standin.start()
    stop = asyncio.Event()

    async def run() -> None:
        async with running([standin], journal):
            await Standin('store', standin.url, journal, stop).wait()
        await standin.stop()

    return Role('', standin.url, run(), stop)


async def build_target(settings: 'TargetSettings', env: Environment) -> Role:
    """Return a target stand-in."""
    from yuccarelay.standins.target import TargetStandin

    journal = EliotJournal(open_log(settings.log, env))
    host, port = split_address(settings.listen)
    target = TargetStandin(env.clock, settings.run_ms)
    with naming_address(settings.listen):
        target.listen(host, port)
    url = f'http://{target.address}'
    stop = asyncio.Event()

    async def run() -> None:
        await Standin('target', url, journal, stop).wait()
        await target.close()

    return Role('', url, run(), stop)


def make_metrics(address: str) -> StatsdMetrics:
    """Return the metrics of a role; without an address nothing is sent."""
    return StatsdMetrics(split_address(address) if address else None)


def make_incarnation(rng: random.Random) -> int:
    """
    Return a number above that of every earlier run of an agent, below 2**53.

    Entries accept the state with the highest incarnation, so the number is the
    wall-clock time in milliseconds followed by ten random bits.
    """
    return (time.time_ns() // 1_000_000 << 10) + int(rng.random() * 1024)
