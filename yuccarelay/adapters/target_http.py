"""The target port over HTTP."""

import urllib.parse

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import HTTPError, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from yuccarelay.ports.target import (
    CALL_CONNECTIONS,
    TargetFailure,
    TargetTask,
    TaskAnswer,
    TaskState,
)

# Below the lease of 3 s, so that a renewal can be repeated in time.
CALL_TIMEOUT_MS = 1_000
NO_TIMEOUT = 0
STATE_HEADER = 'X-Task-State'
# Its value is percent-encoded, because headers cannot hold all characters.
REASON_HEADER = 'X-Task-Reason'
ANSWER_LIMIT_BYTES = 32_000_000


class Renewal(msgspec.Struct):
    """Body of the response to a renewal."""

    running: list[str]


_RENEWAL_DECODER = msgspec.json.Decoder(Renewal)


class HttpTarget:
    """Calls the target at `base_url` over at most `connection_limit` connections."""

    def __init__(
        self,
        base_url: str,
        connection_limit: int,
        answer_limit_bytes: int = ANSWER_LIMIT_BYTES,
    ):
        self.base_url = base_url
        # Waiting calls have a client of their own, so that the connections they hold
        # do not delay renewals. Without `force_instance` tornado shares one client
        # in each event loop.
        self.calls = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=CALL_CONNECTIONS,
        )
        self.waits = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=connection_limit - CALL_CONNECTIONS,
            max_buffer_size=answer_limit_bytes,
            max_body_size=answer_limit_bytes,
        )

    async def start(self, task: TargetTask) -> Result[None, TargetFailure]:
        """Start a task; a task that exists already is a success."""
        query = urllib.parse.urlencode(
            {
                'job_name': task.job_name,
                'member': task.member,
                'accelerators': task.accelerators,
                'lease_ms': task.lease_ms,
            },
        )
        path = f'{_make_path(task.task_id)}?{query}'
        result = await self._call('PUT', path, task.payload, accept=(409,))
        return result.map(lambda _: None)

    async def renew(
        self,
        task_ids: tuple[str, ...],
        lease_ms: int,
    ) -> Result[frozenset[str], TargetFailure]:
        """Extend leases and return the tasks that still run."""
        body = msgspec.json.encode({'tasks': task_ids, 'lease_ms': lease_ms})
        result = await self._call('POST', '/leases', body)
        return result.and_then(_read_renewal)

    async def stop(self, task_id: str, checkpoint: bool) -> Result[None, TargetFailure]:
        """Stop a task."""
        path = f'{_make_path(task_id)}/stop?checkpoint={int(checkpoint)}'
        result = await self._call('POST', path, b'', accept=(404,))
        return result.map(lambda _: None)

    async def wait_answer(self, task_id: str) -> Result[TaskAnswer, TargetFailure]:
        """Wait for the end of a task; the connection is held until then."""
        result = await _fetch(
            client=self.waits,
            url=f'{self.base_url}{_make_path(task_id)}/answer',
            method='GET',
            request_timeout=NO_TIMEOUT,
        )
        return result.and_then(_read_answer)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        accept: tuple[int, ...] = (),
    ) -> Result[HTTPResponse, TargetFailure]:
        """Make a short call; a status in `accept` is a success."""
        return await _fetch(
            client=self.calls,
            url=f'{self.base_url}{path}',
            accept=accept,
            method=method,
            body=body,
            request_timeout=CALL_TIMEOUT_MS / 1000,
        )

    def close(self) -> None:
        """Close the connections."""
        self.calls.close()
        self.waits.close()


async def _fetch(
    client: SimpleAsyncHTTPClient,
    url: str,
    accept: tuple[int, ...] = (),
    **options: object,
) -> Result[HTTPResponse, TargetFailure]:
    """Make a call and return an error of the client as a value."""
    try:
        return Ok(await client.fetch(url, connect_timeout=1, **options))
    except HTTPError as error:
        if error.code in accept:
            return Ok(error.response)
        # At 500 and above, and at 599 for no status, the call may have had an effect.
        refused = 400 <= error.code < 500
        return Err(TargetFailure(reason=str(error), ambiguous=not refused))
    except ConnectionRefusedError as error:
        return Err(TargetFailure(reason=str(error), ambiguous=False))
    except OSError as error:
        return Err(TargetFailure(reason=str(error), ambiguous=True))


def _make_path(task_id: str) -> str:
    """Return the path of a task; the slash in its id is percent-encoded."""
    return f'/tasks/{urllib.parse.quote(task_id, safe="")}'


def _read_renewal(response: HTTPResponse) -> Result[frozenset[str], TargetFailure]:
    """Return the running tasks that the response to a renewal lists."""
    try:
        return Ok(frozenset(_RENEWAL_DECODER.decode(response.body).running))
    except msgspec.MsgspecError as error:
        return Err(TargetFailure(reason=f'renewal: {error}', ambiguous=True))


def _read_answer(response: HTTPResponse) -> Result[TaskAnswer, TargetFailure]:
    """Return the end state and the answer of a response."""
    state = response.headers.get(STATE_HEADER, '')
    if state not in {known.value for known in TaskState}:
        reason = f'answer with the unknown state {state!r}'
        return Err(TargetFailure(reason=reason, ambiguous=True))
    return Ok(
        TaskAnswer(
            state=TaskState(state),
            reason=urllib.parse.unquote(response.headers.get(REASON_HEADER, '')),
            data=response.body,
        ),
    )
