"""HTTP replies to callers and operators."""

import hashlib
from typing import NamedTuple

import msgspec

from yuccarelay.adapters.bodies import Refused
from yuccarelay.core.effects import (
    Accepted,
    IdMinted,
    NotAccepted,
    Response,
    StatusDocument,
    Undecided,
)
from yuccarelay.core.manifest import FieldError
from yuccarelay.core.messages import JobStatus
from yuccarelay.core.models import OutcomeRecord
from yuccarelay.tasks.messages import (
    AnswerUnavailable,
    CommitRefused,
    Committed,
    CommitUndecided,
    FullAnswer,
)

JSON_TYPE = 'application/json; charset=utf-8'
DIGEST_HEADER = 'X-Content-SHA256'
# Retry-After of a reply to a request that was not decided.
UNDECIDED_RETRY_MS = 1_000

# Codes of refusals that have a status of their own. Any other code gets 503
# when a repeat can succeed and 400 when it cannot.
STATUS_BY_CODE = {
    'unknown_organisation': 403,
    'unknown_job': 404,
    'not_found': 404,
    'id_taken': 409,
    'unknown_id': 409,
    'key_taken': 409,
    'conflict': 409,
    'stale_generation': 409,
    'generation_conflict': 409,
    'too_large': 413,
    'manifest_too_large': 413,
    'queue_full': 429,
    'deadline': 429,
    'overloaded': 429,
    'draining': 503,
    'not_ready': 503,
    'in_progress': 503,
    'store_down': 503,
    'store_unavailable': 503,
}


class HttpReply(NamedTuple):
    """Status, body and extra headers of a reply."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


def make_reply(
    status: int,
    document: object,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpReply:
    """Return a reply with a JSON body."""
    body = msgspec.json.encode(document) + b'\n'
    return HttpReply(status=status, body=body, headers=headers)


def reply_text(text: str) -> HttpReply:
    """Return a plain-text reply."""
    return HttpReply(200, text.encode(), (), 'text/plain; charset=utf-8')


def reply_error(refused: Refused, **extra: object) -> HttpReply:
    """Return an error reply; `field` and `rule` are those of the first error."""
    first = refused.errors[0] if refused.errors else FieldError('', '')
    document = {
        'code': refused.code,
        'field': first.field,
        'rule': first.rule,
        'retry_ms': refused.retry_ms,
        'errors': [error._asdict() for error in refused.errors],
        **extra,
    }
    headers: tuple[tuple[str, str], ...] = ()
    if refused.retry_ms:
        # The header holds whole seconds; rounded down, clients would retry too early.
        headers = (('Retry-After', str(-(-refused.retry_ms // 1_000))),)
    return make_reply(refused.status, document, headers)


def reply_undecided(**extra: object) -> HttpReply:
    """Return the reply to a request that may or may not have taken effect."""
    refused = Refused(status=503, code='undecided', retry_ms=UNDECIDED_RETRY_MS)
    return reply_error(refused, **extra)


def choose_status(code: str, retry_ms: int) -> int:
    """Return the HTTP status of a refusal's code."""
    return STATUS_BY_CODE.get(code, 503 if retry_ms else 400)


def reply_response(response: Response) -> HttpReply:
    """Return the reply for a response of the entry."""
    match response:
        case Accepted(job_id, durable):
            return make_reply(202, {'job_id': job_id, 'durable': durable})
        case NotAccepted(code='not_found'):
            return reply_not_found()
        case NotAccepted(code, errors, retry_ms):
            status = choose_status(code, retry_ms)
            return reply_error(Refused(status, code, errors, retry_ms))
        case Undecided(job_id):
            return reply_undecided(job_id=job_id)
        case IdMinted(job_id):
            return make_reply(201, {'job_id': job_id})
        case JobStatus(found=False):
            return reply_not_found()
        case JobStatus():
            return make_reply(200, describe_job(response))
        case StatusDocument(fields):
            return make_reply(200, fields)


def reply_not_found() -> HttpReply:
    """Return the reply for a job that the caller's organisation does not have."""
    error = FieldError('job_id', 'must name a job of your organisation')
    return reply_error(Refused(status=404, code='not_found', errors=(error,)))


def describe_job(status: JobStatus) -> dict[str, object]:
    """Return the JSON form of a job's status."""
    return {
        'job_id': status.job_id,
        'job': status.job_name,
        'state': status.state,
        'durable': status.durable,
        'attempt': status.attempt,
        'outcome': describe_outcome(status.outcome),
    }


def describe_outcome(outcome: OutcomeRecord | None) -> dict[str, object] | None:
    """Return the JSON form of an outcome, without the addresses of its parts."""
    if outcome is None:
        return None
    parts = [
        {'member': part.member, 'length': part.length, 'sha256': part.sha256}
        for part in outcome.parts
    ]
    return {
        'kind': outcome.kind,
        'reason': outcome.reason,
        'proof': outcome.proof,
        'parts': parts,
    }


def reply_commit(result: Committed | CommitRefused | CommitUndecided) -> HttpReply:
    """Return the reply for the result of a commit."""
    match result:
        case Committed(generation):
            etag = ('ETag', f'"{generation}"')
            return make_reply(200, {'generation': generation}, (etag,))
        case CommitRefused(code, errors, generation):
            status = choose_status(code, retry_ms=0)
            retry_ms = UNDECIDED_RETRY_MS if status == 503 else 0
            refused = Refused(status, code, errors, retry_ms)
            return reply_error(refused, generation=generation)
        case CommitUndecided(reason):
            return reply_undecided(reason=reason)


def reply_answer(answer: FullAnswer | AnswerUnavailable) -> HttpReply:
    """Return the whole answer with its digest, or why it is unavailable."""
    match answer:
        case FullAnswer(_, data):
            digest = hashlib.sha256(data).hexdigest()
            return HttpReply(
                status=200,
                body=data,
                headers=((DIGEST_HEADER, digest),),
                content_type='application/octet-stream',
            )
        case AnswerUnavailable(_, reason):
            refused = Refused(
                status=503,
                code='answer_unavailable',
                retry_ms=UNDECIDED_RETRY_MS,
            )
            return reply_error(refused, reason=reason)
