"""
Requests that another entry has to answer, or the store when no entry can.

A job's id names the entry that minted it. When that entry is gone or does not have
the job, its record names the owner.
"""

from dataclasses import dataclass

from yuccarelay.core.effects import Accepted, LoadRecord, NotAccepted, Undecided
from yuccarelay.core.entry_state import UNDECIDED, EntryState
from yuccarelay.core.events import (
    CancelRequested,
    Loaded,
    QueryRequested,
    StoreResult,
    SubmitRequested,
    Unavailable,
)
from yuccarelay.core.jobs import make_record_status
from yuccarelay.core.messages import (
    CancelJob,
    JobStatus,
    Message,
    QueryJob,
    SubmitJob,
    SubmitReply,
)
from yuccarelay.core.models import JobRecord, JobState, parse_incarnation
from yuccarelay.core.ordering import NO_DEADLINE_MS

POLL_INTERVAL_MS = 300
# Covers a round trip between regions and a store write of the other entry.
SUBMIT_TIMEOUT_MS = 5_000
SUBMISSIONS_KEPT = 10_000


@dataclass(frozen=True, slots=True)
class ForwardQuery:
    """
    A query of another entry's job; repeated until its end or the deadline.

    `record` is the job's record once it has been read.
    """

    request_id: int
    organisation: str
    job_id: str
    deadline_ms: int
    record: JobRecord | None = None


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """A cancellation of another entry's job."""

    request_id: int
    organisation: str
    job_id: str
    record: JobRecord | None = None


Forward = ForwardQuery | ForwardCancel


class Forwarder:
    """Sends callers' requests to other entries and passes on the replies."""

    def __init__(self, state: EntryState):
        self.state = state
        self.forwards: dict[str, Forward] = {}
        self.pending_submissions: dict[str, int] = {}
        self.submission_addresses: dict[str, str] = {}
        self.polls: list[tuple[int, ForwardQuery]] = []
        self.next_tag = 1

    def submit(self, event: SubmitRequested, region: str) -> None:
        """Forward a submission with its id to an entry of another region."""
        entries = self.state.find_in_region(region)
        if not entries or event.request_id < 0:
            self.state.refuse(event.request_id, 'region_unreachable')
            return
        entry = entries[int(self.state.rng.random() * len(entries))]
        self.submission_addresses[event.job_id] = entry.address
        if len(self.submission_addresses) > SUBMISSIONS_KEPT:
            del self.submission_addresses[next(iter(self.submission_addresses))]
        self.state.outbox.count('jobs.forwarded')
        self._send_submission(event, entry.address)

    def repeat_submission(self, event: SubmitRequested) -> bool:
        """
        Send a repeated submission to the entry that received the first one.

        Another entry could accept the same id a second time while the store is
        down. Returns whether the id was forwarded before.
        """
        address = self.submission_addresses.get(event.job_id)
        if address is not None:
            self._send_submission(event, address)
        return address is not None

    def _send_submission(self, event: SubmitRequested, address: str) -> None:
        tag = f'submit:{self.next_tag}:{event.job_id}'
        self.next_tag += 1
        self.pending_submissions[tag] = event.request_id
        message = SubmitJob(
            job_id=event.job_id,
            organisation=event.organisation,
            job_name=event.job_name,
            payload=event.payload,
            key=event.key,
        )
        self.state.outbox.send(address, message, tag, SUBMIT_TIMEOUT_MS)

    def take_submit_reply(self, tag: str, reply: Message | None) -> None:
        """Pass the other entry's reply on to the caller."""
        request_id = self.pending_submissions.pop(tag, 0)
        match reply:
            case SubmitReply(job_id, durable, code='') if job_id:
                self.state.respond(request_id, Accepted(job_id, durable))
            case SubmitReply(code=code, retry_ms=retry_ms) if code != UNDECIDED:
                self.state.respond(request_id, NotAccepted(code, retry_ms=retry_ms))
            case _:
                job_id = tag.rpartition(':')[2]
                self.state.respond(request_id, Undecided(job_id))

    def query(self, event: QueryRequested, now_ms: int) -> None:
        """Query the status of a job that this entry does not have."""
        self._forward_to_minter(
            ForwardQuery(
                request_id=event.request_id,
                organisation=event.organisation,
                job_id=event.job_id,
                deadline_ms=now_ms + event.wait_ms,
            ),
        )

    def cancel(self, event: CancelRequested) -> None:
        """Forward a cancellation to the owner of the job."""
        forward = ForwardCancel(event.request_id, event.organisation, event.job_id)
        self._forward_to_minter(forward)

    def take_reply(self, tag: str, reply: Message | None, now_ms: int) -> None:
        """Handle an entry's reply; read the record if it does not have the job."""
        forward = self.forwards.pop(tag, None)
        if forward is None:
            return
        if isinstance(reply, JobStatus) and reply.found:
            self._answer(forward, reply, now_ms)
        elif forward.record is None:
            self._load(forward)
        else:
            self._answer_from_record(forward, forward.record, now_ms)

    def take_record(self, tag: str, result: StoreResult, now_ms: int) -> None:
        """Handle the record of a job: query its owner, or answer from the record."""
        forward = self.forwards.pop(tag, None)
        if forward is None:
            return
        match result:
            case Loaded(record, _) if record.organisation == forward.organisation:
                owner = self.state.find_entry(record.owner)
                was_asked = record.owner == parse_incarnation(record.job_id)
                is_own = owner is None or owner.address == self.state.entry.address
                if record.state is JobState.ENDED or was_asked or is_own:
                    self._answer_from_record(forward, record, now_ms)
                else:
                    self._send(_add_record(forward, record), owner.address)
            case Unavailable():
                self.state.refuse(forward.request_id, 'store_unavailable')
            case _:
                self.state.refuse(forward.request_id, 'not_found')

    def tick(self, now_ms: int) -> None:
        """Repeat the queries that are due, for callers that wait."""
        # A draining entry does not keep callers waiting; they can use another entry.
        limit_ms = NO_DEADLINE_MS if self.state.draining else now_ms
        due = [forward for due_ms, forward in self.polls if due_ms <= limit_ms]
        self.polls = [poll for poll in self.polls if poll[0] > limit_ms]
        for forward in due:
            self._forward_to_minter(forward)

    def has_open(self) -> bool:
        """Whether a caller still waits for another entry or for the store."""
        return bool(self.forwards or self.polls or self.pending_submissions)

    def _forward_to_minter(self, forward: Forward) -> None:
        owner = self.state.find_entry(parse_incarnation(forward.job_id))
        if owner is None or owner.address == self.state.entry.address:
            self._load(forward)
        else:
            self._send(forward, owner.address)

    def _send(self, forward: Forward, address: str) -> None:
        match forward:
            case ForwardQuery(_, organisation, job_id):
                message: Message = QueryJob(organisation, job_id)
            case ForwardCancel(_, organisation, job_id):
                message = CancelJob(organisation, job_id)
        self.state.outbox.send(
            address, message, self._register_forward(forward, 'forward')
        )

    def _load(self, forward: Forward) -> None:
        if not self.state.store_up:
            self.state.refuse(forward.request_id, 'store_unavailable')
            return
        tag = self._register_forward(forward, 'lookup')
        self.state.outbox.add(LoadRecord(tag, forward.job_id))

    def _register_forward(self, forward: Forward, kind: str) -> str:
        tag = f'{kind}:{self.next_tag}'
        self.next_tag += 1
        self.forwards[tag] = forward
        return tag

    def _answer_from_record(
        self,
        forward: Forward,
        record: JobRecord,
        now_ms: int,
    ) -> None:
        if isinstance(forward, ForwardCancel) and record.state is not JobState.ENDED:
            # An entry is about to adopt the job, which can be cancelled after that.
            self.state.refuse(forward.request_id, 'owner_unavailable')
            return
        self._answer(forward, make_record_status(record), now_ms)

    def _answer(self, forward: Forward, status: JobStatus, now_ms: int) -> None:
        match forward:
            case ForwardQuery(deadline_ms=deadline_ms) if (
                status.outcome is None
                and now_ms + POLL_INTERVAL_MS < deadline_ms
                and not self.state.draining
            ):
                self.polls.append((now_ms + POLL_INTERVAL_MS, forward))
            case _:
                self.state.respond(forward.request_id, status)


def _add_record(forward: Forward, record: JobRecord) -> Forward:
    match forward:
        case ForwardQuery(request_id, organisation, job_id, deadline_ms):
            return ForwardQuery(request_id, organisation, job_id, deadline_ms, record)
        case ForwardCancel(request_id, organisation, job_id):
            return ForwardCancel(request_id, organisation, job_id, record)
