"""
The members of attempts that run on one worker.

A member holds capacity and runs on the target under a lease that its leader renews.
The agent stops it when the lease expires.
"""

from yuccarelay.core.answer_retention import AnswerRetention
from yuccarelay.core.attempt_records import AttemptRecords
from yuccarelay.core.effects import RenewTasks, StartTask, StopTask
from yuccarelay.core.events import TaskEnded, TaskStarted
from yuccarelay.core.messages import (
    AttemptStatus,
    EndState,
    EvictionNotice,
    Fate,
    MemberReport,
    Message,
    Prepare,
    Prepared,
    Reclaiming,
    Refusal,
    Refused,
    Renew,
    Renewed,
    Start,
    Started,
    StopMember,
)
from yuccarelay.core.models import AnswerPart, Claim, EndDetail
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.reservation import (
    Admitted,
    Capacity,
    Ledger,
    NotAdmitted,
    Phase,
    Reservation,
)
from yuccarelay.core.timing import (
    ENDED_RETENTION_MS,
    RECLAIM_MS,
    RENEW_INTERVAL_MS,
    REPEAT_INTERVAL_MS,
)

# One call renews the target's leases of all tasks whose member lease is valid for at
# least this long. A member that is cut off from its leader is excluded, so the target
# stops it in time.
BULK_RENEW_MIN_LEASE_MS = 1_500


def make_task_id(attempt_id: str, member: int) -> str:
    """Return the target's id of a member, such as `17-4.2/0`."""
    return f'{attempt_id}/{member}'


def parse_task_id(task_id: str) -> tuple[str, int]:
    """Return the attempt id and the member of a task id."""
    attempt_id, _, member = task_id.rpartition('/')
    return attempt_id, int(member)


class WorkerMembers:
    """Reservations of one worker and the tasks that run under them."""

    def __init__(
        self,
        worker_id: str,
        incarnation: int,
        address: str,
        capacity: Capacity,
        outbox: Outbox,
        attempt_records: AttemptRecords,
    ):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.address = address
        self.ledger = Ledger(capacity)
        self.outbox = outbox
        self.attempt_records = attempt_records
        self.answers = AnswerRetention(outbox)
        self.next_renew_ms = 0
        self.usable_from_ms: int | None = None

    @property
    def reservations(self) -> dict[str, Reservation]:
        """The reservations by attempt id, ended ones included."""
        return self.ledger.reservations

    def prepare(self, attempt_id: str, claim: Claim, hold_deadline_ms: int, now_ms):
        """
        Hold capacity for an attempt, or extend the hold.

        Returns None when the members may start, the time in milliseconds until
        they may, or the refusal.
        """
        reservation = self.reservations.get(attempt_id)
        if reservation is None:
            if now_ms < self.usable_from_ms and not claim.guaranteed:
                # Tasks of an earlier incarnation may still run on the target.
                return Refusal.NO_CAPACITY
            match self.ledger.admit(claim, now_ms):
                case NotAdmitted(refusal):
                    return refusal
                case Admitted(victims, waits_for):
                    self.reservations[attempt_id] = Reservation(
                        attempt_id=attempt_id,
                        claim=claim,
                        phase=Phase.HELD,
                        hold_deadline_ms=hold_deadline_ms,
                        waits_for=waits_for,
                    )
                    for victim in victims:
                        self._evict(victim, attempt_id, now_ms)
        elif reservation.phase is Phase.HELD:
            self._update(attempt_id, hold_deadline_ms=hold_deadline_ms)
        elif reservation.phase is Phase.ENDED:
            return Refusal.TOMBSTONED
        return self._find_reclaim_wait_ms(attempt_id, now_ms)

    def reply_to_prepare(self, message: Prepare, now_ms: int) -> Message:
        """Return the reply to a `Prepare`."""
        result = self.prepare(
            attempt_id=message.attempt_id,
            claim=message.claim,
            hold_deadline_ms=now_ms + message.hold_ms,
            now_ms=now_ms,
        )
        match result:
            case Refusal():
                return Refused(message.attempt_id, result)
            case None:
                return Prepared(message.attempt_id)
            case wait_ms:
                return Reclaiming(message.attempt_id, wait_ms)

    def start(self, message: Start, reply_to: int, now_ms: int) -> Refusal | None:
        """
        Start the prepared members of an attempt; reply once the target runs them.

        Returns the refusal when no member of the attempt was ever started here.
        """
        attempt_id = message.attempt_id
        reservation = self.reservations.get(attempt_id)
        if reservation is not None and reservation.start_requested:
            self._update(attempt_id, start_reply_to=reply_to)
            self._reply_to_start(attempt_id)
            return None
        if (
            reservation is None
            or self._find_reclaim_wait_ms(attempt_id, now_ms) is not None
        ):
            return Refusal.NO_RESERVATION
        deadline_ms = now_ms + message.lease_ms
        self._update(
            attempt_id,
            phase=Phase.STARTING,
            lease_deadline_ms=deadline_ms,
            leader_address=message.leader_address,
            start_reply_to=reply_to,
            started_ms=now_ms,
            start_requested=True,
        )
        for member in reservation.claim.members:
            self.outbox.add(
                StartTask(
                    task_id=make_task_id(attempt_id, member),
                    job_name=reservation.claim.job_name,
                    member=member,
                    accelerators=reservation.claim.accelerators,
                    payload=message.payload,
                    lease_deadline_ms=deadline_ms,
                ),
            )
        return None

    def renew(self, message: Renew, now_ms: int) -> Message:
        """Extend the lease of running members."""
        reservation = self.reservations.get(message.attempt_id)
        if reservation is None:
            return Renewed(message.attempt_id, AttemptStatus.NOT_STARTED)
        if reservation.phase is Phase.ENDED or reservation.end is not None:
            return Renewed(message.attempt_id, AttemptStatus.ENDED)
        deadline_ms = now_ms + message.lease_ms
        if reservation.stop_deadline_ms:
            # An evicted member that cannot be stopped must still lose its lease.
            limit_ms = max(reservation.stop_deadline_ms, reservation.lease_deadline_ms)
            deadline_ms = min(deadline_ms, limit_ms)
        self._update(message.attempt_id, lease_deadline_ms=deadline_ms)
        return Renewed(message.attempt_id, AttemptStatus.RUNNING)

    def stop(self, message: StopMember, now_ms: int) -> Message:
        """Stop the members of an attempt, or release its hold."""
        reservation = self.reservations.get(message.attempt_id)
        if reservation is None or not reservation.start_requested:
            self.release(message.attempt_id)
            return Fate(message.attempt_id, AttemptStatus.NOT_STARTED)
        if reservation.phase is Phase.ENDED:
            return Fate(message.attempt_id, AttemptStatus.ENDED)
        self._stop(message.attempt_id, EndState.STOPPED, '', message.checkpoint)
        return Fate(message.attempt_id, AttemptStatus.RUNNING)

    def evict_all(self, now_ms: int) -> None:
        """Evict all attempts, because the worker drains."""
        for reservation in self.ledger.find_active():
            if not reservation.stop_deadline_ms:
                self._evict(reservation.attempt_id, 'drain', now_ms)

    def release(self, attempt_id: str) -> None:
        """Release a hold whose members were not started."""
        reservation = self.reservations.get(attempt_id)
        if reservation is not None and not reservation.start_requested:
            del self.reservations[attempt_id]
            self._remove_from_waits(attempt_id)

    def take_started(self, event: TaskStarted) -> None:
        """Record that the target runs a member."""
        attempt_id, member = parse_task_id(event.task_id)
        reservation = self.reservations.get(attempt_id)
        if reservation is None:
            return
        self._update(attempt_id, started=reservation.started | {member})
        self._reply_to_start(attempt_id)

    def take_ended(self, event: TaskEnded, now_ms: int) -> None:
        """Record the end of a member; the first failure stops the others here."""
        attempt_id, member = parse_task_id(event.task_id)
        reservation = self.reservations.get(attempt_id)
        if reservation is None or reservation.phase is Phase.ENDED:
            return
        if event.completed:
            part = AnswerPart(
                attempt_id=attempt_id,
                member=member,
                address=self.address,
                incarnation=self.incarnation,
                length=event.length,
                sha256=event.sha256,
                data=event.data,
            )
            reservation = self._update(attempt_id, parts=(*reservation.parts, part))
            self.answers.add(event.task_id, part)
        reservation = self._update(attempt_id, ended=reservation.ended | {member})
        if event.started:
            reservation = self._update(
                attempt_id, started=reservation.started | {member}
            )
        if event.checkpointed:
            saved = reservation.checkpointed | {member}
            reservation = self._update(attempt_id, checkpointed=saved)
        if not event.completed and reservation.end is None:
            end = EndState.FAILED if event.started else EndState.NOT_STARTED
            self._stop(attempt_id, end, event.reason, checkpoint=False)
        self._reply_to_start(attempt_id)
        if len(self.reservations[attempt_id].ended) == len(reservation.claim.members):
            self._end(attempt_id, now_ms)

    def take_report_reply(self, attempt_id: str) -> None:
        """Record that the leader has acknowledged the end."""
        if attempt_id in self.reservations:
            self._update(attempt_id, reported=True)

    def expire(self, now_ms: int) -> None:
        """Act on all deadlines that have passed."""
        for attempt_id in list(self.reservations.pending):
            reservation = self.reservations.get(attempt_id)
            match reservation.phase if reservation else None:
                case Phase.HELD if now_ms >= reservation.hold_deadline_ms:
                    self.release(attempt_id)
                    self.outbox.log('hold_expired', attempt_id=attempt_id)
                case Phase.STARTING | Phase.RUNNING:
                    self._expire_running(reservation, now_ms)
                case Phase.STOPPING if now_ms >= reservation.next_report_ms:
                    self._stop_tasks(reservation, checkpoint=False)
                    self._update(
                        attempt_id,
                        next_report_ms=now_ms + REPEAT_INTERVAL_MS,
                    )
                case Phase.ENDED:
                    self._expire_ended(reservation, now_ms)
        self._drop_reported(now_ms)
        if now_ms >= self.next_renew_ms:
            self.next_renew_ms = now_ms + RENEW_INTERVAL_MS
            self._renew_tasks(now_ms)

    def _expire_running(self, reservation: Reservation, now_ms: int) -> None:
        if now_ms >= reservation.lease_deadline_ms:
            self.outbox.log('lease_expired', attempt_id=reservation.attempt_id)
            self._stop(reservation.attempt_id, EndState.LOST, 'lease expired', False)
        elif reservation.stop_deadline_ms and now_ms >= reservation.stop_deadline_ms:
            reason = 'reclaimed for a guarantee'
            self._stop(reservation.attempt_id, EndState.PREEMPTED, reason, False)

    def _expire_ended(self, reservation: Reservation, now_ms: int) -> None:
        if now_ms >= reservation.ended_ms + ENDED_RETENTION_MS:
            del self.reservations[reservation.attempt_id]
            for part in reservation.parts:
                self.answers.drop(part.task_id)
            self.attempt_records.add_expired_id(reservation.attempt_id)
        elif not reservation.reported and now_ms >= reservation.next_report_ms:
            self._report(reservation.attempt_id, now_ms)

    def _drop_reported(self, now_ms: int) -> None:
        dropped = []
        for attempt_id in self.reservations.reported_ended:
            if now_ms < self.reservations[attempt_id].ended_ms + ENDED_RETENTION_MS:
                break
            dropped.append(attempt_id)
        for attempt_id in dropped:
            del self.reservations[attempt_id]

    def _renew_tasks(self, now_ms: int) -> None:
        deadlines: list[int] = []
        task_ids: list[str] = []
        for attempt_id in self.reservations.pending:
            reservation = self.reservations[attempt_id]
            if reservation.phase not in (Phase.STARTING, Phase.RUNNING):
                continue
            if reservation.lease_deadline_ms < now_ms + BULK_RENEW_MIN_LEASE_MS:
                continue
            deadlines.append(reservation.lease_deadline_ms)
            task_ids.extend(
                make_task_id(reservation.attempt_id, member)
                for member in reservation.claim.members
                if member not in reservation.ended
            )
        if task_ids:
            self.outbox.add(RenewTasks(tuple(task_ids), min(deadlines)))

    def _evict(self, victim: str, for_attempt: str, now_ms: int) -> None:
        reservation = self.reservations[victim]
        self.outbox.log('evict', attempt_id=victim, for_attempt=for_attempt)
        self.outbox.count('evictions')
        if not reservation.start_requested:
            self.release(victim)
            return
        self._update(victim, stop_deadline_ms=now_ms + RECLAIM_MS)
        notice = EvictionNotice(victim, self.worker_id, RECLAIM_MS)
        self.outbox.send(reservation.leader_address, notice, f'notice:{victim}')

    def _find_reclaim_wait_ms(self, attempt_id: str, now_ms: int) -> int | None:
        reservation = self.reservations[attempt_id]
        waiting = [
            self.reservations[other_id]
            for other_id in reservation.waits_for
            if other_id in self.reservations and self.reservations[other_id].is_active
        ]
        if reservation.phase is not Phase.HELD:
            return None
        if not waiting and now_ms >= self.usable_from_ms:
            return None
        ready_ms = max(
            (other.stop_deadline_ms for other in waiting),
            default=self.usable_from_ms,
        )
        return max(ready_ms - now_ms, RENEW_INTERVAL_MS // 4)

    def _remove_from_waits(self, attempt_id: str) -> None:
        for waiting_id in list(self.reservations.pending):
            reservation = self.reservations[waiting_id]
            if attempt_id in reservation.waits_for:
                self._update(waiting_id, waits_for=reservation.waits_for - {attempt_id})

    def _reply_to_start(self, attempt_id: str) -> None:
        reservation = self.reservations[attempt_id]
        members = set(reservation.claim.members)
        if reservation.end is EndState.NOT_STARTED and not reservation.started:
            reply: Message = Refused(attempt_id, Refusal.NO_CAPACITY)
        elif members <= reservation.started | reservation.ended:
            reply = Started(attempt_id)
            if reservation.phase is Phase.STARTING:
                self._update(attempt_id, phase=Phase.RUNNING)
        else:
            return
        if reservation.start_reply_to:
            self.outbox.reply(reservation.start_reply_to, reply)
            self._update(attempt_id, start_reply_to=0)

    def _stop(
        self,
        attempt_id: str,
        end: EndState,
        reason: str,
        checkpoint: bool,
    ) -> None:
        reservation = self.reservations[attempt_id]
        if reservation.end is None:
            reservation = self._update(attempt_id, end=end, reason=reason)
        self._update(attempt_id, phase=Phase.STOPPING)
        self._stop_tasks(reservation, checkpoint)

    def _stop_tasks(self, reservation: Reservation, checkpoint: bool) -> None:
        for member in reservation.claim.members:
            if member not in reservation.ended:
                task_id = make_task_id(reservation.attempt_id, member)
                self.outbox.add(StopTask(task_id, checkpoint))

    def _end(self, attempt_id: str, now_ms: int) -> None:
        reservation = self.reservations[attempt_id]
        completed = len(reservation.parts) == len(reservation.claim.members)
        end = EndState.COMPLETED if completed else reservation.end or EndState.FAILED
        if end is EndState.NOT_STARTED and reservation.started:
            end = EndState.LOST
        self._update(attempt_id, phase=Phase.ENDED, end=end, ended_ms=now_ms)
        self._report(attempt_id, now_ms)

    def _report(self, attempt_id: str, now_ms: int) -> None:
        reservation = self._update(
            attempt_id, next_report_ms=now_ms + REPEAT_INTERVAL_MS
        )
        saved = reservation.checkpointed | {part.member for part in reservation.parts}
        all_saved = saved >= set(reservation.claim.members)
        report = MemberReport(
            attempt_id=attempt_id,
            worker_id=self.worker_id,
            end=reservation.end,
            detail=EndDetail(
                reason=reservation.reason,
                checkpointed=all_saved,
                parts=reservation.parts,
            ),
        )
        self.outbox.send(
            reservation.leader_address, report, f'member_report:{attempt_id}'
        )

    def _update(self, attempt_id: str, **changes: object) -> Reservation:
        reservation = self.reservations[attempt_id]._replace(**changes)
        self.reservations[attempt_id] = reservation
        return reservation
