"""Part (f): size of a manifest, what its changes cost on a link, time to check it."""

import json
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
# The gateway of the store carries values as base64.
BASE64_FACTOR = 4 / 3


async def measure_manifests(report: Report) -> None:
    """Measure manifests of several numbers of teams."""
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
    for name, size in (('raw', whole), ('compressed', packed[-1][1])):
        carried = size * BASE64_FACTOR
        report.add_value(f'{name}: one watch, one change', carried, 'bytes')
        share = compute_link_share(carried)
        report.add_value(f'{name}: share of the link for one watch', share)
        passed_s = 8 * carried / LINK_BITS_PER_S
        report.add_value(f'{name}: time on the link for one watch', passed_s, 's')


def compute_link_share(change_bytes: float, watches: int = 1) -> float:
    """Return which part of the link the configuration changes of a day take."""
    daily_bits = 8 * change_bytes * CHANGES_PER_DAY * watches
    return daily_bits / DAY_S / LINK_BITS_PER_S
