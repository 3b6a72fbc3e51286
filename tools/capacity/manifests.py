"""Part (f): size of a manifest, link use of its changes, and time to check it."""

import json
import random
import time
import zlib

from tools.capacity import fleet
from tools.capacity.report import Report
from yuccarelay.adapters.records import decode_document
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, check_manifest

TEAMS = (50, 100, 150, 200)
JOBS_PER_TEAM = 20
WORKERS = 4_200
CHANGES_PER_DAY = 6_600
DAY_S = 86_400
LINK_BITS_PER_S = 15e6
# The gateway of the store encodes values as base64.
BASE64_FACTOR = 4 / 3


async def measure_manifests(report: Report) -> None:
    """Measure manifests with different numbers of teams."""
    sizes, packed, decoded, checked = [], [], [], []
    for teams in TEAMS:
        document = fleet.make_manifest(WORKERS, teams, JOBS_PER_TEAM)
        text = json.dumps(document, separators=(',', ':')).encode()
        jobs = teams * JOBS_PER_TEAM
        sizes.append((jobs, len(text)))
        packed.append((jobs, len(zlib.compress(text))))
        started = time.process_time()
        content = decode_document(text).unwrap()
        decoded.append((jobs, 1_000 * (time.process_time() - started)))
        started = time.process_time()
        check_manifest(content).unwrap()
        checked.append((jobs, 1_000 * (time.process_time() - started)))
        report.progress(f'{teams} teams')
    report.add_points('manifest by jobs', sizes, 'bytes')
    report.add_points('manifest by jobs, compressed', packed, 'bytes')
    report.add_points('decoding by jobs', decoded, 'ms')
    report.add_points('check by jobs', checked, 'ms')
    whole = sizes[-1][1]
    report.add_value('part of the limit of one value', whole / MANIFEST_LIMIT_BYTES)
    varied = json.dumps(vary_manifest(document), separators=(',', ':')).encode()
    report.add_value('jobs that all differ: raw', len(varied), 'bytes')
    for name, size in (
        ('raw', whole),
        ('compressed', packed[-1][1]),
        ('compressed, jobs that all differ', len(zlib.compress(varied))),
    ):
        encoded_bytes = size * BASE64_FACTOR
        report.add_value(f'{name}: one watch, one change', encoded_bytes, 'bytes')
        share = compute_link_share(encoded_bytes)
        report.add_value(f'{name}: share of the link for one watch', share)
        transfer_s = 8 * encoded_bytes / LINK_BITS_PER_S
        report.add_value(f'{name}: time on the link for one watch', transfer_s, 's')


def vary_manifest(document: dict) -> dict:
    """Return a manifest whose jobs differ in names and numbers."""
    rng = random.Random(1)
    organisations = {
        name: organisation
        | {'jobs': {f'{rng.getrandbits(48):012x}': vary_job(job, rng) for job in jobs}}
        for name, organisation in document['organisations'].items()
        for jobs in [organisation['jobs'].values()]
    }
    return document | {'organisations': organisations}


def vary_job(job: dict, rng: random.Random) -> dict:
    """Return a job with random numbers."""
    return job | {
        'members': rng.randrange(1, 65),
        'attempt_limit': rng.randrange(1, 9),
        'start_limit_s': rng.randrange(600, 86_400),
        'run_limit_s': rng.randrange(600, 86_400),
        'declared_run_s': rng.randrange(60, 40_000),
    }


def compute_link_share(change_bytes: float, watches: int = 1) -> float:
    """Return the share of the link that the configuration changes of a day use."""
    daily_bits = 8 * change_bytes * CHANGES_PER_DAY * watches
    return daily_bits / DAY_S / LINK_BITS_PER_S
