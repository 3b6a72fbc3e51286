"""Tests of the manifest checks."""

import hashlib
import json
import pathlib
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from yuccarelay.core.manifest import check_manifest
from yuccarelay.core.models import Adjacency, JobClass

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DIGEST = 'sha256:' + 'ab' * 32
OTHER_DIGEST = 'sha256:' + 'cd' * 32
OPERATOR_DIGEST = 'sha256:' + 'ef' * 32
CHECK_LIMIT_S = 5

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=300)


def make_cell(**changes) -> dict:
    cell = {'count': 1, 'workers': 1, 'accelerators': 4, 'within': 'worker'}
    return cell | {'service': 'desk'} | changes


def make_organisation(digest: str = DIGEST, **changes) -> dict:
    organisation = {'token_digests': [digest], 'weight': 1, 'queue_limit': 5}
    jobs = {'reprint': {'service': 'desk', 'repeatable': False}}
    return organisation | {'guarantee': [make_cell()], 'jobs': jobs} | changes


def make_document(**organisations) -> dict:
    rack = {'service': 'desk', 'workers': 3, 'accelerators': 8, 'slots': 4}
    racks = {'r1': dict(rack), 'r2': dict(rack)}
    domains = {'hobart': {'racks': racks}, 'huon': {'racks': {'r3': dict(rack)}}}
    return {
        'version': 1,
        'fleet': {'regions': {'south': {'domains': domains}}},
        'operators': {'token_digests': [OPERATOR_DIGEST]},
        'organisations': organisations or {'guild': make_organisation()},
    }


def list_errors(document: object) -> dict[str, str]:
    match check_manifest(document):
        case Err(errors):
            return {error.field: error.rule for error in errors}
        case _:
            return {}


def list_job_errors(job: dict, *cells: dict) -> dict[str, str]:
    organisation = make_organisation(
        guarantee=list(cells),
        jobs={'job': {'service': 'desk', 'repeatable': False} | job},
    )
    return list_errors(make_document(guild=organisation))


class AcceptedManifestTest(unittest.TestCase):
    """Guards against fields that are lost or changed when a manifest is decoded."""

    def test_values_and_defaults(self):
        document = make_document()
        jobs = document['organisations']['guild']['jobs']
        jobs['batch'] = {
            'service': 'desk',
            'class': 'deferrable',
            'repeatable': True,
            'adjacency': 'domain',
            'members': 4,
            'start_limit_s': 0.5,
            'run_limit_s': 90,
        }
        manifest = check_manifest(document).unwrap()
        self.assertEqual(sum(rack.workers for rack in manifest.racks), 9)
        self.assertEqual(manifest.operator_digests, (OPERATOR_DIGEST,))
        specs = manifest.organisations['guild'].jobs
        self.assertFalse(specs['reprint'].repeatable)
        self.assertEqual(specs['reprint'].attempt_limit, 3)
        self.assertEqual(specs['reprint'].start_limit_ms, 3_600_000)
        self.assertIs(specs['batch'].job_class, JobClass.DEFERRABLE)
        self.assertIs(specs['batch'].adjacency, Adjacency.DOMAIN)
        self.assertEqual(specs['batch'].start_limit_ms, 500)
        self.assertEqual(specs['batch'].run_limit_ms, 90_000)

    def test_examples_are_valid_and_use_the_documented_tokens(self):
        for path in sorted(EXAMPLES.glob('manifest-*.json')):
            with self.subTest(path.name):
                manifest = check_manifest(json.loads(path.read_text())).unwrap()
                self.assertEqual(sum(rack.workers for rack in manifest.racks), 10)
                self.assertEqual(len(manifest.organisations), 4)
                for n, entry in enumerate(manifest.organisations.values(), start=1):
                    digest = hashlib.sha256(f'demo-caller-{n}'.encode()).hexdigest()
                    self.assertEqual(entry.token_digests, (f'sha256:{digest}',))


class FieldTest(unittest.TestCase):
    """Guards against a wrong field that is accepted or reported unclearly."""

    def test_invalid_values_give_the_field_the_value_and_the_rule(self):
        organisation = ('organisations', 'guild')
        rack = ('fleet', 'regions', 'south', 'domains', 'huon', 'racks', 'r3')
        job = (*organisation, 'jobs', 'reprint')
        cases = [
            (('version',), 2, '2'),
            (('operators', 'token_digests'), [], 'at least one'),
            ((*organisation, 'weight'), True, 'whole number 1 to 1000, not true'),
            ((*organisation, 'weight'), 10**5000, 'a larger number'),
            ((*organisation, 'queue_limit'), 1.5, '1.5'),
            ((*organisation, 'extra'), 1, 'unknown field'),
            ((*organisation, 'jobs', 'Bad.name'), {}, 'lower-case'),
            ((*job, 'class'), 'soon', "deferrable, not 'soon'"),
            ((*job, 'adjacency'), [], 'not a list'),
            ((*job, 'repeatable'), 0, 'true or false, not 0'),
            ((*job, 'run_limit_s'), float('nan'), 'nan'),
            ((*job, 'members'), 0, 'not 0'),
            ((*rack, 'workers'), -1, '-1'),
            ((*rack, 'extra'), 1, 'unknown field'),
            (rack, None, 'must be an object, not null'),
            (('fleet', 'regions', 'south', 'extra'), 1, 'unknown field'),
            (('extra',), 1, 'unknown field'),
        ]
        for path, value, rule in cases:
            with self.subTest(path=path, rule=rule):
                document = make_document()
                parent = document
                for key in path[:-1]:
                    parent = parent[key]
                parent[path[-1]] = value
                errors = list_errors(document)
                self.assertEqual(list(errors), ['.'.join(path)])
                self.assertIn(rule, errors['.'.join(path)])

    def test_each_missing_field_gives_one_error(self):
        required = ['version', 'fleet', 'operators', 'organisations']
        self.assertEqual(list(list_errors({})), required)
        field = 'organisations.guild.jobs.job.repeatable'
        job = {'service': 'desk'}
        document = make_document(guild=make_organisation(jobs={'job': job}))
        self.assertEqual(list_errors(document), {field: 'is required'})

    def test_all_errors_are_collected(self):
        document = make_document(
            a=make_organisation(weight=0, guarantee=[make_cell(count=0), 7]),
            b=make_organisation(digest='x', queue_limit=None),
        )
        self.assertEqual(
            set(list_errors(document)),
            {
                'organisations.a.weight',
                'organisations.a.guarantee[0].count',
                'organisations.a.guarantee[1]',
                'organisations.b.token_digests[0]',
                'organisations.b.queue_limit',
            },
        )

    def test_worker_cells_have_one_worker(self):
        for changes in ({'workers': 2}, {'within': 'rack'}):
            organisation = make_organisation(guarantee=[make_cell(**changes)])
            errors = list_errors(make_document(guild=organisation))
            self.assertEqual(list(errors), ['organisations.guild.guarantee[0].within'])

    @FUZZ
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        ),
    )
    def test_any_json_gets_errors(self, document):
        self.assertTrue(list_errors(document))

    @FUZZ
    @given(st.data())
    def test_any_replaced_part_never_raises(self, data):
        document = make_document()
        parent = document
        while True:
            keys = sorted(parent) if isinstance(parent, dict) else range(len(parent))
            key = data.draw(st.sampled_from(list(keys)))
            deeper = isinstance(parent[key], dict | list) and parent[key]
            if not deeper or data.draw(st.booleans()):
                break
            parent = parent[key]
        junk = st.none() | st.integers() | st.floats() | st.text()
        parent[key] = data.draw(
            junk | st.lists(junk) | st.dictionaries(st.text(), junk)
        )
        check_manifest(document)


class CrossCheckTest(unittest.TestCase):
    """Guards against a manifest whose parts contradict each other."""

    def test_a_digest_belongs_to_one_organisation_or_the_operators(self):
        for digest in (DIGEST, OPERATOR_DIGEST):
            document = make_document(
                a=make_organisation(),
                b=make_organisation(digest=digest),
            )
            rules = list_errors(document)
            self.assertEqual(list(rules), ['organisations.b.token_digests'])

    def test_cell_names_its_region_when_there_are_several(self):
        """Guards against a cell that no region's plan would place."""
        path = EXAMPLES / 'manifest-guild.json'
        document = json.loads(path.read_text())
        del document['organisations']['menu-proofs']['guarantee'][0]['region']
        fields = list(list_errors(document))
        self.assertEqual(
            fields[0],
            'organisations.menu-proofs.guarantee[0].region',
        )

    def test_service_and_region_exist(self):
        organisation = make_organisation(
            guarantee=[make_cell(), make_cell(service='x'), make_cell(region='x')],
            jobs={'j': {'service': 'x', 'repeatable': True}},
        )
        self.assertEqual(
            set(list_errors(make_document(guild=organisation))),
            {
                'organisations.guild.guarantee[1].service',
                'organisations.guild.guarantee[2].region',
                'organisations.guild.jobs.j',
            },
        )

    def test_jobs_fit_the_fleet_with_adjacency(self):
        # Slots allow 4 members per worker: 12 per rack, 24 in hobart, 36 in all.
        most = {'worker': 4, 'rack': 12, 'domain': 24, 'region': 36, 'any': 36}
        for adjacency, members in most.items():
            for extra in (0, 1):
                job = {'repeatable': True, 'adjacency': adjacency}
                errors = list_job_errors(job | {'members': members + extra})
                self.assertEqual(len(errors), extra, (adjacency, errors))

    def test_jobs_that_may_not_borrow_fit_their_guarantee(self):
        one = make_cell(count=2)
        rack = make_cell(workers=2, within='rack')
        region = make_cell(workers=2, within='region')
        south = make_cell(count=2, region='south')
        gang = {'members': 2, 'accelerators': 4}
        cases = [
            ({}, [], False),
            ({'accelerators': 0}, [], True),
            ({'checkpointable': True}, [], True),
            ({'accelerators': 4}, [one], True),
            ({'accelerators': 5}, [one], False),
            (gang | {'adjacency': 'any'}, [one], True),
            (gang | {'adjacency': 'region'}, [one], False),
            (gang | {'adjacency': 'region'}, [south], True),
            (gang | {'adjacency': 'domain'}, [rack], True),
            (gang | {'adjacency': 'rack'}, [rack], True),
            (gang | {'adjacency': 'rack'}, [region], False),
            (gang | {'adjacency': 'worker'}, [rack], False),
            ({'members': 4, 'adjacency': 'worker'}, [rack], True),
        ]
        for job, cells, fits in cases:
            with self.subTest(job=job, cells=cells):
                errors = list_job_errors(job, *cells)
                expected = [] if fits else ['organisations.guild.jobs.job']
                self.assertEqual(list(errors), expected)

    def test_cells_of_all_organisations_pack(self):
        # 9 workers of 8: totals suffice for ten cells of 5, but a worker holds one.
        cells = [make_cell(count=5, accelerators=5)]
        document = make_document(
            a=make_organisation(guarantee=cells),
            b=make_organisation(digest=OTHER_DIGEST, guarantee=cells),
        )
        errors = list_errors(document)
        self.assertEqual(list(errors), ['organisations.b.guarantee[0]'])
        rule = errors['organisations.b.guarantee[0]']
        self.assertIn('cell 5 of 1 x 5 accelerators', rule)
        self.assertIn('no packing of all cells exists', rule)
        document['organisations']['b']['guarantee'] = [make_cell(count=4)]
        self.assertIsInstance(check_manifest(document), Ok)

    def test_large_invalid_documents_are_checked_in_time(self):
        # 20,000 wrong organisations fit into one megabyte; a check that compares
        # each one with all errors takes minutes.
        document = make_document(**{f'o{i}': 0 for i in range(20_000)})
        start = time.process_time()
        self.assertEqual(len(list_errors(document)), 20_000)
        # Cells that exceed the total limit are rejected before they are listed.
        organisation = make_organisation(guarantee=[make_cell(count=10_000)] * 7_000)
        errors = list_errors(make_document(guild=organisation))
        self.assertEqual(list(errors), ['organisations'])
        self.assertLess(time.process_time() - start, CHECK_LIMIT_S)
