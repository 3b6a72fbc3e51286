"""
HTTP client of the commands that call an entry.

Only reads are retried, and only if the connection failed or was lost. A submission,
a commit or a cancellation is sent once: after a lost response the client cannot know
whether the change took effect.
"""

import asyncio
import hashlib
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from yuccarelay.adapters.replies import DIGEST_HEADER
from yuccarelay.exit_status import ExitStatus

CONNECT_LIMIT_S = 5.0
# Longer than the entry's own limit, so that the entry replies before it passes.
REPLY_LIMIT_S = 30.0
# The entry fetches an answer from the agents within 60 s before it replies.
ANSWER_WAIT_MS = 60_000
READ_ATTEMPTS = 3
READ_PAUSE_S = 0.2
# An answer is held in memory until its digest is verified; then it is written.
BODY_LIMIT_BYTES = 1024 * 1024 * 1024


class Entry(NamedTuple):
    """URL of an entry, and the token of the caller."""

    url: str
    token: str


class Call(NamedTuple):
    """One request; `wait_ms` is how long the entry may hold it."""

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    wait_ms: int = 0


class Answer(NamedTuple):
    """A reply with a status below 300."""

    body: bytes
    headers: dict[str, str]


class CallError(NamedTuple):
    """Why a call failed, in one line, and the matching exit status."""

    status: ExitStatus
    text: str
    http_status: int = 0


def make_request(entry: Entry, call: Call) -> HTTPRequest:
    """Return the request of a call."""
    headers = dict(call.headers)
    if entry.token:
        headers['Authorization'] = f'Bearer {entry.token}'
    return HTTPRequest(
        url=entry.url.rstrip('/') + call.path,
        method=call.method,
        headers=headers,
        body=call.body,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        connect_timeout=CONNECT_LIMIT_S,
        request_timeout=REPLY_LIMIT_S + call.wait_ms / 1_000,
    )


async def send(entry: Entry, call: Call) -> Result[Answer, CallError]:
    """Send a call and return the reply."""
    attempts = READ_ATTEMPTS if call.method == 'GET' else 1
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_buffer_size=BODY_LIMIT_BYTES,
        max_body_size=BODY_LIMIT_BYTES,
    )
    try:
        for attempt in range(1, attempts + 1):
            result = await send_once(client, entry, call)
            lost = result.is_err() and not result.err_value.http_status
            if not lost or attempt == attempts:
                break
            await asyncio.sleep(READ_PAUSE_S * attempt)
        return result
    finally:
        client.close()


async def send_once(
    client: SimpleAsyncHTTPClient,
    entry: Entry,
    call: Call,
) -> Result[Answer, CallError]:
    """Send a call once."""
    try:
        response = await client.fetch(make_request(entry, call), raise_error=False)
    except ValueError as error:
        return Err(CallError(ExitStatus.USAGE, f'entry {entry.url}: {error}'))
    except ConnectionRefusedError as error:
        return Err(make_no_reply_error(entry, call, error, sent=False))
    except (HTTPClientError, OSError) as error:
        return Err(make_no_reply_error(entry, call, error, sent=True))
    if response.code == 599:
        return Err(make_no_reply_error(entry, call, response.error, sent=True))
    if response.code >= 300:
        return Err(read_error(call, response.code, response.body or b''))
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Ok(Answer(body=response.body or b'', headers=headers))


def make_no_reply_error(
    entry: Entry,
    call: Call,
    error: BaseException | None,
    sent: bool,
) -> CallError:
    """Return the error of a call without a reply."""
    if isinstance(error, HTTPTimeoutError) and 'connecting' in str(error):
        sent = False
    text = f'no reply from entry {entry.url}: {str(error) or type(error).__name__}'
    if sent and call.method != 'GET':
        text += '; the request may have taken effect'
        return CallError(ExitStatus.UNDECIDED, text)
    return CallError(ExitStatus.UNAVAILABLE, text)


def read_error(call: Call, http_status: int, body: bytes) -> CallError:
    """Return the error that an entry replied."""
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        document = {}
    code = str(document.get('code', f'http_{http_status}'))
    parts = [f'{call.method} {call.path}: {http_status} {code}']
    for error in document.get('errors') or []:
        parts.append(f'{error.get("field")} {error.get("rule")}')
    for name in ('generation', 'job_id', 'reason', 'retry_ms'):
        if document.get(name):
            parts.append(f'{name} {document[name]}')
    status = ExitStatus.REFUSED
    if code == 'undecided':
        status = ExitStatus.UNDECIDED
    elif http_status in (429, 503):
        status = ExitStatus.UNAVAILABLE
    elif http_status >= 500:
        # A failure in the entry or in front of it, after the request was sent.
        read = call.method == 'GET'
        status = ExitStatus.UNAVAILABLE if read else ExitStatus.UNDECIDED
    return CallError(status, '; '.join(parts), http_status)


def check_digest(answer: Answer) -> Result[bytes, CallError]:
    """Return the body if it has the digest that the entry reported."""
    expected = answer.headers.get(DIGEST_HEADER.lower(), '')
    actual = hashlib.sha256(answer.body).hexdigest()
    if actual == expected:
        return Ok(answer.body)
    text = f'answer has SHA-256 {actual}, but the entry reported {expected or "none"}'
    return Err(CallError(ExitStatus.UNAVAILABLE, text))


def fetch(entry: Entry, call: Call) -> Result[Answer, CallError]:
    """Send a call and block until the reply, for code without an event loop."""
    return asyncio.run(send(entry, call))
