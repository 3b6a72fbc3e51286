"""Invariants 6 and 7: leaving targets get nothing new, planned stops cut nothing."""

import unittest

from tests import oracle
from tests.fleet import ENTRIES, WORKERS
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    find_worker,
    make_session,
    start_running,
)
from yuccarelay.core.effects import Accepted
from yuccarelay.core.events import QueryRequested
from yuccarelay.core.messages import Announce, JobStatus
from yuccarelay.core.timing import DRAIN_START_WINDOW_MS, RECLAIM_MS, SETTLE_MS

DEADLINE_MS = 20_000
# Work that is still there at the deadline is stopped, and told to its entry.
AFTER_DEADLINE_MS = RECLAIM_MS + SETTLE_MS + 1_000


def submit_load(session, count=40, run_ms=1_500):
    """Submit jobs of all kinds to both entries; returns their request ids."""
    kinds = ('once', 'again', 'urgent', 'resumable', 'gang')
    return [
        (
            ENTRIES[number % 2],
            session.submit(
                ENTRIES[number % 2],
                'alder',
                kinds[number % len(kinds)],
                run_ms=run_ms,
            ),
        )
        for number in range(count)
    ]


class LeavingTargetTest(unittest.TestCase):
    """Nothing starts on a worker later than LEAVE_MS after its notice."""

    def test_stated_seconds(self):
        """Guards against a constant that no longer means a few seconds."""
        self.assertLessEqual(DRAIN_START_WINDOW_MS, 3_000)

    def leave(self, session, worker_id):
        session.drain(session.workers[worker_id].address, DEADLINE_MS)
        return (worker_id, session.now_ms, session.now_ms + 1_000_000)

    def test_under_load(self):
        """Guards against work that entries send on to a leaving worker."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                session = make_session(seed=seed)
                submit_load(session)
                session.run(200)
                drain = self.leave(session, 'w3')
                submit_load(session)
                session.run(60_000)
                self.assertEqual(oracle.check_leaving(session, [drain]), [])

    def test_entries_that_missed_the_notice(self):
        """Guards against entries whose view still shows the worker as free."""
        session = make_session()
        send = session._send

        def lose_announcements(sender, request):
            if not isinstance(request.message, Announce):
                send(sender, request)

        for worker_id in WORKERS[1:]:
            session.kill(session.workers[worker_id].address)
        session.run(7_000)
        session._send = lose_announcements
        drain = self.leave(session, 'w0')
        submit_load(session, count=10)
        session.run(4_000)
        runs = list(session.targets['w0'].runs.values())
        self.assertEqual(runs, [])
        self.assertEqual(oracle.check_leaving(session, [drain]), [])
        refused = [line for line in session.lines if 'reason=draining' in line]
        self.assertTrue(refused)

    def test_holds_that_wait_for_a_reclaim(self):
        """Guards against a hold that is extended until long after the notice."""
        session = make_session()
        for _ in range(60):
            session.submit(ENTRIES[0], 'alder', 'again', run_ms=600_000)
        session.run(5_000)
        session.submit(ENTRIES[0], 'birch', 'soft-gang', run_ms=600_000)
        session.run(200)
        drains = [self.leave(session, worker_id) for worker_id in WORKERS]
        session.run(15_000)
        self.assertEqual(oracle.check_leaving(session, drains), [])


class PlannedStopTest(unittest.TestCase):
    """Graceful shutdown of each role, under load, several at once."""

    def finish(self, session, requests, entry):
        """Check that every caller got an answer and every job a true end."""
        session.run(90_000)
        for address, request_id in requests:
            answer = session.find_response(address, request_id)
            self.assertIsNotNone(answer, f'{address} cut off a request')
            if isinstance(answer, Accepted):
                outcome = find_outcome(session, answer.job_id, entry)
                self.assertEqual(outcome, 'completed')
        names = oracle.collect_job_names(session)
        once = {job for job, name in names.items() if name in ('once', 'gang')}
        self.assertEqual(oracle.check_at_most_once(session, once), [])

    def test_entry_under_load(self):
        """Guards against jobs and requests that go with a stopped entry."""
        for delay_ms in (0, 5, 8, 12, 100, 1_000):
            with self.subTest(delay_ms=delay_ms):
                session = make_session(seed=delay_ms + 1)
                requests = submit_load(session)
                session.run(delay_ms)
                session.drain(ENTRIES[0], DEADLINE_MS)
                self.finish(session, requests, ENTRIES[1])
                self.assertTrue(session.processes[ENTRIES[0]].exited)

    def test_entry_answers_those_who_wait(self):
        """Guards against a long poll that is cut off when its entry leaves."""
        for own in (True, False):
            with self.subTest(own=own):
                session = make_session()
                owner = ENTRIES[0] if own else ENTRIES[1]
                job_id = start_running(session, 'once', owner, run_ms=50_000)
                request_id = session.request(
                    ENTRIES[0],
                    lambda number, job_id=job_id: QueryRequested(
                        number,
                        'alder',
                        job_id,
                        wait_ms=40_000,
                    ),
                )
                session.run(1_000)
                session.drain(ENTRIES[0], DEADLINE_MS)
                session.run(10_000)
                self.assertTrue(session.processes[ENTRIES[0]].exited)
                answer = session.find_response(ENTRIES[0], request_id)
                self.assertIsInstance(answer, JobStatus)

    def test_entry_waits_for_the_store(self):
        """Guards against submissions that are cut off while the store is slow."""
        session = make_session()
        session.store.extra_delay_ms = 2_500
        requests = submit_load(session, count=10)
        session.run(10)
        session.drain(ENTRIES[0], DEADLINE_MS)
        session.run(15_000)
        session.store.extra_delay_ms = 0
        self.finish(session, requests, ENTRIES[1])

    def test_entry_waits_for_another_one_and_the_store(self):
        """Guards against a query that is cut off while it is on its way."""
        session = make_session()
        job_id = start_running(session, 'once', ENTRIES[1], run_ms=50_000)
        session.cut(*ENTRIES)
        session.store.extra_delay_ms = 1_500
        request_id = session.request(
            ENTRIES[0],
            lambda number: QueryRequested(number, 'alder', job_id, wait_ms=40_000),
        )
        session.run(10)
        session.drain(ENTRIES[0], DEADLINE_MS)
        session.run(15_000)
        self.assertTrue(session.processes[ENTRIES[0]].exited)
        self.assertIsNotNone(session.find_response(ENTRIES[0], request_id))

    def test_agent_under_load(self):
        """Guards against running work that a planned stop ends."""
        session = make_session()
        requests = submit_load(session, run_ms=4_000)
        session.run(2_000)
        session.drain(session.workers['w3'].address, DEADLINE_MS)
        self.finish(session, requests, ENTRIES[0])
        self.assertTrue(session.processes[session.workers['w3'].address].exited)

    def test_agent_that_leads_a_gang_with_members_elsewhere(self):
        """Guards against a gang that loses its leader in a planned stop."""
        session = make_session()
        job_id = start_running(session, 'wide-gang', run_ms=8_000)
        session.drain(session.workers[find_worker(session, job_id)].address, 20_000)
        session.run(40_000)
        self.assertEqual(find_outcome(session, job_id), 'completed')

    def test_deadline_stops_long_work_with_a_checkpoint(self):
        """Guards against an agent that never exits, and against lost progress."""
        for job in ('resumable', 'soft-gang'):
            with self.subTest(job=job):
                session = make_session()
                job_id = start_running(session, job, run_ms=40_000)
                workers = {run.worker_id for run in find_runs(session, job_id)}
                for worker_id in workers:
                    session.drain(session.workers[worker_id].address, 5_000)
                session.run(5_000 + AFTER_DEADLINE_MS)
                for worker_id in workers:
                    address = session.workers[worker_id].address
                    self.assertTrue(session.processes[address].exited)
                    session.start_agent(worker_id)
                session.run(90_000)
                self.assertEqual(find_outcome(session, job_id), 'completed')

    def test_several_at_once(self):
        """Guards against two stops that rely on each other."""
        session = make_session()
        requests = submit_load(session, run_ms=3_000)
        session.run(500)
        session.drain(ENTRIES[0], DEADLINE_MS)
        for worker_id in ('w0', 'w3', 'w4'):
            session.drain(session.workers[worker_id].address, DEADLINE_MS)
        session.run(40_000)
        for worker_id in ('w0', 'w3', 'w4'):
            session.start_agent(worker_id)
        self.finish(session, requests, ENTRIES[1])

    def test_all_entries_at_once(self):
        """Guards against jobs that no entry keeps while all are replaced."""
        session = make_session()
        jobs = [accept(session, 'once', run_ms=3_000) for _ in range(20)]
        for address in ENTRIES:
            session.drain(address, DEADLINE_MS)
        session.run(30_000)
        for address in ENTRIES:
            self.assertTrue(session.processes[address].exited)
            session.add_entry(address, 'south')
        session.run(120_000)
        for job_id in jobs:
            self.assertEqual(find_outcome(session, job_id), 'completed')


if __name__ == '__main__':
    unittest.main()
