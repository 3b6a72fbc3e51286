"""Invariant 8: an accepted manifest is in force everywhere and never reverts."""

import unittest

from tests import oracle
from tests.fleet import (
    ENTRIES,
    NORTH_ENTRY,
    NORTH_WORKERS,
    make_two_region_manifest,
    make_two_region_simulation,
)
from tests.promises import make_claim, make_simulation
from yuccarelay.core.effects import NotAccepted
from yuccarelay.core.events import ManifestSeen, SubmitRequested
from yuccarelay.core.messages import Prepare, Refusal, Refused
from yuccarelay.core.timing import HEARTBEAT_INTERVAL_MS, HOLD_MS

# The page states 9 s. A watch and one push take milliseconds; an agent that missed
# the push gets it with its next heartbeat, whose interval has a jitter of a quarter.
IN_FORCE_MS = HEARTBEAT_INTERVAL_MS * 5 // 4 + 500
STATED_MS = 9_000


class ManifestTest(unittest.TestCase):
    """Guards against processes that miss a manifest or revert to an older one."""

    def find_generations(self, simulation):
        found = {}
        for process in simulation.processes.values():
            if process.alive and not process.exited:
                core = process.core
                held = core.state if process.is_entry else core.announcer
                found[process.address] = held.generation
        return found

    def assert_in_force(self, simulation, generation):
        self.assertEqual(set(self.find_generations(simulation).values()), {generation})
        self.assertEqual(oracle.check_generations(simulation), [])

    def test_in_force_everywhere_within_the_stated_time(self):
        """Guards against processes that never receive a committed manifest."""
        simulation = make_two_region_simulation()
        for _ in range(5):
            generation = simulation.store.put_manifest(make_two_region_manifest())
            simulation.run(IN_FORCE_MS)
            self.assert_in_force(simulation, generation)
        self.assertLess(IN_FORCE_MS, STATED_MS)

    def test_lost_pushes_are_recovered_by_heartbeats(self):
        """Guards against agents that depend on a single message."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                simulation = make_two_region_simulation(seed=seed)
                simulation.faults = simulation.faults._replace(lose=0.3)
                generation = simulation.store.put_manifest(make_two_region_manifest())
                simulation.run(STATED_MS)
                self.assert_in_force(simulation, generation)

    def test_older_manifest_after_a_newer_one(self):
        """Guards against watches that deliver commits in the wrong order."""
        simulation = make_simulation()
        generation = simulation.store.put_manifest(simulation.store.manifest[1])
        simulation.run(3_000)
        process = simulation.processes[ENTRIES[0]]
        old = ManifestSeen(generation - 1, simulation.store.manifest[1])
        simulation.deliver(process, old)
        simulation.run(3_000)
        self.assert_in_force(simulation, generation)

    def test_entry_with_an_older_manifest_than_its_agents_does_not_serve(self):
        """Guards against an entry that dispatches under an outdated manifest."""
        simulation = make_simulation()
        process = simulation.processes[ENTRIES[0]]
        state = process.core.state
        state.note_generation(state.generation + 1)
        request_id = simulation.request(
            ENTRIES[0],
            lambda number: SubmitRequested(number, 'alder', 'again', b'{}'),
        )
        simulation.run(50)
        answer = simulation.find_response(ENTRIES[0], request_id)
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'not_ready')

    def test_entry_learns_a_newer_generation_from_its_peers(self):
        """Guards against an entry that only its own agents can make stop serving."""
        simulation = make_simulation()
        deliver = simulation.deliver

        def withhold(process, event):
            withheld = process.address == ENTRIES[0] and isinstance(event, ManifestSeen)
            if not withheld:
                deliver(process, event)

        simulation.deliver = withhold
        simulation.store.put_manifest(simulation.store.manifest[1])
        simulation.run(STATED_MS)
        self.assertFalse(simulation.processes[ENTRIES[0]].core.state.is_serving)
        self.assertTrue(simulation.processes[ENTRIES[1]].core.state.is_serving)

    def test_agent_refuses_an_older_generation(self):
        """Guards against a dispatch that was decided under an older manifest."""
        simulation = make_simulation()
        agent = simulation.processes[simulation.workers['w0'].address].core
        simulation.store.put_manifest(simulation.store.manifest[1])
        simulation.run(STATED_MS)
        message = Prepare('9-1.1', agent.incarnation, 1, make_claim(), HOLD_MS)
        refusal = agent._find_refusal(message, simulation.now_ms)
        self.assertIs(refusal, Refusal.STALE_GENERATION)
        reply = agent._prepare(message, simulation.now_ms)
        self.assertEqual(reply, Refused('9-1.1', Refusal.STALE_GENERATION))

    def test_entry_restarts_during_an_outage(self):
        """Guards against an entry that serves before it has read the manifest."""
        simulation = make_simulation()
        simulation.store.put_manifest(simulation.store.manifest[1])
        simulation.run(3_000)
        simulation.store.set_up(False)
        simulation.kill(ENTRIES[0])
        simulation.add_entry(ENTRIES[0], 'south')
        simulation.run(20_000)
        self.assertFalse(simulation.processes[ENTRIES[0]].core.state.is_serving)
        simulation.store.set_up(True)
        simulation.run(STATED_MS)
        self.assertTrue(simulation.processes[ENTRIES[0]].core.state.is_serving)
        self.assert_in_force(simulation, 2)

    def test_region_cut_off(self):
        """Guards against a region that reverts or stays outdated after a cut."""
        simulation = make_two_region_simulation()
        simulation.store.cut_region('north', True)
        simulation.cut('north', 'south')
        simulation.run(5_000)
        for _ in range(3):
            generation = simulation.store.put_manifest(make_two_region_manifest())
            simulation.run(2_000)
        found = self.find_generations(simulation)
        self.assertEqual(found[NORTH_ENTRY], 1)
        self.assertTrue(simulation.processes[NORTH_ENTRY].core.state.is_serving)
        simulation.store.cut_region('north', False)
        simulation.heal()
        simulation.run(STATED_MS)
        self.assert_in_force(simulation, generation)
        names = [simulation.workers[name].address for name in NORTH_WORKERS]
        self.assertEqual(
            {self.find_generations(simulation)[name] for name in names},
            {generation},
        )

    def test_paused_and_restarted_processes(self):
        """Guards against an old manifest that a resumed process puts in force again."""
        simulation = make_simulation()
        simulation.pause(ENTRIES[0])
        simulation.pause(simulation.workers['w1'].address)
        for _ in range(3):
            generation = simulation.store.put_manifest(simulation.store.manifest[1])
            simulation.run(6_000)
        simulation.resume(ENTRIES[0])
        simulation.resume(simulation.workers['w1'].address)
        simulation.kill(simulation.workers['w2'].address)
        simulation.start_agent('w2')
        simulation.run(STATED_MS)
        self.assert_in_force(simulation, generation)


if __name__ == '__main__':
    unittest.main()
