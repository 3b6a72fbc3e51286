"""Tests of a store outage that outlasts the entries' registrations."""

import unittest

from tests.fleet import ENTRIES, make_session
from yuccarelay.core.effects import Accepted, IdMinted, NotAccepted
from yuccarelay.core.events import IdRequested
from yuccarelay.core.models import Completed

OUTAGE_MS = 60_000
ENTRY = ENTRIES[0]


class LongOutageTest(unittest.TestCase):
    """Guards against an entry that stops working once its lease cannot be renewed."""

    def setUp(self):
        self.session = make_session()
        self.session.submit(ENTRY, 'alder', 'again', run_ms=3 * OUTAGE_MS // 2)
        self.session.run(1_000)
        request_id = self.session.request(
            ENTRY,
            lambda number: IdRequested(number, 'alder'),
        )
        self.session.run(50)
        minted = self.session.find_response(ENTRY, request_id)
        self.assertIsInstance(minted, IdMinted)
        self.job_id = minted.job_id
        self.session.store.set_up(False)
        self.session.run(OUTAGE_MS // 2)

    def submit(self, job: str, **fields: str) -> object:
        request_id = self.session.submit(ENTRY, 'alder', job, run_ms=500, **fields)
        self.session.run(5_000)
        return self.session.find_response(ENTRY, request_id)

    def test_job_under_an_id_from_before_runs_once(self):
        answer = self.submit('once', job_id=self.job_id)
        self.assertEqual(answer, Accepted(self.job_id, durable=False))
        job = self.session.processes[ENTRY].core.state.jobs[self.job_id]
        self.assertIsInstance(job.outcome, Completed)
        self.session.store.set_up(True)
        self.session.run(20_000)
        runs = [
            run
            for target in self.session.targets.values()
            for run in target.runs.values()
            if run.job_id == self.job_id
        ]
        self.assertEqual(len(runs), 1)
        self.assertIn(self.job_id, self.session.store.records)

    def test_repeatable_job_runs_during_the_outage(self):
        answer = self.submit('again')
        self.assertFalse(answer.durable)
        job = self.session.processes[ENTRY].core.state.jobs[answer.job_id]
        self.assertIsInstance(job.outcome, Completed)

    def test_job_with_a_key_is_not_accepted(self):
        answer = self.submit('once', key='k')
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'store_unavailable')

    def test_all_jobs_have_one_owner_afterwards(self):
        self.session.store.set_up(True)
        self.session.run(2 * OUTAGE_MS)
        owners = [
            process.address
            for process in self.session.processes.values()
            if process.is_entry
            for job in process.core.state.jobs.values()
            if isinstance(job.outcome, Completed)
        ]
        self.assertEqual(len(owners), 1)


class RegionCutFromStoreTest(unittest.TestCase):
    """Guards against adoption of jobs whose entries work on behind a cut."""

    def test_other_region_leaves_the_jobs_alone(self):
        session = make_session()
        session.add_entry('127.0.0.1:7003', 'north')
        session.run(2_000)
        session.submit(ENTRY, 'alder', 'once', run_ms=60_000)
        session.run(1_000)
        for entry in ENTRIES:
            session.pause(entry)
        session.run(30_000)
        self.assertEqual(session.processes['127.0.0.1:7003'].core.state.jobs, {})
        for entry in ENTRIES:
            session.resume(entry)
        session.run(60_000)
        outcomes = [
            job.outcome
            for entry in ENTRIES
            for job in session.processes[entry].core.state.jobs.values()
        ]
        self.assertEqual([type(outcome) for outcome in outcomes], [Completed])
