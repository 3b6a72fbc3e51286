"""Tests that one malformed message or unexpected error costs only that message."""

import asyncio
import json
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from tests.batch_fleet import CONFIGURATION, LONGEST_HOLD_MS, make_fleet, make_job
from tests.fakes import FakeClock, FakeJournal
from tests.utils import make_heartbeat_body
from yuccarelay.adapters import batch_codec, batch_records
from yuccarelay.adapters.http_connection import HttpResponse
from yuccarelay.core.batch.agent import WorkerGuard
from yuccarelay.core.batch.configuration_feed import EntryLink, list_sources
from yuccarelay.core.batch.events import Configured, OrderAnswered, StepDown
from yuccarelay.core.batch.leases import make_leases
from yuccarelay.core.batch.models import (
    EndedRun,
    JobRecord,
    JobState,
    RunningTask,
    TaskRecord,
    parse_task_id,
)
from yuccarelay.core.batch.planner import Planner
from yuccarelay.core.batch.protocol import Look, Report, Unanswered
from yuccarelay.core.batch.request_handler import Call, Failed, NoSuchQueue
from yuccarelay.platform import jobs, store, worker
from yuccarelay.ports.store import StoredValue, WatchEvent
from yuccarelay.ports.worker import NoAnswer, WorkerRuns
from yuccarelay.tasks.batch.agent import HeartbeatReceived, WorkerAgentTask
from yuccarelay.tasks.batch.planner import PlannerTask
from yuccarelay.tasks.batch.relay import RelayTask
from yuccarelay.tasks.batch.replica import ReplicaTask
from yuccarelay.tasks.batch.request_handler import RequestHandlerTask, RequestReceived
from yuccarelay.tasks.mailbox import Mailbox

DEEP = b'[' * 100_000 + b']' * 100_000
LONG_NUMBER = '9' * 5_000
NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.sampled_from([LONG_NUMBER, '1', '-1', 'nan', None, True]),
)
VALUES = st.recursive(
    st.one_of(NUMBERS, st.text(max_size=5)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=6),
        st.dictionaries(st.text(max_size=5), inner, max_size=4),
    ),
    max_leaves=12,
)


def decode_all(data: bytes) -> None:
    """Pass the data to each decoder of data from outside."""
    jobs.decode_draft(data)
    jobs.decode_configuration(data)
    worker.decode_heartbeat('w', data)
    worker.decode_deregistration(data)
    worker.read_lists(data)
    worker.read_clock(data)
    worker.read_refusal(HttpResponse(409, data))
    batch_records.decode_job(data)
    batch_records.decode_record(data)
    batch_records.decode_terms(data)
    batch_records.decode_agent(data)
    batch_codec.decode(data)
    for kind in (store.Item, store.ItemPage, store.ItemEvents, store.Lease):
        store.parse(HttpResponse(200, data), kind)


class DecoderTest(unittest.TestCase):
    """Guards against decoders that raise an error instead of returning one."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        decode_all(data)

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(VALUES)
    def test_any_json(self, value):
        decode_all(json.dumps(value).encode())

    def test_deeply_nested_arrays(self):
        decode_all(DEEP)
        for start in (
            b'{"version":1,"x":',
            b'{"specification":"s","steps":[{"count":1}],"x":',
            b'{"service":"s","address":"a","state":"ready","sequence":1,"x":',
            b'{"clockMs":1,"running":',
        ):
            decode_all(start + DEEP + b'}')

    def test_a_record_with_malformed_keys_is_an_error(self):
        for key in ('x', '0.1', '0.1.²', f'0.0.{LONG_NUMBER}', '0.-1.0'):
            record = JobRecord(tasks={key: TaskRecord()})
            data = batch_records.encode(record)
            self.assertTrue(batch_records.decode_record(data).is_err(), key)

    def test_a_job_without_steps_is_an_error(self):
        data = batch_records.encode(make_job()._replace(steps=()))
        self.assertTrue(batch_records.decode_job(data).is_err())

    def test_a_task_id_with_a_long_number_is_none(self):
        self.assertIsNone(parse_task_id(f'a.0.0.{LONG_NUMBER}'))
        self.assertIsNone(parse_task_id('a.٣.0.0'))

    def test_a_job_with_more_tasks_than_a_planner_can_hold_is_refused(self):
        # The planner would run out of memory, and each of its successors as well.
        for fields in ({'steps': [{'count': 10**9}]}, {'repetitions': 10**9}):
            body = {'specification': 's', 'steps': [{'count': 1}], **fields}
            found = jobs.decode_draft(json.dumps(body).encode())
            self.assertIn('must not have more than 100000 tasks', found)


class OddEntryTest(unittest.TestCase):
    """Guards against an odd entry among those of the processes in the store."""

    ODD_ADDRESSES = (
        b'',
        b':7000',
        b'10.1.0.1',
        b'10.1.0.1:',
        b'10.1.0.1:0',
        b'10.1.0.1:99999',
        b'10.1.0.1:-1',
        b'10.1.0.1:7000:7001',
        '10.1.0.1:٣'.encode(),
        b'[::1:7000',
        b'10.1.0.1\x00:7000',
        b'\xff\xfe:7000',
        b'x' * 100_000 + b':7000',
        DEEP,
    )

    def test_an_agent_without_a_usable_address_is_an_error(self):
        for address in self.ODD_ADDRESSES:
            found = batch_records.decode_agent(address + b' 7')
            self.assertTrue(found.is_err(), address[:40])
            self.assertLess(len(found.unwrap_err()), 200)
        self.assertTrue(batch_records.decode_agent(b'10.1.0.1:7000 7').is_ok())
        for number in (b'', b'-1', b'1.5', b'x', LONG_NUMBER.encode()):
            found = batch_records.decode_agent(b'10.1.0.1:7000 ' + number)
            self.assertTrue(found.is_err(), number[:40])

    def test_an_entry_without_a_usable_address_is_not_followed(self):
        own = EntryLink('own', '10.1.0.1:7000', round_trip_ms=10_000_000)
        for address in self.ODD_ADDRESSES:
            link = batch_records.decode_entry('odd', address + b' south 4 5')
            sources = list_sources(own, {'odd': link})
            self.assertEqual(sources.before + sources.after, (), address[:40])


class WorkerListsTest(unittest.TestCase):
    """Guards against rows of a worker that no later message can carry."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(st.lists(st.tuples(st.text(max_size=9), *[NUMBERS] * 4), max_size=3))
    def test_lists_can_be_reported_or_are_no_answer(self, rows):
        data = json.dumps({'clockMs': 1, 'running': rows, 'finished': rows}).encode()
        match worker.read_lists(data):
            case WorkerRuns(_, _, running, ended):
                guard = WorkerGuard('a', 7, make_leases(LONGEST_HOLD_MS))
                report = Report(None, guard.worker, True, running, ended)
                batch_codec.encode(report)
            case found:
                self.assertIsInstance(found, NoAnswer)

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(NUMBERS, NUMBERS, NUMBERS)
    def test_a_heartbeat_can_be_reported_or_is_an_error(self, clock, born, left):
        body = make_heartbeat_body(clockMs=clock, born=born, remainingMs=left)
        match worker.decode_heartbeat('w', json.dumps(body).encode()):
            case Ok(heartbeat):
                batch_codec.encode(Report(None, heartbeat.info, False))


class PlannerInputTest(unittest.TestCase):
    """Guards against reports and records that end the planner's process."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(['0.0.0', '0.0.1', '0.7.0', '0.0', 'x']),
                st.integers(0, 3),
                st.sampled_from(['', 'c']),
                st.floats(-1e9, 1e9),
                st.sampled_from(['done', 'failed', 'stopped', 'new kind']),
            ),
            max_size=4,
        ),
    )
    def test_any_report(self, rows):
        fleet = make_fleet(2)
        job = fleet.submit(make_job())
        fleet.run(50)
        view = fleet.planner.planner_state.workers['agent-w0']
        running = tuple(
            RunningTask(f'{job.id}.{task}', run, checkpoint, percent, percent)
            for task, run, checkpoint, percent, _ in rows
        )
        ended = tuple(
            EndedRun(number, f'{job.id}.{task}', run, how, checkpoint)
            for number, (task, run, checkpoint, _, how) in enumerate(rows, 1)
        )
        report = Report(view.basis, view.info, True, running, ended)
        order = view.poll or Look(fleet.term, None, view.id, 0, 0, True)
        fleet.feed(OrderAnswered('agent-w0', order, report, fleet.now_ms))
        fleet.run(500)
        self.assertEqual(fleet.planner.term, fleet.term)

    def test_a_record_of_tasks_that_the_job_lacks(self):
        fleet = make_fleet(2)
        job = make_job()
        fleet.jobs[job.id] = job
        tasks = {key: TaskRecord(run=1) for key in ('0.5.0', '0.0.9', '0.0.0')}
        fleet.records[job.id] = JobRecord(JobState.RUNNING, tasks=tasks)
        fleet.replace_planner()
        fleet.run(3_000)
        self.assertEqual(fleet.state(job), 'completed')


class BrokenPlanner(Planner):
    """Fails on each event once it has a term."""

    def step(self, event, now):
        if self.term and isinstance(event, Configured):
            self.planner_state.now = None
            raise KeyError('broken')
        return super().step(event, now)


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an unexpected error that takes a whole process down."""

    def setUp(self):
        self.journal = FakeJournal()
        self.clock = FakeClock()

    def events(self) -> list[str]:
        return [event for event, _ in self.journal.lines]

    def make_handler(self) -> RequestHandlerTask:
        return RequestHandlerTask(
            None,
            Mailbox(),
            Mailbox(),
            'own',
            None,
            None,
            self.clock,
            random.Random(1),
            self.journal,
        )

    async def ask(self, handler: RequestHandlerTask, path: str):
        reply_to = asyncio.get_running_loop().create_future()
        call = Call('GET', 'h', path, 'k1', None, 0)
        handler.take(RequestReceived(call, 9_000, reply_to))
        return await reply_to

    async def test_a_request_without_a_path_is_answered(self):
        # Its log line looked at the last character; the caller never got an answer.
        handler = self.make_handler()
        handler.take(Configured(CONFIGURATION))
        self.assertEqual(await self.ask(handler, ''), NoSuchQueue())

    async def test_a_request_that_fails_is_answered(self):
        handler = self.make_handler()
        handler.handler.configuration = 'no configuration'
        self.assertEqual(await self.ask(handler, '/o/'), Failed())
        self.assertEqual(self.events(), ['request_error'])

    async def test_a_planner_that_fails_gives_up_its_term(self):
        planner = BrokenPlanner(make_leases(LONGEST_HOLD_MS))
        planner.planner_state.term = 7
        boxes = [Mailbox() for _ in range(5)]
        task = PlannerTask(planner, self.clock, *boxes, self.journal)
        note, *effects = task.handle(Configured(CONFIGURATION))
        self.assertEqual(effects, [StepDown(7)])
        self.assertEqual(planner.term, 0)
        self.assertEqual(note.event, 'planner_failed')
        self.assertIn('trace', note.fields)

    async def test_a_change_that_fails_is_passed_over(self):
        handler = Mailbox()
        replica = ReplicaTask(
            'own',
            None,
            handler,
            Mailbox(),
            Mailbox(),
            Mailbox(),
            self.clock,
            self.journal,
        )
        value = StoredValue('job', b'', 1, 1)
        with mock.patch.object(batch_records, 'decode_job', side_effect=KeyError):
            replica.handle_change(WatchEvent(batch_records.JOBS + 'a', value, 1))
        replica.handle_change(WatchEvent(batch_records.CANCELS + 'a', value, 2))
        self.assertEqual(self.events(), ['change_failed'])
        self.assertEqual(handler.qsize(), 1)

    async def test_an_agent_survives_a_heartbeat_and_an_order_that_fail(self):
        sent = []

        class Listener:
            def reply(self, _request, data):
                sent.append(batch_codec.decode(data).unwrap())

        task = WorkerAgentTask(None, None, Listener(), self.clock, self.journal)
        recorded = asyncio.get_running_loop().create_future()
        task.handle(HeartbeatReceived(None, recorded))
        self.assertIsInstance(recorded.exception(), AttributeError)
        order = Look(1, None, None, 0, 0, False)
        await task.serve(1, batch_codec.encode(order))
        self.assertEqual(sent, [Unanswered('internal error')])
        self.assertEqual(self.events(), ['heartbeat_failed', 'order_failed'])

    async def test_an_entry_survives_a_relayed_call_that_fails(self):
        abandoned = []

        class Listener:
            def abandon_request(self, request):
                abandoned.append(request)

        task = RelayTask(None, Mailbox(), Listener(), self.clock, self.journal)
        call = batch_codec.encode(Look(1, None, None, 0, 0, False))
        await task.serve_safely(1, call)
        await task.serve_safely(2, b'\x93')
        self.assertEqual(abandoned, [1, 2])


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a status that is taken for a refusal although work may run."""

    def test_only_documented_statuses_of_a_worker_are_refusals(self):
        for status in (500, 502, 504, 302):
            found = worker.read_refusal(HttpResponse(status, b''))
            self.assertIsInstance(found, NoAnswer)
        for status in (400, 409, 421, 429, 503):
            found = worker.read_refusal(HttpResponse(status, b''))
            self.assertNotIsInstance(found, NoAnswer)

    async def test_only_documented_statuses_of_the_store_are_refusals(self):
        class Client:
            async def call(self, *_, **__):
                return Ok(HttpResponse(status, b''))

        platform_store = store.PlatformStore('unused')
        platform_store.client = Client()
        for status, ambiguous in ((500, True), (504, True), (503, False), (429, False)):
            found = await platform_store.transact((), ())
            self.assertEqual(found.err_value.ambiguous, ambiguous, status)

    def test_an_unreadable_answer_of_the_store_leaves_a_write_open(self):
        for body in (b'', b'{}', DEEP):
            changes = store.parse_changes(HttpResponse(200, body)).unwrap_err()
            # The replica reads everything again instead of asking for them forever.
            self.assertTrue(changes.refused)
            found = store.parse(HttpResponse(200, body), store.Revision)
            self.assertTrue(isinstance(found, Err) and found.err_value.ambiguous)


if __name__ == '__main__':
    unittest.main()
