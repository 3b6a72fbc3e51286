"""
Accounting of one worker's accelerators and slots.

Only the agent changes this state. Nothing runs without a reservation.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.messages import EndState, Refusal
from yuccarelay.core.models import AnswerPart, Claim


class Phase(enum.Enum):
    """Phase of an attempt's members on one worker."""

    HELD = 'held'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    ENDED = 'ended'


class Reservation(NamedTuple):
    """
    Capacity of one worker that is reserved for an attempt, and its members' state.

    `waits_for` names the attempts that must end before this one may start.
    `stop_deadline_ms` is set when the attempt is evicted, and `end` as soon as it
    is decided how the members end.
    """

    attempt_id: str
    claim: Claim
    phase: Phase
    hold_deadline_ms: int
    waits_for: frozenset[str] = frozenset()
    lease_deadline_ms: int = 0
    stop_deadline_ms: int = 0
    started_ms: int = 0
    ended_ms: int = 0
    leader_address: str = ''
    start_reply_to: int = 0
    start_requested: bool = False
    started: frozenset[int] = frozenset()
    ended: frozenset[int] = frozenset()
    checkpointed: frozenset[int] = frozenset()
    parts: tuple[AnswerPart, ...] = ()
    end: EndState | None = None
    reason: str = ''
    reported: bool = False
    next_report_ms: int = 0

    @property
    def is_active(self) -> bool:
        """Whether it still uses capacity."""
        return self.phase is not Phase.ENDED

    @property
    def is_evicting(self) -> bool:
        """Whether its capacity is being reclaimed."""
        return self.is_active and self.stop_deadline_ms > 0


class Capacity(NamedTuple):
    """Total resources of a worker."""

    accelerators: int
    slots: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """
    The claim fits after `victims` are evicted.

    It may start once all attempts in `waits_for` have ended.
    """

    victims: tuple[str, ...] = ()
    waits_for: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The claim does not fit."""

    refusal: Refusal


class ReservationTable(dict[str, Reservation]):
    """
    Reservations by attempt id, with an index of those that need periodic checks.

    Ended ones are kept for minutes, and scanning all of them at each event would
    take time in proportion. `reported_ended` has the ended ones whose leader has
    acknowledged the end, in the order of acknowledgement; `pending` has the others.
    """

    def __init__(self):
        super().__init__()
        self.pending: dict[str, None] = {}
        self.reported_ended: dict[str, None] = {}

    def __setitem__(self, attempt_id: str, reservation: Reservation) -> None:
        """Add or replace a reservation and update the index."""
        super().__setitem__(attempt_id, reservation)
        if reservation.is_active or not reservation.reported:
            self.pending.setdefault(attempt_id)
        elif attempt_id not in self.reported_ended:
            self.pending.pop(attempt_id, None)
            self.reported_ended[attempt_id] = None

    def __delitem__(self, attempt_id: str) -> None:
        """Remove a reservation, also from the index."""
        super().__delitem__(attempt_id)
        self.pending.pop(attempt_id, None)
        self.reported_ended.pop(attempt_id, None)


class Ledger:
    """
    The reservations of one worker.

    A guaranteed claim fits into the accelerators that its organisation owns
    here. Every other claim is borrowed and can be evicted, so an organisation can
    always reclaim its own accelerators.
    """

    def __init__(self, capacity: Capacity):
        self.capacity = capacity
        self.owned: dict[str, int] = {}
        self.reservations = ReservationTable()

    def find_active(self) -> list[Reservation]:
        """Return the reservations that use capacity."""
        table = self.reservations
        return [
            table[attempt_id]
            for attempt_id in table.pending
            if table[attempt_id].is_active
        ]

    def find_unreported(self) -> list[str]:
        """Return the ended attempts whose leader has not acknowledged the end."""
        return [
            attempt_id
            for attempt_id, reservation in self.reservations.items()
            if reservation.phase is Phase.ENDED and not reservation.reported
        ]

    def admit(self, claim: Claim, now_ms: int) -> Admitted | NotAdmitted:
        """Decide whether a claim fits, and which borrowers to evict for it."""
        active = self.find_active()
        if claim.guaranteed and claim.accelerators > 0:
            return self._admit_guaranteed(claim, active, now_ms)
        return self._admit_borrowed(claim, active)

    def _admit_guaranteed(
        self,
        claim: Claim,
        active: list[Reservation],
        now_ms: int,
    ) -> Admitted | NotAdmitted:
        used = sum(
            reservation.claim.total_accelerators
            for reservation in active
            if reservation.claim.guaranteed
            and reservation.claim.organisation == claim.organisation
        )
        if used + claim.total_accelerators > self.owned.get(claim.organisation, 0):
            return NotAdmitted(Refusal.NOT_OWNED)
        if self._fits(claim, active):
            return Admitted()
        victims = self._choose_victims(claim, active, now_ms)
        if victims is None:
            return NotAdmitted(Refusal.NO_CAPACITY)
        evicting = {
            reservation.attempt_id for reservation in active if reservation.is_evicting
        }
        return Admitted(victims=victims, waits_for=frozenset(evicting | set(victims)))

    def _admit_borrowed(
        self,
        claim: Claim,
        active: list[Reservation],
    ) -> Admitted | NotAdmitted:
        if not claim.preemptible and claim.accelerators > 0:
            return NotAdmitted(Refusal.MAY_NOT_BORROW)
        if not claim.preemptible and not self._leaves_owned_slots(claim, active):
            return NotAdmitted(Refusal.NO_CAPACITY)
        if not self._fits(claim, active):
            return NotAdmitted(Refusal.NO_CAPACITY)
        return Admitted()

    def _leaves_owned_slots(self, claim: Claim, active: list[Reservation]) -> bool:
        # A member that uses accelerators also needs a slot. Work that cannot be
        # stopped must leave one slot for each owned accelerator.
        pinned = sum(
            len(reservation.claim.members)
            for reservation in active
            if not reservation.claim.guaranteed and not reservation.claim.preemptible
        )
        free_for_pinned = self.capacity.slots - sum(self.owned.values())
        return pinned + len(claim.members) <= free_for_pinned

    def _fits(self, claim: Claim, active: list[Reservation]) -> bool:
        accelerators = sum(
            reservation.claim.total_accelerators for reservation in active
        )
        slots = sum(len(reservation.claim.members) for reservation in active)
        return (
            accelerators + claim.total_accelerators <= self.capacity.accelerators
            and slots + len(claim.members) <= self.capacity.slots
        )

    def _choose_victims(
        self,
        claim: Claim,
        active: list[Reservation],
        now_ms: int,
    ) -> tuple[str, ...] | None:
        remaining = [
            reservation for reservation in active if not reservation.is_evicting
        ]
        borrowers = [
            reservation
            for reservation in remaining
            if not reservation.claim.guaranteed and reservation.claim.preemptible
        ]
        borrowers.sort(
            key=lambda reservation: (
                _compute_lost_work(reservation, now_ms),
                reservation.attempt_id,
            )
        )
        victims: list[Reservation] = []
        while not self._fits(claim, remaining):
            if not borrowers:
                return None
            victim = borrowers.pop(0)
            victims.append(victim)
            remaining.remove(victim)
        return tuple(
            reservation.attempt_id
            for reservation in self._drop_unneeded(claim, remaining, victims)
        )

    def _drop_unneeded(
        self,
        claim: Claim,
        remaining: list[Reservation],
        victims: list[Reservation],
    ) -> list[Reservation]:
        # A later, larger victim may make an earlier one unnecessary.
        needed = list(victims)
        for victim in victims:
            if self._fits(claim, [*remaining, victim]):
                needed.remove(victim)
                remaining.append(victim)
        return needed


def _compute_lost_work(reservation: Reservation, now_ms: int) -> int:
    if reservation.phase is Phase.HELD:
        return 0
    return max(0, now_ms - reservation.started_ms) * max(
        1, reservation.claim.total_accelerators
    )
