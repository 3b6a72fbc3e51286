"""
The whole system in one process, on embedded stand-ins.

The roles communicate over TCP on loopback, as they do in separate processes.
"""

import asyncio
import contextlib
import hashlib
import json
from collections.abc import AsyncIterator
from typing import NamedTuple

from yuccarelay import roles
from yuccarelay.client import Answer, Call, CallError, Entry, send
from yuccarelay.config import (
    AgentSettings,
    EntrySettings,
    LocalSettings,
    StoreSettings,
    TargetSettings,
)
from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus
from yuccarelay.runtime import Role, stop_on_signals

SERVICE = 'reorder-desk'
REGION = 'south'
DOMAINS = ('hobart', 'huon')
WORKERS_PER_RACK = 3
OPERATOR = 'demo-operator'
READY_LIMIT_S = 30
POLL_S = 0.1


class RunningRole(NamedTuple):
    """A role and the task that runs it."""

    role: Role
    task: asyncio.Task


class System(NamedTuple):
    """Running roles; the agents are keyed by worker."""

    entries: list[RunningRole]
    agents: dict[str, RunningRole]
    standins: list[RunningRole]

    def make_endpoint(self, token: str, entry: int = 0) -> Entry:
        """Return the entry's URL with the token of a caller."""
        return Entry(self.entries[entry].role.url, token)


class Location(NamedTuple):
    """Location of a worker."""

    worker: str
    domain: str
    rack: str


def digest_token(token: str) -> str:
    """Return a token's digest as the manifest holds it."""
    return 'sha256:' + hashlib.sha256(token.encode()).hexdigest()


def list_locations(agents: int) -> list[Location]:
    """Return the locations of the workers, in racks of three over two domains."""
    locations = []
    for number in range(agents):
        rack = number // WORKERS_PER_RACK
        domain = DOMAINS[rack % len(DOMAINS)]
        locations.append(
            Location(f'worker-{number + 1}', domain, f'{domain}-r{rack + 1}')
        )
    return locations


def make_fleet(settings: LocalSettings) -> dict[str, object]:
    """Return the `fleet` part of a manifest for the local workers."""
    domains: dict[str, dict] = {}
    for location in list_locations(settings.agents):
        racks = domains.setdefault(location.domain, {'racks': {}})['racks']
        rack = racks.setdefault(
            location.rack,
            {
                'service': SERVICE,
                'workers': 0,
                'accelerators': settings.accelerators,
                'slots': settings.slots,
            },
        )
        rack['workers'] += 1
    return {'regions': {REGION: {'domains': domains}}}


def make_manifest(settings: LocalSettings) -> dict[str, object]:
    """Return a manifest with two organisations; each owns half of each worker."""
    organisations = {}
    for name in ('print-shop', 'bakeries'):
        jobs = {
            'price-change-reprint': {'repeatable': False, 'class': 'urgent'},
            'proof-render': {'repeatable': True, 'class': 'deferrable'},
            'seasonal-batch': {
                'repeatable': True,
                'members': min(3, settings.agents),
                'accelerators': settings.accelerators,
                'adjacency': 'domain',
            },
        }
        organisations[name] = {
            'token_digests': [digest_token(f'demo-{name}')],
            'weight': 1,
            'queue_limit': 500,
            'guarantee': [
                {
                    'count': settings.agents,
                    'workers': 1,
                    'accelerators': settings.accelerators // 2,
                    'within': 'worker',
                    'service': SERVICE,
                    'region': REGION,
                },
            ],
            'jobs': {key: {'service': SERVICE, **job} for key, job in jobs.items()},
        }
    return {
        'version': 1,
        'fleet': make_fleet(settings),
        'operators': {'token_digests': [digest_token(OPERATOR)]},
        'organisations': organisations,
    }


@contextlib.asynccontextmanager
async def start_system(
    settings: LocalSettings,
    env: Environment,
) -> AsyncIterator[System]:
    """Start a store, entries, targets and agents; stop all of them at the end."""
    listen = f'{settings.ip}:0'
    system = System([], {}, [])
    try:
        store = await roles.build_store(
            StoreSettings(listen=listen, log=settings.log),
            env,
        )
        system.standins.append(run_role(store))
        for number in range(settings.entries):
            entry_settings = make_entry_settings(settings, number, store.url)
            entry = await roles.build_entry(entry_settings, env)
            system.entries.append(run_role(entry))
        for location in list_locations(settings.agents):
            target = await roles.build_target(
                TargetSettings(listen=listen, log=settings.log),
                env,
            )
            system.standins.append(run_role(target))
            addresses = tuple(entry.role.address for entry in system.entries)
            agent_settings = make_agent_settings(
                settings, location, addresses, target.url
            )
            agent = await roles.build_agent(agent_settings, env)
            system.agents[location.worker] = run_role(agent)
        yield system
    finally:
        await stop_system(system)


def run_role(role: Role) -> RunningRole:
    """Start a role's task."""
    return RunningRole(role, asyncio.create_task(role.run))


def make_entry_settings(
    settings: LocalSettings,
    number: int,
    store_url: str,
) -> EntrySettings:
    """Return the settings of one entry."""
    return EntrySettings(
        listen=f'{settings.ip}:0',
        http=f'{settings.ip}:0',
        region=REGION,
        domain=DOMAINS[number % len(DOMAINS)],
        store=store_url,
        bootstrap_operator_digests=(digest_token(OPERATOR),),
        drain_s=settings.drain_s,
        log=settings.log,
    )


def make_agent_settings(
    settings: LocalSettings,
    location: Location,
    entries: tuple[str, ...],
    target_url: str,
) -> AgentSettings:
    """Return the settings of the agent of one worker."""
    return AgentSettings(
        worker=location.worker,
        listen=f'{settings.ip}:0',
        entries=entries,
        target=target_url,
        service=SERVICE,
        region=REGION,
        domain=location.domain,
        rack=location.rack,
        accelerators=settings.accelerators,
        slots=settings.slots,
        drain_s=settings.drain_s,
        log=settings.log,
    )


async def stop_system(system: System) -> None:
    """Drain the agents, then the entries, then stop the stand-ins."""
    for group in (list(system.agents.values()), system.entries, system.standins):
        for running in group:
            running.role.stop.set()
        await asyncio.gather(*(running.task for running in group))


async def call(entry: Entry, method: str, path: str, **options: object) -> dict:
    """Send a call and return the decoded reply; raise RuntimeError on an error."""
    result = await send(entry, make_call(method, path, **options))
    if result.is_err():
        raise RuntimeError(f'{method} {path}: {result.err_value.text}')
    return json.loads(result.ok_value.body)


async def try_call(
    entry: Entry,
    method: str,
    path: str,
    **options: object,
) -> Answer | CallError:
    """Send a call and return the reply or the error."""
    result = await send(entry, make_call(method, path, **options))
    return result.ok_value if result.is_ok() else result.err_value


def make_call(
    method: str,
    path: str,
    document: object = None,
    headers: tuple[tuple[str, str], ...] = (),
    wait_ms: int = 0,
) -> Call:
    """Return a call with an optional JSON body."""
    body = None if document is None else json.dumps(document).encode()
    if wait_ms:
        path = f'{path}?wait_ms={wait_ms}'
    return Call(method, path, body, headers, wait_ms)


async def commit(system: System, manifest: dict, replaces: int) -> Answer | CallError:
    """Commit a manifest through the first entry."""
    return await try_call(
        system.make_endpoint(OPERATOR),
        'PUT',
        '/v1/manifest',
        document=manifest,
        headers=(('If-Match', str(replaces)),),
    )


async def wait_in_force(system: System, generation: int) -> None:
    """Wait until every entry and agent has the manifest and a guarantee plan."""
    async with asyncio.timeout(READY_LIMIT_S):
        for number in range(len(system.entries)):
            operator = system.make_endpoint(OPERATOR, number)
            while not _is_in_force(
                await try_call(operator, 'GET', '/v1/status'),
                generation,
                len(system.agents),
            ):
                await asyncio.sleep(POLL_S)


def _is_in_force(reply: Answer | CallError, generation: int, agents: int) -> bool:
    if isinstance(reply, CallError):
        return False
    status = json.loads(reply.body)
    workers = status['workers']
    return (
        status['serving']
        and status['generation'] >= generation
        and len(workers) == agents
        and all(worker['generation'] >= generation for worker in workers)
        and all(worker['plan_epoch'] == status['plan_epoch'] > 0 for worker in workers)
    )


async def wait_registered(system: System) -> None:
    """Wait until the entries are registered and can accept a manifest."""
    async with asyncio.timeout(READY_LIMIT_S):
        for number in range(len(system.entries)):
            operator = system.make_endpoint(OPERATOR, number)
            while True:
                reply = await try_call(operator, 'GET', '/v1/status')
                if isinstance(reply, Answer) and json.loads(reply.body)['incarnation']:
                    break
                await asyncio.sleep(POLL_S)


async def run_system(settings: LocalSettings, env: Environment) -> ExitStatus:
    """Run the system until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    stop_on_signals(stop)
    async with start_system(settings, env) as system:
        await wait_registered(system)
        await commit(system, make_manifest(settings), 0)
        await wait_in_force(system, 1)
        for number, entry in enumerate(system.entries):
            print(f'entry {number + 1}: {entry.role.url}', file=env.stdout)
        print(f'operator token: {OPERATOR}', file=env.stdout)
        for name in ('print-shop', 'bakeries'):
            print(f'caller token: demo-{name}', file=env.stdout)
        env.stdout.flush()
        await stop.wait()
    return ExitStatus.OK
