"""Manifests and worker states of a synthetic fleet of any size."""

import hashlib
from typing import Any

from yuccarelay.core.models import Grant, WorkerState

SERVICE = 'desk'
RACK_WORKERS = 20
SLOTS = 16
# A fifth of the workers have 4 accelerators and the others 2, which gives 10,080
# accelerators for 4,200 workers.
LARGE_ACCELERATORS = 4
SMALL_ACCELERATORS = 2
DOMAINS_PER_REGION = 4
OPERATOR = 'capacity-operator'


def digest_token(token: str) -> str:
    """Return a token's digest in the form that manifests use."""
    return 'sha256:' + hashlib.sha256(token.encode()).hexdigest()


def count_accelerators(rack: int) -> int:
    """Return the number of accelerators of each worker of a rack."""
    return LARGE_ACCELERATORS if rack % 5 == 0 else SMALL_ACCELERATORS


def find_location(number: int) -> tuple[str, str, int]:
    """Return the domain, rack name and rack number of a worker."""
    rack = number // RACK_WORKERS
    domain = f'domain-{rack % DOMAINS_PER_REGION}'
    return domain, f'{domain}-rack-{rack}', rack


def make_fleet(workers: int, region: str) -> dict[str, Any]:
    """Return the `fleet` part of a manifest."""
    domains: dict[str, Any] = {}
    for first in range(0, workers, RACK_WORKERS):
        domain, name, rack = find_location(first)
        domains.setdefault(domain, {'racks': {}})['racks'][name] = {
            'service': SERVICE,
            'workers': min(RACK_WORKERS, workers - first),
            'accelerators': count_accelerators(rack),
            'slots': SLOTS,
        }
    return {'regions': {region: {'domains': domains}}}


def make_job(number: int) -> dict[str, Any]:
    """Return a job with all fields set."""
    return {
        'service': SERVICE,
        'class': ('urgent', 'ordinary', 'deferrable')[number % 3],
        'repeatable': number % 2 == 0,
        'checkpointable': number % 4 == 1 or number % 5 == 0,
        'members': 1 if number % 5 else 4,
        'accelerators': 1,
        'adjacency': 'any',
        'attempt_limit': 3,
        'start_limit_s': 14_400,
        'run_limit_s': 43_200,
        'declared_run_s': 7_200,
    }


def make_manifest(
    workers: int,
    teams: int,
    jobs_per_team: int,
    region: str = 'north',
    jobs: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return a manifest whose guarantees take about half of the accelerators."""
    cells = max(1, workers // (2 * teams))
    organisations = {}
    for number in range(teams):
        name = f'team-{number:03d}'
        organisations[name] = {
            'token_digests': [digest_token(name)],
            'weight': 1,
            'queue_limit': 5_000,
            'guarantee': [
                {
                    'count': cells,
                    'workers': 1,
                    'accelerators': SMALL_ACCELERATORS,
                    'within': 'worker',
                    'service': SERVICE,
                    'region': region,
                },
            ],
            'jobs': jobs
            or {f'job-{index:03d}': make_job(index) for index in range(jobs_per_team)},
        }
    return {
        'version': 1,
        'fleet': make_fleet(workers, region),
        'operators': {'token_digests': [digest_token(OPERATOR)]},
        'organisations': organisations,
    }


def make_state(
    number: int,
    tasks: int = 0,
    region: str = 'north',
    address: str = '127.0.0.1:1',
) -> WorkerState:
    """Return the state of a worker with running tasks that use one slot each."""
    domain, name, rack = find_location(number)
    return WorkerState(
        worker_id=f'worker-{number:05d}',
        incarnation=1_800_000_000_000_000 + number,
        version=1,
        address=address,
        service=SERVICE,
        region=region,
        domain=domain,
        rack=name,
        accelerators=count_accelerators(rack),
        slots=SLOTS,
        grants=tuple(make_grant(number, index) for index in range(tasks)),
    )


def make_grant(number: int, index: int) -> Grant:
    """Return the grant of a running task without accelerators."""
    return Grant(
        attempt_id=f'1234567-{number * SLOTS + index + 1}.1',
        organisation=f'team-{index:03d}',
        accelerators=0,
        slots=1,
        guaranteed=False,
        preemptible=True,
        running=True,
    )
