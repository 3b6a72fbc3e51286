"""The task that queries the advice service, one query at a time."""

from result import Err, Ok

from yuccarelay.core.batch.events import AdviceFailed, AdviceGiven, QueryAdvice
from yuccarelay.ports.advice import Advisor
from yuccarelay.ports.clock import Clock
from yuccarelay.tasks.mailbox import Mailbox


class AdviceTask:
    """
    Passes the planner's queries on and the service's answers back.

    The service handles the queries of a machine one after another, so that
    concurrent ones would only exceed their time limits.
    """

    def __init__(
        self, advisor: Advisor, inbox: Mailbox, planner: Mailbox, clock: Clock
    ):
        self.advisor = advisor
        self.inbox = inbox
        self.planner = planner
        self.clock = clock

    async def run(self) -> None:
        """Send queries until cancelled."""
        while True:
            query: QueryAdvice = await self.inbox.get()
            sent_ms = self.clock.now_ms()
            match await self.advisor.query(query.step, query.workers, query.limit_ms):
                case Ok(tickets):
                    event = AdviceGiven(query.term, query.key, tickets, sent_ms)
                case Err(reason):
                    event = AdviceFailed(query.term, query.key, reason)
            self.planner.put_nowait(event)
