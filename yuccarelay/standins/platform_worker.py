"""
Stand-in of a worker of the platform, for tests.

It sends heartbeats to its agent and runs simulated tasks that only take time,
under a lease on its own clock. It refuses orders with an old fencing token, runs
that were stopped, and starts whose lease deadline has passed.
"""

import asyncio
import contextlib
import itertools
import json
import time
from dataclasses import dataclass
from typing import NamedTuple

import tornado.web
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer

HEARTBEAT_S = 0.3
STEP_S = 0.02
LONGEST_HOLD_MS = 10_000


@dataclass
class StandinRun:
    """A running task; the times are on the clock of the worker."""

    task: str
    run: int
    started_ms: int
    ends_ms: int
    specification: str = ''


class StandinEvent(NamedTuple):
    """
    An event of a run, recorded for the checks of tests.

    `how` is `started`, the kind of end, `acknowledged` for a `done` that the caller
    has acknowledged, or `crashed`. `at_s` is on the monotonic clock of this process.
    """

    at_s: float
    task: str
    run: int
    how: str
    specification: str = ''


class PlatformWorkerStandin:
    """A worker that executes the next `unanswered_starts` starts without an answer."""

    def __init__(self, name: str, control: str, run_ms: int = 200):
        self.name = name
        self.control = control
        self.run_ms = run_ms
        self.born_ms = time.time_ns() // 1_000_000
        self.started_ns = time.monotonic_ns()
        self.sequence = 0
        self.state = 'ready'
        self.zone = 'hobart'
        self.fence = 0
        self.lease_ms = 0
        self.unanswered_starts = 0
        self.runs: dict[str, StandinRun] = {}
        self.ended: list[list] = []
        self.closed: dict[str, int] = {}
        self.numbers = itertools.count(1)
        self.starts: list[tuple[str, int]] = []
        self.history: list[StandinEvent] = []
        self.server: HTTPServer | None = None
        self.address = ''

    def now_ms(self) -> int:
        """Return the time on the worker's own clock, which starts at 0."""
        return (time.monotonic_ns() - self.started_ns) // 1_000_000

    def start(self) -> None:
        """Listen on a port that the system chooses."""
        app = tornado.web.Application(
            [('/api/(run-start|run-stop|hold|pace)', OrderHandler, {'worker': self})],
            log_function=lambda _: None,
        )
        self.server = HTTPServer(app)
        self.server.listen(0, address='127.0.0.1')
        port = next(iter(self.server._sockets.values())).getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def run(self) -> None:
        """Run tasks and send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._advance())
            group.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Close the listening socket and the connections."""
        self.server.stop()
        await self.server.close_all_connections()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = self.now_ms()
            for run in list(self.runs.values()):
                if now_ms >= self.lease_ms:
                    self.end(run, 'lapsed')
                elif now_ms >= run.ends_ms:
                    self.end(run, 'done')

    async def _send_heartbeats(self) -> None:
        client = AsyncHTTPClient()
        while True:
            self.sequence += 1
            body = {
                'service': 'desk',
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': 0,
                'capacity': {'cpu': 8_000, 'memMb': 8_000, 'gpu': 8},
                'labels': ['a', 'r1-1'],
                'clockMs': self.now_ms(),
                'born': self.born_ms,
                'sequence': self.sequence,
            }
            # The agent may not have started yet, or may be restarting.
            with contextlib.suppress(OSError, HTTPError):
                await client.fetch(
                    f'http://{self.control}/api/Instances.Heartbeat/{self.name}',
                    method='POST',
                    body=json.dumps(body),
                )
            await asyncio.sleep(HEARTBEAT_S)

    def record_event(self, run: StandinRun, how: str) -> None:
        """Add an event of a run to the history."""
        event = StandinEvent(
            time.monotonic(), run.task, run.run, how, run.specification
        )
        self.history.append(event)

    def crash(self) -> None:
        """Start a new incarnation without the state of the previous one."""
        for run in self.runs.values():
            self.record_event(run, 'crashed')
        self.born_ms = time.time_ns() // 1_000_000
        self.started_ns = time.monotonic_ns()
        self.sequence = self.fence = self.lease_ms = 0
        self.numbers = itertools.count(1)
        self.runs.clear()
        self.ended.clear()
        self.closed.clear()
        # The connections of a process end with it.
        for connection in list(self.server._connections):
            connection.stream.close()

    def acknowledge(self, number: int) -> None:
        """Drop the ended runs up to a number, which the caller has received."""
        for row in self.ended:
            if row[0] <= number and row[3] == 'done':
                self.record_event(StandinRun(row[1], row[2], 0, 0), 'acknowledged')
        self.ended = [row for row in self.ended if row[0] > number]

    def end(self, run: StandinRun, how: str) -> None:
        """End a run and add it to the list of ended runs."""
        self.record_event(run, how)
        del self.runs[run.task]
        self.closed[run.task] = max(run.run, self.closed.get(run.task, 0))
        self.ended.append([next(self.numbers), run.task, run.run, how, ''])

    def accept_fence(self, fence: int) -> bool:
        """Store a fencing token; return false if it is older than the stored one."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True


class OrderHandler(tornado.web.RequestHandler):
    """Serves the start, stop, hold and pace orders."""

    def initialize(self, worker: PlatformWorkerStandin) -> None:
        """Store the worker that tornado passes to each handler."""
        self.worker = worker

    async def post(self, call: str) -> None:
        """Execute one order."""
        worker = self.worker
        body = json.loads(self.request.body)
        expected = self.request.headers.get('X-Yuccarelay-Expected-Instance')
        if expected != worker.name:
            self.set_status(421)
            return
        if not worker.accept_fence(body.get('fencingToken', 0)):
            self.refuse('fence')
            return
        if 'untilMs' in body:
            latest = worker.now_ms() + LONGEST_HOLD_MS
            worker.lease_ms = max(worker.lease_ms, min(body['untilMs'], latest))
        match call:
            case 'run-start':
                self.start(body)
            case 'run-stop':
                self.stop(body)
            case 'hold':
                await self.hold(body)
            case 'pace':
                self.accept()

    def refuse(self, reason: str) -> None:
        """Answer 409 with the reason why nothing was done."""
        self.set_status(409)
        self.finish({'clockMs': self.worker.now_ms(), 'reason': reason})

    def accept(self) -> None:
        """Answer that the order was executed."""
        self.finish({'clockMs': self.worker.now_ms()})

    def start(self, body: dict) -> None:
        """Start a run."""
        worker, task, run = self.worker, body['task'], body['run']
        if run <= worker.closed.get(task, 0):
            self.refuse('old')
            return
        now_ms = worker.now_ms()
        if body['untilMs'] <= now_ms:
            self.refuse('late')
            return
        if task not in worker.runs:
            ends_ms = now_ms + worker.run_ms
            text = body['specification']
            worker.runs[task] = StandinRun(task, run, now_ms, ends_ms, text)
            worker.record_event(worker.runs[task], 'started')
            worker.starts.append((task, run))
        if worker.unanswered_starts:
            worker.unanswered_starts -= 1
            self.request.connection.stream.close()
            return
        self.accept()

    def stop(self, body: dict) -> None:
        """Stop a run, and refuse later starts of it."""
        worker, task = self.worker, body['task']
        found = worker.runs.get(task)
        if found is not None and found.run <= body['run']:
            worker.end(found, 'stopped')
        worker.closed[task] = max(body['run'], worker.closed.get(task, 0))
        self.accept()

    async def hold(self, body: dict) -> None:
        """Drop acknowledged ends, wait for an end, and list running and ended runs."""
        worker = self.worker
        worker.acknowledge(body['lastSeen'])
        steps = body.get('waitMs', 0) / 1000 / STEP_S
        while not worker.ended and steps > 0:
            steps -= 1
            await asyncio.sleep(STEP_S)
        now_ms = worker.now_ms()
        running = [
            [run.task, run.run, '', 100 * (now_ms - run.started_ms) // worker.run_ms]
            for run in worker.runs.values()
        ]
        self.finish(
            {
                'clockMs': now_ms,
                'born': worker.born_ms,
                'running': running,
                'finished': worker.ended,
            },
        )
