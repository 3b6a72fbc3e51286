"""Registration of the entry: a leased key, kept alive and recreated when lost."""

import asyncio
from contextlib import suppress

from yuccarelay.adapters.records import EntryValue, encode_entry
from yuccarelay.core.events import Registered, RegistrationLost
from yuccarelay.core.models import EntryRef
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import Guard, Put
from yuccarelay.tasks.breaker import CircuitBreakerStore, jitter
from yuccarelay.tasks.mailbox import Mailbox

ENTRIES_PREFIX = 'config/entries/'
LEASE_S = 10
KEEP_ALIVE_MS = 3_000
# A failed keep-alive is retried before the next one is due, so that a lease
# survives several lost replies.
RETRY_MS = 500


def make_token(rng: RandomSource) -> str:
    """Return a token of 104 random bits that identifies one write."""
    return ''.join(f'{int(rng.random() * (1 << 52)):013x}' for _ in range(2))


class Registration:
    """
    Maintains one registration; part of the store task.

    `deadline_ms` is the earliest time at which the lease may have expired, counted
    from the sending of the last call that granted or renewed it.
    """

    def __init__(
        self,
        store: CircuitBreakerStore,
        entry: EntryRef,
        clock: Clock,
        rng: RandomSource,
        state_machine: Mailbox,
        journal: Journal,
        lease_s: int = LEASE_S,
        keep_alive_ms: int = KEEP_ALIVE_MS,
    ) -> None:
        self.store = store
        self.entry = entry
        self.clock = clock
        self.rng = rng
        self.state_machine = state_machine
        self.journal = journal
        self.lease_s = lease_s
        self.keep_alive_ms = keep_alive_ms
        self.lease = 0
        self.deadline_ms = 0
        self.deregistering = asyncio.Event()

    async def run(self) -> None:
        """Register, keep the lease alive, and register anew whenever it is lost."""
        while not self.deregistering.is_set():
            incarnation = await self.register()
            if incarnation == 0:
                await self.pause()
                continue
            self.state_machine.put_nowait(Registered(incarnation))
            await self.keep_alive()
            if not self.deregistering.is_set():
                self.journal.write('registration_lost', {'incarnation': incarnation})
                self.state_machine.put_nowait(RegistrationLost())
            await self.drop_lease()

    def deregister(self) -> None:
        """Request the end of the registration."""
        self.deregistering.set()

    async def register(self) -> int:
        """Return the new incarnation, or 0 when the attempt failed."""
        sent_ms = self.clock.now_ms()
        granted = await self.store.grant_lease(self.lease_s)
        if granted.is_err():
            return 0
        self.lease = granted.unwrap()
        self.deadline_ms = sent_ms + self.lease_s * 1000
        token = make_token(self.rng)
        key = ENTRIES_PREFIX + token
        value = EntryValue(token, self.entry.region, self.entry.address)
        put = Put(key, encode_entry(value), self.lease)
        while self.clock.now_ms() < self.deadline_ms:
            # The key contains the token, so only this registration can have created
            # it: repeating the write settles a lost reply.
            result = await self.store.transact((Guard(key, 0),), (put,))
            if result.is_ok():
                done = result.unwrap()
                if self.clock.now_ms() >= self.deadline_ms:
                    break
                if done.succeeded:
                    return done.revision
                return done.current[0].create_revision if done.current else 0
            if result.unwrap_err().refused or self.deregistering.is_set():
                break
            await self.pause()
        await self.drop_lease()
        return 0

    async def keep_alive(self) -> None:
        """Renew the lease until it is lost or the entry deregisters."""
        wait_ms = self.keep_alive_ms
        while await self.wait_deregistering(wait_ms):
            sent_ms = self.clock.now_ms()
            if sent_ms >= self.deadline_ms:
                return
            renewed = await self.store.renew_lease(self.lease)
            if self.clock.now_ms() >= self.deadline_ms:
                return
            if renewed.is_ok():
                if not renewed.unwrap():
                    return
                self.deadline_ms = sent_ms + self.lease_s * 1000
                wait_ms = self.keep_alive_ms
                continue
            wait_ms = min(RETRY_MS, self.keep_alive_ms)

    async def wait_deregistering(self, wait_ms: float) -> bool:
        """Wait, at most to the deadline; false if the entry deregisters."""
        remaining_ms = min(wait_ms, self.deadline_ms - self.clock.now_ms())
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0, remaining_ms) / 1000):
                await self.deregistering.wait()
        return not self.deregistering.is_set()

    async def drop_lease(self) -> None:
        """Revoke the lease, so that the key is deleted now and not at its expiry."""
        lease, self.lease = self.lease, 0
        if lease:
            await self.store.revoke_lease(lease)

    async def pause(self) -> None:
        """Wait before another attempt, longer while the breaker is open."""
        await asyncio.sleep(jitter(self.rng, min(RETRY_MS, self.keep_alive_ms)))
        if self.store.is_open:
            await self.store.wait_closed(self.lease_s)
