"""Parts (d) and (g): start-up of each role, and idle processes."""

import asyncio
import time

from tools.capacity import processes, supervisor
from tools.capacity.report import Report

STARTS = 4
IDLE_S = 32
CPU_LIMIT = 0.022
MEMORY_LIMIT_MB = 128


async def measure_startup(report: Report) -> None:
    """Measure the start of each role, one process at a time."""
    standins = {'role': 'standins', 'targets': 1}
    async with supervisor.run_probes(standins) as (store,):
        entry = supervisor.make_entry_order(store.ready['url'])
        target = store.ready['targets'][0]
        agent = processes.make_agent_order(0, target, '127.0.0.1:1')
        for name, order in (('entry', entry), ('agent', agent), ('standins', standins)):
            await measure_starts(report, name, order)
            report.progress(f'{name} started {STARTS} times')


async def measure_starts(report: Report, name: str, order: dict) -> None:
    """Measure the start times, processor time and memory of one role."""
    readings = []
    for _ in range(STARTS):
        started = time.monotonic()
        async with supervisor.run_probes(order) as (probe,):
            ready_s = time.monotonic() - started
            await asyncio.sleep(1)
            readings.append((ready_s, await probe.read()))
    wall = [ready_s for ready_s, _ in readings]
    report.add_value(f'{name}: start to listening, mean', sum(wall) / STARTS, 's')
    report.add_value(f'{name}: start to listening, longest', max(wall), 's')
    cpu = max(reading['cpu_s'] for _, reading in readings)
    report.add_value(f'{name}: processor time of start and 1 s, longest', cpu, 's')
    memory = max(reading['memory_mb'] for _, reading in readings)
    report.add_value(f'{name}: memory 1 s after the start, most', memory, 'MB')


async def measure_idle(report: Report) -> None:
    """Measure an entry and an agent that have nothing to do."""
    standins = {'role': 'standins', 'targets': 1}
    async with supervisor.run_probes(standins) as (store,):
        order = supervisor.make_entry_order(store.ready['url'])
        async with supervisor.run_probes(order) as (entry,):
            target = store.ready['targets'][0]
            order = processes.make_agent_order(0, target, entry.ready['address'])
            async with supervisor.run_probes(order) as (agent,):
                await processes.commit_initial_manifest(entry, 1)
                await asyncio.sleep(2)
                report.progress(f'idle for {IDLE_S} s')
                rates = await supervisor.measure([entry, agent], IDLE_S)
    for name, one in zip(('entry', 'agent'), rates, strict=True):
        report.add_value(f'idle {name}: processor', 100 * one['cpu_s'], '% of a core')
        report.add_value(f'idle {name}: memory', one['memory_mb'], 'MB')
        report.add_value(f'idle {name}: messages', one['messages'], 'messages/s')
        report.add_value(f'idle {name}: bytes', one['bytes'], 'bytes/s')
        over = one['cpu_s'] > CPU_LIMIT or one['memory_mb'] > MEMORY_LIMIT_MB
        report.add_value(f'idle {name}: inside 2.2 % and 128 MB', not over)
