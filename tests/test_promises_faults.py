"""Faults that a review of the invariants suspected, each tested on one agent."""

import unittest

from tests.promises import (
    AGENT,
    INCARNATION,
    OTHER_AGENT,
    AgentHarness,
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


def make_settled_harness(**fields) -> AgentHarness:
    """Return an agent whose quarantine after the start is over."""
    harness = AgentHarness(**fields)
    harness.wait(QUARANTINE_MS)
    return harness


class RestartedAgentTest(unittest.TestCase):
    """Guards against a restarted agent that grants what its target still uses."""

    def test_starts_nothing_before_earlier_leases_lapsed(self):
        """Guards against two tasks on the same accelerators after a restart."""
        harness = AgentHarness(now_ms=LATER_MS)
        self.assertNotIsInstance(harness.launch('5-1.1', make_claim(8)), Launched)
        self.assertIsInstance(
            harness.prepare('5-2.1', make_claim(4, guaranteed=True)),
            Reclaiming,
        )
        harness.wait(LEASE_MS)
        self.assertEqual(harness.find_started(), [])

    def test_guaranteed_hold_becomes_ready_when_leases_lapsed(self):
        """Guards against a cell that is unavailable for longer than the quarantine."""
        harness = AgentHarness(now_ms=LATER_MS)
        claim = make_claim(4, guaranteed=True)
        harness.prepare('5-2.1', claim)
        harness.wait(QUARANTINE_MS - 500)
        harness.prepare('5-2.1', claim)
        harness.wait(500)
        self.assertIsInstance(harness.prepare('5-2.1', claim), Prepared)

    def test_borrowing_job_is_refused(self):
        """Guards against short work that waits although other workers are free."""
        harness = AgentHarness(now_ms=LATER_MS)
        reply = harness.prepare('5-3.1', make_claim(1))
        self.assertEqual(reply, Refused('5-3.1', Refusal.NO_CAPACITY))


class ExpiredAttemptTest(unittest.TestCase):
    """Guards against a dropped attempt that the agent reports as not started."""

    def run_to_end(self, harness, acknowledged):
        harness.launch('5-1.1', make_claim())
        harness.step(TaskStarted('5-1.1/0'))
        harness.step(TaskEnded('5-1.1/0', completed=True, started=True))
        if acknowledged:
            harness.deliver_reply('report:5-1.1', Ack())
        harness.now_ms += ENDED_RETENTION_MS
        harness.wait(1_000)

    def test_status_of_an_expired_attempt_is_not_not_started(self):
        """Guards against a second run when an attempt is settled very late."""
        harness = make_settled_harness()
        self.run_to_end(harness, acknowledged=True)
        reply = harness.send_request(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual(reply.state, AttemptStatus.UNKNOWN)

    def test_unreported_end_is_kept(self):
        """Guards against a lost outcome when no entry could take the report."""
        harness = make_settled_harness()
        self.run_to_end(harness, acknowledged=False)
        reply = harness.send_request(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual(
            (reply.state, reply.end), (AttemptStatus.ENDED, EndState.COMPLETED)
        )

    def test_late_launch_of_a_dropped_attempt_starts_nothing(self):
        """Guards against a second run by a launch that is delayed for very long."""
        harness = make_settled_harness()
        self.run_to_end(harness, acknowledged=True)
        self.assertIsInstance(harness.launch('5-1.1', make_claim()), Launched)
        self.assertEqual(harness.find_started(), ['5-1.1/0'])


class RefusedStartTest(unittest.TestCase):
    """Guards against a member that starts an attempt after it refused to."""

    def make_start(self, attempt_id):
        return Start(attempt_id, INCARNATION, OTHER_AGENT, b'{}', LEASE_MS)

    def test_refused_start_leaves_a_tombstone(self):
        """Guards against a start after the leader has reported the attempt as lost."""
        harness = make_settled_harness()
        first = harness.send_request(self.make_start('5-1.1'))
        self.assertIsInstance(first, Refused)
        self.assertIsInstance(harness.prepare('5-1.1', make_claim()), Refused)
        harness.send_request(self.make_start('5-1.1'))
        self.assertEqual(harness.find_started(), [])

    def test_repeated_start_of_an_ended_member_is_not_refused(self):
        """Guards against a leader that takes a short run for a refusal."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim())
        harness.send_request(self.make_start('5-1.1'))
        harness.step(TaskEnded('5-1.1/0', completed=True, started=True))
        self.assertEqual(
            harness.send_request(self.make_start('5-1.1')), Started('5-1.1')
        )

    def test_restarted_member_may_have_run(self):
        """Guards against `NOT_STARTED` when the first reply to `Start` was lost."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim())
        other = MemberRef('w1', OTHER_AGENT, 3, make_claim(members=(1,)))
        harness.launch('5-1.1', make_claim(), (other,))
        harness.deliver_reply('gang:5-1.1#0', Prepared('5-1.1'))
        harness.deliver_reply('gang:5-1.1#1', Prepared('5-1.1'))
        refused = Refused('5-1.1', Refusal.WRONG_INCARNATION)
        harness.deliver_reply('gang:5-1.1#1', refused)
        harness.step(TaskEnded('5-1.1/0', completed=False, started=False))
        harness.wait(LEASE_MS * 2)
        reply = harness.send_request(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual((reply.state, reply.end), (AttemptStatus.ENDED, EndState.LOST))

    def test_refused_member_stops_the_started_ones(self):
        """Guards against a gang that keeps running without the member that refused."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim())
        other = MemberRef('w1', OTHER_AGENT, 3, make_claim(members=(1,)))
        harness.launch('5-1.1', make_claim(), (other,))
        harness.deliver_reply('gang:5-1.1#1', Prepared('5-1.1'))
        harness.step(TaskStarted('5-1.1/0'))
        harness.deliver_reply('gang:5-1.1#1', Refused('5-1.1', Refusal.NO_RESERVATION))
        harness.step(TaskEnded('5-1.1/0', completed=False, started=True))
        reply = harness.send_request(Settle('5-1.1', INCARNATION, AGENT))
        self.assertEqual((reply.state, reply.end), (AttemptStatus.ENDED, EndState.LOST))


class DrainingAgentTest(unittest.TestCase):
    """Guards against drains that do not end in time or lose ends and answers."""

    def start_for_other_leader(self, harness):
        harness.prepare('5-1.1', make_claim())
        harness.send_request(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        harness.step(TaskStarted('5-1.1/0'))

    def renew_for(self, harness, duration_ms):
        for _ in range(duration_ms // 500):
            harness.wait(500)
            harness.send_request(Renew('5-1.1', INCARNATION, LEASE_MS))

    def test_leader_elsewhere_is_warned_at_the_deadline(self):
        """Guards against an agent that never exits because others lead its work."""
        harness = make_settled_harness()
        self.start_for_other_leader(harness)
        harness.step(DrainRequested(harness.now_ms + 5_000))
        self.renew_for(harness, 4_500)
        self.assertEqual(harness.find_requests(EvictionNotice), [])
        self.renew_for(harness, 1_000)
        self.assertEqual(len(harness.find_requests(EvictionNotice)), 1)
        self.renew_for(harness, RECLAIM_MS)
        self.assertFalse(harness.core.members.reservations['5-1.1'].end is None)

    def test_waits_until_the_leader_knows_the_end(self):
        """Guards against a gang that is lost with the unreported end of a member."""
        harness = make_settled_harness()
        self.start_for_other_leader(harness)
        harness.step(DrainRequested(harness.now_ms + 5_000))
        harness.step(TaskEnded('5-1.1/0', completed=True, started=True))
        harness.wait(1_000)
        self.assertNotIn(Exit(), harness.effects)
        self.assertTrue(harness.find_requests(MemberReport))
        harness.deliver_reply('member_report:5-1.1', Ack())
        harness.wait(5_000)
        self.assertIn(Exit(), harness.effects)

    def test_keeps_an_answer_until_it_was_fetched(self):
        """Guards against an answer that is lost with its agent before it is fetched."""
        harness = make_settled_harness()
        harness.launch('5-1.1', make_claim())
        harness.step(TaskStarted('5-1.1/0'))
        harness.step(TaskEnded('5-1.1/0', completed=True, started=True, length=9))
        harness.step(DrainRequested(harness.now_ms + 5_000))
        self.assertTrue(harness.find_requests(AttemptReport))
        harness.deliver_reply('report:5-1.1', Ack())
        harness.wait(4_000)
        self.assertNotIn(Exit(), harness.effects)
        harness.wait(2_000)
        self.assertIn(Exit(), harness.effects)

    def test_held_work_starts_only_for_a_stated_time(self):
        """Guards against a hold that is extended until long after the drain notice."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim())
        harness.step(DrainRequested(harness.now_ms + 60_000))
        for _ in range(10):
            harness.wait(500)
            harness.prepare('5-1.1', make_claim())
        reply = harness.launch('5-1.1', make_claim())
        self.assertIsInstance(reply, Refused)
        self.assertEqual(harness.find_started(), [])


class LaunchedTwiceTest(unittest.TestCase):
    """Guards against an aborted acquisition that a delayed launch starts unnoticed."""

    def test_delayed_launch_starts_a_ready_hold(self):
        """Guards against an abort that hides a start by a copy of the launch."""
        harness = make_settled_harness()
        harness.launch('5-1.1', make_claim(8))
        harness.step(TaskStarted('5-1.1/0'))
        claim = make_claim(4, guaranteed=True)
        self.assertIsInstance(harness.launch('5-2.1', claim), Reclaiming)
        harness.step(TaskEnded('5-1.1/0', completed=False, started=True))
        self.assertIsInstance(harness.launch('5-2.1', claim), Launched)
        reply = harness.send_request(Abort('5-2.1', INCARNATION))
        self.assertEqual(reply, Fate('5-2.1', AttemptStatus.RUNNING))


class EvictedLeaseTest(unittest.TestCase):
    """Guards against evicted work whose lease outlasts the warning."""

    def test_lease_is_not_renewed_past_the_warning(self):
        """Guards against a reclaim that takes the warning plus a whole lease."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim(8))
        harness.send_request(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        harness.step(TaskStarted('5-1.1/0'))
        harness.prepare('5-2.1', make_claim(4, guaranteed=True))
        warned_ms = harness.now_ms
        for _ in range(6):
            harness.wait(250)
            harness.send_request(Renew('5-1.1', INCARNATION, LEASE_MS))
        entry = harness.core.members.reservations['5-1.1']
        self.assertLessEqual(entry.lease_deadline_ms, warned_ms + LEASE_MS)

    def test_victim_is_stopped_at_the_deadline(self):
        """Guards against a leader that does not pass the warning on."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim(8))
        harness.send_request(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        harness.step(TaskStarted('5-1.1/0'))
        harness.wait(1_000)
        harness.send_request(Renew('5-1.1', INCARNATION, LEASE_MS))
        harness.prepare('5-2.1', make_claim(4, guaranteed=True))
        harness.wait(RECLAIM_MS - TICK_MS)
        self.assertNotIn(StopTask('5-1.1/0', checkpoint=False), harness.effects)
        harness.wait(TICK_MS)
        self.assertIn(StopTask('5-1.1/0', checkpoint=False), harness.effects)

    def test_member_stops_when_its_lease_lapses(self):
        """Guards against a member that runs on without a lease until others stop it."""
        harness = make_settled_harness()
        harness.prepare('5-1.1', make_claim())
        harness.send_request(Start('5-1.1', INCARNATION, OTHER_AGENT, b'{}', LEASE_MS))
        harness.step(TaskStarted('5-1.1/0'))
        harness.wait(LEASE_MS - TICK_MS)
        self.assertNotIn(StopTask('5-1.1/0', checkpoint=False), harness.effects)
        harness.wait(TICK_MS)
        self.assertIn(StopTask('5-1.1/0', checkpoint=False), harness.effects)


if __name__ == '__main__':
    unittest.main()
