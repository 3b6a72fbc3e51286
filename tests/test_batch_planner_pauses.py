"""Tests of how passes of the planner follow each other."""

import unittest
from unittest import mock

from tests.batch_fleet import make_fleet, make_job
from tests.fakes import FakeClock, FakeJournal
from yuccarelay.core.batch import planner, scheduling
from yuccarelay.core.batch.events import JobAccepted
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.scheduling import LONGEST_PAUSE_MS
from yuccarelay.tasks.batch.planner import PlannerTask
from yuccarelay.tasks.mailbox import Mailbox


class PauseTest(unittest.TestCase):
    """Guards against passes that follow each other while other tasks wait."""

    def setUp(self):
        self.clock = FakeClock()
        self.passes_ms: list[int] = []
        self.took_ms = 0
        fleet = make_fleet(3)
        self.clock.time_ms = fleet.now_ms
        boxes = [Mailbox() for _ in range(5)]
        self.planner_state = fleet.planner.planner_state
        self.task = PlannerTask(fleet.planner, self.clock, *boxes, FakeJournal())

    def assign_slowly(self, planner_state: PlannerState) -> None:
        """Take some time for a pass."""
        self.passes_ms.append(self.clock.time_ms)
        scheduling.assign_units(planner_state)
        self.clock.time_ms += self.took_ms

    def handle_events(self, gap_ms: int, count: int) -> None:
        """Handle events for each of which a pass would be made, with gaps."""
        with mock.patch.object(planner, 'assign_units', self.assign_slowly):
            for _ in range(count):
                self.task.handle(JobAccepted(make_job()))
                self.clock.time_ms += gap_ms

    def test_a_pass_is_followed_by_a_pause_of_its_length(self):
        self.took_ms = 60
        self.handle_events(gap_ms=5, count=13)
        self.assertEqual([at - self.passes_ms[0] for at in self.passes_ms], [0, 120])

    def test_the_pause_has_a_limit(self):
        self.took_ms = 500
        self.handle_events(gap_ms=LONGEST_PAUSE_MS, count=3)
        self.assertEqual(len(self.passes_ms), 3)

    def test_a_short_pass_makes_no_event_wait(self):
        self.handle_events(gap_ms=5, count=3)
        self.assertEqual(len(self.passes_ms), 3)


if __name__ == '__main__':
    unittest.main()
