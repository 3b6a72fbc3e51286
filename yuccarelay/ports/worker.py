"""The worker of an agent, which starts and stops runs under a lease."""

from dataclasses import dataclass
from typing import Protocol

from yuccarelay.core.batch.models import EndedRun, RunningTask, WorkerId
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
class NotSent:
    """
    It is not known which incarnation is there, so the call was not made.

    Another try may succeed.
    """

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
    """
    Another incarnation than the called one answered; it did nothing.

    `born_ms` is its birth if it has the same name, 0 otherwise. `clock_ms` is then its
    own clock, and `is_idle` whether it lists neither running nor ended runs.
    """

    born_ms: int = 0
    clock_ms: int = 0
    is_idle: bool = False


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


WorkerAnswer = Accepted | Refused | NotSent | Fenced | NoAnswer | OtherIncarnation
HoldAnswer = WorkerRuns | Refused | Fenced | NoAnswer | OtherIncarnation | NotListening


class Worker(Protocol):
    """
    Calls to a worker; each has a time limit.

    All but `read` carry what is only true of one incarnation: a time on its clock, the
    number of an end that it listed, a run that it has. They reach that incarnation, or
    they change nothing. A call without an answer may still be carried out some seconds
    later, then also by a later incarnation of the same name.
    """

    async def start(self, order: Start, until_ms: int) -> WorkerAnswer:
        """Start a run with a lease that ends at `until_ms` of the worker's clock."""
        ...

    async def stop(self, order: Stop) -> WorkerAnswer:
        """Stop a run; a start of it that arrives later is refused."""
        ...

    async def pace(self, order: Pace) -> WorkerAnswer:
        """Limit a run to a share of its speed, in percent."""
        ...

    async def read(self, name: str, term: int, wait_ms: int) -> HoldAnswer:
        """
        Read the lists of runs, after `wait_ms` at most if no ended run is listed.

        This changes nothing, so any incarnation of the name may answer it.
        """
        ...

    async def hold(
        self, worker: WorkerId, term: int, seen: int, until_ms: int | None
    ) -> HoldAnswer:
        """
        Extend the lease to `until_ms`, if given, and read the lists of runs.

        The worker forgets its ended runs up to the number `seen`.
        """
        ...
