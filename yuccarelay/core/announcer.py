"""Announcements and heartbeats of an agent to the entries."""

from yuccarelay.core.entry_assignment import digest_entries, rank_entries
from yuccarelay.core.messages import Announce, Heartbeat, Message, Welcome
from yuccarelay.core.models import EntryRef, OwnedShare, WorkerState
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.timing import (
    ANNOUNCE_INTERVAL_MS,
    HEARTBEAT_INTERVAL_MS,
    REQUEST_TIMEOUT_MS,
)
from yuccarelay.ports.randomness import RandomSource


class Announcer:
    """
    Reports the worker's state to the assigned entry and applies its configuration.

    A generation or plan epoch that is lower than the known one is ignored, so an
    entry with an older configuration cannot revert the agent.
    """

    def __init__(
        self,
        state: WorkerState,
        seeds: tuple[str, ...],
        rng: RandomSource,
        outbox: Outbox,
    ):
        self.state = state
        self.rng = rng
        self.outbox = outbox
        self.entries = tuple(EntryRef(0, state.region, seed) for seed in seeds)
        self.assigned_index = 0
        self.acknowledged: tuple[str, int] = ('', -1)
        self.next_send_ms = 0
        self.waiting = False
        self.heartbeat_ms = HEARTBEAT_INTERVAL_MS
        self.generation = 0
        self.plan_epoch = 0
        self.owned: tuple[OwnedShare, ...] = ()

    def update_state(self, now_ms: int, **changes: object) -> None:
        """
        Update the worker's state and schedule its announcement.

        A change of only the generation or the plan epoch is sent in the next
        heartbeat. If it were announced, each configuration change would cost the
        entries of a region one announcement per worker, and a relay of each to every
        other entry.
        """
        state = self.state._replace(**changes)
        if state == self.state:
            return
        with_configuration = self.state._replace(
            generation=state.generation,
            plan_epoch=state.plan_epoch,
        )
        if state != with_configuration:
            state = state._replace(version=state.version + 1)
            self.next_send_ms = min(self.next_send_ms, now_ms + ANNOUNCE_INTERVAL_MS)
        self.state = state

    def tick(self, now_ms: int) -> None:
        """Send the state or a heartbeat to the assigned entry when it is due."""
        if self.waiting or now_ms < self.next_send_ms or not self.entries:
            return
        self.waiting = True
        entry_address = self.find_assigned_entry()
        self.next_send_ms = now_ms + self._jitter(self.heartbeat_ms)
        self.outbox.send(
            entry_address,
            self._make_message(entry_address),
            f'assigned_entry:{entry_address}',
        )

    def announce_to_all(self) -> None:
        """Send the state to every known entry at once, as at the start of a drain."""
        for entry in self.entries:
            message = Announce(self.state)
            self.outbox.send(entry.address, message, f'announce:{entry.address}')

    def take_reply(self, address: str, reply: Message | None, now_ms: int) -> bool:
        """Handle the entry's reply; return whether the configuration changed."""
        self.waiting = False
        match reply:
            case Welcome():
                self._set_heartbeat_interval(reply.heartbeat_ms, now_ms)
                known = -1 if reply.announce else self.sent_version
                self.acknowledged = (address, known)
                if reply.announce or self.state.version != self.sent_version:
                    self.next_send_ms = now_ms + ANNOUNCE_INTERVAL_MS
                return self.apply_welcome(reply)
            case _:
                # The next entry in rank is assigned until the list changes.
                self.assigned_index += 1
                self.next_send_ms = now_ms + self._jitter(REQUEST_TIMEOUT_MS)
                return False

    def _set_heartbeat_interval(self, heartbeat_ms: int, now_ms: int) -> None:
        """Apply the interval from the reply to a report; a push does not change it."""
        if heartbeat_ms and heartbeat_ms != self.heartbeat_ms:
            self.heartbeat_ms = heartbeat_ms
            self.next_send_ms = now_ms + self._jitter(heartbeat_ms)

    def apply_welcome(self, welcome: Welcome) -> bool:
        """Apply configuration that is newer than the known one."""
        if welcome.entries and set(welcome.entries) != set(self.entries):
            self.entries = welcome.entries
            self.assigned_index = 0
        changed = False
        if welcome.generation > self.generation:
            self.generation = welcome.generation
            changed = True
        if welcome.plan_epoch > self.plan_epoch:
            self.plan_epoch = welcome.plan_epoch
            self.owned = welcome.owned
            changed = True
        return changed

    def find_assigned_entry(self) -> str:
        """Return the address of the assigned entry."""
        region = self.state.region
        in_region = [entry for entry in self.entries if entry.region == region]
        ranked = rank_entries(self.state.worker_id, in_region or self.entries)
        return ranked[self.assigned_index % len(ranked)].address

    def _make_message(self, entry_address: str) -> Message:
        self.sent_version = self.state.version
        if self.acknowledged == (entry_address, self.state.version):
            return Heartbeat(
                worker_id=self.state.worker_id,
                incarnation=self.state.incarnation,
                version=self.state.version,
                generation=self.state.generation,
                plan_epoch=self.state.plan_epoch,
                entries=digest_entries(self.entries),
            )
        return Announce(self.state)

    def _jitter(self, interval_ms: int) -> int:
        return int(interval_ms * (0.75 + 0.5 * self.rng.random()))
