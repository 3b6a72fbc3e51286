"""Tests of requests that another entry answers."""

import unittest

from tests.fleet import ENTRIES, SERVICE, make_manifest, make_simulation
from yuccarelay.core.effects import Accepted, NotAccepted, Undecided
from yuccarelay.core.events import QueryRequested
from yuccarelay.core.manifest import RackCapacity
from yuccarelay.core.messages import JobStatus
from yuccarelay.standins.simulation import Simulation

NORTH = '127.0.0.1:7003'


def make_two_regions() -> Simulation:
    """Return a session whose northern entry has no workers of its own."""
    simulation = Simulation(make_manifest(), seed=1)
    simulation.add_entry(ENTRIES[0], 'south')
    simulation.add_entry(NORTH, 'north')
    for number in range(6):
        rack = f'r{number // 3}'
        simulation.add_worker(f'w{number}', 'south', 'hobart', rack, SERVICE)
    simulation.run(8_000)
    return simulation


class RegionTest(unittest.TestCase):
    """Guards against jobs that stay in a region that cannot run them."""

    def setUp(self):
        self.simulation = make_two_regions()

    def submit(self, **fields: str) -> object:
        request_id = self.simulation.submit(
            NORTH,
            'alder',
            'once',
            run_ms=100,
            **fields,
        )
        self.simulation.run(6_000)
        return self.simulation.find_response(NORTH, request_id)

    def test_job_runs_in_the_region_of_the_guarantee(self):
        answer = self.submit()
        self.assertIsInstance(answer, Accepted)
        request_id = self.simulation.request(
            NORTH,
            lambda number: QueryRequested(number, 'alder', answer.job_id, 5_000),
        )
        self.simulation.run(6_000)
        status = self.simulation.find_response(NORTH, request_id)
        self.assertIsInstance(status, JobStatus)
        self.assertEqual(status.outcome.kind, 'completed')

    def test_same_key_in_both_regions_is_one_job(self):
        first = self.submit(key='k')
        second = self.simulation.submit(
            ENTRIES[0], 'alder', 'once', key='k', run_ms=100
        )
        self.simulation.run(1_000)
        answer = self.simulation.find_response(ENTRIES[0], second)
        self.assertEqual(answer.job_id, first.job_id)

    def test_regions_apart_leave_the_submission_undecided(self):
        self.simulation.cut('north', 'south')
        answer = self.submit()
        self.assertIsInstance(answer, Undecided)

    def test_repeat_of_a_forwarded_id_is_not_a_second_job(self):
        self.simulation.store.set_up(False)
        self.simulation.run(500)
        self.simulation.processes[NORTH].core.job_requests.minted['3-9'] = 'alder'
        first = self.submit(job_id='3-9')
        again = self.submit(job_id='3-9')
        self.assertEqual(first.job_id, again.job_id)
        runs = [
            run
            for target in self.simulation.targets.values()
            for run in target.runs.values()
        ]
        self.assertEqual(len(runs), 1)

    def test_no_entry_in_the_other_region(self):
        self.simulation.kill(ENTRIES[0])
        self.simulation.run(15_000)
        answer = self.submit()
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'region_unreachable')


class LookupTest(unittest.TestCase):
    """Guards against a caller that is sent back and forth between entries."""

    def test_job_of_a_dead_entry_is_found_at_its_adopter(self):
        simulation = make_simulation()
        request_id = simulation.submit(ENTRIES[0], 'alder', 'once', run_ms=20_000)
        simulation.run(1_000)
        job_id = simulation.find_response(ENTRIES[0], request_id).job_id
        simulation.kill(ENTRIES[0])
        simulation.run(16_000)
        simulation.add_entry(ENTRIES[0], 'south')
        simulation.run(5_000)
        request_id = simulation.request(
            ENTRIES[0],
            lambda number: QueryRequested(number, 'alder', job_id, 20_000),
        )
        simulation.run(21_000)
        status = simulation.find_response(ENTRIES[0], request_id)
        self.assertEqual(status.outcome.kind, 'completed')

    def test_job_of_another_organisation_is_not_found(self):
        simulation = make_simulation()
        request_id = simulation.submit(ENTRIES[0], 'alder', 'once', run_ms=100)
        simulation.run(1_000)
        job_id = simulation.find_response(ENTRIES[0], request_id).job_id
        for entry in ENTRIES:
            request_id = simulation.request(
                entry,
                lambda number: QueryRequested(number, 'birch', job_id),
            )
            simulation.run(1_000)
            answer = simulation.find_response(entry, request_id)
            self.assertIsInstance(answer, NotAccepted)
            self.assertEqual(answer.code, 'not_found')


class RackTest(unittest.TestCase):
    """Guards against a job that leaves its region without a reason."""

    def test_region_with_own_cells_keeps_the_job(self):
        manifest = make_manifest()
        north = RackCapacity('north', 'launceston', 'r9', SERVICE, 3, 8, 8)
        manifest = manifest._replace(racks=(*manifest.racks, north))
        simulation = Simulation(manifest, seed=1)
        simulation.add_entry(ENTRIES[0], 'south')
        simulation.add_entry(NORTH, 'north')
        for number in range(6):
            rack = f'r{number // 3}'
            simulation.add_worker(f'w{number}', 'south', 'hobart', rack, SERVICE)
        simulation.run(8_000)
        simulation.submit(ENTRIES[0], 'alder', 'again', run_ms=100)
        simulation.run(2_000)
        self.assertNotIn('jobs.forwarded', simulation.counts)


class KeyTest(unittest.TestCase):
    """Guards against a job that is dropped because its key was used before."""

    def setUp(self):
        self.simulation = make_simulation()

    def submit(self, entry, job='once', run_ms=100):
        request_id = self.simulation.submit(entry, 'alder', job, key='k', run_ms=run_ms)
        self.simulation.run(4_000)
        return self.simulation.find_response(entry, request_id)

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
