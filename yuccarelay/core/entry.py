"""
The state machine of an entry, which accepts, schedules and tracks jobs.

Any entry can serve any caller. An entry owns the jobs that it accepted or adopted.
"""

from yuccarelay.core.adoption import Adopter
from yuccarelay.core.dispatch import Dispatcher
from yuccarelay.core.effects import (
    ActivateManifest,
    Effect,
    RetainAnswers,
    ServeAnswer,
    SetAnswerPeers,
    StatusDocument,
)
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.events import (
    CancelRequested,
    DrainRequested,
    EntriesSeen,
    EntryEvent,
    IdRequested,
    ManifestSeen,
    MessageReceived,
    PlanSeen,
    QueryRequested,
    Registered,
    RegistrationLost,
    ReplyArrived,
    StatusRequested,
    StoreHealthChanged,
    StoreReplied,
    SubmitRequested,
    Tick,
)
from yuccarelay.core.forwarding import Forwarder
from yuccarelay.core.handover import Handover
from yuccarelay.core.job_requests import JobRequests
from yuccarelay.core.messages import (
    Ack,
    Announce,
    AttemptReport,
    CancelJob,
    ConfigChanged,
    FetchAnswer,
    Heartbeat,
    KeepAnswers,
    Malformed,
    Message,
    QueryJob,
    SubmitJob,
    ViewDelta,
)
from yuccarelay.core.models import EntryRef, JobState
from yuccarelay.core.ordering import Queue
from yuccarelay.core.organisation_report import report_organisations
from yuccarelay.core.placement import PlacementPolicy
from yuccarelay.core.plan_proposal import PlanProposer
from yuccarelay.core.recording import Recorder
from yuccarelay.core.timing import ENDED_RETENTION_MS
from yuccarelay.core.view_sync import ViewSync
from yuccarelay.ports.randomness import RandomSource

# Minimum time between scheduling passes, so that a burst of events costs one pass.
PASS_INTERVAL_MS = 20
FLUSH_INTERVAL_MS = 1_000
# Job records written per flush, which limits the load on the store after an outage.
# With four entries this is 100 writes/s, below the several hundred that it handles.
FLUSH_LIMIT = 25


class EntryCore:
    """
    Decisions of one entry, driven by `step`.

        core = EntryCore(EntryRef(0, 'south', '127.0.0.1:7000'), rng, JobQueue())
        effects = core.step(Registered(incarnation=12), now_ms=0)
    """

    def __init__(
        self,
        entry: EntryRef,
        rng: RandomSource,
        queue: Queue,
        policy: PlacementPolicy = PlacementPolicy.BUDDY,
    ):
        self.state = EntryState(entry, rng, queue, policy)
        self.recorder = Recorder(self.state)
        self.dispatcher = Dispatcher(self.state, self.recorder)
        self.forwarder = Forwarder(self.state)
        self.job_requests = JobRequests(
            self.state,
            self.recorder,
            self.dispatcher,
            self.forwarder,
        )
        self.adopter = Adopter(self.state, self.dispatcher)
        self.view_sync = ViewSync(self.state)
        self.planner = PlanProposer(self.state)
        self.handover = Handover(
            self.state,
            self.recorder,
            self.dispatcher,
            self.job_requests,
        )
        self.next_pass_ms = 0
        self.next_flush_ms = 0

    def step(self, event: EntryEvent, now_ms: int) -> list[Effect]:
        """Handle one event and return the resulting effects."""
        outbox = self.state.outbox
        self._handle(event, now_ms)
        while (local := outbox.take_local()) is not None:
            self._handle(local, now_ms)
        if now_ms >= self.next_pass_ms:
            self.next_pass_ms = now_ms + PASS_INTERVAL_MS
            self.dispatcher.schedule(now_ms)
        return outbox.take_effects()

    def _handle(self, event: EntryEvent, now_ms: int) -> None:
        outbox = self.state.outbox
        match event:
            case Tick():
                self._tick(now_ms)
            case MessageReceived(FetchAnswer() as fetch, reply_to):
                serve = ServeAnswer(
                    reply_to=reply_to,
                    attempt_id=fetch.attempt_id,
                    member=fetch.member,
                    offset=fetch.offset,
                    limit=fetch.limit,
                )
                outbox.add(serve)
            case MessageReceived(KeepAnswers(parts), reply_to):
                outbox.add(RetainAnswers(reply_to, parts))
            case MessageReceived(message, reply_to):
                self._take_message(message, reply_to, now_ms)
            case ReplyArrived(tag, reply):
                self._take_reply(tag, reply, now_ms)
            case StoreReplied(tag, result):
                self._take_store_reply(tag, result, now_ms)
            case SubmitRequested():
                self.job_requests.submit(event, now_ms)
            case QueryRequested():
                self.job_requests.query(event, now_ms)
            case CancelRequested():
                self.job_requests.cancel(event, now_ms)
            case IdRequested():
                self.job_requests.mint(event)
            case StatusRequested(request_id):
                self.state.respond(request_id, StatusDocument(self._describe(now_ms)))
            case DrainRequested(deadline_ms):
                self.handover.begin(deadline_ms)
            case _:
                self._take_config(event, now_ms)

    def _take_config(self, event: EntryEvent, now_ms: int) -> None:
        state = self.state
        match event:
            case Registered(incarnation):
                self._take_registered(incarnation)
            case RegistrationLost():
                state.fenced = True
                state.outbox.log('fenced', incarnation=state.entry.incarnation)
            case EntriesSeen(entries):
                self.adopter.take_entries(entries, now_ms)
                own = state.entry.address
                others = [one.address for one in entries if one.address != own]
                state.outbox.add(SetAnswerPeers(tuple(others)))
            case StoreHealthChanged(up):
                state.store_up = up
                state.outbox.log('store_health', up=up)
            case ManifestSeen(generation, manifest, text):
                if generation > state.generation:
                    state.generation = generation
                    state.manifest = manifest
                    state.note_generation(generation)
                    weights = {
                        name: organisation.weight
                        for name, organisation in manifest.organisations.items()
                    }
                    state.queue.set_weights(weights)
                    state.outbox.add(ActivateManifest(generation, manifest, text))
                    state.outbox.log('manifest_in_force', generation=generation)
                    self._push_config()
            case PlanSeen(plan):
                if state.plan is None or plan.epoch > state.plan.epoch:
                    state.take_plan(plan)
                    state.outbox.log('plan_in_force', epoch=plan.epoch)
                    self._push_config()

    def _take_registered(self, incarnation: int) -> None:
        state = self.state
        earlier = state.entry.incarnation
        state.entry = state.entry._replace(incarnation=incarnation)
        state.fenced = False
        state.outbox.log('registered', incarnation=incarnation)
        if not earlier:
            return
        # Other entries may have adopted the jobs while the registration was gone.
        state.earlier_incarnations.add(earlier)
        for job_id, job in list(state.jobs.items()):
            if job.revision and not job.writing and not job.recorded:
                self.recorder.write_owner(job_id)

    def _push_config(self) -> None:
        for worker in self.state.view.find_own():
            # The entry list is left out: agents receive it in replies to heartbeats.
            welcome = self.state.make_welcome(
                worker.worker_id,
                known_entries=self.state.entries_digest,
                known_epoch=worker.plan_epoch,
            )
            message = ConfigChanged(welcome)
            self.state.outbox.send(worker.address, message, f'config:{worker.address}')

    def _take_message(self, message: Message, reply_to: int, now_ms: int) -> None:
        if isinstance(message, SubmitJob):
            # The reply follows when the store has the job's record.
            self.job_requests.submit_forwarded(message, reply_to, now_ms)
        else:
            reply = self._make_reply(message, now_ms)
            self.state.outbox.reply(reply_to, reply)

    def _make_reply(self, message: Message, now_ms: int) -> Message:
        state = self.state
        match message:
            case Announce(worker):
                state.note_generation(worker.generation)
                if worker.region == state.entry.region:
                    state.view.take_state(worker, 0, now_ms)
                return state.make_welcome(worker.worker_id)
            case Heartbeat():
                return self._take_heartbeat(message, now_ms)
            case AttemptReport():
                if self.dispatcher.attempt_tracker.take_report(message, now_ms):
                    return Ack()
                return Malformed('this entry does not have the job')
            case ViewDelta():
                return self.view_sync.take_delta(message, now_ms)
            case QueryJob(organisation, job_id):
                return self.job_requests.find_status(organisation, job_id)
            case CancelJob(organisation, job_id):
                return self.job_requests.cancel_here(organisation, job_id, now_ms)
            case _:
                return Malformed(f'an entry does not take {type(message).__name__}')

    def _take_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> Message:
        state = self.state
        state.note_generation(heartbeat.generation)
        known = state.view.take_heartbeat(
            heartbeat.worker_id,
            heartbeat.incarnation,
            heartbeat.version,
            now_ms,
            heartbeat.generation,
            heartbeat.plan_epoch,
        )
        return state.make_welcome(
            heartbeat.worker_id,
            announce=not known,
            known_entries=heartbeat.entries,
            known_epoch=heartbeat.plan_epoch,
        )

    def _take_reply(self, tag: str, reply: Message | None, now_ms: int) -> None:
        kind, _, rest = tag.partition(':')
        match kind:
            case 'prepare':
                attempt_id, _, index = rest.partition('#')
                self.dispatcher.acquirer.take_prepare_reply(
                    attempt_id,
                    int(index),
                    reply,
                    now_ms,
                )
            case 'launch':
                self.dispatcher.acquirer.take_launch_reply(rest, reply, now_ms)
            case 'settle' | 'stop':
                self.dispatcher.attempt_tracker.take_attempt_status(rest, reply, now_ms)
            case 'submit':
                self.forwarder.take_submit_reply(tag, reply)
            case 'forward':
                self.forwarder.take_reply(tag, reply, now_ms)
            case 'delta':
                self.view_sync.take_reply(rest, reply)

    def _take_store_reply(self, tag: str, result, now_ms: int) -> None:
        kind, _, rest = tag.partition(':')
        match kind:
            case 'lookup':
                self.forwarder.take_record(tag, result, now_ms)
            case 'scan':
                self.adopter.take_scan(result, now_ms)
            case 'adopt':
                self.adopter.take_result(rest, result, now_ms)
            case _:
                step = self.recorder.take_result(kind, rest, result, now_ms)
                self.dispatcher.acquirer.take_record_step(step, rest, now_ms)

    def _tick(self, now_ms: int) -> None:
        state = self.state
        for worker_id in state.view.expire(now_ms):
            state.outbox.log('worker_absent', worker=worker_id)
        self.dispatcher.tick(now_ms)
        self.job_requests.tick(now_ms)
        self.forwarder.tick(now_ms)
        self.adopter.tick(now_ms)
        self.view_sync.tick(now_ms)
        self.planner.tick(now_ms)
        self.handover.tick(now_ms)
        if now_ms >= self.next_flush_ms:
            self.next_flush_ms = now_ms + FLUSH_INTERVAL_MS
            self._flush(now_ms)

    def _flush(self, now_ms: int) -> None:
        state = self.state
        written = 0
        for job_id in self._find_expired(now_ms):
            if state.jobs[job_id].recorded or not state.store_up:
                del state.jobs[job_id]
        for job_id in list(state.jobs.open):
            job = state.jobs[job_id]
            if (
                job.state is JobState.ENDED
                and now_ms >= job.ended_ms + ENDED_RETENTION_MS
            ):
                continue
            pending = job.decided is not None and not job.recorded
            unstored = job.revision == 0 or not job.record_known
            if (pending or unstored) and not job.writing and written < FLUSH_LIMIT:
                written += 1
                self.recorder.flush(job_id)

    def _find_expired(self, now_ms: int) -> list[str]:
        expired = []
        for job_id in self.state.jobs.ended:
            if now_ms < self.state.jobs[job_id].ended_ms + ENDED_RETENTION_MS:
                break
            expired.append(job_id)
        return expired

    def _describe(self, now_ms: int) -> dict[str, object]:
        state = self.state
        states: dict[str, int] = {}
        for job in state.jobs.values():
            states[job.state.value] = states.get(job.state.value, 0) + 1
        workers = [
            {
                'worker': worker_id,
                'domain': record.state.domain,
                'rack': record.state.rack,
                'accelerators': record.state.accelerators,
                'used': sum(grant.accelerators for grant in record.state.grants),
                'owned': state.view.owned.get(worker_id, {}),
                'draining': record.state.draining,
                'suspect': state.view.is_suspect(worker_id, now_ms),
                'generation': record.state.generation,
                'plan_epoch': record.state.plan_epoch,
            }
            for worker_id, record in sorted(state.view.workers.items())
        ]
        return {
            'address': state.entry.address,
            'incarnation': state.entry.incarnation,
            'region': state.entry.region,
            'serving': state.is_serving,
            'fenced': state.fenced,
            'draining': state.draining,
            'store_up': state.store_up,
            'generation': state.generation,
            'plan_epoch': state.plan.epoch if state.plan else 0,
            'entries': [entry.address for entry in state.entries],
            'jobs': states,
            'organisations': report_organisations(state),
            'workers': workers,
        }
