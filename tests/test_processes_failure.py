"""Tests of processes that are killed, suspended or lose the store."""

import signal
import time

from tests import processes
from tests.processes import SystemTest, poll_until, run_at_once

URGENT = 'price-change-reprint'
RENDER = 'proof-render'
GANG = 'menu-batch'
NON_REPEATABLE_GANG = 'ledger-run'
OWN_TOKEN = 'token-print-shop'
OTHER_TOKEN = 'token-bakeries'
# A member stops when its lease of 3 s expires, at the latest at the next tick,
# 0.25 s later. The rest allows for calls between processes on a busy machine.
PARTIAL_GANG_LIMIT_MS = 3_000 + 250 + 500
LEASE_S = 3.0
ADOPTION_LIMIT_S = 20


class FailureTest(SystemTest):
    """Base class with helpers for tests of failures."""

    def submit_many(self, job, count, run_ms, **options):
        """Submit jobs in parallel and return their ids."""
        return run_at_once(
            lambda _: self.system.submit(job, {'run_ms': run_ms}, **options),
            list(range(count)),
        )

    def await_outcomes(self, job_ids, entry, limit_s=60, token=OWN_TOKEN):
        """Wait for the end of all jobs and return the kinds of their outcomes."""
        outcomes = run_at_once(
            lambda job_id: self.system.await_outcome(
                job_id,
                limit_s,
                entry=entry,
                token=token,
            ),
            job_ids,
            threads=64,
        )
        return [outcome['kind'] for outcome in outcomes]

    def check_single_runs(self, job_ids):
        """Check that no job has started twice."""
        runs = self.system.find_runs()
        for job_id in job_ids:
            self.assertLessEqual(len(runs.get(job_id, [])), 1, runs.get(job_id))

    def find_attempts(self, job_id):
        """Return the runs of a gang by attempt."""
        attempts = {}
        for run in self.system.find_runs().get(job_id, []):
            attempts.setdefault(run['task_id'].partition('/')[0], []).append(run)
        return attempts

    def check_partial_time(self, job_id, members=2):
        """Check that no gang ran partially for longer than the limit."""
        attempts = self.find_attempts(job_id)
        self.assertTrue(attempts)
        for runs in attempts.values():
            self.assertTrue(all(run['end_ms'] for run in runs), runs)
            first = min(run['end_ms'] for run in runs)
            last = max(run['end_ms'] for run in runs)
            if len(runs) < members:
                first = min(run['start_ms'] for run in runs)
            self.assertLessEqual(last - first, PARTIAL_GANG_LIMIT_MS, runs)


class EntryFailureTest(FailureTest):
    """Guards against jobs that are lost or run twice when an entry fails."""

    def test_other_entry_adopts_the_jobs_of_a_killed_entry(self):
        non_repeatable = self.submit_many(URGENT, 24, run_ms=3_000)
        repeatable = self.submit_many(RENDER, 24, run_ms=1_500)
        gang = self.system.submit(NON_REPEATABLE_GANG, {'run_ms': 2_000})
        poll_until(lambda: len(self.system.find_runs()) >= 8)
        states = {
            self.system.find_job(job_id)['state']
            for job_id in non_repeatable + repeatable
        }
        self.assertTrue(states & {'running', 'launching'}, states)
        self.assertIn('queued', states)
        self.system.entries[0].kill()
        kinds = self.await_outcomes(non_repeatable + repeatable + [gang], entry=1)
        self.assertEqual(set(kinds), {'completed'})
        self.check_single_runs(non_repeatable)
        self.assertEqual(len(self.find_attempts(gang)), 1)
        self.system.replace_entry(0, 'entry-3')
        self.system.await_in_force(1)

    def test_suspended_entry_is_fenced_when_it_resumes(self):
        non_repeatable = self.submit_many(URGENT, 24, run_ms=2_000)
        gang = self.system.submit(NON_REPEATABLE_GANG, {'run_ms': 1_000})
        poll_until(lambda: set(non_repeatable) & set(self.system.find_runs()))
        stopped = self.system.entries[0]
        stopped.send_signal(signal.SIGSTOP)
        try:
            other = self.system.entries[1]
            adopted = rf'event=job_adopted job_id=({"|".join(non_repeatable)}) '
            other.find_in_log(adopted, ADOPTION_LIMIT_S)
        finally:
            stopped.send_signal(signal.SIGCONT)
        stopped.find_in_log('event=fenced')
        kinds = self.await_outcomes(non_repeatable + [gang], entry=1)
        self.assertEqual(set(kinds), {'completed'})
        self.check_single_runs(non_repeatable)
        self.assertEqual(len(self.find_attempts(gang)), 1)
        # The suspended entry serves again and reports the same outcomes.
        self.system.await_in_force(1)
        self.assertEqual(
            set(self.await_outcomes(non_repeatable, entry=0)), {'completed'}
        )


class WorkerFailureTest(FailureTest):
    """Guards against partial gangs and second runs when a worker fails."""

    def test_1_suspended_agent_leaves_no_partial_gang(self):
        # The second gang runs in the cells of the other organisation, which the
        # first gang then does not use.
        gangs = [
            self.system.submit(GANG, {'run_ms': 60_000}),
            self.system.submit(
                NON_REPEATABLE_GANG, {'run_ms': 60_000}, token=OTHER_TOKEN
            ),
        ]
        tokens = dict(zip(gangs, (OWN_TOKEN, OTHER_TOKEN), strict=True))
        for job_id in gangs:
            self.system.await_state(job_id, 'running', token=tokens[job_id])
        non_repeatable = self.submit_many(URGENT, 6, run_ms=6_000, token=OTHER_TOKEN)
        poll_until(lambda: set(non_repeatable) <= set(self.system.find_runs()))
        runs = self.system.find_runs()
        # A member of one gang and the leader of the other.
        workers = [
            next(run['worker'] for run in runs[job_id] if run['member'] == member)
            for job_id, member in zip(gangs, (1, 0), strict=True)
        ]
        self.signal_agents(workers, signal.SIGSTOP)
        try:
            poll_until(
                lambda: all(
                    run['end_ms']
                    for job_id in gangs
                    for run in self.system.find_runs()[job_id][:2]
                ),
                text=f'end of the gangs of {workers}',
            )
            # Longer than the lease and the time until the outcomes are settled.
            time.sleep(LEASE_S + 1)
        finally:
            self.signal_agents(workers, signal.SIGCONT)
        kinds = self.await_outcomes(non_repeatable, entry=1, token=OTHER_TOKEN)
        self.assertLessEqual(set(kinds), {'completed', 'unknown', 'failed'})
        self.check_single_runs(non_repeatable)
        for job_id in gangs:
            token = tokens[job_id]
            self.system.call('DELETE', f'/v1/jobs/{job_id}', token=token)
            self.system.await_outcome(job_id, limit_s=30, token=token)
            self.check_partial_time(job_id)
        self.assertEqual(len(self.find_attempts(gangs[1])), 1)
        self.system.await_in_force(1)

    def signal_agents(self, workers, number):
        """Send a signal to the agents of some workers."""
        for worker in workers:
            self.system.agents[worker].send_signal(number)

    def test_2_target_that_fails_everything_is_avoided(self):
        worker = processes.list_workers()[0]
        self.system.set_target_failing(worker, True)
        try:
            # In sequence: the retry budget is a share of the starts, so the retries of
            # a burst would wait up to the budget's window of 65 s.
            repeatable = []
            for number in range(20):
                job_id = self.system.submit(RENDER, {'run_ms': 20})
                repeatable.append(job_id)
                outcome = self.system.await_outcome(job_id, entry=number % 2)
                self.assertEqual(outcome['kind'], 'completed')
            runs = self.system.find_runs()
            failed = [
                run
                for job_id in repeatable
                for run in runs[job_id]
                if run['worker'] == worker
            ]
            self.assertLess(len(failed), len(repeatable) / 2)
            non_repeatable = self.submit_many(URGENT, 8, run_ms=20)
            self.assertLessEqual(
                set(self.await_outcomes(non_repeatable, entry=1)),
                {'completed', 'failed'},
            )
            self.check_single_runs(non_repeatable)
        finally:
            self.system.set_target_failing(worker, False)

    def test_3_restarted_agent_is_a_new_incarnation(self):
        non_repeatable = self.submit_many(URGENT, 12, run_ms=2_500)
        repeatable = self.submit_many(RENDER, 12, run_ms=1_000)
        runs = poll_until(
            lambda: {
                job_id: found
                for job_id, found in self.system.find_runs().items()
                if job_id in non_repeatable and not found[0]['end_ms']
            },
        )
        worker = next(iter(runs.values()))[0]['worker']
        self.system.agents[worker].kill()
        self.system.start_agent(worker, name=f'agent-{worker}-again')
        kinds = self.await_outcomes(non_repeatable + repeatable, entry=1)
        self.check_single_runs(non_repeatable)
        ends = dict(zip(non_repeatable + repeatable, kinds, strict=True))
        for job_id in non_repeatable:
            self.assertIn(ends[job_id], ('completed', 'unknown'))
        self.assertIn('unknown', kinds[: len(non_repeatable)])
        self.assertEqual(set(kinds[len(non_repeatable) :]), {'completed'})
        self.system.await_in_force(1)


# Without store calls an entry accepts over 800 jobs a second, more than the targets
# can run. The queue limit, which has its own tests, would then refuse some jobs.
SUBMIT_PAUSE_S = 0.02


class StoreFailureTest(FailureTest):
    """Guards against jobs lost, run twice or wrongly refused in a store outage."""

    def test_outage_does_not_stop_jobs(self):
        for down in ('refuse', 'hang'):
            with self.subTest(down=down):
                self.run_outage(down)

    def run_outage(self, down):
        before = self.submit_many(URGENT, 12, run_ms=1_000)
        self.system.set_store_fault(down=down)
        try:
            deadline = time.monotonic() + 4
            during = []
            while time.monotonic() < deadline:
                during += self.submit_many(RENDER, 2, run_ms=50, entry=len(during) % 2)
                time.sleep(SUBMIT_PAUSE_S)
            # Repeatable jobs run without the store.
            poll_until(
                lambda: set(during[:2]) <= set(self.system.find_runs()),
                text='a run of a job that was submitted in the outage',
            )
        finally:
            self.system.set_store_fault(down='')
        poll_until(
            lambda: all(self.system.find_status(n).get('store_up') for n in (0, 1)),
        )
        kinds = self.await_outcomes(before + during, entry=1)
        self.assertEqual(set(kinds), {'completed'})
        self.check_single_runs(before)

    def test_lost_replies_to_writes(self):
        self.system.set_store_fault(lose_answers=12)
        document = {'job': URGENT, 'payload': {'run_ms': 100}}

        def submit(number):
            headers = {'Idempotency-Key': f'lost-{number}'}

            def find_id():
                entry = number % 2
                reply = self.system.call(
                    'POST',
                    '/v1/jobs',
                    document,
                    headers=headers,
                    entry=entry,
                )
                return reply.document['job_id'] if reply.status == 202 else ''

            return poll_until(find_id, text=f'submission {number}')

        job_ids = run_at_once(submit, list(range(12)))
        self.assertEqual(len(set(job_ids)), 12)
        self.assertEqual(set(self.await_outcomes(job_ids, entry=1)), {'completed'})
        self.check_single_runs(job_ids)
