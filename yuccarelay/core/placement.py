"""Choice of workers for the members of a job."""

import enum
from typing import NamedTuple


class PlacementPolicy(enum.Enum):
    """How borrowed capacity is chosen; the last two are baselines to compare with."""

    BUDDY = 'buddy'
    FIRST_FIT = 'first_fit'
    BEST_FIT = 'best_fit'


class Candidate(NamedTuple):
    """
    A worker as the placement of one job sees it.

    `free_accelerators` and `free_slots` are unused now. `owned_free` counts the
    accelerators here that the job's organisation owns and does not use in
    guaranteed grants, whether free or lent out. `others_owned` counts those that
    other organisations own.
    """

    worker_id: str
    region: str
    domain: str
    rack: str
    accelerators: int
    free_accelerators: int
    free_slots: int
    owned_free: int
    others_owned: int


class Assignment(NamedTuple):
    """Members of a job that are placed on one worker."""

    worker_id: str
    members: tuple[int, ...]
    guaranteed: bool
