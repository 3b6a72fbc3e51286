"""Invariants 1 and 6 over two regions, each with a plan of its own."""

import unittest
from unittest import mock

from tests.fleet import ENTRIES, NORTH_ENTRY, make_two_region_simulation
from tests.promises import accept, find_outcome
from yuccarelay.core import adoption
from yuccarelay.core.guarantee_plan import owned_shares


class RegionTest(unittest.TestCase):
    """Guards against workers and jobs that follow the plan of another region."""

    def drain_and_restart(self, simulation, worker_id):
        simulation.drain(simulation.workers[worker_id].address, 1_000)
        simulation.run(2_000)
        simulation.start_agent(worker_id)
        simulation.run(1_000)

    def advance_plan(self, simulation):
        """Raise the plan epoch of the north above that of the south."""
        for _ in range(2):
            self.drain_and_restart(simulation, 'n0')
            simulation.run(40_000)

    def test_agent_applies_only_the_plan_of_its_region(self):
        """Guards against cells that are lost to a higher epoch of another region."""
        simulation = make_two_region_simulation()
        self.advance_plan(simulation)
        north, south = (simulation.store.plans[name] for name in ('north', 'south'))
        self.assertGreater(north.epoch, south.epoch)
        self.drain_and_restart(simulation, 'w4')
        simulation.store.put_manifest(simulation.store.manifest[1])
        simulation.run(20_000)
        agent = simulation.processes[simulation.workers['w4'].address].core
        plan = simulation.store.plans['south']
        self.assertEqual(agent.announcer.plan_epoch, plan.epoch)
        self.assertEqual(agent.announcer.owned, owned_shares(plan, 'w4'))
        job_id = accept(simulation, 'wide-gang', run_ms=100)
        simulation.run(20_000)
        self.assertEqual(find_outcome(simulation, job_id), 'completed')

    def test_entry_does_not_place_on_another_region(self):
        """Guards against work on workers whose plan the entry does not have."""
        simulation = make_two_region_simulation()
        self.drain_and_restart(simulation, 'w4')
        view = simulation.processes[NORTH_ENTRY].core.state.view
        self.assertEqual(sorted(view.workers), ['n0', 'n1', 'n2'])

    def test_jobs_stay_in_the_region_of_their_cells(self):
        """Guards against adoption where the organisation owns too few accelerators."""
        for seed, drains in ((1, True), (2, False), (2, True), (7, False), (9, False)):
            with self.subTest(seed=seed, drains=drains):
                simulation = make_two_region_simulation(seed=seed)
                jobs = [
                    accept(
                        simulation,
                        'wide-gang',
                        organisation='birch',
                        run_ms=2_000,
                    )
                    for _ in range(4)
                ]
                if drains:
                    simulation.drain(ENTRIES[0], 20_000)
                else:
                    simulation.kill(ENTRIES[0])
                simulation.run(90_000)
                for job_id in jobs:
                    record, _ = simulation.store.records[job_id]
                    self.assertEqual(record.outcome.kind, 'completed')

    def test_other_region_adopts_when_no_entry_is_left(self):
        """Guards against jobs that no entry settles while a whole region is lost."""
        simulation = make_two_region_simulation()
        job_id = accept(simulation, 'once', run_ms=5_000)
        for address in ENTRIES:
            simulation.kill(address)
        with (
            mock.patch.object(adoption, 'REGION_LOSS_MS', 20_000),
            mock.patch.object(adoption, 'REGION_SCAN_MS', 2_000),
        ):
            simulation.run(90_000)
        self.assertEqual(find_outcome(simulation, job_id, NORTH_ENTRY), 'completed')


if __name__ == '__main__':
    unittest.main()
