"""
Estimates the memory that jobs take, so that an entry refuses what it cannot hold.

The load that this handles is callers that submit more open tasks than the planner has
memory for. Any entry may become the planner, so each applies the limit.
"""

from yuccarelay.core.batch.models import Job

# The planner's state of a task that has not ended.
TASK_BYTES = 1_024
# A step with its resources, in the replica and the planner.
STEP_BYTES = 512
# A job with its record and terms.
JOB_BYTES = 2_048
# A job is large if it takes more than the first share of the limit. The second share is
# kept for other jobs, so that two jobs of thousands of steps, which run for long, do
# not keep out ordinary ones.
LARGE_JOB_SHARE = 1 / 64
ORDINARY_JOBS_SHARE = 1 / 8


def estimate_bytes(job: Job, is_open: bool) -> int:
    """Return about how much memory a job takes."""
    size_bytes = JOB_BYTES + len(job.specification) + STEP_BYTES * len(job.steps)
    if is_open:
        tasks = sum(step.count for step in job.steps)
        size_bytes += TASK_BYTES * max(1, job.repetitions) * tasks
    return size_bytes


class JobMemory:
    """Estimated memory of all jobs of a replica."""

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.jobs: dict[str, int] = {}

    def set(self, job: Job, is_open: bool) -> None:
        """Count a job, or count it anew once it has ended."""
        self.remove(job.id)
        self.jobs[job.id] = estimate_bytes(job, is_open)
        self.held_bytes += self.jobs[job.id]

    def remove(self, job: str) -> None:
        """Count a job no longer."""
        self.held_bytes -= self.jobs.pop(job, 0)

    def has_room(self, job: Job) -> bool:
        """
        Whether a new job may be accepted.

        A job counts for at most half of the limit, so that the largest legal job is
        accepted by an entry that holds little else. Large jobs leave a share of the
        limit to others.
        """
        size_bytes = min(estimate_bytes(job, True), self.limit_bytes // 2)
        limit_bytes = self.limit_bytes
        if size_bytes > LARGE_JOB_SHARE * limit_bytes:
            limit_bytes -= int(ORDINARY_JOBS_SHARE * limit_bytes)
        return self.held_bytes + size_bytes <= limit_bytes
