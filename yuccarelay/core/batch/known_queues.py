"""
The queue of each accepted job, also after the operators have removed it.

An accepted job runs, whichever process plans and whichever configuration it has. So the
store holds the terms of a job's queue beside the job.
"""

from typing import NamedTuple

from yuccarelay.core.batch.models import AdviceTerms, Configuration, Job, Queue

# The limit of attempts of a queue without known terms is unknown; a job should not fail
# because of a single sick worker.
LEAST_ATTEMPTS = 2
# The entry that accepted a job may have had a newer configuration than the planner. A
# change reaches all entries within 3 s (the users' limit); the rest is a margin, since
# a guess may send the job to the wrong service.
CONFIGURATION_LAG_MS = 5_000


class QueueTerms(NamedTuple):
    """What planning needs of a queue, as it was when a job was accepted."""

    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    objective_ms: int
    advice: AdviceTerms | None = None


def make_terms(queue: Queue) -> QueueTerms:
    """Return the terms of a queue."""
    return QueueTerms(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.slack_factor,
        queue.objective_ms,
        queue.advice,
    )


def restore_queue(name: str, terms: QueueTerms) -> Queue:
    """Return a queue that takes no more jobs, for those that it has accepted."""
    return Queue(name, host='', prefix='', **terms._asdict())


def find_common_terms(configuration: Configuration) -> QueueTerms | None:
    """
    Return terms for jobs of unknown queues, or None without a single service.

    Such a job is planned as one of the least urgent queue. If any queue needs advice,
    it needs it too, because a step that needs a ticket must not start without one.
    """
    queues = configuration.queues
    if len({queue.service for queue in queues}) != 1:
        return None
    terms = make_terms(max(queues, key=lambda queue: queue.priority))
    return terms._replace(
        max_attempts=max(LEAST_ATTEMPTS, terms.max_attempts),
        advice=next((queue.advice for queue in queues if queue.advice), None),
    )


class KnownQueues:
    """
    Queues of the configurations so far, and the stored terms of accepted jobs.

    A job keeps to the newest configuration that has its queue. Without one in force its
    stored terms apply, then, for a job of a version that stored none, an older
    configuration of this process, and last the terms of the only service.
    """

    def __init__(self):
        self.current: dict[str, Queue] = {}
        self.former: dict[str, Queue] = {}
        self.common_terms: QueueTerms | None = None
        self.job_terms: dict[str, QueueTerms] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.former.update(self.current)
        self.current = {queue.name: queue for queue in configuration.queues}
        self.common_terms = find_common_terms(configuration)

    def find(self, job: Job, age_ms: int) -> Queue | None:
        """Return the queue of a job, or None if nothing tells its service."""
        queue = self.current.get(job.queue)
        if queue is not None:
            return queue
        terms = self.job_terms.get(job.id)
        if terms is not None:
            return restore_queue(job.queue, terms)
        queue = self.former.get(job.queue)
        if queue is None and self.common_terms and age_ms >= CONFIGURATION_LAG_MS:
            queue = restore_queue(job.queue, self.common_terms)
        return queue
