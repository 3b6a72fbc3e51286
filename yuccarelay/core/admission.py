"""Admission control: refuses jobs at the queue limit or with too long a wait."""

import math
from collections import OrderedDict, deque
from typing import NamedTuple

from result import Err, Ok, Result

START_WINDOW_MS = 300_000
START_SAMPLES = 64
ORGANISATIONS_KEPT = 1_000

# A rate measured from fewer starts is mostly noise and is not used.
START_SAMPLES_NEEDED = 5

RETRY_FLOOR_MS = 1_000
RETRY_CEILING_MS = 600_000


class StartRate(NamedTuple):
    """Number of jobs that started within a time span."""

    starts: int
    span_ms: int


class AdmissionRefusal(NamedTuple):
    """Why a job is refused, and after which time a retry may succeed."""

    reason: str
    retry_ms: int


class StartHistory:
    """Recent start times of a bounded number of organisations and jobs of each."""

    def __init__(self):
        self.starts: OrderedDict[str, deque[int]] = OrderedDict()

    def record(self, organisation: str, now_ms: int, waiting: int) -> None:
        """
        Record that a job started while `waiting` others of its organisation wait.

        With none waiting, the rate measures how many jobs were submitted and not
        how many the fleet can start, so the earlier starts are dropped.
        """
        if not waiting:
            self.clear(organisation)
            return
        times = self.starts.setdefault(organisation, deque(maxlen=START_SAMPLES))
        times.append(now_ms)
        self.starts.move_to_end(organisation)
        if len(self.starts) > ORGANISATIONS_KEPT:
            self.starts.popitem(last=False)

    def clear(self, organisation: str) -> None:
        """Drop the starts of an organisation, called when its queue becomes empty."""
        self.starts.pop(organisation, None)

    def measure(self, organisation: str, now_ms: int) -> StartRate | None:
        """
        Return the start rate within the last window, or None with too few starts.

        The span extends to now, so the rate falls while no job starts.
        """
        recent = [
            time_ms
            for time_ms in self.starts.get(organisation, ())
            if time_ms >= now_ms - START_WINDOW_MS
        ]
        if len(recent) < START_SAMPLES_NEEDED:
            return None
        return StartRate(len(recent), max(now_ms - recent[0], 1))


def estimate_wait_ms(ahead: int, rate: StartRate | None) -> int | None:
    """Return how long a job waits behind `ahead` others, or None without a rate."""
    if not ahead:
        return 0
    if rate is None or not rate.starts:
        return None
    return math.ceil(ahead * rate.span_ms / rate.starts)


def check_admission(
    depth: int,
    queue_limit: int,
    ahead: int,
    rate: StartRate | None,
    now_ms: int,
    start_deadline_ms: int,
) -> Result[None, AdmissionRefusal]:
    """
    Check a new job against the queue limit and its start deadline.

    `ahead` and `rate` are those of the job's organisation: with fair share, each
    organisation has its own start rate, so the queue of another one has no effect.
    """
    if depth >= queue_limit:
        retry_ms = estimate_wait_ms(depth - queue_limit + 1, rate)
        return Err(AdmissionRefusal('queue_full', _bound_retry(retry_ms)))
    wait_ms = estimate_wait_ms(ahead, rate)
    if wait_ms is not None and now_ms + wait_ms > start_deadline_ms:
        late_ms = now_ms + wait_ms - start_deadline_ms
        return Err(AdmissionRefusal('deadline', _bound_retry(late_ms)))
    return Ok(None)


def _bound_retry(retry_ms: int | None) -> int:
    return min(max(retry_ms or 0, RETRY_FLOOR_MS), RETRY_CEILING_MS)
