"""
Times that planner, agents and election derive from the same figures.

A run can only be started elsewhere once its lease has surely lapsed. A lease
runs for `lease_ms` from a basis that the planner has received, on a worker's
clock that may be slow. A planner extends leases for at most `abandon_ms` after
the store last confirmed its term, so a successor that cannot reach a worker
waits for `abandon_ms` plus the bound of one lease.
"""

from typing import NamedTuple

# A worker's clock may lose 2 %; the third percent covers the agent's clock.
SLOW_CLOCK_FACTOR = 1.03
# Delay of timers and of the worker's own end of a lapsed run.
LAPSE_SLACK_MS = 400
# Longer leases would only delay the restart of work on lost workers. 6 s covers
# an election (1.5 s), a restart of all processes (2 s) and the first looks.
LEASE_LIMIT_MS = 6_000
# The planner's lease in the store. It holds through one renewal that is lost
# (0.8 s) and the next one on a slow day (0.3 s); a shorter one would not.
TERM_TTL_S = 1.5
TERM_RENEWAL_MS = 300
# The planner goes on through a store outage of this length, so that running
# work is held, and stops extending leases after it.
ABANDON_MS = 8_000


class Leases(NamedTuple):
    """Lease of runs in milliseconds, from the platform's limit."""

    lease_ms: int
    abandon_ms: int = ABANDON_MS

    def lease_expiry_ms(self, basis_received_ms: int) -> int:
        """Return when a lease from a basis has lapsed, on the planner's clock."""
        lapse_ms = int(self.lease_ms * SLOW_CLOCK_FACTOR)
        return basis_received_ms + lapse_ms + LAPSE_SLACK_MS

    def inherited_expiry_ms(self, elected_ms: int) -> int:
        """Return when leases of earlier planners have lapsed."""
        return self.lease_expiry_ms(elected_ms + self.abandon_ms)


def make_leases(longest_hold_ms: int) -> Leases:
    """Return the leases for a platform that shortens longer holds."""
    return Leases(min(longest_hold_ms, LEASE_LIMIT_MS))
