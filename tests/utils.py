"""Fakes and helpers that several test modules share."""

import io

from yuccarelay.adapters.tokens import make_digest
from yuccarelay.core.manifest import Manifest, Organisation
from yuccarelay.core.models import JobSpec
from yuccarelay.environment import Environment


class FakeClock:
    """Clock whose time the test sets."""

    def __init__(self, now_ms: int = 0):
        self.current_ms = now_ms

    def now_ms(self) -> int:
        """Return the time set last."""
        return self.current_ms


class FakeMetrics:
    """Records the totals of counters."""

    def __init__(self):
        self.counters = {}

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def observe(self, *args) -> None:
        """Ignore times."""


def make_text_stream(text: bytes = b'') -> io.TextIOWrapper:
    """Return a text stream with a `buffer`, like the standard streams."""
    return io.TextIOWrapper(io.BytesIO(text), encoding='utf-8', write_through=True)


def make_fake_environment(stdin: bytes = b'', **variables: str) -> Environment:
    """Return an environment in memory."""
    return Environment(
        stdin=make_text_stream(stdin),
        stdout=make_text_stream(),
        stderr=make_text_stream(),
        variables=variables,
        clock=FakeClock(),
    )


def read_stream(stream: io.TextIOWrapper) -> str:
    """Return all that was written to a stream of a fake environment."""
    stream.flush()
    return stream.buffer.getvalue().decode()


def make_organisation(name: str, token: str) -> Organisation:
    """Return an organisation with one job, `reprint`."""
    job = JobSpec(organisation=name, name='reprint', service='reorder')
    return Organisation(
        name=name,
        token_digests=(make_digest(token),),
        weight=1,
        queue_limit=10,
        guarantee=(),
        jobs={'reprint': job},
    )


def make_manifest() -> Manifest:
    """Return a manifest with the organisations guild and kanem and one operator."""
    organisations = (
        make_organisation('guild', 'guild-token'),
        make_organisation('kanem', 'kanem-token'),
    )
    return Manifest(
        racks=(),
        operator_digests=(make_digest('operator-token'),),
        organisations={item.name: item for item in organisations},
    )


def make_heartbeat_body(**changes) -> dict:
    """Return a worker's heartbeat as it is sent, with some fields changed."""
    body = {
        'service': 'desk',
        'address': '10.1.0.9:8080',
        'zone': 'hobart',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'capacity': {'cpu': 16_000, 'memMb': 32, 'gpu': 8},
        'labels': ['a', 'r1-3'],
        'clockMs': 5,
        'born': 9,
        'sequence': 4,
    }
    return body | changes
