"""The manifest: organisations, their guarantees and the jobs they may run."""

from typing import NamedTuple

from yuccarelay.core.fleet import GuaranteedCell, RackCapacity
from yuccarelay.core.models import JobSpec

MANIFEST_LIMIT_BYTES = 1_000_000


class Organisation(NamedTuple):
    """An organisation with its guarantee and the jobs that it may run."""

    name: str
    token_digests: tuple[str, ...]
    weight: int
    queue_limit: int
    guarantee: tuple[GuaranteedCell, ...]
    jobs: dict[str, JobSpec]


class Manifest(NamedTuple):
    """A checked manifest."""

    racks: tuple[RackCapacity, ...]
    operator_digests: tuple[str, ...]
    organisations: dict[str, Organisation]


class FieldError(NamedTuple):
    """A rule that a field of the input breaks, for example `organisations.a.weight`."""

    field: str
    rule: str
