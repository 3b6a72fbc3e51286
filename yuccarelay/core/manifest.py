"""The manifest: organisations, their guarantees and the jobs they may run."""

from typing import NamedTuple

from yuccarelay.core.models import Adjacency, JobSpec

MANIFEST_LIMIT_BYTES = 1_000_000


class RackCapacity(NamedTuple):
    """One declared rack: how many equal workers it has and what each offers."""

    region: str
    domain: str
    rack: str
    service: str
    workers: int
    accelerators: int
    slots: int


class Cell(NamedTuple):
    """
    A block of accelerators that lie close together.

    `workers` workers with `accelerators` accelerators each, all in one part of
    the fleet named by `within`. With one worker, `within` is `WORKER`. An empty
    `region` means any region.
    """

    workers: int
    accelerators: int
    within: Adjacency
    service: str
    region: str = ''


class GuaranteedCell(NamedTuple):
    """How many times an organisation is guaranteed a cell."""

    cell: Cell
    count: int


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
