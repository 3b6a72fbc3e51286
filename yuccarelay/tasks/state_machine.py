"""
Runs a state machine: reads events from a mailbox and sends effects to other tasks.

`MachineTask` owns the state machine. It is the only one that calls `step`.
"""

import asyncio
from typing import NamedTuple

from yuccarelay.core.agent import AgentCore
from yuccarelay.core.effects import (
    ActivateManifest,
    Count,
    CreateRecord,
    Deregister,
    DropAnswer,
    Effect,
    Exit,
    LoadOpenRecords,
    LoadRecord,
    Log,
    Observe,
    ProposePlan,
    RenewTasks,
    ReplaceRecord,
    Reply,
    Request,
    RespondToCaller,
    RetainAnswers,
    ServeAnswer,
    SetAnswerPeers,
    StartTask,
    StopTask,
)
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.events import Tick
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.metrics import Metrics
from yuccarelay.tasks.mailbox import Mailbox


class Routes(NamedTuple):
    """Mailboxes of the tasks that carry out effects; a role leaves some out."""

    listener: Mailbox
    links: Mailbox
    store_task: Mailbox | None = None
    front: Mailbox | None = None
    runner: Mailbox | None = None
    answers: Mailbox | None = None


class MachineTask:
    """Runs one core and dispatches its effects."""

    def __init__(
        self,
        core: EntryCore | AgentCore,
        clock: Clock,
        inbox: Mailbox,
        routes: Routes,
        journal: Journal,
        metrics: Metrics,
    ):
        self.core = core
        self.clock = clock
        self.inbox = inbox
        self.routes = routes
        self.journal = journal
        self.metrics = metrics
        self.exited = asyncio.Event()

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            event = await self.inbox.get()
            for effect in self.core.step(event, self.clock.now_ms()):
                self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Dispatch an effect to the task that carries it out."""
        match effect:
            case Reply():
                self.routes.listener.put_nowait(effect)
            case Request():
                self.routes.links.put_nowait(effect)
            case Log(event, fields):
                self.journal.write(event, fields)
            case Count(name, amount):
                self.metrics.count(name, amount)
            case Observe(name, organisation, job_class, value_ms):
                self.metrics.observe(name, organisation, job_class, value_ms)
            case RespondToCaller() | ActivateManifest():
                self.routes.front.put_nowait(effect)
            case (
                CreateRecord()
                | ReplaceRecord()
                | LoadRecord()
                | LoadOpenRecords()
                | ProposePlan()
                | Deregister()
            ):
                self.routes.store_task.put_nowait(effect)
            case StartTask() | StopTask() | RenewTasks() | DropAnswer():
                self.routes.runner.put_nowait(effect)
            case ServeAnswer():
                (self.routes.runner or self.routes.answers).put_nowait(effect)
            case RetainAnswers() | SetAnswerPeers():
                self.routes.answers.put_nowait(effect)
            case Exit():
                self.exited.set()


class TickTask:
    """Puts a `Tick` into the mailbox of a state machine at a fixed interval."""

    def __init__(self, state_machine: Mailbox, interval_ms: int):
        self.state_machine = state_machine
        self.interval_ms = interval_ms

    async def run(self) -> None:
        """Send ticks until cancelled."""
        while True:
            await asyncio.sleep(self.interval_ms / 1000)
            self.state_machine.put_nowait(Tick())
