"""
The whole system in one process, on embedded stand-ins.

Every part runs as it does in its own process: the parts talk over TCP on loopback.
"""

import asyncio
import contextlib
import hashlib
import json
import signal
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
from yuccarelay.context import Environment
from yuccarelay.roles import Role
from yuccarelay.status import ExitStatus

SERVICE = 'reorder-desk'
REGION = 'south'
DOMAINS = ('hobart', 'huon')
WORKERS_PER_RACK = 3
OPERATOR = 'demo-operator'
READY_LIMIT_S = 30
POLL_S = 0.1


class System(NamedTuple):
    """Running roles, and the tasks that run them."""

    entries: list[Role]
    agents: dict[str, Role]
    others: list[Role]
    tasks: dict[str, asyncio.Task]

    def make_caller(self, token: str, entry: int = 0) -> Entry:
        """Return where a caller with this token sends its requests."""
        return Entry(self.entries[entry].url, token)


class Place(NamedTuple):
    """Where a worker stands."""

    worker: str
    domain: str
    rack: str


def digest_token(token: str) -> str:
    """Return a token's digest as the manifest holds it."""
    return 'sha256:' + hashlib.sha256(token.encode()).hexdigest()


def list_places(agents: int) -> list[Place]:
    """Return the places of so many workers, in racks of three over two domains."""
    places = []
    for number in range(agents):
        rack = number // WORKERS_PER_RACK
        domain = DOMAINS[rack % len(DOMAINS)]
        places.append(Place(f'worker-{number + 1}', domain, f'{domain}-r{rack + 1}'))
    return places


def make_fleet(settings: LocalSettings) -> dict[str, object]:
    """Return the `fleet` part of a manifest for the local workers."""
    domains: dict[str, dict] = {}
    for place in list_places(settings.agents):
        racks = domains.setdefault(place.domain, {'racks': {}})['racks']
        rack = racks.setdefault(
            place.rack,
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
    store = await roles.build_store(StoreSettings(listen=listen, log=settings.log), env)
    others = [store]
    tasks = {'store': asyncio.create_task(store.run)}
    entries = []
    for number in range(settings.entries):
        entry = await roles.build_entry(
            EntrySettings(
                listen=listen,
                http=listen,
                region=REGION,
                domain=DOMAINS[number % len(DOMAINS)],
                store=(store.url,),
                bootstrap_operator_digests=(digest_token(OPERATOR),),
                drain_s=settings.drain_s,
                log=settings.log,
            ),
            env,
        )
        entries.append(entry)
        tasks[f'entry-{number + 1}'] = asyncio.create_task(entry.run)
    agents: dict[str, Role] = {}
    for place in list_places(settings.agents):
        target = await roles.build_target(
            TargetSettings(listen=listen, log=settings.log), env
        )
        others.append(target)
        tasks[f'target-{place.worker}'] = asyncio.create_task(target.run)
        agents[place.worker] = await roles.build_agent(
            AgentSettings(
                worker=place.worker,
                listen=listen,
                entries=tuple(entry.address for entry in entries),
                target=target.url,
                service=SERVICE,
                region=REGION,
                domain=place.domain,
                rack=place.rack,
                accelerators=settings.accelerators,
                slots=settings.slots,
                drain_s=settings.drain_s,
                log=settings.log,
            ),
            env,
        )
        tasks[place.worker] = asyncio.create_task(agents[place.worker].run)
    system = System(entries, agents, others, tasks)
    try:
        yield system
    finally:
        await stop_system(system)


async def stop_system(system: System) -> None:
    """Drain the agents, then the entries, then end the stand-ins."""
    for group in (list(system.agents.values()), system.entries, system.others):
        for role in group:
            role.stop.set()
        names = [
            name
            for name, task in system.tasks.items()
            if not task.done() and _is_in(name, group, system)
        ]
        if names:
            await asyncio.wait([system.tasks[name] for name in names])
    for task in system.tasks.values():
        task.result()


def _is_in(name: str, group: list[Role], system: System) -> bool:
    if name in system.agents:
        return system.agents[name] in group
    if name.startswith('entry-'):
        return group is system.entries
    return group is system.others


async def call(entry: Entry, method: str, path: str, **options: object) -> dict:
    """Send a call and return the decoded reply; an error stops the program."""
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
    """Return a call with a JSON body, or with none."""
    body = None if document is None else json.dumps(document).encode()
    if wait_ms:
        path = f'{path}?wait_ms={wait_ms}'
    return Call(method, path, body, headers, wait_ms)


async def commit(system: System, manifest: dict, replaces: int) -> Answer | CallError:
    """Commit a manifest through the first entry."""
    return await try_call(
        system.make_caller(OPERATOR),
        'PUT',
        '/v1/manifest',
        document=manifest,
        headers=(('If-Match', str(replaces)),),
    )


async def wait_in_force(system: System, generation: int) -> None:
    """Wait until every entry and agent has the manifest and a guarantee plan."""
    async with asyncio.timeout(READY_LIMIT_S):
        for number in range(len(system.entries)):
            operator = system.make_caller(OPERATOR, number)
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
    """Wait until the entries can take a manifest."""
    async with asyncio.timeout(READY_LIMIT_S):
        for number in range(len(system.entries)):
            operator = system.make_caller(OPERATOR, number)
            while True:
                reply = await try_call(operator, 'GET', '/v1/status')
                if isinstance(reply, Answer) and json.loads(reply.body)['incarnation']:
                    break
                await asyncio.sleep(POLL_S)


async def run_system(settings: LocalSettings, env: Environment) -> ExitStatus:
    """Run the system until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(name, stop.set)
    async with start_system(settings, env) as system:
        await wait_registered(system)
        await commit(system, make_manifest(settings), 0)
        await wait_in_force(system, 1)
        for number, entry in enumerate(system.entries):
            print(f'entry {number + 1}: {entry.url}', file=env.stdout)
        print(f'operator token: {OPERATOR}', file=env.stdout)
        for name in ('print-shop', 'bakeries'):
            print(f'caller token: demo-{name}', file=env.stdout)
        env.stdout.flush()
        await stop.wait()
    return ExitStatus.OK
