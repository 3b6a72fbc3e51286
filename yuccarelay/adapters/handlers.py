"""Tornado handlers of the front end, one class for each endpoint."""

from typing import TYPE_CHECKING

from result import Err, Ok

from yuccarelay.adapters import bodies, replies
from yuccarelay.adapters.base_handler import BaseHandler
from yuccarelay.adapters.bodies import Refused
from yuccarelay.adapters.replies import HttpReply, make_reply, reply_error
from yuccarelay.adapters.tables import format_status
from yuccarelay.core.effects import NotAccepted, StatusDocument
from yuccarelay.core.events import (
    CancelRequested,
    IdRequested,
    QueryRequested,
    StatusRequested,
    SubmitRequested,
)
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, FieldError
from yuccarelay.core.messages import JobStatus
from yuccarelay.tasks.answers import FETCH_LIMIT_MS
from yuccarelay.tasks.messages import (
    CommitManifest,
    Committed,
    FetchFullAnswer,
)

if TYPE_CHECKING:
    from yuccarelay.adapters.web import FrontEnd


def make_routes(front: 'FrontEnd') -> list[tuple]:
    """Return the routes of all endpoints."""
    arguments = {'front': front}
    job_id = r'([0-9A-Za-z-]{1,64})'
    return [
        (r'/v1/ids', IdsHandler, arguments),
        (r'/v1/jobs', JobsHandler, arguments),
        (rf'/v1/jobs/{job_id}', JobHandler, arguments),
        (rf'/v1/jobs/{job_id}/answer', AnswerHandler, arguments),
        (r'/v1/manifest', ManifestHandler, arguments),
        (r'/v1/status', StatusHandler, arguments),
        (r'/v1/histograms', HistogramsHandler, arguments),
        (r'/healthz', HealthHandler, arguments),
    ]


class UnknownHandler(BaseHandler):
    """Any path that is not an endpoint."""

    audience = 'anyone'

    def prepare(self) -> None:
        """Answer 404 to every method."""
        self.send_error(404)


class IdsHandler(BaseHandler):
    """`POST /v1/ids`."""

    async def post(self) -> None:
        """Issue a job id."""
        await self.serve(self.mint)

    async def mint(self) -> HttpReply:
        """Request a job id from the state machine."""
        organisation = self.caller.organisation
        response = await self.send_to_state_machine(
            lambda n: IdRequested(n, organisation)
        )
        return reply_or_unanswered(response)


class SubmitHandler(BaseHandler):
    """Common part of `POST /v1/jobs` and `PUT /v1/jobs/<id>`."""

    body_limit = bodies.PAYLOAD_LIMIT_BYTES + bodies.ENVELOPE_LIMIT_BYTES

    async def submit(self, job_id: str) -> HttpReply:
        """Read the body and submit the job."""
        read = bodies.read_submission(
            bytes(self.body),
            self.get_query_argument('job', ''),
        )
        key = bodies.read_key(self.request.headers.get('Idempotency-Key', ''))
        match read, key:
            case Err(refused), _:
                return reply_error(refused)
            case _, Err(refused):
                return reply_error(refused)
        submission, key = read.ok_value, key.ok_value
        response = await self.send_to_state_machine(
            lambda request_id: SubmitRequested(
                request_id=request_id,
                organisation=self.caller.organisation,
                job_name=submission.job_name,
                payload=submission.payload,
                key=key,
                job_id=job_id,
            ),
        )
        if response is None:
            return replies.reply_undecided(job_id=job_id)
        return replies.reply_response(response)


class JobsHandler(SubmitHandler):
    """`POST /v1/jobs`."""

    async def post(self) -> None:
        """Submit a job under a new id."""
        await self.serve(self.submit, '')


class JobHandler(SubmitHandler):
    """`PUT`, `GET` and `DELETE /v1/jobs/<id>`."""

    async def put(self, job_id: str) -> None:
        """Submit a job under an id that was issued before."""
        await self.serve(self.submit, job_id)

    async def get(self, job_id: str) -> None:
        """Report the status of a job."""
        await self.serve(self.report, job_id)

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        await self.serve(self.cancel, job_id)

    async def report(self, job_id: str) -> HttpReply:
        """Query the status of the job; `wait_ms` is how long to wait for its end."""
        wait = bodies.read_wait(self.get_query_argument('wait_ms', '0'))
        match wait:
            case Err(refused):
                return reply_error(refused)
            case Ok(wait_ms):
                response = await query_job(self, job_id, wait_ms)
                return reply_or_unanswered(response)

    async def cancel(self, job_id: str) -> HttpReply:
        """Request the cancellation from the state machine."""
        organisation = self.caller.organisation
        response = await self.send_to_state_machine(
            lambda n: CancelRequested(n, organisation, job_id),
        )
        return reply_or_unanswered(hide_foreign(response, organisation))


class AnswerHandler(BaseHandler):
    """`GET /v1/jobs/<id>/answer`."""

    async def get(self, job_id: str) -> None:
        """Send the whole answer."""
        await self.serve(self.fetch, job_id)

    async def fetch(self, job_id: str) -> HttpReply:
        """Query where the answer is stored, and fetch it."""
        status = await query_job(self, job_id, wait_ms=0)
        if not isinstance(status, JobStatus) or not status.found:
            return reply_or_unanswered(status)
        if status.outcome is None:
            rule = 'must have ended; its state is ' + status.state
            return reply_no_answer('not_ended', rule)
        if status.outcome.kind != 'completed':
            rule = 'must have completed; its outcome is ' + status.outcome.kind
            return reply_no_answer('no_answer', rule)
        front = self.front
        answer = await front.send_and_wait(
            front.answers,
            lambda n: FetchFullAnswer(n, status.outcome.parts, front.inbox),
            FETCH_LIMIT_MS,
        )
        return reply_unanswered() if answer is None else replies.reply_answer(answer)


class ManifestHandler(BaseHandler):
    """`GET` and `PUT /v1/manifest`."""

    audience = 'operator'
    body_limit = MANIFEST_LIMIT_BYTES

    async def get(self) -> None:
        """Send the text of the manifest in force here; `ETag` has its generation."""
        if self.front.manifest is None:
            error = FieldError('manifest', 'has not been committed yet')
            self.send(reply_error(Refused(404, 'no_manifest', (error,))))
            return
        etag = ('ETag', f'"{self.front.generation}"')
        self.send(HttpReply(200, self.front.manifest_text, (etag,)))

    async def put(self) -> None:
        """Commit a manifest."""
        await self.serve(self.commit)

    async def commit(self) -> HttpReply:
        """Send the text to the store task, which validates and commits it."""
        match bodies.read_generation(self.request.headers.get('If-Match', '')):
            case Err(refused):
                return reply_error(refused)
            case Ok(generation):
                front = self.front
                text = bytes(self.body)
                result = await front.send_and_wait(
                    front.store_task,
                    lambda n: CommitManifest(n, text, generation, front.inbox),
                )
                if result is None:
                    return replies.reply_undecided()
                if isinstance(result, Committed):
                    await front.wait_published(result.generation)
                return replies.reply_commit(result)


class StatusHandler(BaseHandler):
    """`GET /v1/status`, as JSON or with `?format=text` as tables."""

    audience = 'operator'

    async def get(self) -> None:
        """Send the state of the entry."""
        await self.serve(self.describe)

    async def describe(self) -> HttpReply:
        """Query the state from the state machine."""
        read = bodies.read_format(self.get_query_argument('format', 'json'))
        if isinstance(read, Err):
            return reply_error(read.err_value)
        response = await self.send_to_state_machine(StatusRequested)
        match read.ok_value, response:
            case 'text', StatusDocument(fields):
                return replies.reply_text(format_status(fields))
        return reply_or_unanswered(response)


class HistogramsHandler(BaseHandler):
    """`GET /v1/histograms`, as JSON or with `?format=text` as a table."""

    audience = 'operator'

    async def get(self) -> None:
        """Send the histograms."""
        metrics = self.front.metrics
        match bodies.read_format(self.get_query_argument('format', 'json')):
            case Err(refused):
                self.send(reply_error(refused))
            case Ok('text'):
                self.send(replies.reply_text(metrics.format_histograms()))
            case Ok():
                rows = [row._asdict() for row in metrics.list_histograms()]
                self.send(make_reply(200, {'histograms': rows}))


class HealthHandler(BaseHandler):
    """`GET /healthz`, for the load balancer."""

    audience = 'anyone'

    async def head(self) -> None:
        """Answer like `get`; tornado leaves the body out."""
        await self.get()

    async def get(self) -> None:
        """Answer 200, or 503 while draining."""
        if self.front.draining:
            self.send(reply_error(Refused(status=503, code='draining')))
            return
        self.send(make_reply(200, {'status': 'ok'}))


async def query_job(handler: BaseHandler, job_id: str, wait_ms: int):
    """Query the status of a job of the caller's organisation."""
    organisation = handler.caller.organisation
    response = await handler.send_to_state_machine(
        lambda n: QueryRequested(n, organisation, job_id, wait_ms),
        wait_ms,
    )
    return hide_foreign(response, organisation)


def hide_foreign(response: object, organisation: str) -> object:
    """Replace the status of another organisation's job by *not found*."""
    match response:
        case JobStatus(job_id=job_id, organisation=owner) if owner != organisation:
            return JobStatus(job_id=job_id, found=False)
        case NotAccepted(code='forbidden'):
            return JobStatus(job_id='', found=False)
    return response


def reply_or_unanswered(response: object | None) -> HttpReply:
    """Return the reply for a response, or 503 if there was none."""
    if response is None:
        return reply_unanswered()
    return replies.reply_response(response)


def reply_unanswered() -> HttpReply:
    """Return the reply to a request without a response; it is safe to repeat."""
    retry_ms = replies.UNDECIDED_RETRY_MS
    return reply_error(Refused(status=503, code='no_response', retry_ms=retry_ms))


def reply_no_answer(code: str, rule: str) -> HttpReply:
    """Return the reply for a job that has no answer."""
    return reply_error(Refused(409, code, (FieldError('job_id', rule),)))
