"""Faults and processes of a simulation."""

from typing import NamedTuple

from yuccarelay.core.agent import AgentCore
from yuccarelay.core.entry import EntryCore


class Crash(NamedTuple):
    """
    A crash of a process during a step.

    The process crashes at its event number `at_event` from now on, not counting
    ticks. Only the first `effects_kept` effects of that event are executed.
    """

    address: str
    at_event: int
    effects_kept: int


class NetworkFaults(NamedTuple):
    """Probabilities of network faults per message, and the largest added delay."""

    lose: float = 0.0
    late: float = 0.0
    late_ms: int = 5_000
    duplicate: float = 0.0


class Process:
    """An entry or agent; `held` are the queued events of a paused process."""

    def __init__(self, address: str, region: str, core: EntryCore | AgentCore):
        self.address = address
        self.region = region
        self.core = core
        self.alive = True
        self.paused = False
        self.exited = False
        self.held: list[object] = []
        self.responses: dict[int, object] = {}

    @property
    def is_entry(self) -> bool:
        """Whether the process is an entry, not an agent."""
        return isinstance(self.core, EntryCore)
