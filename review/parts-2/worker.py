"""
Stand-in of a worker, after the section "Running tasks" of the users' PROTOCOL.md.

Tasks only take time. Leases, fencing tokens, the order of runs and the lists of ends
follow the page. `crash` and `start` stand for a process that ends and comes back: its
port is closed meanwhile, and the new incarnation knows nothing of before.
"""

import asyncio
import contextlib
import itertools
import json
import time
from dataclasses import dataclass, field

import tornado.web
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

TICK_S = 0.01
ENDS_LISTED = 500
LONGEST_WAIT_MS = 2_000
STOP_S = 0.1


@dataclass
class Run:
    """A run of a task; times are on the worker's clock."""

    task: str
    number: int
    need: dict
    started_ms: int
    ends_ms: int


@dataclass
class Order:
    """A line of the record: what a worker was told, or what became of a run."""

    task: str
    run: int
    what: str
    worker: str = ''
    fields: dict = field(default_factory=dict)


class Worker:
    """
    A worker beside an agent.

    `describe(task)` returns how long a task takes in milliseconds and what it needs.
    `record` is called with each `Order`.
    """

    def __init__(
        self,
        name,
        host,
        port,
        control,
        describe,
        record,
        *,
        labels,
        capacity,
        zone,
        service,
        longest_hold_ms,
        beat_ms,
    ):
        self.name, self.host, self.port = name, host, port
        self.control, self.describe, self.record = control, describe, record
        self.labels, self.capacity, self.zone = labels, capacity, zone
        self.service, self.longest_hold_ms = service, longest_hold_ms
        self.beat_ms = beat_ms
        self.server = None
        self.tasks = []
        # While it is cut off, nothing reaches it and nothing that it sends arrives.
        self.is_cut = False
        self.reset()

    def reset(self):
        """Forget everything, as a new incarnation."""
        self.born = time.time_ns() // 1_000_000
        self.origin_ns = time.monotonic_ns()
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.ended: list[list] = []
        self.numbers = itertools.count(1)

    @property
    def is_up(self):
        """Whether the process is there."""
        return self.server is not None

    def now_ms(self):
        """Return the time on this incarnation's clock."""
        return (time.monotonic_ns() - self.origin_ns) // 1_000_000

    def start(self):
        """Listen, and send heartbeats from now on."""
        self.reset()
        handlers = [('/api/(run-start|run-stop|hold|pace)', Orders, {'worker': self})]
        app = tornado.web.Application(handlers, log_function=lambda _: None)
        self.server = HTTPServer(app)
        self.server.add_sockets(bind_sockets(self.port, self.host))
        self.tasks = [
            asyncio.ensure_future(self._advance()),
            asyncio.ensure_future(self._beat()),
        ]

    async def crash(self):
        """End the process: what runs is gone, and the port is closed."""
        for run in self.runs.values():
            self.record(Order(run.task, run.number, 'crashed', self.name))
        server, self.server = self.server, None
        for task in self.tasks:
            task.cancel()
        self.runs.clear()
        server.stop()
        await server.close_all_connections()

    async def _advance(self):
        while True:
            await asyncio.sleep(TICK_S)
            now_ms = self.now_ms()
            for run in list(self.runs.values()):
                if now_ms >= self.lease_ms:
                    self.end(run, 'lapsed')
                elif now_ms >= run.ends_ms:
                    self.end(run, 'done')

    async def _beat(self):
        client = AsyncHTTPClient()
        while True:
            self.sequence += 1
            body = {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'capacity': self.capacity,
                'labels': self.labels,
                'clockMs': self.now_ms(),
                'born': self.born,
                'sequence': self.sequence,
            }
            request = HTTPRequest(
                f'http://{self.control}/api/Instances.Heartbeat/{self.name}',
                method='POST',
                headers={'Content-Type': 'application/json'},
                body=json.dumps(body),
                request_timeout=1.0,
            )
            with contextlib.suppress(Exception):
                if not self.is_cut:
                    await client.fetch(request)
            await asyncio.sleep(self.beat_ms / 1000)

    def end(self, run, how):
        """End a run and list it."""
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.ended.append([next(self.numbers), run.task, run.number, how, ''])
        self.record(Order(run.task, run.number, how, self.name))

    def hold_until(self, body):
        """Extend the lease; it never becomes shorter, nor longer than the maximum."""
        if 'untilMs' in body:
            latest = self.now_ms() + self.longest_hold_ms
            self.lease_ms = max(self.lease_ms, min(body['untilMs'], latest))

    def fits(self, need):
        """Whether there is room for a task."""
        return all(
            sum(run.need[name] for run in self.runs.values()) + need[name] <= limit
            for name, limit in self.capacity.items()
        )


class Orders(tornado.web.RequestHandler):
    """The calls of the agent."""

    def initialize(self, worker):
        """Take the worker."""
        self.worker = worker

    async def post(self, call):
        """Carry out one call."""
        worker = self.worker
        if worker.is_cut:
            await asyncio.Event().wait()
        if self.request.headers.get('X-Yuccarelay-Expected-Instance') != worker.name:
            self.set_status(421)
            return
        body = json.loads(self.request.body)
        if body.get('fencingToken', 0) < worker.fence:
            self.refuse('fence')
            return
        worker.fence = body.get('fencingToken', 0)
        match call:
            case 'run-start':
                self.start(body)
            case 'run-stop':
                await self.stop(body)
            case 'hold':
                worker.hold_until(body)
                await self.hold(body)
            case 'pace':
                self.finish({'clockMs': worker.now_ms()})

    def refuse(self, reason):
        """Answer 409."""
        self.set_status(409)
        self.finish({'clockMs': self.worker.now_ms(), 'reason': reason})

    def start(self, body):
        """Start a run."""
        worker, task, number = self.worker, body['task'], body['run']
        known = worker.runs.get(task)
        if body['untilMs'] <= worker.now_ms():
            self.refuse('late')
            return
        worker.hold_until(body)
        if known is not None and known.number == number:
            self.finish({'clockMs': worker.now_ms()})
            return
        if known is not None or number <= worker.closed.get(task, 0):
            self.refuse('old')
            return
        duration_ms, need = worker.describe(task)
        if not worker.fits(need):
            self.refuse('room')
            return
        now_ms = worker.now_ms()
        worker.runs[task] = Run(task, number, need, now_ms, now_ms + duration_ms)
        fields = {'token': body['fencingToken'], 'leaseMs': worker.lease_ms - now_ms}
        worker.record(Order(task, number, 'started', worker.name, fields))
        self.finish({'clockMs': now_ms})

    async def stop(self, body):
        """Stop a run, or refuse its start from now on."""
        worker, task = self.worker, body['task']
        worker.closed[task] = max(body['run'], worker.closed.get(task, 0))
        self.finish({'clockMs': worker.now_ms()})
        await asyncio.sleep(STOP_S)
        run = worker.runs.get(task)
        if run is not None and run.number <= body['run']:
            worker.end(run, 'stopped')

    async def hold(self, body):
        """Forget the ends that were taken note of, and list runs and ends."""
        worker, server = self.worker, self.worker.server
        worker.ended = [row for row in worker.ended if row[0] > body['lastSeen']]
        until_ms = worker.now_ms() + min(body.get('waitMs', 0), LONGEST_WAIT_MS)
        while not worker.ended and worker.now_ms() < until_ms:
            await asyncio.sleep(TICK_S)
            if worker.server is not server:
                return
        if worker.is_cut:
            await asyncio.Event().wait()
        now_ms = worker.now_ms()
        running = [
            [
                run.task,
                run.number,
                '',
                100 * (now_ms - run.started_ms) // max(1, run.ends_ms - run.started_ms),
                run.need['cpu'],
            ]
            for run in worker.runs.values()
        ]
        self.finish(
            {
                'clockMs': now_ms,
                'born': worker.born,
                'running': running,
                'finished': worker.ended[:ENDS_LISTED],
            }
        )
