"""Tests of the HTTP client that keeps its connections open."""

import asyncio
import time
import unittest
from unittest import mock

from result import Err

from yuccarelay.adapters import http_client
from yuccarelay.adapters.http_client import HttpClient, HttpFailure

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
LIMIT_S = 5
SHORT_LIMIT_S = 0.2


class ScriptedServer:
    """
    A server that answers each request with the next bytes of a script.

    `None` answers nothing, and the connection stays open until `hang_up`.
    """

    def __init__(self, *script: bytes | None):
        self.script = list(script)
        self.requests: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader, writer) -> None:
        self.writers.append(writer)
        while head := await self._read_head(reader):
            length = 0
            for line in head.lower().splitlines():
                if line.startswith(b'content-length:'):
                    length = int(line.split(b':')[1])
            self.requests.append(head + await reader.readexactly(length))
            answer = self.script.pop(0)
            if answer is not None:
                writer.write(answer)
                await writer.drain()

    async def _read_head(self, reader) -> bytes:
        try:
            return await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return b''

    def hang_up(self) -> None:
        for writer in self.writers:
            writer.close()


class HttpClientCase(unittest.IsolatedAsyncioTestCase):
    """A client and a scripted server."""

    async def open(self, *script: bytes | None) -> tuple[ScriptedServer, HttpClient]:
        scripted = ScriptedServer(*script)
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.addCleanup(scripted.hang_up)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f'127.0.0.1:{port}')
        self.addAsyncCleanup(client.close)
        return scripted, client

    async def call(self, client: HttpClient, limit_s: float = LIMIT_S):
        return await client.call('POST', '/order', body=b'{}', timeout_s=limit_s)


class RequestTest(HttpClientCase):
    """What the server receives, and what the caller gets."""

    async def test_a_request_carries_its_query_headers_and_body(self):
        scripted, client = await self.open(ANSWER)
        found = await client.call(
            'POST',
            '/order',
            body=b'{"a":1}',
            query={'key': 'job/a b', 'after': ''},
            headers={'Expected': 'worker-1'},
            timeout_s=LIMIT_S,
        )
        self.assertEqual(found.unwrap()[:2], (200, b'{}'))
        lines = scripted.requests[0].split(b'\r\n')
        self.assertEqual(lines[0], b'POST /order?key=job/a%20b&after= HTTP/1.1')
        self.assertIn(b'Expected: worker-1', lines)
        self.assertIn(f'Host: {client.address}'.encode(), lines)
        self.assertEqual(lines[-1], b'{"a":1}')

    async def test_a_read_has_no_body(self):
        scripted, client = await self.open(ANSWER)
        await client.call('GET', '/key', timeout_s=LIMIT_S)
        self.assertNotIn(b'content-length', scripted.requests[0].lower())

    async def test_a_chunked_response_is_put_together(self):
        chunked = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\n{\r\n1\r\n}\r\n0\r\n\r\n'
        )
        _, client = await self.open(chunked)
        found = await self.call(client)
        self.assertEqual(found.unwrap()[:2], (200, b'{}'))


class ConnectionTest(HttpClientCase):
    """A new connection to a worker is paid for, and costs a round trip."""

    async def test_requests_use_one_connection(self):
        scripted, client = await self.open(ANSWER, ANSWER, ANSWER)
        for _ in range(3):
            self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 1)

    async def test_requests_at_the_same_time_use_a_connection_each(self):
        scripted, client = await self.open(None, None)
        found = await asyncio.gather(
            self.call(client, SHORT_LIMIT_S), self.call(client, SHORT_LIMIT_S)
        )
        self.assertTrue(all(one.is_err() for one in found))
        self.assertEqual(len(scripted.writers), 2)

    async def test_a_connection_that_the_server_closed_is_replaced(self):
        scripted, client = await self.open(ANSWER, ANSWER)
        await self.call(client)
        idle = client.pool.idle[0]
        scripted.hang_up()
        async with asyncio.timeout(LIMIT_S):
            while not idle.stream.closed():
                await asyncio.sleep(0.005)
        self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 2)

    async def test_an_old_idle_connection_is_not_used(self):
        # The platform closes idle connections; a request sent at that moment is lost.
        scripted, client = await self.open(ANSWER, ANSWER)
        with mock.patch.object(http_client, 'KEEP_IDLE_S', 0):
            await self.call(client)
        await self.call(client)
        self.assertEqual(len(scripted.writers), 2)

    async def test_a_response_that_ends_the_connection_is_complete(self):
        closing = ANSWER.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        scripted, client = await self.open(closing, ANSWER)
        self.assertTrue((await self.call(client)).is_ok())
        self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 2)

    async def test_bytes_after_a_response_are_not_the_next_response(self):
        # Taking them for the next response would confirm an order that nobody ran.
        scripted, client = await self.open(ANSWER + ANSWER, ANSWER)
        await self.call(client)
        await self.call(client)
        self.assertEqual(len(scripted.requests), 2)
        self.assertEqual(len(scripted.writers), 2)


class SlowResponseTest(HttpClientCase):
    """Guards against large responses that are requested again and again."""

    async def serve_slowly(self, pauses_s: list[float]) -> HttpClient:
        """Return a client of a server that pauses before each byte of a response."""
        body = b'x' * len(pauses_s)

        async def serve(reader, writer):
            self.addCleanup(writer.close)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body))
            for pause_s in pauses_s:
                await asyncio.sleep(pause_s)
                writer.write(b'x')

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f'127.0.0.1:{port}')
        self.addAsyncCleanup(client.close)
        return client

    async def test_a_response_that_goes_on_outlasts_the_limit(self):
        client = await self.serve_slowly([SHORT_LIMIT_S / 4] * 12)
        found = await client.call('GET', '/key', timeout_s=SHORT_LIMIT_S)
        self.assertEqual(found.unwrap()[:2], (200, b'x' * 12))
        self.assertGreater(found.unwrap().transfer_s, SHORT_LIMIT_S)

    async def test_a_large_body_has_time_to_be_sent(self):
        # The records of 15 wide jobs are 400 kB in one write.
        async def serve(reader, writer):
            self.addCleanup(writer.close)
            await reader.readuntil(b'\r\n\r\n')
            await asyncio.sleep(2 * SHORT_LIMIT_S)
            writer.write(ANSWER)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f'127.0.0.1:{port}')
        self.addAsyncCleanup(client.close)
        for size, is_answered in ((10, False), (400_000, True)):
            found = await client.call(
                'POST', '/write', body=b'x' * size, timeout_s=SHORT_LIMIT_S
            )
            self.assertEqual(found.is_ok(), is_answered)

    async def test_a_response_that_stops_ends_the_call(self):
        client = await self.serve_slowly([0, 0, LIMIT_S])
        found = await client.call('GET', '/key', timeout_s=SHORT_LIMIT_S)
        self.assertIn('2 of 3 bytes received', found.unwrap_err().reason)

    async def test_a_response_must_end_some_time(self):
        # Each part in time, but without an end: a caller would wait for ever.
        client = await self.serve_slowly([SHORT_LIMIT_S / 4] * 40)
        with mock.patch.object(http_client, 'TRANSFER_LIMIT_S', SHORT_LIMIT_S):
            found = await client.call('GET', '/key', timeout_s=SHORT_LIMIT_S)
        self.assertTrue(found.is_err())


class HoldingServer(ScriptedServer):
    """A server that holds up the client's event loop once it has sent its bytes."""

    async def serve(self, reader, writer) -> None:
        while head := await self._read_head(reader):
            await reader.readexactly(len(b'{}'))
            self.requests.append(head)
            writer.write(self.script.pop(0))
            time.sleep(2 * SHORT_LIMIT_S)


class HeldUpTest(HttpClientCase):
    """Guards against an answer that counts as lost while it waits to be read."""

    async def call_holding(self, answer: bytes):
        """Make a call, and return its result and what the server has received."""
        with mock.patch(f'{__name__}.ScriptedServer', HoldingServer):
            scripted, client = await self.open(answer)
        return await self.call(client, SHORT_LIMIT_S), scripted.requests

    async def test_an_answer_is_read_that_came_while_the_process_was_held_up(self):
        found, requests = await self.call_holding(ANSWER)
        self.assertEqual(found.unwrap().status, 200)
        self.assertEqual(len(requests), 1)

    async def test_a_server_that_is_silent_meanwhile_is_given_up(self):
        found, _ = await self.call_holding(b'')
        self.assertTrue(found.err_value.sent)
        self.assertIn('time limit', found.err_value.reason)


class FailureTest(HttpClientCase):
    """A failure is reported as not sent only where the server has seen nothing."""

    async def test_a_refused_connection_was_not_sent(self):
        client = HttpClient('127.0.0.1:1')
        match await self.call(client):
            case Err(HttpFailure(sent=sent, refused=refused)):
                self.assertFalse(sent)
                self.assertTrue(refused)
            case found:
                self.fail(found)

    async def test_a_silent_server_leaves_the_outcome_open(self):
        scripted, client = await self.open(None, ANSWER)
        match await self.call(client, SHORT_LIMIT_S):
            case Err(HttpFailure(sent=sent, refused=refused)):
                self.assertTrue(sent)
                self.assertFalse(refused)
            case found:
                self.fail(found)
        # A late response on the old connection must not answer the next request.
        self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 2)

    async def test_a_time_out_retires_the_other_connections(self):
        # After a silent reset of all connections each would cost a time-out.
        scripted, client = await self.open(ANSWER, ANSWER, None, ANSWER)
        await asyncio.gather(self.call(client), self.call(client))
        self.assertEqual(len(client.pool.idle), 2)
        await self.call(client, SHORT_LIMIT_S)
        self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 3)

    async def test_a_connection_lost_in_a_response_leaves_the_outcome_open(self):
        for answer in (b'', b'HTTP/1.1 200 OK\r\n', ANSWER[:-1]):
            with self.subTest(answer=answer):
                scripted, client = await self.open(answer)
                task = asyncio.ensure_future(self.call(client))
                async with asyncio.timeout(LIMIT_S):
                    while not scripted.requests:
                        await asyncio.sleep(0.005)
                scripted.hang_up()
                match await task:
                    case Err(HttpFailure(sent=sent)):
                        self.assertTrue(sent)
                    case found:
                        self.fail(found)

    async def test_bytes_that_are_not_http_leave_the_outcome_open(self):
        for answer in (
            b'\x00\xff\r\n\r\n',
            b'HTTP/1.1 abc OK\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        ):
            with self.subTest(answer=answer):
                _, client = await self.open(answer, ANSWER)
                match await self.call(client):
                    case Err(HttpFailure(sent=sent)):
                        self.assertTrue(sent)
                    case found:
                        self.fail(found)
                self.assertTrue((await self.call(client)).is_ok())

    async def test_a_cancelled_call_closes_its_connection(self):
        scripted, client = await self.open(None, ANSWER)
        task = asyncio.ensure_future(self.call(client))
        async with asyncio.timeout(LIMIT_S):
            while not scripted.requests:
                await asyncio.sleep(0.005)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertTrue((await self.call(client)).is_ok())
        self.assertEqual(len(scripted.writers), 2)

    async def test_calls_beyond_the_limit_fail_unsent(self):
        scripted, client = await self.open(None)
        with (
            mock.patch.object(http_client, 'CONNECTIONS_LIMIT', 1),
            mock.patch.object(http_client, 'CONNECT_LIMIT_S', SHORT_LIMIT_S),
        ):
            waiting = asyncio.ensure_future(self.call(client, LIMIT_S))
            async with asyncio.timeout(LIMIT_S):
                while not scripted.requests:
                    await asyncio.sleep(0.005)
            match await self.call(client):
                case Err(HttpFailure(sent=sent)):
                    self.assertFalse(sent)
                case found:
                    self.fail(found)
            self.assertEqual(len(scripted.requests), 1)
            waiting.cancel()


if __name__ == '__main__':
    unittest.main()
