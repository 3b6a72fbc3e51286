"""
Decisions of the agent that is co-located with a worker.

The agent stores no durable state. It tracks the worker by its heartbeats once the
worker itself has confirmed which incarnation it is, refuses planners of an old term,
and converts a lease reference to the end of the lease on the worker's clock.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.late_calls import LateCall, LateCalls
from yuccarelay.core.batch.leases import Leases
from yuccarelay.core.batch.models import WorkerId, WorkerInfo
from yuccarelay.core.batch.protocol import Declined, LeaseReference, OldTerm

# A worker has one incarnation at a time; further candidates are late heartbeats or
# those of other writers.
CANDIDATES_LIMIT = 8


class Heartbeat(NamedTuple):
    """
    A worker's report about itself; `clock_ms` is on its own clock.

    `cold_ms` counts from the report: the worker has started lately and is slow so long.
    """

    info: WorkerInfo
    sequence: int
    clock_ms: int
    cold_ms: int = 0


class Reception(enum.Enum):
    """
    What became of a heartbeat.

    UNCONFIRMED: it names an incarnation that has not answered a call yet.
    CONTRADICTORY: it describes the known incarnation as another worker, so another
    writer sent it.
    """

    APPLIED = 'applied'
    LATE = 'late'
    UNCONFIRMED = 'unconfirmed'
    CONTRADICTORY = 'contradictory'


class Incarnation(NamedTuple):
    """The name and the birth that distinguish an incarnation of the worker."""

    name: str
    born_ms: int


class Candidate(NamedTuple):
    """The newest heartbeat of an incarnation that has not answered a call yet."""

    heartbeat: Heartbeat
    received_ms: int


@dataclass(slots=True)
class ClockSample:
    """A reading of the worker's clock and when it arrived here."""

    worker_ms: int
    at_ms: int


class Successor(NamedTuple):
    """
    An incarnation that has answered in place of another of its name.

    Its own heartbeat is still to come.
    """

    replaced: WorkerId
    id: WorkerId


class WorkerGuard:
    """
    One agent's state of its worker, and the checks that orders must pass.

    `worker` is the incarnation that has answered a call under its name and birth.
    Heartbeats alone prove nothing: they may be late or of another writer. The same
    holds for a deregistration, after which `is_leaving` is set. `leases_expire_ms` is
    when all leases that the agent has ever given have expired, on its own clock.
    `is_service_known` is false while the planner has no such service as the worker's in
    its configuration. The heartbeat that named it may be of another writer, so one that
    names another service is accepted. `successor` is set from the moment at which the
    worker is known to have restarted until its next heartbeat.
    """

    def __init__(
        self, node: str, incarnation: int, leases: Leases, started_ms: int = 0
    ):
        self.node = node
        self.incarnation = incarnation
        self.leases = leases
        self.term = 0
        self.worker: WorkerInfo | None = None
        self.successor: Successor | None = None
        self.late_calls = LateCalls(leases)
        self.acknowledged = 0
        self.candidates: dict[Incarnation, Candidate] = {}
        self.is_leaving = False
        self.departed: Incarnation | None = None
        self.is_service_known = True
        self.drain_deadline_ms = 0
        self.cold_until_ms = 0
        self.sequence = -1
        self.closed_below_ms = 0
        self.changes = 0
        self.sample: ClockSample | None = None
        # An earlier process of this agent gave its last lease before this one started.
        self.leases_expire_ms = leases.lease_expiry_ms(started_ms)

    def take_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> Reception:
        """Apply a heartbeat of the known incarnation, or keep it as a candidate's."""
        info = heartbeat.info
        if self.worker is None or name_incarnation(self.worker) != (
            name_incarnation(info)
        ):
            return self._keep_candidate(heartbeat, now_ms)
        if is_contradictory(self.worker, info):
            if self.is_service_known or info.service == self.worker.service:
                return Reception.CONTRADICTORY
        elif heartbeat.sequence <= self.sequence:
            return Reception.LATE
        self._apply(heartbeat, now_ms)
        return Reception.APPLIED

    def _keep_candidate(self, heartbeat: Heartbeat, now_ms: int) -> Reception:
        """Keep a heartbeat until the worker has answered under its name and birth."""
        incarnation = name_incarnation(heartbeat.info)
        known = self.candidates.get(incarnation)
        is_old = known is not None and heartbeat.sequence <= known.heartbeat.sequence
        if is_old or incarnation == self.departed:
            return Reception.LATE
        self.candidates.pop(incarnation, None)
        if len(self.candidates) >= CANDIDATES_LIMIT:
            del self.candidates[next(iter(self.candidates))]
        self.candidates[incarnation] = Candidate(heartbeat, now_ms)
        return Reception.UNCONFIRMED

    def list_candidates(self) -> list[Incarnation]:
        """Return the incarnations that have not answered yet, the newest first."""
        return list(reversed(self.candidates))

    def confirm(self, incarnation: Incarnation) -> bool:
        """
        Note that a candidate has answered a call: it is the only incarnation.

        False if it is a candidate no more, because its heartbeats are applied already.
        """
        candidate = self.candidates.pop(incarnation, None)
        if candidate is None:
            return False
        self.candidates.clear()
        self._forget_incarnation()
        self.closed_below_ms = incarnation.born_ms
        self._apply(*candidate)
        return True

    def refute(self, incarnation: Incarnation) -> None:
        """Drop a candidate in whose place another incarnation has answered."""
        self.candidates.pop(incarnation, None)

    def _apply(self, heartbeat: Heartbeat, received_ms: int) -> None:
        """Take over what a heartbeat says of the worker."""
        if has_changed(self.worker, heartbeat.info):
            self.changes += 1
        # A worker sends no heartbeat after its deregistration.
        self.is_leaving = False
        self.worker = heartbeat.info
        self.drain_deadline_ms = received_ms + heartbeat.info.leaves_in_ms
        self.cold_until_ms = received_ms + heartbeat.cold_ms
        self.sequence = heartbeat.sequence
        self.take_clock(heartbeat.clock_ms, received_ms)

    def take_deregistration(self, name: str, born_ms: int | None = None) -> bool:
        """
        Note that a worker says it ends; false if it is not the current one.

        `born_ms` is None if it is not stated. A worker keeps its name when it restarts,
        and the deregistration of the previous incarnation may arrive late. So it only
        means that the worker has left once nothing listens at its address.
        """
        if self.worker is None or self.worker.name != name:
            return False
        if born_ms not in (None, self.worker.born_ms):
            return False
        self.is_leaving = True
        return True

    def has_ended(self, now_ms: int) -> bool:
        """
        Whether the worker has ended, given that nothing listens at its address.

        One that has not said that it leaves may have crashed. One that has may end
        without a deregistration, but not before its notice is over.
        """
        if self.worker is None:
            return False
        is_overdue = self.worker.draining and now_ms >= self.drain_deadline_ms
        return self.is_leaving or is_overdue

    def take_departure(self) -> None:
        """
        Note that a worker which has said that it leaves has ended.

        Its heartbeats that are still on their way are not accepted any more.
        """
        self.departed = name_incarnation(self.worker)
        self.closed_below_ms = self.worker.born_ms + 1
        self._forget_worker()

    def take_other_birth(
        self, born_ms: int, clock_ms: int, now_ms: int, *, is_idle: bool
    ) -> None:
        """
        Note that another incarnation has answered under the worker's name.

        The known one has ended. The next heartbeat of the one that answers makes it a
        candidate; its birth may be earlier, if the time of day was set back. Until then
        it takes only starts that were ordered before the planner could learn of it:
        under the same name it is of the same kind. It must be idle, because what runs
        there already has a lease that is not known.
        """
        before, known = self.worker_id(), self.worker
        self._forget_worker()
        if is_idle and not known.draining:
            self.successor = Successor(before, before._replace(born_ms=born_ms))
            self.take_clock(clock_ms, now_ms)

    def _forget_worker(self) -> None:
        self.is_leaving = False
        self.changes += 1
        self._forget_incarnation()

    def _forget_incarnation(self) -> None:
        self.worker = self.successor = self.sample = None
        self.acknowledged = 0

    def find_called(self, worker: WorkerId) -> WorkerId:
        """Return the incarnation that a start for `worker` is to reach."""
        if self.successor is not None and worker == self.successor.replaced:
            return self.successor.id
        return worker

    def note_unanswered(
        self,
        worker: WorkerId,
        now_ms: int,
        *,
        start: tuple[str, int] | None = None,
        acknowledges: bool = False,
    ) -> None:
        """Note a call to an incarnation that got no answer."""
        self.late_calls.add(LateCall(worker.born_ms, start, acknowledges), now_ms)

    def is_settled(self, now_ms: int) -> bool:
        """
        Whether the worker's ended runs remain listed until they are acknowledged.

        Otherwise a call to an earlier incarnation may still make it forget them. A run
        that was done would then be started again.
        """
        return self.worker is None or not self.late_calls.may_forget_ends(
            self.worker.born_ms, now_ms
        )

    def late_lease_expiry_ms(self) -> int:
        """
        Return when leases have expired that late calls may have given the worker.

        0 if it has none but those that `leases_expire_ms` counts.
        """
        if self.worker is None:
            return 0
        return self.late_calls.lease_expiry_ms(self.worker.born_ms)

    def may_start_on_successor(self, now_ms: int) -> bool:
        """Whether the successor has no lease but the one that a start gives it."""
        return self.successor is not None and (
            self.late_calls.lease_expiry_ms(self.successor.id.born_ms) <= now_ms
        )

    def take_clock(self, worker_ms: int, now_ms: int) -> None:
        """Note a reading of the worker's clock."""
        self.sample = ClockSample(worker_ms, now_ms)

    def worker_id(self) -> WorkerId | None:
        """Return the current incarnation of the worker, or None."""
        if self.worker is None:
            return None
        return WorkerId(self.node, self.worker.name, self.worker.born_ms)

    def check_term(self, term: int) -> OldTerm | None:
        """Adopt a newer term, or return the refusal of an older one."""
        if term < self.term:
            return OldTerm(self.term)
        self.term = term
        return None

    def extend_lease(self, basis: LeaseReference | None, now_ms: int) -> int | None:
        """
        Return the end of a lease on the worker's clock, and note when it has expired.

        None if the lease has expired, if the reference is not of this incarnation of
        the agent, or if no reading of the worker's clock is known.
        """
        if basis is None or basis.incarnation != self.incarnation:
            return None
        end_ms = basis.at_ms + self.leases.lease_ms
        if self.sample is None or end_ms <= now_ms:
            return None
        expiry_ms = self.leases.lease_expiry_ms(basis.at_ms)
        self.leases_expire_ms = max(self.leases_expire_ms, expiry_ms)
        return self.sample.worker_ms + end_ms - self.sample.at_ms

    def check_start(
        self, worker: WorkerId, start_by_ms: int | None = None, now_ms: int = 0
    ) -> Declined | None:
        """
        Return why no run may start on this incarnation of the worker, or None.

        `start_by_ms` is when the order for it expires, None if it does not.
        """
        if worker != self.worker_id() and (
            self.find_called(worker) == worker
            or not self.may_start_on_successor(now_ms)
        ):
            return Declined('other_worker')
        if self.worker is not None and self.worker.draining:
            return Declined('draining')
        if not self.is_settled(now_ms):
            return Declined('unsettled')
        if start_by_ms is not None and now_ms > start_by_ms:
            return Declined('overdue')
        return None


def name_incarnation(info: WorkerInfo) -> Incarnation:
    """Return the incarnation that a worker describes."""
    return Incarnation(info.name, info.born_ms)


def is_contradictory(before: WorkerInfo, now: WorkerInfo) -> bool:
    """Whether two descriptions of an incarnation cannot both be its own."""
    return (before.service, before.domain, before.labels) != (
        now.service,
        now.domain,
        now.labels,
    )


def has_changed(before: WorkerInfo | None, now: WorkerInfo) -> bool:
    """Whether a heartbeat differs from the last in more than the time to drain."""
    if before is None:
        return True
    return before._replace(leaves_in_ms=0) != now._replace(leaves_in_ms=0)
