"""Tests of the placement of jobs on workers."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarelay.core import placement
from yuccarelay.core.models import Adjacency, JobSpec
from yuccarelay.core.placement import Candidate, PlacementPolicy, choose_workers

BUDDY = PlacementPolicy.BUDDY


def make_spec(**changes) -> JobSpec:
    return JobSpec(organisation='kanem', name='certify', service='bale', **changes)


def make_candidate(name: str, free: int = 8, **changes) -> Candidate:
    values = {
        'region': 'north-west',
        'domain': 'kano-a',
        'rack': 'r1',
        'accelerators': 8,
        'free_slots': 8,
        'owned_free': 0,
        'others_owned': 0,
    }
    return Candidate(worker_id=name, free_accelerators=free, **(values | changes))


@st.composite
def draw_fleet(draw):
    fleet = []
    for number in range(draw(st.integers(0, 9))):
        domain = draw(st.integers(0, 2))
        owned = draw(st.integers(0, 8))
        fleet.append(
            make_candidate(
                f'w{number}',
                free=draw(st.integers(0, 8)),
                free_slots=draw(st.integers(0, 8)),
                owned_free=owned,
                others_owned=draw(st.integers(0, 8 - owned)),
                reclaimable_slots=draw(st.integers(0, 2)),
                region=f'g{domain % 2}',
                domain=f'd{domain}',
                rack=f'r{draw(st.integers(0, 1))}',
            )
        )
    return fleet


SPECS = st.builds(
    make_spec,
    repeatable=st.booleans(),
    members=st.integers(1, 12),
    accelerators=st.integers(0, 8),
    adjacency=st.sampled_from(Adjacency),
)


class ChooseWorkersTest(unittest.TestCase):
    """Guards against placements that break capacity, adjacency or ownership."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=600)
    @given(SPECS, draw_fleet(), st.sampled_from(PlacementPolicy))
    def test_assignment_keeps_capacity_adjacency_and_cells(self, spec, fleet, policy):
        chosen = choose_workers(spec, fleet, policy, frozenset({'d1'}))
        if chosen is None:
            return
        workers = {c.worker_id: c for c in fleet}
        members = [member for a in chosen for member in a.members]
        self.assertEqual(sorted(members), list(range(spec.members)))
        self.assertTrue(all(a.members for a in chosen))
        self.assertEqual(max(Counter(a.worker_id for a in chosen).values()), 1)
        for a in chosen:
            worker = workers[a.worker_id]
            need = len(a.members) * spec.accelerators
            lent = worker.reclaimable_slots if a.guaranteed and need else 0
            self.assertLessEqual(len(a.members), worker.free_slots + lent)
            limit = worker.owned_free if a.guaranteed else worker.free_accelerators
            self.assertLessEqual(need, limit)
            self.assertTrue(a.guaranteed or spec.preemptible)
        widths = {'worker': 4, 'rack': 3, 'domain': 2, 'region': 1, 'any': 1}
        places = {
            (w.region, w.domain, w.rack, w.worker_id)[: widths[spec.adjacency.value]]
            for w in (workers[a.worker_id] for a in chosen)
        }
        self.assertEqual(len(places), 1)

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(SPECS, draw_fleet(), st.sampled_from(PlacementPolicy))
    def test_job_is_placed_whenever_one_part_of_the_fleet_holds_it(
        self, spec, fleet, policy
    ):
        capacity: Counter = Counter()
        for c in fleet:
            need = spec.accelerators
            slots = c.free_slots + c.reclaimable_slots
            owned = min(c.owned_free // need, slots) if need else 0
            free = min(c.free_accelerators // need, c.free_slots) if need else 0
            best = max(owned, free if spec.preemptible else 0)
            place = (c.region, c.domain, c.rack, c.worker_id)
            widths = {'worker': 4, 'rack': 3, 'domain': 2, 'region': 1, 'any': 1}
            key = place[: widths[spec.adjacency.value]]
            capacity[key] += best if need else c.free_slots
        expected = any(total >= spec.members for total in capacity.values())
        chosen = choose_workers(spec, fleet, policy)
        self.assertEqual(chosen is not None, expected)

    def test_own_cells_come_first_even_when_lent_out(self):
        lent = make_candidate('lent', free=0, owned_free=8)
        fleet = [make_candidate('free'), lent]
        (chosen,) = choose_workers(make_spec(accelerators=8), fleet, BUDDY)
        self.assertEqual((chosen.worker_id, chosen.guaranteed), ('lent', True))
        fleet.append(make_candidate('own', owned_free=8))
        (chosen,) = choose_workers(make_spec(accelerators=8), fleet, BUDDY)
        self.assertEqual(chosen.worker_id, 'own')

    def test_avoided_domain_is_used_only_without_alternative(self):
        fleet = [make_candidate('a', owned_free=8), make_candidate('b', domain='f')]
        for avoided, expected in (({'kano-a'}, 'b'), ({'kano-a', 'f'}, 'a')):
            (chosen,) = choose_workers(make_spec(), fleet, BUDDY, frozenset(avoided))
            self.assertEqual(chosen.worker_id, expected)

    def test_gang_uses_an_avoided_domain_as_little_as_possible(self):
        fleet = [make_candidate('a', free=4), make_candidate('b', domain='f')]
        for policy in PlacementPolicy:
            chosen = choose_workers(
                make_spec(members=10), fleet, policy, frozenset({'kano-a'})
            )
            members = {a.worker_id: len(a.members) for a in chosen}
            self.assertEqual(members, {'b': 8, 'a': 2})


class BuddyTest(unittest.TestCase):
    """Guards against small jobs that fragment idle workers and racks needlessly."""

    def choose(self, *fleet, **changes) -> list[str]:
        chosen = choose_workers(make_spec(**changes), fleet, BUDDY)
        return [a.worker_id for a in chosen]

    def test_worker_with_the_least_sufficient_capacity_is_chosen(self):
        fleet = [make_candidate(f'w{free}', free=free) for free in (8, 5, 7, 2)]
        self.assertEqual(self.choose(*fleet), ['w2'])
        self.assertEqual(self.choose(*fleet, accelerators=4), ['w5'])
        self.assertEqual(self.choose(*fleet, members=11), ['w2', 'w5', 'w7'])

    def test_partly_used_rack_comes_before_idle_rack(self):
        fleet = [
            make_candidate('whole-1'),
            make_candidate('whole-2'),
            make_candidate('broken-1', rack='r2'),
            make_candidate('broken-2', rack='r2', free=3),
        ]
        self.assertEqual(self.choose(*fleet, accelerators=8), ['broken-1'])

    def test_unowned_accelerators_come_before_those_of_others(self):
        fleet = [make_candidate('owned', others_owned=8), make_candidate('unowned')]
        self.assertEqual(self.choose(*fleet), ['unowned'])

    def test_fragmentation_counts_partly_used_workers_and_racks(self):
        fleet = [make_candidate('a'), make_candidate('b', free=4)]
        fleet.append(make_candidate('c', rack='r2', free=4, accelerators=4))
        self.assertEqual(placement.measure_fragmentation(fleet), 4 / 16)
        self.assertEqual(placement.measure_rack_fragmentation(fleet), 12 / 16)
        self.assertEqual(placement.measure_fragmentation([]), 0.0)
