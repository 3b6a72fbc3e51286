"""Tests of waits of the planner that some time or event has to end."""

import unittest

from tests.batch_fleet import (
    ADVICE,
    ADVISED,
    CONFIGURATION,
    DEFERRABLE,
    ORDINARY,
    URGENT,
    WALL_START_MS,
    FakeRun,
    FakeWorker,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch.agent import WorkerGuard
from yuccarelay.core.batch.models import Job, Queue, Resources, Step
from yuccarelay.core.batch.supervision import ENDED_RETENTION_MS

LONG_MS = 600_000
# Work that could run may have nothing running for 3 s, and a task that lasts may be
# away for 6 s (the users' rules on accepted jobs).
IDLE_LIMIT_MS = 3_000
AWAY_LIMIT_MS = 6_000
# A worker whose last run failed is suspect for 8 s; other tasks of its step run on.
SICK_LIMIT_MS = 9_000
# Newer configurations that lack the queues of the jobs. All workers are of the service
# `desk`, and only with a single service the place of an unknown queue is clear.
OTHER = Queue('other', 'h', '/x/', 'desk', 1, 3, 3.0, 1_500)
ELSEWHERE = Queue('elsewhere', 'h', '/e/', 'bureau', 1, 3, 3.0, 1_500)
ONE_SERVICE = CONFIGURATION._replace(version=2, queues=(OTHER,))
TWO_SERVICES = CONFIGURATION._replace(version=2, queues=(OTHER, ELSEWHERE))


def find_worker(fleet: Fleet, job: Job, index: int = 0) -> FakeWorker:
    """Return the worker on which a task of a job runs."""
    (worker,) = [
        worker
        for worker in fleet.workers.values()
        if f'{job.id}.0.0.{index}' in worker.runs
    ]
    return worker


def fail_task(fleet: Fleet, job: Job, index: int = 0) -> FakeWorker:
    """Let the running task of a job fail; return its worker."""
    worker = find_worker(fleet, job, index)
    worker.end(f'{job.id}.0.0.{index}', 'failed')
    return worker


def count_runs(fleet: Fleet, job: Job) -> int:
    """Return how many tasks of a job run now."""
    return sum(
        task.startswith(job.id)
        for worker in fleet.workers.values()
        for task in worker.runs
    )


class FailedWorkerTest(unittest.TestCase):
    """Guards against workers that a step avoids for ever because it failed there."""

    def test_a_long_running_task_returns_to_workers_it_failed_on(self):
        fleet = make_fleet(6, run_ms=LONG_MS)
        step = make_step(4, per_worker=1, is_long_running=True)
        job = fleet.submit(make_job(step))
        fleet.run(1_000)
        for index in range(4):
            fail_task(fleet, job, index)
            fleet.run(9_000)
        self.assertEqual(count_runs(fleet, job), 4)

    def test_a_long_running_task_is_away_for_less_than_six_seconds(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        step = make_step(2, 8, is_long_running=True)
        job = fleet.submit(make_job(step))
        fleet.run(1_000)
        for _ in range(6):
            fail_task(fleet, job)
            fleet.run(AWAY_LIMIT_MS)
            self.assertEqual(count_runs(fleet, job), 2)

    def test_a_step_that_failed_on_all_workers_with_its_label_runs_again(self):
        for is_long_running in (False, True):
            with self.subTest(is_long_running=is_long_running):
                fleet = make_fleet(6, per_rack=2, run_ms=LONG_MS)
                step = make_step(1, 8, label='r1', is_long_running=is_long_running)
                job = fleet.submit(make_job(step))
                fleet.run(1_000)
                for _ in range(2):
                    fail_task(fleet, job)
                    fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(count_runs(fleet, job), 1)

    def test_a_gang_runs_again_when_too_few_other_workers_exist(self):
        fleet = make_fleet(6, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(5, 8, gang=True)))
        for _ in range(2):
            fleet.run(1_000)
            fail_task(fleet, job)
            fleet.run(IDLE_LIMIT_MS)
            self.assertEqual(count_runs(fleet, job), 5)

    def test_tasks_of_whole_workers_run_on_all_of_them_again(self):
        fleet = make_fleet(8, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(8, 8)))
        fleet.run(1_000)
        for index in range(7):
            fail_task(fleet, job, index)
        fleet.run(SICK_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 8)

    def test_a_restarted_worker_is_not_avoided(self):
        fleet = make_fleet(2, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(500)
        worker = fail_task(fleet, job)
        fleet.run(500)
        worker.crash(fleet.now_ms)
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)


class AdvanceReservationTest(unittest.TestCase):
    """Guards against resources that are withheld for an end that does not come."""

    def test_nothing_is_withheld_for_the_end_of_long_running_work(self):
        fleet = make_fleet(6, run_ms=LONG_MS)
        lasting = make_step(3, per_worker=1, is_long_running=True)
        fleet.submit(make_job(lasting))
        fleet.run(500)
        gang = fleet.submit(make_job(make_step(4, 8, gang=True)))
        job = fleet.submit(make_job(make_step(3, 8), queue=DEFERRABLE))
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, gang), 0)
        self.assertEqual(count_runs(fleet, job), 3)

    def test_idle_resources_are_not_withheld_while_most_of_the_fleet_is_idle(self):
        fleet = make_fleet(6, run_ms=60_000)
        fleet.submit(make_job(make_step(6, per_worker=1, estimated_ms=60_000)))
        fleet.run(500)
        gang = make_step(5, 8, gang=True, estimated_ms=60_000)
        fleet.submit(make_job(gang, queue=ORDINARY))
        job = fleet.submit(make_job(make_step(2, 4, gang=True), queue=DEFERRABLE))
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)

    def test_they_are_withheld_while_most_of_the_fleet_is_in_use(self):
        for step in (make_step(2, 4, gang=True), make_step(2, 8)):
            with self.subTest(accelerators=step.need.accelerators):
                fleet = make_fleet(6, run_ms=6_000)
                blocker = make_step(5, 8, estimated_ms=6_000)
                fleet.submit(make_job(blocker))
                fleet.run(500)
                whole = make_step(2, 8, gang=True, estimated_ms=6_000)
                gang = fleet.submit(make_job(whole, queue=ORDINARY))
                job = fleet.submit(make_job(step, queue=DEFERRABLE))
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(count_runs(fleet, job), 0)
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(count_runs(fleet, gang), 2)

    def test_they_are_withheld_from_further_tasks_of_a_job_at_work(self):
        fleet = make_fleet(6, run_ms=6_000)
        fleet.submit(make_job(make_step(4, 8, estimated_ms=6_000)))
        job = fleet.submit(make_job(make_step(6, 4), queue=DEFERRABLE))
        fleet.run(500)
        whole = make_step(2, 8, gang=True, estimated_ms=6_000)
        gang = fleet.submit(make_job(whole, queue=ORDINARY))
        worker = find_worker(fleet, job)
        for task in list(worker.runs):
            worker.end(task, 'done')
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, gang), 2)

    def test_a_job_with_nothing_running_starts_beside_room_for_it_twice_over(self):
        for cores in (1, 16):
            with self.subTest(cores=cores):
                fleet = make_fleet(6, run_ms=30_000)
                need = Resources(cores * 8_000, 1_000, 8)
                fleet.submit(make_job(Step(5, need, estimated_ms=30_000)))
                fleet.run(500)
                gang = make_step(2, 8, gang=True, estimated_ms=30_000)
                fleet.submit(make_job(gang, queue=ORDINARY))
                step = make_step(2, 2, gang=True, estimated_ms=30_000)
                job = fleet.submit(make_job(step, queue=DEFERRABLE))
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(count_runs(fleet, job), 2)

    def test_a_gang_that_has_waited_for_long_keeps_no_job_idle_beside_room(self):
        fleet = make_fleet(6, run_ms=60_000)
        fleet.submit(make_job(make_step(6, per_worker=1, estimated_ms=60_000)))
        fleet.run(500)
        gang = make_step(5, 8, gang=True, estimated_ms=60_000)
        fleet.submit(make_job(gang, queue=ORDINARY))
        fleet.run(15_000)
        step = make_step(2, 4, gang=True, estimated_ms=120_000)
        job = fleet.submit(make_job(step, queue=DEFERRABLE))
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)

    def test_they_are_not_withheld_for_long_from_a_long_running_task(self):
        fleet = make_fleet(6, run_ms=20_000)
        blocker = make_step(4, 8, estimated_ms=20_000)
        fleet.submit(make_job(blocker))
        fleet.run(500)
        gang = make_step(3, 8, gang=True, estimated_ms=20_000)
        fleet.submit(make_job(gang, queue=ORDINARY))
        step = make_step(1, is_long_running=True)
        job = fleet.submit(make_job(step, queue=DEFERRABLE))
        fleet.run(AWAY_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)

    def test_short_work_uses_what_a_gang_has_withheld_for_long(self):
        fleet = make_fleet(6, run_ms=60_000)
        fleet.submit(make_job(make_step(6, per_worker=1, estimated_ms=60_000)))
        fleet.run(500)
        gang = make_step(5, 8, gang=True, estimated_ms=60_000)
        fleet.submit(make_job(gang, queue=ORDINARY))
        fleet.run(15_000)
        job = fleet.submit(make_job(make_step(2, 4, gang=True), queue=DEFERRABLE))
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)

    def test_nothing_is_withheld_for_long_for_work_that_stands_still(self):
        fleet = make_fleet(4, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(2, 8)))
        fleet.run(500)
        for worker in fleet.workers.values():
            for run in worker.runs.values():
                run.percent = 50
        fleet.submit(make_job(make_step(3, 8, gang=True, estimated_ms=10_000)))
        job = fleet.submit(make_job(make_step(2, 8), queue=DEFERRABLE))
        fleet.run(AWAY_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)


class LongRunningRankTest(unittest.TestCase):
    """Guards against tasks that last and come after all other work for ever."""

    def test_an_old_long_running_task_returns_to_a_full_fleet(self):
        fleet = make_fleet(2, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(1, 8, is_long_running=True)))
        fleet.run(60_000)
        for worker in fleet.workers.values():
            worker.run_ms = 1_000
        for _ in range(40):
            fleet.submit(make_job(make_step(1, 8), queue=ORDINARY))
        fleet.run(500)
        fail_task(fleet, job)
        fleet.run(AWAY_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)


class ClosedWorkerTest(unittest.TestCase):
    """Guards against workers that get no work for ever after unanswered calls."""

    def test_a_worker_that_answers_again_after_its_leases_gets_work(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(1, 8)))
        fleet.run(1_000)
        (worker,) = fleet.workers.values()
        worker.is_gone = True
        fleet.run(20_000)
        worker.is_gone = False
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)

    def test_one_unanswered_call_before_a_start_does_not_close_a_worker(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        (worker,) = fleet.workers.values()
        fleet.store_down = True
        job = fleet.submit(make_job(make_step(1, 8)))
        worker.is_gone = True
        fleet.run(300)
        fleet.store_down = False
        fleet.run(50)
        worker.is_gone = False
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)


class RecordingTest(unittest.TestCase):
    """Guards against assigned runs that are not started because others change."""

    def test_runs_start_while_the_record_of_their_job_changes_all_the_time(self):
        fleet = make_fleet(6, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(30, is_long_running=True)))
        fleet.run(1_000)
        fleet.write_ms = 300
        counts = []
        for _ in range(50):
            worker = next(worker for worker in fleet.workers.values() if worker.runs)
            worker.end(next(iter(worker.runs)), 'done')
            fleet.run(100)
            counts.append(count_runs(fleet, job))
        # At most two writes pass until a start, in which six tasks end.
        self.assertGreaterEqual(min(counts), 22)


class StoppedRunTest(unittest.TestCase):
    """Guards against a run that counts as stopped for ever and still runs."""

    def test_a_start_that_a_later_incarnation_accepts_after_the_stop_is_stopped(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        (worker,) = fleet.workers.values()
        worker.lose_starts = 1
        job = fleet.submit(make_job(make_step(1, 8, is_long_running=True)))
        while not worker.stops:
            fleet.run(1)
        # It crashes once it has accepted the stop; the lost start arrives after that.
        worker.crash(fleet.now_ms)
        worker.send_heartbeat(fleet.now_ms)
        worker.lease_end_ms = fleet.now_ms + IDLE_LIMIT_MS
        task = f'{job.id}.0.0.0'
        worker.runs[task] = FakeRun(task, 1, LONG_MS, '', fleet.now_ms)
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual([run.run for run in worker.runs.values()], [2])


class RemovedQueueTest(unittest.TestCase):
    """Guards against accepted jobs that do not run because their queue is removed."""

    def replace_planner(self, fleet: Fleet, configuration=TWO_SERVICES) -> None:
        fleet.configuration = configuration
        fleet.replace_planner()

    def find_causes(self, fleet: Fleet, job: Job) -> set[str]:
        return {
            fields['cause']
            for event, fields in fleet.notes
            if event == 'unit_waiting' and fields['job'] == job.id
        }

    def test_a_job_that_has_not_begun_starts(self):
        fleet = make_fleet(1)
        fleet.submit(make_job(make_step(1, 8), queue=OTHER))
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(100)
        job = fleet.submit(make_job(make_step(1, 8)))
        self.replace_planner(fleet)
        fleet.run(6_000)
        self.assertEqual(fleet.state(job), 'completed')

    def test_a_failed_task_has_all_the_attempts_of_its_queue(self):
        fleet = make_fleet(3, run_ms=LONG_MS)
        job = fleet.submit(make_job())
        fleet.run(1_000)
        self.replace_planner(fleet)
        fleet.run(1_000)
        for _ in range(ORDINARY.max_attempts - 1):
            fail_task(fleet, job)
            fleet.run(IDLE_LIMIT_MS)
            self.assertEqual(count_runs(fleet, job), 1)
        fail_task(fleet, job)
        fleet.run(1_000)
        self.assertEqual(fleet.state(job), 'failed')

    def test_a_step_that_needs_advice_starts_only_with_a_ticket(self):
        fleet = make_fleet(2, run_ms=LONG_MS, needs_ticket=True)
        fleet.approved = {'w0', 'w1'}
        fleet.advice_down = True
        job = fleet.submit(make_job(queue=ADVISED))
        fleet.run(1_000)
        self.replace_planner(fleet)
        fleet.run(2_000)
        self.assertEqual(fleet.starts(job), [])
        fleet.advice_down = False
        fleet.run(4_000)
        self.assertEqual(count_runs(fleet, job), 1)
        rejected = sum(worker.rejected for worker in fleet.workers.values())
        self.assertEqual(rejected, 0)

    def test_guaranteed_work_still_displaces_other_work(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(1, 8), queue=URGENT))
        fleet.run(500)
        fleet.submit(make_job(make_step(1, 8), queue=DEFERRABLE))
        self.replace_planner(
            fleet, TWO_SERVICES._replace(queues=(*TWO_SERVICES.queues, DEFERRABLE))
        )
        fleet.run(1_000)
        for worker in fleet.workers.values():
            worker.crash(fleet.now_ms)
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)

    def test_a_job_without_stored_terms_uses_the_only_service(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        job = make_job(accepted_at_ms=WALL_START_MS - 60_000)
        fleet.jobs[job.id] = job
        self.replace_planner(fleet, ONE_SERVICE)
        fleet.run(1_000)
        self.assertEqual(count_runs(fleet, job), 1)
        fail_task(fleet, job)
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 1)

    def test_a_job_whose_service_is_unknown_waits_and_does_not_fail(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        job = make_job()
        fleet.jobs[job.id] = job
        fleet.replace_planner()
        fleet.run(1_000)
        self.replace_planner(fleet)
        fleet.run(500)
        fail_task(fleet, job)
        fleet.run(4_000)
        self.assertEqual(fleet.state(job), 'running')
        self.assertEqual(self.find_causes(fleet, job), {'unknown_queue'})


class AdviceQueueTest(unittest.TestCase):
    """Guards against tickets that count as expired whenever they arrive."""

    def test_many_steps_that_need_advice_all_run(self):
        fleet = make_fleet(3, needs_ticket=True)
        fleet.approved = {'w0', 'w1', 'w2'}
        jobs = [
            fleet.submit(make_job(make_step(1, 8), queue=ADVISED)) for _ in range(60)
        ]
        fleet.run(30_000)
        self.assertEqual({fleet.state(job) for job in jobs}, {'completed'})
        self.assertEqual(sum(w.rejected for w in fleet.workers.values()), 0)

    def test_a_gang_gets_all_its_tickets_at_the_same_time(self):
        fleet = make_fleet(2, needs_ticket=True)
        fleet.approved = {'w0', 'w1'}
        other = fleet.workers['agent-w1']
        other.silent = True
        fleet.run(2_000)
        # Queries of many other steps delay each answer for longer than it is valid.
        for _ in range(50):
            step = make_step(1, 8, label='none')
            fleet.submit(make_job(step, queue=ADVISED))
        gang = fleet.submit(make_job(make_step(2, 8, gang=True), queue=ADVISED))
        fleet.run(500)
        other.silent = False
        fleet.run(20_000)
        self.assertEqual(fleet.state(gang), 'completed')

    def test_tickets_of_short_validity_are_used(self):
        for valid_ms in (400, 600):
            with self.subTest(valid_ms=valid_ms):
                queue = ADVISED._replace(advice=ADVICE._replace(valid_ms=valid_ms))
                fleet = Fleet(
                    FakeWorker('w0', 'r0', needs_ticket=True),
                    configuration=CONFIGURATION._replace(queues=(queue,)),
                )
                fleet.approved, fleet.ticket_valid_ms = {'w0'}, valid_ms
                job = fleet.submit(make_job(queue=queue))
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(fleet.state(job), 'completed')
                self.assertEqual(fleet.workers['agent-w0'].rejected, 0)


class BirthTest(unittest.TestCase):
    """Guards against a worker that is lost because its clock has been set back."""

    def test_a_run_of_an_incarnation_that_was_born_later_is_settled(self):
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                fleet = make_fleet(1, run_ms=LONG_MS)
                (worker,) = fleet.workers.values()
                worker.crash(fleet.now_ms + 5_000)
                fleet.run(500)
                job = fleet.submit(make_job(make_step(1, 8)))
                fleet.run(500)
                worker.crash(fleet.now_ms)
                worker.guard = WorkerGuard(worker.guard.node, 7, worker.guard.leases)
                if is_replaced:
                    fleet.replace_planner()
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(count_runs(fleet, job), 1)
                worker.end(f'{job.id}.0.0.0', 'done')
                fleet.run(IDLE_LIMIT_MS)
                fleet.notes.clear()
                fleet.run(IDLE_LIMIT_MS)
                self.assertNotIn('worker_changed', dict(fleet.notes))


class PausedRunTest(unittest.TestCase):
    """Guards against best-effort tasks that stay paused with nothing beside them."""

    def test_a_paused_task_goes_on_when_what_it_disturbed_is_gone(self):
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                fleet = make_fleet(1, run_ms=LONG_MS)
                (worker,) = fleet.workers.values()
                step = make_step(1, is_long_running=True, target_ms=100)
                job = fleet.submit(make_job(step))
                worker.latency_sensitive_job, worker.tail_alone = job.id, 200
                fleet.submit(make_job(make_step(1, best_effort=True)))
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(list(worker.paces.values()), [0])
                fleet.cancel(job)
                if is_replaced:
                    fleet.replace_planner()
                fleet.run(IDLE_LIMIT_MS)
                self.assertEqual(list(worker.paces.values()), [100])


class EndedJobTest(unittest.TestCase):
    """Guards against an ended job on which each planner fails, so that none plans."""

    def test_the_last_run_of_a_job_that_ended_long_ago_is_released(self):
        fleet = make_fleet(1, run_ms=LONG_MS)
        (worker,) = fleet.workers.values()
        job = fleet.submit(make_job())
        fleet.run(500)
        worker.silent = True
        fleet.cancel(job)
        fleet.run(500)
        record = fleet.records[job.id]
        ended_at_ms = record.ended_at_ms - ENDED_RETENTION_MS
        fleet.records[job.id] = record._replace(ended_at_ms=ended_at_ms)
        fleet.replace_planner()
        fleet.run(30_000)
        self.assertNotIn(job.id, fleet.planner.planner_state.plans)


if __name__ == '__main__':
    unittest.main()
