"""Tests of the decisions on callers' requests."""

import unittest

from tests.batch_fleet import CONFIGURATION, make_job, make_step
from yuccarelay.core.batch.models import JobRecord, JobState
from yuccarelay.core.batch.request_handler import (
    Accepted,
    Call,
    Cancelled,
    Draft,
    Invalid,
    NoSuchJob,
    NoSuchQueue,
    NotReady,
    Pending,
    ReadJob,
    RequestHandler,
    State,
    StoreCancel,
    StoreJob,
    Taken,
    UnknownKey,
)

ID = '5c0e7a21d94b36f8'
DRAFT = Draft('s', (make_step(),))


def make_call(method='GET', path=f'/o/{ID}', key='k1', draft=None, host='h') -> Call:
    return Call(method, host, path, key, draft, 1_000)


class RequestHandlerTest(unittest.TestCase):
    """Guards against wrong answers, and against access without a valid key."""

    def setUp(self):
        self.handler = RequestHandler()
        self.handler.configure(CONFIGURATION)

    def submit(self, **fields):
        return self.handler.decide(make_call('POST', draft=DRAFT, **fields))

    def store(self, **fields):
        job = self.submit().job._replace(**fields)
        self.handler.jobs[job.id] = job
        return job

    def test_requests_are_refused_without_a_configuration(self):
        self.assertEqual(RequestHandler().decide(make_call()), NotReady())

    def test_an_older_configuration_is_ignored(self):
        newer = CONFIGURATION._replace(version=3, queues=())
        self.assertTrue(self.handler.configure(newer))
        self.assertFalse(self.handler.configure(CONFIGURATION))
        self.assertEqual(self.handler.decide(make_call()), NoSuchQueue())

    def test_queue_and_key_are_checked(self):
        self.assertEqual(self.handler.decide(make_call(host='x')), NoSuchQueue())
        self.assertEqual(self.handler.decide(make_call(key='x')), UnknownKey())

    def test_a_submission_is_stored_before_it_is_accepted(self):
        decision = self.submit()
        self.assertIsInstance(decision, StoreJob)
        self.assertEqual(decision.job.id, ID)
        self.assertEqual(decision.job.organisation, 'guild')

    def test_a_repeated_submission_is_accepted_and_another_job_is_not(self):
        self.store(accepted_at_ms=5)
        self.assertEqual(self.submit(), Accepted())
        other = Draft('other', (make_step(),))
        call = make_call('POST', draft=other)
        self.assertEqual(self.handler.decide(call), Taken())

    def test_bad_submissions_are_refused(self):
        self.assertIsInstance(self.submit(path='/o/xyz'), Invalid)
        call = make_call('POST', draft='steps must have at least one step')
        self.assertEqual(
            self.handler.decide(call),
            Invalid('steps must have at least one step'),
        )

    def test_an_unknown_job_is_read_from_the_store(self):
        self.assertEqual(
            self.handler.decide(make_call()), ReadJob(ID, 'ordinary', 'guild')
        )
        self.assertEqual(
            self.handler.decide(make_call('DELETE')),
            StoreCancel(ID, 'ordinary', False, 'guild'),
        )

    def test_a_job_of_another_queue_is_not_found(self):
        self.store()
        call = make_call(path=f'/u/{ID}')
        self.assertEqual(self.handler.decide(call), NoSuchJob())

    def test_a_job_of_another_organisation_is_not_found(self):
        # Members of a platform are rivals: each sees and cancels only its own jobs.
        self.store()
        for method in ('GET', 'DELETE'):
            call = make_call(method, key='k2')
            self.assertEqual(self.handler.decide(call), NoSuchJob())
        self.assertEqual(
            self.handler.decide(make_call('POST', key='k2', draft=DRAFT)), Taken()
        )

    def test_all_callers_of_a_public_queue_see_its_jobs(self):
        queues = tuple(queue._replace(public=True) for queue in CONFIGURATION.queues)
        self.handler.configure(CONFIGURATION._replace(version=2, queues=queues))
        self.store()
        for key in ('', 'k2'):
            call = make_call(key=key)
            self.assertEqual(self.handler.decide(call), State(JobState.QUEUED))

    def test_states_follow_record_and_cancellation(self):
        self.store()
        for record, cancelled, state in (
            (None, False, JobState.QUEUED),
            (JobRecord(JobState.RUNNING), False, JobState.QUEUED),
            (JobRecord(JobState.RUNNING, True), False, JobState.RUNNING),
            (JobRecord(JobState.RUNNING, True), True, JobState.CANCELLED),
            (JobRecord(JobState.COMPLETED, True), True, JobState.COMPLETED),
        ):
            self.handler.records = {ID: record} if record else {}
            self.handler.cancelled = {ID} if cancelled else set()
            self.assertEqual(self.handler.decide(make_call()), State(state))

    def test_an_ended_job_is_not_cancelled_again(self):
        self.store()
        self.handler.records[ID] = JobRecord(JobState.COMPLETED)
        self.assertEqual(self.handler.decide(make_call('DELETE')), Cancelled())

    def test_jobs_without_a_started_task_are_counted(self):
        self.store()
        begun = make_job()
        self.handler.jobs[begun.id] = begun
        self.handler.records[begun.id] = JobRecord(JobState.RUNNING, True)
        self.assertEqual(self.handler.decide(make_call(path='/o/')), Pending(1))
        self.assertEqual(self.handler.decide(make_call(path='/u/')), Pending(0))
