"""
Evacuation of failure domains: what the planner does when the set changes.

Runs that were assigned but not started are released, and what is reserved on the
workers of an evacuated domain is given up. Work that runs there is left to finish.
"""

from yuccarelay.core.batch.entities import RunStage, WorkerView
from yuccarelay.core.batch.events import EvacuationConfirmed
from yuccarelay.core.batch.planner_state import PlannerState

# A new planner has confirmed the set by then, unless the store is slow.
FIRST_CONFIRMATION_MS = 1_000


def take_confirmation(planner_state: PlannerState, event: EvacuationConfirmed) -> None:
    """Apply a confirmed set of evacuated domains."""
    evacuated = planner_state.evacuated
    now_ms = planner_state.now.ms
    was_confirmed = evacuated.is_confirmed(now_ms)
    begun = event.domains - evacuated.domains
    ended = evacuated.domains - event.domains
    evacuated.domains = event.domains
    evacuated.fresh_until_ms = event.fresh_until_ms
    for domain in sorted(begun):
        note_evacuation(planner_state, domain)
    for domain in sorted(ended):
        planner_state.note('domain_restored', domain=domain)
    if begun:
        release_pending(planner_state)
        drop_reservations(planner_state)
    if begun or ended:
        # The line with the planner's state has the number of evacuated domains.
        planner_state.state_due_ms = 0
    if begun or ended or not was_confirmed:
        planner_state.dirty = True
        planner_state.pass_due_ms = 0


def note_evacuation(planner_state: PlannerState, domain: str) -> None:
    """Log that a domain is evacuated, with what is there."""
    views = list_workers(planner_state, frozenset({domain}))
    planner_state.note(
        'domain_evacuated',
        domain=domain,
        workers=len(views),
        runs=sum(len(view.runs) for view in views),
    )


def list_workers(
    planner_state: PlannerState, domains: frozenset[str]
) -> list[WorkerView]:
    """Return the workers of some domains."""
    return [
        view
        for view in planner_state.workers.values()
        if view.info is not None and view.info.domain in domains
    ]


def release_pending(planner_state: PlannerState) -> None:
    """
    Release the runs in evacuated domains whose start was not ordered yet.

    The other members of their gangs are released with them.
    """
    for view in list_workers(planner_state, planner_state.evacuated.domains):
        for run in list(view.runs.values()):
            if run.stage is RunStage.RECORDING:
                planner_state.release(run, 'evacuated')


def drop_reservations(planner_state: PlannerState) -> None:
    """Give up the reservations of units that would start in an evacuated domain."""
    views = list_workers(planner_state, planner_state.evacuated.domains)
    agents = {view.agent for view in views}
    for key, reservation in list(planner_state.reserved.items()):
        if not agents.isdisjoint(reservation.placement):
            del planner_state.reserved[key]


def note_expiry(planner_state: PlannerState) -> None:
    """Log when the set expires without another, and when one is confirmed again."""
    evacuated, now_ms = planner_state.evacuated, planner_state.now.ms
    if evacuated.is_confirmed(now_ms):
        if evacuated.expired_ms:
            planner_state.note(
                'evacuation_confirmed', after_ms=now_ms - evacuated.expired_ms
            )
            evacuated.expired_ms = 0
    elif not evacuated.expired_ms:
        first_ms = planner_state.elected_ms + FIRST_CONFIRMATION_MS
        if now_ms > max(evacuated.fresh_until_ms, first_ms):
            evacuated.expired_ms = now_ms
            planner_state.note('evacuation_unconfirmed')
