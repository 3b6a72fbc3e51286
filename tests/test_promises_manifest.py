"""Invariant 8: an accepted manifest is in force everywhere and never reverts."""

import unittest

from tests import oracle
from tests.fleet import (
    ENTRIES,
    NORTH_ENTRY,
    NORTH_WORKERS,
    make_two_region_manifest,
    make_wide_session,
)
from tests.promises import make_claim, make_session
from yuccarelay.core.effects import NotAccepted
from yuccarelay.core.events import ManifestSeen, SubmitRequested
from yuccarelay.core.messages import Prepare, Refusal, Refused
from yuccarelay.core.timing import HEARTBEAT_INTERVAL_MS, HOLD_MS

# The page states 9 s. A watch and one push take milliseconds; an agent that missed
# the push hears of it with its next heartbeat, which is jittered by a quarter.
IN_FORCE_MS = HEARTBEAT_INTERVAL_MS * 5 // 4 + 500
STATED_MS = 9_000


class ManifestTest(unittest.TestCase):
    """Commits, races, restarts and cuts."""

    def find_generations(self, session):
        found = {}
        for process in session.processes.values():
            if process.alive and not process.exited:
                core = process.core
                held = core.state if process.is_entry else core.announcer
                found[process.address] = held.generation
        return found

    def assert_in_force(self, session, generation):
        self.assertEqual(set(self.find_generations(session).values()), {generation})
        self.assertEqual(oracle.check_generations(session), [])

    def test_in_force_everywhere_within_the_stated_time(self):
        """Guards against processes that never hear of a commit."""
        session = make_wide_session()
        for _ in range(5):
            generation = session.store.put_manifest(make_two_region_manifest())
            session.run(IN_FORCE_MS)
            self.assert_in_force(session, generation)
        self.assertLess(IN_FORCE_MS, STATED_MS)

    def test_lost_pushes_are_made_up_for(self):
        """Guards against agents that rely on one message."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                session = make_wide_session(seed=seed)
                session.faults = session.faults._replace(lose=0.3)
                generation = session.store.put_manifest(make_two_region_manifest())
                session.run(STATED_MS)
                self.assert_in_force(session, generation)

    def test_older_manifest_after_a_newer_one(self):
        """Guards against watches that deliver commits in the wrong order."""
        session = make_session()
        generation = session.store.put_manifest(session.store.manifest[1])
        session.run(3_000)
        process = session.processes[ENTRIES[0]]
        old = ManifestSeen(generation - 1, session.store.manifest[1])
        session.deliver(process, old)
        session.run(3_000)
        self.assert_in_force(session, generation)

    def test_entry_behind_its_agents_does_not_serve(self):
        """Guards against an entry that dispatches under a manifest of the past."""
        session = make_session()
        process = session.processes[ENTRIES[0]]
        state = process.core.state
        state.note_generation(state.generation + 1)
        request_id = session.request(
            ENTRIES[0],
            lambda number: SubmitRequested(number, 'alder', 'again', b'{}'),
        )
        session.run(50)
        answer = session.find_response(ENTRIES[0], request_id)
        self.assertIsInstance(answer, NotAccepted)
        self.assertEqual(answer.code, 'not_ready')

    def test_newer_generation_spreads_over_peers(self):
        """Guards against an entry that only its own agents could warn."""
        session = make_session()
        deliver = session.deliver

        def withhold(process, event):
            stale = process.address == ENTRIES[0] and isinstance(event, ManifestSeen)
            if not stale:
                deliver(process, event)

        session.deliver = withhold
        session.store.put_manifest(session.store.manifest[1])
        session.run(STATED_MS)
        self.assertFalse(session.processes[ENTRIES[0]].core.state.is_serving)
        self.assertTrue(session.processes[ENTRIES[1]].core.state.is_serving)

    def test_agent_refuses_an_older_generation(self):
        """Guards against a dispatch that was decided under an older manifest."""
        session = make_session()
        agent = session.processes[session.workers['w0'].address].core
        session.store.put_manifest(session.store.manifest[1])
        session.run(STATED_MS)
        message = Prepare('9-1.1', agent.incarnation, 1, make_claim(), HOLD_MS)
        refusal = agent._find_refusal(message, session.now_ms)
        self.assertIs(refusal, Refusal.STALE_GENERATION)
        reply = agent._prepare(message, session.now_ms)
        self.assertEqual(reply, Refused('9-1.1', Refusal.STALE_GENERATION))

    def test_entry_restarts_during_an_outage(self):
        """Guards against an entry that serves without knowing the manifest."""
        session = make_session()
        session.store.put_manifest(session.store.manifest[1])
        session.run(3_000)
        session.store.set_up(False)
        session.kill(ENTRIES[0])
        session.add_entry(ENTRIES[0], 'south')
        session.run(20_000)
        self.assertFalse(session.processes[ENTRIES[0]].core.state.is_serving)
        session.store.set_up(True)
        session.run(STATED_MS)
        self.assertTrue(session.processes[ENTRIES[0]].core.state.is_serving)
        self.assert_in_force(session, 2)

    def test_region_cut_off(self):
        """Guards against a region that falls back or stays behind after a cut."""
        session = make_wide_session()
        session.store.cut_region('north', True)
        session.cut('north', 'south')
        session.run(5_000)
        for _ in range(3):
            generation = session.store.put_manifest(make_two_region_manifest())
            session.run(2_000)
        found = self.find_generations(session)
        self.assertEqual(found[NORTH_ENTRY], 1)
        self.assertTrue(session.processes[NORTH_ENTRY].core.state.is_serving)
        session.store.cut_region('north', False)
        session.heal()
        session.run(STATED_MS)
        self.assert_in_force(session, generation)
        names = [session.workers[name].address for name in NORTH_WORKERS]
        self.assertEqual(
            {self.find_generations(session)[name] for name in names},
            {generation},
        )

    def test_paused_and_restarted_processes(self):
        """Guards against an old manifest that comes back with a resumed process."""
        session = make_session()
        session.pause(ENTRIES[0])
        session.pause(session.workers['w1'].address)
        for _ in range(3):
            generation = session.store.put_manifest(session.store.manifest[1])
            session.run(6_000)
        session.resume(ENTRIES[0])
        session.resume(session.workers['w1'].address)
        session.kill(session.workers['w2'].address)
        session.start_agent('w2')
        session.run(STATED_MS)
        self.assert_in_force(session, generation)


if __name__ == '__main__':
    unittest.main()
