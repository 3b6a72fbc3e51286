"""Tests of submissions to an entry whose store is down."""

import random
import unittest

from tests.fleet import make_manifest
from yuccarelay.core.effects import Accepted, IdMinted, NotAccepted, RespondToCaller
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import (
    IdRequested,
    ManifestSeen,
    Registered,
    RegistrationLost,
    StoreHealthChanged,
    SubmitRequested,
)
from yuccarelay.core.models import EntryRef
from yuccarelay.core.ordering import JobQueue


class OutageTest(unittest.TestCase):
    """Guards against an outage that stops submissions once the lease has expired."""

    def setUp(self):
        entry = EntryRef(0, 'south', '127.0.0.1:7400')
        self.core = EntryCore(entry, random.Random(1), JobQueue())
        for event in (
            Registered(incarnation=7),
            ManifestSeen(1, make_manifest()),
            StoreHealthChanged(up=False),
            RegistrationLost(),
        ):
            self.core.step(event, 0)

    def send_request(self, event) -> object:
        """Return the response to a request."""
        effects = self.core.step(event, 1_000)
        (response,) = [
            item.response for item in effects if isinstance(item, RespondToCaller)
        ]
        return response

    def submit(self, job_name: str, **fields: str) -> object:
        """Return the response to a submission."""
        return self.send_request(SubmitRequested(9, 'alder', job_name, b'{}', **fields))

    def test_job_without_a_key_is_accepted_without_a_record(self):
        self.assertEqual(self.submit('again'), Accepted('7-1', durable=False))

    def test_job_under_an_id_is_accepted_once(self):
        minted = self.send_request(IdRequested(8, 'alder'))
        self.assertEqual(minted, IdMinted('7-1'))
        accepted = self.submit('once', job_id='7-1')
        self.assertEqual(accepted, Accepted('7-1', durable=False))

    def test_job_with_a_key_and_no_id_is_refused(self):
        refusal = self.submit('again', key='k1')
        self.assertIsInstance(refusal, NotAccepted)
        self.assertEqual(refusal.code, 'store_unavailable')

    def test_fenced_entry_refuses_until_it_has_registered_again(self):
        """Guards against jobs that an entry accepts while others adopt its jobs."""
        self.core.step(StoreHealthChanged(up=True), 500)
        self.assertEqual(self.submit('again').code, 'not_ready')
