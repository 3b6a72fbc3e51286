"""Store keys, and the encoding of jobs, their records and agent addresses."""

import hashlib
import re

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.adapters.decoding import Count, Integer
from yuccarelay.core.batch.configuration_feed import EntryLink
from yuccarelay.core.batch.known_queues import QueueTerms
from yuccarelay.core.batch.models import AdviceTerms, Job, JobRecord
from yuccarelay.core.batch.protocol import AgentAddress
from yuccarelay.core.batch.run_time_record import (
    LARGEST_SPEED,
    LARGEST_SPREAD,
    LARGEST_WEIGHT,
    LONGEST_RUN_MS,
    RunTimesRecord,
    StoredGroup,
    StoredQueue,
)
from yuccarelay.core.batch.silence import SilenceRecord

ROOT = 'yuccarelay/'
JOBS = ROOT + 'job/'
RECORDS = ROOT + 'run/'
CANCELS = ROOT + 'cancel/'
# Sorts before the jobs, so that a planner has the terms once it learns of a job.
TERMS = ROOT + 'accepted/'
AGENTS = ROOT + 'agent/'
ENTRIES = ROOT + 'entry/'
PLANNER = ROOT + 'planner'
SILENCE = ROOT + 'silence'
RUN_TIMES = ROOT + 'run-times'
# Cancellations of jobs that were not stored yet. They lie outside of the root, because
# no process follows them: a submission finds the one that concerns it.
EARLY_CANCELS = 'yuccarelay-cancelled/'
# Names of queues and organisations may be longer than a key.
SCOPE_BYTES = 12
# Records that a planner writes about others than jobs.
PLANNER_RECORDS = (SILENCE, RUN_TIMES)
# Folders with a key for each job.
JOB_FOLDERS = (JOBS, RECORDS, CANCELS, TERMS)


class StoredTerms(msgspec.Struct, array_like=True):
    """
    Terms of a job's queue, as an array to which later versions may add items.

    They have a key of their own because older versions refuse a job with more items.
    """

    service: str
    priority: Integer
    max_attempts: Integer
    slack_factor: float
    objective_ms: Integer
    advice: tuple[Integer, Integer, Integer] | None = None


TERMS_DECODER = msgspec.json.Decoder(StoredTerms)
JOB_DECODER = msgspec.json.Decoder(Job)
RECORD_DECODER = msgspec.json.Decoder(JobRecord)
SILENCE_DECODER = msgspec.json.Decoder(tuple[Count, dict[str, Count]])
RUN_TIMES_DECODER = msgspec.json.Decoder(RunTimesRecord)
# Occurrence, step and index of a task.
TASK_KEY = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}')
ADDRESS = re.compile(r'[A-Za-z0-9._-]{1,253}:[0-9]{1,5}')
LARGEST_PORT = 65_535
INCARNATION = re.compile(r'[0-9]{1,15}')
ROUND_TRIP = re.compile(r'[0-9]{1,6}')
BANDWIDTH = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
UNKNOWN_ROUND_TRIP_MS = 999_999


def name_early_cancel(job: str, queue: str, organisation: str) -> str:
    """
    Return the key of a cancellation of a job that is not stored yet.

    It only concerns the job of this queue and organisation, because others may choose
    the same id. `organisation` is empty for callers of a public queue.
    """
    scope = hashlib.blake2b(
        msgspec.json.encode((queue, organisation)), digest_size=SCOPE_BYTES
    )
    return f'{EARLY_CANCELS}{job}/{scope.hexdigest()}'


def encode(value: Job | JobRecord | SilenceRecord | RunTimesRecord) -> bytes:
    """Return a value as a JSON array of its fields."""
    return msgspec.json.encode(value)


def decode_job(data: bytes) -> Result[Job, str]:
    """Decode a job; its steps must follow only earlier steps."""
    return decoding.decode(JOB_DECODER.decode, data).and_then(_check_steps)


def decode_record(data: bytes) -> Result[JobRecord, str]:
    """Decode a job record."""
    return decoding.decode(RECORD_DECODER.decode, data).and_then(_check_tasks)


def decode_silence(data: bytes) -> Result[SilenceRecord, str]:
    """Decode the record of silent agents."""
    decoded = decoding.decode(SILENCE_DECODER.decode, data)
    return decoded.map(lambda fields: SilenceRecord(*fields))


def decode_run_times(data: bytes) -> Result[RunTimesRecord, str]:
    """Decode the record of run times."""
    decoded = decoding.decode(RUN_TIMES_DECODER.decode, data)
    return decoded.and_then(_check_run_times)


def encode_terms(terms: QueueTerms) -> bytes:
    """Return the terms as a JSON array, without an advice if there is none."""
    return msgspec.json.encode(terms if terms.advice else terms[:-1])


def decode_terms(data: bytes) -> Result[QueueTerms, str]:
    """Decode the terms of a job's queue."""
    return decoding.decode(TERMS_DECODER.decode, data).map(_make_terms)


def encode_agent(agent_address: AgentAddress) -> bytes:
    """Return the address and the incarnation, separated by a space."""
    return f'{agent_address.address} {agent_address.incarnation}'.encode()


def decode_agent(data: bytes) -> Result[AgentAddress, str]:
    """Decode the address and the incarnation of an agent."""
    address, _, incarnation = data.decode(errors='replace').partition(' ')
    if not is_address(address):
        return Err(f'no host and port in {address[:60]!r}')
    if not INCARNATION.fullmatch(incarnation):
        return Err(f'no incarnation in {address[:60]!r}')
    return Ok(AgentAddress(address, int(incarnation)))


def is_address(text: str) -> bool:
    """Whether a text is a host and a port, for example `10.1.0.1:7000`."""
    if not ADDRESS.fullmatch(text):
        return False
    return 1 <= int(text.rpartition(':')[2]) <= LARGEST_PORT


def encode_entry(link: EntryLink) -> bytes:
    """Return the address, the region, the round trip and the bandwidth of an entry."""
    fields = (link.address, link.region, link.round_trip_ms, link.link_mbps)
    return ' '.join(map(str, fields)).encode()


def decode_entry(node: str, data: bytes) -> EntryLink:
    """
    Decode how an entry is connected.

    What cannot be read counts as unknown: such an entry ranks behind the others, and
    one without a usable address is not called.
    """
    address, *fields = data.decode(errors='replace').split(' ')
    if not is_address(address):
        address = ''
    match fields:
        case [region, round_trip_ms, link_mbps] if ROUND_TRIP.fullmatch(
            round_trip_ms
        ) and BANDWIDTH.fullmatch(link_mbps):
            return EntryLink(
                node, address, region, int(round_trip_ms), float(link_mbps)
            )
    return EntryLink(node, address, '', UNKNOWN_ROUND_TRIP_MS, 0)


def _make_terms(stored: StoredTerms) -> QueueTerms:
    return QueueTerms(
        stored.service,
        stored.priority,
        stored.max_attempts,
        stored.slack_factor,
        stored.objective_ms,
        AdviceTerms(*stored.advice) if stored.advice else None,
    )


def _check_steps(job: Job) -> Result[Job, str]:
    if not job.steps:
        return Err('a job has at least one step')
    for number, step in enumerate(job.steps):
        if step.count < 1 or any(not 0 <= one < number for one in step.after):
            return Err(f'step {number} has no tasks or follows no earlier step')
    return Ok(job)


def _check_run_times(record: RunTimesRecord) -> Result[RunTimesRecord, str]:
    for queue in record.queues:
        for group in queue.groups:
            if not is_group_valid(queue, group):
                return Err(f'a group of {queue.name[:60]!r} has impossible values')
    for speed in (*record.workers, *record.kinds):
        if not (
            abs(speed.speed) <= LARGEST_SPEED and 0 < speed.weight <= LARGEST_WEIGHT
        ):
            return Err(f'{speed.name[:60]!r} has an impossible speed')
    return Ok(record)


def is_group_valid(queue: StoredQueue, group: StoredGroup) -> bool:
    """Whether a stored group has values that logarithms and indexes can be made of."""
    times_ms = (group.submitted_ms, group.submitted_guess_ms, group.learned_guess_ms)
    return (
        all(0 <= time_ms <= LONGEST_RUN_MS for time_ms in times_ms)
        and 1 <= group.ran_ms <= LONGEST_RUN_MS
        and 0 <= group.spread <= LARGEST_SPREAD
        and 1 <= group.count <= decoding.LARGEST_INTEGER
        and 0 <= group.image < len(queue.images)
    )


def _check_tasks(record: JobRecord) -> Result[JobRecord, str]:
    for key in record.tasks:
        if not TASK_KEY.fullmatch(key):
            return Err(f'{key[:60]!r} is no occurrence, step and index')
    return Ok(record)
