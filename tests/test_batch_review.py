"""Tests of waits that go on and of attempts that are lost, found in a review."""

import asyncio
import random
import unittest
from unittest import mock

from result import Ok

from tests.batch_fleet import (
    DEFERRABLE,
    DOWN_MS,
    ORDINARY,
    URGENT,
    FakeWorker,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from tests.fakes import FakeJournal, stop_task
from yuccarelay.core.batch.entities import WorkerView
from yuccarelay.core.batch.events import SaveRecord
from yuccarelay.core.batch.models import Job, JobRecord
from yuccarelay.core.batch.protocol import Start
from yuccarelay.core.batch.scheduling import assign_units
from yuccarelay.ports.store import TransactionResult
from yuccarelay.tasks.batch.records import RecordsTask, TermBegan
from yuccarelay.tasks.mailbox import Mailbox

LONG_MS = 600_000
# Work that could run may have nothing running for 3 s (the users' rule on accepted
# jobs).
IDLE_LIMIT_MS = 3_000
# A task that lasts may be away for 6 s after its last run (the same rule).
AWAY_LIMIT_MS = 6_000
# The first three attempts take less than 1 s, and the last one may wait for 2 s.
SICK_MS = 2_500
RECORDS_PER_WRITE = 15


def count_runs(fleet: Fleet, job: Job) -> int:
    """Return how many tasks of a job run now."""
    return sum(
        task.startswith(job.id)
        for worker in fleet.workers.values()
        for task in worker.runs
    )


def list_notes(fleet: Fleet, name: str) -> list[dict]:
    """Return the fields of all log lines of a kind."""
    return [fields for event, fields in fleet.notes if event == name]


def fail_all(worker: FakeWorker) -> None:
    """Let a worker fail all that it starts."""
    worker.run_ms, worker.how = 200, 'failed'


def recover(worker: FakeWorker) -> None:
    """Let a worker run tasks again."""
    worker.run_ms, worker.how = LONG_MS, 'done'


class LongRunningProgressTest(unittest.TestCase):
    """Guards against workers that count as slow because of tasks that last."""

    def start_lasting(self, fleet: Fleet, count: int) -> None:
        """Start tasks that last, one on a worker, and let them be at work."""
        step = make_step(count, per_worker=1, is_long_running=True, estimated_ms=0)
        job = fleet.submit(make_job(step))
        fleet.run(1_000)
        for worker in fleet.workers.values():
            for run in worker.runs.values():
                run.percent = 100
        fleet.run(8_000)
        self.assertEqual(count_runs(fleet, job), count)

    def test_a_worker_whose_tasks_are_at_work_is_not_slow(self):
        fleet = make_fleet(3, run_ms=LONG_MS)
        self.start_lasting(fleet, 3)
        self.assertEqual(list_notes(fleet, 'worker_slow'), [])

    def test_other_work_starts_beside_tasks_that_last(self):
        fleet = make_fleet(6, run_ms=LONG_MS)
        self.start_lasting(fleet, 4)
        fleet.submit(make_job(make_step(2, 8, estimated_ms=LONG_MS)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(2, 2)))
        fleet.run(IDLE_LIMIT_MS)
        self.assertEqual(count_runs(fleet, job), 2)

    def test_finite_work_is_not_slow_beside_a_fleet_of_tasks_that_last(self):
        fleet = make_fleet(5, run_ms=LONG_MS)
        step = make_step(3, 8, is_long_running=True, estimated_ms=LONG_MS)
        fleet.submit(make_job(step))
        fleet.run(500)
        for worker in fleet.workers.values():
            for run in worker.runs.values():
                run.percent = 100
            worker.run_ms = 10_000
        fleet.submit(make_job(make_step(4, 2, estimated_ms=10_000)))
        fleet.run(8_000)
        self.assertEqual(list_notes(fleet, 'worker_slow'), [])


class FullWorkersTest(unittest.TestCase):
    """Guards against work that waits for full workers beside free ones it avoids."""

    def test_work_returns_to_a_free_worker_it_failed_on(self):
        fleet = make_fleet(6, per_rack=2, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(1, 8, label='r1', estimated_ms=LONG_MS)))
        fleet.run(500)
        job = fleet.submit(make_job(make_step(1, 4, label='r1', estimated_ms=LONG_MS)))
        fleet.run(500)
        for worker in fleet.workers.values():
            if f'{job.id}.0.0.0' in worker.runs:
                worker.end(f'{job.id}.0.0.0', 'failed')
        fleet.run(IDLE_LIMIT_MS + 200)
        self.assertEqual(count_runs(fleet, job), 1)

    def test_work_does_not_wait_while_hopeless_jobs_fail_on_the_free_workers(self):
        fleet = make_fleet(10, run_ms=LONG_MS)
        step = make_step(2, 8, is_long_running=True, estimated_ms=LONG_MS)
        fleet.submit(make_job(step))
        fleet.run(500)
        step = make_step(8, 1, per_worker=1, is_long_running=True, estimated_ms=LONG_MS)
        hopeless = [fleet.submit(make_job(step)) for _ in range(2)]
        for _ in range(50):
            self.fail_runs(fleet, hopeless)
        job = fleet.submit(make_job(make_step(1, 4, estimated_ms=LONG_MS)))
        for _ in range(16):
            self.fail_runs(fleet, hopeless)
        self.assertEqual(count_runs(fleet, job), 1)

    def fail_runs(self, fleet: Fleet, jobs: list[Job]) -> None:
        """Let all runs of some jobs fail, and others start for 0.2 s."""
        for worker in fleet.workers.values():
            for task in list(worker.runs):
                if task.startswith(tuple(job.id for job in jobs)):
                    worker.end(task, 'failed')
        fleet.run(200)


class RenewedSpreadTest(unittest.TestCase):
    """Guards against a wait for a rack that each start of a sibling begins again."""

    def test_a_task_that_lasts_leaves_its_full_rack_while_siblings_restart(self):
        fleet = make_fleet(6, per_rack=2, run_ms=LONG_MS)
        step = make_step(3, 8, data_rack='r0', is_long_running=True)
        fleet.submit(make_job(step))
        seen_ms = [fleet.now_ms] * 3
        longest_ms = 0
        for _ in range(12):
            fleet.run(1_000)
            for worker in fleet.workers.values():
                for task in list(worker.runs):
                    seen_ms[int(task[-1])] = fleet.now_ms
                    if task.endswith('.0'):
                        worker.end(task, 'done')
            longest_ms = max(longest_ms, fleet.now_ms - min(seen_ms))
        self.assertLess(longest_ms, AWAY_LIMIT_MS)


class BlockedStepTest(unittest.TestCase):
    """Guards against a task that is passed over because a sibling may not start yet."""

    def fail_oldest(self, fleet: Fleet, job: Job, indexes: range) -> None:
        """Let that of some tasks fail which has run longest."""
        tasks = {f'{job.id}.0.0.{index}' for index in indexes}
        found = [
            (run.started_ms, task, worker)
            for worker in fleet.workers.values()
            for task, run in worker.runs.items()
            if task in tasks
        ]
        if found:
            _, task, worker = min(found, key=lambda item: item[:2])
            worker.end(task, 'failed')

    def test_a_task_that_lasts_returns_while_siblings_fail_one_after_the_other(self):
        fleet = make_fleet(63, per_rack=21, run_ms=LONG_MS)
        blocker = make_step(1, 8, label='r0', is_long_running=True)
        fleet.submit(make_job(blocker))
        fleet.run(500)
        step = make_step(20, 8, label='r0', is_long_running=True)
        job = fleet.submit(make_job(step))
        fleet.run(500)
        self.fail_oldest(fleet, job, range(19, 20))
        away_ms = longest_ms = 0
        for _ in range(80):
            self.fail_oldest(fleet, job, range(19))
            fleet.run(200)
            is_away = not any(
                f'{job.id}.0.0.19' in worker.runs for worker in fleet.workers.values()
            )
            away_ms = away_ms + 200 if is_away else 0
            longest_ms = max(longest_ms, away_ms)
        self.assertLess(longest_ms, AWAY_LIMIT_MS)


class LastAttemptTest(unittest.TestCase):
    """Guards against the attempts of a job that are used up while workers are sick."""

    def run_on_sick_workers(self, step, sick: tuple[str, ...]) -> str:
        """Return the state of a job after some of its workers were sick for a while."""
        fleet = make_fleet(6, per_rack=2, run_ms=LONG_MS)
        for name in sick:
            fail_all(fleet.workers[name])
        job = fleet.submit(make_job(step, queue=URGENT))
        fleet.run(SICK_MS)
        for name in sick:
            recover(fleet.workers[name])
        fleet.run(10_000)
        return fleet.state(job)

    def test_the_last_attempt_of_a_step_with_a_label_waits_for_its_workers(self):
        step = make_step(1, 8, label='r1')
        state = self.run_on_sick_workers(step, ('agent-w2', 'agent-w3'))
        self.assertEqual(state, 'running')

    def test_the_last_attempt_of_a_gang_as_large_as_the_fleet_waits(self):
        step = make_step(6, 8, gang=True)
        state = self.run_on_sick_workers(step, ('agent-w2',))
        self.assertEqual(state, 'running')


class ProbationOnFullFleetTest(unittest.TestCase):
    """Guards against guaranteed work on probation that short work holds up."""

    def test_a_guaranteed_gang_starts_again_soon(self):
        fleet = make_fleet(4, run_ms=800)
        gang = make_step(2, 8, gang=True, estimated_ms=20_000)
        job = fleet.submit(make_job(gang, queue=URGENT))
        while not fleet.starts(job):
            fleet.run(1)
        fleet.run(20)
        first, second = [worker for worker in fleet.workers.values() if worker.runs]
        second.runs[f'{job.id}.0.0.1'].ends_ms = LONG_MS
        first.crashes_at_ms = fleet.now_ms
        for _ in range(16):
            fleet.submit(make_job(make_step(8, 4, estimated_ms=800)))
            fleet.run(500)
        self.assertEqual(len(list_notes(fleet, 'crash_counted')), 1)
        self.assertGreaterEqual(len(fleet.starts(job)), 4)


class RenewedReservationTest(unittest.TestCase):
    """Guards against reservations that are renewed while they keep nothing away."""

    def start_probation(self, tasks: int, accelerators: int) -> tuple[Fleet, Job]:
        """Return a fleet whose workers have crashed under a gang, and the gang."""
        fleet = make_fleet(6, run_ms=800)
        step = make_step(tasks, accelerators, gang=True, per_worker=1)
        gang = fleet.submit(make_job(step))
        while not fleet.starts(gang):
            fleet.run(1)
        for worker in fleet.workers.values():
            if worker.runs:
                worker.crashes_at_ms = fleet.now_ms
        fleet.run(DOWN_MS)
        return fleet, gang

    def start_guaranteed(self, fleet: Fleet) -> None:
        """Start a short guaranteed task on each worker."""
        fleet.submit(make_job(make_step(6, 1, per_worker=1), queue=URGENT))
        fleet.run(600)

    def test_a_gang_on_probation_starts_while_guaranteed_work_starts_everywhere(self):
        fleet, gang = self.start_probation(2, 4)
        for _ in range(30):
            self.start_guaranteed(fleet)
        self.assertEqual(len(fleet.starts(gang)), 4)

    def test_other_work_does_not_wait_for_a_gang_that_cannot_start(self):
        fleet, _ = self.start_probation(6, 2)
        jobs = []
        for _ in range(30):
            jobs.append((fleet.now_ms, fleet.submit(make_job(make_step(1, 1)))))
            self.start_guaranteed(fleet)
        for submitted_ms, job in jobs[:20]:
            starts = fleet.starts(job)
            self.assertTrue(starts)
            self.assertLess(starts[0][0] - submitted_ms, IDLE_LIMIT_MS)


class BackfillTest(unittest.TestCase):
    """Guards against large gangs that small tasks keep waiting without an end."""

    def test_a_gang_of_most_workers_starts_while_small_tasks_arrive(self):
        fleet = make_fleet(6, run_ms=5_000)
        small = make_step(6, per_worker=1, estimated_ms=5_000)
        fleet.submit(make_job(small, queue=DEFERRABLE))
        fleet.run(500)
        step = make_step(5, 8, gang=True, estimated_ms=5_000)
        gang = fleet.submit(make_job(step, queue=ORDINARY))
        for _ in range(20):
            fleet.submit(make_job(small, queue=DEFERRABLE))
            fleet.run(1_000)
        self.assertEqual(len(fleet.starts(gang)), 5)


class PassCostTest(unittest.TestCase):
    """Guards against passes that sum up all runs for each unit that waits."""

    def test_the_used_resources_are_not_computed_again_for_each_unit(self):
        workers = 20
        fleet = make_fleet(workers, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(workers, 3, per_worker=1)))
        fleet.run(500)
        for _ in range(50):
            fleet.submit(make_job(make_step(2, 8, gang=True)))
        fleet.run(IDLE_LIMIT_MS)
        used = WorkerView.used
        with mock.patch.object(
            WorkerView, 'used', autospec=True, side_effect=used
        ) as calls:
            assign_units(fleet.planner.planner_state)
        # Once for the free resources, once for the share, and some for changes.
        self.assertLess(calls.call_count, 4 * workers)


class WatchedFleet(Fleet):
    """Counts the starts, and those whose assignment is not saved yet."""

    ordered = 0
    unsaved_starts = 0

    def deliver(self, item: tuple) -> None:
        """Check an order to start a run, and deliver the item."""
        match item:
            case ('order', _, Start(task=task, run=run), _):
                job, _, key = task.partition('.')
                self.ordered += 1
                self.unsaved_starts += self.records[job].tasks[key].run < run
        super().deliver(item)


class UnsavedAssignmentTest(unittest.TestCase):
    """Guards against a start that another planner would not find in the store."""

    def test_no_run_starts_before_its_own_assignment_is_saved(self):
        workers = [FakeWorker(f'w{n}', 'r0', run_ms=LONG_MS) for n in range(3)]
        fleet = WatchedFleet(*workers).run(200)
        fleet.submit(make_job(make_step(12, per_worker=4, is_long_running=True)))
        fleet.run(1_000)
        fleet.write_ms = 300
        for number in range(20):
            worker = workers[number % len(workers)]
            if worker.runs:
                worker.end(next(iter(worker.runs)), 'done')
            fleet.run(100)
        self.assertGreater(fleet.ordered, 20)
        self.assertEqual(fleet.unsaved_starts, 0)


class BusyStore:
    """Answers each write after the newest versions of other records have arrived."""

    def __init__(self, busy: list[str]):
        self.busy = busy
        self.records: RecordsTask | None = None
        self.written: set[str] = set()
        self.calls = 0

    async def transact(self, guards, writes):
        self.calls += 1
        await asyncio.sleep(0)
        self.written |= {put.key.rpartition('/')[2] for put in writes}
        for job in self.busy:
            self.records.inbox.put_nowait(SaveRecord(job, self.calls + 1, JobRecord()))
        return Ok(TransactionResult(True, self.calls))


class RecordOrderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a record that is never written because others change."""

    async def test_each_record_is_written_while_others_change_all_the_time(self):
        busy = [f'j{number}' for number in range(RECORDS_PER_WRITE)]
        store = BusyStore(busy)
        store.records = RecordsTask(
            store, Mailbox(), Mailbox(), Mailbox(), random.Random(1), FakeJournal()
        )
        running = asyncio.create_task(store.records.run())
        store.records.inbox.put_nowait(TermBegan(7, {}))
        for job in (*busy, 'k'):
            store.records.inbox.put_nowait(SaveRecord(job, 1, JobRecord()))
        while store.calls < 20:
            await asyncio.sleep(0)
        self.assertIn('k', store.written)
        await stop_task(running)


if __name__ == '__main__':
    unittest.main()
