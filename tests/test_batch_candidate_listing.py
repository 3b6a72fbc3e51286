"""Tests of how workers look to units, and of the work that a pass does for that."""

import unittest
from unittest import mock

from tests.batch_fleet import (
    DEFERRABLE,
    ORDINARY,
    URGENT,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from yuccarelay.core.batch import placement_choice, scheduling
from yuccarelay.core.batch.candidate_listing import UNLIMITED, count_slots
from yuccarelay.core.batch.capacity_snapshot import CapacitySnapshot
from yuccarelay.core.batch.entities import Unit, Wait
from yuccarelay.core.batch.models import Job, Resources
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import Candidate, place_tasks

FLEET_SIZES = (57, 160)
LONG_MS = 60_000


def count_built(planner_state: PlannerState) -> int:
    """Return how many candidates a pass builds from workers."""
    build, built = Candidate.__new__, []

    def count(cls, *fields, **named) -> Candidate:
        built.append(cls)
        return build(cls, *fields, **named)

    with mock.patch.object(Candidate, '__new__', staticmethod(count)):
        scheduling.assign_units(planner_state)
    return len(built)


class CrowdedPassTest(unittest.TestCase):
    """Guards against passes that look at each worker anew for each unit that waits."""

    def make_crowd(self, size: int, jobs: int, **fields) -> PlannerState:
        """Return the state of a full fleet with jobs of several kinds that wait."""
        fleet = make_fleet(size, 5, run_ms=LONG_MS)
        fleet.submit(make_job(make_step(size, 8, estimated_ms=LONG_MS)))
        fleet.run(200)
        planner_state = fleet.planner.planner_state
        planner_state.pass_due_ms = fleet.now_ms + LONG_MS
        for number in range(jobs):
            queue = (ORDINARY, DEFERRABLE)[number % 2]
            is_gang = number % 3 == 0
            step = make_step(1 + number % 7, 1 + number % 8, gang=is_gang, **fields)
            fleet.submit(make_job(step, queue=queue))
        return planner_state

    def test_workers_are_looked_at_once_for_all_units_that_see_them_alike(self):
        for size in FLEET_SIZES:
            with self.subTest(workers=size):
                planner_state = self.make_crowd(size, 60)
                built = count_built(planner_state)
                waits = [plan.waits for plan in planner_state.plans.values()]
                self.assertEqual(sum(bool(one) for one in waits), 60)
                # Units that would be late on a slow worker see them in another order.
                self.assertLessEqual(built, 2 * size)

    def test_steps_with_a_history_do_not_look_at_all_workers_again(self):
        size = 57
        planner_state = self.make_crowd(size, 40)
        until_ms = planner_state.now.ms + LONG_MS
        workers = [view.id for view in planner_state.workers.values()]
        for number, plan in enumerate(planner_state.plans.values()):
            if not plan.runs:
                plan.failed_on[0, 0] = {workers[number]: until_ms}
        self.assertLessEqual(count_built(planner_state), 2 * size)

    def test_steps_that_limit_their_tasks_on_a_worker_share_the_candidates(self):
        size = 57
        planner_state = self.make_crowd(size, 40, per_worker=1)
        self.assertLessEqual(count_built(planner_state), 2 * size)

    def test_no_place_is_searched_for_units_that_fit_nowhere(self):
        for size in FLEET_SIZES:
            with self.subTest(workers=size):
                planner_state = self.make_crowd(size, 60)
                with mock.patch.object(
                    placement_choice, 'place_tasks', wraps=place_tasks
                ) as counted:
                    scheduling.assign_units(planner_state)
                self.assertEqual(counted.call_count, 0)

    def test_after_a_placement_only_its_workers_are_looked_at_again(self):
        size, jobs = 57, 40
        fleet = make_fleet(size, 5, run_ms=LONG_MS)
        planner_state = fleet.planner.planner_state
        planner_state.pass_due_ms = fleet.now_ms + LONG_MS
        for _ in range(jobs):
            fleet.submit(make_job(make_step(1, 1)))
        built = count_built(planner_state)
        self.assertEqual(len(planner_state.plans), jobs)
        self.assertTrue(all(plan.runs for plan in planner_state.plans.values()))
        self.assertLessEqual(built, 2 * (size + jobs))


class ListingTest(unittest.TestCase):
    """Guards against units that are placed by what holds for other units only."""

    def setUp(self):
        self.fleet = make_fleet(3, run_ms=LONG_MS)
        self.planner_state = self.fleet.planner.planner_state
        self.planner_state.pass_due_ms = self.fleet.now_ms + LONG_MS

    def add(self, **fields) -> Unit:
        """Return a waiting unit of a new job with one step."""
        job = self.fleet.submit(make_job(make_step(2, 1, **fields)))
        return self.find_unit(job, 0)

    def find_unit(self, job: Job, index: int) -> Unit:
        """Return the unit of a task of a job's first step, as it waits."""
        plan = self.planner_state.plans[job.id]
        plan.waits[0, 0, index] = Wait(self.fleet.now_ms)
        return Unit(job.id, 0, 0, plan.step_tasks(0, 0)[index : index + 1])

    def list_by_agent(
        self, snapshot: CapacitySnapshot, unit: Unit, queue=ORDINARY
    ) -> dict[str, Candidate]:
        """Return the candidates of a unit by their agents."""
        candidates = snapshot.list_candidates(unit, queue)
        return {candidate.agent: candidate for candidate in candidates}

    def place(self, snapshot: CapacitySnapshot, unit: Unit, agent: str) -> None:
        """Assign a unit to a worker as a pass does."""
        self.planner_state.assign(
            self.planner_state.plans[unit.job], unit, (agent,) * len(unit.tasks)
        )
        snapshot.refresh((agent,))

    def test_a_placement_is_seen_by_units_of_other_jobs(self):
        first, second, third = self.add(), self.add(checkpointing=True), self.add()
        snapshot = CapacitySnapshot(self.planner_state, set())
        for unit in (first, second, third):
            self.assertEqual(
                self.list_by_agent(snapshot, unit)['agent-w1'].free.accelerators, 8
            )
        self.place(snapshot, first, 'agent-w1')
        for unit in (second, third):
            found = self.list_by_agent(snapshot, unit)
            self.assertEqual(found['agent-w1'].free.accelerators, 7)
            self.assertEqual(found['agent-w0'].free.accelerators, 8)

    def test_tasks_beside_each_other_count_for_their_own_step_only(self):
        unit, other = self.add(per_worker=1), self.add(per_worker=1)
        snapshot = CapacitySnapshot(self.planner_state, set())
        self.place(snapshot, unit, 'agent-w1')
        own = self.find_unit(self.fleet.jobs[unit.job], 1)
        self.assertEqual(self.list_by_agent(snapshot, own)['agent-w1'].colocated, 1)
        self.assertEqual(self.list_by_agent(snapshot, other)['agent-w1'].colocated, 0)

    def test_a_worker_is_avoided_only_by_the_step_that_failed_there(self):
        unit, other = self.add(), self.add()
        worker = self.planner_state.workers['agent-w1'].id
        until_ms = self.fleet.now_ms + LONG_MS
        self.planner_state.plans[unit.job].failed_on[0, 0] = {worker: until_ms}
        snapshot = CapacitySnapshot(self.planner_state, set())
        self.assertFalse(self.list_by_agent(snapshot, other)['agent-w1'].avoided)
        self.assertTrue(self.list_by_agent(snapshot, unit)['agent-w1'].avoided)
        self.assertFalse(self.list_by_agent(snapshot, other)['agent-w1'].avoided)

    def test_best_effort_keeps_off_latency_sensitive_work_of_any_job(self):
        server = self.add(target_ms=50, is_long_running=True)
        snapshot = CapacitySnapshot(self.planner_state, set())
        self.place(snapshot, server, 'agent-w1')
        best_effort, plain = self.add(best_effort=True), self.add()
        self.assertTrue(
            self.list_by_agent(snapshot, best_effort)['agent-w1'].interferes
        )
        self.assertFalse(self.list_by_agent(snapshot, plain)['agent-w1'].interferes)


class SlotsTest(unittest.TestCase):
    """Guards against units that wait beside room, as it is counted wrongly."""

    def count(self, fleet: Fleet, need: Resources) -> int:
        """Return the tasks that fit on a fleet by a new snapshot."""
        snapshot = CapacitySnapshot(fleet.planner.planner_state, set())
        return snapshot.count_slots('desk', need)

    def test_the_scarcest_resource_decides(self):
        free = Resources(4_000, 3_000, 2)
        for need, slots in (
            (Resources(1_000, 1_000, 1), 2),
            (Resources(1_000, 1_000, 0), 3),
            (Resources(3_000, 0, 0), 1),
            (Resources(0, 0, 3), 0),
            (Resources(), UNLIMITED),
        ):
            with self.subTest(need=need):
                self.assertEqual(count_slots(free, need), slots)

    def test_resources_that_are_overdrawn_hold_nothing(self):
        self.assertEqual(count_slots(Resources(-1, 100, 1), Resources(0, 1, 1)), 0)

    def test_placements_and_their_ends_are_followed_within_a_pass(self):
        fleet = make_fleet(3, run_ms=LONG_MS)
        planner_state = fleet.planner.planner_state
        planner_state.pass_due_ms = fleet.now_ms + LONG_MS
        job = fleet.submit(make_job(make_step(1, 3), queue=URGENT))
        plan = planner_state.plans[job.id]
        unit = Unit(job.id, 0, 0, plan.step_tasks(0, 0))
        need = Resources(1_000, 1_000, 4)
        snapshot = CapacitySnapshot(planner_state, set())
        self.assertEqual(snapshot.count_slots('desk', need), 6)
        planner_state.assign(plan, unit, ('agent-w1',))
        snapshot.refresh(('agent-w1',))
        self.assertEqual(snapshot.count_slots('desk', need), 5)
        self.assertEqual(self.count(fleet, need), 5)
        planner_state.release(plan.runs[unit.tasks[0]], 'test')
        snapshot.refresh(('agent-w1',))
        self.assertEqual(snapshot.count_slots('desk', need), 6)
        self.assertEqual(self.count(fleet, need), 6)
