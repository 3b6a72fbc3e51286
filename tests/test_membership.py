"""Tests of an entry's view of the workers."""

import random
import unittest
from collections import Counter

from yuccarelay.core.free_capacity import FreeCapacity, may_hold
from yuccarelay.core.membership import FleetView
from yuccarelay.core.models import JobSpec, WorkerState
from yuccarelay.core.timing import HEARTBEAT_INTERVAL_MS, compute_heartbeat_interval_ms


def make_state(number: int, version: int, incarnation: int = 1) -> WorkerState:
    """Return a state of one of a few workers."""
    return WorkerState(
        worker_id=f'w{number}',
        incarnation=incarnation,
        version=version,
        address='',
        service='desk',
        region='south',
        domain='hobart',
        rack='r0',
        accelerators=8,
        slots=8,
    )


class DigestTest(unittest.TestCase):
    """Guards against a wrong digest, after which entries resend full views forever."""

    def test_digest_equals_that_of_a_rebuilt_view(self):
        rng = random.Random(5)
        view = FleetView()
        now_ms = 0
        for _ in range(2_000):
            now_ms += rng.choice((10, 500, 9_000))
            number, assigned_entry = rng.randrange(6), rng.randrange(3)
            match rng.randrange(5):
                case 0 | 1:
                    state = make_state(number, rng.randrange(9), rng.randrange(1, 4))
                    view.take_state(state, assigned_entry, now_ms)
                case 2:
                    view.take_entry_heartbeat(assigned_entry, now_ms)
                case 3:
                    view.retain_workers({f'w{number}'}, assigned_entry)
                case 4:
                    view.expire(now_ms)
            for entry in range(3):
                rebuilt = FleetView()
                for record in view.workers.values():
                    if record.assigned_entry == entry:
                        rebuilt.take_state(record.state, entry, now_ms)
                self.assertEqual(
                    view.compute_digest(entry), rebuilt.compute_digest(entry)
                )
        self.assertTrue(view.workers)


class HeartbeatIntervalTest(unittest.TestCase):
    """Guards against heartbeat traffic at an entry that grows with the fleet."""

    def test_interval_grows_with_the_workers_within_its_limits(self):
        for workers, expected_ms in (
            (0, 2_000),
            (20, 2_000),
            (50, 5_000),
            (999, 6_000),
        ):
            with self.subTest(workers=workers):
                self.assertEqual(compute_heartbeat_interval_ms(workers), expected_ms)

    def test_worker_is_suspect_after_three_heartbeat_intervals(self):
        view = FleetView()
        for number in range(60):
            view.take_state(make_state(number, 1), 0, 0)
        self.assertEqual(view.heartbeat_ms, HEARTBEAT_INTERVAL_MS)
        view.expire(100)
        self.assertEqual(view.heartbeat_ms, 6_000)
        self.assertTrue(view.is_suspect('w0', 6_000))
        self.assertTrue(view.take_heartbeat('w0', 1, 1, 1_000))
        self.assertFalse(view.is_suspect('w0', 18_999))
        self.assertTrue(view.is_suspect('w0', 19_000))


class FreeCapacityTest(unittest.TestCase):
    """Guards against a bound below what fits, which leaves a job waiting needlessly."""

    def test_bound_is_never_below_what_fits(self):
        free_capacity = FreeCapacity(Counter({3: 2, 0: 5}), Counter({'alder': 4}))
        for members, accelerators, fits in (
            (2, 3, True),
            (3, 3, True),
            (4, 3, False),
            (10, 1, True),
            (11, 1, False),
            (99, 0, True),
        ):
            spec = JobSpec(
                organisation='alder',
                name='render',
                service='desk',
                members=members,
                accelerators=accelerators,
            )
            with self.subTest(spec=spec):
                self.assertEqual(may_hold(free_capacity, spec), fits)
