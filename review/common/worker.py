"""
Stand-in of a worker of the platform, as a process of its own.

It follows PROTOCOL.md: heartbeats, run-start, run-stop, pace and hold, leases on its own
clock, fencing tokens, and runs that take the time which the specification names as
`ms=NUMBER`. A specification may also say `fail=NUMBER`: the first so many runs fail.
Each start and end is appended to a log, one JSON object a line.
"""

import asyncio
import json
import os
import re
import sys
import time
from urllib.parse import urlsplit

import tornado.web
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer

STEP_S = 0.01
ENDS_LIMIT = 500


class Worker:
    """State of one incarnation."""

    def __init__(self, settings):
        self.name = settings['name']
        self.address = settings['address']
        self.control = settings['control']
        self.service = settings['service']
        self.zone = settings['zone']
        self.labels = [settings['kind'], settings['rack']]
        self.capacity = settings['capacity']
        self.longest_hold_ms = settings['maxHoldMs']
        self.stop_ms = settings['stopMs']
        self.beat_s = settings['beatMs'] / 1000
        self.log = os.open(settings['log'], os.O_WRONLY | os.O_APPEND)
        self.born = time.time_ns() // 1_000_000
        self.began = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.lapses = 0
        self.has_lapsed = True
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.end_number = 0
        self.sequence = 0
        self.beat_failures = 0

    def now_ms(self):
        """Return the worker's steady clock, which starts at 0."""
        return int((time.monotonic() - self.began) * 1000)

    def write(self, what, **fields):
        """Append an event to the log."""
        event = {'t': time.time(), 'what': what, 'worker': self.name, 'born': self.born}
        os.write(self.log, (json.dumps(event | fields) + '\n').encode())

    def end(self, run, how):
        """End a run and list its end."""
        del self.runs[run['task']]
        key = run['task']
        self.closed[key] = max(run['run'], self.closed.get(key, 0))
        self.end_number += 1
        self.ends.append([self.end_number, run['task'], run['run'], how, ''])
        self.write('end', task=run['task'], run=run['run'], how=how, lapses=self.lapses)

    async def advance(self):
        """End the runs that are done, stopped or without a lease."""
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = self.now_ms()
            if now_ms >= self.until_ms and not self.has_lapsed:
                self.lapses += 1
            self.has_lapsed = now_ms >= self.until_ms
            for run in list(self.runs.values()):
                if now_ms >= self.until_ms:
                    self.end(run, 'lapsed')
                elif run['stop_at'] is not None and now_ms >= run['stop_at']:
                    self.end(run, 'stopped')
                elif now_ms >= run['ends_at']:
                    self.end(run, run['how'])

    async def beat(self):
        """Send heartbeats, the first one at once."""
        client = AsyncHTTPClient()
        while True:
            self.sequence += 1
            body = {
                'service': self.service,
                'address': self.address,
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
            pause_s = self.beat_s
            try:
                await client.fetch(
                    f'http://{self.control}/api/Instances.Heartbeat/{self.name}',
                    method='POST',
                    headers={'Content-Type': 'application/json'},
                    body=json.dumps(body),
                    request_timeout=1,
                )
            except Exception:
                self.beat_failures += 1
                pause_s = 0.5
            await asyncio.sleep(pause_s)


class Handler(tornado.web.RequestHandler):
    """The calls that an agent makes."""

    def initialize(self, worker):
        self.worker = worker

    def answer(self, status, **fields):
        self.set_status(status)
        self.finish({'clockMs': self.worker.now_ms(), 'born': self.worker.born} | fields)

    async def post(self, call):
        worker = self.worker
        if self.request.headers.get('X-Yuccarelay-Expected-Instance') != worker.name:
            self.set_status(421)
            return
        body = json.loads(self.request.body)
        fence = body.get('fencingToken', 0)
        if fence < worker.fence:
            self.answer(409, reason='fence')
            return
        worker.fence = fence
        if 'untilMs' in body:
            latest = worker.now_ms() + worker.longest_hold_ms
            worker.until_ms = max(worker.until_ms, min(body['untilMs'], latest))
        match call:
            case 'run-start':
                self.start(body)
            case 'run-stop':
                self.stop(body)
            case 'pace':
                self.answer(200)
            case 'hold':
                await self.hold(body)

    def start(self, body):
        worker, task, number = self.worker, body['task'], body['run']
        found = worker.runs.get(task)
        if found is not None and found['run'] == number:
            self.answer(200)
            return
        if found is not None or number <= worker.closed.get(task, 0):
            self.answer(409, reason='old')
            return
        now_ms = worker.now_ms()
        if body['untilMs'] <= now_ms:
            self.answer(409, reason='late')
            return
        specification = body['specification']
        duration_ms = int(re.search(r'ms=(\d+)', specification)[1])
        worker.runs[task] = {
            'task': task,
            'run': number,
            'began_at': now_ms,
            'ends_at': now_ms + duration_ms,
            'how': 'done',
            'stop_at': None,
        }
        worker.write('start', task=task, run=number, specification=specification)
        self.answer(200)

    def stop(self, body):
        worker, task, number = self.worker, body['task'], body['run']
        found = worker.runs.get(task)
        if found is not None and found['run'] <= number and found['stop_at'] is None:
            found['stop_at'] = worker.now_ms() + worker.stop_ms
        worker.closed[task] = max(number, worker.closed.get(task, 0))
        self.answer(200)

    async def hold(self, body):
        worker = self.worker
        seen = body.get('lastSeen', 0)
        for row in worker.ends:
            if row[0] <= seen:
                worker.write(
                    'noted', task=row[1], run=row[2], how=row[3], lapses=worker.lapses
                )
        worker.ends = [row for row in worker.ends if row[0] > seen]
        deadline = time.monotonic() + min(body.get('waitMs', 0), 2_000) / 1000
        while not worker.ends and time.monotonic() < deadline:
            await asyncio.sleep(STEP_S)
        now_ms = worker.now_ms()
        running = []
        for run in worker.runs.values():
            whole_ms = run['ends_at'] - run['began_at']
            percent = 100 * (now_ms - run['began_at']) // max(1, whole_ms)
            running.append([run['task'], run['run'], '', min(99, percent), 1000])
        self.answer(200, running=running, finished=worker.ends[:ENDS_LIMIT])


async def main():
    with open(sys.argv[1]) as file:
        worker = Worker(json.load(file))
    app = tornado.web.Application(
        [(r'/api/(run-start|run-stop|hold|pace)', Handler, {'worker': worker})],
        log_function=lambda _: None,
    )
    address = urlsplit(f'//{worker.address}')
    HTTPServer(app).listen(address.port, address=address.hostname)
    worker.write('born')
    await asyncio.gather(worker.advance(), worker.beat())


asyncio.run(main())
