"""Invariants 1 and 6 over two regions, each with a plan of its own."""

import unittest
from unittest import mock

from tests.fleet import ENTRIES, NORTH_ENTRY, make_wide_session
from tests.promises import accept, find_outcome
from yuccarelay.core import adoption
from yuccarelay.core.guarantee_plan import owned_shares


class RegionTest(unittest.TestCase):
    """A worker belongs to the entries and to the plan of its region."""

    def restart_leaving(self, session, worker_id):
        session.drain(session.workers[worker_id].address, 1_000)
        session.run(2_000)
        session.start_agent(worker_id)
        session.run(1_000)

    def advance_plan(self, session):
        """Let the north have a higher plan epoch than the south."""
        for _ in range(2):
            self.restart_leaving(session, 'n0')
            session.run(40_000)

    def test_agent_keeps_to_the_plan_of_its_region(self):
        """Guards against cells that a higher epoch of another region takes away."""
        session = make_wide_session()
        self.advance_plan(session)
        north, south = (session.store.plans[name] for name in ('north', 'south'))
        self.assertGreater(north.epoch, south.epoch)
        self.restart_leaving(session, 'w4')
        session.store.put_manifest(session.store.manifest[1])
        session.run(20_000)
        agent = session.processes[session.workers['w4'].address].core
        plan = session.store.plans['south']
        self.assertEqual(agent.announcer.plan_epoch, plan.epoch)
        self.assertEqual(agent.announcer.owned, owned_shares(plan, 'w4'))
        job_id = accept(session, 'wide-gang', run_ms=100)
        session.run(20_000)
        self.assertEqual(find_outcome(session, job_id), 'completed')

    def test_entry_does_not_place_on_another_region(self):
        """Guards against work on workers whose plan the entry does not know."""
        session = make_wide_session()
        self.restart_leaving(session, 'w4')
        view = session.processes[NORTH_ENTRY].core.state.view
        self.assertEqual(sorted(view.workers), ['n0', 'n1', 'n2'])

    def test_jobs_stay_in_the_region_of_their_cells(self):
        """Guards against jobs that wait where their organisation owns too little."""
        for seed, drains in ((1, True), (2, False), (2, True), (7, False), (9, False)):
            with self.subTest(seed=seed, drains=drains):
                session = make_wide_session(seed=seed)
                jobs = [
                    accept(
                        session,
                        'wide-gang',
                        organisation='birch',
                        run_ms=2_000,
                    )
                    for _ in range(4)
                ]
                if drains:
                    session.drain(ENTRIES[0], 20_000)
                else:
                    session.kill(ENTRIES[0])
                session.run(90_000)
                for job_id in jobs:
                    record, _ = session.store.records[job_id]
                    self.assertEqual(record.outcome.kind, 'completed')

    def test_other_region_adopts_when_no_entry_is_left(self):
        """Guards against jobs that nobody settles while a whole region is gone."""
        session = make_wide_session()
        job_id = accept(session, 'once', run_ms=5_000)
        for address in ENTRIES:
            session.kill(address)
        with (
            mock.patch.object(adoption, 'REGION_LOSS_MS', 20_000),
            mock.patch.object(adoption, 'REGION_SCAN_MS', 2_000),
        ):
            session.run(90_000)
        self.assertEqual(find_outcome(session, job_id, NORTH_ENTRY), 'completed')


if __name__ == '__main__':
    unittest.main()
