"""Packing of guaranteed cells, and the plan that gives each cell its workers."""

from typing import NamedTuple


class CellHome(NamedTuple):
    """
    The workers that carry one guaranteed cell.

    `ordinal` numbers the cells of one organisation in the order of its
    guarantee; `accelerators` counts per worker.
    """

    organisation: str
    ordinal: int
    workers: tuple[str, ...]
    accelerators: int


class Plan(NamedTuple):
    """Which workers carry which guaranteed cells; `epoch` rises with each change."""

    epoch: int
    generation: int
    homes: tuple[CellHome, ...]
