"""
Which workers may run a step of a queue that needs advice.

A service outside of the system knows the workers that a step is allowed on. It
gives a ticket for each of them, which is good for one life of the worker and for
a limited time, and a start carries it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.models import WorkerId

# Each worker in a question costs the service's time; the users' objective counts
# one question about this many.
QUERY_WORKERS_LIMIT = 30
# A start has to reach the worker while its ticket is good.
TICKET_SLACK_MS = 500
# A question that failed is asked again after this time.
RETRY_MS = 500


class Ticket(NamedTuple):
    """Leave to run a step on one life of a worker until `until_ms`."""

    text: str
    worker: WorkerId
    until_ms: int


@dataclass(slots=True)
class StepAdvice:
    """
    What is known of one step.

    `refused` has the workers that may not run it, which does not change.
    `query_sent_ms` is when the open question was asked, 0 without one.
    """

    tickets: dict[str, Ticket] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    asked: dict[str, WorkerId] = field(default_factory=dict)
    query_sent_ms: int = 0
    retry_at_ms: int = 0

    def find_ticket(self, worker: WorkerId, now_ms: int) -> str | None:
        """Return the ticket for a worker that is good for long enough."""
        ticket = self.tickets.get(worker.name)
        if ticket is None or ticket.worker != worker:
            return None
        return ticket.text if now_ms + TICKET_SLACK_MS < ticket.until_ms else None

    def choose_query(
        self,
        workers: list[WorkerId],
        now_ms: int,
    ) -> tuple[WorkerId, ...]:
        """
        Return the workers to ask about now, in the order given.

        Empty while a question is open or the last one failed just now.
        """
        if self.query_sent_ms or now_ms < self.retry_at_ms:
            return ()
        unknown = [
            worker
            for worker in workers
            if worker.name not in self.refused
            and self.find_ticket(worker, now_ms) is None
        ]
        return tuple(unknown[:QUERY_WORKERS_LIMIT])

    def begin_query(self, workers: tuple[WorkerId, ...], now_ms: int) -> None:
        """Note that a question is on its way."""
        self.asked = {worker.name: worker for worker in workers}
        self.query_sent_ms = max(1, now_ms)

    def take_answer(self, tickets: dict[str, str], valid_ms: int) -> None:
        """
        Take the tickets of an answer.

        They count from the question, because the answer may have been held up.
        """
        for name, worker in self.asked.items():
            if name in tickets:
                until_ms = self.query_sent_ms + valid_ms
                self.tickets[name] = Ticket(tickets[name], worker, until_ms)
            else:
                self.refused.add(name)
        self.query_sent_ms = 0

    def take_failure(self, now_ms: int) -> None:
        """Ask again later."""
        self.query_sent_ms = 0
        self.retry_at_ms = now_ms + RETRY_MS
