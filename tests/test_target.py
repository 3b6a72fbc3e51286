"""Tests of the target's adapter, its stand-in and the runner task."""

import asyncio
import hashlib
import json
import unittest

from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient

from tests.fakes import FakeClock, stop_task
from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.adapters.target_http import HttpTarget
from yuccarelay.core.effects import (
    DropAnswer,
    RenewTasks,
    Reply,
    ServeAnswer,
    StartTask,
    StopTask,
)
from yuccarelay.core.events import AnswerFetched, TaskEnded, TaskStarted
from yuccarelay.core.messages import AnswerChunk, NoAnswer
from yuccarelay.ports.target import (
    CALL_CONNECTIONS,
    TargetFailure,
    TargetTask,
    TaskAnswer,
    TaskState,
)
from yuccarelay.standins.target import TargetStandin
from yuccarelay.tasks import retained_answers, runner
from yuccarelay.tasks.mailbox import Mailbox

TASK = '7-1.1/0'
LEASE_MS = 20_000
LONG_MS = 60_000


def make_task(task_id=TASK, lease_ms=LEASE_MS, **work):
    return TargetTask(
        task_id=task_id,
        job_name='render',
        member=0,
        accelerators=1,
        payload=json.dumps(work).encode(),
        lease_ms=lease_ms,
    )


class StandInCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in target and its adapter."""

    async def asyncSetUp(self):
        self.clock = MonotonicClock()
        self.stand_in = TargetStandin(self.clock)
        self.stand_in.listen('127.0.0.1', 0)
        self.addAsyncCleanup(self.stand_in.close)
        self.target = self.connect()

    def connect(self, **options):
        base_url = f'http://{self.stand_in.address}'
        target = HttpTarget(base_url, connection_limit=16, **options)
        self.addCleanup(target.close)
        return target

    async def read_runs(self):
        url = f'http://{self.stand_in.address}/runs'
        response = await AsyncHTTPClient().fetch(url)
        return json.loads(response.body)['runs']


class HttpTargetTest(StandInCase):
    """Guards against tasks that start twice or get the wrong end state."""

    async def test_repeated_start_runs_once(self):
        for _ in range(2):
            self.assertTrue((await self.target.start(make_task(echo='hi'))).is_ok())
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer, TaskAnswer(TaskState.COMPLETED, '', b'hi'))
        [run] = await self.read_runs()
        self.assertEqual((run['task_id'], run['job_id']), (TASK, '7-1'))
        self.assertEqual((run['member'], run['state']), (0, 'completed'))

    async def test_failed_work_keeps_its_reason(self):
        await self.target.start(make_task(fail='exit status 1\n\u2603'))
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer.state, TaskState.FAILED)
        self.assertEqual(answer.reason, 'exit status 1\n\u2603')

    async def test_lapsed_lease_stops_the_task(self):
        await self.target.start(make_task(lease_ms=20, run_ms=LONG_MS))
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer.state, TaskState.LAPSED)

    async def test_renewed_lease_outlives_the_first(self):
        await self.target.start(make_task(lease_ms=150, run_ms=300))
        renewed = await self.target.renew((TASK, '7-9.1/0'), LEASE_MS)
        self.assertEqual(renewed.unwrap(), {TASK})
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer.state, TaskState.COMPLETED)

    async def test_stop_with_checkpoint(self):
        await self.target.start(make_task(run_ms=LONG_MS))
        await self.target.stop(TASK, checkpoint=True)
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer.state, TaskState.CHECKPOINTED)
        self.assertTrue((await self.read_runs())[0]['checkpoint'])

    async def test_failing_target_fails_every_task(self):
        url = f'http://{self.stand_in.address}/mode'
        body = '{"fail_all": true}'
        await AsyncHTTPClient().fetch(url, method='POST', body=body)
        await self.target.start(make_task(echo='hi'))
        answer = (await self.target.wait_answer(TASK)).unwrap()
        self.assertEqual(answer.state, TaskState.FAILED)

    async def test_only_refused_calls_are_unambiguous(self):
        refused = await self.target.start(make_task(lease_ms=-1))
        self.assertFalse(refused.unwrap_err().ambiguous)
        await self.stand_in.close()
        unreachable = await self.target.start(make_task())
        self.assertFalse(unreachable.unwrap_err().ambiguous)
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(),
            host='127.0.0.1',
            port=0,
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        target = HttpTarget(f'http://127.0.0.1:{port}', connection_limit=16)
        self.addCleanup(target.close)
        lost = await target.start(make_task())
        self.assertTrue(lost.unwrap_err().ambiguous)

    async def test_answer_beyond_the_limit_is_an_error(self):
        target = self.connect(answer_limit_bytes=100_000)
        await target.start(make_task(answer_bytes=100_001))
        self.assertTrue((await target.wait_answer(TASK)).is_err())


class FakeTarget:
    """A target whose results a test sets; `wait_answer` waits for its result."""

    def __init__(self):
        self.start_result = Ok(None)
        self.renew_result = Err(TargetFailure('timeout', ambiguous=True))
        self.stop_result = Ok(None)
        self.answer = asyncio.get_running_loop().create_future()
        self.stops = []

    async def start(self, task):
        return self.start_result

    async def renew(self, task_ids, lease_ms):
        return self.renew_result

    async def stop(self, task_id, checkpoint):
        self.stops.append((task_id, checkpoint))
        return self.stop_result

    async def wait_answer(self, task_id):
        return await asyncio.shield(self.answer)

    def close(self):
        pass


class RunnerCase(unittest.IsolatedAsyncioTestCase):
    """A runner task over a fake target."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.target = FakeTarget()
        await self.start_runner(self.target)

    async def start_runner(self, target):
        self.inbox, self.state_machine, self.listener = Mailbox(), Mailbox(), Mailbox()
        self.task = runner.RunnerTask(
            target=target,
            inbox=self.inbox,
            state_machine=self.state_machine,
            listener=self.listener,
            clock=self.clock,
            connection_limit=CALL_CONNECTIONS + 1,
            answer_memory_bytes=300_000,
        )
        self.addAsyncCleanup(stop_task, asyncio.create_task(self.task.run()))

    def start(self, task_id=TASK, lease_ms=LEASE_MS, **work):
        start = StartTask(
            task_id=task_id,
            job_name='render',
            member=0,
            accelerators=1,
            payload=json.dumps(work).encode(),
            lease_deadline_ms=self.clock.now_ms() + lease_ms,
        )
        self.inbox.put_nowait(start)

    def end(self, state, reason='', data=b''):
        self.target.answer.set_result(Ok(TaskAnswer(state, reason, data)))

    async def next_event(self):
        async with asyncio.timeout(20):
            return await self.state_machine.get()

    async def check_end(self, started, reason):
        end = await self.next_event()
        self.assertIsInstance(end, TaskEnded)
        self.assertEqual((end.completed, end.started), (False, started))
        self.assertIn(reason, end.reason)
        self.assertTrue(self.state_machine.empty())

    async def serve(self, offset, limit=retained_answers.CHUNK_LIMIT_BYTES):
        self.inbox.put_nowait(ServeAnswer(9, '7-1.1', 0, offset, limit))
        return await self.listener.get()


class TaskEndTest(RunnerCase):
    """Guards against an end that is missing, repeated or wrong about the start."""

    async def test_refused_start_did_not_start(self):
        self.target.start_result = Err(TargetFailure('400', ambiguous=False))
        self.start()
        await self.check_end(False, '400')

    async def test_start_without_a_response_may_have_started(self):
        self.target.start_result = Err(TargetFailure('reset', ambiguous=True))
        self.start()
        await asyncio.sleep(0.05)
        self.assertTrue(self.state_machine.empty())
        self.assertEqual(self.target.stops, [(TASK, False)])
        self.clock.time_ms += LEASE_MS + runner.LEASE_MARGIN_MS
        await self.check_end(True, 'reset')

    async def test_start_beyond_the_connection_limit_did_not_start(self):
        self.start()
        await self.next_event()
        self.start('7-2.1/0')
        await self.check_end(False, 'connection limit')

    async def test_failed_task_ends_once(self):
        self.start()
        self.start()
        self.end(TaskState.FAILED, 'exit status 1')
        self.assertEqual(await self.next_event(), TaskStarted(TASK))
        await self.check_end(True, 'exit status 1')

    async def test_unreachable_target_ends_after_the_lease(self):
        self.target.stop_result = Err(TargetFailure('timeout', ambiguous=True))
        self.start(lease_ms=50)
        await self.next_event()
        self.inbox.put_nowait(RenewTasks((TASK,), self.clock.now_ms() + 60))
        await asyncio.sleep(0.05)
        self.clock.time_ms += 50 + runner.LEASE_MARGIN_MS
        await asyncio.sleep(runner.LEASE_MARGIN_MS / 1000 + 0.2)
        self.assertTrue(self.state_machine.empty(), 'the renewal may have taken effect')
        self.clock.time_ms += 10
        await self.check_end(True, 'not reached')

    async def test_confirmed_renewal_keeps_the_task(self):
        self.target.renew_result = Ok(frozenset({TASK}))
        self.start(lease_ms=50)
        await self.next_event()
        self.inbox.put_nowait(RenewTasks((TASK,), self.clock.now_ms() + LEASE_MS))
        await asyncio.sleep(0.05)
        self.clock.time_ms += 50 + runner.LEASE_MARGIN_MS
        await asyncio.sleep(runner.LEASE_MARGIN_MS / 1000 + 0.2)
        self.assertTrue(self.state_machine.empty())

    async def test_stop_is_repeated_until_the_task_ends(self):
        self.target.stop_result = Err(TargetFailure('timeout', ambiguous=True))
        self.start()
        await self.next_event()
        self.inbox.put_nowait(StopTask(TASK, checkpoint=True))
        while len(self.target.stops) < 2:
            await asyncio.sleep(0.05)
        self.assertEqual(self.target.stops[:2], [(TASK, True)] * 2)
        self.end(TaskState.STOPPED)
        await self.check_end(True, 'stopped')


class RetainedAnswerTest(RunnerCase):
    """Guards against wrong chunks and unlimited memory for retained answers."""

    async def complete(self, data, task_id=TASK):
        self.target.answer = asyncio.get_running_loop().create_future()
        self.start(task_id)
        await self.next_event()
        self.end(TaskState.COMPLETED, data=data)
        return await self.next_event()

    async def test_chunks_make_up_the_answer(self):
        data = bytes(range(250)) * 1200
        end = await self.complete(data)
        sha256 = hashlib.sha256(data).hexdigest()
        self.assertEqual((end.length, end.sha256), (len(data), sha256))
        first = await self.serve(0, limit=10**9)
        second = await self.serve(len(first.message.data))
        self.assertEqual(first.message.data + second.message.data, data)
        self.assertEqual(first.message.sha256, sha256)
        self.assertIsInstance(second.message, AnswerChunk)

    async def test_dropped_answer_and_bad_ranges(self):
        await self.complete(b'x')
        none = Reply(9, NoAnswer('7-1.1', 0))
        self.assertEqual(await self.serve(-1), none)
        self.assertEqual(await self.serve(0, limit=0), none)
        self.inbox.put_nowait(DropAnswer(TASK))
        self.assertEqual(await self.serve(0), none)
        self.assertEqual(self.task.answers.used_bytes, 0)

    async def test_short_answer_is_part_of_the_end(self):
        """Guards against a short answer that is lost with its agent."""
        self.assertEqual((await self.complete(b'short')).data, b'short')

    async def test_new_answer_replaces_a_fetched_one(self):
        """Guards against retained answers that make new tasks fail."""
        await self.complete(b'x' * 200_000)
        await self.serve(0, 300_000)
        self.assertEqual(await self.next_event(), AnswerFetched(TASK))
        end = await self.complete(b'y' * 200_000, '7-2.1/0')
        self.assertTrue(end.completed)
        self.assertEqual(self.task.answers.used_bytes, 200_000)

    async def test_full_memory_ends_the_task_without_an_answer(self):
        end = await self.complete(b'x' * 300_001)
        self.assertFalse(end.completed)
        self.assertTrue(end.started)
        self.assertIsInstance((await self.serve(0)).message, NoAnswer)


class RunnerOnStandInTest(StandInCase, RunnerCase):
    """Guards against a runner and a target that disagree on the protocol."""

    async def asyncSetUp(self):
        await StandInCase.asyncSetUp(self)
        await self.start_runner(self.target)

    async def test_task_completes_with_its_answer(self):
        self.start(echo='hello')
        self.assertEqual(await self.next_event(), TaskStarted(TASK))
        self.assertTrue((await self.next_event()).completed)
        self.assertEqual((await self.serve(0)).message.data, b'hello')

    async def test_stopped_task_ends(self):
        self.start(run_ms=LONG_MS)
        await self.next_event()
        self.inbox.put_nowait(StopTask(TASK, checkpoint=False))
        await self.check_end(True, 'stopped')

    async def test_checkpointed_task_is_reported_as_checkpointed(self):
        """Guards against a reclaimed job that ends because its progress is unknown."""
        self.start(run_ms=LONG_MS)
        await self.next_event()
        self.inbox.put_nowait(StopTask(TASK, checkpoint=True))
        end = await self.next_event()
        self.assertTrue(end.checkpointed)
