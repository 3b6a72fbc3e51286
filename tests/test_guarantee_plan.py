"""Tests of packing and of the guarantee plan."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from yuccarelay.core.fleet import Cell, GuaranteedCell, RackCapacity
from yuccarelay.core.guarantee_plan import (
    CellAssignment,
    Plan,
    assign_cells,
    index_shares,
    owned_shares,
    unplaced_cells,
)
from yuccarelay.core.manifest import Manifest, Organisation
from yuccarelay.core.models import Adjacency, OwnedShare, WorkerState
from yuccarelay.core.packing import find_packing

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=300)
NOTHING_PINNED = frozenset()


def make_cell(
    workers: int,
    accelerators: int,
    within: Adjacency = Adjacency.WORKER,
    region: str = '',
) -> Cell:
    return Cell(workers, accelerators, within, 'desk', region)


def make_rack(
    name: str,
    workers: int = 3,
    accelerators: int = 8,
    domain: str = 'hobart',
    region: str = 'south',
    service: str = 'desk',
) -> RackCapacity:
    return RackCapacity(region, domain, name, service, workers, accelerators, 8)


def make_workers(*racks: RackCapacity) -> list[WorkerState]:
    return [
        WorkerState(f'{rack.rack}-{n}', 1, 1, '', rack.service, *rack[:3], *rack[5:])
        for rack in racks
        for n in range(rack.workers)
    ]


def make_manifest(**guarantees: list[tuple[Cell, int]]) -> Manifest:
    organisations = {
        name: Organisation(name, (), 1, 1, tuple(GuaranteedCell(*c) for c in cells), {})
        for name, cells in guarantees.items()
    }
    return Manifest((), (), organisations)


def make_plan(manifest, workers, previous=None, pinned=NOTHING_PINNED) -> Plan:
    return assign_cells(manifest, 1, workers, previous, pinned)


def list_assignments(plan: Plan) -> dict:
    return {assignment[:2]: assignment.workers for assignment in plan.assignments}


def pack(racks, *cells, **options):
    guarantee = [GuaranteedCell(*entry) for entry in cells]
    return find_packing(racks, {'guild': guarantee}, **options)


class PackingTest(unittest.TestCase):
    """Guards against guarantees that are accepted although they do not all fit."""

    def test_cells_must_fit_workers_and_racks_besides_totals(self):
        racks = [make_rack('r1', workers=1), make_rack('r2', workers=1)]
        self.assertIsInstance(pack(racks, (make_cell(1, 8), 2)), Ok)
        # Totals suffice for three cells of 5 but each worker has space for one.
        self.assertTrue(pack(racks, (make_cell(1, 5), 3)).unwrap_err().exhaustive)
        pair = make_cell(2, 4, Adjacency.RACK)
        error = pack(racks, (pair, 1)).unwrap_err()
        self.assertEqual((error.cell, error.exhaustive), (pair, True))
        packed = pack(racks, (make_cell(2, 4, Adjacency.DOMAIN), 2)).unwrap()
        for entry in packed:
            self.assertEqual(len(set(entry.workers)), 2)

    def test_backtracking_finds_what_first_fit_misses(self):
        # First fit puts both cells of 4 on one worker, which leaves 2 unused.
        racks = [make_rack('r1', workers=2, accelerators=10)]
        cells = [(make_cell(1, 4), 2), (make_cell(1, 3), 4)]
        error = pack(racks, *cells, step_limit=0).unwrap_err()
        self.assertEqual((error.cell.accelerators, error.ordinal), (3, 5))
        self.assertFalse(error.exhaustive)
        self.assertIsInstance(pack(racks, *cells), Ok)

    @FUZZ
    @given(
        st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), max_size=3),
        st.lists(st.tuples(st.integers(1, 2), st.integers(1, 4)), max_size=6),
    )
    def test_agrees_with_trying_every_choice(self, sizes, shapes):
        racks = [make_rack(f'r{i}', n, size) for i, (n, size) in enumerate(sizes)]
        cells = [
            make_cell(n, size, Adjacency.RACK if n > 1 else Adjacency.WORKER)
            for n, size in shapes
        ]
        found = pack(racks, *((cell, 1) for cell in cells))
        free = {(i, j): size for i, (n, size) in enumerate(sizes) for j in range(n)}
        self.assertEqual(found.is_ok(), self.try_all(free, cells))
        self.assertTrue(found.is_ok() or found.err_value.exhaustive)
        for packed in found.unwrap_or(()):
            racks_used = {name.rpartition('/')[0] for name in packed.workers}
            self.assertEqual(len(racks_used), 1)

    def try_all(self, free: dict, cells: list[Cell]) -> bool:
        if not cells:
            return True
        first, *rest = cells
        for bins in itertools.combinations(sorted(free), first.workers):
            same_rack = len({rack for rack, _ in bins}) == 1
            if same_rack and all(free[i] >= first.accelerators for i in bins):
                used = {i: free[i] - first.accelerators for i in bins}
                if self.try_all(free | used, rest):
                    return True
        return False


class PlanTest(unittest.TestCase):
    """Guards against cells that move or are dropped needlessly as workers change."""

    def setUp(self):
        self.workers = make_workers(make_rack('r1'), make_rack('r2', domain='huon'))
        self.manifest = make_manifest(
            guild=[(make_cell(2, 8, Adjacency.RACK), 1), (make_cell(1, 4), 2)],
            stalls=[(make_cell(1, 2), 3)],
        )
        self.plan = make_plan(self.manifest, self.workers)

    def drain(self, *names: str) -> list[WorkerState]:
        return [
            state._replace(draining=state.worker_id in names) for state in self.workers
        ]

    def test_order_of_workers_does_not_matter(self):
        self.assertEqual(self.plan.epoch, 1)
        self.assertEqual(unplaced_cells(self.manifest, self.plan), ())
        reordered = make_plan(self.manifest, self.workers[::-1])
        self.assertEqual(reordered, self.plan)
        again = make_plan(self.manifest, self.workers[::-1], self.plan)
        self.assertIs(again, self.plan)

    def test_only_cells_of_a_lost_worker_move(self):
        lost = list_assignments(self.plan)[('stalls', 0)][0]
        left = [state for state in self.workers if state.worker_id != lost]
        for workers in (left, self.drain(lost)):
            plan = make_plan(self.manifest, workers, self.plan)
            self.assertEqual(plan.epoch, 2)
            self.assertEqual(unplaced_cells(self.manifest, plan), ())
            for key, assignment in list_assignments(self.plan).items():
                if lost in assignment:
                    self.assertNotIn(lost, list_assignments(plan)[key])
                else:
                    self.assertEqual(list_assignments(plan)[key], assignment)

    def test_pinned_cell_stays_on_a_draining_worker(self):
        assignment = list_assignments(self.plan)[('stalls', 0)]
        pinned = frozenset({('stalls', 0)})
        plan = make_plan(self.manifest, self.drain(*assignment), self.plan, pinned)
        self.assertEqual(list_assignments(plan)[('stalls', 0)], assignment)
        others = list_assignments(plan)
        del others[('stalls', 0)]
        self.assertFalse(any(assignment[0] in names for names in others.values()))

    def test_new_generation_raises_the_epoch(self):
        plan = assign_cells(self.manifest, 2, self.workers, self.plan, NOTHING_PINNED)
        self.assertEqual(plan, Plan(2, 2, self.plan.assignments))

    def test_cells_keep_their_workers_when_ordinals_shift(self):
        before = list_assignments(self.plan)
        manifest = make_manifest(
            guild=[(make_cell(1, 4), 2)],
            stalls=[(make_cell(1, 2), 3)],
        )
        after = list_assignments(make_plan(manifest, self.workers, self.plan))
        moved = {before[('guild', 1)], before[('guild', 2)]}
        self.assertEqual({after[('guild', 0)], after[('guild', 1)]}, moved)
        self.assertEqual(after[('stalls', 0)], before[('stalls', 0)])

    def test_a_large_cell_moves_few_small_ones_and_no_pinned_ones(self):
        workers = make_workers(make_rack('r1'))
        cells = {'a': [(make_cell(1, 4), 2)], 'c': [(make_cell(1, 6), 1)]}
        manifest = make_manifest(**cells, b=[(make_cell(1, 8), 1)])
        scattered = (
            CellAssignment('a', 0, ('r1-2',), 4),
            CellAssignment('a', 1, ('r1-1',), 4),
            CellAssignment('c', 0, ('r1-0',), 6),
        )
        plan = Plan(5, 1, scattered)
        pinned = frozenset({('a', 0), ('a', 1)})
        held = make_plan(manifest, workers, plan, pinned)
        self.assertIs(held, plan)
        missing = unplaced_cells(manifest, held)
        self.assertEqual([request[:2] for request in missing], [('b', 0)])
        assignments = list_assignments(
            make_plan(manifest, workers, plan, pinned - {('a', 1)})
        )
        self.assertEqual(assignments[('a', 0)], ('r1-2',))
        self.assertEqual(assignments[('a', 1)], ('r1-2',))
        self.assertEqual(assignments[('b', 0)], ('r1-1',))
        # Placing all cells anew would put the cell of 8 here.
        self.assertEqual(assignments[('c', 0)], ('r1-0',))

    def test_cells_that_do_not_block_others_return_to_their_workers(self):
        racks = (make_rack('r1', accelerators=4), make_rack('r2', 2, 3))
        pair = make_cell(2, 4, Adjacency.RACK)
        manifest = make_manifest(a=[(make_cell(1, 3), 3)], b=[(pair, 1)])
        assignments = (CellAssignment('a', n, (f'r1-{n}',), 3) for n in range(3))
        plan = make_plan(manifest, make_workers(*racks), Plan(1, 1, tuple(assignments)))
        self.assertEqual(list_assignments(plan)[('a', 2)], ('r1-2',))
        self.assertEqual(list_assignments(plan)[('b', 0)], ('r1-0', 'r1-1'))

    def test_plan_places_all_cells_that_the_manifest_check_accepts(self):
        # First fit puts both cells of 4 on one worker, see PackingTest.
        manifest = make_manifest(a=[(make_cell(1, 4), 2), (make_cell(1, 3), 4)])
        racks = make_rack('r1', workers=2, accelerators=10)
        plan = make_plan(manifest, make_workers(racks))
        self.assertEqual(unplaced_cells(manifest, plan), ())

    def test_pinned_cell_stays_when_a_worker_shrinks(self):
        manifest = make_manifest(a=[(make_cell(1, 4), 2)])
        plan = make_plan(manifest, make_workers(make_rack('r1', workers=1)))
        small = make_workers(make_rack('r1', workers=1, accelerators=4))
        following = make_plan(manifest, small, plan, frozenset({('a', 1)}))
        self.assertEqual(list_assignments(following), {('a', 1): ('r1-0',)})

    def test_shares_are_sums_sorted_by_organisation(self):
        workers = make_workers(make_rack('r1', workers=1))
        cells = {'b': [(make_cell(1, 2), 2)], 'a': [(make_cell(1, 3), 1)]}
        plan = make_plan(make_manifest(**cells), workers)
        shares = (OwnedShare('a', 3), OwnedShare('b', 4))
        self.assertEqual(owned_shares(plan, 'r1-0'), shares)
        self.assertEqual(index_shares(plan), {'r1-0': shares})
        self.assertEqual(owned_shares(plan, 'other'), ())


PARTS = {1: Adjacency.WORKER, 2: Adjacency.RACK, 3: Adjacency.DOMAIN}
CELLS = st.builds(
    lambda workers, size, region: make_cell(
        min(workers, 3),
        size,
        PARTS.get(workers, Adjacency.REGION),
        region,
    ),
    st.integers(1, 4),
    st.integers(1, 8),
    st.sampled_from(['', 'south', 'north']),
)
MANIFESTS = st.dictionaries(
    st.sampled_from(['a', 'b', 'c']),
    st.lists(st.tuples(CELLS, st.integers(1, 3)), max_size=3),
).map(lambda guarantees: make_manifest(**guarantees))
FLEET = make_workers(
    make_rack('r1'),
    make_rack('r2', workers=2),
    make_rack('r3', domain='huon', accelerators=4),
    make_rack('r4', domain='launceston', region='north'),
    make_rack('r5', domain='launceston', region='north', service='ledger'),
)
VIEWS = st.lists(
    st.builds(
        lambda state, draining, size: state._replace(
            draining=draining,
            accelerators=size,
        ),
        st.sampled_from(FLEET),
        st.booleans(),
        st.sampled_from([2, 8]),
    ),
    unique_by=lambda state: state.worker_id,
)


class PlanPropertyTest(unittest.TestCase):
    """Guards against cells that share accelerators and plans that never settle."""

    def check_plan(self, manifest, workers, plan):
        """Check that assignments match their cells and no worker is overcommitted."""
        by_id = {state.worker_id: state for state in workers}
        free = {state.worker_id: state.accelerators for state in workers}
        cells = {}
        for name, organisation in manifest.organisations.items():
            listed = [cell for cell, n in organisation.guarantee for _ in range(n)]
            cells |= {(name, i): cell for i, cell in enumerate(listed)}
        left_out = [request[:2] for request in unplaced_cells(manifest, plan)]
        self.assertEqual(sorted([*list_assignments(plan), *left_out]), sorted(cells))
        for assignment in plan.assignments:
            cell = cells[assignment[:2]]
            states = [by_id[name] for name in assignment.workers]
            self.assertEqual({state.service for state in states}, {cell.service})
            self.assertEqual(len(set(assignment.workers)), cell.workers)
            self.assertEqual(assignment.accelerators, cell.accelerators)
            self.assertTrue(all(cell.region in ('', s.region) for s in states))
            fields = {Adjacency.DOMAIN: 2, Adjacency.REGION: 1}.get(cell.within, 3)
            places = {(s.region, s.domain, s.rack)[:fields] for s in states}
            self.assertEqual(len(places), 1)
            for name in assignment.workers:
                free[name] -= assignment.accelerators
        self.assertTrue(all(amount >= 0 for amount in free.values()))

    @FUZZ
    @given(st.lists(st.tuples(MANIFESTS, VIEWS, st.randoms()), max_size=4))
    def test_plans_are_sound_stable_and_independent_of_order(self, rounds):
        plan = None
        for manifest, workers, random in rounds:
            keys = [assignment[:2] for assignment in plan.assignments] if plan else []
            pinned = frozenset(key for key in keys if random.random() < 0.3)
            shuffled = random.sample(workers, len(workers))
            following = make_plan(manifest, workers, plan, pinned)
            self.assertEqual(make_plan(manifest, shuffled, plan, pinned), following)
            if plan and following is not plan:
                self.assertEqual(following.epoch, plan.epoch + 1)
            plan = following
            self.check_plan(manifest, workers, plan)
            # Once the draining workers are gone, the plan no longer changes.
            live = [state for state in workers if not state.draining]
            settled = make_plan(manifest, live, plan)
            self.check_plan(manifest, live, settled)
            self.assertIs(make_plan(manifest, live[::-1], settled), settled)
