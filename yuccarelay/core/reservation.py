"""
Accounting of one worker's accelerators and slots.

The agent is the only owner of this state. What it has not reserved cannot run.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.messages import EndState, Refusal
from yuccarelay.core.models import AnswerPart, Claim


class Phase(enum.Enum):
    """Where the members of an attempt on this worker stand."""

    HELD = 'held'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    ENDED = 'ended'


class Reservation(NamedTuple):
    """
    Capacity of this worker that belongs to one attempt, and what became of it.

    `waits_for` names the attempts that must end before this one may start.
    `stop_deadline_ms` is set when a guarantee takes the capacity back, and
    `end` as soon as it is decided how the members end.
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
        """Whether its capacity is being taken back."""
        return self.is_active and self.stop_deadline_ms > 0


class Capacity(NamedTuple):
    """What the worker offers."""

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
    Reservations by attempt id, with an index of those that need attention.

    Ended ones are kept for minutes, and a scan of all of them at each event costs
    time in proportion. `pending` has all but the ended ones whose leader knows the
    end; `reported_ended` has these, in the order in which the leaders knew.
    """

    def __init__(self):
        super().__init__()
        self.pending: dict[str, None] = {}
        self.reported_ended: dict[str, None] = {}

    def __setitem__(self, attempt_id: str, entry: Reservation) -> None:
        """Put a reservation in and index it."""
        super().__setitem__(attempt_id, entry)
        if entry.is_active or not entry.reported:
            self.pending.setdefault(attempt_id)
        elif attempt_id not in self.reported_ended:
            self.pending.pop(attempt_id, None)
            self.reported_ended[attempt_id] = None

    def __delitem__(self, attempt_id: str) -> None:
        """Take a reservation out."""
        super().__delitem__(attempt_id)
        self.pending.pop(attempt_id, None)
        self.reported_ended.pop(attempt_id, None)


class Ledger:
    """
    The reservations of one worker.

    A guaranteed claim fits into the accelerators that its organisation owns
    here. Everything else is borrowed and can be evicted, so an organisation can
    always take its own accelerators back.
    """

    def __init__(self, capacity: Capacity):
        self.capacity = capacity
        self.owned: dict[str, int] = {}
        self.reservations = ReservationTable()

    def find_active(self) -> list[Reservation]:
        """Return the reservations that use capacity."""
        table = self.reservations
        return [table[name] for name in table.pending if table[name].is_active]

    def find_unreported(self) -> list[str]:
        """Return the attempts whose leader does not know that they ended here."""
        return [
            attempt_id
            for attempt_id, entry in self.reservations.items()
            if entry.phase is Phase.ENDED and not entry.reported
        ]

    def admit(self, claim: Claim, now_ms: int) -> Admitted | NotAdmitted:
        """Decide whether a claim fits, and which borrowers must stop for it."""
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
            entry.claim.total_accelerators
            for entry in active
            if entry.claim.guaranteed and entry.claim.organisation == claim.organisation
        )
        if used + claim.total_accelerators > self.owned.get(claim.organisation, 0):
            return NotAdmitted(Refusal.NOT_OWNED)
        if self._fits(claim, active):
            return Admitted()
        victims = self._choose_victims(claim, active, now_ms)
        if victims is None:
            return NotAdmitted(Refusal.NO_CAPACITY)
        evicting = {entry.attempt_id for entry in active if entry.is_evicting}
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
            len(entry.claim.members)
            for entry in active
            if not entry.claim.guaranteed and not entry.claim.preemptible
        )
        free_for_pinned = self.capacity.slots - sum(self.owned.values())
        return pinned + len(claim.members) <= free_for_pinned

    def _fits(self, claim: Claim, active: list[Reservation]) -> bool:
        accelerators = sum(entry.claim.total_accelerators for entry in active)
        slots = sum(len(entry.claim.members) for entry in active)
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
        staying = [entry for entry in active if not entry.is_evicting]
        borrowers = [
            entry
            for entry in staying
            if not entry.claim.guaranteed and entry.claim.preemptible
        ]
        borrowers.sort(key=lambda entry: (_lost_work(entry, now_ms), entry.attempt_id))
        victims: list[Reservation] = []
        while not self._fits(claim, staying):
            if not borrowers:
                return None
            victim = borrowers.pop(0)
            victims.append(victim)
            staying.remove(victim)
        return tuple(
            entry.attempt_id
            for entry in self._drop_superfluous(claim, staying, victims)
        )

    def _drop_superfluous(
        self,
        claim: Claim,
        staying: list[Reservation],
        victims: list[Reservation],
    ) -> list[Reservation]:
        # A later, larger victim may make an earlier one unnecessary.
        needed = list(victims)
        for victim in victims:
            if self._fits(claim, [*staying, victim]):
                needed.remove(victim)
                staying.append(victim)
        return needed


def _lost_work(entry: Reservation, now_ms: int) -> int:
    if entry.phase is Phase.HELD:
        return 0
    return max(0, now_ms - entry.started_ms) * max(1, entry.claim.total_accelerators)
