"""Tests of the log lines about work that waits."""

import unittest

from tests.batch_fleet import (
    URGENT,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.wait_report import WAIT_LOG_MS

LONG_MS = 600_000


def list_waits(fleet: Fleet, job: Job) -> list[dict]:
    """Return the fields of the lines about units of a job that wait."""
    return [
        fields
        for name, fields in fleet.notes
        if name == 'unit_waiting' and fields['job'] == job.id
    ]


class WaitReportTest(unittest.TestCase):
    """Guards against work that waits without a line that says why."""

    def test_a_unit_without_room_is_logged_with_its_counts(self):
        fleet = make_fleet(3, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(3, 8)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(2, 4)))
        fleet.run(WAIT_LOG_MS + 500)
        (line,) = list_waits(fleet, job)
        self.assertEqual((line['cause'], line['tasks']), ('no_room', 1))
        self.assertEqual((line['open'], line['usable'], line['room']), (3, 3, 0))
        self.assertGreaterEqual(line['waited_ms'], WAIT_LOG_MS)
        self.assertGreater(line['passes'], 1)

    def test_a_step_that_no_worker_can_hold_is_told_from_a_full_fleet(self):
        fleet = make_fleet(3)
        job = fleet.submit(make_job(make_step(1, 1, label='b')))
        fleet.run(WAIT_LOG_MS + 500)
        self.assertEqual(list_waits(fleet, job)[0]['cause'], 'no_worker')

    def test_free_workers_that_the_step_avoids_are_counted(self):
        fleet = make_fleet(2, run_ms=LONG_MS)
        blocker = make_job(make_step(1, 8))
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        fleet.submit(blocker)
        fleet.run(500)
        worker = fleet.workers['agent-w0']
        worker.end(f'{job.id}.0.0.0', 'failed')
        fleet.run(WAIT_LOG_MS + 500)
        line = list_waits(fleet, job)[0]
        self.assertEqual((line['cause'], line['attempts']), ('failed_before', 1))
        self.assertEqual((line['room'], line['failed_before']), (1, 1))

    def test_a_unit_does_not_wait_for_its_own_advance_reservation(self):
        fleet = make_fleet(3, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8, estimated_ms=LONG_MS)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(3, 8, gang=True, estimated_ms=LONG_MS)))
        fleet.run(WAIT_LOG_MS + 500)
        line = list_waits(fleet, job)[0]
        self.assertEqual((line['cause'], line['room']), ('fragmented', 2))

    def test_a_long_wait_is_logged_again_at_each_doubling(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(30, 8)))
        fleet.run(8 * WAIT_LOG_MS + 1_000)
        self.assertEqual(len(list_waits(fleet, job)), 4)

    def test_a_wide_step_is_logged_once_and_not_for_each_of_its_tasks(self):
        fleet = make_fleet(1, run_ms=500)
        fleet.submit(make_job(make_step(10, 8), queue=URGENT))
        fleet.run(200)
        job = fleet.submit(make_job(make_step(30, 8), queue=URGENT))
        fleet.run(10_000)
        self.assertLess(len(list_waits(fleet, job)), 4)

    def test_a_job_whose_queue_is_not_known_is_logged(self):
        fleet = make_fleet(2)
        job = fleet.submit(make_job(queue=URGENT._replace(name='unheard')))
        fleet.run(WAIT_LOG_MS + 500)
        self.assertEqual(list_waits(fleet, job)[0]['cause'], 'unknown_queue')

    def test_the_state_line_has_the_number_and_the_age_of_waiting_units(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        fleet.submit(make_job(make_step(3, 8)))
        fleet.run(11_000)
        states = [fields for name, fields in fleet.notes if name == 'planner_state']
        self.assertEqual((states[0]['waiting'], states[0]['longest_wait_ms']), (0, 0))
        self.assertEqual(states[-1]['waiting'], 3)
        self.assertGreater(states[-1]['longest_wait_ms'], WAIT_LOG_MS)

    def test_a_run_whose_stop_is_not_settled_is_logged(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        job = fleet.submit(make_job())
        fleet.run(500)
        fleet.workers['agent-w0'].lose_stops = 1_000
        fleet.cancel(job)
        fleet.run(11_000)
        lines = [fields for name, fields in fleet.notes if name == 'run_unsettled']
        self.assertEqual([line['stage'] for line in lines], ['stopping'] * 2)


if __name__ == '__main__':
    unittest.main()
