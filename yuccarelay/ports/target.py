"""
The target: the platform's task service that is co-located with an agent.

A target starts a task once per task id and stops it by itself when its lease
lapses. Each call but `wait_answer` has a deadline of its own.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from result import Result

# Connections reserved for starting, renewing and stopping; each running task
# holds one of the others.
CALL_CONNECTIONS = 8


class TaskState(enum.Enum):
    """
    End state of a task as the target reports it.

    `CHECKPOINTED` is a stop after the task's progress was saved.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    LAPSED = 'lapsed'


class TargetTask(NamedTuple):
    """A task to start under a lease of `lease_ms` from its arrival."""

    task_id: str
    job_name: str
    member: int
    accelerators: int
    payload: bytes
    lease_ms: int


class TaskAnswer(NamedTuple):
    """The end of a task with its whole answer."""

    state: TaskState
    reason: str
    data: bytes


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """
    A call without a usable response.

    `ambiguous` is false only when the target refused the call or could not be
    connected to, so that the call had no effect.
    """

    reason: str
    ambiguous: bool


class Target(Protocol):
    """Starts, renews, stops and awaits tasks."""

    async def start(self, task: TargetTask) -> Result[None, TargetFailure]:
        """Start a task; a repeat for the same task id starts nothing."""
        ...

    async def renew(
        self,
        task_ids: tuple[str, ...],
        lease_ms: int,
    ) -> Result[frozenset[str], TargetFailure]:
        """Extend leases and return the tasks that still run."""
        ...

    async def stop(self, task_id: str, checkpoint: bool) -> Result[None, TargetFailure]:
        """Stop a task; a task that ended or is not known counts as stopped."""
        ...

    async def wait_answer(self, task_id: str) -> Result[TaskAnswer, TargetFailure]:
        """Wait for the end of a task on a connection of its own."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
