"""Choice of workers for the members of a job."""

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from yuccarelay.core.models import Adjacency, JobSpec


class PlacementPolicy(enum.Enum):
    """How borrowed capacity is chosen; the last two are baselines to compare with."""

    BUDDY = 'buddy'
    FIRST_FIT = 'first_fit'
    BEST_FIT = 'best_fit'


class Candidate(NamedTuple):
    """
    State of a worker that the placement of one job uses.

    `free_accelerators` and `free_slots` are unused now. `owned_free` counts the
    accelerators of the worker that the job's organisation owns and does not use
    in guaranteed grants, whether free or lent out. `others_owned` counts those
    that other organisations own. `reclaimable_slots` counts the slots of
    borrowers, which a guaranteed claim may evict.
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
    reclaimable_slots: int = 0


class Assignment(NamedTuple):
    """Members of a job that are placed on one worker."""

    worker_id: str
    members: tuple[int, ...]
    guaranteed: bool


class Offer(NamedTuple):
    """
    How many members of the job a worker can take.

    `owned_capacity` of them fit into the organisation's own accelerators.
    `block` is the number of accelerators from which the members are allocated.
    """

    candidate: Candidate
    capacity: int
    owned_capacity: int
    block: int


Source = Callable[[JobSpec, Sequence[Candidate]], list[Offer]]
Ranker = Callable[[Offer, int], tuple[int, ...]]


def choose_workers(
    spec: JobSpec,
    candidates: Sequence[Candidate],
    policy: PlacementPolicy,
    avoid_domains: frozenset[str] = frozenset(),
) -> tuple[Assignment, ...] | None:
    """
    Return the workers for all members of a job, or None if they do not fit.

    A worker gets at most one assignment, because an agent holds one claim per
    attempt. Own cells come first, then free capacity. Avoided domains are used
    only if no other placement exists.
    """
    if avoid_domains:
        others = [c for c in candidates if c.domain not in avoid_domains]
        chosen = _choose_from(spec, others, policy, frozenset())
        if chosen is not None or len(others) == len(candidates):
            return chosen
        candidates = others + [c for c in candidates if c.domain in avoid_domains]
    return _choose_from(spec, candidates, policy, avoid_domains)


def _choose_from(
    spec: JobSpec,
    candidates: Sequence[Candidate],
    policy: PlacementPolicy,
    avoid_domains: frozenset[str],
) -> tuple[Assignment, ...] | None:
    rank = _make_ranker(spec, candidates, policy, avoid_domains)
    for source in _list_sources(spec):
        group = _choose_group(spec, source(spec, candidates), policy, rank)
        if group:
            return _assign_members(spec, group, policy, rank)
    return None


# Sources of capacity, in the order in which they are tried


def _list_sources(spec: JobSpec) -> tuple[Source, ...]:
    if not spec.accelerators:
        return (_offer_slots,)
    if not spec.preemptible:
        return (_offer_owned_and_free, _offer_owned)
    return (_offer_owned_and_free, _offer_owned, _offer_free, _offer_free_or_owned)


def _offer_slots(spec: JobSpec, candidates: Sequence[Candidate]) -> list[Offer]:
    """
    Offer free slots to a job without accelerators.

    An agent refuses a borrowed claim of a job that is not preemptible, so such a
    job counts as guaranteed. The slots of a preemptible job stay reclaimable.
    """
    return [
        Offer(
            candidate=c,
            capacity=c.free_slots,
            owned_capacity=0 if spec.preemptible else c.free_slots,
            block=c.free_accelerators,
        )
        for c in candidates
        if c.free_slots > 0
    ]


def _offer_owned_and_free(
    spec: JobSpec, candidates: Sequence[Candidate]
) -> list[Offer]:
    """Offer own accelerators that are free, so that no borrower is evicted."""
    need = spec.accelerators
    offers = []
    for c in candidates:
        block = min(c.owned_free, c.free_accelerators)
        if block >= need and c.free_slots > 0:
            capacity = min(block // need, c.free_slots)
            offers.append(Offer(c, capacity, capacity, block))
    return offers


def _offer_owned(spec: JobSpec, candidates: Sequence[Candidate]) -> list[Offer]:
    """Offer own accelerators, free or lent out."""
    offers = []
    for c in candidates:
        capacity = _count_owned(spec, c)
        if capacity:
            offers.append(Offer(c, capacity, capacity, c.owned_free))
    return offers


def _offer_free(spec: JobSpec, candidates: Sequence[Candidate]) -> list[Offer]:
    """Offer free accelerators, whoever owns them."""
    need = spec.accelerators
    offers = []
    for c in candidates:
        if c.free_accelerators >= need and c.free_slots > 0:
            capacity = min(c.free_accelerators // need, c.free_slots)
            owned = min(c.owned_free // need, capacity)
            offers.append(Offer(c, capacity, owned, c.free_accelerators))
    return offers


def _offer_free_or_owned(
    spec: JobSpec,
    candidates: Sequence[Candidate],
) -> list[Offer]:
    """Offer on each worker its free or its own accelerators, whichever hold more."""
    need = spec.accelerators
    offers = []
    for c in candidates:
        owned = _count_owned(spec, c)
        free = max(min(c.free_accelerators // need, c.free_slots), 0)
        if owned or free:
            block = c.owned_free if owned > free else c.free_accelerators
            offers.append(Offer(c, max(owned, free), owned, block))
    return offers


def _count_owned(spec: JobSpec, candidate: Candidate) -> int:
    if candidate.owned_free < spec.accelerators:
        return 0
    slots = candidate.free_slots + candidate.reclaimable_slots
    return max(min(candidate.owned_free // spec.accelerators, slots), 0)


# Choice of the part of the fleet that all members share and of its workers


def _choose_group(
    spec: JobSpec,
    offers: list[Offer],
    policy: PlacementPolicy,
    rank: Ranker,
) -> list[Offer]:
    """Return the offers of the best part of the fleet that holds all members."""
    if spec.members == 1 or spec.adjacency is Adjacency.WORKER:
        sufficient = [offer for offer in offers if offer.capacity >= spec.members]
        return _pick_best(sufficient, spec.members, policy, rank)
    groups: dict[tuple[str, ...], list[Offer]] = {}
    for offer in offers:
        key = locate(offer.candidate, spec.adjacency)
        groups.setdefault(key, []).append(offer)
    feasible = [
        group
        for group in groups.values()
        if sum(offer.capacity for offer in group) >= spec.members
    ]
    if not feasible or policy is PlacementPolicy.FIRST_FIT:
        return feasible[0] if feasible else []
    return min(feasible, key=lambda group: _rank_group(spec, group))


def locate(candidate: Candidate, adjacency: Adjacency) -> tuple[str, ...]:
    """Return the worker, rack, domain or region in which members are adjacent."""
    match adjacency:
        case Adjacency.WORKER:
            return (candidate.worker_id,)
        case Adjacency.RACK:
            return (candidate.region, candidate.domain, candidate.rack)
        case Adjacency.DOMAIN:
            return (candidate.region, candidate.domain)
        case Adjacency.REGION | Adjacency.ANY:
            return (candidate.region,)


def _rank_group(spec: JobSpec, group: list[Offer]) -> tuple[int, int, int]:
    """Rank by evictions, then by unused capacity, then by the count of idle workers."""
    free = sum(offer.candidate.free_accelerators for offer in group)
    evicted = max(spec.total_accelerators - free, 0)
    unused = sum(offer.capacity for offer in group) - spec.members
    idle = sum(_is_idle(offer.candidate) for offer in group)
    return evicted, unused, idle


def _assign_members(
    spec: JobSpec,
    group: list[Offer],
    policy: PlacementPolicy,
    rank: Ranker,
) -> tuple[Assignment, ...]:
    """
    Fill workers in the order of the policy; the last one is the best fit.

    The group holds all members. Each worker before the last is filled, so unused
    capacity is left on one worker only.
    """
    ordered = list(group)
    if len(group) > 1 and policy is not PlacementPolicy.FIRST_FIT:
        ordered.sort(key=lambda offer: rank(offer, offer.capacity))
    assignments = []
    placed = 0
    for index, offer in enumerate(ordered):
        left = spec.members - placed
        if offer.capacity >= left:
            sufficient = [rest for rest in ordered[index:] if rest.capacity >= left]
            last = _pick_best(sufficient, left, policy, rank)[0]
            assignments.append(_assign(last, placed, left))
            break
        assignments.append(_assign(offer, placed, offer.capacity))
        placed += offer.capacity
    return tuple(assignments)


def _pick_best(
    offers: list[Offer],
    members: int,
    policy: PlacementPolicy,
    rank: Ranker,
) -> list[Offer]:
    """Return the best offer for `members` members in a list, empty without offers."""
    if not offers or policy is PlacementPolicy.FIRST_FIT:
        return offers[:1]
    return [min(offers, key=lambda offer: rank(offer, members))]


def _assign(offer: Offer, first: int, count: int) -> Assignment:
    return Assignment(
        worker_id=offer.candidate.worker_id,
        members=tuple(range(first, first + count)),
        guaranteed=count <= offer.owned_capacity,
    )


# Ranking of workers; lower is better


def _make_ranker(
    spec: JobSpec,
    candidates: Sequence[Candidate],
    policy: PlacementPolicy,
    avoid_domains: frozenset[str],
) -> Ranker:
    if policy is not PlacementPolicy.BUDDY:
        return lambda offer, members: (
            offer.candidate.domain in avoid_domains,
            _count_evicted(offer, members * spec.accelerators),
            offer.block - members * spec.accelerators,
        )
    idle_workers = _count_idle_workers(candidates)

    def rank(offer: Offer, members: int) -> tuple[int, ...]:
        candidate = offer.candidate
        need = members * spec.accelerators
        return (
            candidate.domain in avoid_domains,
            _count_evicted(offer, need),
            offer.block - need,
            idle_workers[locate(candidate, Adjacency.RACK)],
            _count_reclaimable(candidate, need),
            candidate.free_accelerators,
        )

    return rank


def _count_evicted(offer: Offer, need: int) -> int:
    return max(need - offer.candidate.free_accelerators, 0)


def _count_reclaimable(candidate: Candidate, need: int) -> int:
    """Return how many of the needed accelerators their owners could reclaim."""
    left = candidate.free_accelerators - need
    return min(max(candidate.others_owned - left, 0), need)


def _count_idle_workers(candidates: Iterable[Candidate]) -> Counter:
    """Return the number of idle workers of each rack."""
    return Counter(
        (c.region, c.domain, c.rack)
        for c in candidates
        if c.free_accelerators >= c.accelerators
    )


def _is_idle(candidate: Candidate) -> bool:
    return candidate.free_accelerators >= candidate.accelerators


# Fragmentation


def measure_fragmentation(candidates: Iterable[Candidate]) -> float:
    """
    Return the share of free accelerators that lie in partly used workers.

    A job that needs all accelerators of a worker cannot use these. The share is
    0 in an idle and in a full fleet.
    """
    return _measure_partial_share(
        [(c.free_accelerators, c.accelerators) for c in candidates]
    )


def measure_rack_fragmentation(candidates: Iterable[Candidate]) -> float:
    """Return the share of free accelerators that lie in partly used racks."""
    free: Counter = Counter()
    total: Counter = Counter()
    for candidate in candidates:
        rack = locate(candidate, Adjacency.RACK)
        free[rack] += candidate.free_accelerators
        total[rack] += candidate.accelerators
    return _measure_partial_share([(free[rack], total[rack]) for rack in total])


def _measure_partial_share(blocks: list[tuple[int, int]]) -> float:
    """Return the share of free accelerators in partly used (free, total) blocks."""
    total_free = sum(free for free, _ in blocks)
    broken = sum(free for free, total in blocks if free < total)
    return broken / total_free if total_free else 0.0
