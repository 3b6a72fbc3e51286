"""How busy the planner is, and what keeps it so."""

from typing import NamedTuple


class PlannerLoad(NamedTuple):
    """
    What the planner has done in an interval that began at `since_ms`.

    `busy_ms` is the time that it took for `events` events, of which the longest took
    `longest_step_ms` and was a `longest_event`. `most_queued` is the most events that
    waited behind one.
    """

    since_ms: int
    events: int = 0
    busy_ms: int = 0
    longest_step_ms: int = 0
    longest_event: str = ''
    most_queued: int = 0

    def add(self, event: str, took_ms: int, queued: int) -> 'PlannerLoad':
        """Return the load with one more event."""
        is_longest = took_ms > self.longest_step_ms
        return self._replace(
            events=self.events + 1,
            busy_ms=self.busy_ms + took_ms,
            longest_step_ms=took_ms if is_longest else self.longest_step_ms,
            longest_event=event if is_longest else self.longest_event,
            most_queued=max(self.most_queued, queued),
        )
