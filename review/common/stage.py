"""
A small deployment on loopback addresses: processes of the project beside stand-ins.

The entries and agents are started with the commands of deploy/system.toml, each on an
address of its own. The store and the workers are stand-ins in processes of their own.
`Stage` records what clients sent and were answered and what workers ran.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMON = ROOT / 'review' / 'common'
METRICS_PORT = 9464
READY_LIMIT_S = 25
HOST = 'h.example'
KEY = 'key-1'
# `common/run` turns these into 0, 1 and 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
SETTINGS = """\
node = "{node}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{port}, {last_port}]
seeds = []
bootstrap = true
countTowardTolerance = false
discovery = "local"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants"]
orders = "call"
app = "{app}"
[zones]
hobart = "south"
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 4000
ackTimeoutMs = 5000
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"""


class NotPossible(Exception):
    """The case cannot be run here."""


def make_configuration(version=1, keys=(KEY,), attempts=4):
    """Return a configuration with one queue, as the operator writes it."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r',
                'host': HOST,
                'prefix': '/q/',
                'service': 'desk',
                'priority': 1,
                'maxAttempts': attempts,
                'slackFactor': 3.0,
                'targetLatencyMs': 3_000,
                'timeoutMs': 3_000,
            }
        ],
        'services': [{'name': 'desk', 'admissionCheck': True}],
        'tenants': [{'name': 't', 'apiKeys': list(keys), 'guaranteed': {'gpu': 8}}],
        'limits': {'maxBodyBytes': 262_144},
    }


class Stage:
    """The deployment; use it in a `with` block, which ends all processes."""

    def __init__(self, case, entries=3, workers=6, kinds=None):
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.entry_names = [f'entry-{n}' for n in range(entries)]
        self.worker_count = workers
        self.kinds = kinds or {}
        self.processes = {}
        self.commands = {}
        self.addresses = {}
        self.lock = threading.Lock()
        self.lines = []
        self.began = time.time()
        self.crashes = []
        self.folder = None

    def __enter__(self):
        for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(name, lambda *_: sys.exit(NOT_RUN))
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotPossible('target/deps is missing: run the build of the deploy file')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        (self.folder / 'operator').mkdir()
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.roles = tomllib.load(file)['roles']
        self.network = self.find_network()
        try:
            self.start_all()
        except BaseException:
            self.end_all()
            raise
        return self

    def __exit__(self, *_):
        self.end_all()

    def find_network(self):
        """Return the first three numbers of loopback addresses whose ports are free."""
        rng = random.SystemRandom()
        for _ in range(50):
            network = f'127.{rng.randint(16, 250)}.{rng.randint(1, 250)}'
            try:
                for last in (1, 101):
                    for port in (METRICS_PORT, 7000, 8521):
                        with socket.socket() as probe:
                            probe.bind((f'{network}.{last}', port))
                return network
            except OSError:
                continue
        raise NotPossible('no free loopback addresses')

    def start_all(self):
        """Start everything and wait until jobs can be handed in and run."""
        self.store_address = f'{self.network}.1:8524'
        self.configure(make_configuration())
        path = self.write_json(
            'store', {'address': self.store_address, 'operator': str(self.folder / 'operator')}
        )
        self.start('store', [sys.executable, str(COMMON / 'store.py'), path])
        self.wait_for(lambda: self.is_listening(self.store_address), 'the store')
        self.worker_log = self.folder / 'workers.jsonl'
        self.worker_log.touch()
        for number in range(self.worker_count):
            self.start_worker(number)
        for number, node in enumerate(self.entry_names):
            ip = f'{self.network}.{11 + number}'
            self.addresses[node] = f'{ip}:8521'
            listen = f'front = "{ip}:8521"\nreadiness = "{ip}:8523"'
            self.start_role('entry', node, ip, 'frontend', listen, '')
        self.wait_for(self.is_ready, 'entries and agents')

    def start_worker(self, number):
        """Start a worker and its agent."""
        ip = f'{self.network}.{101 + number}'
        node, control, app = f'side-{number}', f'{ip}:8526', f'{ip}:8066'
        self.addresses[f'control-{number}'] = control
        path = self.write_json(
            f'worker-{number}',
            {
                'name': f'i-{number}',
                'address': app,
                'control': control,
                'service': 'desk',
                'zone': 'hobart',
                'kind': self.kinds.get(number, 'a'),
                'rack': f'r1-{number // 3 + 1}',
                'capacity': {'cpu': 128_000, 'memMb': 262_144, 'gpu': 8},
                'maxHoldMs': 10_000,
                'stopMs': 200,
                'beatMs': 1_500,
                'log': str(self.worker_log),
            },
        )
        self.start_role('agent', node, ip, 'side', f'control = "{control}"', app)
        self.start(
            f'worker-{number}', [sys.executable, str(COMMON / 'worker.py'), path]
        )

    def start_role(self, role, node, ip, machine_class, listen, app):
        """Start a role of the project with the command of the deploy file."""
        text = SETTINGS.format(
            node=node,
            role=role,
            machine_class=machine_class,
            ip=ip,
            zone='hobart',
            region='south',
            port=7000,
            last_port=7015,
            app=app,
            listen=listen,
            store=self.store_address,
        )
        path = self.folder / f'{node}.toml'
        path.write_text(text)
        command = self.roles[role]['run'].split()
        self.start(node, command, {'YUCCARELAY_BOOT': str(path)})

    def start(self, name, command, variables=None):
        """Start a process, or start it again with what it had."""
        self.commands[name] = (command, variables)
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env['PYTHONPATH'] = f'{ROOT / "target" / "deps"}:{ROOT}'
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env |= variables or {}
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def restart(self, name):
        """Start a process again that has ended."""
        self.start(name, *self.commands[name])

    def kill(self, name):
        """Kill a process and note when."""
        process = self.processes[name]
        process.kill()
        process.wait()
        self.crashes.append((time.time(), name))
        self.record(f'killed {name}')

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)
        self.record(f'sent {signal.Signals(number).name} to {name}')

    def end_all(self):
        """End all processes, keep what they wrote if asked, and remove the folder."""
        for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(name, signal.SIG_IGN)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        kept = os.environ.get('KEEP')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_json(self, name, value):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(value))
        return str(path)

    def configure(self, configuration):
        """Let the operator write a configuration."""
        path = self.folder / 'operator' / 'op:config'
        part = path.with_suffix('.part')
        part.write_text(json.dumps(configuration))
        part.rename(path)
        self.record(f'the operator writes version {configuration["version"]}')

    def is_listening(self, address):
        host, _, port = address.rpartition(':')
        try:
            socket.create_connection((host, int(port)), 0.5).close()
        except OSError:
            return False
        return True

    def is_ready(self):
        """Whether all entries answer, one plans, and all agents are registered."""
        for node in self.entry_names:
            if self.call('GET', '/q/', node, quiet=True)[0] != 200:
                return False
        return bool(self.planner()) and len(self.read_keys('yuccarelay/agent/')) == (
            self.worker_count
        )

    def read_keys(self, prefix):
        """Return the items of the store under a prefix."""
        host, _, port = self.store_address.rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        try:
            connection.request('GET', f'/api/kv-range?prefix={prefix}')
            return json.loads(connection.getresponse().read())['items']
        except (OSError, http.client.HTTPException, ValueError):
            return []
        finally:
            connection.close()

    def planner(self):
        """Return the node that holds the planner's key, or nothing."""
        import base64

        found = self.read_keys('yuccarelay/planner')
        return base64.b64decode(found[0]['value']).decode().split()[0] if found else ''

    def wait_for(self, find, text, limit_s=READY_LIMIT_S, optional=False):
        """Wait until a function returns something true, and return that."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            found = find()
            if found:
                return found
            time.sleep(0.02)
        if optional:
            return None
        raise NotPossible(f'not within {limit_s} s: {text}')

    def call(self, method, path, node, body=None, limit_s=3.0, quiet=False, key=KEY):
        """Make a client's call; the status is 0 without an answer."""
        host, _, port = self.addresses[node].rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=limit_s)
        headers = {
            'Host': HOST,
            'Authorization': f'Token {key}',
            'Content-Type': 'application/json',
            'X-Yuccarelay-Deadline-Ms': str(int(limit_s * 1000)),
        }
        status, answer = 0, None
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read() or b'null')
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        if not quiet:
            self.record(f'client: {method} {path} at {node}: {status} {json.dumps(answer)}')
        return status, answer

    def state(self, job, node=None, quiet=True):
        """Return the state of a job that an entry shows, or its status as text."""
        status, answer = self.call('GET', f'/q/{job}', node or self.entry_names[0], quiet=quiet)
        return answer['state'] if status == 200 else f'status {status}'

    def submit(self, job, steps, specification, node=None):
        """Hand a job in at one entry after the other until it is accepted."""
        body = {'specification': specification, 'steps': steps}
        for name in [node or self.entry_names[0], *self.entry_names]:
            if self.call('POST', f'/q/{job}', name, body)[0] == 200:
                return
        raise NotPossible(f'{job} was not accepted')

    def events(self, *kinds, job=''):
        """Return the workers' events so far, those of a job if one is given."""
        found = []
        # A line that is being written has no end yet.
        whole, _, _ = self.worker_log.read_text().rpartition('\n')
        for line in whole.splitlines():
            event = json.loads(line)
            if event['what'] in kinds and event.get('task', '').startswith(job):
                found.append(event)
        return found

    def runs(self, job=''):
        """Return the runs as (task, run, worker, begin, end, how); crashes end runs."""
        found = []
        ends = {(e['task'], e['run'], e['worker'], e['born']): e for e in self.events('end')}
        now = time.time()
        for event in self.events('start', job=job):
            key = (event['task'], event['run'], event['worker'], event['born'])
            end, how = now, 'runs'
            if key in ends:
                end, how = ends[key]['t'], ends[key]['how']
            number = event['worker'].removeprefix('i-')
            for at, name in self.crashes:
                if name == f'worker-{number}' and event['t'] <= at <= end:
                    end, how = at, 'gone'
            found.append((event['task'], event['run'], event['worker'], event['t'], end, how))
        return found

    def noted(self, job=''):
        """
        Return the runs, as (task, run), whose ends were taken note of.

        Those are left out between whose end and its note the worker's lease lapsed.
        """
        lapses = {(e['task'], e['run']): e['lapses'] for e in self.events('end', job=job)}
        return {
            (event['task'], event['run'])
            for event in self.events('noted', job=job)
            if lapses.get((event['task'], event['run'])) == event['lapses']
        }

    def record(self, text, at=None):
        """Add a line to the record."""
        with self.lock:
            self.lines.append(((at or time.time()), text))

    def finish(self, verdict):
        """Write the record with all runs, and return the verdict."""
        for task, run, worker, begin, end, how in self.runs():
            self.record(f'worker {worker} starts {task} run {run}', begin)
            if how != 'runs':
                self.record(f'worker {worker} ends {task} run {run}: {how}', end)
        lines = [f'{at - self.began:8.3f} s  {text}' for at, text in sorted(self.lines)]
        (self.case / 'record.txt').write_text('\n'.join(lines) + '\n')
        return verdict


def find_overlaps(runs, least_s=0.05):
    """Return the pairs of runs of one task that were at work at the same time."""
    found = []
    for number, one in enumerate(runs):
        for other in runs[number + 1 :]:
            if one[0] == other[0]:
                together = min(one[4], other[4]) - max(one[3], other[3])
                if together > least_s:
                    found.append((one, other, together))
    return found


def main(case, play, **options):
    """Play a case and exit with its verdict."""
    try:
        with Stage(case, **options) as stage:
            verdict, text = play(stage)
            stage.record(text)
            code = stage.finish(verdict)
    except NotPossible as reason:
        print(f'could not run: {reason}')
        sys.exit(NOT_RUN)
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    print(text)
    sys.exit(code)
