"""Tests of the HTTP server that keeps to the budget of its process."""

import asyncio
import errno
import socket
import struct
import unittest

import tornado.web

from tests.fakes import FakeJournal
from tests.host_system import find_port
from yuccarelay.adapters.byte_room import ByteRoom
from yuccarelay.adapters.http_server import (
    LOG_INTERVAL_MS,
    GuardedServer,
    RequestGuard,
)
from yuccarelay.core.request_budget import Limits, RequestTerms

LIMIT_BYTES = 50_000


class EchoHandler(tornado.web.RequestHandler):
    """Answers with the size of a body once it may."""

    def initialize(self, served: list, may_answer: asyncio.Event) -> None:
        """Take the list of served bodies, and the event."""
        self.served = served
        self.may_answer = may_answer

    async def post(self) -> None:
        """Answer with the size."""
        self.served.append(len(self.request.body))
        await self.may_answer.wait()
        self.finish(str(len(self.request.body)))


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """A server on a loopback port with a small budget."""

    async def asyncSetUp(self):
        self.journal = FakeJournal()
        limits = Limits(connections=4, bodies_bytes=250_000)
        self.guard = RequestGuard(
            limits, self.journal, lambda: RequestTerms(body_limit_bytes=LIMIT_BYTES)
        )
        self.served, self.may_answer = [], asyncio.Event()
        self.may_answer.set()
        parts = {'served': self.served, 'may_answer': self.may_answer}
        app = tornado.web.Application(
            [('/', EchoHandler, parts)], log_function=lambda _: None
        )
        self.server = GuardedServer(app, self.guard)
        self.port = find_port()
        self.server.listen(self.port, address='127.0.0.1')
        self.addCleanup(self.server.stop)

    async def connect(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_answer(self, reader) -> tuple[int, dict, bytes]:
        async with asyncio.timeout(10):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            status, *lines = head.strip().split('\r\n')
            headers = dict(line.split(': ', 1) for line in lines)
            body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        return int(status.split()[1]), headers, body

    async def settle(self, condition) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)


def announce(size: int, *lines: str) -> bytes:
    head = ['POST / HTTP/1.1', 'Host: h', f'Content-Length: {size}', *lines, '', '']
    return '\r\n'.join(head).encode()


CHUNKED = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'


class FailingSocket(socket.socket):
    """Listening socket that has no descriptor for a new connection."""

    calls = 0
    error: OSError | None = None

    def accept(self):
        self.calls += 1
        if self.error is not None:
            raise self.error
        return super().accept()


class AcceptTest(ServerCase):
    """Guards against an event loop that goes round because accepting fails."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.listening = FailingSocket()
        self.listening.setblocking(False)
        self.listening.bind(('127.0.0.1', 0))
        self.listening.listen()
        self.port = self.listening.getsockname()[1]
        self.server.add_socket(self.listening)

    async def test_a_socket_that_cannot_accept_does_not_spin(self):
        self.listening.error = OSError(errno.EMFILE, 'Too many open files')
        reader, writer = await self.connect()
        writer.write(announce(3) + b'abc')
        await asyncio.sleep(0.3)
        # Without a pause each turn of the loop calls, here over a hundred times.
        self.assertLess(self.listening.calls, 20)
        self.listening.error = None
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(
            [event for event, _ in self.journal.lines],
            ['accept_failed', 'accept_resumed'],
        )

    async def test_a_client_that_has_left_holds_up_no_other(self):
        self.listening.error = ConnectionAbortedError(errno.ECONNABORTED, 'aborted')
        reader, writer = await self.connect()
        writer.write(announce(3) + b'abc')
        await self.settle(lambda: self.listening.calls)
        self.listening.error = None
        self.assertEqual((await self.read_answer(reader))[0], 200)

    async def test_a_stopped_server_does_not_accept_again(self):
        self.listening.error = OSError(errno.EMFILE, 'Too many open files')
        await self.connect()
        await self.settle(lambda: self.listening.calls)
        self.server.stop()
        calls = self.listening.calls
        await asyncio.sleep(0.2)
        self.assertEqual(self.listening.calls, calls)


class LegalRequestsTest(ServerCase):
    """Guards against limits that a legal request meets."""

    async def test_requests_of_the_largest_size_on_a_kept_connection(self):
        reader, writer = await self.connect()
        for _ in range(3):
            writer.write(announce(LIMIT_BYTES) + b'x' * LIMIT_BYTES)
            status, _, body = await self.read_answer(reader)
            self.assertEqual((status, int(body)), (200, LIMIT_BYTES))
        self.assertEqual(self.guard.budget.large.held_bytes, 0)

    async def test_a_chunked_body_of_the_largest_size(self):
        reader, writer = await self.connect()
        writer.write(CHUNKED + b'%x\r\n' % LIMIT_BYTES + b'x' * LIMIT_BYTES)
        writer.write(b'\r\n0\r\n\r\n')
        status, _, body = await self.read_answer(reader)
        self.assertEqual((status, int(body)), (200, LIMIT_BYTES))

    async def test_a_client_that_waits_for_the_leave_to_continue(self):
        reader, writer = await self.connect()
        writer.write(announce(LIMIT_BYTES, 'Expect: 100-continue'))
        self.assertEqual((await self.read_answer(reader))[0], 100)
        writer.write(b'x' * LIMIT_BYTES)
        status, _, body = await self.read_answer(reader)
        self.assertEqual((status, int(body)), (200, LIMIT_BYTES))

    async def test_a_body_that_waits_for_room_is_served_after_the_others(self):
        clients = [await self.connect() for _ in range(3)]
        for _, writer in clients:
            writer.write(announce(LIMIT_BYTES) + b'x' * (LIMIT_BYTES - 1))
        await self.settle(lambda: len(self.guard.waiting) == 2)
        for reader, writer in clients:
            writer.write(b'x')
            self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(self.guard.budget.large.held_bytes, 0)

    async def test_a_drain_waits_for_complete_requests(self):
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(announce(2) + b'x')
        await self.settle(lambda: self.guard.budget.small.held_bytes)
        self.assertEqual(self.guard.count_unanswered(), 0)
        writer.write(b'x')
        await self.settle(lambda: self.served)
        self.assertEqual(self.guard.count_unanswered(), 1)
        self.may_answer.set()
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(self.guard.count_unanswered(), 0)


class RefusedRequestsTest(ServerCase):
    """Guards against refusals that their client cannot read."""

    async def test_an_announced_body_over_the_limit(self):
        reader, writer = await self.connect()
        writer.write(announce(LIMIT_BYTES + 1) + b'x' * (LIMIT_BYTES + 1))
        self.assertEqual((await self.read_answer(reader))[0], 413)

    async def test_a_chunked_body_over_the_limit(self):
        reader, writer = await self.connect()
        size = 2 * LIMIT_BYTES
        writer.write(CHUNKED + b'%x\r\n' % size + b'x' * size)
        self.assertEqual((await self.read_answer(reader))[0], 413)
        self.assertEqual(self.guard.budget.large.held_bytes, 0)

    async def test_a_body_that_gets_no_room(self):
        clients = [await self.connect() for _ in range(2)]
        for _, writer in clients:
            writer.write(announce(LIMIT_BYTES))
            await writer.drain()
            await asyncio.sleep(0.05)
        await self.settle(lambda: len(self.guard.waiting) == 1)
        self.guard.sweep(self.guard.limits.body_timeout_ms + 1)
        status, headers, _ = await self.read_answer(clients[1][0])
        self.assertEqual((status, headers['Retry-After']), (503, '1'))
        self.guard.sweep(LOG_INTERVAL_MS)
        lines = [fields for event, fields in self.journal.lines]
        self.assertEqual(
            {line['reason'] for line in lines}, {'no_room', 'body_timeout'}
        )


class ConnectionsTest(ServerCase):
    """Guards against connections that keep what they hold, and against long logs."""

    async def test_a_client_that_leaves_gives_its_room_back(self):
        clients = [await self.connect() for _ in range(2)]
        for _, writer in clients:
            writer.write(announce(LIMIT_BYTES) + b'x')
        await self.settle(lambda: len(self.guard.waiting) == 1)
        for _, writer in clients:
            writer.close()
        await self.settle(lambda: not self.guard.streams)
        self.assertEqual(self.guard.budget.large.held_bytes, 0)
        self.assertEqual(self.guard.waiting, {})

    async def test_pipelined_requests_of_a_client_that_left_are_not_served(self):
        # Tornado served what it had read of 1,000 closed connections for 40 s.
        self.may_answer.clear()
        _, writer = await self.connect()
        reset = struct.pack('ii', 1, 0)
        client = writer.get_extra_info('socket')
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        writer.write((announce(1) + b'x') * 20)
        await self.settle(lambda: self.served)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        self.may_answer.set()
        await self.settle(lambda: not self.guard.streams)
        await asyncio.sleep(0.1)
        self.assertEqual(self.served, [1])

    async def test_a_new_connection_is_served_instead_of_an_idle_one(self):
        idle = [await self.connect() for _ in range(4)]
        await self.settle(lambda: len(self.guard.streams) == 4)
        reader, writer = await self.connect()
        writer.write(announce(1) + b'x')
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(await idle[0][0].read(), b'')

    async def test_one_log_line_for_each_reason_and_interval(self):
        for _ in range(20):
            await self.connect()
        await self.settle(lambda: self.guard.counts.total() == 16)
        self.guard.sweep(0)
        self.assertEqual(len(self.journal.lines), 1)
        event, fields = self.journal.lines[0]
        self.assertEqual((event, fields['reason']), ('requests_limited', 'idle'))
        self.assertEqual(fields['count'], 16)
        await self.connect()
        await self.settle(lambda: self.guard.counts.total() == 1)
        self.guard.sweep(LOG_INTERVAL_MS - 1)
        self.assertEqual(len(self.journal.lines), 1)


class ByteRoomTest(unittest.IsolatedAsyncioTestCase):
    """Guards against tasks that never get their turn."""

    async def test_tasks_take_turns_and_a_cancelled_one_blocks_none(self):
        room, order = ByteRoom(10), []

        async def work(number: int) -> None:
            async with room.reserve(6):
                order.append(number)
                await asyncio.sleep(0)

        tasks = [asyncio.create_task(work(number)) for number in range(5)]
        await asyncio.sleep(0)
        tasks[1].cancel()
        await asyncio.wait(tasks)
        self.assertEqual(order, [0, 2, 3, 4])
        self.assertEqual((room.budget.held_bytes, room.queue), (0, {}))


if __name__ == '__main__':
    unittest.main()
