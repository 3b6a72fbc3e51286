"""
An entry's view of the workers of its region.

The view is soft state: it is rebuilt from announcements and may be out of date.
The agents decide what runs.
"""

import hashlib
from collections import Counter
from typing import NamedTuple

from yuccarelay.core.free_capacity import FreeCapacity
from yuccarelay.core.models import Claim, Grant, JobSpec, MemberRef, WorkerState
from yuccarelay.core.placement import Candidate
from yuccarelay.core.timing import (
    ANNOUNCE_INTERVAL_MS,
    HEARTBEAT_INTERVAL_MS,
    REPLAN_ABSENCE_MS,
    SUSPECT_MS,
    compute_heartbeat_interval_ms,
)

# A worker that refused for lack of capacity is left out of placement until its next
# announcement, or for this long when none comes.
FULL_WORKER_TIMEOUT_MS = 5 * ANNOUNCE_INTERVAL_MS


class WorkerRecord(NamedTuple):
    """
    A worker in the view.

    `assigned_entry` is the incarnation of the entry that the agent reports to, 0 for
    this entry. The worker is suspect from `suspect_deadline_ms` on and is removed from
    the view at `forget_deadline_ms`.
    """

    state: WorkerState
    assigned_entry: int
    suspect_deadline_ms: int
    forget_deadline_ms: int


class Usage(NamedTuple):
    """Reserved capacity of one worker in this entry's view."""

    accelerators: int
    slots: int
    borrowed_slots: int
    guaranteed: dict[str, int]


class CachedCandidates(NamedTuple):
    """
    Candidates of one worker by organisation, with the inputs they were made from.

    They are valid as long as `usage`, `state` and `plan_owned` are the same objects.
    Most workers do not change between two scheduling passes.
    """

    usage: Usage
    state: WorkerState
    plan_owned: dict[str, dict[str, int]]
    candidates: dict[str, Candidate]


class FleetView:
    """Workers of the region, with the claims that they have not announced yet."""

    def __init__(self):
        self.workers: dict[str, WorkerRecord] = {}
        # Digest of the workers of each assigned entry, updated with each change.
        self.digests: dict[int, int] = {}
        self.heartbeat_ms = HEARTBEAT_INTERVAL_MS
        self.relayed_suspect_ms = SUSPECT_MS
        self.pending: dict[str, dict[str, Claim]] = {}
        self.full_until_ms: dict[str, int] = {}
        self.owned: dict[str, dict[str, int]] = {}
        self.usage: dict[str, Usage] = {}
        self.cached_candidates: dict[str, CachedCandidates] = {}
        # Incremented with each change that may free capacity for a job.
        self.version = 0
        self.changed: dict[str, WorkerState] = {}
        self.lost: dict[str, None] = {}

    def take_state(self, state: WorkerState, assigned_entry: int, now_ms: int) -> bool:
        """Apply an announced or relayed state; return false when it is out of date."""
        known = self.workers.get(state.worker_id)
        if known is not None and assigned_entry != 0 and _is_older(state, known.state):
            return False
        if known is not None and assigned_entry == 0 and _is_repeat(state, known.state):
            return False
        if known is not None and state.draining and assigned_entry == 0:
            # A draining agent announces to all entries; its assigned entry stays.
            assigned_entry = known.assigned_entry
        self._put(state, assigned_entry, now_ms)
        self.version += 1
        self.full_until_ms.pop(state.worker_id, None)
        self.usage.pop(state.worker_id, None)
        if assigned_entry == 0:
            self.changed[state.worker_id] = state
            self.lost.pop(state.worker_id, None)
        return True

    def take_heartbeat(
        self,
        worker_id: str,
        incarnation: int,
        version: int,
        now_ms: int,
        generation: int = 0,
        plan_epoch: int = 0,
    ) -> bool:
        """Record a heartbeat; return false when the agent must announce its state."""
        known = self.workers.get(worker_id)
        if known is None or known.assigned_entry != 0:
            return False
        if (known.state.incarnation, known.state.version) != (incarnation, version):
            return False
        self._put(_raise_config(known.state, generation, plan_epoch), 0, now_ms)
        return True

    def take_entry_heartbeat(
        self,
        assigned_entry: int,
        now_ms: int,
        generation: int = 0,
        plan_epoch: int = 0,
    ) -> None:
        """Record a heartbeat of another entry for the workers that report to it."""
        for record in list(self.workers.values()):
            if record.assigned_entry == assigned_entry:
                state = _raise_config(record.state, generation, plan_epoch)
                self._put(state, assigned_entry, now_ms)

    def find_lowest_config(self) -> tuple[int, int]:
        """Return the lowest generation and plan epoch of the workers of this entry."""
        states = [
            record.state
            for worker_id, record in self.workers.items()
            if record.assigned_entry == 0 and worker_id not in self.lost
        ]
        generation = min((state.generation for state in states), default=0)
        return generation, min((state.plan_epoch for state in states), default=0)

    def retain_workers(self, worker_ids: set[str], assigned_entry: int) -> None:
        """Remove the workers of an assigned entry that are not among `worker_ids`."""
        for worker_id, record in list(self.workers.items()):
            if record.assigned_entry == assigned_entry and worker_id not in worker_ids:
                self._delete(worker_id)

    def mark_suspect(self, worker_ids: tuple[str, ...], assigned_entry: int) -> None:
        """Mark as suspect the workers that their assigned entry reports as lost."""
        for worker_id in worker_ids:
            known = self.workers.get(worker_id)
            if known is not None and known.assigned_entry == assigned_entry:
                self.workers[worker_id] = known._replace(suspect_deadline_ms=0)

    def expire(self, now_ms: int) -> list[str]:
        """Remove absent workers from the view and return their ids."""
        removed = []
        own_workers = 0
        for worker_id, record in list(self.workers.items()):
            own_workers += record.assigned_entry == 0
            if now_ms >= record.suspect_deadline_ms and record.assigned_entry == 0:
                self.lost.setdefault(worker_id)
            if now_ms >= record.forget_deadline_ms:
                removed.append(worker_id)
                self._delete(worker_id)
                self.lost.pop(worker_id, None)
        self.heartbeat_ms = compute_heartbeat_interval_ms(own_workers)
        return removed

    def take_changes(self) -> tuple[tuple[WorkerState, ...], tuple[str, ...]]:
        """Return own workers that changed or were lost since the last call."""
        states = tuple(self.changed.values())
        lost = tuple(self.lost)
        self.changed = {}
        return states, lost

    def find_own(self) -> tuple[WorkerState, ...]:
        """Return the states of the workers that report to this entry."""
        return tuple(
            record.state
            for record in self.workers.values()
            if record.assigned_entry == 0
        )

    def compute_digest(self, assigned_entry: int) -> int:
        """Return the digest of the workers of one assigned entry."""
        return self.digests.get(assigned_entry, 0)

    def is_suspect(self, worker_id: str, now_ms: int) -> bool:
        """Whether a worker is unknown or its last heartbeat is too old."""
        record = self.workers.get(worker_id)
        return record is None or now_ms >= record.suspect_deadline_ms

    def add_pending(self, attempt_id: str, members: tuple[MemberRef, ...]) -> None:
        """Count an attempt's claims before the agents announce them."""
        for ref in members:
            self.pending.setdefault(ref.worker_id, {})[attempt_id] = ref.claim
            self.usage.pop(ref.worker_id, None)

    def drop_pending(self, attempt_id: str, members: tuple[MemberRef, ...]) -> None:
        """Stop counting an attempt's claims."""
        self.version += 1
        for ref in members:
            self.pending.get(ref.worker_id, {}).pop(attempt_id, None)
            self.usage.pop(ref.worker_id, None)

    def mark_full(self, worker_id: str, now_ms: int) -> None:
        """Leave a worker out of placement until it announces a change."""
        self.full_until_ms[worker_id] = now_ms + FULL_WORKER_TIMEOUT_MS

    def find_candidates(
        self,
        spec: JobSpec,
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
    ) -> list[Candidate]:
        """Return the workers that may take members of a job, by worker id."""
        found = []
        for worker_id, record in self.workers.items():
            state = record.state
            if (
                state.service != spec.service
                or state.draining
                or worker_id in excluded
                or now_ms >= record.suspect_deadline_ms
                or now_ms < self.full_until_ms.get(worker_id, 0)
            ):
                continue
            found.append(self._make_candidate(state, spec.organisation))
        found.sort(key=lambda candidate: candidate.worker_id)
        return found

    def measure_free_capacity(self, service: str) -> FreeCapacity:
        """Return an upper bound of what the workers of a service can take."""
        free_capacity = FreeCapacity(Counter(), Counter())
        for worker_id, record in self.workers.items():
            state = record.state
            if state.service != service or state.draining:
                continue
            usage = self._find_usage(state)
            if state.slots > usage.slots:
                free_capacity.free[max(0, state.accelerators - usage.accelerators)] += 1
            for organisation, owned in self.owned.get(worker_id, {}).items():
                used = usage.guaranteed.get(organisation, 0)
                free_capacity.owned[organisation] += max(0, owned - used)
        return free_capacity

    def _make_candidate(self, state: WorkerState, organisation: str) -> Candidate:
        usage = self._find_usage(state)
        cached_candidates = self.cached_candidates.get(state.worker_id)
        if (
            cached_candidates is None
            or cached_candidates.usage is not usage
            or cached_candidates.state is not state
            or cached_candidates.plan_owned is not self.owned
        ):
            cached_candidates = CachedCandidates(usage, state, self.owned, {})
            self.cached_candidates[state.worker_id] = cached_candidates
        known = cached_candidates.candidates.get(organisation)
        if known is not None:
            return known
        owned = self.owned.get(state.worker_id, {})
        own_share = owned.get(organisation, 0)
        cached_candidates.candidates[organisation] = candidate = Candidate(
            worker_id=state.worker_id,
            region=state.region,
            domain=state.domain,
            rack=state.rack,
            accelerators=state.accelerators,
            free_accelerators=max(0, state.accelerators - usage.accelerators),
            free_slots=max(0, state.slots - usage.slots),
            owned_free=max(0, own_share - usage.guaranteed.get(organisation, 0)),
            others_owned=sum(owned.values()) - own_share,
            reclaimable_slots=usage.borrowed_slots,
        )
        return candidate

    def _find_usage(self, state: WorkerState) -> Usage:
        known = self.usage.get(state.worker_id)
        if known is not None:
            return known
        usage = Usage(0, 0, 0, {})
        announced = {grant.attempt_id for grant in state.grants}
        for grant in state.grants:
            usage = _add_usage(usage, grant)
        for attempt_id, claim in self.pending.get(state.worker_id, {}).items():
            if attempt_id not in announced:
                usage = _add_usage(usage, _make_grant(attempt_id, claim))
        self.usage[state.worker_id] = usage
        return usage

    def _delete(self, worker_id: str) -> None:
        record = self.workers.pop(worker_id)
        self.usage.pop(worker_id, None)
        self.cached_candidates.pop(worker_id, None)
        self._toggle_digest(record.state, record.assigned_entry)

    def _toggle_digest(self, state: WorkerState, assigned_entry: int) -> None:
        """Add a worker to the digest of its assigned entry, or remove it."""
        digest = self.digests.pop(assigned_entry, 0) ^ _hash_state(state)
        if digest:
            self.digests[assigned_entry] = digest

    def _put(self, state: WorkerState, assigned_entry: int, now_ms: int) -> None:
        known = self.workers.get(state.worker_id)
        if (
            known is None
            or known.assigned_entry != assigned_entry
            or not _is_same(state, known.state)
        ):
            if known is not None:
                self._toggle_digest(known.state, known.assigned_entry)
            self._toggle_digest(state, assigned_entry)
        # The reply to this heartbeat sets the same interval for the agent.
        suspect_ms = (
            self.relayed_suspect_ms if assigned_entry else 3 * self.heartbeat_ms
        )
        self.workers[state.worker_id] = WorkerRecord(
            state=state,
            assigned_entry=assigned_entry,
            suspect_deadline_ms=now_ms + suspect_ms,
            forget_deadline_ms=now_ms + max(REPLAN_ABSENCE_MS, 2 * suspect_ms),
        )


def _add_usage(usage: Usage, grant: Grant) -> Usage:
    guaranteed = usage.guaranteed
    if grant.guaranteed:
        used = guaranteed.get(grant.organisation, 0)
        guaranteed = guaranteed | {grant.organisation: used + grant.accelerators}
    is_borrowed = not grant.guaranteed and grant.preemptible
    return Usage(
        accelerators=usage.accelerators + grant.accelerators,
        slots=usage.slots + grant.slots,
        borrowed_slots=usage.borrowed_slots + (grant.slots if is_borrowed else 0),
        guaranteed=guaranteed,
    )


def _make_grant(attempt_id: str, claim: Claim) -> Grant:
    return Grant(
        attempt_id=attempt_id,
        organisation=claim.organisation,
        accelerators=claim.total_accelerators,
        slots=len(claim.members),
        guaranteed=claim.guaranteed,
        preemptible=claim.preemptible,
        running=False,
    )


def _raise_config(state: WorkerState, generation: int, plan_epoch: int) -> WorkerState:
    if generation <= state.generation and plan_epoch <= state.plan_epoch:
        return state
    return state._replace(
        generation=max(generation, state.generation),
        plan_epoch=max(plan_epoch, state.plan_epoch),
    )


def _hash_state(state: WorkerState) -> int:
    text = f'{state.worker_id}|{state.incarnation}|{state.version}'
    hashed = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(hashed, 'big')


def _is_same(state: WorkerState, known: WorkerState) -> bool:
    return (state.incarnation, state.version) == (known.incarnation, known.version)


def _is_older(state: WorkerState, known: WorkerState) -> bool:
    return (state.incarnation, state.version) < (known.incarnation, known.version)


def _is_repeat(state: WorkerState, known: WorkerState) -> bool:
    return state.incarnation == known.incarnation and state.version < known.version
