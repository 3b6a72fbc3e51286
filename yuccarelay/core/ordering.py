"""Order of the queued jobs of one entry."""

from typing import NamedTuple

from yuccarelay.core.models import JobSpec


class QueuedJob(NamedTuple):
    """
    A job that waits for its next attempt.

    `attained_ms` is accelerator time of earlier attempts. The job is not placed
    before `not_before_ms` and is not started for the first time after
    `start_deadline_ms`.
    """

    job_id: str
    spec: JobSpec
    submitted_ms: int
    start_deadline_ms: int
    attained_ms: int = 0
    not_before_ms: int = 0
    attempt: int = 0
