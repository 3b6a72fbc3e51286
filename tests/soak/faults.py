"""The faults of a soak, and their random schedule."""

import random
from dataclasses import dataclass

from tests.soak.proxy import LinkImpairment

# One run has a few faults, in series and overlapping.
FAULTS = (4, 8)
FAULTS_S = 9.0
LINK_IMPAIRMENTS = (
    LinkImpairment.DELAY,
    LinkImpairment.SILENT,
    LinkImpairment.ONE_WAY,
    LinkImpairment.REFUSE,
)


@dataclass(frozen=True, slots=True)
class Kill:
    """End a process at once and start it again after a while."""

    node: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Terminate:
    """Ask a process to end, wait until it has, and start it again."""

    node: str


@dataclass(frozen=True, slots=True)
class Pause:
    """Let a process stand still."""

    node: str
    for_s: float


@dataclass(frozen=True, slots=True)
class HangUp:
    """Tell all processes that their settings may have changed."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store refuses every call."""

    for_s: float


@dataclass(frozen=True, slots=True)
class LoseWriteReplies:
    """Writes are done but not answered, some of them only a second later."""

    answers: int
    late: int


@dataclass(frozen=True, slots=True)
class CompactStore:
    """The store drops its history."""


@dataclass(frozen=True, slots=True)
class ImpairLink:
    """Harm the link from a process to the store or to its worker."""

    node: str
    name: str
    impairment: LinkImpairment
    for_s: float


@dataclass(frozen=True, slots=True)
class ResetLinks:
    """Break off all open connections between processes and stand-ins."""


@dataclass(frozen=True, slots=True)
class LoseStartReplies:
    """A worker carries out starts without an answer."""

    worker: int
    count: int


@dataclass(frozen=True, slots=True)
class CrashWorker:
    """A worker forgets everything and starts a new life."""

    worker: int


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """The operator writes a version with other keys."""


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
    """Return the faults of a seed with their times in seconds."""
    rng = random.Random(seed)
    count = rng.randint(*FAULTS)
    schedule = [
        (rng.uniform(0, FAULTS_S), draw_fault(rng, entries, workers))
        for _ in range(count)
    ]
    return sorted(schedule, key=lambda planned: planned[0])
