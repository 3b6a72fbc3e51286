"""Which jobs are within their organisation's guarantee."""

from yuccarelay.core.batch.entities import JobPlan
from yuccarelay.core.batch.models import Job
from yuccarelay.core.batch.planner_state import PlannerState

URGENT_PRIORITY = 0


def peak_accelerators(job: Job) -> int:
    """Return the accelerators of the step that needs the most."""
    return max((step.count * step.need.accelerators for step in job.steps), default=0)


def is_urgent(planner_state: PlannerState, plan: JobPlan) -> bool:
    """Whether a job is of an urgent queue."""
    queue = planner_state.find_queue(plan)
    return queue is not None and queue.priority == URGENT_PRIORITY


def find_entitled(planner_state: PlannerState) -> set[str]:
    """
    Return the ids of the urgent jobs that fit into their organisation's guarantee.

    Jobs of an organisation use up its guarantee in the order of acceptance.
    """
    organisations = planner_state.configuration.organisations
    guaranteed = {o.name: o.guaranteed for o in organisations}
    open_plans = [
        plan
        for plan in planner_state.plans.values()
        if not plan.ended and is_urgent(planner_state, plan)
    ]
    entitled = set()
    for plan in sorted(open_plans, key=lambda p: (p.accepted_ms, p.job.id)):
        need = peak_accelerators(plan.job)
        left = guaranteed.get(plan.job.organisation, 0)
        if need <= left:
            guaranteed[plan.job.organisation] = left - need
            entitled.add(plan.job.id)
    return entitled
