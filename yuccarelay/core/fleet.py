"""Declared racks and the cells that are guaranteed on them."""

from typing import NamedTuple

from yuccarelay.core.models import Adjacency


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
