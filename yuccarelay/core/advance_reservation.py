"""
Reservation of workers for a large gang that has waited too long.

Without it, small jobs take each accelerator as it becomes free, and a large gang
never finds enough of them free at the same time.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from yuccarelay.core.models import JobSpec
from yuccarelay.core.ordering import QueuedJob
from yuccarelay.core.placement import Candidate, locate

# Gangs of this many accelerators count as large: a whole worker or more.
LARGE_GANG_ACCELERATORS = 8

# In this time the ordinary turnover of jobs usually frees enough capacity; it is a
# third of the default start limit of 1 h.
ADVANCE_RESERVATION_AGE_MS = 1_200_000


class AdvanceReservation(NamedTuple):
    """
    Workers that are reserved for one job.

    `start_ms` is when all of them are expected to be free, or None if that is not
    known. If it is None, no job may backfill them.
    """

    job_id: str
    organisation: str
    worker_ids: frozenset[str]
    start_ms: int | None


class WorkerForecast(NamedTuple):
    """
    How many members a worker can hold once the work that blocks the job has ended.

    `ready_ms` is when that is expected, or infinity if it is not known. `blocked`
    counts the accelerators that the job waits for.
    """

    worker_id: str
    capacity: int
    ready_ms: float
    blocked: int


def find_waiting_gang(jobs: Iterable[QueuedJob], now_ms: int) -> QueuedJob | None:
    """Return the first of the ordered jobs that is a large gang and waits too long."""
    for job in jobs:
        large = job.spec.total_accelerators >= LARGE_GANG_ACCELERATORS
        if large and now_ms - job.submitted_ms >= ADVANCE_RESERVATION_AGE_MS:
            return job
    return None


def choose_advance_reservation(
    job: QueuedJob,
    candidates: Sequence[Candidate],
    owned: Mapping[str, int],
    free_ms: Mapping[str, int],
    now_ms: int,
) -> AdvanceReservation | None:
    """
    Return a reservation of the part of the fleet expected to hold the job first.

    `owned` gives the accelerators that the plan assigns to the organisation, and
    `free_ms` the time at which the work on a worker is expected to end, for
    the workers where all of it has a learned run time. None means that the job
    does not fit even when all other work has ended.
    """
    groups: dict[tuple[str, ...], list[WorkerForecast]] = {}
    for candidate in candidates:
        own = owned.get(candidate.worker_id, 0)
        forecast = _forecast_worker(job.spec, candidate, own, free_ms, now_ms)
        if forecast.capacity:
            key = locate(candidate, job.spec.adjacency)
            groups.setdefault(key, []).append(forecast)
    choices = [_choose_earliest(job.spec, forecasts) for forecasts in groups.values()]
    feasible = [forecasts for forecasts in choices if forecasts]
    if not feasible:
        return None
    best = min(
        feasible,
        key=lambda forecasts: (
            _find_ready_ms(forecasts),
            sum(f.blocked for f in forecasts),
        ),
    )
    ready_ms = _find_ready_ms(best)
    return AdvanceReservation(
        job_id=job.job_id,
        organisation=job.spec.organisation,
        worker_ids=frozenset(forecast.worker_id for forecast in best),
        start_ms=None if ready_ms == float('inf') else int(ready_ms),
    )


def _forecast_worker(
    spec: JobSpec,
    candidate: Candidate,
    own: int,
    free_ms: Mapping[str, int],
    now_ms: int,
) -> WorkerForecast:
    total, free = candidate.accelerators, candidate.free_accelerators
    if not spec.preemptible:
        # Such a job uses only own cells, and borrowers there can be evicted.
        total, free = own, candidate.owned_free
    blocked = max(total - free, 0)
    ready_ms = free_ms.get(candidate.worker_id, float('inf')) if blocked else now_ms
    return WorkerForecast(
        worker_id=candidate.worker_id,
        capacity=total // spec.accelerators,
        ready_ms=max(ready_ms, now_ms),
        blocked=blocked,
    )


def _choose_earliest(
    spec: JobSpec, forecasts: list[WorkerForecast]
) -> list[WorkerForecast]:
    """Return the workers that are ready first and hold all members, or []."""
    chosen = []
    left = spec.members
    for forecast in sorted(
        forecasts, key=lambda f: (f.ready_ms, f.blocked, -f.capacity)
    ):
        chosen.append(forecast)
        left -= forecast.capacity
        if left <= 0:
            return chosen
    return []


def _find_ready_ms(forecasts: list[WorkerForecast]) -> float:
    return max(forecast.ready_ms for forecast in forecasts)


def may_backfill(
    advance_reservation: AdvanceReservation, now_ms: int, learned_run_ms: int | None
) -> bool:
    """Whether a job is expected to end before the gang is expected to start."""
    if advance_reservation.start_ms is None or learned_run_ms is None:
        return False
    return now_ms + learned_run_ms <= advance_reservation.start_ms


def restrict_candidates(
    job: QueuedJob,
    candidates: Sequence[Candidate],
    advance_reservation: AdvanceReservation | None,
    now_ms: int,
    learned_run_ms: int | None,
) -> Sequence[Candidate]:
    """
    Return the candidates that a job may use despite an advance reservation.

    On reserved workers, other organisations may use the accelerators that they own,
    because a guarantee has priority over a reservation, but they may not borrow.
    Jobs without accelerators may not use these workers, because the gang needs
    slots too.
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
