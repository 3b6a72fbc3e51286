"""Tests of fetching and retaining complete answers."""

import asyncio
import dataclasses
import hashlib
import unittest

from result import Err, Ok

from tests.fakes import FakeClock, FakeJournal, stop_task
from yuccarelay.adapters import codec
from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.core.effects import RetainAnswers, ServeAnswer, SetAnswerPeers
from yuccarelay.core.messages import Ack, AnswerChunk, AnswersKept, NoAnswer
from yuccarelay.core.models import AnswerPart
from yuccarelay.ports.transport import TransportFailure
from yuccarelay.tasks import answers
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.messages import (
    AnswerUnavailable,
    FetchFullAnswer,
    FullAnswer,
)
from yuccarelay.tasks.retained_answers import RetainedAnswer, RetainedAnswers

DATA = bytes(range(256)) * 3000
FETCH_LIMIT_MS = 300


class FakePeers:
    """A transport whose peers serve answers and can corrupt their replies."""

    def __init__(self):
        self.kept = {}
        self.corruptions = []
        self.requested_offsets = []
        self.in_flight = 0
        self.most_in_flight = 0

    def connect(self, address):
        return Ok(self)

    def close(self):
        pass

    async def request(self, data, deadline_ms):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await asyncio.sleep(0)
        self.in_flight -= 1
        fetch = codec.decode(data).unwrap().message
        self.requested_offsets.append(fetch.offset)
        reply = self.read(fetch)
        if self.corruptions:
            reply = self.corruptions.pop(0)(reply)
        if reply is None:
            return Err(TransportFailure('no reply by the deadline'))
        return Ok(codec.encode(reply, 'b:1'))

    def read(self, fetch):
        answer = self.kept.get((fetch.attempt_id, fetch.member))
        if answer is None:
            return NoAnswer(fetch.attempt_id, fetch.member)
        return AnswerChunk(
            attempt_id=fetch.attempt_id,
            member=fetch.member,
            offset=fetch.offset,
            length=len(answer),
            sha256=hashlib.sha256(answer).hexdigest(),
            data=answer[fetch.offset : fetch.offset + fetch.limit],
        )


class FetchCase(unittest.IsolatedAsyncioTestCase):
    """
    An answers task over fake peers.

    The clock does not advance unless a test needs a deadline to pass, so that no result
    depends on the speed of the machine.
    """

    clock_type = FakeClock

    async def asyncSetUp(self):
        self.peers = FakePeers()
        self.inbox, self.replies, self.listener = Mailbox(), Mailbox(), Mailbox()
        task = answers.AnswersTask(
            sender='a:1',
            inbox=self.inbox,
            transport=self.peers,
            clock=self.clock_type(),
            journal=FakeJournal(),
            fetch_limit_ms=FETCH_LIMIT_MS,
            listener=self.listener,
        )
        self.addAsyncCleanup(stop_task, asyncio.create_task(task.run()))

    def retain(self, member, data):
        self.peers.kept['7-1.1', member] = data
        return AnswerPart(
            attempt_id='7-1.1',
            member=member,
            address='b:1',
            incarnation=1,
            length=len(data),
            sha256=hashlib.sha256(data).hexdigest(),
        )

    async def fetch(self, *parts):
        self.inbox.put_nowait(FetchFullAnswer(5, parts, self.replies))
        return await self.replies.get()

    async def check_corrupted(self, *corruptions):
        part = self.retain(0, DATA)
        self.peers.corruptions = list(corruptions)
        self.assertEqual(await self.fetch(part), FullAnswer(5, DATA))
        self.assertEqual(self.peers.corruptions, [])


def replace(**fields):
    return lambda chunk: dataclasses.replace(chunk, **fields)


def truncate(chunk):
    return dataclasses.replace(chunk, data=chunk.data[:-1])


def replace_first_byte(chunk):
    return dataclasses.replace(chunk, data=b'!' + chunk.data[1:])


class FullAnswerTest(FetchCase):
    """Guards against parts in the wrong order and against lost bytes."""

    async def test_parts_are_joined_in_member_order(self):
        parts = [self.retain(0, DATA), self.retain(1, b''), self.retain(2, b'end')]
        self.assertEqual(await self.fetch(*parts), FullAnswer(5, DATA + b'end'))

    async def test_bytes_in_flight_are_bounded(self):
        parts = [self.retain(n, DATA) for n in range(3 * answers.CHUNKS_IN_FLIGHT)]
        for part in parts:
            self.inbox.put_nowait(FetchFullAnswer(5, (part,), self.replies))
        for _ in parts:
            self.assertEqual(await self.replies.get(), FullAnswer(5, DATA))
        self.assertEqual(self.peers.most_in_flight, answers.CHUNKS_IN_FLIGHT)


class ShortAnswerTest(FetchCase):
    """Guards against a short answer that is lost with its agent."""

    async def test_answer_in_the_record_is_read_without_the_agent(self):
        sha256 = hashlib.sha256(b'short').hexdigest()
        part = AnswerPart('7-1.1', 0, '127.0.0.1:1', 5, 5, sha256, b'short')
        answer = await self.fetch(part)
        self.assertEqual(answer.data, b'short')
        self.assertEqual(self.peers.requested_offsets, [])


class CorruptedChunkTest(FetchCase):
    """Guards against a corrupted chunk that reaches the caller."""

    async def test_lost_chunk(self):
        await self.check_corrupted(lambda chunk: None)

    async def test_duplicated_and_reordered_chunks(self):
        await self.check_corrupted(lambda chunk: chunk, replace(offset=0))
        await self.check_corrupted(replace(offset=answers.CHUNK_BYTES))

    async def test_truncated_and_empty_chunks(self):
        await self.check_corrupted(truncate, replace(data=b''))
        self.assertEqual(
            self.peers.requested_offsets[:4], [0, 0, 0, answers.CHUNK_BYTES]
        )

    async def test_chunk_of_another_answer(self):
        await self.check_corrupted(
            replace(attempt_id='7-2.1'),
            replace(member=3),
            replace(sha256='00'),
            replace(length=1),
            lambda chunk: Ack(),
        )

    async def test_part_with_a_wrong_digest_is_fetched_again(self):
        await self.check_corrupted(replace_first_byte)


class UnavailableTest(FetchCase):
    """Guards against an endless fetch and against an incomplete answer."""

    clock_type = MonotonicClock

    async def test_dropped_answer_names_the_part(self):
        part = self.retain(3, DATA)
        self.peers.kept.clear()
        reply = await self.fetch(self.retain(0, b'x'), part)
        self.assertIsInstance(reply, AnswerUnavailable)
        self.assertIn('7-1.1/3', reply.reason)

    async def test_part_that_stays_wrong_fails_at_the_deadline(self):
        part = self.retain(0, DATA)
        for kept in (DATA[:-1], None):
            self.peers.kept['7-1.1', 0] = kept or b'!' + DATA[1:]
            reply = await self.fetch(part)
            self.assertIsInstance(reply, AnswerUnavailable)

    async def test_wrong_digest_with_valid_chunks_fails_at_the_deadline(self):
        part = self.retain(0, b'right')
        self.peers.corruptions = [replace_first_byte] * 1000
        reply = await self.fetch(part)
        self.assertIn('SHA-256', reply.reason)

    async def test_answer_beyond_the_memory_limit_is_unavailable(self):
        part = self.retain(0, b'x')._replace(length=answers.ASSEMBLY_LIMIT_BYTES + 1)
        self.assertIn('memory', (await self.fetch(part)).reason)


class RetentionTest(FetchCase):
    """Guards against answers that are lost when their agent deregisters."""

    async def test_retained_answer_outlives_its_agent(self):
        part = self.retain(0, DATA)
        self.inbox.put_nowait(RetainAnswers(1, (part,)))
        self.assertEqual((await self.listener.get()).message, AnswersKept(()))
        while True:
            self.inbox.put_nowait(RetainAnswers(2, (part,)))
            if (await self.listener.get()).message == AnswersKept((part.task_id,)):
                break
        self.peers.kept.clear()
        self.assertEqual(await self.fetch(part), FullAnswer(5, DATA))
        self.inbox.put_nowait(ServeAnswer(3, '7-1.1', 0, 0, 10))
        self.assertEqual((await self.listener.get()).message.data, DATA[:10])

    async def test_answer_is_fetched_from_an_entry_without_the_agent(self):
        part = self.retain(0, DATA)
        # The first reply is the agent's, the second that of the other entry.
        self.peers.corruptions = [lambda reply: NoAnswer('7-1.1', 0)]
        self.inbox.put_nowait(SetAnswerPeers(('c:1',)))
        self.assertEqual(await self.fetch(part), FullAnswer(5, DATA))


class RetainedAnswersTest(unittest.TestCase):
    """Guards against answers that are never dropped, or dropped before use."""

    def test_only_served_answers_are_dropped_for_another(self):
        retained = RetainedAnswers(limit_bytes=10)
        self.assertTrue(retained.retain('7-1.1/0', RetainedAnswer(b'123456', '')))
        self.assertFalse(retained.retain('7-2.1/0', RetainedAnswer(b'12345', '')))
        retained.read(ServeAnswer(1, '7-1.1', 0, 0, 6))
        self.assertTrue(retained.retain('7-2.1/0', RetainedAnswer(b'12345', '')))
        self.assertNotIn('7-1.1/0', retained)
        self.assertEqual(retained.used_bytes, 5)
