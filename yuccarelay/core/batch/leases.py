"""
Lease times shared by the planner, the agents and the election.

A run may be started elsewhere only once its lease is certain to have expired. A lease
runs for `lease_ms` from a lease reference that the planner has received, on a worker's
clock that may be slow. A planner extends leases for at most `abandon_ms` after the
store last confirmed its term, so a successor that reaches neither a worker nor its
agent waits for `abandon_ms` plus the time in which one lease expires.

Only the agent of a worker calls it. So the agent knows when the last lease that it gave
has expired, whichever planner ordered it, and tells each planner.
"""

from typing import NamedTuple

# A worker's clock may lose 2 %; the third percent covers the agent's clock.
SLOW_CLOCK_FACTOR = 1.03
# Delay of timers, and of the worker in ending a run whose lease has expired.
EXPIRY_SLACK_MS = 400
# Longer leases would only delay the restart of work on lost workers. 6 s covers
# an election (1.5 s), a restart of all processes (2 s) and the first polls.
LEASE_LIMIT_MS = 6_000
# The planner's lease in the store. It survives one lost renewal (0.8 s) followed by a
# slow one (0.3 s); a shorter lease would not.
TERM_TTL_S = 1.5
TERM_RENEWAL_MS = 300
# The planner extends leases through a store outage of this length, so that running
# work is kept, and stops extending them after it.
ABANDON_MS = 8_000


class Leases(NamedTuple):
    """
    Duration of a run's lease, and how long leases are extended without the store.

    `longest_hold_ms` is the platform's limit of a lease.
    """

    lease_ms: int
    longest_hold_ms: int
    abandon_ms: int = ABANDON_MS

    def lease_expiry_ms(self, basis_received_ms: int) -> int:
        """Return when a lease has expired at the latest, on the planner's clock."""
        duration_ms = int(self.lease_ms * SLOW_CLOCK_FACTOR)
        return basis_received_ms + duration_ms + EXPIRY_SLACK_MS

    def longest_expiry_ms(self, given_ms: int) -> int:
        """Return when a lease has expired that only the platform limits."""
        duration_ms = int(self.longest_hold_ms * SLOW_CLOCK_FACTOR)
        return given_ms + duration_ms + EXPIRY_SLACK_MS

    def inherited_expiry_ms(self, elected_ms: int) -> int:
        """
        Return when the leases of earlier planners have expired at the latest.

        That is so long as the agent has not said when those it gave have expired.
        """
        return self.lease_expiry_ms(elected_ms + self.abandon_ms)


def make_leases(longest_hold_ms: int) -> Leases:
    """Return the leases for a platform that limits holds to `longest_hold_ms`."""
    return Leases(min(longest_hold_ms, LEASE_LIMIT_MS), longest_hold_ms)
