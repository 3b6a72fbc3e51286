"""The faults of a soak run, and their random schedule."""

import random
from dataclasses import dataclass

from tests.soak.proxy import LinkImpairment

# Minimum and maximum number of faults in a run; they may overlap.
FAULT_COUNT_RANGE = (4, 8)
FAULT_WINDOW_S = 9.0
LINK_IMPAIRMENTS = (
    LinkImpairment.DELAY,
    LinkImpairment.SILENT,
    LinkImpairment.ONE_WAY,
    LinkImpairment.REFUSE,
)


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process with SIGKILL and restart it after `down_s`."""

    node: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Terminate:
    """End a process with SIGTERM, wait for its exit and restart it."""

    node: str


@dataclass(frozen=True, slots=True)
class Pause:
    """Suspend a process with SIGSTOP for `for_s`."""

    node: str
    for_s: float


@dataclass(frozen=True, slots=True)
class HangUp:
    """Send SIGHUP to all processes, so that they read their settings again."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store refuses every call."""

    for_s: float


@dataclass(frozen=True, slots=True)
class LoseWriteReplies:
    """The store applies writes without a reply, some of them only a second later."""

    answers: int
    late: int


@dataclass(frozen=True, slots=True)
class CompactStore:
    """The store compacts its history up to the current revision."""


@dataclass(frozen=True, slots=True)
class ImpairLink:
    """Impair the link from a process to the store or to its worker."""

    node: str
    name: str
    impairment: LinkImpairment
    for_s: float


@dataclass(frozen=True, slots=True)
class ResetLinks:
    """Abort all open connections between processes and stand-ins."""


@dataclass(frozen=True, slots=True)
class LoseStartReplies:
    """A worker carries out starts without a reply."""

    worker: int
    count: int


@dataclass(frozen=True, slots=True)
class CrashWorker:
    """A worker loses its state and restarts as a new incarnation."""

    worker: int


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """The operator writes a new configuration version with other keys."""


Fault = (
    Kill
    | Terminate
    | Pause
    | HangUp
    | StoreDown
    | LoseWriteReplies
    | CompactStore
    | ImpairLink
    | ResetLinks
    | LoseStartReplies
    | CrashWorker
    | Reconfigure
)


def draw_fault(rng: random.Random, entries: int, workers: int) -> Fault:
    """Return a random fault."""
    entry = f'entry-{rng.randrange(entries)}'
    worker = rng.randrange(workers)
    agent = f'agent-{worker}'
    kinds = (
        lambda: Kill(rng.choice((entry, entry, agent)), rng.uniform(0.1, 2.0)),
        lambda: Terminate(entry),
        lambda: Pause(rng.choice((entry, entry, agent)), rng.uniform(0.3, 4.0)),
        HangUp,
        lambda: StoreDown(rng.uniform(0.3, 4.0)),
        lambda: LoseWriteReplies(rng.randint(1, 4), rng.randint(0, 3)),
        CompactStore,
        lambda: ImpairLink(
            entry, 'store', rng.choice(LINK_IMPAIRMENTS), rng.uniform(0.5, 4.0)
        ),
        lambda: ImpairLink(
            agent, 'worker', rng.choice(LINK_IMPAIRMENTS), rng.uniform(0.5, 4.0)
        ),
        ResetLinks,
        lambda: LoseStartReplies(worker, rng.randint(1, 4)),
        lambda: CrashWorker(worker),
        Reconfigure,
    )
    return rng.choice(kinds)()


def draw_schedule(
    seed: int,
    entries: int,
    workers: int,
) -> list[tuple[float, Fault]]:
    """Return the faults of a seed with their start times in seconds."""
    rng = random.Random(seed)
    count = rng.randint(*FAULT_COUNT_RANGE)
    schedule = [
        (rng.uniform(0, FAULT_WINDOW_S), draw_fault(rng, entries, workers))
        for _ in range(count)
    ]
    return sorted(schedule, key=lambda planned: planned[0])
