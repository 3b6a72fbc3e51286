"""Tests of the choice of workers, and of victims for urgent work."""

import unittest

from yuccarelay.core.batch.models import Resources, Step
from yuccarelay.core.batch.unit_placement import (
    Avoidance,
    Candidate,
    Suspicion,
    place_tasks,
)
from yuccarelay.core.batch.victim_search import (
    Victim,
    group_victims,
    latest_end,
    plan_eviction,
)

WORKER_CAPACITY = Resources(128_000, 262_144, 8)


def make_candidate(
    agent: str, accelerators: int = 0, rack: str = 'r0', **fields
) -> Candidate:
    """Return a worker with some free accelerators."""
    free = WORKER_CAPACITY._replace(accelerators=accelerators)
    return Candidate(agent, rack, ('a',), free, WORKER_CAPACITY, **fields)


def make_step(accelerators: int, **fields) -> Step:
    """Return a step whose tasks need some accelerators each."""
    need = Resources(1_000, 1_000, accelerators)
    return Step(**{'count': 1, 'need': need, **fields})


def make_victim(key: str, cost: float, *agents: str, accelerators: int = 8) -> Victim:
    """Return a victim with one task for each of the agents given."""
    need = Resources(1_000, 1_000, accelerators)
    return Victim((key,), tuple((agent, need) for agent in agents), cost)


def plan(step, count, candidates, victims, *combine):
    """Return the planned eviction; the victims may be in any order."""
    return plan_eviction(step, count, candidates, group_victims(victims), *combine)


class SpeedTest(unittest.TestCase):
    """Guards against work that is late because it runs on slow workers."""

    SLOW, FAST = -2, 2

    def place(self, step, count, levels, rack_size=9, **fields):
        """Return the workers for tasks, of some with these free accelerators."""
        candidates = [
            make_candidate(
                f'w{number}', free, f'r{number // rack_size}', speed_level=level
            )._replace(**fields)
            for number, (level, free) in enumerate(levels)
        ]
        return place_tasks(step, count, candidates)

    def test_among_equally_full_workers_the_fastest_is_taken(self):
        levels = [(self.SLOW, 4), (0, 4), (self.FAST, 4), (0, 8)]
        self.assertEqual(self.place(make_step(1), 1, levels, needs_speed=True), ('w2',))

    def test_empty_workers_are_left_empty_for_large_tasks(self):
        # Otherwise gangs that need whole workers find fewer of them.
        levels = [(self.FAST, 8), (0, 2)]
        self.assertEqual(self.place(make_step(1), 1, levels, needs_speed=True), ('w1',))

    def test_other_work_goes_to_the_fullest_worker_whatever_its_speed(self):
        levels = [(self.SLOW, 2), (0, 4), (self.FAST, 8)]
        self.assertEqual(self.place(make_step(1), 1, levels), ('w0',))

    def test_a_gang_goes_to_the_rack_whose_slowest_worker_is_fastest(self):
        levels = [(self.FAST, 8), (self.SLOW, 8), (0, 8), (0, 8)]
        step = make_step(8, gang=True, same_rack=True)
        self.assertEqual(self.place(step, 2, levels, 2, needs_speed=True), ('w2', 'w3'))
        self.assertEqual(self.place(step, 2, levels, 2), ('w0', 'w1'))

    def test_a_slow_worker_is_used_if_no_other_is_free(self):
        levels = [(self.SLOW, 8), (self.FAST, 0)]
        self.assertEqual(self.place(make_step(8), 1, levels, needs_speed=True), ('w0',))

    def test_a_worker_that_fails_its_work_comes_after_a_slow_one(self):
        failing = make_candidate(
            'a', 8, speed_level=self.FAST, suspicion=Suspicion.FAILED, needs_speed=True
        )
        slow = make_candidate('b', 8, speed_level=self.SLOW, needs_speed=True)
        self.assertEqual(place_tasks(make_step(1), 1, [failing, slow]), ('b',))


class EvictionTest(unittest.TestCase):
    """Guards against evictions that lose more work than necessary."""

    def test_one_expensive_victim_is_preferred_to_many_that_cost_more(self):
        small = [make_victim(f's{n}', 50, 'a', accelerators=1) for n in range(8)]
        candidates = [make_candidate('a'), make_candidate('b')]
        found = plan(make_step(8), 1, candidates, [*small, make_victim('l', 90, 'b')])
        self.assertEqual((found.placement, found.victims), (('b',), (('l',),)))

    def test_free_resources_are_used_first(self):
        candidates = [make_candidate('a', 2), make_candidate('b')]
        found = plan(make_step(2), 2, candidates, [make_victim('v', 5, 'b')])
        self.assertEqual(found.placement, ('a', 'b'))
        self.assertEqual(found.cost, 5)

    def test_a_gang_costs_once_and_frees_all_its_workers(self):
        victims = [
            make_victim('gang', 30, 'a', 'b'),
            make_victim('one', 20, 'c'),
            make_victim('two', 20, 'd'),
        ]
        candidates = [make_candidate(name) for name in 'abcd']
        found = plan(make_step(8), 2, candidates, victims)
        self.assertLessEqual(found.cost, 50)
        self.assertEqual(len(found.placement), 2)

    def test_a_gang_in_one_rack_takes_the_cheapest_rack(self):
        candidates = [
            make_candidate('a', rack='r0'),
            make_candidate('b', rack='r0'),
            make_candidate('c', rack='r1'),
            make_candidate('d', rack='r1'),
        ]
        costs = {'a': 1, 'b': 90, 'c': 30, 'd': 30}
        victims = [make_victim(name, cost, name) for name, cost in costs.items()]
        step = make_step(8, count=2, gang=True, same_rack=True)
        found = plan(step, 2, candidates, victims)
        self.assertEqual((sorted(found.placement), found.cost), (['c', 'd'], 60))

    def test_tasks_per_worker_are_limited(self):
        candidates = [make_candidate('a', 8), make_candidate('b')]
        step = make_step(1, per_worker=1)
        self.assertIsNone(plan(step, 2, candidates, []))
        found = plan(step, 2, candidates, [make_victim('v', 5, 'b')])
        self.assertEqual(found.placement, ('a', 'b'))

    def test_no_eviction_is_planned_if_all_victims_free_too_little(self):
        candidates = [
            make_candidate('a', avoidance=Avoidance.FAILING),
            make_candidate('b'),
        ]
        victims = [make_victim('v', 5, 'a'), make_victim('w', 5, 'b', accelerators=4)]
        self.assertIsNone(plan(make_step(8), 1, candidates, victims))


class AdvanceReservationTest(unittest.TestCase):
    """Guards against advance reservations on workers that become free late."""

    def test_the_worker_whose_last_run_ends_soonest_is_chosen(self):
        candidates = [make_candidate('a'), make_candidate('b')]
        ends = [make_victim(f's{n}', 100 + n, 'a', accelerators=1) for n in range(8)]
        ends.append(make_victim('l', 200, 'b'))
        found = plan(make_step(8), 1, candidates, ends, latest_end)
        self.assertEqual((found.placement, found.cost), (('a',), 107))
