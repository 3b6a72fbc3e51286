"""Tests of tasks that crash the workers that start them."""

import collections
import unittest

from tests.batch_fleet import (
    DEFERRABLE,
    URGENT,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch.models import Job

# After three workers have crashed under a task it may be started twice more.
STARTS_LIMIT = 5
LONG_MS = 90_000


def count_starts(fleet: Fleet, job: Job) -> int:
    """Return the most starts of any task of a job."""
    return max(collections.Counter(task for _, task, _ in fleet.starts(job)).values())


class CrashCase(unittest.TestCase):
    """A fleet with deadly tasks."""

    def submit_deadly(self, fleet: Fleet, *steps, index: int = 0, **fields) -> Job:
        """Submit a job, one task of which crashes the workers that start it."""
        job = make_job(*steps, **fields)
        for worker in fleet.workers.values():
            worker.deadly.add(f'{job.id}.0.0.{index}')
        return fleet.submit(job)

    def assert_given_up(self, fleet: Fleet, job: Job) -> None:
        self.assertLessEqual(count_starts(fleet, job), STARTS_LIMIT)
        self.assertEqual(fleet.state(job), 'failed')


class DeadlyTaskTest(CrashCase):
    """Guards against a task that crashes worker after worker."""

    def test_a_task_that_crashes_its_workers_is_given_up(self):
        # kanem-trace, day deadly, seed 3: eight workers crashed under one task.
        fleet = make_fleet(4)
        job = self.submit_deadly(fleet)
        self.assert_given_up(fleet.run(LONG_MS), job)

    def test_it_is_given_up_on_the_only_worker_as_well(self):
        fleet = make_fleet(1)
        job = self.submit_deadly(fleet)
        self.assert_given_up(fleet.run(LONG_MS), job)

    def test_the_crashes_are_counted_across_planners(self):
        for gap_ms in (700, 2_300, 4_100):
            with self.subTest(gap_ms=gap_ms):
                fleet = make_fleet(4)
                job = self.submit_deadly(fleet)
                for _ in range(LONG_MS // gap_ms):
                    fleet.run(gap_ms)
                    fleet.replace_planner()
                fleet.run(LONG_MS)
                self.assert_given_up(fleet, job)

    def test_a_gang_with_such_a_member_is_given_up(self):
        fleet = make_fleet(6, run_ms=8_000)
        step = make_step(4, 4, gang=True)
        job = self.submit_deadly(fleet, step, index=2)
        self.assert_given_up(fleet.run(LONG_MS), job)

    def test_its_job_is_given_up_while_other_tasks_are_done(self):
        fleet = make_fleet(4)
        job = self.submit_deadly(fleet, make_step(5), index=3)
        self.assert_given_up(fleet.run(LONG_MS), job)

    def test_many_at_a_time_are_all_given_up(self):
        fleet = make_fleet(4)
        jobs = [self.submit_deadly(fleet, make_step(2)) for _ in range(4)]
        fleet.run(2 * LONG_MS)
        for job in jobs:
            self.assert_given_up(fleet, job)

    def test_a_start_without_an_answer_counts_as_well(self):
        fleet = make_fleet(4)
        for worker in fleet.workers.values():
            worker.lose_answers = True
        job = self.submit_deadly(fleet)
        self.assert_given_up(fleet.run(LONG_MS), job)


class SoundTaskTest(CrashCase):
    """Guards against sound work that is given up for the crash of a worker."""

    def test_work_that_starts_beside_a_deadly_task_is_done(self):
        for workers in (1, 2, 4):
            with self.subTest(workers=workers):
                fleet = make_fleet(workers, run_ms=3_000)
                sound = [
                    fleet.submit(make_job(make_step(3), queue=queue))
                    for queue in (URGENT, DEFERRABLE)
                ]
                deadly = [self.submit_deadly(fleet, make_step(2)) for _ in range(2)]
                sound.append(fleet.submit(make_job(make_step(2, 2, gang=True))))
                fleet.run(2 * LONG_MS)
                for job in sound:
                    self.assertEqual(fleet.state(job), 'completed')
                for job in deadly:
                    self.assert_given_up(fleet, job)

    def test_work_that_is_seen_at_work_counts_no_crash(self):
        fleet = make_fleet(3, run_ms=6_000)
        job = fleet.submit(make_job())
        for _ in range(4):
            fleet.run(5_000)
            for worker in fleet.workers.values():
                worker.crashes_at_ms = fleet.now_ms
        fleet.run(LONG_MS)
        self.assertEqual(fleet.state(job), 'completed')

    def test_a_crash_at_the_start_is_forgotten_once_the_task_runs(self):
        # Power was lost right after two starts, with a long run between them.
        fleet = make_fleet(3, run_ms=6_000)
        job = fleet.submit(make_job())
        for pause_ms in (50, 8_000, 50):
            fleet.run(pause_ms)
            for worker in fleet.workers.values():
                worker.crashes_at_ms = fleet.now_ms
        fleet.run(LONG_MS)
        self.assertEqual(fleet.state(job), 'completed')

    def test_a_silent_worker_is_no_crash(self):
        fleet = make_fleet(3)
        job = fleet.submit(make_job())
        for _ in range(3):
            fleet.run(50)
            for worker in fleet.workers.values():
                worker.silent = bool(worker.runs)
            fleet.run(12_000)
            for worker in fleet.workers.values():
                worker.silent = False
                worker.run_ms = 5_000
        fleet.run(LONG_MS)
        self.assertNotEqual(fleet.state(job), 'failed')

    def test_a_worker_that_leaves_is_no_crash(self):
        fleet = make_fleet(1, run_ms=6_000)
        job = fleet.submit(make_job())
        worker = fleet.workers['agent-w0']
        for _ in range(4):
            fleet.run(300)
            worker.draining, worker.leaves_in_ms = True, 200
            fleet.run(400)
            worker.draining, worker.leaves_in_ms = False, 0
            worker.crash(fleet.now_ms)
        fleet.run(LONG_MS)
        self.assertEqual(fleet.state(job), 'completed')


if __name__ == '__main__':
    unittest.main()
