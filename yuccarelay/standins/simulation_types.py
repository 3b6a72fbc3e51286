"""Faults and processes of a session."""

from typing import NamedTuple

from yuccarelay.core.agent import AgentCore
from yuccarelay.core.entry import EntryCore


class Crash(NamedTuple):
    """
    End of a process in the middle of a step.

    The process takes `at_event` events besides ticks from now on. Of the effects
    of the last one, only the first `effects_kept` are carried out.
    """

    address: str
    at_event: int
    effects_kept: int


class NetworkFaults(NamedTuple):
    """Probabilities of network faults for each message."""

    lose: float = 0.0
    late: float = 0.0
    late_ms: int = 5_000
    duplicate: float = 0.0


class Process:
    """One entry or agent with its address; `held` are events of a paused process."""

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
        """Whether this is an entry."""
        return isinstance(self.core, EntryCore)
