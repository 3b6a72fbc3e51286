"""Invariant 2: no gang runs with only some of its members."""

import functools
import itertools
import unittest

from tests import oracle
from tests.fleet import ENTRIES
from tests.promises import (
    accept,
    find_outcome,
    find_runs,
    make_simulation,
    start_running,
)
from yuccarelay.core.messages import Launch, Start
from yuccarelay.core.timing import LEASE_MS, RENEW_INTERVAL_MS, TICK_MS
from yuccarelay.standins.simulation_target import STOP_DELAY_MS

# Bound of the design page: after one loss, a lease and the tick that notices it.
AFTER_LOSS_MS = LEASE_MS + TICK_MS + STOP_DELAY_MS + 10
# After a loss and a cut: leases end one renewal after the earliest deadline.
COMBINED_MS = LEASE_MS + RENEW_INTERVAL_MS + 2 * TICK_MS
LONG_MS = 600_000


class GangTest(unittest.TestCase):
    """Guards against gangs of three that keep running with some of their members."""

    def start_gang(self, seed=1, job='wide-gang', **fields):
        simulation = make_simulation(seed=seed)
        fields = {'run_ms': LONG_MS} | fields
        job_id = accept(simulation, job, **fields)
        simulation.run_until(lambda: len(find_runs(simulation, job_id)) == 3, 10_000)
        return simulation, job_id

    def measure(self, simulation, job_id):
        return oracle.measure_partial(
            find_runs(simulation, job_id), 3, simulation.now_ms
        )

    def find_member(self, simulation, job_id, index):
        runs = find_runs(simulation, job_id)
        workers = sorted({run.worker_id for run in runs})
        return workers[index]

    def test_loss_of_a_member_or_leader(self):
        """Guards against members that keep running after the loss of an instance."""
        for index in range(3):
            for delay_ms in range(0, 2_000, 333):
                with self.subTest(index=index, delay_ms=delay_ms):
                    simulation, job_id = self.start_gang()
                    simulation.run(delay_ms)
                    worker_id = self.find_member(simulation, job_id, index)
                    simulation.kill_worker(worker_id)
                    simulation.run(30_000)
                    self.assertLessEqual(
                        self.measure(simulation, job_id), AFTER_LOSS_MS
                    )
                    running = oracle.find_active(
                        find_runs(simulation, job_id),
                        simulation.now_ms,
                    )
                    self.assertEqual(running, [])
                    self.assertEqual(find_outcome(simulation, job_id), 'unknown')

    def test_loss_together_with_a_cut_of_the_leader(self):
        """Guards against members that run for two leases when the leader is cut off."""
        for delay_ms, cut_ms in itertools.product(
            range(1_000, 2_000, 150),
            range(1_600, 3_300, 200),
        ):
            with self.subTest(delay_ms=delay_ms, cut_ms=cut_ms):
                simulation, job_id = self.start_gang()
                simulation.run(delay_ms)
                names = [
                    self.find_member(simulation, job_id, index) for index in range(3)
                ]
                leader, other = (
                    simulation.workers[names[index]].address for index in (0, 1)
                )
                simulation.kill_worker(names[2])
                simulation.at(cut_ms, functools.partial(simulation.cut, leader, other))
                simulation.run(12_000)
                self.assertLessEqual(self.measure(simulation, job_id), COMBINED_MS)

    def test_cut_separates_the_members(self):
        """Guards against a separated part of a gang that keeps running."""
        simulation, job_id = self.start_gang()
        simulation.run(2_000)
        names = [self.find_member(simulation, job_id, index) for index in range(3)]
        addresses = [simulation.workers[name].address for name in names]
        simulation.cut(addresses[0], addresses[2])
        simulation.cut(addresses[1], addresses[2])
        simulation.run(15_000)
        self.assertLessEqual(self.measure(simulation, job_id), COMBINED_MS)
        self.assertEqual(
            oracle.find_active(find_runs(simulation, job_id), simulation.now_ms),
            [],
        )

    def test_entry_lost_between_prepare_and_launch(self):
        """Guards against reserved members that start without the rest of the gang."""
        for event in range(1, 12):
            with self.subTest(event=event):
                simulation = make_simulation()
                simulation.submit(ENTRIES[0], 'alder', 'gang', run_ms=1_000)
                simulation.crash_at(ENTRIES[0], event, effects_kept=0)
                simulation.run(60_000)
                for job_id in oracle.collect_runs(simulation):
                    self.assertLessEqual(self.measure(simulation, job_id), COMBINED_MS)
                    self.assertIn(len(find_runs(simulation, job_id)), (0, 3))

    def test_starts_lost_to_other_members(self):
        """Guards against a leader that keeps running when no other member started."""
        simulation = make_simulation()
        send = simulation._send

        def lose_starts(sender, request):
            if not isinstance(request.message, Start):
                send(sender, request)

        simulation._send = lose_starts
        job_id = accept(simulation, 'wide-gang', run_ms=LONG_MS)
        simulation.run(10_000)
        runs = find_runs(simulation, job_id)
        self.assertEqual(len(runs), 1)
        self.assertLessEqual(self.measure(simulation, job_id), LEASE_MS + TICK_MS)
        self.assertEqual(oracle.find_active(runs, simulation.now_ms), [])

    def test_paused_agent_resumes_after_its_lease(self):
        """Guards against a member that keeps running after its lease has expired."""
        for index in range(3):
            with self.subTest(index=index):
                simulation, job_id = self.start_gang()
                simulation.run(2_000)
                name = self.find_member(simulation, job_id, index)
                simulation.pause(simulation.workers[name].address)
                simulation.run(9_000)
                simulation.resume(simulation.workers[name].address)
                simulation.run(20_000)
                self.assertLessEqual(self.measure(simulation, job_id), COMBINED_MS)
                self.assertEqual(len(find_runs(simulation, job_id)), 3)
                self.assertEqual(find_outcome(simulation, job_id), 'unknown')

    def test_repeatable_gang_runs_again_as_a_whole(self):
        """Guards against a second attempt that runs with members of the first."""
        simulation, job_id = self.start_gang(job='soft-gang', run_ms=4_000)
        name = self.find_member(simulation, job_id, 1)
        simulation.kill_worker(name)
        simulation.start_agent(name)
        simulation.run(60_000)
        self.assertEqual(find_outcome(simulation, job_id), 'completed')
        members = {job_id: 3}
        self.assertEqual(oracle.check_whole_gangs(simulation, members), [])
        self.assertEqual(oracle.check_completed(simulation, members), [])

    def test_duplicated_launch_starts_once(self):
        """Guards against two leaders of one attempt."""
        simulation = make_simulation()
        send = simulation._send

        def send_launch_twice(sender, request):
            send(sender, request)
            if isinstance(request.message, Launch):
                simulation.at(400, lambda: send(sender, request))

        simulation._send = send_launch_twice
        job_id = start_running(simulation, 'gang', run_ms=2_000)
        simulation.run(10_000)
        self.assertEqual(len(find_runs(simulation, job_id)), 3)
        self.assertEqual(find_outcome(simulation, job_id), 'completed')


if __name__ == '__main__':
    unittest.main()
