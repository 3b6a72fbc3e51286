"""
Coordination of an attempt by its leader.

The agent of the first member leads. It starts all members or none, renews their
leases while all of them run, and stops all of them when one is lost. An attempt on
a single agent is led in the same way, without the prepare round.
"""

import enum
from typing import NamedTuple

from yuccarelay.core.messages import (
    Abort,
    AttemptStatus,
    EndState,
    Fate,
    Launch,
    MemberReport,
    Message,
    Prepare,
    Prepared,
    Refusal,
    Refused,
    Renew,
    Renewed,
    Start,
    Started,
    StopMember,
)
from yuccarelay.core.models import EndDetail, MemberRef
from yuccarelay.core.timing import (
    HOLD_MS,
    LEASE_MS,
    RENEW_INTERVAL_MS,
    START_REPEAT_MS,
    START_WINDOW_MS,
    TICK_MS,
)

# Limit on the total size of the answers that are stored in the job's record.
INLINE_ANSWERS_MAX_BYTES = 64_000


class GangPhase(enum.Enum):
    """Phase of an attempt at its leader."""

    PREPARING = 'arming'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    ENDED = 'ended'


class MemberPhase(enum.Enum):
    """Phase of one agent's members in the leader's state; the agent may be ahead."""

    WAITING = 'waiting'
    PREPARED = 'armed'
    REFUSED = 'refused'
    STARTED = 'started'
    ENDED = 'ended'


class MemberStatus(NamedTuple):
    """One agent's members; they count as lost from `alive_deadline_ms` on."""

    ref: MemberRef
    phase: MemberPhase = MemberPhase.WAITING
    alive_deadline_ms: int = 0
    report: MemberReport | None = None


class Outgoing(NamedTuple):
    """A message for one member."""

    member: int
    message: Message


class Gang:
    """
    State machine of one attempt at its leader.

    Each method returns the messages to send. `end` is set once the attempt has
    ended, and no member runs any more by then.
    """

    def __init__(self, launch: Launch, leader_address: str, now_ms: int):
        self.attempt_id = launch.attempt_id
        self.payload = launch.payload
        self.generation = launch.generation
        self.owner_address = launch.owner_address
        self.leader_address = leader_address
        self.members = [MemberStatus(ref) for ref in launch.members]
        self.phase = GangPhase.PREPARING
        self.start_deadline_ms = now_ms + START_WINDOW_MS
        self.run_deadline_ms = now_ms + launch.run_ms
        self.stop_deadline_ms = 0
        self.next_send_ms = 0
        self.checkpoint = False
        self.wanted_end: EndState | None = None
        self.reason = ''
        self.end: EndState | None = None
        self.detail = EndDetail()
        self.start_sent = False

    def begin(self, now_ms: int) -> list[Outgoing]:
        """Prepare all members, or start at once when there is only one agent."""
        if len(self.members) == 1:
            return self._start_all(now_ms)
        self.next_send_ms = now_ms + START_REPEAT_MS
        return self._make_messages(self._prepare_message)

    def take_reply(
        self,
        member: int,
        reply: Message | None,
        now_ms: int,
    ) -> list[Outgoing]:
        """Handle the reply of a member to an earlier message."""
        status = self.members[member]
        match self.phase, reply:
            case GangPhase.PREPARING, Prepared():
                self._set_phase(member, MemberPhase.PREPARED)
                if self._all_in(MemberPhase.PREPARED):
                    return self._start_all(now_ms)
            case GangPhase.PREPARING, Refused(refusal=refusal):
                self._set_phase(member, MemberPhase.REFUSED)
                return self._abort(f'{status.ref.worker_id}: {refusal.value}', now_ms)
            case GangPhase.STARTING, Started():
                self._extend_alive_deadline(member, MemberPhase.STARTED, now_ms)
                if self._all_in(MemberPhase.STARTED, MemberPhase.ENDED):
                    return self._run(now_ms)
            case GangPhase.STARTING, Refused(refusal=refusal):
                # An earlier incarnation may have handled an earlier copy of `Start`.
                restarted = refusal is Refusal.WRONG_INCARNATION
                phase = MemberPhase.ENDED if restarted else MemberPhase.REFUSED
                self._set_phase(member, phase)
                reason = f'{status.ref.worker_id}: {refusal.value}'
                return self._stop(EndState.LOST, reason, now_ms)
            case GangPhase.RUNNING, Renewed(state=AttemptStatus.RUNNING):
                self._extend_alive_deadline(member, MemberPhase.STARTED, now_ms)
            case (
                GangPhase.RUNNING,
                Renewed(state=AttemptStatus.UNKNOWN | AttemptStatus.NOT_STARTED),
            ):
                reason = f'{status.ref.worker_id}: restarted'
                return self._stop(EndState.LOST, reason, now_ms)
            case GangPhase.STOPPING, Fate(state=state):
                if state is AttemptStatus.NOT_STARTED:
                    self._set_phase(member, MemberPhase.REFUSED)
                elif state is not AttemptStatus.RUNNING:
                    self._set_phase(member, MemberPhase.ENDED)
                self._finish_stop(now_ms)
            case _:
                pass
        return []

    def take_report(self, report: MemberReport, now_ms: int) -> list[Outgoing]:
        """Handle the report that one agent's members ended."""
        member = self._find_member(report.worker_id)
        if member is None or self.phase is GangPhase.ENDED:
            return []
        not_started = report.end is EndState.NOT_STARTED
        self.members[member] = self.members[member]._replace(
            phase=MemberPhase.REFUSED if not_started else MemberPhase.ENDED,
            report=report,
        )
        if self.phase is GangPhase.STOPPING:
            self._finish_stop(now_ms)
            return []
        if report.end is not EndState.COMPLETED:
            reason = f'{report.worker_id}: {report.detail.reason}'
            # Other members may have run even if this one did not start.
            end = EndState.LOST if not_started else report.end
            return self._stop(end, reason, now_ms)
        if self._all_in(MemberPhase.ENDED):
            self._complete()
        return []

    def evict(self, worker_id: str, now_ms: int) -> list[Outgoing]:
        """Stop all members with a checkpoint, because one of them is evicted."""
        reason = f'{worker_id}: reclaimed for a guarantee'
        return self._stop(EndState.PREEMPTED, reason, now_ms, checkpoint=True)

    def cancel(self, now_ms: int) -> list[Outgoing]:
        """Stop all members, because the attempt is no longer wanted."""
        return self._stop(EndState.STOPPED, 'stopped on request', now_ms)

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Check deadlines, renew leases and resend unanswered messages."""
        match self.phase:
            case GangPhase.PREPARING if now_ms >= self.start_deadline_ms:
                return self._abort('not all members answered', now_ms)
            case GangPhase.STARTING if now_ms >= self.start_deadline_ms:
                reason = 'not all members started in time'
                return self._stop(EndState.LOST, reason, now_ms)
            case GangPhase.RUNNING:
                return self._tick_running(now_ms)
            case GangPhase.STOPPING if now_ms >= self.stop_deadline_ms:
                self._end(self.wanted_end or EndState.LOST)
                return []
        if self.phase is GangPhase.ENDED or now_ms < self.next_send_ms:
            return []
        is_stopping = self.phase is GangPhase.STOPPING
        interval_ms = RENEW_INTERVAL_MS if is_stopping else START_REPEAT_MS
        self.next_send_ms = now_ms + interval_ms
        return self._resend()

    def _tick_running(self, now_ms: int) -> list[Outgoing]:
        for status in self.members:
            is_started = status.phase is MemberPhase.STARTED
            if is_started and now_ms >= status.alive_deadline_ms:
                reason = f'{status.ref.worker_id}: no answer for {LEASE_MS} ms'
                return self._stop(EndState.LOST, reason, now_ms)
        if now_ms >= self.run_deadline_ms:
            return self._stop(EndState.FAILED, 'run limit exceeded', now_ms)
        if now_ms < self.next_send_ms:
            return []
        self.next_send_ms = now_ms + RENEW_INTERVAL_MS
        return self._renew_all(now_ms)

    def _resend(self) -> list[Outgoing]:
        match self.phase:
            case GangPhase.PREPARING:
                return self._make_messages(self._prepare_message, MemberPhase.WAITING)
            case GangPhase.STARTING:
                return self._make_messages(
                    self._start_message,
                    MemberPhase.WAITING,
                    MemberPhase.PREPARED,
                )
            case GangPhase.STOPPING:
                return self._stop_all()
            case _:
                return []

    def _start_all(self, now_ms: int) -> list[Outgoing]:
        self.phase = GangPhase.STARTING
        self.start_sent = True
        self.start_deadline_ms = now_ms + START_WINDOW_MS
        self.next_send_ms = now_ms + START_REPEAT_MS
        return self._make_messages(self._start_message)

    def _run(self, now_ms: int) -> list[Outgoing]:
        self.phase = GangPhase.RUNNING
        if self._all_in(MemberPhase.ENDED):
            self._complete()
            return []
        self.next_send_ms = now_ms + RENEW_INTERVAL_MS
        return self._renew_all(now_ms)

    def _renew_all(self, now_ms: int) -> list[Outgoing]:
        lease_ms = self._find_lease_ms(now_ms)
        return self._make_messages(
            lambda ref: Renew(self.attempt_id, ref.incarnation, lease_ms),
            MemberPhase.STARTED,
        )

    def _find_lease_ms(self, now_ms: int) -> int:
        # Leases end at most one renewal interval after the earliest deadline of a
        # member. When a member is lost, the leases of the others thus expire even if
        # the leader is cut off from them before it notices the loss.
        alive_ms = [
            status.alive_deadline_ms
            for status in self.members
            if status.phase is MemberPhase.STARTED
        ]
        remaining_ms = min(alive_ms, default=now_ms + LEASE_MS) - now_ms
        return min(LEASE_MS, remaining_ms + RENEW_INTERVAL_MS)

    def _abort(self, reason: str, now_ms: int) -> list[Outgoing]:
        # No `Start` was sent, so the tombstones that `Abort` leaves ensure that no
        # member of this attempt ever runs.
        self.reason = reason
        self.stop_deadline_ms = now_ms
        self._end(EndState.NOT_STARTED)
        return self._make_messages(
            lambda ref: Abort(self.attempt_id, ref.incarnation),
            *MemberPhase,
        )

    def _stop(
        self,
        end: EndState,
        reason: str,
        now_ms: int,
        checkpoint: bool = False,
    ) -> list[Outgoing]:
        if self.phase in (GangPhase.STOPPING, GangPhase.ENDED):
            return []
        if not self.start_sent:
            return self._abort(reason, now_ms)
        self.phase = GangPhase.STOPPING
        self.wanted_end = end
        self.reason = reason
        self.checkpoint = checkpoint
        # By then the lease of every member has expired, even without a reply.
        self.stop_deadline_ms = now_ms + LEASE_MS + RENEW_INTERVAL_MS + 2 * TICK_MS
        self.next_send_ms = now_ms + RENEW_INTERVAL_MS
        messages = self._stop_all()
        self._finish_stop(now_ms)
        return messages

    def _stop_all(self) -> list[Outgoing]:
        return self._make_messages(
            self._stop_message,
            MemberPhase.WAITING,
            MemberPhase.PREPARED,
            MemberPhase.STARTED,
        )

    def _finish_stop(self, now_ms: int) -> None:
        if self._all_in(MemberPhase.REFUSED):
            self._end(EndState.NOT_STARTED)
        elif self._all_in(MemberPhase.ENDED, MemberPhase.REFUSED):
            self._end(self._merge_ends())

    def _merge_ends(self) -> EndState:
        ends = {status.report.end for status in self.members if status.report}
        # All members may have completed before the stop reached them.
        all_reported = all(status.report for status in self.members)
        if all_reported and ends == {EndState.COMPLETED}:
            return EndState.COMPLETED
        if self.wanted_end is EndState.STOPPED or EndState.FAILED not in ends:
            return self.wanted_end or EndState.LOST
        return EndState.FAILED

    def _complete(self) -> None:
        self._end(EndState.COMPLETED)

    def _end(self, end: EndState) -> None:
        self.phase = GangPhase.ENDED
        self.end = end
        if end is EndState.COMPLETED:
            parts = [
                part
                for status in self.members
                if status.report
                for part in status.report.detail.parts
            ]
            parts.sort(key=lambda part: part.member)
            if sum(len(part.data) for part in parts) > INLINE_ANSWERS_MAX_BYTES:
                parts = [part._replace(data=b'') for part in parts]
            self.detail = EndDetail(parts=tuple(parts))
        else:
            saved = [
                status.report is not None and status.report.detail.checkpointed
                for status in self.members
            ]
            self.detail = EndDetail(self.reason, checkpointed=all(saved))

    def _prepare_message(self, ref: MemberRef) -> Message:
        return Prepare(
            attempt_id=self.attempt_id,
            incarnation=ref.incarnation,
            generation=self.generation,
            claim=ref.claim,
            hold_ms=HOLD_MS,
        )

    def _start_message(self, ref: MemberRef) -> Message:
        return Start(
            attempt_id=self.attempt_id,
            incarnation=ref.incarnation,
            leader_address=self.leader_address,
            payload=self.payload,
            lease_ms=LEASE_MS,
        )

    def _stop_message(self, ref: MemberRef) -> Message:
        return StopMember(self.attempt_id, ref.incarnation, self.checkpoint)

    def _make_messages(self, make_message, *phases: MemberPhase) -> list[Outgoing]:
        return [
            Outgoing(member, make_message(status.ref))
            for member, status in enumerate(self.members)
            if not phases or status.phase in phases
        ]

    def _set_phase(self, member: int, phase: MemberPhase) -> None:
        if self.members[member].phase is not MemberPhase.ENDED:
            self.members[member] = self.members[member]._replace(phase=phase)

    def _extend_alive_deadline(
        self, member: int, phase: MemberPhase, now_ms: int
    ) -> None:
        self._set_phase(member, phase)
        self.members[member] = self.members[member]._replace(
            alive_deadline_ms=now_ms + LEASE_MS,
        )

    def _all_in(self, *phases: MemberPhase) -> bool:
        return all(status.phase in phases for status in self.members)

    def _find_member(self, worker_id: str) -> int | None:
        for member, status in enumerate(self.members):
            if status.ref.worker_id == worker_id:
                return member
        return None
