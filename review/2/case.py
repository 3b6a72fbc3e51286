"""A heartbeat of another writer, for a service that nobody configured, at a worker's agent."""

import http.client
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import stage as st

JOB = '00000000000000b2'
STEP = {'count': 1, 'cpu': 15_000, 'memMb': 31_000, 'gpu': 1, 'estimatedMs': 14_000}


def send_foreign_heartbeat(stage, number):
    """Send a heartbeat that names a service which is in no configuration."""
    body = {
        'service': 'zz-unknown',
        'address': f'{stage.network}.250:9000',
        'zone': 'hobart',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'capacity': {'cpu': 128_000, 'memMb': 262_144, 'gpu': 8},
        'labels': ['a', 'r1-1'],
        'clockMs': 482_113,
        'born': time.time_ns() // 1_000_000,
        'sequence': 1,
    }
    host, _, port = stage.addresses[f'control-{number}'].rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    headers = {'Content-Type': 'application/json'}
    connection.request(
        'POST', '/api/Instances.Heartbeat/i-7f3a91c2', json.dumps(body), headers
    )
    status = connection.getresponse().status
    connection.close()
    stage.record(f'a heartbeat of i-7f3a91c2, service zz-unknown, at side-{number}: {status}')


def play(stage):
    stage.submit(JOB, [STEP], 'ms=14000')
    start = stage.wait_for(lambda: stage.events('start', job=JOB), 'the start', 15)[0]
    time.sleep(5.0)
    if stage.trouble:
        send_foreign_heartbeat(stage, start['worker'].removeprefix('i-'))
    state = stage.wait_for(
        lambda: (s := stage.state(JOB)) in ('completed', 'failed') and s,
        'the job ends',
        limit_s=60,
        optional=True,
    )
    stage.record(f'the job is {state}')
    overlaps = st.find_overlaps(stage.runs(JOB))
    if overlaps:
        one, other, together = overlaps[0]
        return st.BROKEN, (
            f'TWICE: {one[0]} ran as run {one[1]} on {one[2]} and as run {other[1]} on'
            f' {other[2]} at the same time, for {together:.1f} s'
        )
    return st.HELD, f'no task ran twice at the same time; the job is {state}'


st.main(pathlib.Path(__file__).parent, play)
