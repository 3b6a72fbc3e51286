"""Calls to an agent's co-located worker, and its heartbeats."""

import math

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.adapters.decoding import (
    LARGEST_INTEGER,
    Count,
    Integer,
    Positive,
)
from yuccarelay.adapters.http_client import (
    HttpClient,
    HttpFailure,
    OtherServer,
    ServerCheck,
)
from yuccarelay.adapters.http_connection import HttpResponse
from yuccarelay.core.batch.agent import Heartbeat
from yuccarelay.core.batch.models import (
    EndedRun,
    Resources,
    RunningTask,
    WorkerId,
    WorkerInfo,
)
from yuccarelay.core.batch.protocol import Pace, Start, Stop
from yuccarelay.ports.worker import (
    Accepted,
    Fenced,
    HoldAnswer,
    NoAnswer,
    NotListening,
    NotSent,
    OtherIncarnation,
    Refused,
    WorkerAnswer,
    WorkerRuns,
)

INSTANCE_HEADER = 'X-Yuccarelay-Expected-Instance'
HOLD_PATH = '/api/hold'
# A worker on the same machine answers in a few milliseconds; orders are retried.
ORDER_LIMIT_S = 0.25
HOLD_SLACK_S = 0.8
DRAINING = 'draining'
STATES = ('ready', DRAINING)
# Status of a worker that is not the one which the call names.
MISDIRECTED = 421
# A worker lists at most this many ends at a time.
ENDS_LIMIT = 500
# With these statuses a worker has done nothing.
REFUSALS = (400, 409, MISDIRECTED, 429, 503)


class WireCapacity(msgspec.Struct, rename='camel'):
    """Capacity of a worker; `cpu` is in thousandths of a core."""

    cpu: Count
    mem_mb: Count
    gpu: Count


class WireHeartbeat(msgspec.Struct, rename='camel'):
    """
    A worker's heartbeat; `labels` has its kind and then its rack.

    A worker sends all fields, `remaining_ms` while it drains. Those that are not used
    here are decoded as well: a heartbeat without one of them is not a worker's.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Count
    state: str
    cold_remaining_ms: Count
    sequence: Count
    born: Positive
    capacity: WireCapacity
    labels: tuple[str, ...]
    clock_ms: Count
    remaining_ms: Count | None = None


class WireAnswer(msgspec.Struct, rename='camel'):
    """Fields that every answer of a worker may have."""

    clock_ms: Integer | None = None
    reason: str = ''


class WireLists(msgspec.Struct, rename='camel'):
    """Answer of a hold: rows of running and of ended runs."""

    clock_ms: Integer
    born: Integer = 0
    running: tuple[tuple, ...] = ()
    finished: tuple[tuple, ...] = ()


class WireDeregistration(msgspec.Struct):
    """A worker's deregistration, if it has a body."""

    born: Positive | msgspec.UnsetType = msgspec.UNSET


HEARTBEAT_DECODER = msgspec.json.Decoder(WireHeartbeat)
DEREGISTRATION_DECODER = msgspec.json.Decoder(WireDeregistration)
ANSWER_DECODER = msgspec.json.Decoder(WireAnswer)
LISTS_DECODER = msgspec.json.Decoder(WireLists)


def decode_heartbeat(name: str, body: bytes) -> Result[Heartbeat, str]:
    """Decode a heartbeat; a field of the wrong type or an unknown state is an error."""
    match decoding.decode(HEARTBEAT_DECODER.decode, body):
        case Ok(heartbeat) if heartbeat.state not in STATES:
            return Err(f'unknown state {heartbeat.state[:40]!r}')
        case Ok(WireHeartbeat(state=state, remaining_ms=None)) if state == DRAINING:
            return Err('a draining worker without the time that is left')
        case Ok(heartbeat):
            return Ok(make_heartbeat(name, heartbeat))
        case Err() as failed:
            return failed


def decode_deregistration(body: bytes) -> Result[int | None, str]:
    """
    Return the birth of the worker that deregisters, None if it is not stated.

    A worker may deregister without a body. One that cannot be decoded is an error.
    """
    if not body:
        return Ok(None)
    decoded = decoding.decode(DEREGISTRATION_DECODER.decode, body)
    return decoded.map(lambda found: found.born or None)


def make_heartbeat(name: str, heartbeat: WireHeartbeat) -> Heartbeat:
    """Return the core's form of a heartbeat."""
    info = WorkerInfo(
        name=name,
        born_ms=heartbeat.born,
        service=heartbeat.service,
        domain=heartbeat.zone,
        capacity=Resources(*msgspec.structs.astuple(heartbeat.capacity)),
        labels=heartbeat.labels,
        rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else '',
        draining=heartbeat.state == DRAINING,
        leaves_in_ms=heartbeat.remaining_ms or 0,
    )
    return Heartbeat(
        info, heartbeat.sequence, heartbeat.clock_ms, heartbeat.cold_remaining_ms
    )


class HttpWorker:
    """
    The worker port over the worker's HTTP calls.

    A call names the worker by an id that it keeps when it restarts. So a call for one
    incarnation goes out on a connection on which that incarnation has stated its birth.
    """

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
        return await self._order('/api/run-start', order.worker, body)

    async def stop(self, order: Stop) -> WorkerAnswer:
        """Stop a run; a start of it that arrives later is refused."""
        body = {'task': order.task, 'run': order.run, 'fencingToken': order.term}
        return await self._order('/api/run-stop', order.worker, body)

    async def pace(self, order: Pace) -> WorkerAnswer:
        """Limit a run to a share of its speed, in percent."""
        body = {
            'task': order.task,
            'run': order.run,
            'percent': order.percent,
            'fencingToken': order.term,
        }
        return await self._order('/api/pace', order.worker, body)

    async def read(self, name: str, term: int, wait_ms: int) -> HoldAnswer:
        """Read the lists of runs, after `wait_ms` at most if no ended run is listed."""
        body = make_reading(term)
        if wait_ms:
            body['waitMs'] = wait_ms
        limit_s = wait_ms / 1000 + HOLD_SLACK_S
        return take_lists(await self._call(HOLD_PATH, name, body, limit_s))

    async def hold(
        self, worker: WorkerId, term: int, seen: int, until_ms: int | None
    ) -> HoldAnswer:
        """Extend the lease to `until_ms`, if given, and read the lists of runs."""
        body = make_reading(term) | {'lastSeen': seen}
        if until_ms is not None:
            body['untilMs'] = until_ms
        answer = await self._call(
            HOLD_PATH, worker.name, body, HOLD_SLACK_S, worker.born_ms
        )
        return take_lists(answer)

    async def _order(self, path: str, worker: WorkerId, body: dict) -> WorkerAnswer:
        answer = await self._call(
            path, worker.name, body, ORDER_LIMIT_S, worker.born_ms
        )
        match answer:
            case Ok(HttpResponse(status=200, body=data)):
                return Accepted(read_clock(data))
            case Ok(response):
                return read_refusal(response)
            case Err(OtherServer(response)):
                return read_other_server(response)
            case Err(HttpFailure(reason, unchecked=True)):
                return NotSent(reason)
            case Err(HttpFailure(reason, sent)):
                return NoAnswer(reason) if sent else Refused(reason)

    async def _call(
        self,
        path: str,
        name: str,
        body: dict,
        limit_s: float,
        born_ms: int | None = None,
    ) -> Result[HttpResponse, HttpFailure | OtherServer]:
        """Call the worker of a name, or only its incarnation that began at a time."""
        check, identify = None, None
        if path == HOLD_PATH:
            identify = read_birth
        if born_ms is not None:
            reading = msgspec.json.encode(make_reading(body['fencingToken']))
            check = ServerCheck('POST', HOLD_PATH, reading, read_birth, born_ms)
        return await self.client.call(
            'POST',
            path,
            body=msgspec.json.encode(body),
            headers={INSTANCE_HEADER: name},
            timeout_s=limit_s,
            check=check,
            identify=identify,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.client.close()


def make_reading(term: int) -> dict:
    """Return the body of a hold that changes nothing."""
    return {'fencingToken': term, 'lastSeen': 0}


def read_birth(response: HttpResponse) -> int | None:
    """Return the birth of the worker that has answered a hold, if it states one."""
    if response.status != 200:
        return None
    match read_lists(response.body):
        case WorkerRuns(born_ms=born_ms) if born_ms:
            return born_ms
    return None


def read_other_server(response: HttpResponse) -> OtherIncarnation | Refused | Fenced:
    """Return who has answered the check that precedes a call; nothing was done."""
    match take_lists(Ok(response)):
        case WorkerRuns(clock_ms, born_ms, running, ended) if born_ms:
            return OtherIncarnation(born_ms, clock_ms, not (running or ended))
        case WorkerRuns():
            return Refused('the worker does not state its birth')
        case NoAnswer(reason):
            return Refused(f'check of the worker: {reason}')
        case OtherIncarnation() | Refused() | Fenced() as found:
            return found


def take_lists(answer: Result[HttpResponse, HttpFailure | OtherServer]) -> HoldAnswer:
    """Return what a worker has answered to a hold."""
    match answer:
        case Ok(HttpResponse(status=200, body=data)):
            return read_lists(data)
        case Ok(HttpResponse(status=status)) if status == MISDIRECTED:
            return OtherIncarnation()
        case Ok(response):
            return read_refusal(response)
        case Err(OtherServer(response)):
            return read_other_server(response)
        case Err(HttpFailure(refused=True)):
            return NotListening()
        case Err(HttpFailure(reason, sent)):
            return NoAnswer(reason) if sent else Refused(reason)


def read_clock(data: bytes) -> int | None:
    """Return the worker's clock in an answer, if it has one."""
    return decoding.decode(ANSWER_DECODER.decode, data).unwrap_or(WireAnswer()).clock_ms


def read_refusal(response: HttpResponse) -> Refused | Fenced | NoAnswer:
    """
    Return the reason for which a worker refused a call.

    A status that does not say that nothing was done, such as 502 or 504, is no answer.
    """
    if response.status not in REFUSALS:
        return NoAnswer(f'status_{response.status}')
    reason = ''
    if response.status == 409:
        found = decoding.decode(ANSWER_DECODER.decode, response.body)
        reason = found.unwrap_or(WireAnswer(reason='unreadable')).reason
    if reason == 'fence':
        return Fenced()
    return Refused(reason or f'status_{response.status}')


def read_lists(data: bytes) -> WorkerRuns | NoAnswer:
    """Decode both lists of a worker; lists that cannot be decoded are no answer."""
    match decoding.decode(parse_lists, data):
        case Ok(runs):
            return runs
        case Err(reason):
            return NoAnswer(f'unreadable lists: {reason}')


def parse_lists(data: bytes) -> WorkerRuns:
    """Return both lists of a worker; raise an error of decoding if one is malformed."""
    lists = LISTS_DECODER.decode(data)
    running = tuple(
        RunningTask(
            str(row[0]),
            parse_count(row[1]),
            str(row[2]),
            parse_figure(row[3]),
            parse_figure(row[4]) if len(row) > 4 else 0.0,
        )
        for row in lists.running
    )
    ended = tuple(
        EndedRun(
            parse_count(row[0]),
            str(row[1]),
            parse_count(row[2]),
            str(row[3]),
            str(row[4]),
        )
        for row in lists.finished
    )
    is_whole = len(ended) < ENDS_LIMIT
    return WorkerRuns(lists.clock_ms, lists.born, running, ended, is_whole)


def parse_count(value) -> int:
    """Return a number that is not negative and can be encoded again."""
    number = int(value)
    if not 0 <= number <= LARGEST_INTEGER:
        raise ValueError(f'{str(value)[:40]} is out of range')
    return number


def parse_figure(value) -> float:
    """Return a finite number."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f'{str(value)[:40]} is not finite')
    return number
