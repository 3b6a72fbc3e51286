"""The task that fetches whole answers from the agents that keep them."""

import asyncio
import hashlib

from result import Err, Ok, Result

from yuccarelay.adapters import codec
from yuccarelay.core.messages import AnswerChunk, FetchAnswer, NoAnswer
from yuccarelay.core.models import AnswerPart
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.transport import Peer, Transport
from yuccarelay.tasks.mailbox import (
    AnswerUnavailable,
    FetchWhole,
    Mailbox,
    WholeAnswer,
)

CHUNK_BYTES = 256 * 1024
# At 15 Mbit/s between regions a chunk takes 140 ms when it is alone, and eight
# at once about 1.1 s; a chunk lost on the way is asked for again after this.
CHUNK_TIMEOUT_MS = 5_000
FETCH_LIMIT_MS = 60_000
RETRY_PAUSE_S = 0.05
CHUNKS_IN_FLIGHT = 8
# Whole answers that are being put together, over all callers.
ASSEMBLY_LIMIT_BYTES = 64_000_000


class AnswersTask:
    """
    Fetches every part of an answer in chunks and checks it.

    Reads `FetchWhole` from `inbox` and puts `WholeAnswer` or `AnswerUnavailable`
    into its `reply_to`. A chunk that is not the one asked for is asked for again
    until the deadline. The parts of one answer are fetched one after the other.
    """

    def __init__(
        self,
        sender: str,
        inbox: Mailbox,
        transport: Transport,
        clock: Clock,
        journal: Journal,
        fetch_limit_ms: int = FETCH_LIMIT_MS,
    ):
        self.sender = sender
        self.inbox = inbox
        self.transport = transport
        self.clock = clock
        self.journal = journal
        self.fetch_limit_ms = fetch_limit_ms
        self.assembly_bytes = 0
        self.chunk_slots = asyncio.Semaphore(CHUNKS_IN_FLIGHT)

    async def run(self) -> None:
        """Fetch answers, several at a time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                fetch = await self.inbox.get()
                group.create_task(self._answer_fetch(fetch))

    async def _answer_fetch(self, fetch: FetchWhole) -> None:
        """Fetch one answer within the memory limit and report its end."""
        length = sum(part.length for part in fetch.parts)
        if self.assembly_bytes + length > ASSEMBLY_LIMIT_BYTES:
            self._report(fetch, Err(f'no memory for an answer of {length} bytes'))
            return
        self.assembly_bytes += length
        try:
            self._report(fetch, await self._fetch_parts(fetch.parts))
        finally:
            self.assembly_bytes -= length

    def _report(self, fetch: FetchWhole, result: Result[bytes, str]) -> None:
        """Put the end of a fetch into the mailbox of the asker."""
        match result:
            case Ok(data):
                whole = WholeAnswer(request_id=fetch.request_id, data=data)
                fetch.reply_to.put_nowait(whole)
            case Err(reason):
                self.journal.write('answer_unavailable', {'reason': reason})
                fetch.reply_to.put_nowait(AnswerUnavailable(fetch.request_id, reason))

    async def _fetch_parts(self, parts: tuple[AnswerPart, ...]) -> Result[bytes, str]:
        """Return the parts in their order, or the first fault."""
        deadline_ms = self.clock.now_ms() + self.fetch_limit_ms
        whole = bytearray()
        for part in parts:
            match await self._fetch_part(part, deadline_ms):
                case Ok(data):
                    whole += data
                case Err(reason):
                    name = f'{part.attempt_id}/{part.member} at {part.address}'
                    return Err(f'part {name}: {reason}')
        return Ok(bytes(whole))

    async def _fetch_part(
        self,
        part: AnswerPart,
        deadline_ms: int,
    ) -> Result[bytes, str]:
        """Fetch one part from its address, again while its digest is wrong."""
        if part.data and _has_digest(part.data, part):
            return Ok(part.data)
        match self.transport.connect(part.address):
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
        """Ask for one chunk until it is right, missing, or the deadline passes."""
        while True:
            async with self.chunk_slots:
                result = await self._ask_chunk(peer, part, offset, deadline_ms)
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

    async def _ask_chunk(
        self,
        peer: Peer,
        part: AnswerPart,
        offset: int,
        deadline_ms: int,
    ) -> Result[AnswerChunk | NoAnswer, str]:
        """Ask for one chunk once and check the reply."""
        ask = FetchAnswer(
            attempt_id=part.attempt_id,
            member=part.member,
            offset=offset,
            limit=CHUNK_BYTES,
        )
        chunk_deadline_ms = min(deadline_ms, self.clock.now_ms() + CHUNK_TIMEOUT_MS)
        answer = await peer.request(codec.encode(ask, self.sender), chunk_deadline_ms)
        if answer.is_err():
            return Err(answer.unwrap_err().reason)
        decoded = codec.decode(answer.unwrap())
        if decoded.is_err():
            return Err(decoded.unwrap_err().reason)
        return check_chunk(decoded.unwrap().message, part, offset)

    def _log_fault(self, part: AnswerPart, offset: int, reason: str) -> None:
        """Write why a chunk is asked for again."""
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
    """Return the reply when it answers the request for this chunk."""
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


def _has_digest(data: bytes, part: AnswerPart) -> bool:
    """Whether the data has the SHA-256 of the part."""
    return hashlib.sha256(data).hexdigest() == part.sha256
