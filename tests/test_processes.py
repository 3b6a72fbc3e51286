"""
Tests of the system as separate processes that communicate over TCP.

Each class starts its own processes and ends only these.
"""

import hashlib

from tests import processes
from tests.processes import SystemTest, run_at_once

MEGABYTE = 1_000_000
URGENT = 'price-change-reprint'
RENDER = 'proof-render'
GANG = 'seasonal-batch'


class UseTest(SystemTest):
    """Guards against faults that occur only between separate processes."""

    def test_agents_register_at_both_entries(self):
        self.assertEqual(self.system.commit_reply.status, 200)
        for entry in range(2):
            workers = self.system.find_status(entry)['workers']
            names = [worker['worker'] for worker in workers]
            self.assertEqual(names, processes.list_workers())
            domains = {worker['domain'] for worker in workers}
            self.assertEqual(domains, set(processes.DOMAINS))

    def test_job_outcome_is_read_at_the_other_entry(self):
        job_id = self.system.submit(URGENT, {'run_ms': 300, 'echo': 'order 7'})
        outcome = self.system.await_outcome(job_id, entry=1)
        self.assertEqual(outcome['kind'], 'completed')
        answer = self.system.call('GET', f'/v1/jobs/{job_id}/answer', entry=1)
        self.assertEqual((answer.status, answer.body), (200, b'order 7'))

    def test_large_parallel_answers_match_their_requests(self):
        # Distinct lengths make the answers of the jobs distinguishable.
        lengths = [3 * MEGABYTE + number * 700_001 for number in range(8)]

        def fetch(item):
            number, length = item
            work = {'run_ms': 50, 'answer_bytes': length}
            job_id = self.system.submit(RENDER, work, entry=number % 2)
            other = (number + 1) % 2
            outcome = self.system.await_outcome(job_id, entry=other)
            path = f'/v1/jobs/{job_id}/answer'
            return outcome, self.system.call('GET', path, entry=other)

        for length, (outcome, answer) in zip(
            lengths,
            run_at_once(fetch, list(enumerate(lengths))),
            strict=True,
        ):
            expected = hashlib.sha256(b'a' * length).hexdigest()
            self.assertEqual(outcome['kind'], 'completed')
            self.assertEqual(answer.status, 200, answer.body[:200])
            self.assertEqual(answer.headers['content-length'], str(length))
            self.assertEqual(hashlib.sha256(answer.body).hexdigest(), expected)
            self.assertEqual(answer.headers['x-content-sha256'], expected)

    def test_200_small_parallel_jobs_through_both_entries(self):
        def run(number):
            name = URGENT if number % 4 else RENDER
            work = {'run_ms': 10, 'echo': f'order {number}'}
            job_id = self.system.submit(name, work, entry=number % 2)
            outcome = self.system.await_outcome(job_id, entry=number % 2)
            path = f'/v1/jobs/{job_id}/answer'
            answer = self.system.call('GET', path, entry=(number + 1) % 2)
            return job_id, outcome['kind'], answer.body

        results = run_at_once(run, list(range(200)), threads=200)
        runs = self.system.find_runs()
        for number, (job_id, kind, body) in enumerate(results):
            self.assertEqual((kind, body), ('completed', f'order {number}'.encode()))
            self.assertEqual(len(runs[job_id]), 1)

    def test_gang_runs_on_several_workers_and_answers_in_member_order(self):
        job_id = self.system.submit(GANG, {'run_ms': 500, 'echo': 'part.'})
        outcome = self.system.await_outcome(job_id, entry=1)
        self.assertEqual(outcome['kind'], 'completed')
        self.assertEqual([part['member'] for part in outcome['parts']], [0, 1, 2])
        answer = self.system.call('GET', f'/v1/jobs/{job_id}/answer')
        self.assertEqual(answer.body, b'part.' * 3)
        runs = self.system.find_runs()[job_id]
        self.assertEqual(len({run['worker'] for run in runs}), 3)

    def test_repeated_idempotency_key_at_the_other_entry_returns_the_first_job(self):
        headers = {'Idempotency-Key': 'menu-41'}
        first = self.system.submit(URGENT, {'echo': 'x'}, headers=headers)
        second = self.system.submit(URGENT, {'echo': 'x'}, headers=headers, entry=1)
        self.assertEqual(first, second)
        self.system.await_outcome(first)
        self.assertEqual(len(self.system.find_runs()[first]), 1)

    def test_running_job_is_cancelled_through_the_other_entry(self):
        job_id = self.system.submit(RENDER, {'run_ms': 60_000})
        self.system.await_state(job_id, 'running')
        reply = self.system.call('DELETE', f'/v1/jobs/{job_id}', entry=1)
        self.assertEqual(reply.status, 200)
        outcome = self.system.await_outcome(job_id, limit_s=10)
        self.assertEqual(outcome['kind'], 'cancelled_after_start')
        run = self.system.find_runs()[job_id][0]
        self.assertEqual(run['state'], 'stopped')

    def test_other_organisation_cannot_access_a_job(self):
        job_id = self.system.submit(URGENT, {'echo': 'secret'})
        self.system.await_outcome(job_id)
        for entry in range(2):
            for method, path in (
                ('GET', f'/v1/jobs/{job_id}'),
                ('GET', f'/v1/jobs/{job_id}/answer'),
                ('DELETE', f'/v1/jobs/{job_id}'),
            ):
                reply = self.system.call(
                    method,
                    path,
                    token='token-bakeries',
                    entry=entry,
                )
                self.assertEqual(reply.status, 404)
                self.assertEqual(reply.document['code'], 'not_found')

    def test_commit_takes_effect_everywhere_and_an_outdated_one_is_refused(self):
        generation = self.system.find_status()['generation']
        manifest = processes.make_manifest()
        manifest['organisations']['bakeries']['weight'] = 2
        reply = self.system.commit(manifest, generation, entry=1)
        self.assertEqual(reply.status, 200)
        committed = reply.document['generation']
        self.system.await_in_force(committed, limit_s=9)
        refused = self.system.commit(manifest, generation)
        self.assertEqual(refused.status, 409)
        self.assertEqual(refused.document['generation'], committed)
