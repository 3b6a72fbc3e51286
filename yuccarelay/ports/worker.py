"""The worker of an agent, which starts and stops runs under a lease."""

from dataclasses import dataclass
from typing import Protocol

from yuccarelay.core.batch.models import EndedRun, RunningTask
from yuccarelay.core.batch.protocol import Pace, Start, Stop


@dataclass(frozen=True, slots=True)
class Accepted:
    """The order is carried out; `clock_ms` is the worker's clock, if given."""

    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class Refused:
    """The worker did nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class Fenced:
    """The worker has seen a newer term and did nothing."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have been carried out, or may still be carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """A worker of another name answered; it did nothing."""


@dataclass(frozen=True, slots=True)
class NotListening:
    """No process listens where the worker did."""


@dataclass(frozen=True, slots=True)
class WorkerRuns:
    """
    Running and ended runs of a worker's incarnation that began at `born_ms`.

    Without `is_whole` there may be more ended runs than are listed.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    is_whole: bool = True


WorkerAnswer = Accepted | Refused | Fenced | NoAnswer
HoldAnswer = WorkerRuns | Refused | Fenced | NoAnswer | OtherIncarnation | NotListening


class Worker(Protocol):
    """Calls to a worker; each has a time limit."""

    async def start(self, order: Start, until_ms: int) -> WorkerAnswer:
        """Start a run with a lease that ends at `until_ms` of the worker's clock."""
        ...

    async def stop(self, order: Stop) -> WorkerAnswer:
        """Stop a run; a start of it that arrives later is refused."""
        ...

    async def pace(self, order: Pace) -> WorkerAnswer:
        """Limit a run to a share of its speed, in percent."""
        ...

    async def hold(
        self,
        name: str,
        term: int,
        seen: int,
        wait_ms: int,
        until_ms: int | None,
    ) -> HoldAnswer:
        """Extend the lease to `until_ms`, if given, and read the lists of runs."""
        ...
