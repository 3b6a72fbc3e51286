"""What may happen in a random play: jobs and faults."""

from dataclasses import dataclass

from yuccarelay.core.batch.models import Job


@dataclass(frozen=True)
class Submit:
    """A job is accepted; its tasks take `durations_ms`, by the number of their step."""

    job: Job
    durations_ms: tuple[int, ...]


@dataclass(frozen=True)
class Sicken:
    """A worker fails all that it runs, soon after the start."""

    worker: int
    ms: int


@dataclass(frozen=True)
class FailTask:
    """A running task fails by itself; of `job`, if it is given."""

    target: float
    job: str = ''


@dataclass(frozen=True)
class Crash:
    """A worker restarts and loses its runs."""

    worker: int


@dataclass(frozen=True)
class CrashNewest:
    """The worker that started a run last restarts, as if the run had crashed it."""


@dataclass(frozen=True)
class Slow:
    """A worker runs what it starts at a fraction of its speed."""

    worker: int
    ms: int


@dataclass(frozen=True)
class Silence:
    """An agent does not answer; its worker goes on until the leases expire."""

    worker: int
    ms: int


@dataclass(frozen=True)
class LoseStarts:
    """Starts do not reach a worker."""

    worker: int
    count: int


@dataclass(frozen=True)
class LoseAnswers:
    """A worker carries out starts, but its answers are lost."""

    worker: int
    ms: int


@dataclass(frozen=True)
class LoseStops:
    """Stops do not reach a worker."""

    worker: int
    count: int


@dataclass(frozen=True)
class Drain:
    """A worker drains, leaves and comes back as a new incarnation."""

    worker: int
    ms: int


@dataclass(frozen=True)
class MakeDeadly:
    """A task of an open job crashes the workers that start it."""

    target: float


@dataclass(frozen=True)
class StopStore:
    """The store does not answer."""

    ms: int


@dataclass(frozen=True)
class SlowStore:
    """A write of records takes some time."""

    ms: int
    write_ms: int


@dataclass(frozen=True)
class StopAdvice:
    """The advice service does not answer."""

    ms: int


@dataclass(frozen=True)
class ReplacePlanner:
    """Another planner is elected; orders of the old one may arrive late."""

    orders_delayed_ms: int | None


@dataclass(frozen=True)
class RemoveQueue:
    """The operators remove a queue, which takes no more jobs."""

    queue: str


@dataclass(frozen=True)
class Cancel:
    """The caller cancels an open job."""

    target: float


Fault = (
    Sicken
    | FailTask
    | Crash
    | CrashNewest
    | Slow
    | Silence
    | LoseStarts
    | LoseAnswers
    | LoseStops
    | Drain
    | MakeDeadly
    | StopStore
    | SlowStore
    | StopAdvice
    | ReplacePlanner
    | RemoveQueue
    | Cancel
)
