"""Starts the roles as operating system processes and calls them."""

import concurrent.futures
import contextlib
import hashlib
import http.client
import json
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.parse
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
POLL_S = 0.05
READY_LIMIT_S = 20
STOP_LIMIT_S = 30
CALL_LIMIT_S = 70
LOG_TAIL_CHARS = 6_000

REGION = 'south'
SERVICE = 'reorder-desk'
DOMAINS = ('hobart', 'huon')
WORKERS_PER_DOMAIN = 2
ACCELERATORS = 8
SLOTS = 8
OPERATOR = 'test-operator'
ORGANISATIONS = ('print-shop', 'bakeries')
DRAIN_S = 20


class Reply(NamedTuple):
    """A reply of an HTTP server; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def document(self) -> dict:
        """The decoded JSON body."""
        return json.loads(self.body)


def call_http(
    url: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a connection of its own."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=CALL_LIMIT_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, response.read(), found)
    finally:
        connection.close()


def poll_until(find, limit_s: float = READY_LIMIT_S, text: str = ''):
    """Return the first true result of `find`; raise AssertionError after the limit."""
    deadline = time.monotonic() + limit_s
    while True:
        found = find()
        if found:
            return found
        if time.monotonic() >= deadline:
            name = text or getattr(find, '__name__', 'condition')
            raise AssertionError(f'condition not met within {limit_s} s: {name}')
        time.sleep(POLL_S)


class Process:
    """A role that runs in its own process and logs to a file."""

    def __init__(self, folder: pathlib.Path, name: str, role: str, settings: dict):
        self.name = name
        self.role = role
        self.settings = settings
        self.log = folder / f'{name}.log'
        path = folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        with self.log.open('wb') as stream:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'yuccarelay', role, '--settings', str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def read_log(self) -> str:
        """Return the log written so far."""
        return self.log.read_text(errors='replace')

    def find_in_log(self, pattern: str, limit_s: float = READY_LIMIT_S) -> re.Match:
        """Wait until the log matches a pattern; fail if the process ends before."""

        def search():
            found = re.search(pattern, self.read_log())
            if found is None and self.popen.poll() is not None:
                raise AssertionError(
                    f'{self.name} ended unexpectedly:\n{self.read_log()}'
                )
            return found

        return poll_until(search, limit_s, f'{pattern} in the log of {self.name}')

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is suspended, and wait for its end."""
        if self.is_running:
            self.popen.kill()
        self.popen.wait()


class EntryProcess(Process):
    """An entry; callers use `url`, other processes use `address`."""

    def await_start(self) -> None:
        """Wait until the entry listens."""
        found = self.find_in_log(r'event=entry_started address=(\S+) http=(\d+)')
        self.address = found[1]
        self.url = f'http://127.0.0.1:{found[2]}'


class System:
    """A store, two entries, and four workers in two failure domains."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='yuccarelay-test-'))
        self.processes: list[Process] = []
        self.entries: list[EntryProcess] = []
        self.agents: dict[str, Process] = {}
        self.targets: dict[str, str] = {}
        self.commit_reply: Reply | None = None

    def start(self) -> None:
        """Start everything, commit a manifest and wait until it is in force."""
        store = self.start_process('store', 'store', {'listen': '127.0.0.1:0'})
        targets = {
            worker: self.start_process(
                f'target-{worker}',
                'target',
                {'listen': '127.0.0.1:0'},
            )
            for worker in list_workers()
        }
        self.store_url = store.find_in_log(r'event=standin_started .*url=(\S+)')[1]
        entries = [self.launch_entry('entry-1'), self.launch_entry('entry-2')]
        for entry in entries:
            entry.await_start()
        self.entries = entries
        for worker, target in targets.items():
            self.targets[worker] = target.find_in_log(
                r'event=standin_started .*url=(\S+)'
            )[1]
            self.start_agent(worker)
        poll_until(self.is_registered)
        self.commit_reply = self.commit(make_manifest(), 0)
        self.await_in_force(1)

    def start_process(self, name: str, role: str, settings: dict) -> Process:
        """Start a role and register it for `close`."""
        kind = EntryProcess if role == 'entry' else Process
        process = kind(self.folder, name, role, settings)
        self.processes.append(process)
        return process

    def launch_entry(self, name: str) -> EntryProcess:
        """Start an entry without waiting until it listens."""
        settings = {
            'listen': '127.0.0.1:0',
            'http': '127.0.0.1:0',
            'region': REGION,
            'domain': DOMAINS[0],
            'store': self.store_url,
            'bootstrap_operator_digests': [digest_token(OPERATOR)],
            'drain_s': DRAIN_S,
        }
        return self.start_process(name, 'entry', settings)

    def replace_entry(self, number: int, name: str) -> None:
        """Start a new entry that replaces one that has ended."""
        entry = self.launch_entry(name)
        entry.await_start()
        self.entries[number] = entry

    def start_agent(self, worker: str, name: str = '', **changes: object) -> Process:
        """Start the agent of a worker; `changes` override its settings."""
        settings = {
            'worker': worker,
            'listen': '127.0.0.1:0',
            'entries': [entry.address for entry in self.entries],
            'target': self.targets[worker],
            'service': SERVICE,
            'region': REGION,
            'domain': find_domain(worker),
            'rack': f'{find_domain(worker)}-r1',
            'accelerators': ACCELERATORS,
            'slots': SLOTS,
            'drain_s': DRAIN_S,
            **changes,
        }
        agent = self.start_process(name or f'agent-{worker}', 'agent', settings)
        self.agents[worker] = agent
        return agent

    def close(self) -> None:
        """Kill the processes of this system and remove its files."""
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder)

    def print_logs(self) -> None:
        """Print the end of each process's log."""
        for process in self.processes:
            print(f'--- {process.name} pid={process.popen.pid}', file=sys.stderr)
            print(process.read_log()[-LOG_TAIL_CHARS:], file=sys.stderr)

    def call(
        self,
        method: str,
        path: str,
        document: object = None,
        token: str = 'token-print-shop',
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call an entry with a token; a document of type `bytes` is sent unencoded."""
        raw = document is None or isinstance(document, bytes)
        body = document if raw else json.dumps(document).encode()
        merged = {'Authorization': f'Bearer {token}', **(headers or {})}
        return call_http(self.entries[entry].url, method, path, body, merged)

    def commit(self, manifest: dict, replaces: int, entry: int = 0) -> Reply:
        """Commit a manifest that replaces generation `replaces`."""
        headers = {'If-Match': str(replaces)}
        return self.call('PUT', '/v1/manifest', manifest, OPERATOR, entry, headers)

    def find_status(self, entry: int = 0) -> dict:
        """Return the status of an entry, or an empty dict while it is unavailable."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            reply = self.call('GET', '/v1/status', token=OPERATOR, entry=entry)
            return reply.document if reply.status == 200 else {}
        return {}

    def is_registered(self) -> bool:
        """Whether all entries have an incarnation, so that they accept a manifest."""
        numbers = range(len(self.entries))
        return all(self.find_status(number).get('incarnation') for number in numbers)

    def is_in_force(self, generation: int, workers: int) -> bool:
        """Whether all entries report all agents at a generation and the same plan."""
        return all(
            is_in_force(self.find_status(number), generation, workers)
            for number in range(len(self.entries))
        )

    def await_in_force(self, generation: int, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until a generation is in force in all entries and agents."""
        poll_until(
            lambda: self.is_in_force(generation, len(self.agents)),
            limit_s,
            f'generation {generation} in force everywhere',
        )

    def submit(self, job: str, work: dict | None = None, **options: object) -> str:
        """Submit a job and return its id."""
        document = {'job': job, 'payload': work or {}}
        reply = self.call('POST', '/v1/jobs', document, **options)
        if reply.status != 202:
            raise AssertionError(f'submission failed: {reply.status} {reply.body!r}')
        return reply.document['job_id']

    def find_job(self, job_id: str, **options: object) -> dict:
        """Return the status of a job, or the HTTP status as its state on an error."""
        reply = self.call('GET', f'/v1/jobs/{job_id}', **options)
        return reply.document if reply.status == 200 else {'state': reply.status}

    def await_outcome(
        self, job_id: str, limit_s: float = 60, **options: object
    ) -> dict:
        """Wait for the end of a job and return its outcome."""
        deadline = time.monotonic() + limit_s
        while True:
            left_ms = int((deadline - time.monotonic()) * 1_000)
            path = f'/v1/jobs/{job_id}?wait_ms={max(0, min(left_ms, 10_000))}'
            reply = self.call('GET', path, **options)
            if reply.status == 200 and reply.document['outcome'] is not None:
                return reply.document['outcome']
            if left_ms <= 0:
                text = f'{reply.status} {reply.body!r}'
                raise AssertionError(
                    f'job {job_id} did not end within {limit_s} s: {text}'
                )
            time.sleep(POLL_S)

    def await_state(self, job_id: str, state: str, **options: object) -> None:
        """Wait until a job reaches a state."""
        poll_until(
            lambda: self.find_job(job_id, **options)['state'] == state,
            text=f'job {job_id} {state}',
        )

    def find_runs(self) -> dict[str, list[dict]]:
        """Return every start on every target, by job id."""
        runs: dict[str, list[dict]] = {}
        for worker, url in self.targets.items():
            for run in call_http(url, 'GET', '/runs').document['runs']:
                runs.setdefault(run['job_id'], []).append({**run, 'worker': worker})
        return runs

    def set_store_fault(self, **faults: object) -> None:
        """Set faults of the store stand-in."""
        call_http(self.store_url, 'POST', '/fault', json.dumps(faults).encode())

    def set_target_failing(self, worker: str, failing: bool) -> None:
        """Make a target fail all runs, or restore it."""
        body = json.dumps({'fail_all': failing}).encode()
        call_http(self.targets[worker], 'POST', '/mode', body)


class SystemTest(unittest.TestCase):
    """Base class of tests; all tests of a class share one running system."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.system = System()
        cls.addClassCleanup(cls.system.close)
        try:
            cls.system.start()
        except BaseException:
            cls.system.print_logs()
            raise

    def run(self, result=None):
        before = len(result.failures) + len(result.errors)
        super().run(result)
        if len(result.failures) + len(result.errors) > before:
            print(f'--- logs at the end of {self.id()}', file=sys.stderr)
            self.system.print_logs()


def is_in_force(status: dict, generation: int, workers: int) -> bool:
    """Whether an entry reports this generation and the same plan for all workers."""
    return bool(
        status.get('serving')
        and status['generation'] >= generation
        and len(status['workers']) == workers
        and all(worker['generation'] >= generation for worker in status['workers'])
        and all(
            worker['plan_epoch'] == status['plan_epoch'] > 0
            for worker in status['workers']
        )
    )


def run_at_once(function, items: list, threads: int = 32) -> list:
    """Call a function for all items in parallel; return the results in order."""
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        return list(pool.map(function, items))


def digest_token(token: str) -> str:
    """Return the digest of a token in the form that the manifest uses."""
    return 'sha256:' + hashlib.sha256(token.encode()).hexdigest()


def list_workers() -> list[str]:
    """Return the names of the workers."""
    numbers = range(1, WORKERS_PER_DOMAIN + 1)
    return [f'{domain}-{number}' for domain in DOMAINS for number in numbers]


def find_domain(worker: str) -> str:
    """Return the failure domain of a worker."""
    return worker.rpartition('-')[0]


def make_manifest() -> dict:
    """Return a manifest in which each organisation owns half of each worker."""
    jobs = {
        'price-change-reprint': {'repeatable': False, 'class': 'urgent'},
        'proof-render': {'repeatable': True, 'class': 'ordinary'},
        'seasonal-batch': {
            'repeatable': True,
            'members': 3,
            'accelerators': ACCELERATORS,
            'adjacency': 'region',
        },
        'menu-batch': {
            'repeatable': True,
            'members': 2,
            'accelerators': ACCELERATORS,
            'adjacency': 'region',
        },
        'ledger-run': {
            'repeatable': False,
            'members': 2,
            'accelerators': ACCELERATORS // 2,
            'adjacency': 'region',
        },
    }
    cell = {
        'count': len(DOMAINS),
        'workers': WORKERS_PER_DOMAIN,
        'accelerators': ACCELERATORS // 2,
        'within': 'rack',
        'service': SERVICE,
        'region': REGION,
    }
    rack = {
        'service': SERVICE,
        'workers': WORKERS_PER_DOMAIN,
        'accelerators': ACCELERATORS,
        'slots': SLOTS,
    }
    domains = {name: {'racks': {f'{name}-r1': rack}} for name in DOMAINS}
    return {
        'version': 1,
        'fleet': {'regions': {REGION: {'domains': domains}}},
        'operators': {'token_digests': [digest_token(OPERATOR)]},
        'organisations': {
            name: {
                'token_digests': [digest_token(f'token-{name}')],
                'weight': 1,
                'queue_limit': 500,
                'guarantee': [cell],
                'jobs': {key: {'service': SERVICE, **job} for key, job in jobs.items()},
            }
            for name in ORGANISATIONS
        },
    }
