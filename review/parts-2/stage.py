"""
Plays a small deployment on loopback addresses: the project's own roles as separate
processes, started with the commands of the deploy file, and stand-ins of the store,
the workers and the clients in this process.

Every machine has a loopback address of its own, so that each agent and entry can serve
its metrics at the port that the deploy file names.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp
from worker import Worker

from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.standins.platform_store import PlatformStoreStandin

ROOT = pathlib.Path(__file__).parent.parent.parent
READY_LIMIT_S = 25
# `run.sh` turns 10 into 1: Python itself ends with 1 after an error.
HELD, BROKEN, NOT_RUN = 0, 10, 2
HOST, PREFIX, KEY = 'nony24.example', '/lohu930/', 'key-1'
SERVICE = 'huvo11a'
ZONES = ('kano-a', 'gombe-a', 'funtua-b')
CAPACITY = {'cpu': 128_000, 'memMb': 524_288, 'gpu': 8}
TASK = {'cpu': 52_000, 'memMb': 270_000, 'gpu': 4}
CONTRACTS = ['base', 'drain', 'config', 'recover', 'sched', 'tenants', 'platform']
BOUNDS = {
    'stableWindowMs': 4_000,
    'ackTimeoutMs': 5_000,
    'drainMs': 3_000,
    'graceS': 6,
    'configApplyMs': 3_000,
    'recoveryS': 12,
    'maxHoldMs': 6_000,
    'stopTimeoutMs': 900,
    'gangTimeoutMs': 3_000,
    'cancel_ms': 3_000,
    'visible_ms': 3_000,
    'leaseMs': 3_000,
}


class CouldNotRunError(Exception):
    """The case could not be played."""


class Stage:
    """A store, entries, and workers with their agents."""

    def __init__(
        self, folder, *, workers, entries, bounds=None, attempts=2, limits=None
    ):
        self.record_file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.origin_s = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.network = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        self.worker_count, self.entry_count = workers, entries
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = {'memoryMb': 300, 'fileDescriptors': 4_100, **(limits or {})}
        self.attempts = attempts
        self.roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self.store = PlatformStoreStandin(MonotonicClock())
        self.workers: dict[str, Worker] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.fronts: dict[str, str] = {}
        self.files: dict[str, tuple[str, pathlib.Path]] = {}
        self.work: dict[str, tuple[int, dict]] = {}
        self.orders: list[tuple[float, object]] = []
        self.hosts = 0
        self.is_stopping = False

    # Record

    def now_s(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.origin_s

    def note(self, what, **fields):
        """Write a line to the record."""
        pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.record_file.write(f'{self.now_s():8.3f} {what} {pairs}\n')
        self.record_file.flush()

    def note_order(self, order):
        """Write what a worker did to the record."""
        self.orders.append((self.now_s(), order))
        fields = {'task': order.task, 'run': order.run, 'worker': order.worker}
        self.note(f'run {order.what}', **fields, **order.fields)

    def times_of(self, job, what):
        """Return when something happened to a job's runs: time, task, run, worker."""
        return [
            (at_s, order.task, order.run, order.worker)
            for at_s, order in self.orders
            if order.what == what and order.task.startswith(job)
        ]

    # Machines

    def new_host(self):
        """Return the address of another machine."""
        self.hosts += 1
        return f'{self.network}.{self.hosts}'

    def describe(self, task):
        """Return how long a task takes and what it needs."""
        return self.work[task.split('.')[0]]

    async def start(self):
        """Start everything, and wait until the whole path serves."""
        self.store.start()
        self.write_configuration(1)
        self.session = aiohttp.ClientSession()
        for number in range(self.worker_count):
            await self.add_worker(number)
        for number in range(self.entry_count):
            await self.add_entry(number)
        await self.poll(self.is_ready, READY_LIMIT_S, 'the system is ready')
        self.note('ready')

    def write_configuration(self, version, **more):
        """Write a configuration, as the operator does."""
        route = {
            'name': 'lohu930',
            'host': HOST,
            'prefix': PREFIX,
            'service': SERVICE,
            'priority': 1,
            'maxAttempts': self.attempts,
            'slackFactor': 3.0,
            'targetLatencyMs': 1_500,
        }
        text = {
            'version': version,
            'routes': [route],
            'services': [{'name': SERVICE, 'admissionCheck': True}],
            'tenants': [{'name': 't1', 'apiKeys': [KEY], 'guaranteed': {'gpu': 0}}],
            'limits': {'maxBodyBytes': 262_144},
            **more,
        }
        self.store.write('op/config', json.dumps(text).encode())

    async def add_worker(self, number):
        """Start a worker and its agent."""
        host, node = self.new_host(), f'side-{number}'
        worker = Worker(
            f'i-{number:08x}',
            host,
            8080,
            f'{host}:8526',
            self.describe,
            self.note_order,
            labels=['a', f'r{number % 3}-{number // 9}'],
            capacity=CAPACITY,
            zone=ZONES[number % 3],
            service=SERVICE,
            longest_hold_ms=self.bounds['maxHoldMs'],
            beat_ms=1_500,
        )
        self.workers[node] = worker
        worker.start()
        listen = {'control': f'{host}:8526'}
        self.write_settings(node, 'agent', host, number, listen, f'{host}:8080')
        await self.start_process(node)

    async def add_entry(self, number):
        """Start an entry."""
        host, node = self.new_host(), f'frontend-{number}'
        self.fronts[node] = f'{host}:8521'
        listen = {'front': f'{host}:8521', 'readiness': f'{host}:8523'}
        self.write_settings(node, 'entry', host, number, listen, '')
        await self.start_process(node)

    def write_settings(self, node, role, host, number, listen, app):
        """Write the settings of a process, in the platform's format."""
        zone = ZONES[number % 3]
        region = {'gombe-a': 'north-east'}.get(zone, 'north-west')
        lines = [
            f'node = "{node}"',
            f'role = "{role}"',
            f'ip = "{host}"',
            f'zone = "{zone}"',
            f'region = "{region}"',
            'internalPorts = [7000,7015]',
            'heartbeatIntervalMs = 1500',
            'orders = "call"',
            f'contracts = {json.dumps(CONTRACTS)}',
            *([f'app = "{app}"'] if app else []),
            '[listen]',
            *(f'{name} = "{address}"' for name, address in listen.items()),
            '[limits]',
            *(f'{name} = {value}' for name, value in self.limits.items()),
            '[bounds]',
            *(f'{name} = {value}' for name, value in self.bounds.items()),
            '[platform]',
            f'address = "{self.store.address}"',
        ]
        path = self.folder / f'{node}.toml'
        path.write_text('\n'.join(lines) + '\n')
        self.files[node] = (role, path)

    async def start_process(self, node):
        """Start the role of a machine with the command of the deploy file."""
        if self.is_stopping:
            return
        role, path = self.files[node]
        command = self.roles[role]['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        env = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'YUCCARELAY_BOOT': str(path),
        }
        with open(self.folder / f'{node}.log', 'ab') as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes[node] = process
        if self.is_stopping:
            process.kill()
            await process.wait()

    def signal(self, node, name):
        """Send a signal to a process that this case has started."""
        self.note('signal', node=node, signal=name)
        self.processes[node].send_signal(getattr(signal, name))

    def log(self, node):
        """Return what a process has written."""
        return (self.folder / f'{node}.log').read_text(errors='replace')

    async def stop(self):
        """End all processes and stand-ins that this case has started."""
        self.is_stopping = True
        for process in list(self.processes.values()):
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for worker in self.workers.values():
            if worker.is_up:
                await worker.crash()
        with contextlib.suppress(AttributeError):
            await self.session.close()
        await self.store.stop()
        self.record_file.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print('logs:', self.folder)

    # Clients

    async def call(self, method, path, node, body=None, limit_ms=3_000):
        """
        Call an entry as a client; return the status and the body.

        The status is 0 without an answer in the time that the client has.
        """
        url = f'http://{self.fronts[node]}{path}'
        headers = {
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            'X-Yuccarelay-Deadline-Ms': str(limit_ms),
        }
        sent_s = self.now_s()
        status, answer = 0, None
        try:
            async with self.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit_ms / 1000),
            ) as response:
                answer = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        if not (method == 'GET' and path == PREFIX):
            text = json.dumps(answer).replace(' ', '')
            self.note(
                f'client {method}',
                path=path,
                node=node,
                sent=f'{sent_s:.3f}',
                status=status or 'none',
                answer=text,
            )
        return status, answer

    async def submit(
        self, job, node, *, run_ms, need=None, count=1, limit_ms=3_000, **step
    ):
        """Submit a job of one step; return the status."""
        need = need or TASK
        self.work[job] = (run_ms, need)
        steps = [{'count': count, **need, 'estimatedMs': run_ms, **step}]
        body = {'specification': f'job {job}', 'steps': steps}
        status, _ = await self.call('POST', PREFIX + job, node, body, limit_ms)
        return status

    async def state(self, job, node):
        """Return the state of a job, or the status if there is none."""
        status, body = await self.call('GET', PREFIX + job, node)
        return body['state'] if status == 200 else status

    async def is_ready(self):
        """Whether all entries answer, one plans, and all agents are known."""
        for node, process in self.processes.items():
            if process.returncode is not None:
                raise CouldNotRunError(f'{node} ended: {self.log(node)[-800:]}')
        for node in self.fronts:
            status, _ = await self.call('GET', PREFIX, node)
            if status != 200:
                return False
        agents = self.store.list_under('yuccarelay/agent/')
        return bool(self.planner()) and len(agents) == len(self.workers)

    def planner(self):
        """Return the entry that last wrote the planner's key, or nothing."""
        found = self.store.list_under('yuccarelay/planner')
        return found[0].value.decode().split()[0] if found else ''

    async def poll(self, find, limit_s, text):
        """Wait for something; without it the case could not run."""
        until_s = self.now_s() + limit_s
        while self.now_s() < until_s:
            if found := await find():
                return found
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f'not within {limit_s} s: {text}')


def free_ports_exist(network):
    """Whether the ports that machines use are free on a loopback network."""
    for port in (7000, 8080, 8521, 8523, 8526, 9464):
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.1', port))
            except OSError:
                return False
    return True


def play(folder, make_stage, case):
    """Play a case and exit with 10 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        stage = make_stage(folder)
        while not free_ports_exist(stage.network):
            stage.network = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        stage.note('case', trouble=trouble)
        # A signal ends the case like an error, so that its processes are ended.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, task.cancel)
        try:
            async with asyncio.timeout(110):
                await stage.start()
                broken = await case(stage, trouble)
            stage.note('result', broken=broken or 'no')
            print(f'broken: {broken}' if broken else 'held')
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:
            stage.note('result', could_not_run=repr(error))
            print(f'could not run: {error!r}')
            return NOT_RUN
        finally:
            await stage.stop()

    sys.exit(asyncio.run(run()))
