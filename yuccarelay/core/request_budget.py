"""
Decides which connections and bodies a process has room for, and which it closes.

The load that this handles is many clients that hold connections or incomplete requests.
A request reserves room for its whole body when its head has arrived, and a request
without room is not read until there is. One that has room can therefore always finish,
and the room that it takes is known. Times are those of the caller's clock.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MIB = 1_048_576
# Descriptors of the machine that are reserved for files.
FILE_DESCRIPTORS = 200
# The rest of the descriptors is for the store, workers, peers and the metrics.
CONNECTION_DESCRIPTORS_SHARE = 0.6
# An idle connection takes about 13 kB, and one with 15 kB of a head 25 kB.
CONNECTION_BYTES = 40_960
# Shares of the memory. An entry without load takes 41 of the 200 MB of the smallest
# machine, so these leave the rest for decoding, answers and peaks.
CONNECTIONS_MEMORY_SHARE = 0.35
BODIES_MEMORY_SHARE = 0.12
JOBS_MEMORY_SHARE = 0.2
# A body is copied once when it is complete.
BODY_COPIES = 2
# Decoding a body of many small steps takes 37 times its size, and the result 21 times.
# Bodies of these shares of the memory are decoded and decided on at a time, those of
# ordinary size and larger ones.
SMALL_DECODING_SHARE = 0.005
LARGE_DECODING_SHARE = 0.0025
# A request that waits for the store takes about 100 kB with its own connection to it.
REQUEST_BYTES = 104_857
REQUESTS_MEMORY_SHARE = 0.128
REQUESTS_DESCRIPTORS_SHARE = 0.2
# Ordinary submissions are smaller. They have a part of the room for bodies that large
# ones cannot take.
SMALL_BODY_BYTES = 16_384
SMALL_BODIES_SHARE = 0.25
# 900 callers that send a body of 262,144 bytes each over a link of 5 Mbit/s which they
# share need 377 s in all.
BODY_TIMEOUT_MS = 400_000
# The same callers receive a packet each 2 s. Where others wait for room, a body that
# makes less progress is given up.
STALL_MS = 10_000
SLOWEST_BYTES_PER_S = 200
# Once no connection is left, a request must make some progress in this time.
CAPACITY_STALL_MS = 3_000
WRITE_TIMEOUT_MS = 15_000
# While connections are refused, one with more pipelined requests than this in a row is
# closed between two of them.
PIPELINED_LIMIT = 2
SHORTAGE_MS = 2_000
# Twice the time that the platform allows callers, for links that others fill.
HEADER_TIMEOUT_MS = 6_000
# The platform's limit, and 1 KiB for the start line and the end of the head.
HEADER_BYTES = 17_408


class Limits(NamedTuple):
    """Limits of a process; a default is that of the smallest machine."""

    connections: int = 1_792
    bodies_bytes: int = 25_165_824
    jobs_bytes: int = 41_943_040
    small_decoding_bytes: int = 1_048_576
    large_decoding_bytes: int = 524_288
    requests: int = 256
    body_timeout_ms: int = BODY_TIMEOUT_MS
    write_timeout_ms: int = WRITE_TIMEOUT_MS
    header_timeout_ms: int = HEADER_TIMEOUT_MS
    header_bytes: int = HEADER_BYTES


def derive_limits(memory_mb: float, file_descriptors: int) -> Limits:
    """Return the limits for a machine; one body and one connection always fit."""
    memory_bytes = memory_mb * MIB
    by_memory = CONNECTIONS_MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
    by_files = CONNECTION_DESCRIPTORS_SHARE * (file_descriptors - FILE_DESCRIPTORS)
    return Limits(
        connections=max(1, int(min(by_memory, by_files))),
        bodies_bytes=int(BODIES_MEMORY_SHARE * memory_bytes),
        jobs_bytes=int(JOBS_MEMORY_SHARE * memory_bytes),
        small_decoding_bytes=int(SMALL_DECODING_SHARE * memory_bytes),
        large_decoding_bytes=int(LARGE_DECODING_SHARE * memory_bytes),
        requests=max(
            1,
            int(
                min(
                    REQUESTS_MEMORY_SHARE * memory_bytes / REQUEST_BYTES,
                    REQUESTS_DESCRIPTORS_SHARE * (file_descriptors - FILE_DESCRIPTORS),
                )
            ),
        ),
    )


class RequestTerms(NamedTuple):
    """
    Limits of one request, from the configuration in force.

    Of a larger body than `stored_limit_bytes` the application keeps no more than that.
    A body over the limit is read up to `discard_limit_bytes`, so that its client gets
    the answer instead of a reset connection.
    """

    body_limit_bytes: int = 262_144
    stored_limit_bytes: int = 8_388_608
    discard_limit_bytes: int = 4_194_304


class Reason(StrEnum):
    """Why a connection was closed or a request refused."""

    CONNECTIONS = 'connections'
    IDLE = 'idle'
    HEADERS = 'headers'
    BODY_SIZE = 'body_size'
    BODY_TIMEOUT = 'body_timeout'
    SLOW_BODY = 'slow_body'
    ANSWER_UNREAD = 'answer_unread'
    NO_ROOM = 'no_room'
    PIPELINED = 'pipelined'


@dataclass(frozen=True, slots=True)
class Idle:
    """No part of a request has arrived."""

    since_ms: int


@dataclass(frozen=True, slots=True)
class Head:
    """A part of the head has arrived."""

    since_ms: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class Waiting:
    """The head has arrived; the body is not read until there is room."""

    since_ms: int
    until_ms: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Body:
    """The body arrives."""

    since_ms: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class Answering:
    """The request is complete and not answered."""


@dataclass(frozen=True, slots=True)
class Unread:
    """An answer is written that the client has not received."""

    until_ms: int


Phase = Idle | Head | Waiting | Body | Answering | Unread


class ByteBudget:
    """Bytes that are reserved of a limit; one reservation fits at least."""

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes if they fit."""
        fits = self.held_bytes + size_bytes <= self.limit_bytes
        if not fits and self.held_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give reserved bytes back."""
        self.held_bytes -= size_bytes


class Connection:
    """State of a connection; `read_ms` is when the client last made progress."""

    def __init__(self, address: str, now_ms: int):
        self.address = address
        self.phase: Phase = Idle(now_ms)
        self.read_ms = now_ms
        self.body_bytes = 0
        self.pipelined = 0
        self.reserved_bytes = 0
        self.budget: ByteBudget | None = None


class Close(NamedTuple):
    """Close a connection for a reason."""

    connection: int
    reason: Reason


class RequestBudget:
    """Room of a process for connections and for bodies of requests."""

    def __init__(self, limits: Limits):
        self.limits = limits
        small_bytes = int(SMALL_BODIES_SHARE * limits.bodies_bytes)
        self.small = ByteBudget(small_bytes)
        self.large = ByteBudget(limits.bodies_bytes - small_bytes)
        self.connections: dict[int, Connection] = {}
        # Idle connections, the longest idle one first.
        self.idle: dict[int, None] = {}
        self.stalled: list[int] = []
        self.ranked_ms = -1
        self.now_ms = 0
        self.per_address: Counter[str] = Counter()
        self.queue: dict[int, None] = {}
        self.last_id = 0
        self.short_until_ms = -1

    def connect(self, address: str, now_ms: int) -> tuple[int, Close | None]:
        """
        Admit a connection and return its id, and the one to close in its favour.

        The id is 0 if there is no room and no connection may be closed.
        """
        victim = None
        if len(self.connections) >= self.limits.connections:
            victim = self._find_victim(now_ms)
            if victim is None:
                self.short_until_ms = now_ms + SHORTAGE_MS
                return 0, None
        self.last_id += 1
        self.connections[self.last_id] = Connection(address, now_ms)
        self.idle[self.last_id] = None
        self.per_address[address] += 1
        return self.last_id, victim

    def _find_victim(self, now_ms: int) -> Close | None:
        """
        Return the connection to close in favour of a new one.

        Idle connections come first, the longest idle one before the others. Requests
        without progress are ranked once for each time, since clients may connect
        thousands of times between two sweeps.
        """
        for number in self.idle:
            return Close(number, Reason.IDLE)
        if self.ranked_ms != now_ms:
            self.ranked_ms = now_ms
            ranks = {
                number: rank
                for number, connection in self.connections.items()
                if (rank := self._rank_victim(connection, now_ms))
            }
            self.stalled = sorted(ranks, key=ranks.get, reverse=True)
        while self.stalled:
            number = self.stalled.pop()
            connection = self.connections.get(number)
            if connection is not None and self._rank_victim(connection, now_ms):
                return Close(number, Reason.CONNECTIONS)
        return None

    def _rank_victim(self, connection: Connection, now_ms: int) -> tuple | None:
        """
        Return the rank of a request that may be closed, lowest first.

        Of requests that make no progress, the first are those of the address with the
        most connections, and of these the largest and then the slowest.
        """
        stalled_ms = now_ms - connection.read_ms
        match connection.phase:
            case Head() | Waiting() | Body() | Unread():
                if stalled_ms >= CAPACITY_STALL_MS:
                    same_address = self.per_address[connection.address]
                    return -same_address, -connection.reserved_bytes, -stalled_ms
        return None

    def close(self, number: int) -> list[int]:
        """Release all that a connection holds; return the requests that now fit."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return []
        self.queue.pop(number, None)
        self.idle.pop(number, None)
        self.per_address[connection.address] -= 1
        if not self.per_address[connection.address]:
            del self.per_address[connection.address]
        self._release(connection)
        return self._admit_waiting()

    def note_read(self, number: int, size_bytes: int, now_ms: int) -> None:
        """Count bytes that arrived; the first of a request start its head."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.read_ms = now_ms
        match connection.phase:
            case Idle():
                self.idle.pop(number, None)
                connection.phase = Head(now_ms, now_ms + self.limits.header_timeout_ms)
            case Body():
                connection.body_bytes += size_bytes

    def note_write(self, number: int, now_ms: int) -> None:
        """Note that a client received a part of an answer."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.read_ms = now_ms
            if isinstance(connection.phase, Unread):
                until_ms = now_ms + self.limits.write_timeout_ms
                connection.phase = Unread(until_ms)

    def receive_head(self, number: int, size_bytes: int, now_ms: int) -> bool:
        """Return whether the body of a request may be read at once."""
        connection = self.connections[number]
        self.now_ms = connection.read_ms = now_ms
        connection.body_bytes = 0
        # The head was read together with the request before it.
        is_pipelined = isinstance(connection.phase, Idle)
        connection.pipelined = connection.pipelined + 1 if is_pipelined else 0
        self.idle.pop(number, None)
        until_ms = now_ms + self.limits.body_timeout_ms
        if not size_bytes:
            connection.phase = Answering()
            return True
        connection.phase = Waiting(now_ms, until_ms, size_bytes)
        self.queue[number] = None
        return number in self._admit_waiting()

    def finish_body(self, number: int) -> None:
        """Note that the body of a request is complete."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.phase = Answering()

    def answer(self, number: int, now_ms: int) -> list[int]:
        """Release the body of an answered request; return the requests that fit."""
        connection = self.connections.get(number)
        if connection is None or not isinstance(connection.phase, Answering):
            return []
        return self.refuse(number, now_ms)

    def refuse(self, number: int, now_ms: int) -> list[int]:
        """Release the room of a request in any phase; return the requests that fit."""
        connection = self.connections.get(number)
        if connection is None:
            return []
        connection.phase = Unread(now_ms + self.limits.write_timeout_ms)
        connection.read_ms = now_ms
        self.idle.pop(number, None)
        self.queue.pop(number, None)
        self._release(connection)
        return self._admit_waiting()

    def await_request(self, number: int, now_ms: int) -> Close | None:
        """
        Note that the answer was sent, so that the connection is idle.

        The connection is to be closed if its client has pipelined many requests while
        others get no connection.
        """
        connection = self.connections.get(number)
        if connection is None:
            return None
        connection.phase = Idle(now_ms)
        self.idle.pop(number, None)
        self.idle[number] = None
        connection.read_ms = now_ms
        if self.is_pipelined(number) and now_ms <= self.short_until_ms:
            return Close(number, Reason.PIPELINED)
        return None

    def count_unanswered(self) -> int:
        """Return how many complete requests are not answered."""
        return sum(
            isinstance(connection.phase, Answering)
            for connection in self.connections.values()
        )

    def is_pipelined(self, number: int) -> bool:
        """Whether a connection has pipelined many requests in a row."""
        connection = self.connections.get(number)
        return connection is not None and connection.pipelined > PIPELINED_LIMIT

    def _release(self, connection: Connection) -> None:
        if connection.budget is not None:
            connection.budget.release(connection.reserved_bytes)
        connection.budget, connection.reserved_bytes = None, 0

    def _admit_waiting(self) -> list[int]:
        """Reserve room for waiting requests, in their order within each size."""
        admitted = []
        full: set[int] = set()
        for number in list(self.queue):
            connection = self.connections[number]
            waiting = connection.phase
            is_small = waiting.size_bytes <= SMALL_BODY_BYTES
            budget = self.small if is_small else self.large
            size_bytes = waiting.size_bytes * BODY_COPIES
            if id(budget) in full or not budget.reserve(size_bytes):
                full.add(id(budget))
                if len(full) > 1:
                    break
                continue
            del self.queue[number]
            connection.budget, connection.reserved_bytes = budget, size_bytes
            # What it sent while it waited is read only now.
            connection.phase = Body(self.now_ms, waiting.until_ms)
            connection.read_ms = self.now_ms
            admitted.append(number)
        return admitted

    def find_overdue(self, now_ms: int) -> list[Close]:
        """Return the connections to close because a deadline has passed."""
        self.now_ms = now_ms
        return [
            Close(number, reason)
            for number, connection in self.connections.items()
            if (reason := self._find_reason(connection, now_ms))
        ]

    def _find_reason(self, connection: Connection, now_ms: int) -> Reason | None:
        match connection.phase:
            case Head(until_ms=until_ms) if now_ms > until_ms:
                return Reason.HEADERS
            case Waiting(until_ms=until_ms) if now_ms > until_ms:
                return Reason.NO_ROOM
            case Body(until_ms=until_ms) if now_ms > until_ms:
                return Reason.BODY_TIMEOUT
            case Body(since_ms) if self.queue:
                if self._is_slow(connection, since_ms, now_ms):
                    return Reason.SLOW_BODY
            case Unread(until_ms) if now_ms > until_ms:
                return Reason.ANSWER_UNREAD
        return None

    def _is_slow(self, connection: Connection, since_ms: int, now_ms: int) -> bool:
        """Whether a body makes too little progress while others wait for room."""
        took_ms = now_ms - since_ms
        if took_ms < STALL_MS:
            return False
        expected_bytes = SLOWEST_BYTES_PER_S * took_ms // 1_000
        is_stalled = now_ms - connection.read_ms >= STALL_MS
        return is_stalled or connection.body_bytes < expected_bytes
