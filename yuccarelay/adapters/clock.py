"""The clock port over the monotonic clock of the system."""

import time

NANOSECONDS_PER_MS = 1_000_000


class MonotonicClock:
    """Milliseconds of the monotonic clock; steps of the wall clock have no effect."""

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS
