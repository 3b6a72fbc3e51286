"""Retry budget and backoff."""

from collections import deque
from typing import NamedTuple

BUDGET_WINDOW_MS = 60_000
BUDGET_BUCKET_MS = 5_000
BUDGET_SHARE = 0.2

# A service with few starts must still be able to retry after a single failure.
BUDGET_MINIMUM = 3

# Retries that a completed retry adds, while fewer than the limit are left.
REFUND_PER_SUCCESS = 2
REFUND_LIMIT = 40

BACKOFF_BASE_MS = 200
BACKOFF_CEILING_MS = 30_000

# Half of each delay is fixed and half is jitter, which spreads retries out and lets
# none follow at once.
JITTER_SHARE = 0.5


class Bucket(NamedTuple):
    """Fresh starts and retries within one part of the window."""

    start_ms: int
    fresh: int
    retries: int


class RetryBudget:
    """
    Limits retries to a share of the fresh starts within a sliding window.

    In any span of one window at least `BUDGET_MINIMUM` retries are allowed. Use
    one budget per service.
    """

    def __init__(self):
        self.buckets: deque[Bucket] = deque()

    def record_fresh(self, now_ms: int) -> None:
        """Record the first start of a job."""
        self._add(now_ms, fresh=1, retries=0)

    def count_left(self, now_ms: int) -> int:
        """Return how many retries the budget allows now."""
        self._drop_old(now_ms)
        fresh = sum(bucket.fresh for bucket in self.buckets)
        retries = sum(bucket.retries for bucket in self.buckets)
        allowed = max(int(fresh * BUDGET_SHARE), BUDGET_MINIMUM)
        return max(allowed - retries, 0)

    def take(self, now_ms: int) -> bool:
        """Take one retry out of the budget; False when none is left."""
        if not self.count_left(now_ms):
            return False
        self._add(now_ms, fresh=0, retries=1)
        return True

    def refund(self, now_ms: int) -> None:
        """
        Add to the budget after a retry has completed.

        Each completed retry allows two more, so that after a fault the jobs that wait
        for the budget start at a rate that doubles, and not at `BUDGET_MINIMUM` per
        window. Failed retries add nothing.
        """
        if self.count_left(now_ms) < REFUND_LIMIT:
            self._add(now_ms, fresh=0, retries=-REFUND_PER_SUCCESS)

    def _add(self, now_ms: int, fresh: int, retries: int) -> None:
        self._drop_old(now_ms)
        if self.buckets and now_ms < self.buckets[-1].start_ms + BUDGET_BUCKET_MS:
            last = self.buckets.pop()
            fresh += last.fresh
            retries += last.retries
            now_ms = last.start_ms
        self.buckets.append(Bucket(now_ms, fresh, retries))

    def _drop_old(self, now_ms: int) -> None:
        # A bucket counts until its whole span has left the window, so that a burst
        # of retries is not dropped too early.
        span_ms = BUDGET_WINDOW_MS + BUDGET_BUCKET_MS
        while self.buckets and self.buckets[0].start_ms <= now_ms - span_ms:
            self.buckets.popleft()


def compute_backoff_ms(retry: int, jitter: float) -> int:
    """
    Return the delay before a retry.

    `retry` counts from 1 and `jitter` lies in [0, 1). The delay doubles with each
    retry up to `BACKOFF_CEILING_MS`; at least half of it is always waited.
    """
    doublings = min(max(retry, 1) - 1, BACKOFF_CEILING_MS.bit_length())
    delay_ms = min(BACKOFF_BASE_MS << doublings, BACKOFF_CEILING_MS)
    return int(delay_ms * (1 - JITTER_SHARE + JITTER_SHARE * jitter))
