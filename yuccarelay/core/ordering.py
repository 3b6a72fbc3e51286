"""Order of the queued jobs of one entry."""

import heapq
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple, Protocol

from yuccarelay.core.models import JobClass, JobSpec

NO_DEADLINE_MS = 2**63 - 1

# A job of a lower class reaches the next class after this wait. Ordinary work
# has start limits of about an hour and becomes urgent half-way to them; a shorter
# time would put a backlog of ordinary work level with new urgent work.
AGEING_MS = {JobClass.ORDINARY: 1_800_000, JobClass.DEFERRABLE: 7_200_000}

# Whether a job submitted in a class goes before jobs that reached it by ageing.
UNAGED_FIRST = True

# Lane limits in attained accelerator time: 10 min, 2 h, 1 day. Each lane is about
# ten times as long as the one before, so a job changes lanes only a few times.
LANE_LIMITS_MS = (600_000, 7_200_000, 86_400_000)

# Half-life of the attained shares. Most jobs run for hours, so with a shorter one
# the use of a job would have decayed before the job ends.
SHARE_HALF_LIFE_MS = 14_400_000

# The share of an organisation that was idle may be lower than the least share of
# the busy ones by this accelerator time per weight: one burst of short work.
IDLE_CREDIT_MS = 600_000

# Within one call of `JobQueue.order`, each listed job counts as this run time, so
# that one organisation does not fill the list. Declared run times are too often
# wrong to be used here.
NOMINAL_RUN_MS = 60_000

# The heap of deadlines is rebuilt when the entries of removed jobs outnumber the
# queued jobs by more than this, so that a short queue is not rebuilt all the time.
STALE_DEADLINES = 64


class QueuedJob(NamedTuple):
    """
    A job that waits for its next attempt.

    `attained_ms` is accelerator time of earlier attempts. The job is not placed
    before `not_before_ms` and is not started for the first time after
    `start_deadline_ms`.
    """

    job_id: str
    spec: JobSpec
    submitted_ms: int
    start_deadline_ms: int
    attained_ms: int = 0
    not_before_ms: int = 0
    attempt: int = 0


class Queue(Protocol):
    """Queue that an entry uses: `JobQueue`, or `Fifo` as a baseline to compare with."""

    def push(self, job: QueuedJob) -> None:
        """Add a job."""

    def remove(self, job_id: str) -> QueuedJob | None:
        """Remove and return a job, or return None if it is not queued."""

    def depth(self, organisation: str) -> int:
        """Return the number of queued jobs of an organisation."""

    def count_ahead(self, organisation: str, job_class: JobClass) -> int:
        """Return how many jobs of an organisation go before a new one of a class."""

    def order(
        self,
        now_ms: int,
        limit: int,
        skipped: Set[JobSpec] = frozenset(),
    ) -> list[QueuedJob]:
        """Return the jobs that may be placed now, best first."""

    def take_expired(self, now_ms: int) -> list[QueuedJob]:
        """Remove and return the jobs whose start deadline has passed."""

    def charge(self, organisation: str, accelerator_ms: int) -> None:
        """Add to the accelerator time that an organisation has attained."""

    def set_weights(self, weights: dict[str, int]) -> None:
        """Replace the weights; an organisation without one has weight 1."""


class DeadlineIndex:
    """Start deadlines of queued jobs; those of removed jobs are skipped when popped."""

    def __init__(self):
        self.heap: list[tuple[int, str]] = []

    def add(self, job: QueuedJob, jobs: dict[str, QueuedJob]) -> None:
        """Add a job and drop stale entries once they outnumber the queued jobs."""
        heapq.heappush(self.heap, (job.start_deadline_ms, job.job_id))
        if len(self.heap) > 2 * len(jobs) + STALE_DEADLINES:
            self.heap = [(j.start_deadline_ms, j.job_id) for j in jobs.values()]
            heapq.heapify(self.heap)

    def list_passed(self, now_ms: int, jobs: dict[str, QueuedJob]) -> list[str]:
        """Pop the deadlines before now and return the ids of the jobs still queued."""
        passed: dict[str, None] = {}
        while self.heap and self.heap[0][0] < now_ms:
            deadline_ms, job_id = heapq.heappop(self.heap)
            job = jobs.get(job_id)
            if job and job.start_deadline_ms == deadline_ms:
                passed[job_id] = None
        return list(passed)


class FairShares:
    """
    Accelerator time that organisations attained, per weight, decaying with time.

    All shares decay by the same factor, so the decay alone does not change their
    order. It makes recent use count more than old use.
    """

    def __init__(self):
        self.attained: dict[str, float] = {}
        self.weights: dict[str, int] = {}
        self.least_busy_share = 0.0
        self.decayed_ms: int | None = None

    def weigh(self, organisation: str) -> int:
        """Return the weight of an organisation, at least 1."""
        return max(self.weights.get(organisation, 1), 1)

    def measure(self, organisation: str) -> float:
        """Return the attained accelerator time per weight in milliseconds."""
        return self.attained.get(organisation, 0.0) / self.weigh(organisation)

    def charge(self, organisation: str, accelerator_ms: int) -> None:
        """Add accelerator time."""
        attained = self.attained.get(organisation, 0.0)
        self.attained[organisation] = attained + accelerator_ms

    def decay(self, now_ms: int) -> None:
        """Let the shares decay up to now and drop those under 1 ms."""
        if self.decayed_ms is not None and now_ms > self.decayed_ms:
            factor = 0.5 ** ((now_ms - self.decayed_ms) / SHARE_HALF_LIFE_MS)
            self.attained = {
                organisation: attained * factor
                for organisation, attained in self.attained.items()
                if attained * factor >= 1
            }
            self.least_busy_share *= factor
        self.decayed_ms = max(now_ms, self.decayed_ms or now_ms)

    def update_least_busy_share(self, busy: Iterable[str]) -> None:
        """Record the least share of the busy organisations; without any it stays."""
        self.least_busy_share = min(
            map(self.measure, busy), default=self.least_busy_share
        )

    def limit_idle_credit(self, organisation: str) -> None:
        """Raise a share to at least the least busy share minus `IDLE_CREDIT_MS`."""
        floor = self.least_busy_share - IDLE_CREDIT_MS
        if self.measure(organisation) < floor:
            self.attained[organisation] = floor * self.weigh(organisation)


class Lane:
    """Jobs with the same specification and lane, in the order of submission."""

    def __init__(self):
        self.jobs: OrderedDict[str, QueuedJob] = OrderedDict()
        self.sorted = True

    def add(self, job: QueuedJob) -> None:
        """Add a job; a retried job may have been submitted before the last one."""
        if self.jobs:
            last = next(reversed(self.jobs.values()))
            self.sorted = self.sorted and last.submitted_ms <= job.submitted_ms
        self.jobs[job.job_id] = job

    def list_jobs(self) -> Iterator[QueuedJob]:
        """Return the jobs, oldest first."""
        if not self.sorted:
            ordered = sorted(self.jobs.values(), key=lambda job: job.submitted_ms)
            self.jobs = OrderedDict((job.job_id, job) for job in ordered)
            self.sorted = True
        return iter(self.jobs.values())


LaneKey = tuple[JobSpec, int]
Ranked = tuple[int, int, int, int, str, QueuedJob]


class JobQueue:
    """
    Queue that orders by class with ageing, fair share of organisations, and lane.

    `remove` costs O(1). `order` costs O(limit) plus the number of lanes and of
    jobs that are backing off.
    """

    def __init__(self):
        self.jobs: dict[str, QueuedJob] = {}
        self.lanes: dict[str, dict[LaneKey, Lane]] = {}
        self.depths: dict[str, int] = {}
        self.deadlines = DeadlineIndex()
        self.shares = FairShares()

    def push(self, job: QueuedJob) -> None:
        """Add a job; an id that is queued already is a broken invariant."""
        if job.job_id in self.jobs:
            raise ValueError(f'job {job.job_id} is queued already')
        organisation = job.spec.organisation
        if organisation not in self.depths:
            self.shares.update_least_busy_share(self.depths)
            self.shares.limit_idle_credit(organisation)
        self.jobs[job.job_id] = job
        self.depths[organisation] = self.depth(organisation) + 1
        lanes = self.lanes.setdefault(organisation, {})
        lanes.setdefault(find_lane(job), Lane()).add(job)
        self.deadlines.add(job, self.jobs)

    def remove(self, job_id: str) -> QueuedJob | None:
        """Remove and return a job, or return None if it is not queued."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return None
        organisation = job.spec.organisation
        lanes = self.lanes[organisation]
        lane = lanes[find_lane(job)]
        del lane.jobs[job_id]
        if not lane.jobs:
            del lanes[find_lane(job)]
        self.depths[organisation] -= 1
        if not self.depths[organisation]:
            del self.depths[organisation], self.lanes[organisation]
        return job

    def depth(self, organisation: str) -> int:
        """Return the number of queued jobs of an organisation."""
        return self.depths.get(organisation, 0)

    def count_ahead(self, organisation: str, job_class: JobClass) -> int:
        """Return how many jobs of an organisation are of this class or a higher one."""
        return sum(
            len(lane.jobs)
            for (spec, _), lane in self.lanes.get(organisation, {}).items()
            if spec.job_class.rank <= job_class.rank
        )

    def order(
        self,
        now_ms: int,
        limit: int,
        skipped: Set[JobSpec] = frozenset(),
    ) -> list[QueuedJob]:
        """
        Return up to `limit` jobs that may be placed now, best first.

        Jobs with a specification in `skipped` are left out, so that a long queue of
        jobs that do not fit does not keep other jobs off the list.
        """
        self.shares.decay(now_ms)
        self.shares.update_least_busy_share(self.depths)
        streams = {name: self._rank_jobs(name, now_ms, skipped) for name in self.lanes}
        heads: list[tuple[int, float, str, QueuedJob]] = []
        for name, stream in streams.items():
            self._push_head(heads, stream, self.shares.measure(name), name)
        ordered: list[QueuedJob] = []
        while heads and len(ordered) < limit:
            _, share, name, job = heapq.heappop(heads)
            ordered.append(job)
            cost = max(job.spec.total_accelerators, 1) * NOMINAL_RUN_MS
            share += cost / self.shares.weigh(name)
            self._push_head(heads, streams[name], share, name)
        return ordered

    def take_expired(self, now_ms: int) -> list[QueuedJob]:
        """
        Remove and return the jobs whose start deadline has passed.

        The deadline is for the first start: a job that has run before is pushed
        with `NO_DEADLINE_MS`.
        """
        passed = self.deadlines.list_passed(now_ms, self.jobs)
        return [job for job_id in passed if (job := self.remove(job_id))]

    def charge(self, organisation: str, accelerator_ms: int) -> None:
        """Add to the accelerator time that an organisation has attained."""
        self.shares.charge(organisation, accelerator_ms)

    def set_weights(self, weights: dict[str, int]) -> None:
        """Replace the weights; an organisation without one has weight 1."""
        self.shares.weights = dict(weights)

    def _rank_jobs(
        self,
        organisation: str,
        now_ms: int,
        skipped: Set[JobSpec],
    ) -> Iterator[Ranked]:
        lanes = [
            _rank_lane(key, lane, now_ms)
            for key, lane in self.lanes[organisation].items()
            if key[0] not in skipped
        ]
        return heapq.merge(*lanes)

    def _push_head(
        self,
        heads: list[tuple[int, float, str, QueuedJob]],
        stream: Iterator[Ranked],
        share: float,
        name: str,
    ) -> None:
        ranked = next(stream, None)
        if ranked is not None:
            heapq.heappush(heads, (ranked[0], share, name, ranked[-1]))


def _rank_lane(key: LaneKey, lane: Lane, now_ms: int) -> Iterator[Ranked]:
    """
    Yield the jobs of a lane that may be placed now, with their sort keys.

    The keys are in ascending order, because an older job has aged at least as far
    as a newer one. Among jobs of equal rank those that have not aged go first:
    urgent work must start within seconds, also behind a backlog of work that
    became urgent.
    """
    own_rank = key[0].job_class.rank if UNAGED_FIRST else 0
    for job in lane.list_jobs():
        if job.not_before_ms <= now_ms:
            rank = rank_class(job, now_ms)
            yield rank, own_rank, key[1], job.submitted_ms, job.job_id, job


def find_lane(job: QueuedJob) -> LaneKey:
    """Return the specification of a job and its lane by attained time."""
    return job.spec, bisect_right(LANE_LIMITS_MS, job.attained_ms)


def rank_class(job: QueuedJob, now_ms: int) -> int:
    """Return the rank of a job's class after ageing; 0 is served first."""
    rank = job.spec.job_class.rank
    if not rank:
        return 0
    waited_ms = max(now_ms - job.submitted_ms, 0)
    return max(rank - waited_ms // AGEING_MS[job.spec.job_class], 0)


class Fifo:
    """Baseline that orders jobs by submission time only and ignores shares."""

    def __init__(self):
        self.jobs: dict[str, QueuedJob] = {}

    def push(self, job: QueuedJob) -> None:
        """Add a job; an id that is queued already is a broken invariant."""
        if job.job_id in self.jobs:
            raise ValueError(f'job {job.job_id} is queued already')
        self.jobs[job.job_id] = job

    def remove(self, job_id: str) -> QueuedJob | None:
        """Remove and return a job, or return None if it is not queued."""
        return self.jobs.pop(job_id, None)

    def depth(self, organisation: str) -> int:
        """Return the number of queued jobs of an organisation."""
        return sum(job.spec.organisation == organisation for job in self.jobs.values())

    def count_ahead(self, organisation: str, job_class: JobClass) -> int:
        """Return the number of queued jobs of an organisation, whatever their class."""
        return self.depth(organisation)

    def order(
        self,
        now_ms: int,
        limit: int,
        skipped: Set[JobSpec] = frozenset(),
    ) -> list[QueuedJob]:
        """Return up to `limit` jobs that may be placed now, oldest first."""
        ready = (
            job
            for job in self.jobs.values()
            if job.not_before_ms <= now_ms and job.spec not in skipped
        )
        return heapq.nsmallest(limit, ready, key=lambda job: job.submitted_ms)

    def take_expired(self, now_ms: int) -> list[QueuedJob]:
        """Remove and return the jobs whose start deadline has passed."""
        passed = [j.job_id for j in self.jobs.values() if j.start_deadline_ms < now_ms]
        return [self.jobs.pop(job_id) for job_id in passed]

    def charge(self, organisation: str, accelerator_ms: int) -> None:
        """Do nothing, because the order ignores shares."""

    def set_weights(self, weights: dict[str, int]) -> None:
        """Do nothing, because the order ignores weights."""
