"""Tests of requests that another entry answers."""

import unittest

from tests.fleet import ENTRIES, SERVICE, make_manifest, make_session
from yuccarelay.core.effects import Accepted, NotAccepted, Undecided
from yuccarelay.core.events import QueryRequested
from yuccarelay.core.manifest import RackCapacity
from yuccarelay.core.messages import JobStatus
from yuccarelay.standins.session import Session

NORTH = '127.0.0.1:7003'


def make_two_regions() -> Session:
    """Return a session whose northern entry has no workers of its own."""
    session = Session(make_manifest(), seed=1)
    session.add_entry(ENTRIES[0], 'south')
    session.add_entry(NORTH, 'north')
    for number in range(6):
        rack = f'r{number // 3}'
        session.add_worker(f'w{number}', 'south', 'hobart', rack, SERVICE)
    session.run(8_000)
    return session


class RegionTest(unittest.TestCase):
    """Guards against jobs that stay in a region that cannot run them."""

    def setUp(self):
        self.session = make_two_regions()

    def submit(self, **fields: str) -> object:
        request_id = self.session.submit(
            NORTH,
            'alder',
            'once',
            run_ms=100,
            **fields,
        )
        self.session.run(6_000)
        return self.session.find_response(NORTH, request_id)

    def test_job_runs_in_the_region_of_the_guarantee(self):
        answer = self.submit()
        self.assertIsInstance(answer, Accepted)
        request_id = self.session.request(
            NORTH,
            lambda number: QueryRequested(number, 'alder', answer.job_id, 5_000),
        )
        self.session.run(6_000)
        status = self.session.find_response(NORTH, request_id)
        self.assertIsInstance(status, JobStatus)
        self.assertEqual(status.outcome.kind, 'completed')

    def test_same_key_in_both_regions_is_one_job(self):
        first = self.submit(key='k')
        second = self.session.submit(ENTRIES[0], 'alder', 'once', key='k', run_ms=100)
        self.session.run(1_000)
        answer = self.session.find_response(ENTRIES[0], second)
        self.assertEqual(answer.job_id, first.job_id)

    def test_regions_apart_leave_the_submission_undecided(self):
        self.session.cut('north', 'south')
        answer = self.submit()
        self.assertIsInstance(answer, Undecided)

    def test_repeat_of_a_forwarded_id_is_not_a_second_job(self):
        self.session.store.set_up(False)
        self.session.run(500)
        self.session.processes[NORTH].core.job_requests.minted['3-9'] = 'alder'
        first = self.submit(job_id='3-9')
        again = self.submit(job_id='3-9')
        self.assertEqual(first.job_id, again.job_id)
        runs = [
            run
            for target in self.session.targets.values()
            for run in target.runs.values()
        ]
        self.assertEqual(len(runs), 1)

    def test_no_entry_in_the_other_region(self):
        self.session.kill(ENTRIES[0])
        self.session.run(15_000)
        answer = self.submit()
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'region_unreachable')


class LookupTest(unittest.TestCase):
    """Guards against a caller that is sent back and forth between entries."""

    def test_job_of_a_dead_entry_is_found_at_its_adopter(self):
        session = make_session()
        request_id = session.submit(ENTRIES[0], 'alder', 'once', run_ms=20_000)
        session.run(1_000)
        job_id = session.find_response(ENTRIES[0], request_id).job_id
        session.kill(ENTRIES[0])
        session.run(16_000)
        session.add_entry(ENTRIES[0], 'south')
        session.run(5_000)
        request_id = session.request(
            ENTRIES[0],
            lambda number: QueryRequested(number, 'alder', job_id, 20_000),
        )
        session.run(21_000)
        status = session.find_response(ENTRIES[0], request_id)
        self.assertEqual(status.outcome.kind, 'completed')

    def test_job_of_another_organisation_is_not_found(self):
        session = make_session()
        request_id = session.submit(ENTRIES[0], 'alder', 'once', run_ms=100)
        session.run(1_000)
        job_id = session.find_response(ENTRIES[0], request_id).job_id
        for entry in ENTRIES:
            request_id = session.request(
                entry,
                lambda number: QueryRequested(number, 'birch', job_id),
            )
            session.run(1_000)
            answer = session.find_response(entry, request_id)
            self.assertIsInstance(answer, NotAccepted)
            self.assertEqual(answer.code, 'not_found')


class RackTest(unittest.TestCase):
    """Guards against a job that leaves its region without a reason."""

    def test_region_with_own_cells_keeps_the_job(self):
        manifest = make_manifest()
        north = RackCapacity('north', 'launceston', 'r9', SERVICE, 3, 8, 8)
        manifest = manifest._replace(racks=(*manifest.racks, north))
        session = Session(manifest, seed=1)
        session.add_entry(ENTRIES[0], 'south')
        session.add_entry(NORTH, 'north')
        for number in range(6):
            rack = f'r{number // 3}'
            session.add_worker(f'w{number}', 'south', 'hobart', rack, SERVICE)
        session.run(8_000)
        session.submit(ENTRIES[0], 'alder', 'again', run_ms=100)
        session.run(2_000)
        self.assertNotIn('jobs.forwarded', session.counts)


class KeyTest(unittest.TestCase):
    """Guards against a job that is dropped because its key was used before."""

    def setUp(self):
        self.session = make_session()

    def submit(self, entry, job='once', run_ms=100):
        request_id = self.session.submit(entry, 'alder', job, key='k', run_ms=run_ms)
        self.session.run(4_000)
        return self.session.find_response(entry, request_id)

    def test_repeat_finds_the_first_job(self):
        first = self.submit(ENTRIES[0])
        for entry in ENTRIES:
            self.assertEqual(self.submit(entry), first)

    def test_another_payload_or_job_is_refused(self):
        first = self.submit(ENTRIES[0])
        for answer in (
            self.submit(ENTRIES[1], run_ms=200),
            self.submit(ENTRIES[0], job='again'),
        ):
            self.assertIsInstance(answer, NotAccepted)
            self.assertEqual(answer.code, 'key_taken')
            self.assertIn(first.job_id, answer.errors[0].rule)
