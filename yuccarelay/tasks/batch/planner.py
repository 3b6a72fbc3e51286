"""Tasks that run the planner and send its orders to the agents."""

import asyncio
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.entities import Moment
from yuccarelay.core.batch.events import (
    Deposed,
    Effect,
    Event,
    Note,
    OrderAnswered,
    PlannerTick,
    QueryAdvice,
    Reconnect,
    RemoveJob,
    SaveRecord,
    SaveRunTimes,
    SaveSilence,
    SendOrder,
    StepDown,
)
from yuccarelay.core.batch.planner import Planner
from yuccarelay.core.batch.planner_load import PlannerLoad
from yuccarelay.core.batch.protocol import Answer, Look, Unanswered
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.tasks.batch.peers import PeerSockets
from yuccarelay.tasks.failures import describe_failure, write_failure
from yuccarelay.tasks.mailbox import Mailbox

TICK_S = 0.1
LOAD_PERIOD_MS = 5_000
# Small events are handled together for this time to save changes between the threads.
BATCH_MS = 5
# An agent's call to its worker takes up to 0.6 s, and the network delay between
# regions is 60 ms.
ORDER_LIMIT_MS = 1_200
POLL_SLACK_MS = 1_200


class PlannerTask:
    """
    Owns the planner: passes events to it and dispatches its effects.

    The planner works in a thread of its own, because callers, polls and the renewal of
    the term need several turns of the event loop each, and a pass would be in each of
    them. While the task waits for the thread, that has the planner, `waiting` and the
    load to itself.
    """

    def __init__(
        self,
        planner: Planner,
        clock: Clock,
        inbox: Mailbox,
        links: Mailbox,
        records: Mailbox,
        election: Mailbox,
        advice: Mailbox,
        journal: Journal,
    ):
        self.advice = advice
        self.planner = planner
        self.clock = clock
        self.inbox = inbox
        self.links = links
        self.records = records
        self.election = election
        self.journal = journal
        self.load = PlannerLoad(clock.now_ms())
        self.waiting: deque[Event] = deque()
        self.has_tick = False

    async def run(self) -> None:
        """Handle events, and ticks between them, until cancelled."""
        loop = asyncio.get_running_loop()
        executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix='planner')
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick())
                while True:
                    if not self.waiting:
                        self.waiting.append(await self.inbox.get())
                    self._collect_events()
                    effects = await loop.run_in_executor(executor, self.handle_waiting)
                    self._collect_events()
                    self._dispatch_all(effects)
        finally:
            executor.shutdown(wait=False)

    def _collect_events(self) -> None:
        """Take the events that have arrived."""
        while not self.inbox.empty():
            self.waiting.append(self.inbox.get_nowait())

    def handle_waiting(self) -> list[Effect]:
        """
        Handle the events that wait, one at least, and return their effects.

        These are of one term: the end of a term is the first event or none.
        """
        until_ms = self.clock.now_ms() + BATCH_MS
        effects = self.handle(self.waiting.popleft())
        while (
            self.waiting
            and not isinstance(self.waiting[0], Deposed)
            and self.clock.now_ms() < until_ms
        ):
            effects += self.handle(self.waiting.popleft())
        return effects

    def _dispatch_all(self, effects: list[Effect]) -> None:
        """
        Dispatch the effects of a term, but only log lines if it has ended meanwhile.

        The next term of this process may have begun as well, and the record writer
        would write the records of the last one under it.
        """
        is_over = any(isinstance(event, Deposed) for event in self.waiting)
        for effect in effects:
            if not is_over or isinstance(effect, Note):
                self._dispatch(effect)

    def handle(self, event: Event) -> list[Effect]:
        """
        Return the planner's effects of an event.

        After an unexpected error the planner's state may be inconsistent. Its term
        ends, and the next planner restores the state from the store.
        """
        now = Moment(self.clock.now_ms(), time.time_ns() // 1_000_000)
        term = self.planner.term
        name = type(event).__name__
        if isinstance(event, PlannerTick):
            self.has_tick = False
        try:
            effects = self.planner.step(event, now)
            self.planner.end_step(self.clock.now_ms())
        except Exception as error:
            fields = describe_failure(error, {'event': name, 'term': term})
            self.planner.step(Deposed('failed'), now)
            effects = [Note('planner_failed', fields), StepDown(term)]
        return [*effects, *self._note_load(name, now.ms)]

    def _note_load(self, event: str, begun_ms: int) -> list[Note]:
        """Count an event; return the load of each interval in which it plans."""
        now_ms = self.clock.now_ms()
        queued = len(self.waiting) + self.inbox.qsize()
        self.load = self.load.add(event, now_ms - begun_ms, queued)
        if now_ms < self.load.since_ms + LOAD_PERIOD_MS:
            return []
        fields = self.load._asdict()
        interval_ms = now_ms - fields.pop('since_ms')
        self.load = PlannerLoad(now_ms)
        if not self.planner.term:
            return []
        return [Note('planner_load', {'interval_ms': interval_ms, **fields})]

    async def _tick(self) -> None:
        """Let time pass for the planner, unless it has not handled the last tick."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.planner.term and not self.has_tick:
                self.has_tick = True
                self.inbox.put_nowait(PlannerTick())

    def _dispatch(self, effect: Effect) -> None:
        match effect:
            case SendOrder() | Reconnect():
                self.links.put_nowait(effect)
            case QueryAdvice():
                self.advice.put_nowait(effect)
            case SaveRecord() | SaveSilence() | SaveRunTimes() | RemoveJob():
                self.records.put_nowait(effect)
            case StepDown():
                self.election.put_nowait(effect)
            case Note(event, fields):
                self.journal.write(event, fields)


class OrderLinksTask:
    """
    Sends orders to agents and passes the answers to the planner.

    Each order is answered, if need be as `Unanswered`. The planner polls a worker only
    after the answer to the last poll, and settles a run only after that to its start.
    """

    def __init__(
        self,
        inbox: Mailbox,
        planner: Mailbox,
        sockets: PeerSockets,
        journal: Journal,
    ):
        self.inbox = inbox
        self.planner = planner
        self.sockets = sockets
        self.journal = journal
        self.requests: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send orders until cancelled."""
        try:
            while True:
                match await self.inbox.get():
                    case Reconnect(address):
                        self.sockets.drop(address)
                    case SendOrder() as effect:
                        task = asyncio.ensure_future(self._send(effect))
                        self.requests.add(task)
                        task.add_done_callback(self.requests.discard)
        finally:
            self.sockets.close()

    async def _send(self, effect: SendOrder) -> None:
        """Send one order and pass its answer, or its failure, to the planner."""
        sent_ms = self.sockets.clock.now_ms()
        answer: Answer
        try:
            answer = await self._request(effect)
        except Exception as error:
            fields = {'agent': effect.agent, 'order': type(effect.order).__name__}
            write_failure(self.journal, 'order_not_sent', error, fields)
            answer = Unanswered('internal error')
        event = OrderAnswered(effect.agent, effect.order, answer, sent_ms)
        self.planner.put_nowait(event)

    async def _request(self, effect: SendOrder) -> Answer:
        """Return the answer to one order."""
        order = effect.order
        limit_ms = ORDER_LIMIT_MS
        if isinstance(order, Look):
            limit_ms = order.wait_ms + POLL_SLACK_MS
        found = await self.sockets.request(
            effect.address,
            batch_codec.encode(order),
            limit_ms,
        )
        match found:
            case Ok(data):
                return self._decode(data)
            case Err(failure):
                return Unanswered(failure.reason)

    def _decode(self, data: bytes) -> Answer:
        match batch_codec.decode(data):
            case Ok(answer):
                return answer
            case Err(reason):
                return Unanswered(f'unreadable answer: {reason}')
