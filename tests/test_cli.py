"""Tests of the command line, in process with a fake environment."""

import asyncio
import hashlib
import json
import pathlib
import sys
import tempfile
import threading
import types
import unittest
from unittest import mock

from result import Err, Ok
from tornado import testing
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from tests.utils import make_fake_environment, read_stream
from yuccarelay import __version__, cli, config
from yuccarelay.core import manifest
from yuccarelay.core.manifest import FieldError
from yuccarelay.exit_status import ExitStatus
from yuccarelay.main import main

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


class CommandCase(unittest.TestCase):
    """Runs command lines and records their output."""

    def run_command(self, *args: str, stdin: bytes = b'', **variables: str):
        env = make_fake_environment(stdin, **variables)
        self.status = main(args, env)
        self.output = read_stream(env.stdout)
        self.errors = read_stream(env.stderr)
        return self.status

    def assert_one_line_error(self, part: str):
        self.assertIn(part, self.errors)
        self.assertEqual(self.errors.count('\n'), 1, self.errors)

    def write_file(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, 'input.json')
        path.write_text(text)
        return str(path)


class UsageTest(CommandCase):
    """Guards against missing help and usage errors without a clear message."""

    def test_version_and_help(self):
        self.assertEqual(self.run_command('--version'), ExitStatus.OK)
        self.assertEqual(self.output.strip(), __version__)
        for args in ([], ['--help']):
            self.assertEqual(self.run_command(*args), ExitStatus.OK)
            self.assertIn('local --demo', self.output)

    def test_each_command_has_help(self):
        for command in cli.COMMANDS:
            with self.subTest(words=command.words):
                status = self.run_command(*command.words, '--help')
                self.assertEqual(status, ExitStatus.OK)
                self.assertIn(
                    'Usage: yuccarelay ' + ' '.join(command.words), self.output
                )

    def test_usage_errors_are_one_line(self):
        cases = [
            ['frobnicate'],
            ['entry'],
            ['entry', '--settings'],
            ['job', 'status'],
            ['job', 'status', '7-1', '--wait-ms', 'soon'],
            ['job', 'status', '7-1', '--colour', 'red'],
        ]
        for args in cases:
            with self.subTest(args=args):
                self.assertEqual(self.run_command(*args), ExitStatus.USAGE)
                self.assert_one_line_error('yuccarelay: ')


class RoleTest(CommandCase):
    """Guards against roles that start with bad settings or lose their exit status."""

    def run_with_roles(self, *args: str, **functions):
        roles = types.ModuleType('yuccarelay.roles')
        roles.__dict__.update(functions)
        package = sys.modules['yuccarelay']
        with (
            mock.patch.dict(sys.modules, {'yuccarelay.roles': roles}),
            mock.patch.object(package, 'roles', roles, create=True),
        ):
            return self.run_command(*args)

    def test_roles_get_checked_settings(self):
        for role in config.ROLES:
            seen = []
            path = str(EXAMPLES / f'{role}.json')
            status = self.run_with_roles(
                role,
                '--settings',
                path,
                **{f'run_{role}': lambda *args, seen=seen: seen.append(args)},
            )
            self.assertEqual(status, ExitStatus.OK, self.errors)
            ((settings, _env),) = seen
            self.assertEqual(settings, config.load_settings(role, path).unwrap())

    def test_local_needs_no_file(self):
        async def run_local(settings, env):
            return ExitStatus.OK if settings.demo else ExitStatus.FAULT

        args = ('local', '--demo')
        self.assertEqual(self.run_with_roles(*args, run_local=run_local), 0)

    def test_bad_settings_start_nothing(self):
        path = self.write_file('{"listen": "nowhere", "rum_ms": 5}')
        status = self.run_with_roles('target', '--settings', path)
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertEqual(self.errors.count('\n'), 2)

    def test_address_in_use_is_one_line(self):
        """Guards against a traceback for a role that is started twice."""
        occupied, port = testing.bind_unused_port()
        self.addCleanup(occupied.close)
        address = f'127.0.0.1:{port}'
        path = self.write_file(json.dumps({'listen': address}))
        for role in ('store', 'target'):
            self.run_command(role, '--settings', path)
            self.assertEqual(self.status, ExitStatus.UNAVAILABLE)
            self.assert_one_line_error(f'cannot listen on {address}')

    def test_closed_output_is_not_a_failure(self):
        """Guards against a traceback after `yuccarelay status | head`."""

        def run_local(settings, env):
            raise BrokenPipeError

        self.run_with_roles('local', run_local=run_local)
        self.assertEqual(self.status, ExitStatus.OUTPUT_CLOSED)
        self.assertEqual(self.errors, '')

    def test_broken_invariant_is_a_fault(self):
        def run_local(settings, env):
            raise ValueError('broken')

        status = self.run_with_roles('local', run_local=run_local)
        self.assertEqual(status, ExitStatus.FAULT)
        self.assertIn('ValueError: broken', self.errors)


class FileTest(CommandCase):
    """Guards against checks that accept bad files or omit errors."""

    def test_settings_check(self):
        path = str(EXAMPLES / 'agent.json')
        self.assertEqual(self.run_command('settings', 'check', 'agent', path), 0)
        status = self.run_command('settings', 'check', 'store', path)
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertIn('worker: "hobart-r1-w1" is not accepted', self.errors)
        status = self.run_command('settings', 'check', 'king', path)
        self.assertEqual(status, ExitStatus.USAGE)
        self.assert_one_line_error("unknown role 'king'")

    def check_manifest(self, text: str, result):
        check = mock.Mock(return_value=result)
        with mock.patch.object(manifest, 'check_manifest', check, create=True):
            return self.run_command('manifest', 'check', self.write_file(text))

    def test_manifest_check(self):
        self.assertEqual(self.check_manifest('{}', Ok(None)), ExitStatus.OK)
        errors = (FieldError('a', 'is required'), FieldError('b', 'is unknown'))
        self.assertEqual(self.check_manifest('{}', Err(errors)), ExitStatus.INVALID)
        self.assertEqual(self.errors.count('\n'), 2)
        self.assertIn('a is required', self.errors)
        for text in ('{', '[' * 100_000, ' ' * (manifest.MANIFEST_LIMIT_BYTES + 1)):
            status = self.check_manifest(text, Ok(None))
            self.assertEqual(status, ExitStatus.INVALID)
            self.assert_one_line_error('input.json')
        self.assertEqual(self.run_command('manifest', 'check', '/none'), 3)

    def test_token_digest(self):
        self.run_command('token', 'digest', stdin=b'secret\n')
        digest = hashlib.sha256(b'secret').hexdigest()
        self.assertEqual(self.output, f'sha256:{digest}\n')
        for text in (b'\n', b'two words\n', b''):
            status = self.run_command('token', 'digest', stdin=text)
            self.assertEqual(status, ExitStatus.INVALID)


class ScriptedHandler(RequestHandler):
    """Replies with the next scripted (status, headers, body); status 0 disconnects."""

    def initialize(self, case) -> None:
        self.case = case

    def prepare(self) -> None:
        self.case.seen.append(self.request)
        status, headers, body = self.case.script.pop(0)
        if status == 0:
            self.detach().close()
            return
        self.set_status(status)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class ToolTest(CommandCase):
    """Guards against commands that repeat changes or report a wrong outcome."""

    def setUp(self):
        self.script = []
        self.seen = []
        self.socket, self.port = testing.bind_unused_port()
        ready = threading.Event()
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.serve, args=(ready,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        ready.wait()

    def serve(self, ready: threading.Event) -> None:
        async def start():
            routes = [('.*', ScriptedHandler, {'case': self})]
            self.server = HTTPServer(Application(routes, log_function=id))
            self.server.add_socket(self.socket)
            ready.set()

        asyncio.set_event_loop(self.loop)
        self.loop.create_task(start())
        self.loop.run_forever()
        self.server.stop()
        self.loop.run_until_complete(self.server.close_all_connections())
        self.loop.close()

    def call(self, *args: str, script: list, stdin: bytes = b''):
        self.script[:] = script
        self.seen.clear()
        variables = {
            'YUCCARELAY_URL': f'http://127.0.0.1:{self.port}',
            'YUCCARELAY_TOKEN': 'secret',
        }
        return self.run_command(*args, stdin=stdin, **variables)

    def test_submission_sends_payload_key_and_token(self):
        args = ('job', 'submit', 'a&b', '--key', 'k1')
        status = self.call(*args, script=[(202, {}, '{"job_id":"7-1"}')], stdin=b'\x00')
        self.assertEqual((status, self.output), (0, '{"job_id":"7-1"}\n'))
        (request,) = self.seen
        self.assertEqual(request.uri, '/v1/jobs?job=a%26b')
        self.assertEqual(request.body, b'\x00')
        self.assertEqual(request.headers['Idempotency-Key'], 'k1')
        self.assertEqual(request.headers['Authorization'], 'Bearer secret')

    def test_change_without_a_reply_is_undecided_and_not_repeated(self):
        for args in (['job', 'submit', 'a'], ['job', 'cancel', '7-1']):
            status = self.call(*args, script=[(0, {}, '')])
            self.assertEqual(status, ExitStatus.UNDECIDED)
            self.assert_one_line_error('may have taken effect')
            self.assertEqual(len(self.seen), 1)

    def test_read_without_a_reply_is_repeated(self):
        script = [(0, {}, ''), (0, {}, ''), (200, {}, '{}')]
        status = self.call('status', '--json', script=script)
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(len(self.seen), 3)

    def test_statuses_of_errors(self):
        cases = [
            (400, 'invalid', ExitStatus.REFUSED),
            (404, 'not_found', ExitStatus.REFUSED),
            (429, 'queue_full', ExitStatus.UNAVAILABLE),
            (503, 'store_down', ExitStatus.UNAVAILABLE),
            (503, 'undecided', ExitStatus.UNDECIDED),
        ]
        for http_status, code, expected in cases:
            body = json.dumps({'code': code, 'errors': []})
            status = self.call('job', 'submit', 'a', script=[(http_status, {}, body)])
            self.assertEqual(status, expected)
            self.assert_one_line_error(f'{http_status} {code}')
        status = self.call('job', 'submit', 'a', script=[(502, {}, '<html>')])
        self.assertEqual(status, ExitStatus.UNDECIDED)
        status = self.call('status', script=[(502, {}, '<html>')])
        self.assertEqual(status, ExitStatus.UNAVAILABLE)

    def test_answer_is_written_only_if_its_digest_matches(self):
        digest = hashlib.sha256(b'data').hexdigest()
        headers = {'X-Content-SHA256': digest}
        args = ('job', 'answer', '7-1')
        self.assertEqual(self.call(*args, script=[(200, headers, 'data')]), 0)
        self.assertEqual(self.output, 'data')
        status = self.call(*args, script=[(200, headers, 'date')])
        self.assertEqual((status, self.output), (ExitStatus.UNAVAILABLE, ''))

    def test_commit_replaces_the_generation_in_force(self):
        check = mock.Mock(return_value=Ok(None))
        path = self.write_file('{}')
        done = (200, {}, '{"generation":5}')
        for first, sent in [
            ((200, {'ETag': '"4"'}, '{"version": 1}'), '"4"'),
            ((404, {}, '{"code":"no_manifest"}'), '"0"'),
        ]:
            with mock.patch.object(manifest, 'check_manifest', check, create=True):
                self.call('manifest', 'commit', path, script=[first, done])
            self.assertEqual(self.status, ExitStatus.OK, self.errors)
            self.assertEqual(self.seen[1].headers['If-Match'], sent)

    def test_shown_manifest_is_the_committed_text(self):
        """Guards against output that cannot be committed again."""
        text = '{"version": 1,\n "fleet": {}}'
        script = [(200, {'ETag': '"4"'}, text)]
        self.assertEqual(self.call('manifest', 'show', script=script), 0)
        self.assertEqual(self.output, text + '\n')
        self.assertIn('generation 4', self.errors)

    def test_status_prints_both_tables(self):
        """Guards against a status that omits the histograms."""
        script = [(200, {}, 'address a\n'), (200, {}, 'name count\n')]
        self.assertEqual(self.call('status', script=script), 0)
        self.assertEqual(self.output, 'address a\n\nname count\n')
        paths = [request.uri for request in self.seen]
        expected = ['/v1/status?format=text', '/v1/histograms?format=text']
        self.assertEqual(paths, expected)

    def test_entry_that_cannot_be_reached(self):
        for url in ('http://127.0.0.1:1', 'nonsense'):
            status = self.run_command('job', 'cancel', '7-1', '--entry', url)
            self.assertIn(status, (ExitStatus.UNAVAILABLE, ExitStatus.USAGE))
            self.assert_one_line_error(url)
