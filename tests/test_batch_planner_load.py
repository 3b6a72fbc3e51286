"""Tests of what shows how busy the planner is."""

import unittest

from tests.batch_fleet import CONFIGURATION, LONGEST_HOLD_MS
from tests.fakes import FakeClock, FakeJournal
from yuccarelay.core.batch.events import Configured, PlannerTick
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.planner import Planner
from yuccarelay.tasks.batch.planner import LOAD_PERIOD_MS, PlannerTask
from yuccarelay.tasks.mailbox import Mailbox


class SlowPlanner(Planner):
    """A planner that takes some time for each event."""

    def __init__(self, clock: FakeClock, took_ms: int):
        super().__init__(make_leases(LONGEST_HOLD_MS))
        self.clock = clock
        self.took_ms = took_ms

    def step(self, event, now):
        """Take the time, and return no effects."""
        self.clock.time_ms += self.took_ms
        return []


class PlannerLoadTest(unittest.TestCase):
    """Guards against a planner that is busy while its log does not say with what."""

    def setUp(self):
        self.clock, self.effects = FakeClock(), []
        self.planner = SlowPlanner(self.clock, 100)
        boxes = [Mailbox() for _ in range(5)]
        self.task = PlannerTask(self.planner, self.clock, *boxes, FakeJournal())

    def handle_ticks(self) -> None:
        """Handle ticks for an interval, with one slower event among them."""
        until_ms = self.clock.time_ms + LOAD_PERIOD_MS
        while self.clock.time_ms < until_ms:
            self.effects += self.task.handle(PlannerTick())
            self.clock.time_ms += 100

    def test_an_interval_has_the_longest_event_and_the_longest_queue(self):
        self.planner.planner_state.term = 7
        self.planner.took_ms = 300
        for _ in range(3):
            self.task.inbox.put_nowait(PlannerTick())
        self.effects += self.task.handle(Configured(CONFIGURATION))
        self.planner.took_ms = 100
        self.handle_ticks()
        [note] = self.effects
        self.assertEqual(note.event, 'planner_load')
        fields = note.fields
        self.assertEqual(fields['longest_event'], 'Configured')
        self.assertEqual(fields['longest_step_ms'], 300)
        self.assertEqual(fields['most_queued'], 3)
        self.assertEqual(fields['busy_ms'], 300 + 100 * (fields['events'] - 1))
        self.assertGreaterEqual(fields['interval_ms'], LOAD_PERIOD_MS)

    def test_an_entry_that_does_not_plan_logs_nothing(self):
        self.handle_ticks()
        self.assertEqual(self.effects, [])


if __name__ == '__main__':
    unittest.main()
