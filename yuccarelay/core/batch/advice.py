"""
Which workers may run a step of a queue that needs advice.

An external service decides on which workers a step may run. It issues a ticket for each
of them, which is valid for one incarnation of the worker and for a limited time. The
order to start a run includes the ticket.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.models import WorkerId

# Each worker in a query takes time at the service; the users' objective allows for one
# query about this many.
QUERY_WORKERS_LIMIT = 30
# A start has to reach the worker while its ticket is valid. The slack is a share of a
# short validity, because a ticket could otherwise never be used.
TICKET_SLACK_MS = 500
TICKET_SLACK_SHARE = 0.25
# A failed query is sent again after this time.
RETRY_MS = 500


class Ticket(NamedTuple):
    """
    Permission to run a step on one incarnation of a worker.

    A start may be ordered until `until_ms`.
    """

    text: str
    worker: WorkerId
    until_ms: int


@dataclass(slots=True)
class StepAdvice:
    """
    Advice for one step.

    `refused` has the workers that may not run the step; a refusal is final. `asked`
    has the workers of the last query. `query_since_ms` is since when a query is
    pending, 0 if none is.
    """

    tickets: dict[str, Ticket] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    asked: dict[str, WorkerId] = field(default_factory=dict)
    query_since_ms: int = 0
    retry_at_ms: int = 0

    def find_ticket(self, worker: WorkerId, now_ms: int) -> str | None:
        """Return a worker's ticket if it is valid long enough for a start, or None."""
        ticket = self.tickets.get(worker.name)
        if ticket is None or ticket.worker != worker:
            return None
        return ticket.text if now_ms < ticket.until_ms else None

    def choose_query(
        self,
        workers: list[WorkerId],
        now_ms: int,
    ) -> tuple[WorkerId, ...]:
        """
        Return the workers to query now, those without a valid ticket first.

        A query also renews the other tickets of the step. If each were renewed only
        when it has expired, a gang whose tickets expire in turns might never have all
        of them. Empty while a query is pending, or within `RETRY_MS` after one failed.
        """
        if self.query_since_ms or now_ms < self.retry_at_ms:
            return ()
        known, unknown = [], []
        for worker in workers:
            if worker.name not in self.refused:
                ticket = self.find_ticket(worker, now_ms)
                (unknown if ticket is None else known).append(worker)
        if not unknown:
            return ()
        return tuple([*unknown, *known][:QUERY_WORKERS_LIMIT])

    def begin_query(self, workers: tuple[WorkerId, ...], now_ms: int) -> None:
        """Note that a query is pending."""
        self.asked = {worker.name: worker for worker in workers}
        self.query_since_ms = max(1, now_ms)

    def take_answer(self, tickets: dict[str, str], sent_ms: int, valid_ms: int) -> None:
        """
        Store the tickets of a response, which are valid from the time of the query.

        The response may be delayed. The wait of the query for others does not count, or
        the tickets of many steps would expire before they arrive.
        """
        slack_ms = min(TICKET_SLACK_MS, int(valid_ms * TICKET_SLACK_SHARE))
        until_ms = sent_ms + valid_ms - slack_ms
        for name, worker in self.asked.items():
            if name in tickets:
                self.tickets[name] = Ticket(tickets[name], worker, until_ms)
            else:
                self.refused.add(name)
        self.query_since_ms = 0

    def take_failure(self, now_ms: int) -> None:
        """Allow the next query after `RETRY_MS`."""
        self.query_since_ms = 0
        self.retry_at_ms = now_ms + RETRY_MS
