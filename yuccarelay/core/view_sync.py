"""
Exchange of the view between the entries of a region.

Each agent reports to one entry. That entry sends the changes to its peers, so that
every entry can place work on every worker. A digest detects missed changes.
"""

from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.messages import Ack, Message, ViewDelta, ViewResync
from yuccarelay.core.timing import SUSPECT_MS, compute_peer_update_ms


class ViewSync:
    """Sends this entry's part of the view to its peers and applies theirs."""

    def __init__(self, state: EntryState):
        self.state = state
        self.next_send_ms = 0
        self.peers: set[str] = set()
        self.needs_full: set[str] = set()
        self.sent_lost: tuple[str, ...] = ()

    def tick(self, now_ms: int) -> None:
        """Send the changes, or a heartbeat when there are none."""
        state = self.state
        if not state.entry.incarnation:
            return
        peers = {peer.address for peer in state.find_peers()}
        self.needs_full = (self.needs_full | (peers - self.peers)) & peers
        self.peers = peers
        interval_ms = compute_peer_update_ms(len(peers))
        state.view.relayed_suspect_ms = max(SUSPECT_MS, 3 * interval_ms)
        due = now_ms >= self.next_send_ms or tuple(state.view.lost) != self.sent_lost
        if not due and not state.view.changed and not self.needs_full:
            return
        self.next_send_ms = now_ms + interval_ms
        changed, lost = state.view.take_changes()
        self.sent_lost = lost
        digest = state.view.compute_digest(0)
        config = state.view.find_lowest_config()
        for address in sorted(peers):
            full = address in self.needs_full
            states = state.view.find_own() if full else changed
            delta = ViewDelta(state.entry, states, lost, digest, full, *config)
            state.outbox.send(address, delta, f'delta:{address}')
        self.needs_full = set()

    def take_delta(self, delta: ViewDelta, now_ms: int) -> Message:
        """Apply a peer's part of the view; request all of it if a change was missed."""
        view = self.state.view
        assigned_entry = delta.sender.incarnation
        view.take_entry_heartbeat(
            assigned_entry, now_ms, delta.generation, delta.plan_epoch
        )
        self.state.note_generation(delta.generation)
        for worker in delta.states:
            view.take_state(worker, assigned_entry, now_ms)
            self.state.note_generation(worker.generation)
        if delta.full:
            view.retain_workers(
                {worker.worker_id for worker in delta.states}, assigned_entry
            )
        view.mark_suspect(delta.lost, assigned_entry)
        if view.compute_digest(assigned_entry) != delta.digest and not delta.full:
            return ViewResync()
        return Ack()

    def take_reply(self, address: str, reply: Message | None) -> None:
        """Schedule the full view for a peer that did not acknowledge a delta."""
        if not isinstance(reply, Ack):
            self.needs_full.add(address)
