"""Tests of the sockets and of the tasks that own them."""

import asyncio
import time
import unittest
import unittest.mock

from tests.fakes import FakeClock, FakeJournal, FakeMetrics, stop_task
from tests.processor_time import read_threads_s
from yuccarelay.adapters import codec, nng
from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.core.effects import Reply, Request
from yuccarelay.core.events import ReplyArrived
from yuccarelay.core.messages import Ack, Heartbeat, Malformed
from yuccarelay.tasks.links import IDLE_LIMIT_MS, LinkManagerTask
from yuccarelay.tasks.listener import ANSWER_LIMIT_MS, ListenerTask
from yuccarelay.tasks.mailbox import Mailbox

HEARTBEAT = Heartbeat(worker_id='w', incarnation=1, version=2)
LONG_MS = 20_000
SHORT_MS = 50
# What control may use of a core of each node, by the size to design for.
CONTROL_SHARE = 0.022


class SocketCase(unittest.IsolatedAsyncioTestCase):
    """A listening socket and a peer connected to it."""

    async def asyncSetUp(self):
        self.clock = MonotonicClock()
        self.transport = nng.NngTransport(self.clock)
        self.listener = self.transport.listen('127.0.0.1:0').unwrap()
        self.addCleanup(self.listener.close)
        self.requests = Mailbox()
        self.peer = self.connect(self.listener.address)

    def connect(self, address):
        peer = self.transport.connect(address).unwrap()
        self.addCleanup(peer.close)
        return peer

    def start(self):
        self.listener.start(lambda *request: self.requests.put_nowait(request))

    def send_request(self, data, timeout_ms=LONG_MS, peer=None):
        deadline_ms = self.clock.now_ms() + timeout_ms
        request = (peer or self.peer).request(data, deadline_ms)
        return asyncio.create_task(request)


class HeldUpTest(SocketCase):
    """Guards against a reply that counts as missing because the process was held up."""

    async def request_held_up(self, reply):
        """Return the result of a request; the event loop is held up as it is sent."""
        self.listener.start(lambda request_id, data: reply(request_id, data))
        await self.send_request(b'first')
        pending = self.send_request(b'second', SHORT_MS)
        await asyncio.sleep(0)
        time.sleep(4 * SHORT_MS / 1_000)
        return await pending

    async def test_the_reply_to_a_request_that_was_held_up_is_read(self):
        found = await self.request_held_up(self.listener.reply)
        self.assertEqual(found.unwrap(), b'second')

    async def test_a_peer_that_is_silent_meanwhile_is_given_up(self):
        def reply(request_id, data):
            if data == b'first':
                self.listener.reply(request_id, data)

        found = await self.request_held_up(reply)
        self.assertEqual(found.err_value.reason, 'no reply by the deadline')


class ListenerTest(SocketCase):
    """Guards against replies to the wrong request and contexts that are not freed."""

    async def wait_for_free_contexts(self):
        async with asyncio.timeout(LONG_MS / 1000):
            while len(self.listener.free) < nng.LISTENER_CONTEXTS:
                await asyncio.sleep(nng.SENDING_CHECK_S)

    async def test_replies_out_of_order_reach_their_requests(self):
        self.start()
        pending = [self.send_request(b'%d' % number) for number in range(20)]
        received = [await self.requests.get() for _ in pending]
        for request_id, data in reversed(received):
            self.assertTrue(self.listener.reply(request_id, b're ' + data))
        for number, request in enumerate(pending):
            self.assertEqual((await request).unwrap(), b're %d' % number)

    async def test_large_replies_over_one_connection(self):
        self.start()
        pending = [self.send_request(b'x') for _ in range(12)]
        for _ in pending:
            request_id, _ = await self.requests.get()
            self.listener.reply(request_id, b'y' * 1_000_000)
        for request in pending:
            self.assertEqual(len((await request).unwrap()), 1_000_000)
        await self.wait_for_free_contexts()

    async def test_requests_beyond_the_contexts_wait(self):
        self.start()
        peers = [self.connect(self.listener.address) for _ in range(4)]
        count = nng.LISTENER_CONTEXTS + 10
        pending = [self.send_request(b'x', peer=peers[n % 4]) for n in range(count)]
        for _ in range(count):
            request_id, _ = await self.requests.get()
            if request_id > 10:
                self.listener.reply(request_id, b'y')
            else:
                self.listener.abandon_request(request_id)
            self.assertFalse(self.listener.reply(request_id, b'again'))
        await self.wait_for_free_contexts()
        for request in pending:
            request.cancel()
        await asyncio.wait(pending)

    async def test_readable_descriptor_without_a_request_does_not_spin(self):
        reads = []
        fake = unittest.mock.patch.object(
            target=nng._ReplyContext,
            attribute='receive',
            side_effect=lambda: reads.append(1),
        )
        with fake:
            self.start()
            pending = self.send_request(b'x')
            await asyncio.sleep(0.2)
        # Without a pause between reads there are tens of thousands.
        self.assertLess(len(reads), 100)
        request_id, _ = await self.requests.get()
        self.listener.reply(request_id, b'y')
        self.assertTrue((await pending).is_ok())

    async def test_reply_to_a_closed_connection_frees_the_context(self):
        self.start()
        lost = self.connect(self.listener.address)
        pending = self.send_request(b'x', peer=lost)
        request_id, _ = await self.requests.get()
        lost.close()
        self.assertTrue((await pending).is_err())
        self.listener.reply(request_id, b'y' * 1_000_000)
        await self.wait_for_free_contexts()

    async def start_with_a_peer_that_does_not_read(self):
        """Let a peer that never reads send a request for each context."""
        limit = unittest.mock.patch.object(nng, 'SEND_LIMIT_MS', SHORT_MS)
        limit.start()
        self.addCleanup(limit.stop)
        self.listener = self.transport.listen('127.0.0.1:0').unwrap()
        self.addCleanup(self.listener.close)
        self.start()
        host, port = self.listener.address.split(':')
        _, writer = await asyncio.open_connection(host, port, limit=1)
        self.addCleanup(writer.close)
        # The handshake of a request socket, and requests with a request id each.
        writer.write(b'\0SP\0\0\x30\0\0')
        for number in range(nng.LISTENER_CONTEXTS):
            request = (0x80000000 + number).to_bytes(4, 'big') + b'x'
            writer.write(len(request).to_bytes(8, 'big') + request)

    async def test_replies_that_are_not_read_let_no_thread_spin(self):
        await self.start_with_a_peer_that_does_not_read()
        started_s, used_s = time.monotonic(), read_threads_s('nng:aio:expire')
        for _ in range(nng.LISTENER_CONTEXTS):
            request_id, _ = await self.requests.get()
            self.listener.reply(request_id, b'y' * 1_000_000)
            # The limits of the replies end in different milliseconds.
            await asyncio.sleep(0.005)
        await self.wait_for_free_contexts()
        used_s = read_threads_s('nng:aio:expire') - used_s
        elapsed_s = time.monotonic() - started_s
        self.assertLess(used_s, CONTROL_SHARE * elapsed_s)

    async def test_peer_that_does_not_read_holds_no_context(self):
        await self.start_with_a_peer_that_does_not_read()
        for _ in range(nng.LISTENER_CONTEXTS):
            request_id, _ = await self.requests.get()
            self.listener.reply(request_id, b'y' * 1_000_000)
        self.assertTrue(self.listener.sending)
        await self.wait_for_free_contexts()
        pending = self.send_request(b'z', peer=self.connect(self.listener.address))
        request_id, _ = await self.requests.get()
        self.listener.reply(request_id, b'answer')
        self.assertEqual((await pending).unwrap(), b'answer')

    async def test_address_in_use_is_an_error(self):
        self.assertTrue(self.transport.listen(self.listener.address).is_err())


class PeerTest(SocketCase):
    """Guards against requests that outlive their deadline or are sent twice."""

    async def test_unanswered_request_ends_at_its_deadline(self):
        self.start()
        self.assertTrue((await self.send_request(b'x', SHORT_MS)).is_err())

    async def test_unreachable_peer_ends_at_the_deadline(self):
        self.listener.close()
        peer = self.connect(self.listener.address)
        self.assertTrue((await self.send_request(b'x', SHORT_MS, peer)).is_err())

    async def test_closed_peer_ends_its_requests_at_once(self):
        self.start()
        sent = self.send_request(b'x')
        await self.requests.get()
        unreachable = self.connect('127.0.0.1:1')
        waiting = self.send_request(b'x', peer=unreachable)
        await asyncio.sleep(0)
        unreachable.close()
        self.peer.close()
        async with asyncio.timeout(LONG_MS / 2000):
            self.assertTrue((await sent).is_err())
            self.assertTrue((await waiting).is_err())

    async def test_request_is_not_sent_again_after_a_lost_connection(self):
        self.start()
        pending = self.send_request(b'once')
        await self.requests.get()
        self.listener.close()
        listener = self.transport.listen(self.listener.address).unwrap()
        self.addCleanup(listener.close)
        seen = Mailbox()
        listener.start(lambda *request: seen.put_nowait(request))
        self.assertTrue((await pending).is_err())
        later = self.send_request(b'later')
        request_id, data = await seen.get()
        self.assertEqual(data, b'later')
        listener.reply(request_id, b'answer')
        self.assertEqual((await later).unwrap(), b'answer')
        self.assertTrue(seen.empty())


class ListenerTaskTest(SocketCase):
    """Guards against unreadable or unanswered requests that stop the listener."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fake_clock = FakeClock()
        self.metrics = FakeMetrics()
        self.inbox, self.state_machine = Mailbox(), Mailbox()
        self.task = ListenerTask(
            listener=self.listener,
            inbox=self.inbox,
            state_machine=self.state_machine,
            clock=self.fake_clock,
            journal=FakeJournal(),
            metrics=self.metrics,
        )
        running = asyncio.create_task(self.task.run())
        self.addAsyncCleanup(stop_task, running)

    async def test_request_and_reply_pass(self):
        pending = self.send_request(codec.encode(HEARTBEAT, 'a:1'))
        event = await self.state_machine.get()
        self.assertEqual(event.message, HEARTBEAT)
        await self.inbox.put(Reply(reply_to=event.reply_to, message=Ack()))
        self.assertEqual(codec.decode((await pending).unwrap()).unwrap().message, Ack())

    async def test_unreadable_input_is_answered_and_counted(self):
        answer = codec.decode((await self.send_request(b'\xc1')).unwrap()).unwrap()
        self.assertIsInstance(answer.message, Malformed)
        self.assertEqual(self.metrics.counts, {'malformed.malformed_envelope': 1})
        self.assertTrue(self.state_machine.empty())

    async def test_late_reply_is_dropped(self):
        pending = self.send_request(codec.encode(HEARTBEAT, ''), 500)
        event = await self.state_machine.get()
        self.fake_clock.time_ms += ANSWER_LIMIT_MS
        self.task.expire_requests()
        self.assertEqual(len(self.listener.free), nng.LISTENER_CONTEXTS)
        await self.inbox.put(Reply(reply_to=event.reply_to, message=Ack()))
        self.assertTrue((await pending).is_err())
        counts = {'unanswered_requests': 1, 'late_replies': 1}
        self.assertEqual(self.metrics.counts, counts)


class LinkManagerTaskTest(SocketCase):
    """Guards against a request that never ends, or ends more than once."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.start()
        self.fake_clock = FakeClock()
        self.journal = FakeJournal()
        self.inbox, self.state_machine = Mailbox(), Mailbox()
        self.task = LinkManagerTask(
            sender='a:1',
            inbox=self.inbox,
            state_machine=self.state_machine,
            clock=self.fake_clock,
            transport=nng.NngTransport(self.fake_clock),
            journal=self.journal,
        )
        self.running = asyncio.create_task(self.task.run())
        self.addAsyncCleanup(stop_task, self.running)

    def send(self, tag, timeout_ms=LONG_MS, address=None):
        request = Request(
            address=address or self.listener.address,
            message=HEARTBEAT,
            tag=tag,
            timeout_ms=timeout_ms,
        )
        self.inbox.put_nowait(request)

    async def answer(self, message):
        request_id, _ = await self.requests.get()
        self.listener.reply(request_id, codec.encode(message, 'b:1'))

    async def test_reply_is_matched_by_its_tag(self):
        self.send('one')
        await self.answer(Ack())
        self.assertEqual(await self.state_machine.get(), ReplyArrived('one', Ack()))

    async def test_malformed_and_missing_replies_count_as_none(self):
        self.send('rejected')
        await self.answer(Malformed('unknown_kind'))
        self.assertEqual(await self.state_machine.get(), ReplyArrived('rejected', None))
        self.send('silent', SHORT_MS)
        self.assertEqual(await self.state_machine.get(), ReplyArrived('silent', None))
        events = [event for event, _ in self.journal.lines]
        self.assertEqual(events, ['request_rejected', 'request_failed'])

    async def test_unusable_address_ends_at_once(self):
        self.send('bad', address='no address')
        self.assertEqual(await self.state_machine.get(), ReplyArrived('bad', None))

    async def test_idle_link_is_closed_and_opened_again(self):
        self.send('one')
        await self.answer(Ack())
        await self.state_machine.get()
        self.fake_clock.time_ms += LONG_MS + IDLE_LIMIT_MS
        await self.task.close_idle_links()
        self.assertEqual(self.task.links, {})
        self.send('two')
        await self.answer(Ack())
        self.assertEqual((await self.state_machine.get()).tag, 'two')

    async def test_cancelled_task_ends_each_request_once(self):
        for tag in 'abc':
            self.send(tag)
        await self.requests.get()
        self.send('unread')
        await stop_task(self.running)
        ended = [
            self.state_machine.get_nowait() for _ in range(self.state_machine.qsize())
        ]
        tags = sorted(event.tag for event in ended)
        self.assertEqual(tags, ['a', 'b', 'c', 'unread'])
