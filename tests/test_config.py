"""Tests of the settings."""

import json
import pathlib
import tempfile
import unittest

from yuccarelay import config

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def read_example(role: str) -> dict:
    return json.loads((EXAMPLES / f'{role}.json').read_text())


class ExampleTest(unittest.TestCase):
    """Guards against examples that are refused or that lack a field."""

    def test_examples_are_valid_and_have_all_fields(self):
        for role, settings in config.ROLES.items():
            with self.subTest(role=role):
                path = str(EXAMPLES / f'{role}.json')
                loaded = config.load_settings(role, path)
                self.assertTrue(loaded.is_ok(), loaded)
                self.assertEqual(set(read_example(role)), set(settings._fields))


class CheckTest(unittest.TestCase):
    """Guards against settings that fail only at run time, and unclear errors."""

    def list_errors(self, role: str, **changes: object) -> list[str]:
        document = read_example(role) | changes
        text = json.dumps(document).encode()
        return [str(error) for error in config.decode_settings(role, text).unwrap_err()]

    def test_all_errors_are_listed_with_field_value_and_range(self):
        errors = self.list_errors('agent', slots=0, listen='localhost:1', extra=1)
        self.assertEqual(len(errors), 3)
        self.assertTrue(errors[0].startswith('extra: 1 is not accepted'))
        self.assertIn(
            'listen: "localhost:1" is not accepted; expected ip:port', errors[1]
        )
        self.assertEqual(
            errors[2],
            'slots: 0 is not accepted; expected a number of slots from 1 to 1024',
        )

    def test_missing_fields(self):
        errors = config.decode_settings('store', b'{}').unwrap_err()
        self.assertEqual(
            [(error.field, error.value) for error in errors], [('listen', 'nothing')]
        )

    def test_wrong_values_of_each_kind(self):
        cases = {
            'listen': [
                '',
                '127.0.0.1',
                '127.0.0.1:65536',
                '::1:80',
                '[127.0.0.1]:1',
                7,
            ],
            'http': ['host:80', '127.0.0.1:-1', '127.0.0.1:٣', None],
            'region': ['', 'a b', 'x' * 64, '-a', ['south']],
            'store': [
                '',
                ['http://127.0.0.1:1'],
                'https://127.0.0.1:1',
                'http://store:1',
                'http://127.0.0.1',
                'http://[::1',
                'http://127.0.0.1:1/a',
            ],
            'bootstrap_operator_digests': [['sha256:00'], ['SHA256:' + '0' * 64]],
            'statsd': ['statsd:8125'],
            'drain_s': [-1, 86_401, 1.5, '30', True],
            'log': ['', 5],
        }
        for field, values in cases.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    errors = self.list_errors('entry', **{field: value})
                    self.assertEqual(len(errors), 1)
                    self.assertTrue(errors[0].startswith(f'{field}: '))

    def test_valid_values_at_the_limits(self):
        changes = {'listen': '[::1]:0', 'drain_s': 0, 'store': 'http://[::1]:65535'}
        text = json.dumps(read_example('entry') | changes).encode()
        settings = config.decode_settings('entry', text).unwrap()
        self.assertEqual(config.split_address(settings.listen), ('::1', 0))

    def test_texts_that_are_not_settings(self):
        for text in (b'', b'{"listen":', b'\xff', b'[]', b'null', b'[' * 100_000):
            with self.subTest(text=text):
                errors = config.decode_settings('entry', text).unwrap_err()
                self.assertEqual([error.field for error in errors], ['file'])

    def test_files_that_cannot_be_read(self):
        with tempfile.TemporaryDirectory() as folder:
            for path in (folder, folder + '/none'):
                errors = config.load_settings('entry', path).unwrap_err()
                self.assertIn('a readable file', str(errors[0]))
