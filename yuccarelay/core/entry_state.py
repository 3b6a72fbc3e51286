"""State of an entry that its parts share."""

from typing import NamedTuple

from yuccarelay.core.admission import StartHistory
from yuccarelay.core.effects import (
    Accepted,
    NotAccepted,
    Observe,
    RespondToCaller,
    Response,
    Undecided,
)
from yuccarelay.core.entry_assignment import digest_entries
from yuccarelay.core.guarantee_plan import Plan, index_shares
from yuccarelay.core.health import HealthTracker
from yuccarelay.core.history import RunHistory
from yuccarelay.core.jobs import Job, JobTable
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.membership import FleetView
from yuccarelay.core.messages import JobStatus, SubmitReply, Welcome
from yuccarelay.core.models import (
    EntryRef,
    JobState,
    Outcome,
    OwnedShare,
    parse_job_id,
)
from yuccarelay.core.ordering import Queue
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.placement import PlacementPolicy
from yuccarelay.core.retry import RetryBudget
from yuccarelay.ports.randomness import RandomSource

REFUSAL_RETRY_MS = 1_000
# Code of a `SubmitReply` when the job may have been accepted.
UNDECIDED = 'undecided'


class Waiter(NamedTuple):
    """A caller that waits for a job's end until a deadline."""

    request_id: int
    deadline_ms: int


class EntryState:
    """
    Jobs, queue, view and configuration of one entry.

    `entry.incarnation` is 0 until the store has registered the entry. While
    `fenced`, other entries may have adopted the stored jobs, and none of them
    is dispatched.
    """

    def __init__(
        self,
        entry: EntryRef,
        rng: RandomSource,
        queue: Queue,
        policy: PlacementPolicy = PlacementPolicy.BUDDY,
    ):
        self.entry = entry
        self.rng = rng
        self.queue = queue
        self.policy = policy
        self.outbox = Outbox(entry.address)
        self.view = FleetView()
        self.health: dict[str, HealthTracker] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.run_history = RunHistory()
        self.start_history = StartHistory()
        self.jobs = JobTable()
        self.waiters: dict[str, list[Waiter]] = {}
        self.entries: tuple[EntryRef, ...] = ()
        self.entries_digest = digest_entries(())
        self.earlier_incarnations: set[int] = set()
        self.generation = 0
        self.manifest: Manifest | None = None
        self.highest_generation = 0
        self.plan: Plan | None = None
        self.shares: dict[str, tuple[OwnedShare, ...]] = {}
        self.store_up = False
        self.fenced = True
        self.draining = False
        self.next_number = 1

    @property
    def is_serving(self) -> bool:
        """Whether the entry may accept and dispatch jobs under its manifest."""
        return (
            self.manifest is not None
            and self.entry.incarnation > 0
            and self.generation >= self.highest_generation
            and not self.draining
        )

    def note_generation(self, generation: int) -> None:
        """Record a manifest generation that some process has in force."""
        self.highest_generation = max(self.highest_generation, generation)

    def take_plan(self, plan: Plan) -> None:
        """Put a guarantee plan in force."""
        self.plan = plan
        self.shares = index_shares(plan)
        self.view.owned = {
            worker_id: {share.organisation: share.accelerators for share in shares}
            for worker_id, shares in self.shares.items()
        }

    def mint_job_id(self) -> str:
        """Return a new job id."""
        job_id = f'{self.entry.incarnation}-{self.next_number}'
        self.next_number += 1
        return job_id

    def update(self, job_id: str, **changes: object) -> Job:
        """Change a job and return it."""
        job = self.jobs[job_id]._replace(**changes)
        self.jobs[job_id] = job
        return job

    def find_current(
        self,
        attempt_id: str,
        job_state: JobState | None = None,
    ) -> Job | None:
        """Return the job whose current attempt this is, in that state if given."""
        job = self.jobs.get(parse_job_id(attempt_id))
        if job is None or job.attempt_id != attempt_id:
            return None
        if job_state is not None and job.state is not job_state:
            return None
        return job

    def find_health(self, service: str) -> HealthTracker:
        """Return the health of the workers of a service."""
        return self.health.setdefault(service, HealthTracker())

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self.budgets.setdefault(service, RetryBudget())

    def enqueue(self, job_id: str) -> None:
        """Put a job into the queue for its next attempt."""
        job = self.update(job_id, state=JobState.QUEUED)
        self.queue.remove(job_id)
        self.queue.push(job.make_queued())

    def remove_job(self, job_id: str) -> None:
        """Drop a job that another entry owns now."""
        job = self.jobs.pop(job_id, None)
        self.queue.remove(job_id)
        if job is not None:
            self.view.drop_pending(job.attempt_id, job.members)
            self.outbox.log('job_handed_over', job_id=job_id)

    def respond(self, request_id: int, response: Response) -> None:
        """Respond to a caller, or if the id is negative to the forwarding entry."""
        if request_id > 0:
            self.outbox.add(RespondToCaller(request_id, response))
        elif request_id < 0:
            self.outbox.reply(-request_id, _make_submit_reply(response))

    def refuse(self, request_id: int, code: str) -> None:
        """Refuse a request, with a time to retry unless the code is `not_found`."""
        retry_ms = 0 if code == 'not_found' else REFUSAL_RETRY_MS
        self.respond(request_id, NotAccepted(code, retry_ms=retry_ms))

    def publish_end(self, job_id: str, outcome: Outcome, now_ms: int) -> None:
        """Make an outcome visible to callers."""
        job = self.update(
            job_id,
            state=JobState.ENDED,
            outcome=outcome,
            ended_ms=now_ms,
        )
        kind = type(outcome).__name__
        self.outbox.log('job_ended', job_id=job_id, outcome=kind, attempt=job.attempt)
        self.outbox.count(f'jobs.{kind}')
        self.observe('completion', job, now_ms - job.submitted_ms)
        for waiter in self.waiters.pop(job_id, []):
            self.respond(waiter.request_id, job.make_status())

    def observe(self, name: str, job: Job, value_ms: int) -> None:
        """Record a time in the histogram of the job's organisation and class."""
        self.outbox.add(
            Observe(
                name=name,
                organisation=job.spec.organisation,
                job_class=job.spec.job_class.value,
                value_ms=value_ms,
            ),
        )

    def find_entry(self, incarnation: int) -> EntryRef | None:
        """Return the live entry of an incarnation."""
        for entry in self.entries:
            if entry.incarnation == incarnation:
                return entry
        return None

    def find_peers(self) -> list[EntryRef]:
        """Return the other live entries of the region."""
        return [
            entry
            for entry in self.entries
            if entry.region == self.entry.region and entry.address != self.entry.address
        ]

    def find_in_region(self, region: str) -> list[EntryRef]:
        """Return the live entries of a region."""
        return [entry for entry in self.entries if entry.region == region]

    def make_welcome(
        self,
        worker_id: str,
        announce: bool = False,
        known_entries: int = 0,
        known_epoch: int = 0,
    ) -> Welcome:
        """
        Return the parts of the configuration that an agent does not have yet.

        Epochs of different regions are not comparable, so an agent of another
        region does not receive this region's plan.
        """
        plan = self.plan if worker_id in self.view.workers else None
        epoch = plan.epoch if plan else 0
        is_current = known_entries == self.entries_digest
        # The epoch is sent only with its shares. An agent that restarted since its
        # last contact would apply a bare epoch, and own nothing from then on.
        is_newer = epoch > known_epoch
        return Welcome(
            entries=() if is_current else self.entries,
            generation=self.generation,
            plan_epoch=epoch if is_newer else 0,
            owned=self.shares.get(worker_id, ()) if is_newer else (),
            announce=announce,
            heartbeat_ms=self.view.heartbeat_ms,
        )


def _make_submit_reply(response: Response) -> SubmitReply:
    match response:
        case Accepted(job_id, durable):
            return SubmitReply(job_id, durable)
        case NotAccepted(code, _, retry_ms):
            return SubmitReply('', code=code, retry_ms=retry_ms)
        case Undecided(job_id):
            return SubmitReply(job_id, code=UNDECIDED)
        case JobStatus(job_id, durable=durable):
            return SubmitReply(job_id, durable)
        case _:
            raise TypeError(f'unexpected response to a submission: {response!r}')
