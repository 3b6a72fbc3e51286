"""
Calls to a worker that got no answer, and may be carried out by a later incarnation.

An incarnation is safe from a call that is late for it: the lease ends at a time of its
own clock, it has stopped the run that is to start, and the ends that it is to forget
are its own. A later incarnation knows nothing of this.
"""

from typing import NamedTuple

from yuccarelay.core.batch.leases import Leases

# The platform carries out a call without an answer up to 12 s later.
LATE_CALL_MS = 12_000


class LateCall(NamedTuple):
    """
    A call to the incarnation that was born at `born_ms`.

    `start` has the task and the run that it starts, None for another call. With
    `acknowledges` it makes the worker forget ended runs.
    """

    born_ms: int
    start: tuple[str, int] | None = None
    acknowledges: bool = False


class LateCalls:
    """The calls that may still be carried out, each with the time by which it is."""

    def __init__(self, leases: Leases):
        self.leases = leases
        self.arrives_by_ms: dict[LateCall, int] = {}

    def add(self, call: LateCall, now_ms: int) -> None:
        """Note a call that has got no answer, and forget those without an effect."""
        self.arrives_by_ms = {
            known: by_ms
            for known, by_ms in self.arrives_by_ms.items()
            if self.leases.longest_expiry_ms(by_ms) > now_ms
        }
        self.arrives_by_ms[call] = now_ms + LATE_CALL_MS

    def list_starts(self, born_ms: int, now_ms: int) -> list[tuple[str, int]]:
        """Return the tasks and runs whose start may reach a later incarnation."""
        return [
            call.start
            for call in self._list_open(born_ms, now_ms)
            if call.start is not None
        ]

    def may_forget_ends(self, born_ms: int, now_ms: int) -> bool:
        """Whether a later incarnation may still be told to forget ended runs."""
        return any(call.acknowledges for call in self._list_open(born_ms, now_ms))

    def lease_expiry_ms(self, born_ms: int) -> int:
        """
        Return when leases that a later incarnation has by such calls have expired.

        The end of the lease is a time on the clock of an earlier one. On its own clock
        it may lie so far ahead that only the platform's longest hold limits it. Returns
        0 if there are no such calls.
        """
        return max(
            (
                self.leases.longest_expiry_ms(by_ms)
                for call, by_ms in self.arrives_by_ms.items()
                if call.born_ms != born_ms
            ),
            default=0,
        )

    def _list_open(self, born_ms: int, now_ms: int) -> list[LateCall]:
        """Return the calls to other incarnations that may still arrive."""
        return [
            call
            for call, by_ms in self.arrives_by_ms.items()
            if call.born_ms != born_ms and by_ms > now_ms
        ]
