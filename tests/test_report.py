"""Tests of the report on organisations and its text form."""

import random
import unittest

from tests.fleet import make_cell, make_organisation
from yuccarelay.adapters.tables import format_status, format_table
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import Registered, StatusRequested
from yuccarelay.core.guarantee_plan import CellAssignment, Plan
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.models import EntryRef, Grant, WorkerState
from yuccarelay.core.ordering import JobQueue

ENTRY = EntryRef(0, 'south', '127.0.0.1:7400')


def make_worker(*grants: Grant) -> WorkerState:
    """Return a worker with 8 accelerators and these grants."""
    return WorkerState(
        worker_id='w0',
        incarnation=1,
        version=1,
        address='127.0.0.1:7500',
        service='reorder-desk',
        region='south',
        domain='hobart',
        rack='r1',
        accelerators=8,
        slots=8,
        grants=grants,
    )


def make_grant(organisation: str, accelerators: int, guaranteed: bool) -> Grant:
    """Return a running grant."""
    return Grant(
        attempt_id=f'7-{accelerators}.1',
        organisation=organisation,
        accelerators=accelerators,
        slots=1,
        guaranteed=guaranteed,
        preemptible=True,
        running=True,
    )


def make_status() -> dict:
    """Return the status of an entry with one worker and two organisations."""
    core = EntryCore(ENTRY, random.Random(1), JobQueue())
    core.step(Registered(incarnation=7), 0)
    organisations = {
        'guild': make_organisation('guild', (make_cell(1, 4, count=3),)),
        'kanem': make_organisation('kanem', ()),
    }
    core.state.manifest = Manifest((), (), organisations)
    core.state.take_plan(Plan(1, 1, (CellAssignment('guild', 0, ('w0',), 4),)))
    worker = make_worker(make_grant('guild', 3, True), make_grant('kanem', 2, False))
    core.state.view.take_state(worker, 0, 0)
    effects = core.step(StatusRequested(1), 0)
    return effects[-1].response.fields


class OrganisationReportTest(unittest.TestCase):
    """Guards against a report that hides usage or cells without workers."""

    def test_usage_and_missing_cells(self):
        guild, kanem = make_status()['organisations']
        self.assertEqual((guild['guaranteed'], guild['borrowed']), (3, 0))
        self.assertEqual((kanem['guaranteed'], kanem['borrowed']), (0, 2))
        self.assertEqual((guild['owned'], guild['cells']), (4, 3))
        (missing,) = guild['cells_without_workers']
        self.assertEqual((missing['count'], missing['accelerators']), (2, 4))
        self.assertEqual(kanem['cells_without_workers'], [])

    def test_entry_without_a_manifest(self):
        """Guards against a status that fails before the first commit."""
        core = EntryCore(ENTRY, random.Random(1), JobQueue())
        (respond,) = core.step(StatusRequested(1), 0)
        self.assertEqual(respond.response.fields['organisations'], [])


class TextTest(unittest.TestCase):
    """Guards against missing parts and columns that do not line up."""

    def test_status_has_each_part(self):
        text = format_status(make_status())
        self.assertIn('address      127.0.0.1:7400\n', text)
        self.assertRegex(text, r'guild +0 +0 +0 +0 +3 +0 +4 +3 +2\n')
        self.assertRegex(text, r'w0 +hobart +r1 +8 +5 +guild=4 +no')
        missing = 'guild 2 x (1 x 4 within worker of reorder-desk)\n'
        self.assertTrue(text.endswith(f'without workers: {missing}'))

    def test_numbers_are_right_aligned(self):
        table = format_table(('name', 'n'), [('a', 10), ('bcdef', 2)])
        self.assertEqual(table, 'name    n\na      10\nbcdef   2\n')
