"""Tests of how much work passes, ticks and reports take."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from tests import batch_fleet
from yuccarelay.core.batch import models, unit_placement
from yuccarelay.core.batch.eviction import LONGEST_STOP_MS, is_eviction_worthwhile
from yuccarelay.core.batch.models import Resources, Step
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.slow_workers import MIN_RUN_MS
from yuccarelay.core.batch.unit_placement import (
    Avoidance,
    Candidate,
    Suspicion,
    can_take,
    candidate_order,
    could_hold,
    is_usable,
    place_tasks,
    resources_held,
)
from yuccarelay.core.batch.victim_search import (
    EvictionSearch,
    Victim,
    group_victims,
    latest_end,
    plan_eviction,
)

WORKER_CAPACITY = Resources(128_000, 262_144, 8)
WORKERS = 57


def make_workers(accelerators: int) -> list[Candidate]:
    """Return a fleet of racks of five workers with some free accelerators each."""
    free = WORKER_CAPACITY._replace(accelerators=accelerators)
    return [
        Candidate(f'w{number}', f'r{number // 5}', (), free, WORKER_CAPACITY)
        for number in range(WORKERS)
    ]


def make_step(count: int, accelerators: int, **fields) -> Step:
    """Return a step whose tasks need some accelerators each."""
    return Step(count, Resources(1_000, 1_000, accelerators), **fields)


def count_calls(test: unittest.TestCase, name: str) -> mock.Mock:
    """Count the calls of a function of the placement until the test ends."""
    function = getattr(unit_placement, name)
    patch = mock.patch.object(unit_placement, name, wraps=function)
    test.addCleanup(patch.stop)
    return patch.start()


def place_one_by_one(step: Step, count: int, candidates: list[Candidate]):
    """Return the agents for tasks that may run on any rack, in the plainest way."""
    left = {
        candidate.agent: candidate
        for candidate in candidates
        if is_usable(step, candidate) and not candidate.avoided
    }
    chosen = []
    while len(chosen) < count:
        fitting = [
            candidate for candidate in left.values() if can_take(step, candidate)
        ]
        if not fitting:
            return None
        best = min(fitting, key=candidate_order)
        chosen.append(best.agent)
        left[best.agent] = best._replace(
            free=best.free.minus(resources_held(step)),
            colocated=best.colocated + 1,
            interference=best.interference + best.self_interference,
        )
    return tuple(chosen)


class PlacementWorkTest(unittest.TestCase):
    """
    Guards against a planner that is busy with units which fit nowhere.

    Callers and the renewal of the term waited behind it: each unit that waited was
    compared with all workers of a full fleet, several times a pass.
    """

    def test_on_a_full_fleet_no_workers_are_compared(self):
        compared, checked = (
            count_calls(self, 'candidate_order'),
            count_calls(self, 'is_usable'),
        )
        workers = make_workers(1)
        for step in (
            make_step(1, 2),
            make_step(12, 8, gang=True),
            make_step(4, 8, gang=True, same_rack=True),
            make_step(4, 8, data_rack='r1'),
        ):
            for spread in (False, True):
                self.assertIsNone(place_tasks(step, step.count, workers, spread))
        self.assertEqual(compared.call_count, 0)
        self.assertEqual(checked.call_count, 0)

    def test_only_workers_with_room_are_compared(self):
        compared = count_calls(self, 'candidate_order')
        workers = make_workers(0)
        workers[40:43] = make_workers(4)[40:43]
        self.assertEqual(place_tasks(make_step(2, 2), 2, workers), ('w40', 'w40'))
        self.assertLessEqual(compared.call_count, 3)

    def test_a_gang_that_does_not_fit_is_placed_nowhere_without_a_comparison(self):
        compared = count_calls(self, 'candidate_order')
        step = make_step(WORKERS + 1, 5, gang=True)
        self.assertIsNone(place_tasks(step, step.count, make_workers(8), True))
        self.assertEqual(compared.call_count, 0)

    def test_the_check_of_empty_workers_ends_with_the_first_that_are_enough(self):
        compared, checked = (
            count_calls(self, 'candidate_order'),
            count_calls(self, 'is_usable'),
        )
        self.assertTrue(could_hold(make_step(16, 1), 16, make_workers(0)))
        self.assertTrue(could_hold(make_step(WORKERS * 8, 1), 456, make_workers(0)))
        self.assertFalse(could_hold(make_step(WORKERS * 8, 1), 457, make_workers(0)))
        self.assertEqual(compared.call_count, 0)
        self.assertLessEqual(checked.call_count, 2 + 2 * WORKERS)

    def test_tasks_are_placed_as_one_by_one(self):
        draw, placed = random.Random(58), 0
        for _ in range(400):
            candidates = [
                Candidate(
                    f'w{number}',
                    'r0',
                    draw.choice([(), ('a',)]),
                    Resources(draw.randrange(0, 5_000), 9_000, draw.randrange(-1, 9)),
                    WORKER_CAPACITY,
                    colocated=draw.randrange(3),
                    avoidance=draw.choice([None, None, None, Avoidance.FAILING]),
                    suspicion=draw.choice(list(Suspicion)),
                    interference=draw.choice([0, 0, 0.5]),
                    self_interference=draw.choice([0, 0, 0, 0.25]),
                    speed_level=draw.randrange(-1, 2),
                    needs_speed=True,
                )
                for number in range(draw.randrange(8))
            ]
            step = make_step(
                draw.randrange(1, 7),
                draw.randrange(5),
                label=draw.choice(['', '', 'a']),
                per_worker=draw.choice([0, 0, 3]),
                best_effort=draw.random() < 0.2,
            )
            expected = place_one_by_one(step, step.count, candidates)
            placed += expected is not None
            for spread in (False, True):
                self.assertEqual(
                    place_tasks(step, step.count, candidates, spread), expected
                )
        self.assertGreater(placed, 100)


class EvictionWorkTest(unittest.TestCase):
    """
    Guards against a planner that is busy with searches for victims that are too few.

    Each urgent unit that waited on a full fleet cost several searches a pass.
    """

    def setUp(self):
        self.searched = []
        find_victims = EvictionSearch._find_victims

        def find_and_count(search, agent):
            self.searched.append(agent)
            return find_victims(search, agent)

        patch = mock.patch.object(EvictionSearch, '_find_victims', find_and_count)
        self.addCleanup(patch.stop)
        patch.start()

    def make_victims(self, agents: int, accelerators: int) -> list[Victim]:
        """Return one victim on each of the first workers."""
        need = Resources(1_000, 1_000, accelerators)
        return [
            Victim((number,), ((f'w{number}', need),), float(number))
            for number in range(agents)
        ]

    def test_victims_that_free_too_little_are_not_searched(self):
        victims = group_victims(self.make_victims(WORKERS, 4))
        for step in (
            make_step(1, 5),
            make_step(WORKERS + 1, 3, gang=True),
            make_step(6, 3, gang=True, same_rack=True, per_worker=1, label='none'),
        ):
            self.assertIsNone(
                plan_eviction(step, step.count, make_workers(0), victims, latest_end)
            )
        self.assertEqual(self.searched, [])

    def test_only_workers_that_could_hold_a_task_are_searched(self):
        victims = group_victims(self.make_victims(3, 8))
        found = plan_eviction(make_step(2, 8), 2, make_workers(0), victims)
        self.assertEqual(found.placement, ('w0', 'w1'))
        # Each once at first, and again after a task was placed there.
        self.assertEqual(sorted(self.searched), ['w0', 'w0', 'w1', 'w1', 'w2'])

    def is_worthwhile(self, accelerators: int, start_by_ms: int) -> bool:
        """Whether an eviction is for a task while runs end at 5,000 to 5,056 ms."""
        ends = group_victims(
            victim._replace(cost=victim.cost + 5_000)
            for victim in self.make_victims(WORKERS, accelerators)
        )
        step = make_step(1, 8)
        snapshot = SimpleNamespace(
            list_expected_ends=lambda quantile: ends,
            planner_state=SimpleNamespace(now=SimpleNamespace(ms=1_000)),
        )
        entry = SimpleNamespace(
            plan=SimpleNamespace(job=SimpleNamespace(steps=(step,))),
            unit=SimpleNamespace(step=0),
            rank=SimpleNamespace(start_by_ms=start_by_ms),
        )
        return is_eviction_worthwhile(snapshot, entry, make_workers(0), 1)

    def test_nothing_is_searched_if_too_little_ends_in_time(self):
        self.assertTrue(self.is_worthwhile(8, 4_999))
        self.assertTrue(self.is_worthwhile(7, 9_000))
        self.assertEqual(self.searched, [])

    def test_work_waits_for_what_ends_in_time(self):
        # It would be stopped for nothing.
        self.assertFalse(self.is_worthwhile(8, 5_000))
        self.assertGreater(5_000, 1_000 + LONGEST_STOP_MS)

    def test_victims_are_found_whenever_all_of_them_are_enough(self):
        draw, planned = random.Random(58), 0
        for _ in range(400):
            workers = make_workers(draw.randrange(3))[: draw.randrange(1, 8)]
            victims = [
                Victim(
                    (number,),
                    ((draw.choice(workers).agent, make_step(1, 1).need),),
                    float(draw.randrange(5)),
                )
                for number in range(draw.randrange(20))
            ]
            step = make_step(draw.randrange(1, 6), draw.randrange(1, 5), gang=True)
            emptied = [
                worker._replace(
                    free=worker.free._replace(
                        accelerators=worker.free.accelerators
                        + sum(victim.freed[0][0] == worker.agent for victim in victims)
                    )
                )
                for worker in workers
            ]
            found = plan_eviction(step, step.count, workers, group_victims(victims))
            is_enough = place_one_by_one(step, step.count, emptied) is not None
            self.assertEqual(found is not None, is_enough)
            planned += is_enough
        self.assertGreater(planned, 100)


class ReportWorkTest(unittest.TestCase):
    """Guards against a planner that is busy with reports in which nothing changes."""

    def setUp(self):
        self.fleet = batch_fleet.make_fleet(4, run_ms=60_000)

    def test_the_name_of_a_task_is_parsed_once_however_often_it_is_reported(self):
        with mock.patch.object(
            models, 'TASK_NUMBER', wraps=models.TASK_NUMBER
        ) as pattern:
            self.fleet.submit(batch_fleet.make_job(batch_fleet.make_step(32)))
            self.fleet.run(3_000)
        # The occurrence, the step and the index.
        self.assertEqual(pattern.fullmatch.call_count, 3 * 32)

    def test_a_tick_predicts_the_end_of_a_new_run_only_once(self):
        self.fleet.submit(batch_fleet.make_job(batch_fleet.make_step(32)))
        self.fleet.run(200)
        with mock.patch.object(
            PlannerState, 'estimate_ms', autospec=True, return_value=60_000.0
        ) as estimated:
            self.fleet.run(MIN_RUN_MS - 500)
        ticks = (MIN_RUN_MS - 500) // batch_fleet.TICK_MS
        self.assertLessEqual(estimated.call_count, 32 * ticks)


if __name__ == '__main__':
    unittest.main()
