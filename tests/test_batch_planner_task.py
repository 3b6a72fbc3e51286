"""Tests of the task that owns the planner."""

import asyncio
import threading
import unittest
from unittest import mock

from tests.batch_fleet import CONFIGURATION, LONGEST_HOLD_MS
from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.core.batch.events import (
    Configured,
    Deposed,
    Note,
    PlannerTick,
    RemoveJob,
)
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.planner import Planner
from yuccarelay.tasks.batch import planner as planner_module
from yuccarelay.tasks.batch.planner import PlannerTask
from yuccarelay.tasks.mailbox import Mailbox

# A planner that is in the way of the event loop fails the test after this time.
LIMIT_S = 2
TICK_S = 0.001
TICKS = 20


class BusyPlanner(Planner):
    """A planner that is busy until the event loop lets it go on."""

    def __init__(self):
        super().__init__(make_leases(LONGEST_HOLD_MS))
        self.loop = asyncio.get_running_loop()
        self.begun = asyncio.Event()
        self.may_end = threading.Event()
        self.ended_in_time: list[bool] = []
        self.events: list = []

    def step(self, event, now):
        """Remove a job and write a log line at each event."""
        self.loop.call_soon_threadsafe(self.begun.set)
        self.ended_in_time.append(self.may_end.wait(LIMIT_S))
        self.events.append(event)
        note = Note('event_handled', {'number': len(self.events)})
        return [RemoveJob(type(event).__name__), note]


class BusyPlannerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers, polls and a term that wait for a busy planner."""

    async def asyncSetUp(self):
        self.planner, self.journal = BusyPlanner(), FakeJournal()
        boxes = [Mailbox() for _ in range(5)]
        self.inbox, _, self.records, *_ = boxes
        self.task = PlannerTask(self.planner, FakeClock(), *boxes, self.journal)
        self.inbox.put_nowait(Configured(CONFIGURATION))

    async def start(self) -> None:
        """Start the task and wait until the planner is busy."""
        running = asyncio.create_task(self.task.run())
        self.addAsyncCleanup(stop_task, running)
        self.addCleanup(self.planner.may_end.set)
        await self.planner.begun.wait()

    async def await_events(self, count: int) -> None:
        """Let the planner go on until it has handled some events."""
        self.planner.may_end.set()
        async with asyncio.timeout(LIMIT_S):
            while len(self.journal.lines) < count:
                await asyncio.sleep(TICK_S)

    async def test_the_event_loop_turns_while_the_planner_is_busy(self):
        await self.start()
        await self.await_events(1)
        self.assertEqual(self.planner.ended_in_time, [True])

    async def test_events_that_arrive_meanwhile_are_handled_in_their_order(self):
        await self.start()
        events = [Configured(CONFIGURATION) for _ in range(3)]
        for event in events:
            self.inbox.put_nowait(event)
        await self.await_events(4)
        self.assertEqual(self.planner.events[1:], events)
        numbers = [fields['number'] for _, fields in self.journal.lines]
        self.assertEqual(numbers, [1, 2, 3, 4])

    async def test_a_term_that_ends_meanwhile_writes_nothing_under_the_next_one(self):
        await self.start()
        self.inbox.put_nowait(Configured(CONFIGURATION))
        self.inbox.put_nowait(Deposed('lease_ended'))
        await self.await_events(3)
        written = [self.records.get_nowait() for _ in range(self.records.qsize())]
        self.assertEqual(written, [RemoveJob('Deposed')])

    async def test_ticks_do_not_gather_behind_a_busy_planner(self):
        self.planner.planner_state.term = 7
        with mock.patch.object(planner_module, 'TICK_S', TICK_S):
            await self.start()
            await asyncio.sleep(TICK_S * TICKS)
            self.assertEqual(self.inbox.qsize(), 1)
            await self.await_events(4)
        ticks = [event for event in self.planner.events if event == PlannerTick()]
        self.assertGreaterEqual(len(ticks), 3)


if __name__ == '__main__':
    unittest.main()
