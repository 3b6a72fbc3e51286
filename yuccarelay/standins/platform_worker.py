"""
Stand-in of a worker of the platform, for tests.

It sends heartbeats to its agent, runs tasks that only take time, under a lease
on its own clock, and refuses old fences, stopped runs and what does not fit.
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
    """A task that runs."""

    task: str
    run: int
    started_ms: int
    ends_ms: int
    specification: str = ''


class StandinEvent(NamedTuple):
    """
    What happened to a run, for the checks of tests.

    `how` is `started`, an end, `acknowledged` for a `done` that the caller has
    noted, or `crashed`. `at_s` is on the monotonic clock of this process.
    """

    at_s: float
    task: str
    run: int
    how: str
    specification: str = ''


class PlatformWorkerStandin:
    """A worker and its faults: `unanswered_starts` orders are done but not answered."""

    def __init__(self, name: str, control: str, run_ms: int = 200):
        self.name = name
        self.control = control
        self.run_ms = run_ms
        self.born_ms = time.time_ns() // 1_000_000
        self.started_ns = time.monotonic_ns()
        self.sequence = 0
        self.state = 'ready'
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
        """Return the worker's own clock."""
        return (time.monotonic_ns() - self.started_ns) // 1_000_000

    def start(self) -> None:
        """Listen on a port of the system's choice."""
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
                'zone': 'hobart',
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
            # Its agent may not be up yet, or be restarting.
            with contextlib.suppress(OSError, HTTPError):
                await client.fetch(
                    f'http://{self.control}/api/Instances.Heartbeat/{self.name}',
                    method='POST',
                    body=json.dumps(body),
                )
            await asyncio.sleep(HEARTBEAT_S)

    def note(self, run: StandinRun, how: str) -> None:
        """Keep what happened to a run."""
        event = StandinEvent(
            time.monotonic(), run.task, run.run, how, run.specification
        )
        self.history.append(event)

    def crash(self) -> None:
        """Begin a new life that knows nothing of the one before."""
        for run in self.runs.values():
            self.note(run, 'crashed')
        self.born_ms = time.time_ns() // 1_000_000
        self.started_ns = time.monotonic_ns()
        self.sequence = self.fence = self.lease_ms = 0
        self.numbers = itertools.count(1)
        self.runs.clear()
        self.ended.clear()
        self.closed.clear()

    def acknowledge(self, number: int) -> None:
        """Forget the ends up to a number."""
        for row in self.ended:
            if row[0] <= number and row[3] == 'done':
                self.note(StandinRun(row[1], row[2], 0, 0), 'acknowledged')
        self.ended = [row for row in self.ended if row[0] > number]

    def end(self, run: StandinRun, how: str) -> None:
        """End a run and list it."""
        self.note(run, how)
        del self.runs[run.task]
        self.closed[run.task] = max(run.run, self.closed.get(run.task, 0))
        self.ended.append([next(self.numbers), run.task, run.run, how, ''])

    def take_fence(self, fence: int) -> bool:
        """Take a fence; false for an old one."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True


class OrderHandler(tornado.web.RequestHandler):
    """Starts, stops and holds."""

    def initialize(self, worker: PlatformWorkerStandin) -> None:
        """Take the worker."""
        self.worker = worker

    async def post(self, call: str) -> None:
        """Carry out one order."""
        worker = self.worker
        body = json.loads(self.request.body)
        expected = self.request.headers.get('X-Yuccarelay-Expected-Instance')
        if expected != worker.name:
            self.set_status(421)
            return
        if not worker.take_fence(body.get('fencingToken', 0)):
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
        """Answer that nothing was done."""
        self.set_status(409)
        self.finish({'clockMs': self.worker.now_ms(), 'reason': reason})

    def accept(self) -> None:
        """Answer that it is done."""
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
            worker.note(worker.runs[task], 'started')
            worker.starts.append((task, run))
        if worker.unanswered_starts:
            worker.unanswered_starts -= 1
            self.request.connection.stream.close()
            return
        self.accept()

    def stop(self, body: dict) -> None:
        """Stop a run, or refuse its start for good."""
        worker, task = self.worker, body['task']
        found = worker.runs.get(task)
        if found is not None and found.run <= body['run']:
            worker.end(found, 'stopped')
        worker.closed[task] = max(body['run'], worker.closed.get(task, 0))
        self.accept()

    async def hold(self, body: dict) -> None:
        """Forget what was seen, wait for an end, and answer with both lists."""
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
