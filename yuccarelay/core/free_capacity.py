"""Upper bound of the free capacity of a service, to skip searches that must fail."""

from collections import Counter
from typing import NamedTuple

from yuccarelay.core.models import JobSpec


class FreeCapacity(NamedTuple):
    """
    Capacity of all workers of a service.

    `free` counts the workers with a free slot by their free accelerators. `owned`
    counts the accelerators of each organisation that its guaranteed work does not
    use, whether free or lent out.
    """

    free: Counter[int]
    owned: Counter[str]


def may_hold(free_capacity: FreeCapacity, spec: JobSpec) -> bool:
    """Whether all members of a job may fit; false proves that they do not."""
    if not spec.accelerators:
        return True
    free = sum(
        workers * (accelerators // spec.accelerators)
        for accelerators, workers in free_capacity.free.items()
    )
    owned = free_capacity.owned[spec.organisation] // spec.accelerators
    return free + owned >= spec.members
