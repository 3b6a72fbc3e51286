"""
An agent's records of attempts: ends, expired ids and tombstones.

An attempt whose end was dropped must not be reported as one that never started, so
its id is kept longer than its end.
"""

from typing import NamedTuple

from yuccarelay.core.messages import AttemptReport
from yuccarelay.core.outbox import Outbox
from yuccarelay.core.timing import (
    ENDED_RETENTION_MS,
    REPEAT_INTERVAL_MS,
    TOMBSTONE_LIMIT,
)

# About 12 MB at 100 bytes per id. Once an id was dropped, the agent can no longer
# prove that an attempt unknown to it did not start.
EXPIRED_IDS_LIMIT = 100_000


class EndedAttempt(NamedTuple):
    """The end of an attempt that this agent led, with the state of its report."""

    report: AttemptReport
    owner_address: str
    acknowledged: bool
    next_report_ms: int
    drop_deadline_ms: int


class AttemptRecords:
    """Ends that are reported until acknowledged, expired ids and tombstones."""

    def __init__(self, outbox: Outbox):
        self.outbox = outbox
        self.ended: dict[str, EndedAttempt] = {}
        self.expired_ids: dict[str, None] = {}
        self.unreported: dict[str, None] = {}
        self.tombstones: dict[str, None] = {}
        self.expired_ids_truncated = False

    def add_tombstone(self, attempt_id: str) -> None:
        """Ensure that an attempt never starts here."""
        self.tombstones[attempt_id] = None
        if len(self.tombstones) > TOMBSTONE_LIMIT:
            del self.tombstones[next(iter(self.tombstones))]

    def add_expired_id(self, attempt_id: str) -> None:
        """Record that an attempt started here whose end is dropped."""
        self.expired_ids[attempt_id] = None
        if len(self.expired_ids) > EXPIRED_IDS_LIMIT:
            del self.expired_ids[next(iter(self.expired_ids))]
            self.expired_ids_truncated = True

    def may_have_started(self, attempt_id: str) -> bool:
        """Whether an attempt without any other record may have started."""
        return attempt_id in self.expired_ids or self.expired_ids_truncated

    def add_end(self, report: AttemptReport, owner_address: str, now_ms: int) -> None:
        """Record the end of an attempt and report it to its owner."""
        self.ended[report.attempt_id] = EndedAttempt(
            report=report,
            owner_address=owner_address,
            acknowledged=False,
            next_report_ms=now_ms,
            drop_deadline_ms=now_ms + ENDED_RETENTION_MS,
        )
        self.unreported[report.attempt_id] = None
        self._report(report.attempt_id, now_ms)

    def acknowledge(self, attempt_id: str) -> None:
        """Record that the owner has acknowledged the end."""
        if attempt_id in self.ended:
            attempt = self.ended[attempt_id]
            self.ended[attempt_id] = attempt._replace(acknowledged=True)
            self.unreported.pop(attempt_id, None)

    def set_owner(self, attempt_id: str, owner_address: str) -> None:
        """Set the entry that the end is reported to from now on."""
        if attempt_id in self.ended:
            attempt = self.ended[attempt_id]
            self.ended[attempt_id] = attempt._replace(owner_address=owner_address)

    def find_unreported(self) -> tuple[str, ...]:
        """Return the ended attempts whose owner has not acknowledged the end."""
        return tuple(self.unreported)

    def expire(self, now_ms: int) -> None:
        """Resend unacknowledged reports; drop acknowledged ends after retention."""
        for attempt_id in list(self.unreported):
            if now_ms >= self.ended[attempt_id].next_report_ms:
                self._report(attempt_id, now_ms)
        dropped = []
        for attempt_id, attempt in self.ended.items():
            # The ended attempts are in the order of their deadlines.
            if now_ms < attempt.drop_deadline_ms:
                break
            if attempt.acknowledged:
                dropped.append(attempt_id)
        for attempt_id in dropped:
            del self.ended[attempt_id]
            self.add_expired_id(attempt_id)

    def _report(self, attempt_id: str, now_ms: int) -> None:
        attempt = self.ended[attempt_id]
        self.ended[attempt_id] = attempt._replace(
            next_report_ms=now_ms + REPEAT_INTERVAL_MS,
        )
        self.outbox.send(attempt.owner_address, attempt.report, f'report:{attempt_id}')
