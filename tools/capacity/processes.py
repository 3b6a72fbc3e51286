"""Part (a): one entry with 8 to 64 agents, each in a separate process."""

import asyncio

from tools.capacity import fleet, supervisor
from tools.capacity.report import Report
from yuccarelay import local
from yuccarelay.client import Entry

AGENTS = (8, 16, 32, 64)
TASKS = (0, 4, 13)
WINDOW_S = 6
SETTLE_S = 4
TEAMS = 2
LONG_RUN = {'run_ms': 3_600_000}
QUANTITIES = (
    ('cpu_s', 'core'),
    ('messages', 'messages/s'),
    ('bytes', 'bytes/s'),
    ('memory_mb', 'MB'),
)


async def measure_processes(report: Report) -> None:
    """Measure the entry, agents and gang leader at all sizes and loads."""
    results: dict[tuple[int, str], dict[str, dict[str, float]]] = {}
    for agents in AGENTS:
        for load, rates in (await measure_size(agents, report)).items():
            results[agents, load] = rates
    for load in ('gang', *map(str, TASKS)):
        for role in ('entry', 'agent'):
            for name, unit in QUANTITIES:
                points = [(n, results[n, load][role][name]) for n in AGENTS]
                report.add_points(
                    f'{role} {name}, load {load}, by agents', points, unit
                )
    for role in ('entry', 'agent'):
        for name, unit in QUANTITIES:
            points = [(t, results[AGENTS[-1], str(t)][role][name]) for t in TASKS]
            report.add_points(f'{role} {name} at 64, by tasks', points, unit)
    for name, unit in QUANTITIES:
        points = [(n, results[n, 'gang']['leader'][name]) for n in AGENTS]
        report.add_points(f'leader {name}, by members of its gang', points, unit)


async def measure_size(agents: int, report: Report) -> dict[str, dict]:
    """Measure one entry with this number of agents under each load."""
    report.progress(f'starting {agents} agents')
    orders = {'role': 'standins', 'targets': agents}
    results: dict[str, dict] = {}
    async with supervisor.run_probes(orders) as (standins,):
        entry_order = supervisor.make_entry_order(standins.ready['url'])
        async with supervisor.run_probes(entry_order) as (entry,):
            orders = [
                make_agent_order(number, target, entry.ready['address'])
                for number, target in enumerate(standins.ready['targets'])
            ]
            async with supervisor.run_probes(*orders) as probes:
                await commit_initial_manifest(entry, agents)
                for load in (0, 'gang', *TASKS[1:]):
                    results[str(load)] = await measure_load(
                        entry,
                        probes,
                        load,
                        results,
                    )
                    report.progress(f'{agents} agents, load {load}')
    return results


def make_agent_order(number: int, target: str, entry: str) -> dict:
    """Return the order that makes a probe run an agent."""
    domain, rack, _ = fleet.find_location(number)
    return {
        'role': 'agent',
        'settings': {
            'worker': f'worker-{number:05d}',
            'listen': supervisor.LISTEN,
            'entries': [entry],
            'target': target,
            'service': fleet.SERVICE,
            'region': 'north',
            'domain': domain,
            'rack': rack,
            'accelerators': 4,
            'slots': fleet.SLOTS,
            'log': '/dev/null',
        },
    }


async def commit_initial_manifest(entry: supervisor.Probe, agents: int) -> None:
    """Commit a manifest with one small job and one gang over all workers."""
    small = {'service': fleet.SERVICE, 'repeatable': True, 'accelerators': 0}
    gang = {
        'service': fleet.SERVICE,
        'repeatable': True,
        'members': agents,
        'accelerators': 3,
        'adjacency': 'region',
    }
    manifest = fleet.make_manifest(
        agents, TEAMS, 0, jobs={'small': small, 'gang': gang}
    )
    for domain in manifest['fleet']['regions']['north']['domains'].values():
        for rack in domain['racks'].values():
            rack['accelerators'] = 4
    await supervisor.wait_status(entry, lambda status: status['incarnation'])
    await supervisor.commit(entry, manifest, 0)
    await supervisor.wait_status(
        entry,
        lambda status: supervisor.is_in_force(status, 1, agents),
    )


async def measure_load(entry, probes, load, results) -> dict[str, dict[str, float]]:
    """Submit jobs up to a load, wait until it is steady, and measure."""
    running = 0
    if load == 'gang':
        job_id = await submit(entry, 0, 'gang')
        running = 1
    elif load:
        done = max((int(key) for key in results if key.isdecimal()), default=0)
        for first in range(done * len(probes), load * len(probes), 32):
            last = min(first + 32, load * len(probes))
            await asyncio.gather(
                *[submit(entry, n % TEAMS, 'small') for n in range(first, last)],
            )
        running = load * len(probes)
    await supervisor.wait_status(
        entry,
        lambda status: status['jobs'].get('running', 0) >= running,
    )
    await asyncio.sleep(SETTLE_S)
    entry_rates, *agent_rates = await supervisor.measure([entry, *probes], WINDOW_S)
    if load == 'gang':
        caller = make_endpoint(entry, 0)
        await local.call(caller, 'DELETE', f'/v1/jobs/{job_id}')
    leader = max(agent_rates, key=lambda rates: rates['messages'])
    return {
        'entry': entry_rates,
        'agent': average([r for r in agent_rates if r is not leader]),
        'leader': leader,
    }


def make_endpoint(entry: supervisor.Probe, team: int) -> Entry:
    """Return a client that calls an entry with the token of a team."""
    return Entry(entry.ready['url'], f'team-{team:03d}')


async def submit(entry: supervisor.Probe, team: int, job: str) -> str:
    """Submit a job that runs for the whole measurement."""
    document = {'job': job, 'payload': LONG_RUN}
    reply = await local.call(
        make_endpoint(entry, team),
        'POST',
        '/v1/jobs',
        document=document,
    )
    return reply['job_id']


def average(rates: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each quantity."""
    return {
        name: sum(one.get(name, 0) for one in rates) / len(rates)
        for name in ('cpu_s', 'memory_mb', 'messages', 'bytes')
    }
