"""Invariant 5: a job that is not repeatable runs at most once, and none is lost."""

import itertools
import unittest

from tests import oracle
from tests.fleet import ENTRIES
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    make_simulation,
    query_status,
    start_running,
)
from yuccarelay.core.effects import Accepted
from yuccarelay.core.events import MessageReceived, Tick
from yuccarelay.core.messages import FetchAnswer
from yuccarelay.core.models import JobState
from yuccarelay.core.timing import ENDED_RETENTION_MS, LEASE_MS

# Events of the owner entry from the submission to the end of one job, and those of
# the agent; the tests check that the paths are not longer.
ENTRY_EVENTS = 12
AGENT_EVENTS = 8
LONG_MS = 600_000


def count_events(simulation, address, job='once', organisation='alder'):
    """Return the events besides ticks that a process takes during one job."""
    deliver = simulation.deliver
    seen = []

    def count(process, event):
        if process.address == address and not isinstance(event, Tick):
            seen.append(event)
        deliver(process, event)

    simulation.deliver = count
    job_id = accept(simulation, job, organisation=organisation, run_ms=200)
    simulation.run_until(lambda: simulation.lines[-1].split()[1] == 'job_ended', 10_000)
    return job_id, len(seen)


class AtMostOnceTest(unittest.TestCase):
    """Crashes at each step of the path, and retries of the caller."""

    def assert_once(self, simulation, job_id=None):
        names = oracle.collect_job_names(simulation)
        once = {name for name, kind in names.items() if kind in ('once', 'wide-gang')}
        self.assertEqual(oracle.check_at_most_once(simulation, once), [])
        self.assertEqual(oracle.check_nothing_ran(simulation), [])
        if job_id:
            self.assertLessEqual(len(find_runs(simulation, job_id)), 1)

    def find_only_job(self, simulation):
        records = list(simulation.store.records.values())
        self.assertLessEqual(len(records), 1)
        return records[0][0].job_id if records else ''

    def test_length_of_the_path(self):
        """Guards against crash points that the next two tests would not reach."""
        _, events = count_events(make_simulation(), ENTRIES[0])
        self.assertLessEqual(events, ENTRY_EVENTS)
        simulation = make_simulation()
        worker_id = find_runs(simulation, start_running(simulation, 'once', run_ms=50))
        address = simulation.workers[worker_id[0].worker_id].address
        simulation.run(3_000)
        _, events = count_events(simulation, address)
        self.assertLessEqual(events, AGENT_EVENTS)

    def test_entry_killed_at_each_event(self):
        """Guards against a step between whose effects a crash runs the job twice."""
        for event in range(1, ENTRY_EVENTS + 1):
            for kept in (0, 1, 2, 99):
                with self.subTest(event=event, kept=kept):
                    simulation = make_simulation(seed=event)
                    simulation.crash_at(ENTRIES[0], event, kept)
                    simulation.submit(ENTRIES[0], 'alder', 'once', key='k', run_ms=200)
                    simulation.run(2_000)
                    again = simulation.submit(
                        ENTRIES[1],
                        'alder',
                        'once',
                        key='k',
                        run_ms=200,
                    )
                    simulation.run(60_000)
                    answer = simulation.find_response(ENTRIES[1], again)
                    self.assertIsInstance(answer, Accepted)
                    job_id = self.find_only_job(simulation)
                    self.assertEqual(answer.job_id, job_id)
                    self.assert_once(simulation, job_id)
                    outcome = find_outcome(simulation, job_id, ENTRIES[1])
                    self.assertEqual(outcome, 'completed')

    def test_agent_killed_at_each_event(self):
        """Guards against a second run by an agent that forgot the first."""
        for event in range(1, AGENT_EVENTS + 1):
            for kept in (0, 1, 2, 99):
                with self.subTest(event=event, kept=kept):
                    simulation = make_simulation()
                    first = start_running(simulation, 'once', run_ms=50)
                    worker_id = find_runs(simulation, first)[0].worker_id
                    address = simulation.workers[worker_id].address
                    simulation.run(3_000)
                    simulation.crash_at(address, event, kept)
                    job_id = accept(simulation, 'once', run_ms=200)
                    simulation.run(1_000)
                    if not simulation.processes[address].alive:
                        simulation.start_agent(worker_id)
                    simulation.run(60_000)
                    self.assert_once(simulation, job_id)
                    self.assertIn(
                        find_outcome(simulation, job_id),
                        ('completed', 'unknown'),
                    )

    def test_gang_entry_killed_at_each_event(self):
        """Guards against a gang that an adopter starts a second time."""
        for event in range(1, 20):
            with self.subTest(event=event):
                simulation = make_simulation(seed=event)
                simulation.crash_at(ENTRIES[0], event, event % 3)
                simulation.submit(ENTRIES[0], 'alder', 'wide-gang', key='k', run_ms=300)
                simulation.run(60_000)
                self.assert_once(simulation)
                for job_id in oracle.collect_job_names(simulation):
                    self.assertLessEqual(len(find_runs(simulation, job_id)), 3)

    def test_store_down_or_silent_at_each_moment(self):
        """Guards against a launch under a record that nobody wrote."""
        for delay_ms in range(0, 40, 4):
            for lost in (0, 1, 2):
                with self.subTest(delay_ms=delay_ms, lost=lost):
                    simulation = make_simulation(seed=delay_ms + 1)
                    simulation.submit(ENTRIES[0], 'alder', 'once', key='k', run_ms=200)
                    simulation.run(delay_ms)
                    simulation.store.lost_answers = lost
                    if not lost:
                        simulation.store.set_up(False)
                    simulation.run(8_000)
                    if not lost:
                        simulation.store.set_up(True)
                    # The entries notice the end of the outage.
                    simulation.run(4_000)
                    simulation.submit(ENTRIES[1], 'alder', 'once', key='k', run_ms=200)
                    simulation.run(60_000)
                    job_id = self.find_only_job(simulation)
                    self.assert_once(simulation, job_id)
                    self.assertEqual(len(find_runs(simulation, job_id)), 1)

    def test_paused_owner_resumes_after_its_registration(self):
        """Guards against an owner that launches what another entry has adopted."""
        for delay_ms in range(0, 50, 3):
            with self.subTest(delay_ms=delay_ms):
                simulation = make_simulation(seed=delay_ms + 1)
                simulation.submit(ENTRIES[0], 'alder', 'once', key='k', run_ms=LONG_MS)
                simulation.run(delay_ms)
                simulation.pause(ENTRIES[0])
                simulation.run(40_000)
                simulation.resume(ENTRIES[0])
                simulation.run(60_000)
                self.assert_once(simulation)

    def test_paused_owner_is_behind_the_agents(self):
        """Guards against an owner that acts on attempts the agents have ended."""
        for job, run_ms in itertools.product(('once', 'resumable'), (5_000, 30_000)):
            with self.subTest(job=job, run_ms=run_ms):
                simulation = make_simulation()
                job_id = start_running(simulation, job, run_ms=run_ms)
                waiting = accept(simulation, 'wide-gang', run_ms=200)
                simulation.pause(ENTRIES[0])
                simulation.run(45_000)
                simulation.resume(ENTRIES[0])
                simulation.run(60_000)
                for entry in ENTRIES:
                    for name in (job_id, waiting):
                        kind = find_outcome(simulation, name, entry)
                        self.assertEqual(kind, 'completed')
                self.assertEqual(len(find_runs(simulation, job_id)), 1)
                self.assert_once(simulation, job_id)

    def test_paused_agent_resumes_after_its_leases(self):
        """Guards against a start that was in the mailbox of a paused agent."""
        for delay_ms in range(0, 60, 5):
            with self.subTest(delay_ms=delay_ms):
                simulation = make_simulation(seed=delay_ms + 1)
                request_id = simulation.submit(
                    ENTRIES[0], 'alder', 'once', run_ms=2_000
                )
                simulation.run(delay_ms)
                addresses = [state.address for state in simulation.workers.values()]
                for address in addresses:
                    simulation.pause(address)
                simulation.run(LEASE_MS + 17_000)
                for address in addresses:
                    simulation.resume(address)
                simulation.run(60_000)
                job_id = simulation.find_response(ENTRIES[0], request_id).job_id
                self.assert_once(simulation, job_id)

    def test_adopter_that_knows_only_the_record(self):
        """Guards against a second run by an adopter that no agent could tell."""
        simulation = make_simulation()
        simulation.cut(*ENTRIES)
        for state in simulation.workers.values():
            simulation.cut(ENTRIES[1], state.address)
        simulation.submit(ENTRIES[0], 'alder', 'once', run_ms=LONG_MS)
        simulation.run_until(lambda: bool(oracle.collect_runs(simulation)), 5_000)
        job_id = self.find_only_job(simulation)
        leader = simulation.workers[find_runs(simulation, job_id)[0].worker_id].address
        simulation.kill(ENTRIES[0])
        simulation.heal()
        simulation.cut(ENTRIES[1], leader)
        simulation.run(60_000)
        self.assert_once(simulation, job_id)
        self.assertEqual(find_outcome(simulation, job_id, ENTRIES[1]), 'unknown')

    def test_store_outage_longer_than_ends_are_kept(self):
        """Guards against a second run when the owner died in a long outage."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'once', run_ms=5_000)
        simulation.store.set_up(False)
        simulation.kill(ENTRIES[0])
        simulation.run(ENDED_RETENTION_MS + 60_000)
        simulation.store.set_up(True)
        simulation.run(60_000)
        self.assertEqual(len(find_runs(simulation, job_id)), 1)
        self.assertEqual(find_outcome(simulation, job_id, ENTRIES[1]), 'completed')

    def test_slow_store_does_not_lose_the_holds(self):
        """Guards against holds that lapse while the attempt is being recorded."""
        simulation = make_simulation()
        simulation.store.extra_delay_ms = 3_400
        job_id = accept(simulation, 'wide-gang', run_ms=200)
        simulation.run(10_000)
        failed = [line for line in simulation.lines if 'acquire_failed' in line]
        self.assertEqual(failed, [])
        self.assertEqual(len(find_runs(simulation, job_id)), 3)


class AcceptedWorkTest(unittest.TestCase):
    """Accepted jobs outlive the entry that accepted them."""

    def test_other_entry_adopts_the_jobs_of_a_dead_one(self):
        """Guards against accepted work that is lost with its entry."""
        simulation = make_simulation()
        kinds = ('once', 'again', 'urgent', 'resumable', 'gang')
        jobs = [accept(simulation, kind, run_ms=3_000) for kind in kinds * 4]
        simulation.kill(ENTRIES[0])
        simulation.run(90_000)
        for job_id in jobs:
            self.assertEqual(find_outcome(simulation, job_id, ENTRIES[1]), 'completed')
        once = {
            job for job, kind in zip(jobs, kinds * 4, strict=True) if kind == 'once'
        }
        self.assertEqual(oracle.check_at_most_once(simulation, once), [])

    def test_both_entries_die_and_new_ones_come(self):
        """Guards against accepted work that only live entries know."""
        simulation = make_simulation()
        jobs = [accept(simulation, 'once', run_ms=20_000) for _ in range(10)]
        for address in ENTRIES:
            simulation.kill(address)
        simulation.run(30_000)
        for address in ENTRIES:
            simulation.add_entry(address, 'south')
        simulation.run(120_000)
        for job_id in jobs:
            self.assertEqual(find_outcome(simulation, job_id), 'completed')


class AnswerTest(unittest.TestCase):
    """Invariant 3: each caller hears of its own job, however replies arrive."""

    def test_disturbed_replies(self):
        """Guards against replies that are taken for those of another attempt."""
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                simulation = make_simulation(seed=seed)
                simulation.faults = simulation.faults._replace(
                    lose=0.05,
                    late=0.2,
                    duplicate=0.2,
                )
                jobs = {}
                for number in range(12):
                    kind = ('once', 'again', 'gang')[number % 3]
                    request_id = simulation.submit(
                        ENTRIES[number % 2],
                        'alder',
                        kind,
                        run_ms=100 + number,
                    )
                    jobs[(ENTRIES[number % 2], request_id)] = kind
                simulation.run(30_000)
                simulation.faults = simulation.faults._replace(
                    lose=0, late=0, duplicate=0
                )
                simulation.run(120_000)
                self.check_reported_states(simulation, jobs)

    def check_reported_states(self, simulation, jobs):
        ids = {}
        for (entry, request_id), kind in jobs.items():
            ids[simulation.find_response(entry, request_id).job_id] = kind
        self.assertEqual(len(ids), len(jobs))
        for job_id, kind in ids.items():
            status = query_status(simulation, job_id)
            self.assertEqual((status.job_id, status.job_name), (job_id, kind))
            self.assertIsNotNone(status.outcome)
            members = 3 if kind == 'gang' else 1
            for part in status.outcome.parts:
                self.assertTrue(part.attempt_id.startswith(f'{job_id}.'))
            self.assertIn(len(status.outcome.parts), (0, members))
        members = {job: 3 if kind == 'gang' else 1 for job, kind in ids.items()}
        self.assertEqual(oracle.check_completed(simulation, members), [])
        self.assertEqual(oracle.check_nothing_ran(simulation), [])

    def test_reply_of_an_earlier_attempt_is_ignored(self):
        """Guards against an end that belongs to an attempt of the past."""
        simulation = make_simulation()
        job_id = accept(simulation, 'again', run_ms=50, fail=True)
        simulation.run(150)
        entry = simulation.processes[ENTRIES[0]].core
        report = next(
            process.core.attempt_records.ended[f'{job_id}.1'].report
            for process in simulation.processes.values()
            if not process.is_entry
            and f'{job_id}.1' in process.core.attempt_records.ended
        )
        simulation.run_until(
            lambda: (
                entry.state.jobs[job_id].attempt > 1
                and entry.state.jobs[job_id].state is JobState.RUNNING
            ),
            5_000,
        )
        before = entry.state.jobs[job_id]
        entry.step(MessageReceived(report, 999_999), simulation.now_ms)
        self.assertEqual(entry.state.jobs[job_id], before)

    def test_entry_dies_and_the_caller_asks_another(self):
        """Guards against an answer that only the dead entry could find."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'once', run_ms=2_000)
        simulation.kill(ENTRIES[0])
        simulation.run(60_000)
        status = query_status(simulation, job_id, ENTRIES[1])
        self.assertEqual(status.outcome.kind, 'completed')
        part = status.outcome.parts[0]
        agent = simulation.processes[part.address].core
        message = FetchAnswer(part.attempt_id, part.member, 0, part.length)
        effects = agent.step(MessageReceived(message, 77), simulation.now_ms)
        self.assertEqual(effects[0].attempt_id, part.attempt_id)

    def test_other_organisations_do_not_see_the_job(self):
        """Guards against an answer that is given to another caller."""
        simulation = make_simulation()
        job_id = start_running(simulation, 'once', run_ms=100)
        for entry in ENTRIES:
            answer = query_status(simulation, job_id, entry, organisation='birch')
            self.assertEqual(answer.code, 'not_found')


if __name__ == '__main__':
    unittest.main()
