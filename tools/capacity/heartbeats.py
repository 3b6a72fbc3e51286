"""Part (b): one entry with many lightweight agents, and configuration pushes."""

import asyncio
import time

from tools.capacity import fleet, supervisor
from tools.capacity.report import Report

WORKERS = (250, 500, 1_000, 2_000)
TASKS_PER_WORKER = 13
WINDOW_S = 8
PUSH_LIMIT_S = 60
TEAMS = 20
JOBS_PER_TEAM = 3
POLL_S = 0.1


async def measure_heartbeats(report: Report) -> None:
    """Measure the first announcements, a push and heartbeats at all fleet sizes."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for workers in WORKERS:
        results = await measure_size(workers, report)
        for key, value in results.items():
            points.setdefault(key, []).append((workers, value))
    for (name, unit), measured in points.items():
        report.add_points(name, measured, unit)


async def measure_size(workers: int, report: Report) -> dict[tuple[str, str], float]:
    """Measure one entry with this number of announcers."""
    results: dict[tuple[str, str], float] = {}
    standins = {'role': 'standins', 'targets': 0}
    async with supervisor.run_probes(standins) as (store,):
        order = supervisor.make_entry_order(store.ready['url'])
        async with supervisor.run_probes(order) as (entry,):
            await supervisor.wait_status(entry, lambda status: status['incarnation'])
            empty = await entry.read()
            order = {
                'role': 'announcers',
                'entry': entry.ready['address'],
                'workers': workers,
                'tasks': TASKS_PER_WORKER,
            }
            async with supervisor.run_probes(order) as (announcers,):
                await wait_known(announcers, workers)
                known = await entry.read()
                add_burst(results, 'announcing all', empty, known)
                manifest = fleet.make_manifest(workers, TEAMS, JOBS_PER_TEAM)
                await push(entry, announcers, manifest, 0)
                await push(entry, announcers, manifest, 1, results)
                report.progress(f'{workers} workers, pushes done')
                await asyncio.sleep(3)
                (rates,) = await supervisor.measure([entry], WINDOW_S)
                for name, unit in (
                    ('cpu_s', 'core'),
                    ('messages', 'messages/s'),
                    ('bytes', 'bytes/s'),
                    ('memory_mb', 'MB'),
                ):
                    results[f'heartbeats: entry {name}', unit] = rates[name]
                report.progress(f'{workers} workers, heartbeats done')
    return results


async def wait_known(announcers: supervisor.Probe, workers: int) -> None:
    """Wait until the entry has welcomed every announcer."""
    async with asyncio.timeout(PUSH_LIMIT_S):
        while (await announcers.read())['known'] < workers:
            await asyncio.sleep(POLL_S)


async def push(entry, announcers, manifest, replaces, results=None) -> None:
    """Commit a manifest and wait until every announcer has it and its plan."""
    before = await entry.read()
    started = time.monotonic()
    await supervisor.commit(entry, manifest, replaces)
    async with asyncio.timeout(PUSH_LIMIT_S):
        while True:
            state = await announcers.read()
            if state['generation'] > replaces and state['epoch'] > replaces:
                break
            await asyncio.sleep(POLL_S)
    elapsed_s = time.monotonic() - started
    # The announcements that follow the change count as part of its cost.
    await asyncio.sleep(2)
    if results is not None:
        results['push: until the last worker has it', 's'] = elapsed_s
        add_burst(results, 'push and 2 s after', before, await entry.read())


def add_burst(results: dict, name: str, before: dict, after: dict) -> None:
    """Add the processor time and traffic of the entry between two readings."""
    results[f'{name}: entry cpu', 's'] = after['cpu_s'] - before['cpu_s']
    for unit in ('messages', 'bytes'):
        results[f'{name}: entry {unit}', unit] = sum(
            after.get(f'{way}_{unit}', 0) - before.get(f'{way}_{unit}', 0)
            for way in ('in', 'out')
        )
