"""Which jobs are within their organisation's guarantee."""

from collections.abc import Iterable

from yuccarelay.core.batch.entities import JobPlan
from yuccarelay.core.batch.models import Configuration, Job

URGENT_PRIORITY = 0


def peak_accelerators(job: Job) -> int:
    """Return the accelerators of the step that needs the most."""
    return max((step.count * step.need.accelerators for step in job.steps), default=0)


def find_entitled(plans: Iterable[JobPlan], configuration: Configuration) -> set[str]:
    """
    Return the ids of the urgent jobs that fit into their organisation's guarantee.

    Jobs of an organisation use up its guarantee in the order of acceptance.
    """
    guaranteed = {o.name: o.guaranteed for o in configuration.organisations}
    urgent = {
        queue.name
        for queue in configuration.queues
        if queue.priority == URGENT_PRIORITY
    }
    open_plans = [p for p in plans if not p.ended and p.job.queue in urgent]
    entitled = set()
    for plan in sorted(open_plans, key=lambda p: (p.accepted_ms, p.job.id)):
        need = peak_accelerators(plan.job)
        left = guaranteed.get(plan.job.organisation, 0)
        if need <= left:
            guaranteed[plan.job.organisation] = left - need
            entitled.add(plan.job.id)
    return entitled
