"""
HTTP client that keeps its connections open.

It uses aiohttp, because tornado's simple client opens a connection for each
request, and its curl client does not work on the users' machines.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

import aiohttp
from result import Err, Ok, Result

# Opening a connection to another region takes one round trip of 60 ms.
CONNECT_LIMIT_S = 0.4
# Idle connections are closed on this side, before the platform's limit of 15 s.
KEEP_IDLE_S = 12
CONNECTIONS_LIMIT = 24


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """No complete response; `sent` is false if the request was definitely not sent."""

    reason: str
    sent: bool


class HttpClient:
    """Client for one address; each call has its own time limit."""

    def __init__(self, address: str):
        self.base = f'http://{address}'
        self.session: aiohttp.ClientSession | None = None
        self.retired: set[asyncio.Task] = set()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and return its response within a time limit."""
        session = self._open_session()
        limits = aiohttp.ClientTimeout(total=timeout_s, connect=CONNECT_LIMIT_S)
        try:
            async with session.request(
                method,
                self.base + path,
                params=query,
                data=body,
                headers=headers,
                timeout=limits,
            ) as response:
                return Ok(HttpResponse(response.status, await response.read()))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(HttpFailure(describe(error), sent=False))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if isinstance(error, TimeoutError):
                # The other open connections may be dead as well.
                self.renew()
            return Err(HttpFailure(describe(error), sent=True))

    def renew(self) -> None:
        """Use new connections from now on; open requests keep theirs."""
        old, self.session = self.session, None
        if old is not None:
            task = asyncio.ensure_future(close_later(old))
            self.retired.add(task)
            task.add_done_callback(self.retired.discard)

    def _open_session(self) -> aiohttp.ClientSession:
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=CONNECTIONS_LIMIT,
                keepalive_timeout=KEEP_IDLE_S,
            )
            self.session = aiohttp.ClientSession(
                connector=connector,
                headers={'Content-Type': 'application/json'},
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self.session

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None


# Open requests of a retired session end within their own limits.
RETIRED_LIMIT_S = 10


async def close_later(session: aiohttp.ClientSession) -> None:
    """Close a session once its requests have ended."""
    await asyncio.sleep(RETIRED_LIMIT_S)
    await session.close()


def describe(error: Exception) -> str:
    """Return the type and the text of an error."""
    return f'{type(error).__name__}: {error}'[:200]
