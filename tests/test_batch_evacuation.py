"""Tests of the evacuation of failure domains, without a network."""

import unittest

import msgspec

from tests.batch_fleet import (
    CONFIGURATION,
    DEFERRABLE,
    ORDINARY,
    URGENT,
    Fleet,
    make_job,
    make_step,
)
from tests.evacuation_fleet import EvacuationFleet, make_domains
from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch import evacuation
from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.entities import Reservation, Unit, Wait
from yuccarelay.core.batch.evacuated_domains import (
    FRESH_MS,
    ORDER_SLACK_MS,
    EvacuatedDomains,
    make_times,
)
from yuccarelay.core.batch.events import Deposed, EvacuationConfirmed
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.protocol import Declined, LeaseReference, Report
from yuccarelay.core.batch.wait_report import WAIT_LOG_MS

LONG_MS = 600_000
BOUND_MS = 5_000
GUARANTEED_MS = 2_900
WRITE_MS = 300
# What the store may miss before it says so, and the repeats of a start by the agent.
MISSED_MS = 1_000
REPEATS_MS = 750
ODD_NAMES = ('a/b c', 'é=\n', '*', 'op/evacuate/')


class StartTest(unittest.TestCase):
    """Guards against starts in an evacuated failure domain."""

    def test_work_goes_to_other_domains_until_the_domain_is_restored(self):
        fleet = make_domains('a', 'b', run_ms=100)
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(24, 1)))
        fleet.run(3_000)
        self.assertEqual(fleet.state(job), 'completed')
        self.assertEqual(fleet.domains_started(job), {'b'})
        fleet.evacuate()
        later = fleet.submit(make_job(make_step(16, 1)))
        fleet.run(1_000)
        self.assertEqual(fleet.domains_started(later), {'a', 'b'})
        lines = fleet.list_notes('domain_evacuated', 'domain_restored')
        self.assertEqual([line['domain'] for line in lines], ['a', 'a'])

    def test_running_work_is_left_to_finish(self):
        fleet = make_domains('a', 'b', run_ms=3_000)
        job = fleet.submit(make_job(make_step(16, 1)))
        fleet.run(500)
        self.assertEqual(fleet.domains_started(job), {'a', 'b'})
        fleet.evacuate('a')
        fleet.run(4_000)
        self.assertEqual(fleet.state(job), 'completed')
        self.assertEqual(len(fleet.starts(job)), 16)
        self.assertEqual(fleet.list_notes('run_stopping'), [])

    def test_with_all_domains_evacuated_nothing_starts_and_nothing_is_lost(self):
        fleet = make_domains('a', 'b', run_ms=100)
        fleet.evacuate('a', 'b')
        job = fleet.submit(make_job(make_step(4, 8)))
        fleet.run(20_000)
        self.assertEqual(fleet.starts(job), [])
        fleet.evacuate('b')
        fleet.run(500)
        self.assertEqual(fleet.domains_started(job), {'a'})
        fleet.evacuate()
        fleet.run(2_000)
        self.assertEqual(fleet.state(job), 'completed')

    def test_a_domain_without_workers_affects_nothing(self):
        fleet = make_domains('a', run_ms=100)
        fleet.evacuate(*ODD_NAMES)
        job = fleet.submit(make_job())
        fleet.run(1_000)
        self.assertEqual(fleet.state(job), 'completed')
        fleet.evacuate()
        self.assertEqual(len(fleet.list_notes('domain_restored')), len(ODD_NAMES))

    def test_a_domain_of_any_name_is_evacuated(self):
        for name in ODD_NAMES:
            fleet = make_domains(name, 'b', run_ms=100)
            fleet.evacuate(name)
            job = fleet.submit(make_job(make_step(16, 1)))
            fleet.run(2_000)
            self.assertEqual(fleet.domains_started(job), {'b'})


class PendingTest(unittest.TestCase):
    """Guards against the start of a run that was assigned before the evacuation."""

    def assign(self, *domains: str, step, **fields) -> tuple[EvacuationFleet, Job]:
        """Return a fleet whose store is about to confirm the assignment of a job."""
        fleet = make_domains(*domains, run_ms=1_000)
        fleet.write_ms = WRITE_MS
        job = fleet.submit(make_job(step, **fields))
        fleet.run(WRITE_MS // 2)
        self.assertEqual(len(fleet.list_notes('run_assigned')), 1)
        self.assertEqual(fleet.starts(job), [])
        return fleet, job

    def test_an_assignment_that_is_not_started_moves(self):
        fleet, job = self.assign('a', 'b', step=make_step(1, 8))
        fleet.evacuate('a')
        # It is placed elsewhere before the store has saved the first assignment.
        placed = fleet.list_notes('run_assigned')
        self.assertEqual([line['workers'] for line in placed], ['agent-w0', 'agent-w1'])
        fleet.run(3_000)
        self.assertEqual(fleet.domains_started(job), {'b'})
        self.assertEqual(fleet.state(job), 'completed')
        (released,) = fleet.list_notes('run_released')[:1]
        self.assertEqual(released['reason'], 'evacuated')

    def test_a_gang_that_is_partly_there_moves_whole(self):
        fleet, job = self.assign('a', 'b', 'c', step=make_step(2, 8, gang=True))
        fleet.evacuate('a')
        fleet.run(3_000)
        self.assertEqual(fleet.domains_started(job), {'b', 'c'})
        self.assertEqual(fleet.state(job), 'completed')
        # The whole gang starts once, as its second run.
        self.assertEqual([run for _, _, run in fleet.starts(job)], [2, 2])

    def test_an_assignment_that_is_saved_while_nothing_is_confirmed_moves(self):
        fleet, job = self.assign('a', 'b', step=make_step(1, 8))
        fleet.is_feed_silent = True
        fleet.planner.planner_state.evacuated.fresh_until_ms = fleet.now_ms
        fleet.run(2_000)
        self.assertEqual(fleet.starts(job), [])
        fleet.is_feed_silent = False
        fleet.evacuate('a')
        fleet.run(3_000)
        self.assertEqual(fleet.domains_started(job), {'b'})
        self.assertEqual(fleet.state(job), 'completed')

    def test_urgent_work_within_its_guarantee_looks_elsewhere_at_once(self):
        fleet, job = self.assign('a', 'b', step=make_step(1, 8), queue=URGENT)
        accepted_ms = fleet.now_ms - WRITE_MS // 2
        fleet.evacuate('a')
        fleet.run(GUARANTEED_MS)
        ((started_ms, _, _),) = fleet.starts(job)
        self.assertLess(started_ms - accepted_ms, GUARANTEED_MS)
        self.assertEqual(fleet.domains_started(job), {'b'})


class CapacityTest(unittest.TestCase):
    """Guards against plans that count on workers of an evacuated domain."""

    def fill(self, *domains: str) -> EvacuationFleet:
        """Return a fleet that deferrable work fills."""
        fleet = make_domains(*domains, run_ms=LONG_MS)
        job = fleet.submit(make_job(make_step(len(domains), 8), queue=DEFERRABLE))
        fleet.run(500)
        self.assertEqual(len(fleet.starts(job)), len(domains))
        return fleet

    def test_no_work_is_stopped_where_its_capacity_is_of_no_use(self):
        fleet = self.fill('a', 'b')
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(1, 8), queue=URGENT))
        fleet.run(GUARANTEED_MS)
        self.assertEqual(fleet.domains_started(job), {'b'})
        stopped = fleet.list_notes('run_stopping')
        self.assertEqual([line['worker'] for line in stopped], ['w1'])
        fleet.evacuate('a', 'b')
        fleet.submit(make_job(make_step(1, 8), queue=URGENT))
        fleet.run(GUARANTEED_MS)
        self.assertEqual(fleet.list_notes('run_stopping'), stopped)

    def test_a_reservation_there_is_given_up_at_once(self):
        fleet = self.fill('a', 'b')
        for worker in fleet.workers.values():
            worker.lose_stops = 1
        job = fleet.submit(make_job(make_step(1, 8), queue=URGENT))
        accepted_ms = fleet.now_ms
        fleet.run(100)
        (reservation,) = fleet.planner.planner_state.reserved.values()
        domain = fleet.workers[reservation.placement[0]].domain
        fleet.evacuate(domain)
        for held in fleet.planner.planner_state.reserved.values():
            self.assertNotIn(reservation.placement[0], held.placement)
        fleet.run(GUARANTEED_MS - 100)
        ((started_ms, _, _),) = fleet.starts(job)
        self.assertLess(started_ms - accepted_ms, GUARANTEED_MS)
        self.assertEqual(fleet.domains_started(job), {'a', 'b'} - {domain})

    def test_a_reservation_that_is_partly_there_holds_nothing_elsewhere(self):
        fleet = self.fill('a', 'b')
        planner_state = fleet.planner.planner_state
        need = make_step(1, 8).need
        reservation = Reservation(('agent-w0', 'agent-w1'), need, LONG_MS)
        planner_state.reserved['unit',] = reservation
        event = EvacuationConfirmed(frozenset('b'), LONG_MS)
        evacuation.take_confirmation(planner_state, event)
        self.assertEqual(planner_state.reserved, {})

    def test_no_candidate_for_any_decision_is_in_the_domain(self):
        # Advance reservations, backfill and evictions choose among the candidates.
        fleet = self.fill('a', 'b', 'b')
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(1, 8)))
        planner_state = fleet.planner.planner_state
        unit = Unit(job.id, 0, 0, planner_state.plans[job.id].step_tasks(0, 0))
        planner_state.plans[job.id].waits[0, 0, 0] = Wait(fleet.now_ms)
        snapshot = CapacitySnapshot(planner_state, set())
        candidates = snapshot.list_candidates(unit, ORDINARY)
        self.assertEqual([one.agent for one in candidates], ['agent-w1', 'agent-w2'])

    def test_work_does_not_wait_for_its_data_rack_there(self):
        fleet = make_domains('a', 'b', run_ms=100)
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(1, 1, data_rack='r0')))
        fleet.run(2_500)
        self.assertEqual(fleet.domains_started(job), {'b'})


class WaitTest(unittest.TestCase):
    """Guards against work that waits for an evacuated domain without a word."""

    def find_cause(self, fleet: EvacuationFleet, job: Job) -> str:
        fleet.run(WAIT_LOG_MS + 500)
        lines = fleet.list_notes('unit_waiting')
        return next(line['cause'] for line in lines if line['job'] == job.id)

    def test_work_that_only_the_domain_could_hold_reports_it(self):
        fleet = make_domains('a', 'b', run_ms=LONG_MS)
        fleet.workers['agent-w1'].capacity = make_step(1, 2).need
        fleet.run(2_000)
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(1, 8)))
        self.assertEqual(self.find_cause(fleet, job), 'evacuated')

    def test_a_gang_that_the_rest_cannot_hold_reports_it(self):
        fleet = make_domains('a', 'b', 'b', run_ms=LONG_MS)
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(3, 8, gang=True)))
        self.assertEqual(self.find_cause(fleet, job), 'evacuated')

    def test_a_full_rest_reports_it(self):
        fleet = make_domains('a', 'b', run_ms=LONG_MS)
        fleet.evacuate('a')
        fleet.submit(make_job(make_step(1, 8)))
        fleet.run(300)
        job = fleet.submit(make_job(make_step(1, 8)))
        self.assertEqual(self.find_cause(fleet, job), 'evacuated')

    def test_work_that_fits_nowhere_does_not_blame_the_evacuation(self):
        fleet = make_domains('a', 'b')
        fleet.evacuate('a')
        job = fleet.submit(make_job(make_step(1, 1, label='none')))
        self.assertEqual(self.find_cause(fleet, job), 'no_worker')

    def test_the_state_has_the_number_of_domains(self):
        fleet = make_domains('a', 'b')
        fleet.evacuate('a', 'b')
        fleet.run(200)
        self.assertEqual(fleet.list_notes('planner_state')[-1]['evacuated_domains'], 2)


class ExpiryTest(unittest.TestCase):
    """Guards against starts by a set that is old or was never read."""

    def test_nothing_starts_once_the_set_has_expired(self):
        fleet = make_domains('a', 'b', run_ms=8_000)
        running = fleet.submit(make_job(make_step(2, 4)))
        fleet.run(500)
        fleet.is_feed_silent = True
        fleet.run(FRESH_MS + 100)
        job = fleet.submit(make_job())
        fleet.run(3_000)
        self.assertEqual(fleet.starts(job), [])
        # Nor is it assigned and released again and again.
        self.assertEqual(len(fleet.list_notes('run_assigned')), 2)
        self.assertEqual(len(fleet.list_notes('evacuation_unconfirmed')), 1)
        fleet.run(4_000)
        # What runs is not stopped for it.
        self.assertEqual(fleet.state(running), 'completed')
        fleet.is_feed_silent = False
        fleet.run(500)
        self.assertEqual(len(fleet.starts(job)), 1)
        self.assertEqual(len(fleet.list_notes('evacuation_confirmed')), 1)

    def test_a_new_planner_starts_nothing_before_its_first_set(self):
        fleet = make_domains('a', 'b', run_ms=100)
        fleet.is_feed_silent = True
        fleet.evacuated = frozenset('a')
        fleet.replace_planner()
        job = fleet.submit(make_job(make_step(16, 1)))
        fleet.run(3_000)
        self.assertEqual(fleet.starts(job), [])
        fleet.is_feed_silent = False
        fleet.run(3_000)
        self.assertEqual(fleet.domains_started(job), {'b'})

    def test_a_planner_that_is_elected_again_waits_for_a_new_set(self):
        fleet = make_domains('a', 'b')
        fleet.evacuate('a')
        evacuated = fleet.planner.planner_state.evacuated
        self.assertIsNone(evacuated.find_obstacle('b', fleet.now_ms))
        fleet.feed(Deposed('replaced'))
        obstacle = evacuated.find_obstacle('b', fleet.now_ms)
        self.assertEqual(obstacle, 'evacuation_unconfirmed')

    def test_an_evacuated_domain_is_an_obstacle_also_for_a_saved_assignment(self):
        evacuated = EvacuatedDomains(is_followed=True)
        evacuated.domains, evacuated.fresh_until_ms = frozenset('a'), 100
        self.assertEqual(evacuated.find_obstacle('a', 100), 'evacuated')
        self.assertIsNone(evacuated.find_obstacle('b', 100))
        self.assertEqual(evacuated.find_obstacle('b', 101), 'evacuation_unconfirmed')

    def test_a_new_planner_moves_what_the_last_one_had_assigned_there(self):
        fleet = make_domains('a', 'b', run_ms=100)
        fleet.write_ms = WRITE_MS
        job = fleet.submit(make_job(make_step(1, 8)))
        while job.id not in fleet.records:
            fleet.run(1)
            # The start that the save allows is never sent.
            fleet.queue = [one for one in fleet.queue if one[2][0] != 'order']
        self.assertEqual(fleet.starts(job), [])
        fleet.evacuated = frozenset('a')
        fleet.replace_planner()
        fleet.run(5_000)
        self.assertEqual(fleet.domains_started(job), {'b'})
        self.assertEqual(fleet.state(job), 'completed')

    def test_a_store_that_is_down_stops_no_running_work(self):
        fleet = make_domains('a', 'b', run_ms=5_000)
        job = fleet.submit(make_job(make_step(2, 8)))
        fleet.run(500)
        fleet.store_down = True
        fleet.run(4_000)
        fleet.store_down = False
        fleet.run(3_000)
        self.assertEqual(fleet.state(job), 'completed')
        self.assertEqual(len(fleet.starts(job)), 2)


class DeadlineTest(unittest.TestCase):
    """Guards against an order that is carried out after its set has expired."""

    def test_an_agent_declines_an_order_that_was_held_up(self):
        fleet = make_domains('a')
        guard = fleet.workers['agent-w0'].guard
        worker = guard.worker_id()
        self.assertIsNone(guard.check_start(worker, 100, 100))
        self.assertEqual(guard.check_start(worker, 100, 101), Declined('overdue'))
        self.assertIsNone(guard.check_start(worker, None, 101))

    def test_an_order_that_is_late_starts_nothing(self):
        fleet = make_domains('a', run_ms=100)
        fleet.write_ms = WRITE_MS
        job = fleet.submit(make_job())
        is_sent = False
        while not is_sent:
            fleet.run(1)
            is_sent = any(
                item[2][0] == 'order' and hasattr(item[2][2], 'start_by_ms')
                for item in fleet.queue
            )
        fleet.evacuate('a')
        delayed_ms = FRESH_MS + ORDER_SLACK_MS + 100
        fleet.queue = [
            (at_ms + delayed_ms, number, item)
            if hasattr(item[2] if item[0] == 'order' else None, 'start_by_ms')
            else (at_ms, number, item)
            for at_ms, number, item in fleet.queue
        ]
        fleet.run(4_000)
        self.assertEqual(fleet.starts(job), [])
        self.assertEqual(
            [line['reason'] for line in fleet.list_notes('start_declined')],
            ['overdue'],
        )

    def test_the_deadline_is_on_the_clock_of_the_agent(self):
        evacuated = EvacuatedDomains(is_followed=True)
        evacuated.fresh_until_ms = 5_000
        # The agent's clock showed 70,000 at most when the planner's showed 4,000.
        self.assertEqual(evacuated.start_by_ms(70_000, 4_000), 71_000 + ORDER_SLACK_MS)

    def test_the_parts_of_the_bound_add_up(self):
        for bound_ms in (4_000, BOUND_MS, 20_000):
            times = make_times(bound_ms)
            latest_ms = MISSED_MS + times.fresh_ms + ORDER_SLACK_MS + REPEATS_MS
            self.assertLess(latest_ms, bound_ms)
            # Two watches fit into the validity of the first, also if they are late.
            self.assertLess(2 * (times.watch_wait_ms + 400), times.fresh_ms)
        self.assertGreaterEqual(make_times(1).watch_wait_ms, 100)


class ColdTest(unittest.TestCase):
    """Guards against urgent work on a worker that is slow after its start."""

    def make_fleet(self, fleet=EvacuationFleet, **fields) -> Fleet:
        """Return a fleet whose first worker, otherwise the first choice, is cold."""
        found = make_domains('a', 'b', fleet=fleet, run_ms=LONG_MS, **fields)
        found.workers['agent-w0'].cold_ms = LONG_MS
        return found.run(2_000)

    def start(self, fleet: Fleet, *steps, **fields) -> list[str]:
        """Return the workers on which a job is started."""
        job = fleet.submit(make_job(*steps, **fields))
        fleet.run(500)
        return [
            worker.name
            for worker in fleet.workers.values()
            for _, task, _ in worker.starts
            if task.startswith(job.id)
        ]

    def test_a_cold_worker_comes_after_the_others(self):
        for queue in (URGENT, ORDINARY):
            self.assertEqual(self.start(self.make_fleet(), queue=queue), ['w1'])

    def test_urgent_work_takes_a_cold_worker_only_instead_of_waiting(self):
        fleet = self.make_fleet()
        step = make_step(1, 8)
        self.assertEqual(self.start(fleet, step, queue=URGENT), ['w1'])
        self.assertEqual(self.start(fleet, step, queue=URGENT), ['w0'])
        self.assertEqual(fleet.list_notes('run_stopping'), [])

    def test_a_gang_prefers_a_rack_of_warm_workers(self):
        fleet = self.make_fleet()
        step = make_step(2, 4, gang=True, same_rack=True)
        self.assertEqual(self.start(fleet, step, queue=URGENT), ['w1', 'w1'])

    def test_other_deployments_place_as_before(self):
        self.assertEqual(self.start(self.make_fleet(Fleet)), ['w0'])


class CompatibilityTest(unittest.TestCase):
    """Guards against messages that processes of another version cannot read."""

    def test_a_report_of_an_earlier_agent_is_read(self):
        report = Report(LeaseReference(1, 2), None, False)
        kind, fields = msgspec.msgpack.decode(batch_codec.encode(report))
        for name in ('cold_ms', 'is_settled', 'late_leases_expire_in_ms'):
            del fields[name]
        data = msgspec.msgpack.encode((kind, fields))
        self.assertEqual(batch_codec.decode(data).unwrap(), report)

    def test_without_the_setting_nothing_is_waited_for(self):
        fleet = make_domains('a', 'b', fleet=Fleet, run_ms=100)
        self.assertEqual(fleet.configuration, CONFIGURATION)
        job = fleet.submit(make_job(make_step(16, 1)))
        fleet.run(1_000)
        self.assertEqual(fleet.state(job), 'completed')
        evacuated = fleet.planner.planner_state.evacuated
        self.assertIsNone(evacuated.start_by_ms(1, 1))


if __name__ == '__main__':
    unittest.main()
