"""Tests of how orders are sent to agents."""

import asyncio
import unittest

from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.core.batch.events import SendOrder
from yuccarelay.core.batch.protocol import Look, Unanswered
from yuccarelay.tasks.batch.peers import PeerSockets
from yuccarelay.tasks.batch.planner import OrderLinksTask
from yuccarelay.tasks.mailbox import Mailbox

ANSWER_LIMIT_S = 5


class FailingTransport:
    """Cannot open a socket."""

    def connect(self, address):
        raise OSError('too many open files')


class UnsentOrderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a worker that is never polled again after an error."""

    async def test_an_order_that_cannot_be_sent_is_answered(self):
        planner = Mailbox()
        sockets = PeerSockets(FailingTransport(), FakeClock())
        links = OrderLinksTask(Mailbox(), planner, sockets, FakeJournal())
        running = asyncio.create_task(links.run())
        order = Look(1, None, None, 0, 0, True)
        links.inbox.put_nowait(SendOrder('agent-1', 'a:1', order))
        async with asyncio.timeout(ANSWER_LIMIT_S):
            event = await planner.get()
        self.assertIs(event.order, order)
        self.assertIsInstance(event.answer, Unanswered)
        await stop_task(running)


if __name__ == '__main__':
    unittest.main()
