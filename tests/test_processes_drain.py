"""Tests of the drain of processes under load."""

import hashlib
import http.client
import signal
import threading
import time

from tests import processes
from tests.processes import POLL_S, STOP_LIMIT_S, SystemTest, poll_until

URGENT = 'price-change-reprint'
RENDER = 'proof-render'
ANSWER_BYTES = 3_000_000
# Long enough that the drained worker has running jobs.
RUN_MS = 300
CALLERS = 6
SHORT_DRAIN_S = 1


class Balancer:
    """Chooses among the entries whose health check succeeds, as the platform does."""

    def __init__(self, system):
        self.system = system
        self.healthy = [0, 1]
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.poll_health)
        self.thread.start()

    def poll_health(self):
        while not self.stopped.wait(0.2):
            self.healthy = [number for number in (0, 1) if self.is_healthy(number)]

    def is_healthy(self, number):
        try:
            return self.system.call('GET', '/healthz', entry=number).status == 200
        except OSError:
            return False

    def choose_entry(self, number):
        healthy = self.healthy
        return healthy[number % len(healthy)]

    def close(self):
        self.stopped.set()
        self.thread.join()


class Caller(threading.Thread):
    """Submits jobs one after the other and records their ends and all errors."""

    def __init__(self, number, system, balancer):
        super().__init__()
        self.number = number
        self.system = system
        self.balancer = balancer
        self.stopped = threading.Event()
        self.ended = []
        self.errors = []

    def call(self, method, path, document=None, **options):
        """Call a healthy entry; record an interrupted request as an error."""
        entry = self.balancer.choose_entry(self.number)
        try:
            return self.system.call(method, path, document, entry=entry, **options)
        except (OSError, http.client.HTTPException) as error:
            self.errors.append(f'{method} {path} at entry {entry + 1}: {error!r}')
            return None

    def run(self):
        count = 0
        while not self.stopped.is_set():
            count += 1
            self.run_job(f'{self.number}/{count}')

    def run_job(self, text):
        name = URGENT if self.number % 2 else RENDER
        document = {'job': name, 'payload': {'run_ms': RUN_MS, 'echo': text}}
        reply = self.call('POST', '/v1/jobs', document)
        if reply is None or reply.status == 503:
            time.sleep(POLL_S)
            return
        job_id = reply.document['job_id']
        for _ in range(30):
            reply = self.call('GET', f'/v1/jobs/{job_id}?wait_ms=2000')
            if reply is not None and reply.status == 200 and reply.document['outcome']:
                self.check_end(job_id, text, reply.document['outcome'])
                return
            time.sleep(POLL_S)
        self.errors.append(f'job {job_id} did not end: {reply}')

    def check_end(self, job_id, text, outcome):
        self.ended.append(job_id)
        if outcome['kind'] != 'completed':
            self.errors.append(f'{job_id}: {outcome}')
            return
        reply = None
        for _ in range(10):
            reply = self.call('GET', f'/v1/jobs/{job_id}/answer')
            if reply is not None and reply.status == 200:
                break
            time.sleep(POLL_S)
        if reply is None or reply.body != text.encode():
            self.errors.append(f'wrong answer of {job_id}: {reply}')


class DrainTest(SystemTest):
    """Guards against drains that interrupt requests or lose jobs or answers."""

    def stop(self, process):
        """Send SIGTERM and return the exit status."""
        process.send_signal(signal.SIGTERM)
        return process.popen.wait(STOP_LIMIT_S)

    def find_member_workers(self, job_id: str) -> list[str]:
        """Return the workers with a short drain that list a member of a gang."""
        return [
            run['worker']
            for run in self.system.find_runs().get(job_id, [])
            if run['member'] and run['worker'] != processes.list_workers()[0]
        ]

    def test_1_answers_remain_available_after_agents_drain(self):
        work = {'run_ms': 50, 'answer_bytes': ANSWER_BYTES}
        job_ids = [self.system.submit(RENDER, work) for _ in range(4)]
        for job_id in job_ids:
            self.assertEqual(self.system.await_outcome(job_id)['kind'], 'completed')
        workers = processes.list_workers()
        for worker in workers:
            started = time.monotonic()
            self.assertEqual(self.stop(self.system.agents[worker]), 0)
            # Well before the drain deadline: the entries hold the answers by then.
            self.assertLess(time.monotonic() - started, processes.DRAIN_S / 2)
        expected = hashlib.sha256(b'a' * ANSWER_BYTES).hexdigest()
        for entry in (0, 1):
            for job_id in job_ids:
                path = f'/v1/jobs/{job_id}/answer'
                reply = self.system.call('GET', path, entry=entry)
                self.assertEqual(reply.status, 200, reply.body[:200])
                self.assertEqual(hashlib.sha256(reply.body).hexdigest(), expected)
        for worker in workers:
            is_short_drain = worker != processes.list_workers()[0]
            self.system.start_agent(
                worker,
                name=f'agent-{worker}-again',
                drain_s=SHORT_DRAIN_S if is_short_drain else processes.DRAIN_S,
            )
        self.system.await_in_force(1)

    def test_2_agent_with_a_running_gang_member_ends_at_the_drain_deadline(self):
        # A gang that runs longer than the drain time must not delay the end of a drain.
        job_id = self.system.submit('seasonal-batch', {'run_ms': 60_000})
        self.system.await_state(job_id, 'running')
        # Targets list a start up to 0.4 s after the job is shown as running.
        worker = poll_until(lambda: self.find_member_workers(job_id))[0]
        started = time.monotonic()
        self.assertEqual(self.stop(self.system.agents[worker]), 0)
        self.assertLess(time.monotonic() - started, SHORT_DRAIN_S + 7)
        self.system.call('DELETE', f'/v1/jobs/{job_id}')
        self.system.await_outcome(job_id)
        self.system.start_agent(worker, name=f'agent-{worker}-third')
        self.system.await_in_force(1)

    def test_3_each_role_drains_under_load(self):
        balancer = Balancer(self.system)
        callers = [Caller(number, self.system, balancer) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        try:
            poll_until(lambda: all(len(caller.ended) > 1 for caller in callers))
            worker = processes.list_workers()[0]
            agent_status = self.stop(self.system.agents[worker])
            entry_status = self.stop(self.system.entries[0])
            before = [len(caller.ended) for caller in callers]
            poll_until(
                lambda: all(
                    len(caller.ended) > count
                    for caller, count in zip(callers, before, strict=True)
                ),
            )
        finally:
            for caller in callers:
                caller.stopped.set()
            for caller in callers:
                caller.join()
            balancer.close()
        self.assertEqual((agent_status, entry_status), (0, 0))
        self.assertEqual([error for one in callers for error in one.errors], [])
        runs = self.system.find_runs()
        for caller in callers:
            for job_id in caller.ended:
                self.assertEqual(len(runs[job_id]), 1, runs[job_id])

    def test_4_remaining_processes_drain(self):
        order = ('agent', 'entry', 'target', 'store')
        for role in order:
            running = [
                process
                for process in self.system.processes
                if process.role == role and process.is_running
            ]
            for process in running:
                process.send_signal(signal.SIGTERM)
            for process in running:
                self.assertEqual(process.popen.wait(STOP_LIMIT_S), 0, process.name)
