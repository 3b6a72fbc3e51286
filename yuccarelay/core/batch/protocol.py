"""
Messages between the planner and the workers' agents.

Each request carries the planner's term; agents refuse terms older than the newest
they have seen. A `LeaseReference` is a reading of the agent's own clock that the
planner sends back. Leases run from it, so that a request that was delayed in the
network cannot extend a lease past the expiry time that the planner assumes.
"""

from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.models import EndedRun, RunningTask, WorkerId, WorkerInfo


class AgentAddress(NamedTuple):
    """Where an incarnation of an agent listens."""

    address: str
    incarnation: int = 0


class LeaseReference(NamedTuple):
    """A reading of the clock of one incarnation of an agent."""

    incarnation: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class Look:
    """
    Poll a worker: renew the lease of its runs and read its lists.

    `basis` is the lease reference that the lease runs from, None if it is not to be
    renewed. `seen` is the number of the last ended run of `worker` that is recorded.
    The reply is held up to `wait_ms` until something changes. Without `call_worker`
    the agent answers from the worker's heartbeats alone.

    `changes` is that of the last report. If the agent's is another one, it answers at
    once: the worker changed while the last report or this poll was on its way. It is
    None in the first poll. `is_service_known` is false if the planner's configuration
    lacks the service that the worker reported.
    """

    term: int
    basis: LeaseReference | None
    worker: WorkerId | None
    seen: int
    wait_ms: int
    call_worker: bool
    changes: int | None = None
    is_service_known: bool = True


@dataclass(frozen=True, slots=True)
class Report:
    """
    An agent's answer to `Look`.

    `worker` is None while no worker is known; it has answered a call under its name and
    birth. `lists_read` is false when the worker was not called or did not answer.
    `closed_below_ms` is the `born_ms` of the oldest incarnation of the worker that may
    still have runs. `changes` counts the changes of the worker that this incarnation of
    the agent has learned of. Without `is_whole` the worker may have more ended runs
    than the report lists. `leases_expire_in_ms` counts from the report, because the
    agent's clock is its own: by then all leases that it has given have expired. So does
    `cold_ms`, for which the worker remains slow, and `late_leases_expire_in_ms`: calls
    to earlier incarnations may give the worker leases that last until then. Until it is
    settled, such calls may make it forget ended runs, and it takes no work.
    """

    basis: LeaseReference
    worker: WorkerInfo | None
    lists_read: bool
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    closed_below_ms: int = 0
    changes: int | None = None
    is_whole: bool = True
    leases_expire_in_ms: int | None = None
    cold_ms: int = 0
    is_settled: bool = True
    late_leases_expire_in_ms: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """
    Start one run of a task on one incarnation of a worker.

    After `start_by_ms` on the clock of the agent that `basis` is of, the order must not
    be carried out any more; None means that the lease alone limits it.
    """

    term: int
    basis: LeaseReference
    worker: WorkerId
    task: str
    run: int
    specification: str
    checkpoint: str
    ticket: str = ''
    start_by_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop one run of a task; if it has not started, refuse its start from now on."""

    term: int
    worker: WorkerId
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class Pace:
    """Limit the speed of one run to a percentage of its full speed."""

    term: int
    worker: WorkerId
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class Started:
    """
    The worker started the run.

    With `repeated` an earlier call was not answered, and may be carried out
    later by another incarnation of the worker. `born_ms` is the birth of the
    incarnation that started it, 0 if an older agent does not say.
    """

    repeated: bool = False
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class Stopped:
    """The worker is ending the run, or will never start it."""


@dataclass(frozen=True, slots=True)
class Paced:
    """The run proceeds at the ordered pace."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The order was not carried out and never will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The order may have been carried out already, or may be later."""

    reason: str


@dataclass(frozen=True, slots=True)
class OldTerm:
    """The agent has received an order of a newer planner, whose term is `term`."""

    term: int


Order = Look | Start | Stop | Pace
Answer = Report | Started | Stopped | Paced | Declined | Unanswered | OldTerm
