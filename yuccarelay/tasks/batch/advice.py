"""The task that asks the advice service, one question at a time."""

from result import Err, Ok

from yuccarelay.core.batch.events import AdviceFailed, AdviceGiven, QueryAdvice
from yuccarelay.ports.advice import Advisor
from yuccarelay.tasks.mailbox import Mailbox


class AdviceTask:
    """
    Passes the planner's questions on and its answers back.

    The service takes the questions of a machine in turn, so that several at a
    time would only run into their time limits.
    """

    def __init__(self, advisor: Advisor, inbox: Mailbox, planner: Mailbox):
        self.advisor = advisor
        self.inbox = inbox
        self.planner = planner

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            query: QueryAdvice = await self.inbox.get()
            match await self.advisor.ask(query.step, query.workers, query.limit_ms):
                case Ok(tickets):
                    event = AdviceGiven(query.term, query.key, tickets)
                case Err(reason):
                    event = AdviceFailed(query.term, query.key, reason)
            self.planner.put_nowait(event)
