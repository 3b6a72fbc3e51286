"""Tests of how the advice service is queried."""

import asyncio
import unittest

from result import Ok

from tests.fakes import FakeClock, stop_task
from yuccarelay.core.batch.events import QueryAdvice
from yuccarelay.tasks.batch.advice import AdviceTask
from yuccarelay.tasks.mailbox import Mailbox

QUERY_MS = 400


class SlowAdvisor:
    """Takes `QUERY_MS` for each query."""

    def __init__(self, clock: FakeClock):
        self.clock = clock

    async def query(self, step, workers, limit_ms):
        self.clock.time_ms += QUERY_MS
        return Ok({})


class QueueTest(unittest.IsolatedAsyncioTestCase):
    """Guards against tickets that count from before their query was sent."""

    async def test_the_wait_for_other_queries_does_not_count(self):
        clock, planner = FakeClock(), Mailbox()
        began_ms = clock.now_ms()
        advice = AdviceTask(SlowAdvisor(clock), Mailbox(), planner, clock)
        for step in range(3):
            query = QueryAdvice(1, ('j', 0, step), ('w',), 1_000)
            advice.inbox.put_nowait(query)
        running = asyncio.create_task(advice.run())
        sent_ms = [(await planner.get()).sent_ms - began_ms for _ in range(3)]
        self.assertEqual(sent_ms, [0, QUERY_MS, 2 * QUERY_MS])
        await stop_task(running)


if __name__ == '__main__':
    unittest.main()
