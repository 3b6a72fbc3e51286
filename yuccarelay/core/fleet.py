"""Declared racks and the cells that are guaranteed on them."""

from typing import NamedTuple

from yuccarelay.core.models import Adjacency


class RackCapacity(NamedTuple):
    """One declared rack: the number of equal workers and the capacity of each."""

    region: str
    domain: str
    rack: str
    service: str
    workers: int
    accelerators: int
    slots: int


class Cell(NamedTuple):
    """
    A block of accelerators on adjacent workers.

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
    """A cell and how many of it an organisation is guaranteed."""

    cell: Cell
    count: int
