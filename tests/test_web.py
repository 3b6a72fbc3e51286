"""Tests of the HTTP front end against a scripted state machine."""

import asyncio
import hashlib
import json
import unittest

from tornado import testing
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from tests.utils import FakeMetrics, make_manifest
from yuccarelay.adapters import base_handler, bodies, web
from yuccarelay.adapters.statsd_metrics import StatsdMetrics
from yuccarelay.adapters.tokens import make_digest
from yuccarelay.core import effects, events
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, FieldError
from yuccarelay.core.messages import JobStatus
from yuccarelay.core.models import AnswerPart, OutcomeRecord
from yuccarelay.tasks import messages

TEXT = b'{"version": 1,\n "organisations": {"kanem": {}}}'
PART = AnswerPart('7-1.1', 0, '127.0.0.1:9', 3, 4, 'ab')
JOB = JobStatus(
    job_id='7-1',
    found=True,
    organisation='guild',
    job_name='reprint',
    state='ended',
    durable=True,
    attempt=1,
    outcome=OutcomeRecord(kind='completed', parts=(PART,)),
)


class FrontEndCase(unittest.IsolatedAsyncioTestCase):
    """A front end on a loopback port; `script` maps events to responses."""

    async def asyncSetUp(self):
        self.queues = [asyncio.Queue() for _ in range(4)]
        self.front = web.FrontEnd(
            *self.queues,
            metrics=FakeMetrics(),
            bootstrap_digests=(make_digest('bootstrap'),),
        )
        self.state_machine, self.store_task, self.answers, self.inbox = self.queues
        self.script = {}
        self.seen = []
        server = self.front.make_server()
        socket, self.port = testing.bind_unused_port()
        server.add_socket(socket)
        self.addCleanup(server.stop)
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
        self.addCleanup(self.client.close)
        tasks = [self.front.run(), *map(self.answer_from, self.queues[:3])]
        for coroutine in tasks:
            self.addCleanup(asyncio.create_task(coroutine).cancel)
        self.front.handle_message(effects.ActivateManifest(1, make_manifest(), TEXT))

    async def answer_from(self, queue):
        while True:
            event = await queue.get()
            self.seen.append(event)
            make_response = self.script.get(type(event))
            if make_response is not None:
                await self.inbox.put(make_response(event))

    def respond(self, event_type, response):
        self.script[event_type] = lambda event: effects.RespondToCaller(
            event.request_id,
            response,
        )

    async def call(self, method, path, body=None, token='guild-token', **headers):
        if token:
            headers['Authorization'] = f'Bearer {token}'
        request = HTTPRequest(
            url=f'http://127.0.0.1:{self.port}{path}',
            method=method,
            body=body,
            headers={name.replace('_', '-'): text for name, text in headers.items()},
            allow_nonstandard_methods=True,
        )
        return await self.client.fetch(request, raise_error=False)

    async def expect(self, status, code, method, path, body=None, **options):
        """Call, check the status and the code, and return the error body."""
        reply = await self.call(method, path, body, **options)
        document = json.loads(reply.body)
        self.assertEqual((reply.code, document['code']), (status, code))
        self.assertLessEqual({'code', 'field', 'rule', 'retry_ms'}, document.keys())
        return document


class SubmissionTest(FrontEndCase):
    """Guards against jobs that reach the state machine changed or unchecked."""

    async def test_json_and_raw_payloads_arrive_as_sent(self):
        self.respond(events.SubmitRequested, effects.Accepted('7-1', durable=True))
        body = b'{"job": "reprint", "payload": {"b":1.50, "a":[]}}'
        reply = await self.call('POST', '/v1/jobs', body, Idempotency_Key='k1')
        self.assertEqual(reply.code, 202)
        self.assertEqual(json.loads(reply.body), {'job_id': '7-1', 'durable': True})
        await self.call('PUT', '/v1/jobs/7-2?job=reprint', b'\x00raw')
        first, second = self.seen
        self.assertEqual(first.payload, b'{"b":1.50, "a":[]}')
        self.assertEqual((first.organisation, first.key), ('guild', 'k1'))
        self.assertEqual((second.payload, second.job_id), (b'\x00raw', '7-2'))

    async def test_malformed_bodies_name_the_field_and_are_not_forwarded(self):
        cases = [
            (b'{"job":', 'malformed_json', 'body'),
            (b'\xff\xfe', 'malformed_json', 'body'),
            (b'{"job": "a", "payload": "\xff"}', 'malformed_json', 'body'),
            (b'{"job": "a", "payload": [1,}', 'malformed_json', 'body'),
            (b'{"payload": ' + b'[' * 100_000, 'malformed_json', 'body'),
            (b'[1]', 'wrong_type', 'body'),
            (b'{"job": 7, "payload": 1}', 'wrong_type', 'job'),
            (b'{"payload": 1}', 'invalid', 'job'),
            (b'{"job": "", "payload": 1}', 'invalid', 'job'),
            (b'{"job": "a", "payload": 1, "user": 2}', 'invalid', 'user'),
        ]
        for body, code, field in cases:
            with self.subTest(body=body):
                document = await self.expect(400, code, 'POST', '/v1/jobs', body)
                self.assertEqual(document['field'], field)
        long_key = 'k' * (bodies.KEY_LIMIT_CHARS + 1)
        body = b'{"job": "a", "payload": 1}'
        options = {'body': body, 'Idempotency_Key': long_key}
        await self.expect(400, 'invalid', 'POST', '/v1/jobs', **options)
        await self.expect(400, 'invalid', 'GET', '/v1/jobs/7-1?wait_ms=-1')
        await self.expect(400, 'invalid', 'GET', '/v1/jobs/7-1?wait_ms=60001')
        self.assertEqual(self.seen, [])

    async def test_payload_limit_is_exact(self):
        self.respond(events.SubmitRequested, effects.Accepted('7-1', durable=True))
        path = '/v1/jobs?job=reprint'
        limit = bodies.PAYLOAD_LIMIT_BYTES
        self.assertEqual((await self.call('POST', path, b'x' * limit)).code, 202)
        for size in (limit + 1, limit * 4):
            await self.expect(413, 'too_large', 'POST', path, b'x' * size)
        self.assertEqual(len(self.seen), 1)

    async def test_refusals_have_stable_statuses(self):
        cases = [
            (effects.NotAccepted('unknown_job'), 404),
            (effects.NotAccepted('unknown_organisation'), 403),
            (effects.NotAccepted('id_taken'), 409),
            (effects.NotAccepted('queue_full', retry_ms=1_500), 429),
            (effects.NotAccepted('store_down', retry_ms=1_000), 503),
            (effects.NotAccepted('cannot_fit', (FieldError('job', 'too big'),)), 400),
            (effects.NotAccepted('something_new', retry_ms=10), 503),
        ]
        for response, status in cases:
            with self.subTest(code=response.code):
                self.respond(events.SubmitRequested, response)
                path = '/v1/jobs?job=reprint'
                reply = await self.call('POST', path, b'')
                self.assertEqual(reply.code, status)
                retry_s = {0: None, 10: '1', 1_000: '1', 1_500: '2'}
                header = reply.headers.get('Retry-After')
                self.assertEqual(header, retry_s[response.retry_ms])

    async def test_lost_response_is_undecided_and_a_late_one_is_dropped(self):
        self.front.response_limit_ms = 50
        document = await self.expect(
            503,
            'undecided',
            'PUT',
            '/v1/jobs/7-2?job=reprint',
            b'',
        )
        self.assertEqual(document['job_id'], '7-2')
        request_id = self.seen[0].request_id
        self.front.handle_message(
            effects.RespondToCaller(request_id, effects.Accepted('7-2', True))
        )
        self.assertEqual(self.front.late_responses, 1)
        self.assertEqual(self.front.metrics.counters['http.late_responses'], 1)


class JobTest(FrontEndCase):
    """Guards against wrong, partial or another organisation's reports and answers."""

    async def test_report_shows_the_outcome_without_the_address_of_its_parts(self):
        self.respond(events.QueryRequested, JOB)
        reply = await self.call('GET', '/v1/jobs/7-1?wait_ms=5')
        self.assertEqual(json.loads(reply.body)['outcome']['kind'], 'completed')
        self.assertNotIn(b'127.0.0.1', reply.body)
        self.assertEqual(self.seen[0].wait_ms, 5)

    async def test_job_of_another_organisation_is_reported_as_not_found(self):
        for response in (JOB, JobStatus('7-1', found=False)):
            for event in (events.QueryRequested, events.CancelRequested):
                self.respond(event, response)
            for method, path in [
                ('GET', '/v1/jobs/7-1'),
                ('GET', '/v1/jobs/7-1/answer'),
                ('DELETE', '/v1/jobs/7-1'),
            ]:
                with self.subTest(method=method, path=path):
                    options = {'token': 'kanem-token'}
                    await self.expect(404, 'not_found', method, path, **options)

    async def test_responses_out_of_order_reach_their_own_requests(self):
        calls = [
            asyncio.create_task(self.call('GET', f'/v1/jobs/7-{number}'))
            for number in range(20)
        ]
        while len(self.seen) < len(calls):
            await asyncio.sleep(0.001)
        for event in reversed(self.seen):
            status = JobStatus(event.job_id, True, 'guild')
            await self.inbox.put(effects.RespondToCaller(event.request_id, status))
            await self.inbox.put(effects.RespondToCaller(event.request_id, JOB))
        for number, reply in enumerate(await asyncio.gather(*calls)):
            self.assertEqual(json.loads(reply.body)['job_id'], f'7-{number}')
        self.assertEqual(self.front.late_responses, len(calls))

    async def test_answer_is_whole_with_length_and_digest(self):
        data = b'x' * 300_000
        self.respond(events.QueryRequested, JOB)
        self.script[messages.FetchFullAnswer] = lambda event: messages.FullAnswer(
            event.request_id,
            data,
        )
        reply = await self.call('GET', '/v1/jobs/7-1/answer')
        self.assertEqual((reply.code, reply.body), (200, data))
        self.assertEqual(reply.headers['Content-Length'], str(len(data)))
        digest = hashlib.sha256(data).hexdigest()
        self.assertEqual(reply.headers['X-Content-SHA256'], digest)
        self.assertEqual(self.seen[1].parts, (PART,))

    async def test_slow_answer_is_not_abandoned(self):
        """Guards against a fetch that ends at the shorter limit of other responses."""
        self.front.response_limit_ms = 200
        self.respond(events.QueryRequested, JOB)
        call = asyncio.create_task(self.call('GET', '/v1/jobs/7-1/answer'))
        while not any(isinstance(item, messages.FetchFullAnswer) for item in self.seen):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.3)
        await self.inbox.put(messages.FullAnswer(self.seen[-1].request_id, b'data'))
        self.assertEqual((await call).body, b'data')

    async def test_unavailable_answer_gives_the_reason(self):
        path = '/v1/jobs/7-1/answer'
        self.respond(events.QueryRequested, JOB)
        self.script[messages.FetchFullAnswer] = lambda event: (
            messages.AnswerUnavailable(
                event.request_id,
                'member 0: agent lost',
            )
        )
        document = await self.expect(503, 'answer_unavailable', 'GET', path)
        self.assertEqual(document['reason'], 'member 0: agent lost')
        running = JobStatus('7-1', found=True, organisation='guild', state='running')
        self.respond(events.QueryRequested, running)
        await self.expect(409, 'not_ended', 'GET', path)
        failed = JobStatus(
            job_id='7-1',
            found=True,
            organisation='guild',
            outcome=OutcomeRecord(kind='failed', reason='exit status 1'),
        )
        self.respond(events.QueryRequested, failed)
        await self.expect(409, 'no_answer', 'GET', path)


class TokenTest(FrontEndCase):
    """Guards against access with the wrong token."""

    async def test_each_endpoint_refuses_the_wrong_token(self):
        organisation = [
            ('POST', '/v1/ids'),
            ('POST', '/v1/jobs'),
            ('PUT', '/v1/jobs/7-1'),
            ('GET', '/v1/jobs/7-1'),
            ('GET', '/v1/jobs/7-1/answer'),
            ('DELETE', '/v1/jobs/7-1'),
        ]
        operator = [
            ('GET', '/v1/manifest'),
            ('PUT', '/v1/manifest'),
            ('GET', '/v1/status'),
            ('GET', '/v1/histograms'),
        ]
        cases = [(*case, 'operator-token') for case in organisation]
        cases += [(*case, 'guild-token') for case in operator]
        for method, path, wrong in cases:
            body = b'x' if method in ('POST', 'PUT') else None
            with self.subTest(method=method, path=path):
                for token in ('', 'wrong', 'bootstrap'):
                    options = {'body': body, 'token': token}
                    await self.expect(401, 'unauthenticated', method, path, **options)
                options['token'] = wrong
                await self.expect(403, 'forbidden', method, path, **options)
        self.assertEqual(self.seen, [])

    async def test_bootstrap_token_is_valid_only_before_the_first_manifest(self):
        self.front.manifest = None
        self.script[messages.CommitManifest] = lambda event: messages.CommitReplied(
            event.request_id,
            messages.Committed(1),
        )
        options = {'token': 'bootstrap', 'If_Match': '"0"'}
        reply = await self.call('PUT', '/v1/manifest', b'{}', **options)
        self.assertEqual((reply.code, reply.headers['ETag']), (200, '"1"'))
        await self.expect(401, 'unauthenticated', 'GET', '/v1/jobs/7-1')
        self.front.manifest = make_manifest()
        await self.expect(401, 'unauthenticated', 'PUT', '/v1/manifest', **options)

    async def test_manifest_never_reverts(self):
        self.front.handle_message(effects.ActivateManifest(3, make_manifest()))
        self.front.handle_message(
            effects.ActivateManifest(2, make_manifest()._replace(organisations={}))
        )
        self.assertEqual(self.front.generation, 3)
        self.assertIn('guild', self.front.manifest.organisations)


class OperatorTest(FrontEndCase):
    """Guards against replies to commits and reports that mislead operators."""

    async def test_commit_outcomes(self):
        errors = (FieldError('organisations.a.weight', 'must be at least 1'),)
        cases = [
            (messages.CommitRefused('conflict', generation=9), 409),
            (messages.CommitRefused('generation_conflict', generation=9), 409),
            (messages.CommitRefused('invalid', errors, generation=4), 400),
            (messages.CommitUndecided('no answer of the store'), 503),
        ]
        options = {'token': 'operator-token', 'If_Match': '4'}
        for result, status in cases:
            self.script[messages.CommitManifest] = lambda event, result=result: (
                messages.CommitReplied(
                    event.request_id,
                    result,
                )
            )
            reply = await self.call('PUT', '/v1/manifest', b'{}', **options)
            self.assertEqual(reply.code, status)
            document = json.loads(reply.body)
            if status != 503:
                self.assertEqual(document['generation'], result.generation)
        self.assertEqual({event.replaces for event in self.seen}, {4})

    async def test_commit_needs_a_generation_and_a_bounded_body(self):
        options = {'body': b'{}', 'token': 'operator-token'}
        await self.expect(400, 'invalid', 'PUT', '/v1/manifest', **options)
        options |= {'body': b' ' * (MANIFEST_LIMIT_BYTES + 1), 'If_Match': '1'}
        await self.expect(413, 'too_large', 'PUT', '/v1/manifest', **options)

    async def test_reports(self):
        self.front.metrics = StatsdMetrics(None)
        self.front.metrics.observe('wait', 'guild', 'urgent', 7)
        self.respond(events.StatusRequested, effects.StatusDocument({'jobs': 2}))
        replies = [
            await self.call('GET', path, token='operator-token')
            for path in (
                '/v1/manifest',
                '/v1/status',
                '/v1/histograms',
                '/v1/histograms?format=text',
            )
        ]
        self.assertEqual([reply.code for reply in replies], [200] * 4)
        self.assertEqual(replies[0].headers['ETag'], '"1"')
        self.assertEqual(replies[0].body, TEXT)
        self.assertEqual(json.loads(replies[2].body)['histograms'][0]['max_ms'], 7)
        self.assertIn(b'p99_ms', replies[3].body)

    async def test_reply_to_a_commit_waits_for_the_manifest(self):
        """Guards against a read after a commit that returns the previous manifest."""
        self.script[messages.CommitManifest] = lambda event: messages.CommitReplied(
            event.request_id,
            messages.Committed(2),
        )
        options = {'token': 'operator-token', 'If_Match': '1'}
        call = asyncio.create_task(self.call('PUT', '/v1/manifest', b'{}', **options))
        while not self.seen:
            await asyncio.sleep(0.001)
        self.assertFalse(call.done())
        self.front.handle_message(effects.ActivateManifest(2, make_manifest(), b'{}'))
        self.assertEqual((await call).headers['ETag'], '"2"')

    async def test_text_forms(self):
        """Guards against unreadable text output and unknown formats that pass."""
        fields = {'address': 'a:1', 'entries': [], 'organisations': [], 'workers': []}
        self.respond(events.StatusRequested, effects.StatusDocument(fields))
        options = {'token': 'operator-token'}
        reply = await self.call('GET', '/v1/status?format=text', **options)
        self.assertEqual(reply.body, b'address  a:1\nentries  \n')
        self.assertIn('text/plain', reply.headers['Content-Type'])
        for path in ('/v1/status', '/v1/histograms'):
            path += '?format=xml'
            await self.expect(400, 'invalid', 'GET', path, **options)


class DrainTest(FrontEndCase):
    """Guards against a planned shutdown that interrupts a request."""

    async def test_drain_fails_the_health_check_and_waits(self):
        self.assertEqual((await self.call('GET', '/healthz', token='')).code, 200)
        call = asyncio.create_task(self.call('GET', '/v1/jobs/7-1?wait_ms=900'))
        while not self.seen:
            await asyncio.sleep(0.001)
        self.assertFalse(await self.front.drain(web.read_clock_ms() + 20))
        drain = asyncio.create_task(self.front.drain(web.read_clock_ms() + 5_000))
        await self.expect(503, 'draining', 'GET', '/healthz', token='')
        self.assertFalse(drain.done())
        await self.inbox.put(effects.RespondToCaller(self.seen[0].request_id, JOB))
        reply = await call
        self.assertEqual((reply.code, reply.headers['Connection']), (200, 'close'))
        self.assertTrue(await drain)

    async def test_client_that_disconnects_ends_its_request(self):
        _reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        head = 'GET /v1/jobs/7-1?wait_ms=900 HTTP/1.1\r\nHost: a\r\n'
        writer.write(f'{head}Authorization: Bearer guild-token\r\n\r\n'.encode())
        while not self.seen:
            await asyncio.sleep(0.001)
        writer.close()
        self.assertTrue(await self.front.drain(web.read_clock_ms() + 5_000))
        await self.inbox.put(effects.RespondToCaller(self.seen[0].request_id, JOB))
        while not self.front.late_responses:
            await asyncio.sleep(0.001)

    async def test_client_that_disconnects_within_its_body_ends_its_request(self):
        _reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        head = 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n'
        writer.write(f'{head}Authorization: Bearer guild-token\r\n\r\n1'.encode())
        while not self.front.open_requests:
            await asyncio.sleep(0.001)
        writer.close()
        self.assertTrue(await self.front.drain(web.read_clock_ms() + 5_000))
        self.assertEqual(self.seen, [])


class ProtocolTest(FrontEndCase):
    """Guards against errors that are not JSON and bodies without a size limit."""

    async def test_unknown_paths_and_methods(self):
        await self.expect(404, 'no_such_path', 'GET', '/v2/jobs')
        options = {'token': 'operator-token'}
        path = '/v1/manifest'
        await self.expect(405, 'method_not_allowed', 'DELETE', path, **options)

    async def test_body_beyond_the_discard_limit_ends_the_connection(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        size = base_handler.DISCARD_LIMIT_BYTES + 1
        head = f'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n'
        writer.write(f'{head}Authorization: Bearer guild-token\r\n\r\n'.encode())
        reply = await reader.read()
        writer.close()
        self.assertTrue(reply.startswith(b'HTTP/1.1 413 '), reply[:80])
        self.assertEqual(self.seen, [])
