"""
Invariants of a simulation, checked from outside.

The oracle uses only the replies that callers received and the runs of the targets.
"""

import itertools
from collections import defaultdict

from yuccarelay.core.guarantee_plan import owned_shares
from yuccarelay.core.messages import JobStatus
from yuccarelay.core.models import parse_job_id
from yuccarelay.core.timing import (
    DRAIN_START_WINDOW_MS,
    LEASE_MS,
    RENEW_INTERVAL_MS,
    TICK_MS,
)
from yuccarelay.standins.simulation import Simulation
from yuccarelay.standins.simulation_target import Run

NOTHING_RAN = ('not_run', 'cancelled_before_start')
# The bound that the design page states for any combination of failures: a lease,
# one renewal, and the ticks that detect the expiry.
PARTIAL_LIMIT_MS = LEASE_MS + RENEW_INTERVAL_MS + 2 * TICK_MS


def collect_runs(simulation: Simulation) -> dict[str, list[Run]]:
    """Return the runs of all members by job id."""
    runs = defaultdict(list)
    for target in simulation.targets.values():
        for run in target.runs.values():
            runs[parse_job_id(run.attempt_id)].append(run)
    return runs


def collect_statuses(simulation: Simulation) -> list[JobStatus]:
    """Return every job status that any caller received."""
    return [
        response
        for process in simulation.processes.values()
        for response in process.responses.values()
        if isinstance(response, JobStatus)
    ]


def collect_job_names(simulation: Simulation) -> dict[str, str]:
    """Return the job names of all jobs that an entry or the store ever had."""
    names = {
        record.job_id: record.job_name
        for record, _ in simulation.store.records.values()
    }
    for process in simulation.processes.values():
        if process.is_entry:
            for job_id, job in process.core.state.jobs.items():
                names[job_id] = job.spec.name
    return names


def collect_organisations(simulation: Simulation) -> dict[str, str]:
    """Return the organisations of all jobs that an entry or the store ever had."""
    names = {
        record.job_id: record.organisation
        for record, _ in simulation.store.records.values()
    }
    for process in simulation.processes.values():
        if process.is_entry:
            for job_id, job in process.core.state.jobs.items():
                names[job_id] = job.spec.organisation
    return names


def check_nothing_ran(simulation: Simulation) -> list[str]:
    """A job that was reported to a caller as not run has no run."""
    runs = collect_runs(simulation)
    return [
        f'{status.job_id} was reported as {status.outcome.kind} but ran'
        for status in collect_statuses(simulation)
        if status.outcome and status.outcome.kind in NOTHING_RAN
        if runs[status.job_id]
    ]


def check_at_most_once(simulation: Simulation, non_repeatable: set[str]) -> list[str]:
    """No member of a job that is not repeatable starts twice."""
    faults = []
    for job_id, runs in collect_runs(simulation).items():
        members = [run.task_id.rpartition('/')[2] for run in runs]
        if job_id in non_repeatable and len(members) != len(set(members)):
            faults.append(f'{job_id} ran more than once: {sorted(members)}')
    return faults


def check_completed(simulation: Simulation, members: dict[str, int]) -> list[str]:
    """A completed job has an attempt in which every member completed."""
    runs = collect_runs(simulation)
    faults = []
    for status in collect_statuses(simulation):
        if status.outcome is None or status.outcome.kind != 'completed':
            continue
        counts = defaultdict(int)
        for run in runs[status.job_id]:
            counts[run.attempt_id] += run.completed
        expected = members[status.job_id]
        parts = len(status.outcome.parts)
        if expected not in counts.values() or parts != expected:
            faults.append(
                f'{status.job_id} completed with members {dict(counts)}, parts {parts}'
            )
    return faults


def check_whole_gangs(simulation: Simulation, members: dict[str, int]) -> list[str]:
    """No attempt runs with only some of its members beyond the stated bound."""
    faults = []
    for job_id, runs in collect_runs(simulation).items():
        attempts = defaultdict(list)
        for run in runs:
            attempts[run.attempt_id].append(run)
        for attempt_id, parts in attempts.items():
            partial_ms = measure_partial(parts, members[job_id], simulation.now_ms)
            if partial_ms > PARTIAL_LIMIT_MS:
                faults.append(f'{attempt_id} ran partially for {partial_ms} ms')
    return faults


def measure_partial(runs: list[Run], members: int, now_ms: int) -> int:
    """Return for how many ms some members ran while others were missing."""
    intervals = []
    for run in runs:
        end_ms = now_ms if run.end_ms is None else run.end_ms
        # A member that has completed its part does not count as missing afterwards.
        intervals.append((run.started_ms, now_ms if run.completed else end_ms, end_ms))
    last_ms = max(end_ms for _, _, end_ms in intervals)
    times_ms = sorted(
        {time_ms for interval in intervals for time_ms in interval} | {last_ms}
    )
    partial_ms = 0
    for begin, end in itertools.pairwise(times_ms):
        present = sum(start <= begin < until for start, until, _ in intervals)
        running = any(start <= begin < stop for start, _, stop in intervals)
        if running and present < members:
            partial_ms += end - begin
    return partial_ms


def find_active(runs: list[Run], at_ms: int) -> list[Run]:
    """Return the runs that use their worker at a given time."""
    return [
        run
        for run in runs
        if run.started_ms <= at_ms and (run.end_ms is None or at_ms < run.end_ms)
    ]


def check_capacity(simulation: Simulation) -> list[str]:
    """A worker never uses more accelerators or slots than it has."""
    faults = []
    for worker_id, target in simulation.targets.items():
        runs = list(target.runs.values())
        state = simulation.workers[worker_id]
        for run in runs:
            active = find_active(runs, run.started_ms)
            used = sum(one.accelerators for one in active)
            if used > state.accelerators or len(active) > state.slots:
                names = [one.task_id for one in active]
                faults.append(f'{worker_id} ran {names} at {run.started_ms}')
    return faults


def check_pinned(simulation: Simulation, pinned: dict[str, str]) -> list[str]:
    """
    Jobs that may not be stopped run only in the cells of their organisation.

    `pinned` maps each such job to its organisation. An agent may still apply an older
    plan than the store's, so every plan that was ever in force counts.
    """
    faults = []
    for worker_id, target in simulation.targets.items():
        runs = [
            run
            for run in target.runs.values()
            if run.job_id in pinned and run.accelerators
        ]
        for run in runs:
            organisation = pinned[run.job_id]
            used = sum(
                one.accelerators
                for one in find_active(runs, run.started_ms)
                if pinned[one.job_id] == organisation
            )
            if used > find_owned(simulation, worker_id, organisation):
                faults.append(f'{run.task_id} ran outside the cells of {organisation}')
    return faults


def find_owned(simulation: Simulation, worker_id: str, organisation: str) -> int:
    """Return the most that an organisation ever owned on a worker."""
    return max(
        (
            share.accelerators
            for plan in simulation.store.plan_history
            for share in owned_shares(plan, worker_id)
            if share.organisation == organisation
        ),
        default=0,
    )


def check_draining(
    simulation: Simulation, drains: list[tuple[str, int, int]]
) -> list[str]:
    """
    No run starts on a draining worker after the stated time.

    A drain consists of a worker, the time of its notice and that of the agent's
    restart, in ms.
    """
    faults = []
    for worker_id, from_ms, until_ms in drains:
        for run in simulation.targets[worker_id].runs.values():
            if from_ms + DRAIN_START_WINDOW_MS < run.started_ms < until_ms:
                faults.append(f'{run.task_id} started on draining {worker_id}')
    return faults


def check_generations(simulation: Simulation) -> list[str]:
    """No process puts an older manifest in force than it had before."""
    latest: dict[str, int] = {}
    faults = []
    for line in simulation.lines:
        words = line.split()
        if words[1] != 'manifest_in_force':
            continue
        fields = dict(word.split('=', 1) for word in words[2:])
        generation = int(fields['generation'])
        if generation < latest.get(fields['by'], 0):
            faults.append(line)
        latest[fields['by']] = generation
    return faults
