"""
Limits the cancellations of jobs that the store does not hold.

Each is kept in the store for some minutes, because the submission of the job may still
arrive. The load that this handles is callers that cancel ids that nobody has.
"""

from typing import NamedTuple

# Callers of one organisation, and of all together, may cancel so many unknown jobs at
# once, and one more in each interval.
ORGANISATION_BURST = 100
ORGANISATION_INTERVAL_MS = 200
TOTAL_BURST = 300
TOTAL_INTERVAL_MS = 50
# Organisations whose burst is whole again are forgotten beyond this number.
ORGANISATIONS_LIMIT = 1_000


class Rate(NamedTuple):
    """A number of events at once, and one more in each interval."""

    burst: int
    interval_ms: int

    def next_full_ms(self, full_ms: int, now_ms: int) -> int | None:
        """
        Return when the burst is whole again after one more event, None if it is used.

        `full_ms` is when it would have been whole again without that event.
        """
        full_ms = max(full_ms, now_ms) + self.interval_ms
        if full_ms > now_ms + self.burst * self.interval_ms:
            return None
        return full_ms


ORGANISATION_RATE = Rate(ORGANISATION_BURST, ORGANISATION_INTERVAL_MS)
TOTAL_RATE = Rate(TOTAL_BURST, TOTAL_INTERVAL_MS)


class EarlyCancellations:
    """Counts the cancellations of unknown jobs that one entry has stored."""

    def __init__(self):
        self.total_full_ms = 0
        self.full_ms: dict[str, int] = {}

    def take(self, organisation: str, now_ms: int) -> bool:
        """Whether one more may be stored; it is counted if so."""
        own_ms = ORGANISATION_RATE.next_full_ms(
            self.full_ms.get(organisation, 0), now_ms
        )
        total_ms = TOTAL_RATE.next_full_ms(self.total_full_ms, now_ms)
        if own_ms is None or total_ms is None:
            return False
        if len(self.full_ms) >= ORGANISATIONS_LIMIT:
            self.full_ms = {
                name: full_ms
                for name, full_ms in self.full_ms.items()
                if full_ms > now_ms
            }
        self.full_ms[organisation], self.total_full_ms = own_ms, total_ms
        return True
