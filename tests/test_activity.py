"""Tests of what shows that a process goes on without waiting."""

import asyncio
import time
import unittest

from tests.fakes import FakeJournal, FakeMetrics, stop_task
from yuccarelay.adapters.event_loop import LoopMeter
from yuccarelay.core.process_activity import ActivityTotals, compare_totals
from yuccarelay.tasks.activity import ActivityTask

START = ActivityTotals(1_000, 10, 500, 0, 200, 150)
IDLE = ActivityTotals(6_000, 60, 5_300, 20, 300, 240)


class ActivityTest(unittest.TestCase):
    """Guards against a process that does not wait and is taken for an idle one."""

    def is_busy(self, **fields) -> bool:
        return compare_totals(START, IDLE._replace(**fields)).is_busy()

    def test_an_idle_process_is_not_busy(self):
        self.assertFalse(self.is_busy())

    def test_an_event_loop_that_does_not_wait_is_busy(self):
        self.assertTrue(self.is_busy(turns=400_000, waited_ms=600))

    def test_a_thread_beside_the_event_loop_that_uses_a_core_is_busy(self):
        self.assertTrue(self.is_busy(processor_ms=5_100))
        self.assertFalse(self.is_busy(processor_ms=5_100, loop_processor_ms=5_000))

    def test_one_long_turn_is_busy(self):
        self.assertTrue(self.is_busy(longest_turn_ms=1_200))


class LoopMeterTest(unittest.TestCase):
    """Guards against a meter that counts a turn without a wait as a wait."""

    def measure(self, work):
        meter = LoopMeter()
        with asyncio.Runner(loop_factory=meter.make_loop) as runner:
            before = meter.read()
            runner.run(work())
            return compare_totals(before, meter.read())

    def test_a_sleep_is_a_wait(self):
        activity = self.measure(lambda: asyncio.sleep(0.2))
        self.assertGreaterEqual(activity.waited_ms, 190)
        self.assertLess(activity.turns, 20)

    def test_turns_with_ready_callbacks_are_counted(self):
        async def go_round():
            for _ in range(1_000):
                await asyncio.sleep(0)

        self.assertGreaterEqual(self.measure(go_round).turns, 1_000)

    def test_a_callback_that_blocks_is_a_long_turn(self):
        async def block():
            time.sleep(0.05)

        self.assertGreaterEqual(self.measure(block).longest_turn_ms, 49)

    def test_the_stack_names_the_function_that_runs(self):
        meter = LoopMeter()
        self.assertTrue(meter.describe_stack().startswith('describe_stack (event_'))
        self.assertIn('test_the_stack_names', meter.describe_stack())


class FakeMeter:
    """Meter whose totals the test sets."""

    def __init__(self):
        self.totals = START

    def read(self):
        return self.totals

    def count_turns(self):
        return self.totals.turns

    def describe_stack(self):
        return 'spin (agent.py:1)'


class ActivityTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against logs in which a process that spins looks like an idle one."""

    def setUp(self):
        self.meter = FakeMeter()
        self.journal, self.thread_journal = FakeJournal(), FakeJournal()
        self.metrics = FakeMetrics()
        self.task = ActivityTask(
            self.meter,
            self.journal,
            self.metrics,
            self.thread_journal,
            interval_s=0.02,
        )

    async def await_line(self, journal):
        async with asyncio.timeout(20):
            while not journal.lines:
                await asyncio.sleep(0.01)
        return journal.lines[0]

    async def test_an_interval_without_waits_is_logged_and_measured(self):
        self.task.report(compare_totals(START, IDLE))
        self.assertEqual(self.journal.lines, [])
        self.task.report(compare_totals(START, IDLE._replace(waited_ms=510)))
        event, fields = self.journal.lines[0]
        self.assertEqual((event, fields['waited_ms']), ('process_busy', 10))
        self.assertEqual(self.metrics.states['activity_turns'], 50)

    async def test_a_loop_that_does_not_turn_is_logged_with_its_stack(self):
        running = asyncio.create_task(self.task.run())
        event, fields = await self.await_line(self.thread_journal)
        await stop_task(running)
        self.assertEqual(event, 'loop_blocked')
        self.assertEqual(fields['stack'], 'spin (agent.py:1)')

    async def test_the_thread_ends_with_the_task(self):
        running = asyncio.create_task(self.task.run())
        await self.await_line(self.thread_journal)
        await stop_task(running)
        self.assertTrue(self.task.stopped.is_set())


if __name__ == '__main__':
    unittest.main()
