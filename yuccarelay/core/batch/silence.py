"""
Agents that a planner does not hear, and what it hands on of them to its successors.

A planner stops extending the leases of an agent that does not answer. It stores that
together with the time in which all leases of that agent have expired, and extends them
again only once a record without the agent is stored. So a successor that does not hear
the agent either waits for the rest of that time, not for as long as its predecessors
might have gone on extending leases.
"""

from collections.abc import Mapping
from typing import NamedTuple

# A poll that is answered this much later than it asked for is overdue. The answer takes
# 60 ms between regions, and up to 400 ms more if a planner or an agent is busy.
SILENCE_MS = 600
# The time that is left is stored again after this time, with each tick of the planner.
# A successor that has just started counts it from when it reads the record, so time in
# which no planner has stored it does not count.
REFRESH_MS = 100
# Clocks of two processes differ by up to 1 %.
CLOCK_FACTOR = 1.01


class SilenceRecord(NamedTuple):
    """
    Stored record of a planner: the agents whose leases it does not extend.

    `expires_in_ms` has, by agent, how long it takes from the write until all leases
    have expired; a duration, because no two processes share a clock. Other agents with
    runs have answered a poll of the planner with this `term`; 0 if that is not known.
    """

    term: int = 0
    expires_in_ms: dict[str, int] = {}


class KnownSilence(NamedTuple):
    """A `SilenceRecord` as this process has read it, with times of its own clock."""

    term: int = 0
    expiry_ms: Mapping[str, int] = {}


NO_SILENCE = KnownSilence()


def receive_silence(record: SilenceRecord, received_ms: int) -> KnownSilence:
    """Return a record with the times at which all leases have expired."""
    return KnownSilence(
        record.term,
        {
            agent: received_ms + int(duration_ms * CLOCK_FACTOR)
            for agent, duration_ms in record.expires_in_ms.items()
        },
    )


class SilentAgents:
    """
    One planner's part of the record.

    `stored` are the agents in the record that the store holds, and `unsaved` those in
    each version that is not known to be stored.
    """

    def __init__(self, term: int = 0, known: KnownSilence = NO_SILENCE):
        self.term = term
        self.known = known
        self.stored = frozenset(self.known.expiry_ms)
        self.unsaved: dict[int, frozenset[str]] = {}
        self.is_complete = False
        self.version = 0
        self.refresh_due_ms = 0

    @property
    def newest(self) -> frozenset[str]:
        """The agents in the newest record."""
        return self.unsaved.get(self.version, self.stored)

    def may_extend(self, agent: str) -> bool:
        """Whether no record that may be stored says that leases are not extended."""
        return agent not in self.stored and not any(
            agent in agents for agents in self.unsaved.values()
        )

    def update(
        self, expiry_ms: Mapping[str, int], now_ms: int, *, is_complete: bool
    ) -> SilenceRecord | None:
        """
        Return the record to write, or None if it is stored already.

        `expiry_ms` has the silent agents, and when all leases of each have expired.
        With `is_complete` all others with runs have been heard.
        """
        agents = frozenset(expiry_ms)
        is_due = bool(agents) and now_ms >= self.refresh_due_ms
        if agents == self.newest and is_complete == self.is_complete and not is_due:
            return None
        self.is_complete = is_complete
        self.version += 1
        self.unsaved[self.version] = agents
        self.refresh_due_ms = now_ms + REFRESH_MS
        durations_ms = {
            agent: max(0, at_ms - now_ms) for agent, at_ms in sorted(expiry_ms.items())
        }
        return SilenceRecord(self.term if is_complete else 0, durations_ms)

    def note_saved(self, version: int) -> None:
        """Note that the store holds a version; earlier ones are replaced."""
        if version in self.unsaved:
            self.stored = self.unsaved[version]
        self.unsaved = {
            number: agents
            for number, agents in self.unsaved.items()
            if number > version
        }
