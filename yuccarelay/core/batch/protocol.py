"""
Messages between the planner and the agents beside the workers.

A planner names its term in each request; agents refuse terms older than the
newest they have seen. A `LeaseReference` is a moment of the agent's own clock that the
planner sends back: leases run from it, so that a request that was held up in
the network cannot extend a lease past the bound that the planner works with.
"""

from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.models import EndedRun, RunningTask, WorkerId, WorkerInfo


class AgentAddress(NamedTuple):
    """Where an incarnation of an agent listens."""

    address: str
    incarnation: int = 0


class LeaseReference(NamedTuple):
    """A moment of the clock of one incarnation of an agent."""

    incarnation: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class Look:
    """
    Renew the lease of a worker's runs and read its lists.

    `seen` is the number of the last end of `worker` that is recorded. The reply
    waits up to `wait_ms` for something new. Without `call_worker` the agent
    answers from the worker's heartbeats alone.
    """

    term: int
    basis: LeaseReference | None
    worker: WorkerId | None
    seen: int
    wait_ms: int
    call_worker: bool


@dataclass(frozen=True, slots=True)
class Report:
    """
    An agent's answer to `Look`.

    `worker` is None while no worker is known. `lists_read` is false when the
    worker was not asked or did not answer. `closed_below_ms` is the birth of the
    oldest life of the worker that may still run something.
    """

    basis: LeaseReference
    worker: WorkerInfo | None
    lists_read: bool
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    closed_below_ms: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Start one run of a task on one life of a worker."""

    term: int
    basis: LeaseReference
    worker: WorkerId
    task: str
    run: int
    specification: str
    checkpoint: str
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop one run of a task, or refuse it for good if it has not started."""

    term: int
    worker: WorkerId
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class Pace:
    """Let one run work at a share of its speed, in percent."""

    term: int
    worker: WorkerId
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class Started:
    """
    The worker runs it.

    With `repeated` an earlier call was not answered, and may be carried out
    later by another life of the worker.
    """

    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Stopped:
    """The worker ends the run, or will never begin it."""


@dataclass(frozen=True, slots=True)
class Paced:
    """The run works at the pace that was ordered."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The order was not carried out and will not be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The order may have been carried out, or may be later."""

    reason: str


@dataclass(frozen=True, slots=True)
class OldTerm:
    """A newer planner was seen; `term` is its term."""

    term: int


Order = Look | Start | Stop | Pace
Answer = Report | Started | Stopped | Paced | Declined | Unanswered | OldTerm
