"""Tests of the records that the decisions use."""

import unittest

from yuccarelay.core import models


class OutcomeTest(unittest.TestCase):
    """Guards against an outcome whose flat form has another meaning."""

    def test_each_outcome_is_restored_from_its_flat_form(self):
        part = models.AnswerPart(
            attempt_id='17-4.1',
            member=0,
            address='127.0.0.1:1',
            incarnation=7,
            length=3,
            sha256='ab',
        )
        outcomes = [
            models.Completed((part,)),
            models.Failed('exit status 1'),
            models.NotRun('queue full', 'never queued'),
            models.CancelledBeforeStart('removed from the queue'),
            models.CancelledAfterStart('stopped by the caller'),
            models.Unknown('agent lost'),
        ]
        for outcome in outcomes:
            record = models.flatten_outcome(outcome)
            self.assertEqual(models.restore_outcome(record), outcome)

    def test_unknown_kind_raises_value_error(self):
        with self.assertRaises(ValueError):
            models.restore_outcome(models.OutcomeRecord(kind='lost'))


class IdentifierTest(unittest.TestCase):
    """Guards against ids that cannot be traced to their entry."""

    def test_attempt_id_names_its_job_and_incarnation(self):
        attempt_id = models.make_attempt_id('17-4', 2)
        self.assertEqual(attempt_id, '17-4.2')
        self.assertEqual(models.parse_job_id(attempt_id), '17-4')
        self.assertEqual(models.parse_incarnation('17-4'), 17)
        self.assertEqual(models.parse_incarnation('nonsense'), 0)
