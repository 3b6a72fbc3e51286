"""Tests of the decisions of a planner that has not heard all workers yet."""

import unittest

from tests.batch_fleet import (
    DEFERRABLE,
    TICK_MS,
    URGENT,
    WALL_START_MS,
    FakeWorker,
    Fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch.known_queues import make_terms
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.polling import FLEET_START_MS
from yuccarelay.core.batch.silence import SILENCE_MS

LONG_MS = 60_000
# The other workers answer a new planner this much later than the first ones.
LATER_MS = 250
# A stop, the poll that lists its end, and a start.
RECLAIM_MS = 500


def list_notes(fleet: Fleet, name: str) -> list[dict]:
    """Return the fields of all log lines of an event."""
    return [fields for event, fields in fleet.notes if event == name]


def store(fleet: Fleet, job: Job) -> Job:
    """Store a job that no planner has seen yet, as if it was accepted just now."""
    job = job._replace(accepted_at_ms=WALL_START_MS + fleet.now_ms)
    fleet.jobs[job.id] = job
    fleet.job_terms[job.id] = make_terms(URGENT)
    return job


def elect(fleet: Fleet) -> Job:
    """Elect a planner while a guaranteed gang waits that needs two workers."""
    gang = store(fleet, make_job(make_step(2, 8, gang=True), queue=URGENT))
    fleet.replace_planner()
    return gang


class FirstAnswersTest(unittest.TestCase):
    """
    Guards against work that is stopped on the first workers that a planner hears.

    On silverthread-tw-grown a planner stopped 25,999 core-seconds of work for an urgent
    gang when it had read 3 of 75 workers; 33 of them ran nothing.
    """

    # So many that a single further worker is a small share of the fleet.
    FULL = 4

    def make_fleet(self, idle: int) -> Fleet:
        """Return some full workers, and others that answer later."""
        workers = [
            FakeWorker(f'w{number}', 'r0', run_ms=LONG_MS)
            for number in range(self.FULL)
        ]
        fleet = Fleet(*workers).run(200)
        self.running = fleet.submit(make_job(make_step(self.FULL, 8), queue=DEFERRABLE))
        fleet.run(2_000)
        for number in range(self.FULL, self.FULL + idle):
            worker = FakeWorker(f'w{number}', 'r0', run_ms=LONG_MS)
            worker.answer_ms = LATER_MS
            fleet.workers[f'agent-{worker.name}'] = worker
        return fleet

    def test_guaranteed_work_starts_on_idle_workers_that_answer_later(self):
        fleet = self.make_fleet(idle=2)
        gang = elect(fleet)
        fleet.run(1_000)
        self.assertEqual(list_notes(fleet, 'room_reclaimed'), [])
        self.assertEqual(len(fleet.starts(self.running)), self.FULL)
        self.assertEqual(len(fleet.starts(gang)), 2)

    def test_it_starts_as_soon_as_enough_of_them_have_answered(self):
        fleet = self.make_fleet(idle=3)
        fleet.workers['agent-w6'].silent = True
        elected_ms = fleet.now_ms
        gang = elect(fleet)
        fleet.run(1_000)
        self.assertEqual(list_notes(fleet, 'room_reclaimed'), [])
        self.assertEqual(len(fleet.starts(gang)), 2)
        self.assertLess(fleet.starts(gang)[-1][0], elected_ms + SILENCE_MS)

    def test_a_worker_that_never_answers_holds_up_nothing_for_long(self):
        fleet = self.make_fleet(idle=1)
        fleet.workers['agent-w4'].silent = True
        elected_ms = fleet.now_ms
        gang = elect(fleet)
        fleet.run(2_000)
        limit_ms = elected_ms + SILENCE_MS + TICK_MS + RECLAIM_MS
        self.assertEqual(len(fleet.starts(gang)), 2)
        self.assertLess(fleet.starts(gang)[-1][0], limit_ms)

    def test_an_agent_that_refuses_connections_is_not_waited_for(self):
        fleet = self.make_fleet(idle=1)
        fleet.workers['agent-w4'].refuses = True
        fleet.workers['agent-w4'].answer_ms = 0
        elected_ms = fleet.now_ms
        gang = elect(fleet)
        fleet.run(1_000)
        self.assertEqual(len(fleet.starts(gang)), 2)
        self.assertLess(fleet.starts(gang)[-1][0], elected_ms + RECLAIM_MS)

    def test_a_worker_that_the_last_planner_did_not_hear_is_not_waited_for(self):
        fleet = self.make_fleet(idle=0)
        last = FakeWorker('w4', 'r0', run_ms=LONG_MS)
        fleet.workers['agent-w4'] = last
        fleet.replace_planner()
        fleet.run(200)
        fleet.submit(make_job(make_step(1, 8), queue=DEFERRABLE))
        fleet.run(1_000)
        last.silent = True
        fleet.run(4_000)
        elected_ms = fleet.now_ms
        gang = elect(fleet)
        fleet.run(1_000)
        self.assertEqual(len(fleet.starts(gang)), 2)
        self.assertLess(fleet.starts(gang)[-1][0], elected_ms + RECLAIM_MS)

    def test_the_cheapest_work_is_stopped_although_it_is_heard_of_later(self):
        fleet = self.make_fleet(idle=2)
        fleet.replace_planner()
        fleet.run(4_000)
        fresh = fleet.submit(make_job(make_step(2, 8), queue=DEFERRABLE))
        fleet.run(1_000)
        elect(fleet)
        fleet.run(1_000)
        reclaimed = list_notes(fleet, 'room_reclaimed')
        self.assertEqual(len(reclaimed), 1)
        self.assertEqual(len(fleet.starts(self.running)), self.FULL)
        stopped = list_notes(fleet, 'run_stopping')
        self.assertEqual({note['task'].job for note in stopped}, {fresh.id})


class StartingAgentsTest(unittest.TestCase):
    """
    Guards against work that is stopped while most agents are starting.

    On silverthread-tw-grown, 0.6 s after a kill of all processes or a loss of power, a
    planner has read 3 to 35 of 75 workers, and after 1.6 s all of them.
    """

    # A process imports its modules for about this time.
    START_MS = 900

    def make_fleet(self) -> Fleet:
        """Return two full workers, and four idle ones whose agents are starting."""
        workers = [
            FakeWorker(f'w{number}', 'r0', run_ms=LONG_MS) for number in range(6)
        ]
        fleet = Fleet(*workers).run(200)
        self.running = fleet.submit(make_job(make_step(2, 8), queue=DEFERRABLE))
        fleet.run(2_000)
        for worker in workers:
            worker.refuses = not worker.runs
        return fleet

    def test_guaranteed_work_starts_on_idle_workers_whose_agents_start_later(self):
        fleet = self.make_fleet()
        gang = elect(fleet)
        fleet.run(self.START_MS)
        for worker in fleet.workers.values():
            worker.refuses = False
        fleet.run(600)
        self.assertEqual(list_notes(fleet, 'room_reclaimed'), [])
        self.assertEqual(len(fleet.starts(self.running)), 2)
        self.assertEqual(len(fleet.starts(gang)), 2)

    def test_a_fleet_that_stays_away_holds_up_guaranteed_work_for_a_bounded_time(self):
        fleet = self.make_fleet()
        elected_ms = fleet.now_ms
        gang = elect(fleet)
        fleet.run(3_000)
        limit_ms = elected_ms + FLEET_START_MS + TICK_MS + RECLAIM_MS
        self.assertEqual(len(fleet.starts(gang)), 2)
        self.assertLess(fleet.starts(gang)[-1][0], limit_ms)


class UnheardRackTest(unittest.TestCase):
    """
    Guards against tasks that leave their rack because it was not heard yet.

    A rack without a worker that was read looked like one that no worker stands in. Work
    without a suitable rack goes anywhere, and takes up to three times as long there.
    """

    def make_fleet(self) -> Fleet:
        """Return racks of two workers, and one of three that answer later."""
        workers = [FakeWorker(f'v{number}', f'q{number // 2}') for number in range(10)]
        workers += [
            FakeWorker(f'w{number}', 'r1', answer_ms=LATER_MS) for number in (2, 3, 4)
        ]
        return Fleet(*workers).run(1_000)

    def list_racks(self, fleet: Fleet, job: Job) -> set[str]:
        """Return the racks on which a job has started."""
        return {
            worker.rack
            for worker in fleet.workers.values()
            if any(task.startswith(job.id) for _, task, _ in worker.starts)
        }

    def test_a_task_starts_on_the_rack_of_its_data(self):
        fleet = self.make_fleet()
        job = store(fleet, make_job(make_step(data_rack='r1'), queue=URGENT))
        fleet.replace_planner()
        fleet.run(1_000)
        self.assertEqual(self.list_racks(fleet, job), {'r1'})

    def test_a_gang_starts_on_a_rack_that_could_hold_it(self):
        fleet = self.make_fleet()
        step = make_step(3, 5, gang=True, same_rack=True)
        job = store(fleet, make_job(step, queue=URGENT))
        fleet.workers['agent-w2'].answer_ms = 0
        fleet.replace_planner()
        fleet.run(1_000)
        self.assertEqual(self.list_racks(fleet, job), {'r1'})

    def test_a_late_gang_waits_for_a_rack_as_well(self):
        # Spread over two racks, an urgent gang took three times as long on a drawn day.
        fleet = self.make_fleet()
        fleet.run(60_000)
        step = make_step(3, 5, gang=True, same_rack=True)
        job = make_job(step, queue=URGENT)
        fleet.jobs[job.id] = job
        fleet.job_terms[job.id] = make_terms(URGENT)
        fleet.replace_planner()
        fleet.run(1_000)
        self.assertEqual(self.list_racks(fleet, job), {'r1'})

    def test_a_rack_that_never_answers_is_not_waited_for_without_an_end(self):
        fleet = self.make_fleet()
        for number in (2, 3, 4):
            fleet.workers[f'agent-w{number}'].silent = True
        elected_ms = fleet.now_ms
        job = store(fleet, make_job(make_step(data_rack='r1'), queue=URGENT))
        fleet.replace_planner()
        fleet.run(2_000)
        self.assertEqual(len(self.list_racks(fleet, job) - {'r1'}), 1)
        started_ms = fleet.starts(job)[0][0]
        self.assertLess(started_ms, elected_ms + SILENCE_MS + 2 * TICK_MS)


if __name__ == '__main__':
    unittest.main()
