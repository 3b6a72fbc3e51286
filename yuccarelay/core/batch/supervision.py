"""Periodic work of the planner, such as checks for lost and slow workers."""

from yuccarelay.core.batch.crash_attribution import decide_crashes
from yuccarelay.core.batch.draining import drain_worker
from yuccarelay.core.batch.entities import JobPlan, Run, RunStage, WorkerView
from yuccarelay.core.batch.events import RemoveJob, SaveRunTimes, SaveSilence
from yuccarelay.core.batch.models import ENDED
from yuccarelay.core.batch.neighbours import fade_interference, find_run_kind
from yuccarelay.core.batch.pacing import FULL_PERCENT, PACE_PERIOD_MS, choose_pace
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.polling import poll
from yuccarelay.core.batch.protocol import Pace
from yuccarelay.core.batch.run_time_record import WRITE_PERIOD_MS, make_record
from yuccarelay.core.batch.silence import SILENCE_MS
from yuccarelay.core.batch.slow_workers import (
    MIN_RUN_MS,
    Progress,
    find_slow_workers,
)
from yuccarelay.core.batch.wait_report import report_unsettled_run

# A worker that was found slow gets no new work for this time.
SLOW_PAUSE_MS = 1_000
# The first paces of a run only search for the one that is tolerated.
PACE_SETTLED_MS = 5 * PACE_PERIOD_MS
# A run that takes this multiple of its estimate is logged as slow.
SLOW_MULTIPLE = 2
# A gang's progress is logged once it has run for its estimate, and with each doubling.
GANG_MULTIPLE = 1
# Interval of the log line with the planner's state; a shorter one would fill the log.
STATE_PERIOD_MS = 10_000
# The store confirms the term every 0.3 s while it answers, and up to 0.4 s later.
CONFIRMED_MS = 1_000
# Records of ended jobs are retained for longer than callers may query them (120 s).
ENDED_RETENTION_MS = 300_000


def tick(planner_state: PlannerState) -> None:
    """Repeat orders, release the runs of lost workers, and request a pass."""
    planner_state.dirty = True
    for view in list(planner_state.workers.values()):
        if (
            not view.is_polling
            and view.agent_address.address
            and planner_state.now.ms >= view.poll_due_ms
        ):
            poll(planner_state, view)
        if view.runs and planner_state.now.ms > view.lease_expiry_ms:
            release_expired_runs(planner_state, view)
        if view.info is not None and view.info.draining:
            drain_worker(planner_state, view)
        pace_best_effort(planner_state, view)
    decide_crashes(planner_state)
    hand_on_silence(planner_state)
    hand_on_run_times(planner_state)
    avoid_slow_workers(planner_state)
    fade_interference(planner_state)
    note_state(planner_state)
    for plan in list(planner_state.plans.values()):
        log_gangs(planner_state, plan)
        for run in list(plan.runs.values()):
            is_due = planner_state.now.ms >= run.stop_due_ms
            report_unsettled_run(planner_state, run)
            if run.stage is RunStage.STOPPING and is_due:
                planner_state.send_stop(run)
            elif run.stage is RunStage.RUNNING:
                log_slow_run(planner_state, plan, run)
        # A record that has changed in this tick is saved first.
        is_settled = not plan.runs and plan.job.id not in planner_state.changed
        ended = plan.state in ENDED and is_settled
        if ended and planner_state.now.wall_ms > plan.ended_at_ms + ENDED_RETENTION_MS:
            del planner_state.plans[plan.job.id]
            planner_state.queues.job_terms.pop(plan.job.id, None)
            planner_state.effects.append(RemoveJob(plan.job.id))


def hand_on_silence(planner_state: PlannerState) -> None:
    """
    Store which agents with runs do not answer, so that a successor need not wait anew.

    In an outage of the store there is no successor, and an agent that was silent for a
    moment could not be heard again in time.
    """
    now_ms = planner_state.now.ms
    if now_ms > planner_state.confirmed_ms + CONFIRMED_MS:
        return
    expiry_ms = {}
    for view in planner_state.workers.values():
        if is_overdue(view, now_ms) and not view.is_silent:
            view.is_silent, view.silent_since_ms = True, now_ms
        if view.is_silent and view.runs and view.lease_expiry_ms > now_ms:
            expiry_ms[view.agent] = view.lease_expiry_ms
    silent_agents = planner_state.silent_agents
    if silent_agents.newest != expiry_ms.keys():
        planner_state.note(
            'agents_silent',
            agents=','.join(sorted(expiry_ms)),
            expires_in_ms=max(expiry_ms.values(), default=now_ms) - now_ms,
        )
    # Until then an agent may be neither heard nor silent.
    is_complete = now_ms > planner_state.elected_ms + SILENCE_MS
    record = silent_agents.update(expiry_ms, now_ms, is_complete=is_complete)
    if record is not None:
        planner_state.effects.append(SaveSilence(silent_agents.version, record))


def hand_on_run_times(planner_state: PlannerState) -> None:
    """Store what was learned about run times, so that a successor has it."""
    now_ms = planner_state.now.ms
    run_times = planner_state.run_times
    if (
        not run_times.has_changed
        or now_ms < planner_state.run_times_due_ms
        or now_ms > planner_state.confirmed_ms + CONFIRMED_MS
    ):
        return
    run_times.has_changed = False
    planner_state.run_times_due_ms = now_ms + WRITE_PERIOD_MS
    planner_state.effects.append(SaveRunTimes(make_record(run_times)))


def is_overdue(view: WorkerView, now_ms: int) -> bool:
    """Whether an agent should have answered a poll by now, or cannot be polled."""
    if view.poll is None:
        return not view.agent_address.address
    return now_ms >= view.poll_sent_ms + view.poll.wait_ms + SILENCE_MS


def note_state(planner_state: PlannerState) -> None:
    """Log the planner's state once in `STATE_PERIOD_MS`."""
    if planner_state.now.ms < planner_state.state_due_ms:
        return
    planner_state.state_due_ms = planner_state.now.ms + STATE_PERIOD_MS
    open_plans = [plan for plan in planner_state.plans.values() if not plan.ended]
    workers = planner_state.workers.values()
    waits_since_ms = [
        wait.since_ms for plan in open_plans for wait in plan.waits.values()
    ]
    planner_state.note(
        'planner_state',
        jobs=len(open_plans),
        not_begun=sum(not plan.begun for plan in open_plans),
        runs=sum(len(view.runs) for view in workers),
        waiting=len(waits_since_ms),
        longest_wait_ms=planner_state.now.ms
        - min(waits_since_ms, default=planner_state.now.ms),
        workers=len(workers),
        silent_workers=planner_state.count_unread(),
        unsaved_records=sum(
            plan.saved < plan.version for plan in planner_state.plans.values()
        ),
        confirmed_age_ms=planner_state.now.ms - planner_state.confirmed_ms,
        evacuated_domains=len(planner_state.evacuated.domains),
        learned_queues=sum(
            times.is_learned for times in planner_state.run_times.queues.values()
        ),
        interfering_pairs=len(planner_state.interference.known),
    )


def log_slow_run(planner_state: PlannerState, plan: JobPlan, run: Run) -> None:
    """Log a run that takes a multiple of its estimate, and each doubling of that."""
    if plan.step(run.task).is_long_running:
        return
    estimate_ms = planner_state.estimate_ms(run)
    multiple = int((planner_state.now.ms - run.started_ms) / max(1.0, estimate_ms))
    if multiple < max(SLOW_MULTIPLE, 2 * run.slow_multiple):
        return
    run.slow_multiple = multiple
    planner_state.note(
        'run_slow',
        task=run.task,
        run=run.number,
        worker=run.worker.name,
        ran_ms=planner_state.now.ms - run.started_ms,
        estimate_ms=int(estimate_ms),
        percent=run.percent,
        percent_age_ms=planner_state.now.ms - run.percent_since_ms,
    )


def log_gangs(planner_state: PlannerState, plan: JobPlan) -> None:
    """
    Log how far the members of a gang are, once it has run for its estimate.

    Members that are equally far show a long task, one that is behind shows a slow
    worker, and one whose progress is old shows a stalled one.
    """
    gangs: dict[tuple[int, int], list[Run]] = {}
    for run in plan.runs.values():
        if run.stage is RunStage.RUNNING and plan.step(run.task).gang:
            gangs.setdefault(run.task[1:3], []).append(run)
    now_ms = planner_state.now.ms
    for (occurrence, step), members in gangs.items():
        last = min(members, key=lambda run: (run.percent, run.percent_since_ms))
        ran_ms = now_ms - last.started_ms
        estimate_ms = planner_state.estimate_ms(last)
        multiple = int(ran_ms / max(1.0, estimate_ms))
        if multiple < max(GANG_MULTIPLE, 2 * last.gang_multiple):
            continue
        for run in members:
            run.gang_multiple = multiple
        racks = {planner_state.workers[run.worker.agent].rack() for run in members}
        planner_state.note(
            'gang_progress',
            job=plan.job.id,
            occurrence=occurrence,
            step=step,
            run=last.number,
            members=len(members),
            racks=len(racks),
            ran_ms=ran_ms,
            estimate_ms=int(estimate_ms),
            percent=last.percent,
            percent_age_ms=now_ms - last.percent_since_ms,
            most_percent=max(run.percent for run in members),
            worker=last.worker.name,
        )


def avoid_slow_workers(planner_state: PlannerState) -> None:
    """
    Avoid workers that are much slower than others when placing work.

    Long-running tasks are left out, because those that are at work make no progress.
    """
    found = find_slow_workers(
        Progress(
            worker=view.agent,
            ran_ms=planner_state.now.ms - run.started_ms,
            percent=run.percent,
            percent_age_ms=planner_state.now.ms - run.percent_since_ms,
            estimate_ms=planner_state.estimate_ms(run),
        )
        for view in planner_state.workers.values()
        for run in view.runs.values()
        if run.stage is RunStage.RUNNING
        and planner_state.now.ms >= run.started_ms + MIN_RUN_MS
        and planner_state.will_end(run)
    )
    for agent in found:
        view = planner_state.workers[agent]
        if view.avoid_until_ms <= planner_state.now.ms:
            planner_state.note('worker_slow', agent=agent, runs=len(view.runs))
        view.avoid_until_ms = max(
            view.avoid_until_ms,
            planner_state.now.ms + SLOW_PAUSE_MS,
        )


def pace_best_effort(planner_state: PlannerState, view: WorkerView) -> None:
    """
    Adjust the pace of best-effort runs to the response times on the worker.

    Without a latency-sensitive run beside them they return to full pace: one that was
    paused would otherwise stand still for ever.
    """
    if view.id is None:
        return
    latency_sensitive, best_effort_runs = planner_state.list_interfering(view)
    ratio = max(
        (
            run.recent_metric
            / planner_state.plans[run.task.job].step(run.task).target_ms
            for run in latency_sensitive
        ),
        default=0,
    )
    kinds = {find_run_kind(planner_state, run) for run in latency_sensitive}
    for run in best_effort_runs:
        before = FULL_PERCENT if run.pace is None else run.pace
        percent = choose_pace(before, ratio)
        if run.pace == FULL_PERCENT and not run.pace_sent_ms:
            kind = find_run_kind(planner_state, run)
            start = planner_state.tolerable_paces.start_pace(
                kinds, kind, planner_state.now.ms
            )
            # The tail may already be that of a run at full speed, which ends now.
            percent = start if start < FULL_PERCENT else percent
        order_pace(planner_state, view, run, percent, ratio)
    learn_pace(planner_state, kinds, best_effort_runs)
    if best_effort_runs:
        return
    for run in view.runs.values():
        if run.pace != FULL_PERCENT:
            plan = planner_state.plans[run.task.job]
            if plan.step(run.task).best_effort:
                order_pace(planner_state, view, run, FULL_PERCENT, ratio)


def learn_pace(
    planner_state: PlannerState, kinds: set[str], best_effort_runs: list[Run]
) -> None:
    """
    Learn the pace that a best-effort kind has settled at beside another kind.

    Each pace is ordered by the last tail, so the mean of the paces over some time is
    about the one that is tolerated. With more than one kind on either side it could not
    be told which of them it is for.
    """
    beside = {find_run_kind(planner_state, run) for run in best_effort_runs}
    if len(kinds) != 1 or len(beside) != 1:
        return
    now_ms = planner_state.now.ms
    settled = [
        run.pace
        for run in best_effort_runs
        if run.stage is RunStage.RUNNING
        and run.pace is not None
        and now_ms >= run.started_ms + PACE_SETTLED_MS
    ]
    if settled:
        (kind,), (other,) = kinds, beside
        percent = sum(settled) // len(settled)
        planner_state.tolerable_paces.learn(kind, other, percent, now_ms)


def order_pace(
    planner_state: PlannerState,
    view: WorkerView,
    run: Run,
    percent: int,
    ratio: float,
) -> None:
    """Order the pace of a run, unless it has it or its last order is too recent."""
    now_ms = planner_state.now.ms
    if (
        run.stage is not RunStage.RUNNING
        or now_ms < run.pace_sent_ms + PACE_PERIOD_MS
        or percent == run.pace
    ):
        return
    planner_state.note(
        'run_paced',
        task=run.task,
        run=run.number,
        worker=run.worker.name,
        percent=percent,
        before=run.pace,
        tail_ratio=round(ratio, 2),
        age_ms=now_ms - view.read_ms,
    )
    run.pace, run.pace_sent_ms = percent, now_ms
    planner_state.order(
        view, Pace(planner_state.term, view.id, str(run.task), run.number, percent)
    )


def release_expired_runs(planner_state: PlannerState, view: WorkerView) -> None:
    """Release the runs of a worker that was unreachable until its leases expired."""
    lost = [run for run in view.runs.values() if run.stage is not RunStage.RECORDING]
    if lost:
        planner_state.note('worker_lapsed', agent=view.agent, runs=len(lost))
    for run in lost:
        planner_state.release(run, 'lapsed')
