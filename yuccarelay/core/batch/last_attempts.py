"""
Decides whether a last attempt waits until more is known of the workers.

After one more failure a job is shown as failed, and while some workers fail all that
they start, a gang fails with any one of them. So a last attempt begins once it is
likely to succeed. What is likely enough depends on what its caller loses by the wait:
nothing while the job can still meet its objective, and less than by a failure later.
"""

from yuccarelay.core.batch.capacity_snapshot import LONGEST_IDLE_MS, CapacitySnapshot
from yuccarelay.core.batch.models import TaskStage
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.unit_placement import (
    Avoidance,
    Candidate,
    Placement,
    Suspicion,
    place_tasks,
)
from yuccarelay.core.batch.waiting_units import WaitingUnit

# Workers that fail what they start usually recover within this time, so a last attempt
# waits no longer after the failure before it.
RECOVERY_MS = 8_000
# Least chance to succeed with which a last attempt begins while its job can still meet
# its objective by waiting, and once it cannot.
CHANCE_IN_TIME = 0.8
CHANCE_LATE = 0.5
# So many workers count as sound before any is known to be, because a failure is noticed
# at once and a sound start only after a second or more.
SOUND_PRIOR = 4


def withhold_unproven(
    planner_state: PlannerState,
    snapshot: CapacitySnapshot,
    entry: WaitingUnit,
    candidates: list[Candidate],
) -> list[Candidate]:
    """
    Return the candidates, without those that may fail a last attempt if it should wait.

    It still begins, or has other work stopped, on workers that are known to be sound.
    """
    if not may_wait(planner_state, snapshot, entry):
        return candidates
    step, count = entry.plan.job.steps[entry.unit.step], len(entry.unit.tasks)
    placement = place_tasks(step, count, candidates, entry.spread)
    is_in_time = planner_state.now.ms < entry.rank.start_by_ms and not entry.rank.late
    least_chance = CHANCE_IN_TIME if is_in_time else CHANCE_LATE
    # The job fails with any one of its tasks that have no other attempt left.
    least_chance **= 1 / count_last_attempts(snapshot, entry)
    failing_share = find_failing_share(planner_state, snapshot, entry.queue.service)
    chance = None
    if placement is not None:
        chance = find_chance(placement, candidates, failing_share)
        if chance >= least_chance:
            return candidates
    note_wait(planner_state, entry, chance, least_chance, failing_share)
    return [
        candidate._replace(avoidance=Avoidance.UNPROVEN)
        if candidate.suspicion and not candidate.avoided
        else candidate
        for candidate in candidates
    ]


def count_last_attempts(snapshot: CapacitySnapshot, entry: WaitingUnit) -> int:
    """Return how many units of a step have one attempt left and may still fail it."""
    key, plan = entry.unit[:3], entry.plan
    if len(entry.unit.tasks) > 1:
        return 1
    if key not in snapshot.last_attempts:
        tasks = [
            task
            for task in plan.step_tasks(*entry.unit[1:3])
            if plan.task(task).failures >= entry.queue.max_attempts - 1
            and plan.task(task).stage is not TaskStage.DONE
        ]
        survived = [
            task for task in tasks if task in plan.runs and plan.runs[task].has_survived
        ]
        snapshot.last_attempts[key] = max(1, len(tasks) - len(survived))
    return snapshot.last_attempts[key]


def note_wait(
    planner_state: PlannerState,
    entry: WaitingUnit,
    chance: float | None,
    least_chance: float,
    failing_share: float,
) -> None:
    """Log once that a last attempt waits, and what decided that."""
    wait = entry.plan.waits[entry.unit.tasks[0][1:]]
    if wait.is_held_back:
        return
    wait.is_held_back = True
    planner_state.note(
        'last_attempt_waiting',
        job=entry.unit.job,
        step=entry.unit.step,
        occurrence=entry.unit.occurrence,
        tasks=len(entry.unit.tasks),
        chance=None if chance is None else round(chance, 2),
        least_chance=round(least_chance, 2),
        failing_share=round(failing_share, 2),
        start_by_in_ms=int(entry.rank.start_by_ms - planner_state.now.ms),
    )


def may_wait(
    planner_state: PlannerState, snapshot: CapacitySnapshot, entry: WaitingUnit
) -> bool:
    """
    Whether a unit has one attempt left and may wait for it beside free workers.

    In a fleet that is mostly idle users take work that waits for forgotten.
    """
    plan, unit, now_ms = entry.plan, entry.unit, planner_state.now.ms
    failures = max(plan.task(task).failures for task in unit.tasks)
    if not 0 < entry.queue.max_attempts - 1 <= failures:
        return False
    if now_ms >= plan.failed_ms.get(unit[1:3], -RECOVERY_MS) + RECOVERY_MS:
        return False
    if not planner_state.start_failures.find_since_ms(entry.queue.service, now_ms):
        return False
    wait = plan.waits[unit.tasks[0][1:]]
    if not snapshot.is_idle(entry.queue.service):
        wait.beside_idle_ms = 0
        return True
    wait.beside_idle_ms = wait.beside_idle_ms or now_ms
    return now_ms < wait.beside_idle_ms + LONGEST_IDLE_MS


def find_failing_share(
    planner_state: PlannerState, snapshot: CapacitySnapshot, service: str
) -> float:
    """Return the share of the workers that fail what they start, as it is estimated."""
    views = snapshot.open.get(service, ())
    failing = sum(planner_state.now.ms < view.suspect_until_ms for view in views)
    sound = sum(planner_state.starts_tasks(view) for view in views)
    return failing / (failing + sound + SOUND_PRIOR)


def find_chance(
    placement: Placement, candidates: list[Candidate], failing_share: float
) -> float:
    """Return the chance that no worker of a placement fails what it starts."""
    suspicions = {candidate.agent: candidate.suspicion for candidate in candidates}
    chance = 1.0
    for agent in set(placement):
        match suspicions[agent]:
            case Suspicion.FAILED:
                return 0.0
            case Suspicion.OUTDATED | Suspicion.UNPROVEN:
                chance *= 1 - failing_share
    return chance
