"""Tests of invalid input to running processes."""

import asyncio
import http.client
import json
import re
import urllib.parse

import msgspec

from tests import processes
from tests.processes import OPERATOR, SystemTest, call_http
from yuccarelay.adapters import codec
from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.adapters.nng import NngTransport
from yuccarelay.core.messages import Heartbeat, Malformed

REPLY_TIMEOUT_MS = 3_000
URGENT = 'price-change-reprint'


class CallerInputTest(SystemTest):
    """Guards against invalid requests that get no clear error or break an entry."""

    def tearDown(self):
        # Both entries must still serve after any input.
        for entry in (0, 1):
            self.assertEqual(
                self.system.call('GET', '/healthz', entry=entry).status, 200
            )
        job_id = self.system.submit(URGENT, {'echo': 'still here'})
        self.assertEqual(self.system.await_outcome(job_id)['kind'], 'completed')

    def check_reply(self, status, code, *arguments, **options):
        reply = self.system.call(*arguments, **options)
        self.assertEqual((reply.status, reply.document['code']), (status, code))
        return reply.document

    def test_bodies_that_are_not_a_submission(self):
        for body, code, field in (
            (b'{"job": ', 'malformed_json', 'body'),
            (b'\xff\xfe', 'malformed_json', 'body'),
            (b'{"a":' * 100_000, 'malformed_json', 'body'),
            (b'[1]', 'wrong_type', 'body'),
            (b'{"job": 7, "payload": {}}', 'wrong_type', 'job'),
            (b'{"job": "", "payload": {}}', 'invalid', 'job'),
            (b'{"payload": {}}', 'invalid', 'job'),
            (b'{"job": "x", "payload": 1, "more": 2}', 'invalid', 'more'),
        ):
            with self.subTest(body=body[:40]):
                document = self.check_reply(400, code, 'POST', '/v1/jobs', body)
                self.assertEqual(document['field'], field)
                self.assertTrue(document['rule'])

    def test_oversized_bodies(self):
        path = f'/v1/jobs?job={URGENT}'
        self.check_reply(413, 'too_large', 'POST', path, b'x' * (512 * 1024 + 1))
        self.check_reply(413, 'too_large', 'POST', path, b'x' * 3_000_000)
        manifest = b' ' * 1_000_001
        headers = {'If-Match': '1'}
        self.check_reply(
            413,
            'too_large',
            'PUT',
            '/v1/manifest',
            manifest,
            token=OPERATOR,
            headers=headers,
        )

    def test_announced_content_length_that_is_too_large(self):
        url = self.system.entries[0].url
        connection = http.client.HTTPConnection(urllib.parse.urlsplit(url).netloc)
        self.addCleanup(connection.close)
        connection.putrequest('POST', '/v1/jobs')
        connection.putheader('Authorization', 'Bearer token-print-shop')
        connection.putheader('Content-Length', '9000000000')
        connection.endheaders()
        response = connection.getresponse()
        self.assertEqual(response.status, 413)
        self.assertEqual(json.loads(response.read())['code'], 'too_large')

    def test_unknown_jobs_and_paths(self):
        document = {'job': 'no-such-job', 'payload': {}}
        self.check_reply(404, 'unknown_job', 'POST', '/v1/jobs', document)
        for job_id in ('999999-1', 'x', '2-', '-2', '18446744073709551616-1'):
            with self.subTest(job_id=job_id):
                self.check_reply(404, 'not_found', 'GET', f'/v1/jobs/{job_id}')
                self.check_reply(404, 'not_found', 'DELETE', f'/v1/jobs/{job_id}')
        self.check_reply(404, 'no_such_path', 'GET', '/v1/nothing')
        self.check_reply(405, 'method_not_allowed', 'DELETE', '/v1/jobs')
        self.check_reply(400, 'invalid', 'GET', '/v1/jobs/2-1?wait_ms=-1')

    def test_wrong_tokens(self):
        for token in ('wrong', '', 'token-print-shop\u00e9'):
            with self.subTest(token=token):
                self.check_reply(
                    401,
                    'unauthenticated',
                    'POST',
                    '/v1/jobs',
                    {'job': URGENT, 'payload': {}},
                    token=token,
                )
        self.check_reply(403, 'forbidden', 'GET', '/v1/status')
        self.check_reply(403, 'forbidden', 'GET', '/v1/jobs/2-1', token=OPERATOR)

    def test_manifests_that_break_rules(self):
        generation = self.system.find_status()['generation']
        broken = processes.make_manifest()
        broken['organisations']['bakeries']['weight'] = 'heavy'
        for body in (b'{', b'[]', json.dumps(broken).encode()):
            with self.subTest(body=body[:20]):
                reply = self.system.commit(body, generation)
                self.assertEqual(reply.status, 400)
                self.assertTrue(reply.document['rule'])
        self.assertEqual(self.system.find_status()['generation'], generation)

    def test_bytes_that_are_not_http(self):
        parts = urllib.parse.urlsplit(self.system.entries[0].url)
        for data in (b'\x16\x03\x01\x02\x00\x01', b'GET /\r\n\r\n', b'\x00' * 70_000):
            with self.subTest(data=data[:10]):
                asyncio.run(send_raw(parts.hostname, parts.port, data))


class MessageInputTest(SystemTest):
    """Guards against invalid messages that end a process or break its service."""

    def test_messages_that_cannot_be_decoded(self):
        heartbeat = codec.encode(Heartbeat('hobart-1', 1, 1), '127.0.0.1:1')
        fields = msgspec.msgpack.decode(heartbeat)
        newer = msgspec.msgpack.encode([codec.PROTOCOL_VERSION + 1, *fields[1:], 'new'])
        bodies = (
            (b'', 'malformed_envelope'),
            (b'\xc1', 'malformed_envelope'),
            (heartbeat[:-1], 'malformed'),
            (heartbeat[: len(heartbeat) // 2], 'malformed'),
            (newer, 'unsupported_version'),
            (msgspec.msgpack.encode([1, 'Nothing', '', {}]), 'unknown_kind'),
            (msgspec.msgpack.encode([1, 'Heartbeat', '', {}]), 'malformed_body'),
            (b'\x91' * 100_000, 'malformed'),
            (b'\x00' * (codec.SIZE_LIMIT_BYTES + 1), 'too_large'),
        )
        for address in self.find_addresses():
            replies = asyncio.run(request_each(address, [data for data, _ in bodies]))
            for (data, code), reply in zip(bodies, replies, strict=True):
                with self.subTest(address=address, code=code, data=data[:20]):
                    self.assertIsInstance(reply, Malformed)
                    self.assertTrue(reply.reason.startswith(code), reply.reason)
        self.check_serving()

    def test_messages_for_another_role(self):
        announce = codec.encode(Malformed('x'), '127.0.0.1:1')
        for address in self.find_addresses():
            (reply,) = asyncio.run(request_each(address, [announce]))
            self.assertIsInstance(reply, Malformed)
        self.check_serving()

    def test_bytes_that_are_not_a_message_on_the_socket(self):
        for address in self.find_addresses():
            host, port = address.split(':')
            asyncio.run(send_raw(host, int(port), b'GET / HTTP/1.1\r\n\r\n'))
        self.check_serving()

    def find_addresses(self):
        """Return the addresses of an entry and of an agent."""
        agent = next(iter(self.system.agents.values()))
        found = re.search(r'event=agent_started \S+ address=(\S+)', agent.read_log())
        return self.system.entries[0].address, found[1]

    def check_serving(self):
        job_ids = [self.system.submit(URGENT, {'echo': 'x'}) for _ in range(8)]
        for job_id in job_ids:
            self.assertEqual(self.system.await_outcome(job_id)['kind'], 'completed')
        self.assertTrue(all(process.is_running for process in self.system.processes))
        self.assertEqual(call_http(self.system.store_url, 'GET', '/counts').status, 200)


async def request_each(address, requests):
    """Send bytes as requests and return the decoded replies."""
    clock = MonotonicClock()
    peer = NngTransport(clock).connect(address).unwrap()
    try:
        replies = []
        for data in requests:
            reply = await peer.request(data, clock.now_ms() + REPLY_TIMEOUT_MS)
            replies.append(codec.decode(reply.unwrap()).unwrap().message)
        return replies
    finally:
        peer.close()


async def send_raw(host, port, data):
    """Send bytes on a new connection and read until the peer closes it."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(REPLY_TIMEOUT_MS / 1_000):
            await reader.read()
    except (OSError, TimeoutError):
        # A closed or silent connection is an acceptable response to such bytes.
        pass
    finally:
        writer.close()
