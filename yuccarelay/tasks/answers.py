"""
Fetches complete answers from the processes that retain them.

Agents retain the answers of their workers. When an agent is draining, entries retain
its answers until a caller has fetched them.
"""

import asyncio
import hashlib
from functools import partial

from result import Err, Ok, Result

from yuccarelay.adapters import codec
from yuccarelay.core.effects import Reply, RetainAnswers, ServeAnswer, SetAnswerPeers
from yuccarelay.core.messages import AnswerChunk, AnswersKept, FetchAnswer, NoAnswer
from yuccarelay.core.models import AnswerPart
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Peer, Transport
from yuccarelay.tasks.mailbox import Mailbox
from yuccarelay.tasks.messages import (
    AnswerUnavailable,
    FetchFullAnswer,
    FullAnswer,
)
from yuccarelay.tasks.retained_answers import RetainedAnswer, RetainedAnswers

CHUNK_BYTES = 256 * 1024
# At 15 Mbit/s between regions a single chunk takes 140 ms, and eight in parallel
# about 1.1 s. A chunk that is lost is requested again after this time.
CHUNK_TIMEOUT_MS = 5_000
FETCH_LIMIT_MS = 60_000
RETRY_PAUSE_S = 0.05
CHUNKS_IN_FLIGHT = 8
# Total size of the answers that are being assembled, over all callers.
ASSEMBLY_LIMIT_BYTES = 64_000_000
# Answers taken over from draining agents. An agent whose answers do not fit runs
# until they are fetched or its drain deadline passes.
RETENTION_LIMIT_BYTES = 64_000_000
RETENTION_MS = 900_000
# A running agent replies within this time.
FALLBACK_DELAY_S = 0.5


class AnswersTask:
    """
    Fetches every part of an answer in chunks and verifies it.

    Reads `FetchFullAnswer` from `inbox` and puts `FullAnswer` or `AnswerUnavailable`
    into its `reply_to`. A chunk that does not match its request is requested again
    until the deadline. The parts of one answer are fetched one after the other.

    Also reads `RetainAnswers`, `ServeAnswer` and `SetAnswerPeers` and puts `Reply` into
    `listener`, for the answers of draining agents.
    """

    def __init__(
        self,
        sender: str,
        inbox: Mailbox,
        transport: Transport,
        clock: Clock,
        journal: Journal,
        fetch_limit_ms: int = FETCH_LIMIT_MS,
        listener: Mailbox | None = None,
    ):
        self.sender = sender
        self.inbox = inbox
        self.transport = transport
        self.clock = clock
        self.journal = journal
        self.fetch_limit_ms = fetch_limit_ms
        self.assembly_bytes = 0
        self.chunk_slots = asyncio.Semaphore(CHUNKS_IN_FLIGHT)
        self.listener = listener
        self.retaining_entries: tuple[str, ...] = ()
        self.answers = RetainedAnswers(RETENTION_LIMIT_BYTES)
        self.drop_deadlines_ms: dict[str, int] = {}
        self.retaining: set[str] = set()

    async def run(self) -> None:
        """Fetch answers, several at a time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                match await self.inbox.get():
                    case FetchFullAnswer() as fetch:
                        group.create_task(self._answer_fetch(fetch))
                    case RetainAnswers(reply_to, parts):
                        self._retain_parts(reply_to, parts, group)
                    case ServeAnswer(reply_to) as serve:
                        reply = Reply(reply_to, self.answers.read(serve))
                        self.listener.put_nowait(reply)
                    case SetAnswerPeers(addresses):
                        self.retaining_entries = addresses

    def _retain_parts(
        self,
        reply_to: int,
        parts: tuple[AnswerPart, ...],
        group: asyncio.TaskGroup,
    ) -> None:
        """Reply which answers are retained and fetch the others."""
        self._drop_expired()
        retained = tuple(part.task_id for part in parts if part.task_id in self.answers)
        self.listener.put_nowait(Reply(reply_to, AnswersKept(retained)))
        for part in parts:
            if part.task_id not in self.answers and part.task_id not in self.retaining:
                self.retaining.add(part.task_id)
                group.create_task(self._retain_part(part))

    async def _retain_part(self, part: AnswerPart) -> None:
        """Fetch one answer from its agent and retain it if it fits into memory."""
        try:
            if self.answers.used_bytes + part.length > RETENTION_LIMIT_BYTES:
                self._log_fault(part, 0, 'no memory to keep it')
                return
            deadline_ms = self.clock.now_ms() + self.fetch_limit_ms
            fetched = await self._fetch_from(part.address, part, deadline_ms)
            if fetched.is_ok():
                answer = RetainedAnswer(fetched.unwrap(), part.sha256)
                self.answers.retain(part.task_id, answer)
                self.drop_deadlines_ms[part.task_id] = (
                    self.clock.now_ms() + RETENTION_MS
                )
        finally:
            self.retaining.discard(part.task_id)

    def _drop_expired(self) -> None:
        """Drop the answers whose retention has expired; deadlines are in time order."""
        now_ms = self.clock.now_ms()
        while self.drop_deadlines_ms:
            task_id = next(iter(self.drop_deadlines_ms))
            if self.drop_deadlines_ms[task_id] > now_ms:
                return
            del self.drop_deadlines_ms[task_id]
            self.answers.drop(task_id)

    async def _answer_fetch(self, fetch: FetchFullAnswer) -> None:
        """Fetch one answer within the memory limit and report the outcome."""
        length = sum(part.length for part in fetch.parts)
        if self.assembly_bytes + length > ASSEMBLY_LIMIT_BYTES:
            self._report(fetch, Err(f'no memory for an answer of {length} bytes'))
            return
        self.assembly_bytes += length
        try:
            self._report(fetch, await self._fetch_parts(fetch.parts))
        finally:
            self.assembly_bytes -= length

    def _report(self, fetch: FetchFullAnswer, result: Result[bytes, str]) -> None:
        """Put the outcome of a fetch into the mailbox of the requester."""
        match result:
            case Ok(data):
                full_answer = FullAnswer(request_id=fetch.request_id, data=data)
                fetch.reply_to.put_nowait(full_answer)
            case Err(reason):
                self.journal.write('answer_unavailable', {'reason': reason})
                fetch.reply_to.put_nowait(AnswerUnavailable(fetch.request_id, reason))

    async def _fetch_parts(self, parts: tuple[AnswerPart, ...]) -> Result[bytes, str]:
        """Return the parts joined in their order, or the first failure."""
        deadline_ms = self.clock.now_ms() + self.fetch_limit_ms
        joined = bytearray()
        for part in parts:
            match await self._fetch_part(part, deadline_ms):
                case Ok(data):
                    joined += data
                case Err(reason):
                    name = f'{part.attempt_id}/{part.member} at {part.address}'
                    return Err(f'part {name}: {reason}')
        return Ok(bytes(joined))

    async def _fetch_part(
        self,
        part: AnswerPart,
        deadline_ms: int,
    ) -> Result[bytes, str]:
        """Fetch one part from the record, its agent, or an entry that retains it."""
        if part.data and _has_digest(part.data, part):
            return Ok(part.data)
        if part.task_id in self.answers:
            return Ok(self.answers.kept[part.task_id].data)
        fetch = partial(self._fetch_from, part=part, deadline_ms=deadline_ms)
        first = asyncio.create_task(fetch(part.address))
        tasks = [first]
        try:
            done, _ = await asyncio.wait(tasks, timeout=FALLBACK_DELAY_S)
            if not done or first.result().is_err():
                tasks += [
                    asyncio.create_task(fetch(one)) for one in self.retaining_entries
                ]
            return await _take_first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _fetch_from(
        self,
        address: str,
        part: AnswerPart,
        deadline_ms: int,
    ) -> Result[bytes, str]:
        """Fetch one part from an address; retry while its digest is wrong."""
        match self.transport.connect(address):
            case Err(failure):
                return Err(failure.reason)
            case Ok(peer):
                pass
        try:
            while True:
                result = await self._fetch_chunks(peer, part, deadline_ms)
                if result.is_err() or _has_digest(result.unwrap(), part):
                    return result
                self._log_fault(part, 0, 'wrong SHA-256 of the whole part')
                await asyncio.sleep(RETRY_PAUSE_S)
                if self.clock.now_ms() >= deadline_ms:
                    return Err('wrong SHA-256 of the whole part')
        finally:
            peer.close()

    async def _fetch_chunks(
        self,
        peer: Peer,
        part: AnswerPart,
        deadline_ms: int,
    ) -> Result[bytes, str]:
        """Fetch the chunks of a part in their order."""
        data = bytearray()
        while len(data) < part.length:
            match await self._fetch_chunk(peer, part, len(data), deadline_ms):
                case Ok(piece):
                    data += piece
                case Err(reason):
                    return Err(reason)
        return Ok(bytes(data))

    async def _fetch_chunk(
        self,
        peer: Peer,
        part: AnswerPart,
        offset: int,
        deadline_ms: int,
    ) -> Result[bytes, str]:
        """Request one chunk until it is valid, missing, or the deadline passes."""
        while True:
            async with self.chunk_slots:
                result = await self._request_chunk(peer, part, offset, deadline_ms)
            match result:
                case Ok(NoAnswer()):
                    return Err('the agent does not keep it')
                case Ok(AnswerChunk(data=data)):
                    return Ok(data)
                case Err(reason):
                    self._log_fault(part, offset, reason)
            await asyncio.sleep(RETRY_PAUSE_S)
            if self.clock.now_ms() >= deadline_ms:
                return Err(f'no right chunk at {offset} by the deadline: {reason}')

    async def _request_chunk(
        self,
        peer: Peer,
        part: AnswerPart,
        offset: int,
        deadline_ms: int,
    ) -> Result[AnswerChunk | NoAnswer, str]:
        """Request one chunk once and check the reply."""
        fetch = FetchAnswer(
            attempt_id=part.attempt_id,
            member=part.member,
            offset=offset,
            limit=CHUNK_BYTES,
        )
        chunk_deadline_ms = min(deadline_ms, self.clock.now_ms() + CHUNK_TIMEOUT_MS)
        answer = await peer.request(codec.encode(fetch, self.sender), chunk_deadline_ms)
        if answer.is_err():
            return Err(answer.unwrap_err().reason)
        decoded = codec.decode(answer.unwrap())
        if decoded.is_err():
            return Err(decoded.unwrap_err().reason)
        return check_chunk(decoded.unwrap().message, part, offset)

    def _log_fault(self, part: AnswerPart, offset: int, reason: str) -> None:
        """Log why a chunk or a part is rejected."""
        fields = {
            'attempt_id': part.attempt_id,
            'member': part.member,
            'offset': offset,
            'reason': reason,
        }
        self.journal.write('answer_chunk_rejected', fields)


def check_chunk(
    message: object,
    part: AnswerPart,
    offset: int,
) -> Result[AnswerChunk | NoAnswer, str]:
    """Return the reply if it matches the request for this chunk."""
    if not isinstance(message, AnswerChunk | NoAnswer):
        return Err(f'{type(message).__name__} instead of a chunk')
    if (message.attempt_id, message.member) != (part.attempt_id, part.member):
        return Err(f'chunk of {message.attempt_id}/{message.member}')
    if isinstance(message, NoAnswer):
        return Ok(message)
    if message.offset != offset:
        return Err(f'offset {message.offset} instead of {offset}')
    if (message.length, message.sha256) != (part.length, part.sha256):
        return Err('length or SHA-256 is not that of the part')
    expected = min(CHUNK_BYTES, part.length - offset)
    if len(message.data) != expected:
        return Err(f'{len(message.data)} bytes instead of {expected}')
    return Ok(message)


async def _take_first_success(
    tasks: list[asyncio.Task[Result[bytes, str]]],
) -> Result[bytes, str]:
    """Return the first success, or the failure of the first task."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if task.result().is_ok():
                return task.result()
    return tasks[0].result()


def _has_digest(data: bytes, part: AnswerPart) -> bool:
    """Whether the data has the SHA-256 of the part."""
    return hashlib.sha256(data).hexdigest() == part.sha256
