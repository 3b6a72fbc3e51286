"""Tests that the pages document the names that the sources use."""

import ast
import json
import pathlib
import re
import unittest
from collections.abc import Iterator
from typing import get_args, get_type_hints

from yuccarelay import config
from yuccarelay.adapters.replies import STATUS_BY_CODE, choose_status
from yuccarelay.core import messages

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = ROOT / 'yuccarelay'
OPERATIONS = (ROOT / 'docs/OPERATIONS.md').read_text()
DESIGN = (ROOT / 'docs/design.md').read_text()
API = (ROOT / 'docs/api.md').read_text()


def read_section(heading: str) -> str:
    """Return a section of the operations page."""
    return OPERATIONS.split(f'\n## {heading}\n')[1].split('\n## ')[0]


def find_calls(folder: str = '') -> Iterator[tuple[str, str, ast.Call]]:
    """Yield the owner, the name and the node of each call in the sources."""
    for path in sorted((SOURCES / folder).rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(func=ast.Attribute(value=value, attr=name)):
                    owner = getattr(value, 'attr', getattr(value, 'id', ''))
                    yield owner, name, node
                case ast.Call(func=ast.Name(id=name)):
                    yield '', name, node


def read_name(node: ast.expr) -> str:
    """Return a literal text; for a formatted one its constant start and a '<'."""
    match node:
        case ast.Constant(value=str(text)):
            return text
        case ast.JoinedStr(values=[ast.Constant(value=text), *_]):
            return f'{text}<'
    return ''


def find_events() -> dict[str, set[str]]:
    """Return the log events with those of their fields that are literals."""
    found: dict[str, set[str]] = {}
    for owner, name, node in find_calls():
        is_log_call = (owner, name) in (('journal', 'write'), ('outbox', 'log'))
        is_failure = name == 'write_failure'
        if not (is_log_call or is_failure or name in ('_log', 'note')):
            continue
        arguments = node.args[1:] if is_failure else node.args
        event = read_name(arguments[0]) if arguments else ''
        if not event:
            continue
        fields = found.setdefault(event, set())
        if is_failure:
            fields |= {'error', 'trace'}
        fields |= {keyword.arg for keyword in node.keywords}
        for argument in node.args[1:]:
            if isinstance(argument, ast.Dict):
                fields |= {read_name(key) for key in argument.keys if key}
    return found


def find_metrics() -> set[str]:
    """Return the names of counters and histograms."""
    found = set()
    for owner, name, node in find_calls():
        is_counter = name == 'count' and owner in ('outbox', 'metrics')
        is_histogram = name == 'observe' and owner in ('state', 'self')
        if (is_counter or is_histogram) and node.args:
            found.add(read_name(node.args[0]))
    return found - {''}


def find_refusals() -> set[str]:
    """Return the refusal codes of the core and of the store task."""
    names = ('NotAccepted', 'AdmissionRefusal', 'CommitRefused', '_refuse')
    found = set()
    for folder in ('core', 'tasks'):
        for _, name, node in find_calls(folder):
            if name in names or (name == 'refuse_field' and folder == 'tasks'):
                values = [*node.args, *(item.value for item in node.keywords)]
                texts = filter(None, map(read_name, values))
                found |= set(list(texts)[:1])
    return found


def read_statuses() -> dict[str, set[int]]:
    """Return the error codes in the table of the API page with their statuses."""
    found: dict[str, set[int]] = {}
    for status, codes in re.findall(r'^\| (\d{3}) \| (.*?) \|', API, re.MULTILINE):
        for code in re.findall('`([a-z_]+)`', codes):
            found.setdefault(code, set()).add(int(status))
    return found


def find_replies() -> Iterator[tuple[str, int]]:
    """Yield the error codes of the front end itself with their statuses."""
    for _, name, node in find_calls('adapters'):
        values = [*node.args, *(item.value for item in node.keywords)]
        match name, values:
            case 'Refused', [ast.Constant(value=int(status)), code, *_]:
                yield read_name(code), status
            case 'reply_no_answer', [code, *_]:
                yield read_name(code), 409


class OperationsPageTest(unittest.TestCase):
    """Guards against undocumented settings, log events and metrics."""

    def test_every_setting_with_its_range_and_default(self):
        for role, settings in config.ROLES.items():
            start = OPERATIONS.index(f'### `{role}`')
            section = OPERATIONS[start:].split('\n#', 1)[0]
            hints = get_type_hints(settings, include_extras=True)
            for field, hint in hints.items():
                default = 'required'
                if field in settings._field_defaults:
                    default = f'`{json.dumps(settings._field_defaults[field])}`'
                accepted = get_args(hint)[1].accepted
                self.assertIn(f'| `{field}` | {accepted} | {default} |', section)

    def test_every_event_with_its_fields(self):
        events = find_events()
        section = read_section('Log events')
        self.assertGreater(len(events), 30)
        for event, fields in events.items():
            with self.subTest(event=event):
                rows = re.findall(rf'^\| [^|]*`{event}`.*$', section, re.MULTILINE)
                self.assertEqual(len(rows), 1)
                for field in fields:
                    self.assertIn(f'`{field}`', rows[0])

    def test_every_metric(self):
        metrics = find_metrics()
        self.assertLessEqual({'wait', 'completion', 'retries'}, metrics)
        for name in metrics:
            text = f'`{name}' if name.endswith('<') else f'`{name}`'
            self.assertIn(text, read_section('Metrics'))


class ApiPageTest(unittest.TestCase):
    """Guards against error codes that are undocumented or have a wrong status."""

    def test_codes_with_a_status_of_their_own(self):
        statuses = read_statuses()
        for code, status in STATUS_BY_CODE.items():
            with self.subTest(code=code):
                self.assertEqual(statuses.get(code), {status})

    def test_errors_of_the_front_end(self):
        statuses = read_statuses()
        replies = {(code, status) for code, status in find_replies() if code}
        self.assertLessEqual({('undecided', 503), ('no_answer', 409)}, replies)
        for code, status in replies:
            with self.subTest(code=code):
                self.assertIn(status, statuses.get(code, ()))

    def test_refusals_of_the_core_and_the_store_task(self):
        statuses = read_statuses()
        codes = find_refusals()
        self.assertLessEqual({'queue_full', 'unknown_job', 'manifest_invalid'}, codes)
        for code in codes:
            with self.subTest(code=code):
                self.assertEqual(statuses.get(code), {choose_status(code, 0)})


class DesignPageTest(unittest.TestCase):
    """Guards against modules and messages missing from the design page's tables."""

    def test_every_module(self):
        table = DESIGN.split('| Module |')[1].split('\n\n')[0]
        for path in SOURCES.rglob('*.py'):
            if path.name.startswith('__'):
                continue
            folder = path.parent.relative_to(SOURCES)
            rows = table
            if folder.name in ('ports', 'adapters', 'tasks', 'standins'):
                rows = re.search(rf'^\| `{folder}/` .*$', table, re.MULTILINE)[0]
            name = f'core/{path.name}' if folder.name == 'core' else path.stem
            self.assertIn(f'`{name}`', rows)

    def test_every_message(self):
        table = DESIGN.split('| Message |')[1].split('\n\n')[0]
        for message in get_args(messages.Message):
            self.assertIn(f'`{message.__name__}`', table)
