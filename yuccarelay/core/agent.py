"""
The agent's state machine.

It owns its worker's capacity, runs members under leases, and leads the attempts
whose first member it is. Before an agent reports that an attempt did not start, it
records a tombstone, so that the attempt cannot start later.
"""

from yuccarelay.core.announcer import Announcer
from yuccarelay.core.attempt_records import AttemptRecords
from yuccarelay.core.effects import Effect, Exit, ServeAnswer
from yuccarelay.core.events import (
    AgentEvent,
    AnswerFetched,
    DrainRequested,
    MessageReceived,
    ReplyArrived,
    TaskEnded,
    TaskStarted,
    Tick,
)
from yuccarelay.core.gang import Gang, GangPhase, Outgoing
from yuccarelay.core.messages import (
    Abort,
    Ack,
    AnswersKept,
    AttemptReport,
    AttemptStatus,
    ConfigChanged,
    EvictionNotice,
    Fate,
    FetchAnswer,
    Launch,
    Launched,
    Malformed,
    MemberReport,
    Message,
    Prepare,
    Reclaiming,
    Refusal,
    Refused,
    Renew,
    Settle,
    Start,
    StopAttempt,
    StopMember,
)
from yuccarelay.core.models import Grant, WorkerState
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.reservation import Capacity, Phase
from yuccarelay.core.timing import (
    DRAIN_START_WINDOW_MS,
    HOLD_MS,
    QUARANTINE_MS,
    SETTLE_MS,
)
from yuccarelay.core.worker_members import WorkerMembers
from yuccarelay.ports.randomness import RandomSource


class AgentCore:
    """
    Decisions of one agent, driven by `step`.

        core = AgentCore(state, seeds=('127.0.0.1:7000',), rng=random.Random(1))
        effects = core.step(Tick(), now_ms=0)
    """

    def __init__(
        self,
        state: WorkerState,
        seeds: tuple[str, ...],
        rng: RandomSource,
    ):
        self.outbox = Outbox(state.address)
        self.incarnation = state.incarnation
        self.attempt_records = AttemptRecords(self.outbox)
        self.members = WorkerMembers(
            worker_id=state.worker_id,
            incarnation=state.incarnation,
            address=state.address,
            capacity=Capacity(state.accelerators, state.slots),
            outbox=self.outbox,
            attempt_records=self.attempt_records,
        )
        self.announcer = Announcer(state, seeds, rng, self.outbox)
        self.gangs: dict[str, Gang] = {}
        self.drain_deadline_ms: int | None = None
        self.drain_start_deadline_ms = 0
        self.exited = False

    def step(self, event: AgentEvent, now_ms: int) -> list[Effect]:
        """
        Handle one event and return its effects.

        Deadlines are checked first, so an agent that was suspended acts on expired
        leases before it handles the messages that arrived meanwhile.
        """
        if self.members.usable_from_ms is None:
            self.members.usable_from_ms = now_ms + QUARANTINE_MS
        self._expire(now_ms)
        self._handle(event, now_ms)
        while (local := self.outbox.take_local()) is not None:
            self._handle(local, now_ms)
        self._update_announced_state(now_ms)
        return self.outbox.take_effects()

    def _handle(self, event: AgentEvent, now_ms: int) -> None:
        match event:
            case Tick():
                self.attempt_records.expire(now_ms)
                self.announcer.tick(now_ms)
                self._check_drained(now_ms)
            case MessageReceived(message, reply_to):
                self._handle_message(message, reply_to, now_ms)
            case ReplyArrived(tag, reply):
                self._handle_reply(tag, reply, now_ms)
            case TaskStarted():
                self.members.take_started(event)
            case TaskEnded():
                self.members.take_ended(event, now_ms)
            case AnswerFetched(task_id):
                self.members.answers.mark_fetched(task_id)
            case DrainRequested(deadline_ms):
                self._drain(deadline_ms, now_ms)

    def _handle_message(self, message: Message, reply_to: int, now_ms: int) -> None:
        match message:
            case Prepare():
                self._reply(reply_to, self._prepare(message, now_ms))
            case Launch():
                self._reply(reply_to, self._launch(message, now_ms))
            case Start():
                self._start(message, reply_to, now_ms)
            case Renew():
                self._reply(reply_to, self.members.renew(message, now_ms))
            case Abort(attempt_id) | StopMember(attempt_id):
                self._reply(reply_to, self._stop_member(message, now_ms))
            case MemberReport(attempt_id):
                if attempt_id in self.gangs:
                    gang = self.gangs[attempt_id]
                    self._send_all(gang, gang.take_report(message, now_ms))
                self._reply(reply_to, Ack())
            case EvictionNotice(attempt_id, worker_id):
                if attempt_id in self.gangs:
                    gang = self.gangs[attempt_id]
                    self._send_all(gang, gang.evict(worker_id, now_ms))
                self._reply(reply_to, Ack())
            case StopAttempt():
                self._reply(reply_to, self._stop_attempt(message, now_ms))
            case Settle():
                self._reply(reply_to, self._settle(message))
            case FetchAnswer(attempt_id, member, offset, limit):
                self.members.answers.note_served(now_ms)
                self.outbox.add(
                    ServeAnswer(reply_to, attempt_id, member, offset, limit),
                )
            case ConfigChanged(welcome):
                self._update_owned_shares(self.announcer.apply_welcome(welcome))
                self._reply(reply_to, Ack())
            case _:
                reason = f'an agent does not take {type(message).__name__}'
                self._reply(reply_to, Malformed(reason))
        self._collect_ended(now_ms)

    def _handle_reply(self, tag: str, reply: Message | None, now_ms: int) -> None:
        kind, _, rest = tag.partition(':')
        match kind:
            case 'gang':
                attempt_id, _, member = rest.partition('#')
                gang = self.gangs.get(attempt_id)
                if gang is not None:
                    messages = gang.take_reply(int(member), reply, now_ms)
                    self._send_all(gang, messages)
                    self._collect_ended(now_ms)
            case 'member_report':
                if isinstance(reply, Ack):
                    self.members.take_report_reply(rest)
            case 'report':
                if isinstance(reply, Ack):
                    self.attempt_records.acknowledge(rest)
            case 'keep':
                if isinstance(reply, AnswersKept):
                    self.members.answers.mark_retained(reply)
            case 'assigned_entry':
                changed = self.announcer.take_reply(rest, reply, now_ms)
                self._update_owned_shares(changed)

    def _prepare(self, message: Prepare, now_ms: int) -> Message:
        attempt_id = message.attempt_id
        refusal = self._find_refusal(message, now_ms)
        if refusal is not None:
            return Refused(attempt_id, refusal)
        reply = self.members.reply_to_prepare(message, now_ms)
        if isinstance(reply, Refused):
            self.attempt_records.add_tombstone(attempt_id)
        return reply

    def _start(self, message: Start, reply_to: int, now_ms: int) -> None:
        attempt_id = message.attempt_id
        refusal = self._find_refusal(message, now_ms)
        if refusal is None:
            refusal = self.members.start(message, reply_to, now_ms)
        if refusal is None:
            return
        if refusal is not Refusal.WRONG_INCARNATION:
            # A delayed duplicate of this message must not start the attempt.
            self.members.release(attempt_id)
            self.attempt_records.add_tombstone(attempt_id)
        self._reply(reply_to, Refused(attempt_id, refusal))

    def _launch(self, message: Launch, now_ms: int) -> Message:
        attempt_id = message.attempt_id
        if (
            attempt_id in self.gangs
            or attempt_id in self.attempt_records.ended
            or attempt_id in self.attempt_records.expired_ids
        ):
            return Launched(attempt_id)
        refusal = self._find_refusal(message, now_ms)
        if refusal is None:
            result = self._hold_for_launch(message, now_ms)
            match result:
                case Refusal():
                    refusal = result
                case int():
                    return Reclaiming(attempt_id, result)
        if refusal is not None:
            self.members.release(attempt_id)
            self.attempt_records.add_tombstone(attempt_id)
            return Refused(attempt_id, refusal)
        gang = Gang(message, self.outbox.own_address, now_ms)
        self.gangs[attempt_id] = gang
        self.outbox.log('launch', attempt_id=attempt_id, members=len(gang.members))
        self._send_all(gang, gang.begin(now_ms))
        return Launched(attempt_id)

    def _hold_for_launch(self, message: Launch, now_ms: int) -> Refusal | int | None:
        held = message.attempt_id in self.members.reservations
        if len(message.members) > 1 and not held:
            return Refusal.NO_RESERVATION
        return self.members.prepare(
            attempt_id=message.attempt_id,
            claim=message.members[0].claim,
            hold_deadline_ms=now_ms + HOLD_MS,
            now_ms=now_ms,
        )

    def _find_refusal(
        self,
        message: Prepare | Launch | Start,
        now_ms: int,
    ) -> Refusal | None:
        attempt_id = message.attempt_id
        if message.incarnation != self.incarnation:
            return Refusal.WRONG_INCARNATION
        if attempt_id in self.attempt_records.tombstones:
            return Refusal.TOMBSTONED
        match message:
            case Prepare() | Launch() if message.generation < self.announcer.generation:
                return Refusal.STALE_GENERATION
        if self._refuses_to_start(attempt_id, now_ms):
            self.attempt_records.add_tombstone(attempt_id)
            return Refusal.DRAINING
        return None

    def _refuses_to_start(self, attempt_id: str, now_ms: int) -> bool:
        # A draining worker starts only what it has reserved, for a limited time.
        if self.drain_deadline_ms is None:
            return False
        reservation = self.members.reservations.get(attempt_id)
        return reservation is None or (
            not reservation.start_requested and now_ms >= self.drain_start_deadline_ms
        )

    def _stop_member(self, message: Abort | StopMember, now_ms: int) -> Message:
        if message.incarnation != self.incarnation:
            return Fate(message.attempt_id, AttemptStatus.UNKNOWN)
        if isinstance(message, Abort):
            message = StopMember(message.attempt_id, message.incarnation, False)
        reply = self.members.stop(message, now_ms)
        if isinstance(reply, Fate) and reply.state is AttemptStatus.NOT_STARTED:
            self.attempt_records.add_tombstone(message.attempt_id)
        return reply

    def _stop_attempt(self, message: StopAttempt, now_ms: int) -> Message:
        gang = self.gangs.get(message.attempt_id)
        if gang is not None and message.incarnation == self.incarnation:
            self._send_all(gang, gang.cancel(now_ms))
        return self._find_attempt_status(message.attempt_id, message.incarnation)

    def _settle(self, message: Settle) -> Message:
        attempt_id = message.attempt_id
        if attempt_id in self.gangs:
            self.gangs[attempt_id].owner_address = message.owner_address
        self.attempt_records.set_owner(attempt_id, message.owner_address)
        return self._find_attempt_status(attempt_id, message.incarnation)

    def _find_attempt_status(self, attempt_id: str, incarnation: int) -> Fate:
        if attempt_id in self.attempt_records.ended:
            report = self.attempt_records.ended[attempt_id].report
            return Fate(attempt_id, AttemptStatus.ENDED, report.end, report.detail)
        if attempt_id in self.gangs:
            return Fate(attempt_id, AttemptStatus.RUNNING)
        if incarnation != self.incarnation:
            return Fate(attempt_id, AttemptStatus.UNKNOWN)
        reservation = self.members.reservations.get(attempt_id)
        if reservation is not None and reservation.start_requested:
            # A member of an attempt that another agent leads.
            ended = reservation.phase is Phase.ENDED
            return Fate(
                attempt_id, AttemptStatus.ENDED if ended else AttemptStatus.RUNNING
            )
        has_tombstone = attempt_id in self.attempt_records.tombstones
        if not has_tombstone and self.attempt_records.may_have_started(attempt_id):
            return Fate(attempt_id, AttemptStatus.UNKNOWN)
        self.members.release(attempt_id)
        self.attempt_records.add_tombstone(attempt_id)
        return Fate(attempt_id, AttemptStatus.NOT_STARTED)

    def _expire(self, now_ms: int) -> None:
        self.members.expire(now_ms)
        for gang in list(self.gangs.values()):
            self._send_all(gang, gang.tick(now_ms))
        self._collect_ended(now_ms)

    def _collect_ended(self, now_ms: int) -> None:
        for attempt_id, gang in list(self.gangs.items()):
            if gang.phase is not GangPhase.ENDED or gang.end is None:
                continue
            del self.gangs[attempt_id]
            self.outbox.log('ended', attempt_id=attempt_id, end=gang.end.value)
            report = AttemptReport(attempt_id, gang.end, gang.detail)
            self.attempt_records.add_end(report, gang.owner_address, now_ms)

    def _update_owned_shares(self, changed: bool) -> None:
        if changed:
            self.members.ledger.owned = {
                share.organisation: share.accelerators for share in self.announcer.owned
            }

    def _update_announced_state(self, now_ms: int) -> None:
        grants = tuple(
            Grant(
                attempt_id=reservation.attempt_id,
                organisation=reservation.claim.organisation,
                accelerators=reservation.claim.total_accelerators,
                slots=len(reservation.claim.members),
                guaranteed=reservation.claim.guaranteed,
                preemptible=reservation.claim.preemptible,
                running=reservation.start_requested,
            )
            for reservation in self.members.ledger.find_active()
        )
        self.announcer.update_state(
            now_ms,
            grants=grants,
            unreported=self.attempt_records.find_unreported(),
            draining=self.drain_deadline_ms is not None,
            generation=self.announcer.generation,
            plan_epoch=self.announcer.plan_epoch,
        )

    def _drain(self, deadline_ms: int, now_ms: int) -> None:
        if self.drain_deadline_ms is not None:
            return
        self.drain_deadline_ms = deadline_ms
        self.drain_start_deadline_ms = now_ms + DRAIN_START_WINDOW_MS
        self.outbox.log('drain', active=len(self.members.ledger.find_active()))
        self._update_announced_state(now_ms)
        self.announcer.announce_to_all()

    def _check_drained(self, now_ms: int) -> None:
        if self.drain_deadline_ms is None or self.exited:
            return
        late = now_ms >= self.drain_deadline_ms
        if late:
            for gang in self.gangs.values():
                reason = self.announcer.state.worker_id
                self._send_all(gang, gang.evict(reason, now_ms))
            self.members.evict_all(now_ms)
        answers = self.members.answers
        answers.request_retention(self.announcer.find_assigned_entry(), now_ms)
        has_work = self.members.ledger.find_active() or self.gangs
        unreported = (
            *self.attempt_records.find_unreported(),
            *self.members.ledger.find_unreported(),
        )
        answers_safe = late or answers.is_done(now_ms)
        done = not has_work and not unreported and answers_safe
        if done or now_ms >= self.drain_deadline_ms + SETTLE_MS:
            self.outbox.log(
                'drained',
                complete=done,
                unreported=len(unreported),
                answers=len(answers.unfetched),
            )
            self.exited = True
            self.outbox.add(Exit())

    def _send_all(self, gang: Gang, messages: list[Outgoing]) -> None:
        for member, message in messages:
            address = gang.members[member].ref.address
            tag = f'gang:{gang.attempt_id}#{member}'
            self.outbox.send(address, message, tag)

    def _reply(self, reply_to: int, message: Message) -> None:
        self.outbox.reply(reply_to, message)
