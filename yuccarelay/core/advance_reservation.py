"""
Reservation of workers for a large gang that has waited too long.

Without it, small work that fits takes each accelerator as it becomes free, and a
large gang never finds enough of them free at the same time.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from yuccarelay.core.models import JobSpec
from yuccarelay.core.ordering import QueuedJob
from yuccarelay.core.placement import Candidate, locate

# Gangs of this many accelerators count as large: a whole worker or more.
LARGE_GANG_ACCELERATORS = 8

# Long enough for ordinary turnover to make room, and a third of the default
# start limit of 1 h.
EARMARK_AGE_MS = 1_200_000


class Earmark(NamedTuple):
    """
    Workers that are kept for one job.

    `start_ms` is when all of them are expected to be free, or None if that is not
    known; then no other work may use them.
    """

    job_id: str
    organisation: str
    worker_ids: frozenset[str]
    start_ms: int | None


class Place(NamedTuple):
    """
    What a worker could hold once the work that blocks it has ended.

    `blocked` counts the accelerators that the job still has to wait for.
    """

    worker_id: str
    capacity: int
    ready_ms: float
    blocked: int


def find_waiting_gang(jobs: Iterable[QueuedJob], now_ms: int) -> QueuedJob | None:
    """Return the first of the ordered jobs that has a claim to an earmark."""
    for job in jobs:
        large = job.spec.total_accelerators >= LARGE_GANG_ACCELERATORS
        if large and now_ms - job.submitted_ms >= EARMARK_AGE_MS:
            return job
    return None


def choose_earmark(
    job: QueuedJob,
    candidates: Sequence[Candidate],
    owned: Mapping[str, int],
    free_ms: Mapping[str, int],
    now_ms: int,
) -> Earmark | None:
    """
    Return the part of the fleet that is expected to hold the job first.

    `owned` gives the accelerators that the plan assigns to the organisation, and
    `free_ms` the time at which the work on a worker is expected to end, for
    the workers where all of it has a learned run time. None means that the job
    does not fit even when everything else has ended.
    """
    groups: dict[tuple[str, ...], list[Place]] = {}
    for candidate in candidates:
        own = owned.get(candidate.worker_id, 0)
        place = _measure_place(job.spec, candidate, own, free_ms, now_ms)
        if place.capacity:
            key = locate(candidate, job.spec.adjacency)
            groups.setdefault(key, []).append(place)
    choices = [_fill(job.spec, places) for places in groups.values()]
    feasible = [places for places in choices if places]
    if not feasible:
        return None
    best = min(
        feasible,
        key=lambda places: (_find_ready(places), sum(p.blocked for p in places)),
    )
    ready_ms = _find_ready(best)
    return Earmark(
        job_id=job.job_id,
        organisation=job.spec.organisation,
        worker_ids=frozenset(place.worker_id for place in best),
        start_ms=None if ready_ms == float('inf') else int(ready_ms),
    )


def _measure_place(
    spec: JobSpec,
    candidate: Candidate,
    own: int,
    free_ms: Mapping[str, int],
    now_ms: int,
) -> Place:
    total, free = candidate.accelerators, candidate.free_accelerators
    if not spec.preemptible:
        # Such a job uses only own cells, and borrowers there can be evicted.
        total, free = own, candidate.owned_free
    blocked = max(total - free, 0)
    ready_ms = free_ms.get(candidate.worker_id, float('inf')) if blocked else now_ms
    return Place(
        worker_id=candidate.worker_id,
        capacity=total // spec.accelerators,
        ready_ms=max(ready_ms, now_ms),
        blocked=blocked,
    )


def _fill(spec: JobSpec, places: list[Place]) -> list[Place]:
    """Return the workers that are ready first and hold all members, or none."""
    chosen = []
    left = spec.members
    for place in sorted(places, key=lambda p: (p.ready_ms, p.blocked, -p.capacity)):
        chosen.append(place)
        left -= place.capacity
        if left <= 0:
            return chosen
    return []


def _find_ready(places: list[Place]) -> float:
    return max(place.ready_ms for place in places)


def may_backfill(
    advance_reservation: Earmark, now_ms: int, learned_run_ms: int | None
) -> bool:
    """Tell whether a job ends before the gang is expected to start."""
    if advance_reservation.start_ms is None or learned_run_ms is None:
        return False
    return now_ms + learned_run_ms <= advance_reservation.start_ms


def restrict_candidates(
    job: QueuedJob,
    candidates: Sequence[Candidate],
    advance_reservation: Earmark | None,
    now_ms: int,
    learned_run_ms: int | None,
) -> Sequence[Candidate]:
    """
    Return the candidates that a job may use beside an earmark.

    Another organisation keeps its own accelerators on earmarked workers, because
    a guarantee goes before an earmark; it only cannot borrow there. Jobs without
    accelerators stay away, because the gang needs slots too.
    """
    if advance_reservation is None or job.job_id == advance_reservation.job_id:
        return candidates
    if may_backfill(advance_reservation, now_ms, learned_run_ms):
        return candidates
    if (
        job.spec.organisation == advance_reservation.organisation
        or not job.spec.accelerators
    ):
        return [
            c for c in candidates if c.worker_id not in advance_reservation.worker_ids
        ]
    return [
        c._replace(free_accelerators=min(c.free_accelerators, c.owned_free))
        if c.worker_id in advance_reservation.worker_ids
        else c
        for c in candidates
    ]
