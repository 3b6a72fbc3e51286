"""Invariants 6 and 7: draining targets get no new work, planned stops end none."""

import unittest

from tests import oracle
from tests.fleet import ENTRIES, WORKERS
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    find_worker,
    make_simulation,
    start_running,
)
from yuccarelay.core.effects import Accepted
from yuccarelay.core.events import QueryRequested
from yuccarelay.core.messages import Announce, JobStatus
from yuccarelay.core.timing import DRAIN_START_WINDOW_MS, RECLAIM_MS, SETTLE_MS

DEADLINE_MS = 20_000
# Work that still runs at the deadline is stopped, and its end reported to the entry.
AFTER_DEADLINE_MS = RECLAIM_MS + SETTLE_MS + 1_000


def submit_load(simulation, count=40, run_ms=1_500):
    """Submit jobs of all kinds to both entries and return their request ids."""
    kinds = ('once', 'again', 'urgent', 'resumable', 'gang')
    return [
        (
            ENTRIES[number % 2],
            simulation.submit(
                ENTRIES[number % 2],
                'alder',
                kinds[number % len(kinds)],
                run_ms=run_ms,
            ),
        )
        for number in range(count)
    ]


class DrainingTargetTest(unittest.TestCase):
    """Guards against starts later than `DRAIN_START_WINDOW_MS` after a drain notice."""

    def test_start_window_is_a_few_seconds(self):
        """Guards against a start window that is longer than a few seconds."""
        self.assertLessEqual(DRAIN_START_WINDOW_MS, 3_000)

    def drain_worker(self, simulation, worker_id):
        simulation.drain(simulation.workers[worker_id].address, DEADLINE_MS)
        return (worker_id, simulation.now_ms, simulation.now_ms + 1_000_000)

    def test_no_starts_under_load(self):
        """Guards against work that entries still send to a draining worker."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                simulation = make_simulation(seed=seed)
                submit_load(simulation)
                simulation.run(200)
                drain = self.drain_worker(simulation, 'w3')
                submit_load(simulation)
                simulation.run(60_000)
                self.assertEqual(oracle.check_draining(simulation, [drain]), [])

    def test_entries_that_missed_the_notice(self):
        """Guards against entries whose view still shows the worker as free."""
        simulation = make_simulation()
        send = simulation._send

        def lose_announcements(sender, request):
            if not isinstance(request.message, Announce):
                send(sender, request)

        for worker_id in WORKERS[1:]:
            simulation.kill(simulation.workers[worker_id].address)
        simulation.run(7_000)
        simulation._send = lose_announcements
        drain = self.drain_worker(simulation, 'w0')
        submit_load(simulation, count=10)
        simulation.run(4_000)
        runs = list(simulation.targets['w0'].runs.values())
        self.assertEqual(runs, [])
        self.assertEqual(oracle.check_draining(simulation, [drain]), [])
        refused = [line for line in simulation.lines if 'reason=draining' in line]
        self.assertTrue(refused)

    def test_holds_that_wait_for_a_reclaim(self):
        """Guards against a hold that is extended until long after the drain notice."""
        simulation = make_simulation()
        for _ in range(60):
            simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=600_000)
        simulation.run(5_000)
        simulation.submit(ENTRIES[0], 'birch', 'soft-gang', run_ms=600_000)
        simulation.run(200)
        drains = [self.drain_worker(simulation, worker_id) for worker_id in WORKERS]
        simulation.run(15_000)
        self.assertEqual(oracle.check_draining(simulation, drains), [])


class PlannedStopTest(unittest.TestCase):
    """Guards against work and requests that a graceful shutdown interrupts."""

    def assert_all_complete(self, simulation, requests, entry):
        """Check that every request got a response and every accepted job completed."""
        simulation.run(90_000)
        for address, request_id in requests:
            answer = simulation.find_response(address, request_id)
            self.assertIsNotNone(answer, f'{address} did not answer a request')
            if isinstance(answer, Accepted):
                outcome = find_outcome(simulation, answer.job_id, entry)
                self.assertEqual(outcome, 'completed')
        names = oracle.collect_job_names(simulation)
        once = {job for job, name in names.items() if name in ('once', 'gang')}
        self.assertEqual(oracle.check_at_most_once(simulation, once), [])

    def test_entry_under_load(self):
        """Guards against jobs and requests that are lost with a stopped entry."""
        for delay_ms in (0, 5, 8, 12, 100, 1_000):
            with self.subTest(delay_ms=delay_ms):
                simulation = make_simulation(seed=delay_ms + 1)
                requests = submit_load(simulation)
                simulation.run(delay_ms)
                simulation.drain(ENTRIES[0], DEADLINE_MS)
                self.assert_all_complete(simulation, requests, ENTRIES[1])
                self.assertTrue(simulation.processes[ENTRIES[0]].exited)

    def test_entry_answers_those_who_wait(self):
        """Guards against a long poll that is interrupted when its entry drains."""
        for own in (True, False):
            with self.subTest(own=own):
                simulation = make_simulation()
                owner = ENTRIES[0] if own else ENTRIES[1]
                job_id = start_running(simulation, 'once', owner, run_ms=50_000)
                request_id = simulation.request(
                    ENTRIES[0],
                    lambda number, job_id=job_id: QueryRequested(
                        number,
                        'alder',
                        job_id,
                        wait_ms=40_000,
                    ),
                )
                simulation.run(1_000)
                simulation.drain(ENTRIES[0], DEADLINE_MS)
                simulation.run(10_000)
                self.assertTrue(simulation.processes[ENTRIES[0]].exited)
                answer = simulation.find_response(ENTRIES[0], request_id)
                self.assertIsInstance(answer, JobStatus)

    def test_entry_waits_for_the_store(self):
        """Guards against submissions that are interrupted while the store is slow."""
        simulation = make_simulation()
        simulation.store.extra_delay_ms = 2_500
        requests = submit_load(simulation, count=10)
        simulation.run(10)
        simulation.drain(ENTRIES[0], DEADLINE_MS)
        simulation.run(15_000)
        simulation.store.extra_delay_ms = 0
        self.assert_all_complete(simulation, requests, ENTRIES[1])

    def test_entry_waits_for_another_one_and_the_store(self):
        """Guards against a query that is interrupted while it is being forwarded."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'once', ENTRIES[1], run_ms=50_000)
        simulation.cut(*ENTRIES)
        simulation.store.extra_delay_ms = 1_500
        request_id = simulation.request(
            ENTRIES[0],
            lambda number: QueryRequested(number, 'alder', job_id, wait_ms=40_000),
        )
        simulation.run(10)
        simulation.drain(ENTRIES[0], DEADLINE_MS)
        simulation.run(15_000)
        self.assertTrue(simulation.processes[ENTRIES[0]].exited)
        self.assertIsNotNone(simulation.find_response(ENTRIES[0], request_id))

    def test_agent_under_load(self):
        """Guards against running work that a planned stop ends."""
        simulation = make_simulation()
        requests = submit_load(simulation, run_ms=4_000)
        simulation.run(2_000)
        simulation.drain(simulation.workers['w3'].address, DEADLINE_MS)
        self.assert_all_complete(simulation, requests, ENTRIES[0])
        self.assertTrue(simulation.processes[simulation.workers['w3'].address].exited)

    def test_agent_that_leads_a_gang_with_members_elsewhere(self):
        """Guards against a gang that loses its leader in a planned stop."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'wide-gang', run_ms=8_000)
        simulation.drain(
            simulation.workers[find_worker(simulation, job_id)].address, 20_000
        )
        simulation.run(40_000)
        self.assertEqual(find_outcome(simulation, job_id), 'completed')

    def test_deadline_stops_long_work_with_a_checkpoint(self):
        """Guards against an agent that never exits, and against lost progress."""
        for job in ('resumable', 'soft-gang'):
            with self.subTest(job=job):
                simulation = make_simulation()
                job_id = start_running(simulation, job, run_ms=40_000)
                workers = {run.worker_id for run in find_runs(simulation, job_id)}
                for worker_id in workers:
                    simulation.drain(simulation.workers[worker_id].address, 5_000)
                simulation.run(5_000 + AFTER_DEADLINE_MS)
                for worker_id in workers:
                    address = simulation.workers[worker_id].address
                    self.assertTrue(simulation.processes[address].exited)
                    simulation.start_agent(worker_id)
                simulation.run(90_000)
                self.assertEqual(find_outcome(simulation, job_id), 'completed')

    def test_entry_and_agents_at_once(self):
        """Guards against concurrent stops that wait for each other."""
        simulation = make_simulation()
        requests = submit_load(simulation, run_ms=3_000)
        simulation.run(500)
        simulation.drain(ENTRIES[0], DEADLINE_MS)
        for worker_id in ('w0', 'w3', 'w4'):
            simulation.drain(simulation.workers[worker_id].address, DEADLINE_MS)
        simulation.run(40_000)
        for worker_id in ('w0', 'w3', 'w4'):
            simulation.start_agent(worker_id)
        self.assert_all_complete(simulation, requests, ENTRIES[1])

    def test_all_entries_at_once(self):
        """Guards against jobs that are lost while all entries are replaced."""
        simulation = make_simulation()
        jobs = [accept(simulation, 'once', run_ms=3_000) for _ in range(20)]
        for address in ENTRIES:
            simulation.drain(address, DEADLINE_MS)
        simulation.run(30_000)
        for address in ENTRIES:
            self.assertTrue(simulation.processes[address].exited)
            simulation.add_entry(address, 'south')
        simulation.run(120_000)
        for job_id in jobs:
            self.assertEqual(find_outcome(simulation, job_id), 'completed')


if __name__ == '__main__':
    unittest.main()
