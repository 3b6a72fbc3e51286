"""
The failure domains in which operators want no more work to start, and until when.

A set is valid until a time: a planner that was paused, or that hears nothing from the
store, must not start work by a set that may have changed since.
"""

from typing import NamedTuple

# How long after the request of a read or a watch its set counts. Two watches in a row
# and half a second for the answer of each fit into it.
FRESH_MS = 2_400
SHORTEST_FRESH_MS = 700
# A watch that reports no change is answered after this time. The planner's process
# makes one such call at a time.
WATCH_WAIT_MS = 700
SHORTEST_WATCH_WAIT_MS = 100
# Time for the answers of two watches in a row.
ANSWERS_MS = 1_000
# Part of the platform's bound that is not spent on the age of the set. The store may
# miss a change for 1 s before it says that its history is gone; the order may arrive
# 0.4 s after the set expired; the agent repeats a start for 0.75 s; the rest is margin.
RESERVED_MS = 2_600
ORDER_SLACK_MS = 400


class EvacuationTimes(NamedTuple):
    """For how long a set is valid from its request, and how long a watch waits."""

    fresh_ms: int = FRESH_MS
    watch_wait_ms: int = WATCH_WAIT_MS


def make_times(bound_ms: int) -> EvacuationTimes:
    """
    Return the times for a bound between the evacuation and the last start.

    Bounds below 3.3 s cannot be kept if everything goes wrong at once.
    """
    fresh_ms = max(SHORTEST_FRESH_MS, min(FRESH_MS, bound_ms - RESERVED_MS))
    wait_ms = max(SHORTEST_WATCH_WAIT_MS, (fresh_ms - ANSWERS_MS) // 2)
    return EvacuationTimes(fresh_ms, min(WATCH_WAIT_MS, wait_ms))


class EvacuatedDomains:
    """
    The evacuated failure domains as one planner knows them.

    Where `is_followed` is false, nobody confirms a set, and every domain is open.
    """

    def __init__(self, *, is_followed: bool = False):
        self.is_followed = is_followed
        self.reset()

    def reset(self) -> None:
        """Forget the set; nothing is confirmed until the next one arrives."""
        self.domains: frozenset[str] = frozenset()
        self.fresh_until_ms = 0
        # When the set expired without another, 0 while it is valid.
        self.expired_ms = 0

    def is_confirmed(self, now_ms: int) -> bool:
        """Whether the set is known to be the one in force."""
        return not self.is_followed or now_ms <= self.fresh_until_ms

    def find_obstacle(self, domain: str, now_ms: int) -> str | None:
        """Return why no work may start in a domain, or None if it may."""
        if domain in self.domains:
            return 'evacuated'
        if not self.is_confirmed(now_ms):
            return 'evacuation_unconfirmed'
        return None

    def start_by_ms(self, reference_ms: int, received_ms: int) -> int | None:
        """
        Return until when an agent may carry out a start, on its own clock.

        `reference_ms` is a reading of that clock which arrived at `received_ms`, so the
        result is early by the time that it took.
        """
        if not self.is_followed:
            return None
        return reference_ms + self.fresh_until_ms + ORDER_SLACK_MS - received_ms
