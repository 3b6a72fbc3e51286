"""Calls to an agent's co-located worker, and its heartbeats."""

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters.http_client import HttpClient, HttpFailure, HttpResponse
from yuccarelay.core.batch.agent import Heartbeat
from yuccarelay.core.batch.models import EndedRun, Resources, RunningTask, WorkerInfo
from yuccarelay.core.batch.protocol import Pace, Start, Stop
from yuccarelay.ports.worker import (
    Accepted,
    Fenced,
    NoAnswer,
    Refused,
    WorkerAnswer,
    WorkerRuns,
)

INSTANCE_HEADER = 'X-Yuccarelay-Expected-Instance'
# A worker on the same machine answers in a few milliseconds; orders are retried.
ORDER_LIMIT_S = 0.25
HOLD_SLACK_S = 0.8
DRAINING = 'draining'
STATES = ('ready', DRAINING)


class WireCapacity(msgspec.Struct, rename='camel'):
    """Capacity of a worker; `cpu` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WireHeartbeat(msgspec.Struct, rename='camel'):
    """A worker's heartbeat; `labels` has its kind and then its rack."""

    service: str
    address: str
    state: str
    sequence: int
    zone: str = ''
    capacity: WireCapacity = msgspec.field(default_factory=WireCapacity)
    labels: tuple[str, ...] = ()
    clock_ms: int = 0
    born: int = 0
    remaining_ms: int = 0


class WireAnswer(msgspec.Struct, rename='camel'):
    """Fields that every answer of a worker may have."""

    clock_ms: int | None = None
    reason: str = ''


class WireLists(msgspec.Struct, rename='camel'):
    """Answer of a hold: rows of running and of ended runs."""

    clock_ms: int
    born: int = 0
    running: tuple[tuple, ...] = ()
    finished: tuple[tuple, ...] = ()


HEARTBEAT_DECODER = msgspec.json.Decoder(WireHeartbeat)
ANSWER_DECODER = msgspec.json.Decoder(WireAnswer)
LISTS_DECODER = msgspec.json.Decoder(WireLists)


def decode_heartbeat(name: str, body: bytes) -> Result[Heartbeat, str]:
    """Decode a heartbeat; a field of the wrong type or an unknown state is an error."""
    try:
        heartbeat = HEARTBEAT_DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError) as fault:
        return Err(str(fault))
    if heartbeat.state not in STATES:
        return Err(f'unknown state {heartbeat.state[:40]!r}')
    info = WorkerInfo(
        name=name,
        born_ms=heartbeat.born,
        service=heartbeat.service,
        domain=heartbeat.zone,
        capacity=Resources(*msgspec.structs.astuple(heartbeat.capacity)),
        labels=heartbeat.labels,
        rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else '',
        draining=heartbeat.state == DRAINING,
        leaves_in_ms=heartbeat.remaining_ms,
    )
    return Ok(Heartbeat(info, heartbeat.sequence, heartbeat.clock_ms))


class HttpWorker:
    """The worker port over the worker's HTTP calls."""

    def __init__(self, address: str):
        self.client = HttpClient(address)

    async def start(self, order: Start, until_ms: int) -> WorkerAnswer:
        """Start a run with a lease that ends at `until_ms` of the worker's clock."""
        body = {
            'task': order.task,
            'run': order.run,
            'specification': order.specification,
            'untilMs': until_ms,
            'fencingToken': order.term,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._order('/api/run-start', order.worker.name, body)

    async def stop(self, order: Stop) -> WorkerAnswer:
        """Stop a run; a start of it that arrives later is refused."""
        body = {'task': order.task, 'run': order.run, 'fencingToken': order.term}
        return await self._order('/api/run-stop', order.worker.name, body)

    async def pace(self, order: Pace) -> WorkerAnswer:
        """Limit a run to a share of its speed, in percent."""
        body = {
            'task': order.task,
            'run': order.run,
            'percent': order.percent,
            'fencingToken': order.term,
        }
        return await self._order('/api/pace', order.worker.name, body)

    async def hold(
        self,
        name: str,
        term: int,
        seen: int,
        wait_ms: int,
        until_ms: int | None,
    ) -> WorkerRuns | Refused | Fenced | NoAnswer:
        """Extend the lease to `until_ms`, if given, and read the lists of runs."""
        body = {'fencingToken': term, 'lastSeen': seen}
        if wait_ms:
            body['waitMs'] = wait_ms
        if until_ms is not None:
            body['untilMs'] = until_ms
        answer = await self._call(
            '/api/hold', name, body, wait_ms / 1000 + HOLD_SLACK_S
        )
        match answer:
            case Ok(HttpResponse(status=200, body=data)):
                return read_lists(data)
            case Ok(response):
                return read_refusal(response)
            case Err(HttpFailure(reason, sent)):
                return NoAnswer(reason) if sent else Refused(reason)

    async def _order(self, path: str, name: str, body: dict) -> WorkerAnswer:
        match await self._call(path, name, body, ORDER_LIMIT_S):
            case Ok(HttpResponse(status=200, body=data)):
                return Accepted(read_clock(data))
            case Ok(response):
                return read_refusal(response)
            case Err(HttpFailure(reason, sent)):
                return NoAnswer(reason) if sent else Refused(reason)

    async def _call(self, path: str, name: str, body: dict, limit_s: float):
        return await self.client.call(
            'POST',
            path,
            body=msgspec.json.encode(body),
            headers={INSTANCE_HEADER: name},
            timeout_s=limit_s,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.client.close()


def read_clock(data: bytes) -> int | None:
    """Return the worker's clock in an answer, if it has one."""
    try:
        return ANSWER_DECODER.decode(data).clock_ms
    except (msgspec.MsgspecError, ValueError):
        return None


def read_refusal(response: HttpResponse) -> Refused | Fenced:
    """Return the reason for which a worker refused a call."""
    reason = ''
    if response.status == 409:
        try:
            reason = ANSWER_DECODER.decode(response.body).reason
        except (msgspec.MsgspecError, ValueError):
            reason = 'unreadable'
    if reason == 'fence':
        return Fenced()
    return Refused(reason or f'status_{response.status}')


def read_lists(data: bytes) -> WorkerRuns | NoAnswer:
    """Decode both lists of a worker; lists that cannot be decoded are no answer."""
    try:
        lists = LISTS_DECODER.decode(data)
        running = tuple(
            RunningTask(
                str(row[0]),
                int(row[1]),
                str(row[2]),
                float(row[3]),
                float(row[4]) if len(row) > 4 else 0.0,
            )
            for row in lists.running
        )
        ended = tuple(
            EndedRun(int(row[0]), str(row[1]), int(row[2]), str(row[3]), str(row[4]))
            for row in lists.finished
        )
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError) as fault:
        return NoAnswer(f'unreadable lists: {fault}')
    return WorkerRuns(lists.clock_ms, lists.born, running, ended)
