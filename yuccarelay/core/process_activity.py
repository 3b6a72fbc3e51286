"""Whether a process goes on without waiting, and in which of its parts."""

from typing import NamedTuple

# A process of ours is idle for most of the time. One that waits for less than this
# share of an interval, or uses a large part of a core beside its event loop, either
# has more work than it can do or goes round in circles.
LEAST_WAIT_SHARE = 0.1
MOST_THREADS_SHARE = 0.5
LONG_TURN_MS = 1_000


class ActivityTotals(NamedTuple):
    """
    What a process has done since its start.

    `turns` counts the turns of its event loop, and `waited_ms` is how long these have
    waited. `longest_turn_ms` holds for the time since the last totals were read.
    `processor_ms` counts all threads, `loop_processor_ms` that of the event loop.
    """

    at_ms: int
    turns: int
    waited_ms: int
    longest_turn_ms: int
    processor_ms: int
    loop_processor_ms: int


class Activity(NamedTuple):
    """What a process has done in an interval; `threads_ms` is beside the event loop."""

    interval_ms: int
    turns: int
    waited_ms: int
    longest_turn_ms: int
    processor_ms: int
    threads_ms: int

    def is_busy(self) -> bool:
        """Whether the process hardly waited, or was held up by one turn."""
        return (
            self.waited_ms < LEAST_WAIT_SHARE * self.interval_ms
            or self.threads_ms > MOST_THREADS_SHARE * self.interval_ms
            or self.longest_turn_ms >= LONG_TURN_MS
        )


def compare_totals(before: ActivityTotals, now: ActivityTotals) -> Activity:
    """Return what a process has done between two readings of its totals."""
    processor_ms = now.processor_ms - before.processor_ms
    loop_ms = now.loop_processor_ms - before.loop_processor_ms
    return Activity(
        interval_ms=now.at_ms - before.at_ms,
        turns=now.turns - before.turns,
        waited_ms=now.waited_ms - before.waited_ms,
        longest_turn_ms=now.longest_turn_ms,
        processor_ms=processor_ms,
        threads_ms=max(0, processor_ms - loop_ms),
    )
