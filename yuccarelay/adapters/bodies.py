"""Reading of request bodies and parameters."""

from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from yuccarelay.core.manifest import FieldError

PAYLOAD_LIMIT_BYTES = 512 * 1024
# Allowance for the job name and the JSON around a payload of the largest size.
ENVELOPE_LIMIT_BYTES = 4 * 1024
KEY_LIMIT_CHARS = 128
WAIT_LIMIT_MS = 60_000
FORMATS = ('json', 'text')

SUBMISSION_FIELDS = ('job', 'payload')


class Submission(NamedTuple):
    """A job name, and its payload in the bytes that the target receives."""

    job_name: str
    payload: bytes


class Refused(NamedTuple):
    """Why a request is refused, with the HTTP status and a stable error code."""

    status: int
    code: str
    errors: tuple[FieldError, ...] = ()
    retry_ms: int = 0


def refuse_field(field: str, rule: str, code: str = 'invalid') -> Refused:
    """Return the refusal of one field with status 400."""
    return Refused(status=400, code=code, errors=(FieldError(field, rule),))


def read_submission(body: bytes, job_name: str) -> Result[Submission, Refused]:
    """
    Read a job from a body.

    If the query gave a `job_name`, the body is the payload. Otherwise the body is
    `{"job": name, "payload": any JSON}`, and the payload is kept byte for byte.
    """
    if job_name:
        return check_payload(Submission(job_name=job_name, payload=body))
    try:
        # msgspec does not check for valid UTF-8 inside a raw value.
        body.decode()
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.ValidationError:
        return Err(refuse_field('body', 'must be a JSON object', 'wrong_type'))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Err(refuse_field('body', 'must be well-formed JSON', 'malformed_json'))
    except RecursionError:
        return Err(refuse_field('body', 'is nested too deeply', 'malformed_json'))
    errors = [
        FieldError(name, 'is not a known field')
        for name in fields
        if name not in SUBMISSION_FIELDS
    ]
    errors += [
        FieldError(name, 'is required')
        for name in SUBMISSION_FIELDS
        if name not in fields
    ]
    if errors:
        return Err(Refused(status=400, code='invalid', errors=tuple(errors)))
    try:
        name = msgspec.json.decode(fields['job'], type=str)
    except msgspec.MsgspecError:
        return Err(refuse_field('job', 'must be a string', 'wrong_type'))
    if not name:
        return Err(refuse_field('job', 'must not be empty'))
    return check_payload(Submission(job_name=name, payload=bytes(fields['payload'])))


def check_payload(submission: Submission) -> Result[Submission, Refused]:
    """Refuse a payload above the limit."""
    if len(submission.payload) <= PAYLOAD_LIMIT_BYTES:
        return Ok(submission)
    return Err(refuse_size('payload', PAYLOAD_LIMIT_BYTES))


def refuse_size(field: str, limit: int) -> Refused:
    """Return the refusal of an oversized body."""
    error = FieldError(field, f'must have at most {limit} bytes')
    return Refused(status=413, code='too_large', errors=(error,))


def read_key(text: str) -> Result[str, Refused]:
    """Read an idempotency key; an empty text means no key."""
    if len(text) <= KEY_LIMIT_CHARS and (not text or text.isprintable()):
        return Ok(text)
    rule = f'must have at most {KEY_LIMIT_CHARS} printable characters'
    return Err(refuse_field('Idempotency-Key', rule))


def read_wait(text: str) -> Result[int, Refused]:
    """Read the `wait_ms` parameter."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= 9
    if is_number and int(text) <= WAIT_LIMIT_MS:
        return Ok(int(text))
    return Err(refuse_field('wait_ms', f'must be a number from 0 to {WAIT_LIMIT_MS}'))


def read_format(text: str) -> Result[str, Refused]:
    """Read the `format` parameter of a document for operators."""
    if text in FORMATS:
        return Ok(text)
    return Err(refuse_field('format', 'must be one of ' + ', '.join(FORMATS)))


def read_generation(text: str) -> Result[int, Refused]:
    """Read the generation in `If-Match`, with or without quotes."""
    digits = text.strip().strip('"')
    if digits.isascii() and digits.isdecimal() and len(digits) <= 18:
        return Ok(int(digits))
    rule = 'must be the generation that the manifest replaces, 0 for the first'
    return Err(refuse_field('If-Match', rule))
