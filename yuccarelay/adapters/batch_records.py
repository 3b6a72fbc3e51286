"""Store keys, and the encoding of jobs, their records and agent addresses."""

import msgspec
from result import Err, Ok, Result

from yuccarelay.core.batch.models import Job, JobRecord
from yuccarelay.core.batch.protocol import AgentAddress

ROOT = 'yuccarelay/'
JOBS = ROOT + 'job/'
RECORDS = ROOT + 'run/'
CANCELS = ROOT + 'cancel/'
AGENTS = ROOT + 'agent/'
ENTRIES = ROOT + 'entry/'
PLANNER = ROOT + 'planner'

JOB_DECODER = msgspec.json.Decoder(Job)
RECORD_DECODER = msgspec.json.Decoder(JobRecord)


def encode(value: Job | JobRecord) -> bytes:
    """Return a value as a JSON array of its fields."""
    return msgspec.json.encode(value)


def decode_job(data: bytes) -> Result[Job, str]:
    """Decode a job."""
    return _decode(JOB_DECODER, data)


def decode_record(data: bytes) -> Result[JobRecord, str]:
    """Decode a job record."""
    return _decode(RECORD_DECODER, data)


def encode_agent(agent_address: AgentAddress) -> bytes:
    """Return the address and the incarnation, separated by a space."""
    return f'{agent_address.address} {agent_address.incarnation}'.encode()


def decode_agent(data: bytes) -> Result[AgentAddress, str]:
    """Decode the address and the incarnation of an agent."""
    address, _, incarnation = data.decode(errors='replace').partition(' ')
    if not incarnation.isdecimal():
        return Err(f'no incarnation in {address[:60]!r}')
    return Ok(AgentAddress(address, int(incarnation)))


def _decode(decoder, data: bytes):
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(str(error))
