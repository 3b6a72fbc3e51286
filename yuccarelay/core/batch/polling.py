"""Polls of the agents: what a worker is asked for, and how long the answer may wait."""

from yuccarelay.core.batch.entities import RunStage, WorkerView
from yuccarelay.core.batch.planner_state import STOP_RETRY_MS, PlannerState
from yuccarelay.core.batch.protocol import Look
from yuccarelay.core.batch.silence import SILENCE_MS

# A poll waits on the worker for a run to end, at most this long (platform limit).
POLL_WAIT_MS = 2_000
# Response times of latency-sensitive tasks decide the pace of co-located best-effort
# tasks, so workers that run both are polled more often.
INTERFERENCE_WAIT_MS = 300
# The lists read after a stop show whether the run has ended; its resources are held
# until then. A stop takes up to 0.9 s.
SETTLE_WAIT_MS = 100
# While a run may crash its worker, other work avoids that worker, so that it should be
# known soon that the run has survived its start; and the worker may soon go down again.
PROBATION_WAIT_MS = 100
# For an idle worker the agent answers from heartbeats, without calling the worker.
IDLE_WAIT_MS = 1_500
# Nearly all agents that start at the same time, after a loss of power or a restart of
# all processes, answer within this time after the election of a planner.
FLEET_START_MS = 1_500
# A larger share of unread workers is not explained by single machines that are lost.
STARTING_SHARE = 0.25


def poll(planner_state: PlannerState, view: WorkerView) -> None:
    """
    Request a report from an agent and extend the leases of the worker's runs.

    The lists of a worker that did not answer the last call are read again even if
    it has no runs left, because it takes no work until it answers.
    """
    lists_unread = view.read_ms == 0 or view.basis is None
    stages = {run.stage for run in view.runs.values()}
    has_work = (
        view.runs
        or view.ends
        or view.orphaned_runs
        or view.has_orphans
        or view.acknowledged_end < view.seen
    )
    reads_lists = lists_unread or bool(has_work)
    basis = None
    may_extend = planner_state.may_extend_leases(view.agent)
    if view.runs and view.basis is not None and may_extend:
        basis = view.basis
        view.extend_lease(planner_state.leases.lease_expiry_ms(view.basis_received_ms))
    wait_ms = 0 if lists_unread else POLL_WAIT_MS if reads_lists else IDLE_WAIT_MS
    if RunStage.STOPPING in stages:
        wait_ms = min(wait_ms, STOP_RETRY_MS)
    if RunStage.STOPPED in stages:
        wait_ms = min(wait_ms, SETTLE_WAIT_MS)
    if planner_state.suspects and is_on_probation(planner_state, view):
        wait_ms = min(wait_ms, PROBATION_WAIT_MS)
    if planner_state.list_interfering(view)[1]:
        wait_ms = min(wait_ms, INTERFERENCE_WAIT_MS)
    order = Look(
        planner_state.term,
        basis,
        view.id,
        view.seen,
        wait_ms,
        reads_lists,
        view.changes,
        is_service_known(planner_state, view),
    )
    view.poll = order
    view.poll_sent_ms = planner_state.now.ms
    planner_state.order(view, order)


def awaits_first_answers(planner_state: PlannerState) -> bool:
    """
    Whether workers may still answer the first poll of a new planner.

    What is free on them is not known before. One that is overdue, refuses connections
    or was silent to the planner before is not waited for. While many have not answered,
    as after a loss of power, their agents are probably starting. Both waits are
    bounded, so workers that never answer do not hold up guaranteed work for long.
    """
    waited_ms = planner_state.now.ms - planner_state.elected_ms
    if waited_ms >= FLEET_START_MS:
        return False
    expected = [
        view
        for view in planner_state.workers.values()
        if view.agent_address.address
        and view.agent not in planner_state.silent_agents.known.expiry_ms
    ]
    unread = [view for view in expected if not view.read_ms]
    if len(unread) > STARTING_SHARE * len(expected):
        return True
    return waited_ms < SILENCE_MS and any(not view.is_silent for view in unread)


def is_service_known(planner_state: PlannerState, view: WorkerView) -> bool:
    """Whether the configuration, once there is one, has a worker's service."""
    if view.info is None or planner_state.configuration is None:
        return True
    return view.info.service in planner_state.services


def is_on_probation(planner_state: PlannerState, view: WorkerView) -> bool:
    """Whether a task that may crash a worker was started there, or will be."""
    return any(
        run.task.job in planner_state.suspects and not run.has_survived
        for run in view.runs.values()
    ) or any(agent == view.agent for agent, _ in planner_state.list_suspects_reserved())
