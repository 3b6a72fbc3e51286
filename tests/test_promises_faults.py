"""Faults that the invariants' review suspected, each at the machine that had it."""

import unittest

from tests.promises import (
    AGENT,
    INCARNATION,
    OTHER_AGENT,
    AgentBench,
    make_claim,
)
from yuccarelay.core.effects import Exit, StopTask
from yuccarelay.core.events import DrainRequested, TaskEnded, TaskStarted
from yuccarelay.core.messages import (
    Abort,
    Ack,
    AttemptReport,
    AttemptStatus,
    EndState,
    EvictionNotice,
    Fate,
    Launched,
    MemberReport,
    Prepared,
    Reclaiming,
    Refusal,
    Refused,
    Renew,
    Settle,
    Start,
    Started,
)
from yuccarelay.core.models import MemberRef
from yuccarelay.core.timing import (
    ENDED_RETENTION_MS,
    LEASE_MS,
    QUARANTINE_MS,
    RECLAIM_MS,
    TICK_MS,
)

LATER_MS = 600_000


def make_settled_bench(**fields) -> AgentBench:
    """Return an agent whose quarantine after the start is over."""
    bench = AgentBench(**fields)
    bench.wait(QUARANTINE_MS)
    return bench


class RestartedAgentTest(unittest.TestCase):
    """A restarted agent must not grant what its target still uses."""

    def test_starts_nothing_before_earlier_leases_lapsed(self):
        """Guards against two tasks on the same accelerators after a restart."""
        bench = AgentBench(now_ms=LATER_MS)
        self.assertNotIsInstance(bench.launch('5-1.1', make_claim(8)), Launched)
        self.assertIsInstance(
            bench.prepare('5-2.1', make_claim(4, guaranteed=True)),
            Reclaiming,
        )
        bench.wait(LEASE_MS)
        self.assertEqual(bench.find_started(), [])

    def test_guaranteed_hold_becomes_ready_when_leases_lapsed(self):
        """Guards against a cell that is lost for longer than the quarantine."""
        bench = AgentBench(now_ms=LATER_MS)
        claim = make_claim(4, guaranteed=True)
        bench.prepare('5-2.1', claim)
        bench.wait(QUARANTINE_MS - 500)
        bench.prepare('5-2.1', claim)
        bench.wait(500)
        self.assertIsInstance(bench.prepare('5-2.1', claim), Prepared)

    def test_borrower_is_sent_elsewhere(self):
        """Guards against short work that waits although others are free."""
        bench = AgentBench(now_ms=LATER_MS)
        reply = bench.prepare('5-3.1', make_claim(1))
        self.assertEqual(reply, Refused('5-3.1', Refusal.NO_CAPACITY))


class ForgottenAttemptTest(unittest.TestCase):
    """What an agent forgets must not turn into a proof that nothing ran."""

    def run_to_end(self, bench, acknowledged):
        bench.launch('5-1.1', make_claim())
        bench.step(TaskStarted('5-1.1/0'))
        bench.step(TaskEnded('5-1.1/0', completed=True, started=True))
        if acknowledged:
            bench.give('report:5-1.1', Ack())
        bench.now_ms += ENDED_RETENTION_MS
        bench.wait(1_000)

    def test_fate_of_a_dropped_attempt_is_not_not_started(self):
        """Guards against a second run when an attempt is settled very late."""
        bench = make_settled_bench()
        self.run_to_end(bench, acknowledged=True)
        fate = bench.ask(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual(fate.state, AttemptStatus.UNKNOWN)

    def test_unreported_end_is_kept(self):
        """Guards against a lost outcome when no entry could take the report."""
        bench = make_settled_bench()
        self.run_to_end(bench, acknowledged=False)
        fate = bench.ask(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual(
            (fate.state, fate.end), (AttemptStatus.ENDED, EndState.COMPLETED)
        )

    def test_late_launch_of_a_dropped_attempt_starts_nothing(self):
        """Guards against a second run by a launch that was on its way very long."""
        bench = make_settled_bench()
        self.run_to_end(bench, acknowledged=True)
        self.assertIsInstance(bench.launch('5-1.1', make_claim()), Launched)
        self.assertEqual(bench.find_started(), ['5-1.1/0'])


class RefusedStartTest(unittest.TestCase):
    """A member that refused a start never starts the attempt later."""

    def make_start(self, attempt_id):
        return Start(attempt_id, INCARNATION, OTHER_AGENT, b'{}', LEASE_MS)

    def test_refused_start_leaves_a_tombstone(self):
        """Guards against a late Prepare and Start after the leader said lost."""
        bench = make_settled_bench()
        first = bench.ask(self.make_start('5-1.1'))
        self.assertIsInstance(first, Refused)
        self.assertIsInstance(bench.prepare('5-1.1', make_claim()), Refused)
        bench.ask(self.make_start('5-1.1'))
        self.assertEqual(bench.find_started(), [])

    def test_repeated_start_of_an_ended_member_is_not_refused(self):
        """Guards against a leader that takes a short run for a refusal."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim())
        bench.ask(self.make_start('5-1.1'))
        bench.step(TaskEnded('5-1.1/0', completed=True, started=True))
        self.assertEqual(bench.ask(self.make_start('5-1.1')), Started('5-1.1'))

    def test_restarted_member_may_have_run(self):
        """Guards against not started when the first answer to Start was lost."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim())
        other = MemberRef('w1', OTHER_AGENT, 3, make_claim(members=(1,)))
        bench.launch('5-1.1', make_claim(), (other,))
        bench.give('gang:5-1.1#0', Prepared('5-1.1'))
        bench.give('gang:5-1.1#1', Prepared('5-1.1'))
        refused = Refused('5-1.1', Refusal.WRONG_INCARNATION)
        bench.give('gang:5-1.1#1', refused)
        bench.step(TaskEnded('5-1.1/0', completed=False, started=False))
        bench.wait(LEASE_MS * 2)
        fate = bench.ask(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual((fate.state, fate.end), (AttemptStatus.ENDED, EndState.LOST))

    def test_refused_member_stops_the_started_ones(self):
        """Guards against a gang that goes on without the member that refused."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim())
        other = MemberRef('w1', OTHER_AGENT, 3, make_claim(members=(1,)))
        bench.launch('5-1.1', make_claim(), (other,))
        bench.give('gang:5-1.1#1', Prepared('5-1.1'))
        bench.step(TaskStarted('5-1.1/0'))
        bench.give('gang:5-1.1#1', Refused('5-1.1', Refusal.NO_RESERVATION))
        bench.step(TaskEnded('5-1.1/0', completed=False, started=True))
        fate = bench.ask(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual((fate.state, fate.end), (AttemptStatus.ENDED, EndState.LOST))


class DrainingAgentTest(unittest.TestCase):
    """A leaving agent ends at its deadline, whoever leads the work on it."""

    def start_for_other_leader(self, bench):
        bench.prepare('5-1.1', make_claim())
        bench.ask(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        bench.step(TaskStarted('5-1.1/0'))

    def renew_for(self, bench, duration_ms):
        for _ in range(duration_ms // 500):
            bench.wait(500)
            bench.ask(Renew('5-1.1', INCARNATION, LEASE_MS))

    def test_leader_elsewhere_is_warned_at_the_deadline(self):
        """Guards against an agent that never exits because others lead its work."""
        bench = make_settled_bench()
        self.start_for_other_leader(bench)
        bench.step(DrainRequested(bench.now_ms + 5_000))
        self.renew_for(bench, 4_500)
        self.assertEqual(bench.find_requests(EvictionNotice), [])
        self.renew_for(bench, 1_000)
        self.assertEqual(len(bench.find_requests(EvictionNotice)), 1)
        self.renew_for(bench, RECLAIM_MS)
        self.assertFalse(bench.core.members.reservations['5-1.1'].end is None)

    def test_waits_until_the_leader_knows_the_end(self):
        """Guards against a gang that is lost because a member's end was not told."""
        bench = make_settled_bench()
        self.start_for_other_leader(bench)
        bench.step(DrainRequested(bench.now_ms + 5_000))
        bench.step(TaskEnded('5-1.1/0', completed=True, started=True))
        bench.wait(1_000)
        self.assertNotIn(Exit(), bench.effects)
        self.assertTrue(bench.find_requests(MemberReport))
        bench.give('member_report:5-1.1', Ack())
        bench.wait(5_000)
        self.assertIn(Exit(), bench.effects)

    def test_keeps_an_answer_until_it_was_fetched(self):
        """Guards against an answer that goes with its agent before the caller asks."""
        bench = make_settled_bench()
        bench.launch('5-1.1', make_claim())
        bench.step(TaskStarted('5-1.1/0'))
        bench.step(TaskEnded('5-1.1/0', completed=True, started=True, length=9))
        bench.step(DrainRequested(bench.now_ms + 5_000))
        self.assertTrue(bench.find_requests(AttemptReport))
        bench.give('report:5-1.1', Ack())
        bench.wait(4_000)
        self.assertNotIn(Exit(), bench.effects)
        bench.wait(2_000)
        self.assertIn(Exit(), bench.effects)

    def test_held_work_starts_only_for_a_stated_time(self):
        """Guards against a hold that is extended until long after the notice."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim())
        bench.step(DrainRequested(bench.now_ms + 60_000))
        for _ in range(10):
            bench.wait(500)
            bench.prepare('5-1.1', make_claim())
        reply = bench.launch('5-1.1', make_claim())
        self.assertIsInstance(reply, Refused)
        self.assertEqual(bench.find_started(), [])


class LaunchedTwiceTest(unittest.TestCase):
    """A launch that was only delayed counts until the leader proves otherwise."""

    def test_delayed_launch_starts_a_ready_hold(self):
        """Shows why an aborted reclaim has to be settled: the copy starts the job."""
        bench = make_settled_bench()
        bench.launch('5-1.1', make_claim(8))
        bench.step(TaskStarted('5-1.1/0'))
        claim = make_claim(4, guaranteed=True)
        self.assertIsInstance(bench.launch('5-2.1', claim), Reclaiming)
        bench.step(TaskEnded('5-1.1/0', completed=False, started=True))
        self.assertIsInstance(bench.launch('5-2.1', claim), Launched)
        fate = bench.ask(Abort('5-2.1', INCARNATION))
        self.assertEqual(fate, Fate('5-2.1', AttemptStatus.RUNNING))


class EvictedLeaseTest(unittest.TestCase):
    """A victim that nobody can stop loses its lease within the warning."""

    def test_lease_is_not_renewed_past_the_warning(self):
        """Guards against a reclaim that takes the warning and a whole lease more."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim(8))
        bench.ask(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        bench.step(TaskStarted('5-1.1/0'))
        bench.prepare('5-2.1', make_claim(4, guaranteed=True))
        warned_ms = bench.now_ms
        for _ in range(6):
            bench.wait(250)
            bench.ask(Renew('5-1.1', INCARNATION, LEASE_MS))
        entry = bench.core.members.reservations['5-1.1']
        self.assertLessEqual(entry.lease_deadline_ms, warned_ms + LEASE_MS)

    def test_victim_is_stopped_at_the_deadline(self):
        """Guards against a leader that does not pass the warning on."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim(8))
        bench.ask(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        bench.step(TaskStarted('5-1.1/0'))
        bench.wait(1_000)
        bench.ask(Renew('5-1.1', INCARNATION, LEASE_MS))
        bench.prepare('5-2.1', make_claim(4, guaranteed=True))
        bench.wait(RECLAIM_MS - TICK_MS)
        self.assertNotIn(StopTask('5-1.1/0', checkpoint=False), bench.effects)
        bench.wait(TICK_MS)
        self.assertIn(StopTask('5-1.1/0', checkpoint=False), bench.effects)

    def test_member_stops_when_its_lease_lapses(self):
        """Guards against a member that relies on its leader and its target."""
        bench = make_settled_bench()
        bench.prepare('5-1.1', make_claim())
        bench.ask(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        bench.step(TaskStarted('5-1.1/0'))
        bench.wait(LEASE_MS - TICK_MS)
        self.assertNotIn(StopTask('5-1.1/0', checkpoint=False), bench.effects)
        bench.wait(TICK_MS)
        self.assertIn(StopTask('5-1.1/0', checkpoint=False), bench.effects)


if __name__ == '__main__':
    unittest.main()
