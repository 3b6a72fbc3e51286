"""Tests of a store outage that outlasts the entries' registrations."""

import unittest

from tests.fleet import ENTRIES, make_simulation
from yuccarelay.core.effects import Accepted, IdMinted, NotAccepted
from yuccarelay.core.events import IdRequested
from yuccarelay.core.models import Completed

OUTAGE_MS = 60_000
ENTRY = ENTRIES[0]


class LongOutageTest(unittest.TestCase):
    """Guards against an entry that stops working once its lease cannot be renewed."""

    def setUp(self):
        self.simulation = make_simulation()
        self.simulation.submit(ENTRY, 'alder', 'again', run_ms=3 * OUTAGE_MS // 2)
        self.simulation.run(1_000)
        request_id = self.simulation.request(
            ENTRY,
            lambda number: IdRequested(number, 'alder'),
        )
        self.simulation.run(50)
        minted = self.simulation.find_response(ENTRY, request_id)
        self.assertIsInstance(minted, IdMinted)
        self.job_id = minted.job_id
        self.simulation.store.set_up(False)
        self.simulation.run(OUTAGE_MS // 2)

    def submit(self, job: str, **fields: str) -> object:
        request_id = self.simulation.submit(ENTRY, 'alder', job, run_ms=500, **fields)
        self.simulation.run(5_000)
        return self.simulation.find_response(ENTRY, request_id)

    def test_job_under_an_id_from_before_runs_once(self):
        answer = self.submit('once', job_id=self.job_id)
        self.assertEqual(answer, Accepted(self.job_id, durable=False))
        job = self.simulation.processes[ENTRY].core.state.jobs[self.job_id]
        self.assertIsInstance(job.outcome, Completed)
        self.simulation.store.set_up(True)
        self.simulation.run(20_000)
        runs = [
            run
            for target in self.simulation.targets.values()
            for run in target.runs.values()
            if run.job_id == self.job_id
        ]
        self.assertEqual(len(runs), 1)
        self.assertIn(self.job_id, self.simulation.store.records)

    def test_repeatable_job_runs_during_the_outage(self):
        answer = self.submit('again')
        self.assertFalse(answer.durable)
        job = self.simulation.processes[ENTRY].core.state.jobs[answer.job_id]
        self.assertIsInstance(job.outcome, Completed)

    def test_job_with_a_key_is_not_accepted(self):
        answer = self.submit('once', key='k')
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'store_unavailable')

    def test_all_jobs_have_one_owner_afterwards(self):
        self.simulation.store.set_up(True)
        self.simulation.run(2 * OUTAGE_MS)
        owners = [
            process.address
            for process in self.simulation.processes.values()
            if process.is_entry
            for job in process.core.state.jobs.values()
            if isinstance(job.outcome, Completed)
        ]
        self.assertEqual(len(owners), 1)


class RegionCutFromStoreTest(unittest.TestCase):
    """Guards against adoption of jobs whose entries work on behind a cut."""

    def test_other_region_leaves_the_jobs_alone(self):
        simulation = make_simulation()
        simulation.add_entry('127.0.0.1:7003', 'north')
        simulation.run(2_000)
        simulation.submit(ENTRY, 'alder', 'once', run_ms=60_000)
        simulation.run(1_000)
        for entry in ENTRIES:
            simulation.pause(entry)
        simulation.run(30_000)
        self.assertEqual(simulation.processes['127.0.0.1:7003'].core.state.jobs, {})
        for entry in ENTRIES:
            simulation.resume(entry)
        simulation.run(60_000)
        outcomes = [
            job.outcome
            for entry in ENTRIES
            for job in simulation.processes[entry].core.state.jobs.values()
        ]
        self.assertEqual([type(outcome) for outcome in outcomes], [Completed])
