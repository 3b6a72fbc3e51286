"""
Stand-in for the platform's task service, in memory.

    PUT  /tasks/<id>?job_name=&member=&accelerators=&lease_ms=   start, body: payload
    POST /leases {"tasks": [...], "lease_ms": n}                 renew leases
    GET  /tasks/<id>/answer                                      wait for the end
    POST /tasks/<id>/stop?checkpoint=                            stop
    GET  /runs                                                   all starts, for tests
    POST /mode {"fail_all": true}                                fail all new tasks

The payload may be JSON that describes simulated work: `run_ms`, `answer_bytes`,
`fail` (a reason), `echo` (the answer) and `straggle` (a factor of `run_ms`).
"""

import asyncio
import urllib.parse
from typing import TypedDict

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from yuccarelay.adapters.target_http import REASON_HEADER, STATE_HEADER
from yuccarelay.core.models import parse_job_id
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.target import TaskState

RUNNING = 'running'
FAIL_ALL_REASON = 'the target fails everything'


class Work(msgspec.Struct):
    """Simulated work that the payload of a task describes."""

    run_ms: int | None = None
    answer_bytes: int = 0
    fail: str = ''
    echo: str = ''
    straggle: float = 1.0


class Run(TypedDict):
    """One start; times are on the stand-in's clock, `end_ms` is 0 while it runs."""

    task_id: str
    job_id: str
    job_name: str
    member: int
    accelerators: int
    state: str
    checkpoint: bool
    start_ms: int
    end_ms: int


class Leases(msgspec.Struct):
    """Body of a lease renewal."""

    tasks: list[str]
    lease_ms: int


class Mode(msgspec.Struct):
    """Body of a change of mode."""

    fail_all: bool


class TaskStandin:
    """A started task: its record, its lease and its answer."""

    def __init__(self, run: Run, work: Work, lease_deadline_ms: int):
        self.run = run
        self.work = work
        self.lease_deadline_ms = lease_deadline_ms
        self.stopped = asyncio.Event()
        self.ended = asyncio.Event()
        self.reason = ''
        self.answer = b''

    async def execute(self, clock: Clock) -> None:
        """Run until the work ends, the task is stopped or its lease expires."""
        stop = asyncio.create_task(self.stopped.wait())
        try:
            state = await self._await_end(clock, stop)
        finally:
            stop.cancel()
        if state is TaskState.COMPLETED:
            self.answer = self.work.echo.encode() or b'a' * self.work.answer_bytes
        elif state is TaskState.FAILED:
            self.reason = self.work.fail
        self.run['state'] = state.value
        self.run['end_ms'] = clock.now_ms()
        self.ended.set()

    async def _await_end(self, clock: Clock, stop: asyncio.Task) -> TaskState:
        """Wait for the end of the task and return its final state."""
        run_ms = int(self.work.run_ms * self.work.straggle)
        end_ms = self.run['start_ms'] + run_ms
        while not stop.done():
            now_ms = clock.now_ms()
            if now_ms >= end_ms:
                return TaskState.FAILED if self.work.fail else TaskState.COMPLETED
            if now_ms >= self.lease_deadline_ms:
                return TaskState.LAPSED
            wait_ms = min(end_ms, self.lease_deadline_ms) - now_ms
            await asyncio.wait([stop], timeout=wait_ms / 1000)
        has_checkpoint = self.run['checkpoint']
        return TaskState.CHECKPOINTED if has_checkpoint else TaskState.STOPPED


class TargetStandin:
    """Tasks of the stand-in and its HTTP server."""

    def __init__(self, clock: Clock, run_ms: int = 0):
        self.clock = clock
        self.run_ms = run_ms
        self.tasks: dict[str, TaskStandin] = {}
        self.executions: set[asyncio.Task] = set()
        self.fail_all = False
        self.address = ''

    def listen(self, host: str, port: int) -> None:
        """Serve on an address; with port 0 the system chooses one."""
        sockets = tornado.netutil.bind_sockets(port, host)
        options = {'target': self}
        application = tornado.web.Application(
            [
                (r'/tasks/([^/]+)', TaskHandler, options),
                (r'/tasks/([^/]+)/answer', AnswerHandler, options),
                (r'/tasks/([^/]+)/stop', StopHandler, options),
                (r'/leases', LeasesHandler, options),
                (r'/runs', RunsHandler, options),
                (r'/mode', ModeHandler, options),
            ],
            log_function=lambda handler: None,
        )
        self.server = tornado.httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f'{host}:{sockets[0].getsockname()[1]}'

    def start(self, run: Run, work: Work, lease_ms: int) -> None:
        """Start a task."""
        if self.fail_all:
            work = Work(run_ms=0, fail=FAIL_ALL_REASON)
        task = TaskStandin(run, work, run['start_ms'] + lease_ms)
        self.tasks[run['task_id']] = task
        execution = asyncio.create_task(task.execute(self.clock))
        self.executions.add(execution)
        execution.add_done_callback(self.executions.discard)

    def renew(self, leases: Leases) -> list[str]:
        """Extend the leases of running tasks and return the ids of these tasks."""
        running = [
            task_id
            for task_id in leases.tasks
            if task_id in self.tasks and not self.tasks[task_id].ended.is_set()
        ]
        for task_id in running:
            deadline_ms = self.clock.now_ms() + leases.lease_ms
            self.tasks[task_id].lease_deadline_ms = deadline_ms
        return running

    async def close(self) -> None:
        """Stop serving and end all tasks."""
        self.server.stop()
        for execution in self.executions:
            execution.cancel()
        await self.server.close_all_connections()


class Handler(tornado.web.RequestHandler):
    """Base class of the request handlers, with checks of the request."""

    def initialize(self, target: TargetStandin) -> None:
        """Store the stand-in that tornado passes to each handler."""
        self.target = target

    def find_task(self, task_id: str) -> TaskStandin:
        """Return a task or answer 404."""
        if task_id not in self.target.tasks:
            raise tornado.web.HTTPError(404)
        return self.target.tasks[task_id]

    def read_body(self, kind: type) -> object:
        """Return the JSON body or answer 400."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.MsgspecError as fault:
            raise tornado.web.HTTPError(400, str(fault)) from fault

    def read_number(self, name: str) -> int:
        """Return a number of the query or answer 400."""
        text = self.get_query_argument(name)
        if not text.isdecimal():
            raise tornado.web.HTTPError(400, f'{name} is not a number')
        return int(text)


class TaskHandler(Handler):
    """Starts a task, at most once for each id."""

    def put(self, task_id: str) -> None:
        """Start the task, or answer 409 with its state if it was started before."""
        if task_id in self.target.tasks:
            self.set_status(409)
            self.write({'state': self.target.tasks[task_id].run['state']})
            return
        run = Run(
            task_id=task_id,
            job_id=parse_job_id(task_id.partition('/')[0]),
            job_name=self.get_query_argument('job_name'),
            member=self.read_number('member'),
            accelerators=self.read_number('accelerators'),
            state=RUNNING,
            checkpoint=False,
            start_ms=self.target.clock.now_ms(),
            end_ms=0,
        )
        lease_ms = self.read_number('lease_ms')
        work = read_work(self.request.body, self.target.run_ms)
        self.target.start(run, work, lease_ms)
        self.set_status(201)
        self.write({'state': RUNNING})


class AnswerHandler(Handler):
    """Waits for the end of a task."""

    async def get(self, task_id: str) -> None:
        """Answer with the final state and the answer when the task has ended."""
        task = self.find_task(task_id)
        await task.ended.wait()
        self.set_header(STATE_HEADER, task.run['state'])
        self.set_header(REASON_HEADER, urllib.parse.quote(task.reason))
        self.write(task.answer)


class StopHandler(Handler):
    """Stops a task."""

    def post(self, task_id: str) -> None:
        """Stop the task, with or without a checkpoint."""
        task = self.find_task(task_id)
        task.run['checkpoint'] = self.get_query_argument('checkpoint', '0') == '1'
        task.stopped.set()


class LeasesHandler(Handler):
    """Renews the leases of tasks."""

    def post(self) -> None:
        """Renew the leases and answer with the tasks that are still running."""
        self.write({'running': self.target.renew(self.read_body(Leases))})


class RunsHandler(Handler):
    """Lists all starts."""

    def get(self) -> None:
        """Answer with the records of all starts."""
        self.write({'runs': [task.run for task in self.target.tasks.values()]})


class ModeHandler(Handler):
    """Switches the failure of all new tasks on or off."""

    def post(self) -> None:
        """Set `fail_all` to the value in the body."""
        self.target.fail_all = self.read_body(Mode).fail_all


def read_work(payload: bytes, run_ms: int) -> Work:
    """Return the work that a payload describes, with `run_ms` as the default."""
    try:
        work = msgspec.json.decode(payload, type=Work)
    except msgspec.MsgspecError:
        return Work(run_ms=run_ms)
    if work.run_ms is None:
        work.run_ms = run_ms
    return work
