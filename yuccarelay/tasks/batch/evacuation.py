"""
The task that follows the evacuated failure domains while this process plans.

Each answer of the store is passed to the planner with the time until which its set is
valid. It counts from the request: an answer may have waited in the network, or while
this process was paused, and then says nothing about the present.
"""

import asyncio

from result import Err, Ok

from yuccarelay.core.batch.evacuated_domains import EvacuationTimes
from yuccarelay.core.batch.events import EvacuationConfirmed
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.store import ChangeFeed, StoreFailure
from yuccarelay.tasks.batch.records import TermBegan, TermEnded
from yuccarelay.tasks.batch.replica import read_all
from yuccarelay.tasks.failures import write_failure
from yuccarelay.tasks.mailbox import Mailbox

# A watch that is later than this is given up: its connection may be silent. The store
# answers up to 0.4 s late when it is slow or in another region.
ANSWER_LIMIT_MS = 500
RETRY_S = 0.1
# An unexpected error may repeat; a shorter pause would fill the log.
FAILED_RETRY_S = 1.0
# A key that is written again and again must not cause a call for each change.
GATHER_MS = 50
OVERDUE = StoreFailure('no answer to a watch in time', ambiguous=False)


class EvacuationTask:
    """Owns the set of evacuated domains that the store last showed."""

    def __init__(
        self,
        store: ChangeFeed,
        prefix: str,
        times: EvacuationTimes,
        inbox: Mailbox,
        planner: Mailbox,
        clock: Clock,
        journal: Journal,
    ):
        self.store = store
        self.prefix = prefix
        self.times = times
        self.inbox = inbox
        self.planner = planner
        self.clock = clock
        self.journal = journal
        self.domains: set[str] = set()
        # Where the next watch goes on; 0 means that everything is read first.
        self.revision = 0
        # The newest revision seen: an answer below it is of a replica that lags.
        self.newest_revision = 0
        self.failure = ''

    async def run(self) -> None:
        """Follow the keys during each term of this process, until cancelled."""
        following: asyncio.Task | None = None
        try:
            while True:
                message = await self.inbox.get()
                if following is not None:
                    following.cancel()
                    following = None
                match message:
                    case TermBegan(term):
                        # The term is the store's revision at its beginning.
                        self.newest_revision = term
                        following = asyncio.create_task(self._follow())
                    case TermEnded():
                        pass
        finally:
            if following is not None:
                following.cancel()

    async def _follow(self) -> None:
        """Read the keys and watch them, until cancelled."""
        self.revision = 0
        while True:
            try:
                await self._ask()
            except Exception as error:
                self.revision = 0
                write_failure(self.journal, 'evacuation_failed', error)
                await asyncio.sleep(FAILED_RETRY_S)

    async def _ask(self) -> None:
        """Make one call, and pass on what it shows."""
        sent_ms = self.clock.now_ms()
        found = await (self._watch() if self.revision else self._read())
        match found:
            case Ok(revision) if revision < self.newest_revision:
                await self._give_up('stale answer')
            case Ok(revision):
                self.revision = self.newest_revision = revision
                self._note_failure('')
                self.planner.put_nowait(
                    EvacuationConfirmed(
                        frozenset(self.domains), sent_ms + self.times.fresh_ms
                    )
                )
                if self.clock.now_ms() < sent_ms + GATHER_MS:
                    await asyncio.sleep(GATHER_MS / 1000)
            case Err(failure):
                # After a gap or a dropped history only a read shows everything.
                await self._give_up(failure.reason)

    async def _give_up(self, reason: str) -> None:
        """Pause, and read everything next."""
        self.revision = 0
        self._note_failure(reason)
        await asyncio.sleep(RETRY_S)

    async def _read(self):
        """Read all keys; return the revision to watch from."""
        match await read_all(self.store, self.prefix):
            case Ok((values, revision)):
                keys = {value.key for value in values}
                self.domains = {self._find_domain(key) for key in keys} - {''}
                return Ok(revision)
            case Err() as failed:
                return failed

    async def _watch(self):
        """Wait for changes; return the revision to watch from."""
        wait_ms = self.times.watch_wait_ms
        try:
            async with asyncio.timeout((wait_ms + ANSWER_LIMIT_MS) / 1000):
                found = await self.store.read_changes(
                    self.prefix, self.revision, wait_ms
                )
        except TimeoutError:
            return Err(OVERDUE)
        match found:
            case Ok(changes):
                for event in changes.events:
                    domain = self._find_domain(event.key)
                    if event.value is None:
                        self.domains.discard(domain)
                    elif domain:
                        self.domains.add(domain)
                return Ok(changes.revision)
            case Err() as failed:
                return failed

    def _find_domain(self, key: str) -> str:
        """Return the domain that a key names, whatever its value is."""
        return key.removeprefix(self.prefix)

    def _note_failure(self, reason: str) -> None:
        """Log when the store begins or ceases to confirm the set."""
        if reason != self.failure:
            self.failure = reason
            event = 'evacuation_feed_lost' if reason else 'evacuation_feed_found'
            self.journal.write(event, {'reason': reason})
