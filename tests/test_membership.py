"""Tests of an entry's view of the workers."""

import random
import unittest

from yuccarelay.core.membership import View
from yuccarelay.core.models import WorkerState


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
    """A digest that drifts would make the entries exchange whole views for ever."""

    def test_kept_digest_is_that_of_a_view_built_anew(self):
        rng = random.Random(5)
        view = View()
        now_ms = 0
        for _ in range(2_000):
            now_ms += rng.choice((10, 500, 9_000))
            number, home = rng.randrange(6), rng.randrange(3)
            match rng.randrange(5):
                case 0 | 1:
                    state = make_state(number, rng.randrange(9), rng.randrange(1, 4))
                    view.take_state(state, home, now_ms)
                case 2:
                    view.take_home_alive(home, now_ms)
                case 3:
                    view.keep_only({f'w{number}'}, home)
                case 4:
                    view.expire(now_ms)
            for one in range(3):
                anew = View()
                for record in view.workers.values():
                    if record.home == one:
                        anew.take_state(record.state, one, now_ms)
                self.assertEqual(view.compute_digest(one), anew.compute_digest(one))
        self.assertTrue(view.workers)
