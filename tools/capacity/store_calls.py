"""Part (e): store calls per job, per entry and per configuration change."""

import asyncio
import json

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from tools.capacity import fleet, processes, supervisor
from tools.capacity.report import Report
from yuccarelay import local

ENTRIES = (1, 2, 4, 8)
JOBS = (20, 40, 80, 160)
COMMITS = (2, 4, 6, 8)
IDLE_S = 6
AGENTS = 2
CLASSES = ('repeatable', 'once')


async def count_calls(store: supervisor.Probe) -> dict[str, int]:
    """Return the number of calls to the store by kind."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(store.ready['url'] + '/counts')
    finally:
        client.close()
    return json.loads(response.body)


async def measure_store_calls(report: Report) -> None:
    """Count the calls for entries, jobs and commits."""
    idle = {n: await measure_entries(n, report) for n in ENTRIES}
    for name, unit in (('calls', 'calls/s'), ('bytes', 'bytes/s'), ('cpu_s', 'core')):
        points = [(n, rates[name]) for n, rates in idle.items()]
        report.add_points(f'{name} of entries without work, by entries', points, unit)
    standins = {'role': 'standins', 'targets': AGENTS}
    async with supervisor.run_probes(standins) as (store,):
        order = supervisor.make_entry_order(store.ready['url'])
        async with supervisor.run_probes(order) as (entry,):
            orders = [
                processes.make_agent_order(number, target, entry.ready['address'])
                for number, target in enumerate(store.ready['targets'])
            ]
            async with supervisor.run_probes(*orders):
                manifest = make_manifest()
                await supervisor.wait_status(entry, lambda s: s['incarnation'])
                await supervisor.commit(entry, manifest, 0)
                await supervisor.wait_status(
                    entry,
                    lambda s: supervisor.is_in_force(s, 1, AGENTS),
                )
                for name in CLASSES:
                    await measure_jobs(report, store, entry, name)
                await measure_commits(report, store, entry, manifest)


def make_manifest() -> dict:
    """Return a manifest whose jobs need no accelerators."""
    jobs = {
        name: {
            'service': fleet.SERVICE,
            'repeatable': name == 'repeatable',
            'accelerators': 0,
        }
        for name in CLASSES
    }
    manifest = fleet.make_manifest(AGENTS, 1, 0, jobs=jobs)
    for domain in manifest['fleet']['regions']['north']['domains'].values():
        for rack in domain['racks'].values():
            rack['accelerators'] = 4
    return manifest


async def measure_entries(entries: int, report: Report) -> dict[str, float]:
    """
    Return the rates of this number of idle entries in one region.

    `calls` counts the store calls of all entries. The other rates are those of one
    entry and include the deltas that it exchanges with the others.
    """
    async with supervisor.run_probes({'role': 'standins', 'targets': 0}) as (store,):
        orders = [supervisor.make_entry_order(store.ready['url'])] * entries
        async with supervisor.run_probes(*orders) as probes:
            for probe in probes:
                await supervisor.wait_status(probe, lambda s: s['incarnation'])
            await asyncio.sleep(3)
            before = sum((await count_calls(store)).values())
            rates, *_ = await supervisor.measure(probes, IDLE_S)
            after = await count_calls(store)
    report.progress(f'{entries} entries: {after}')
    return {**rates, 'calls': (sum(after.values()) - before) / IDLE_S}


async def measure_jobs(report, store, entry, name: str) -> None:
    """Count the store transactions of jobs, submitted at once and one at a time."""
    alone, grouped = [], []
    for jobs in JOBS:
        before = await count_calls(store)
        await asyncio.gather(*[run_job(entry, name) for _ in range(jobs)])
        await asyncio.sleep(1.5)
        grouped.append((jobs, subtract_writes(before, await count_calls(store))))
    for jobs in (5, 10, 15, 20):
        before = await count_calls(store)
        for _ in range(jobs):
            await run_job(entry, name)
        await asyncio.sleep(1.5)
        alone.append((jobs, subtract_writes(before, await count_calls(store))))
    report.add_points(f'{name} jobs, one at a time', alone, 'transactions')
    report.add_points(f'{name} jobs, all at once', grouped, 'transactions')


def subtract_writes(before: dict[str, int], after: dict[str, int]) -> int:
    """Return the number of transactions between two counts."""
    return sum(after[kind] - before.get(kind, 0) for kind in after if 'txn' in kind)


async def run_job(entry, name: str) -> None:
    """Submit a job and wait until it ends."""
    caller = processes.make_endpoint(entry, 0)
    document = {'job': name, 'payload': {'run_ms': 1}}
    reply = await local.call(caller, 'POST', '/v1/jobs', document=document)
    path = f'/v1/jobs/{reply["job_id"]}'
    while True:
        status = await local.call(caller, 'GET', path, wait_ms=10_000)
        if status['state'] == 'ended':
            return


async def measure_commits(report, store, entry, manifest: dict) -> None:
    """Count the store calls of several numbers of configuration changes."""
    points = []
    generation = 1
    for commits in COMMITS:
        before = await count_calls(store)
        for _ in range(commits):
            await supervisor.commit(entry, manifest, generation)
            generation += 1
            await supervisor.wait_status(
                entry,
                lambda s, g=generation: supervisor.is_in_force(s, g, AGENTS),
            )
        after = await count_calls(store)
        total = sum(
            after[kind] - before.get(kind, 0)
            for kind in after
            if 'keepalive' not in kind
        )
        points.append((commits, total))
    report.add_points('commits, without keep-alives', points, 'calls')
