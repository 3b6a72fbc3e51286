"""Early refusal of jobs that would only wait in vain."""

import math
from collections import OrderedDict, deque
from typing import NamedTuple

from result import Err, Ok, Result

START_WINDOW_MS = 300_000
START_SAMPLES = 64
ORGANISATIONS_KEPT = 1_000

# A rate of fewer starts than this is mostly noise and counts as no data.
START_SAMPLES_NEEDED = 5

RETRY_FLOOR_MS = 1_000
RETRY_CEILING_MS = 600_000


class StartRate(NamedTuple):
    """Jobs that started within a span of time."""

    starts: int
    span_ms: int


class AdmissionRefusal(NamedTuple):
    """Why a job is not taken, and after which time a repeat may succeed."""

    reason: str
    retry_ms: int


class StartHistory:
    """Recent start times per organisation, bounded in both directions."""

    def __init__(self):
        self.starts: OrderedDict[str, deque[int]] = OrderedDict()

    def record(self, organisation: str, now_ms: int, waiting: int) -> None:
        """
        Record that a job started while `waiting` others of its organisation wait.

        With none waiting, the rate shows how much work came and not how much the
        fleet takes, so what was learned is dropped.
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
        """Forget the starts of an organisation; for a queue that became empty."""
        self.starts.pop(organisation, None)

    def measure(self, organisation: str, now_ms: int) -> StartRate | None:
        """
        Return the start rate within the last window, or None with too few starts.

        The span reaches to now, so the rate falls while nothing starts.
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
    """Return how long a job waits behind `ahead` others, or None without data."""
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

    `ahead` and `rate` are those of the job's organisation: fair share gives each
    organisation its own pace, so a long queue of another one must not refuse it.
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
