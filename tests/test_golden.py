"""
Golden files of whole simulations: inputs, decisions and outcomes as text.

    python -m tests test_golden      compare
    python -m tests.test_golden      rewrite tests/golden/*.txt; review the diff
"""

import pathlib
import unittest
from collections.abc import Callable

from tests.fleet import ENTRIES, make_manifest
from tests.promises import find_worker, make_simulation, query_status, start_running
from yuccarelay.core.messages import JobStatus
from yuccarelay.standins.simulation import Simulation

GOLDEN = pathlib.Path(__file__).parent / 'golden'
LONG_MS = 600_000


class Recording:
    """A simulation whose transcript includes the answers to callers."""

    def __init__(self):
        self.simulation = make_simulation(seed=1)
        self.jobs: dict[str, str] = {}

    def submit(self, organisation: str, job: str, entry=ENTRIES[0], **work) -> None:
        """Submit a job and add the answer to the transcript."""
        simulation = self.simulation
        key = work.pop('key', '')
        request_id = simulation.submit(entry, organisation, job, key=key, **work)
        simulation.run(20)
        answer = simulation.find_response(entry, request_id)
        simulation.write_line('answer', at=entry, to_caller=answer)
        if hasattr(answer, 'job_id'):
            self.jobs[answer.job_id] = organisation

    def wait(self, duration_ms: int) -> None:
        """Advance the virtual clock."""
        self.simulation.run(duration_ms)

    def finish(self, entry: str = ENTRIES[0]) -> str:
        """Query all jobs at an entry and return the transcript."""
        lines = ['', 'outcomes']
        for job_id, organisation in self.jobs.items():
            status = query_status(self.simulation, job_id, entry, organisation)
            lines.append(f'{job_id} {organisation} {describe_status(status)}')
        lines.extend(['', 'runs on the targets'])
        for worker_id, target in self.simulation.targets.items():
            lines.extend(
                f'{worker_id} {run.task_id} {run.started_ms}-{run.end_ms} '
                f'completed={run.completed}'
                for run in target.runs.values()
            )
        return '\n'.join([*self.simulation.lines, *lines]) + '\n'


def describe_status(status: object) -> str:
    """Return the status of a job, as reported to its caller, in one line."""
    if not isinstance(status, JobStatus) or status.outcome is None:
        return str(status)
    outcome = status.outcome
    text = f'{status.job_name} {outcome.kind} attempt={status.attempt}'
    return f'{text} {outcome.reason or outcome.proof}'.rstrip()


def simulate_normal_day() -> str:
    """Run each kind of job for both organisations, with one failure and a retry."""
    recording = Recording()
    recording.submit('alder', 'once', run_ms=800)
    recording.submit('birch', 'again', ENTRIES[1], run_ms=500)
    recording.submit('alder', 'wide-gang', run_ms=1_500)
    recording.submit('birch', 'urgent', run_ms=200)
    recording.submit('birch', 'resumable', ENTRIES[1], run_ms=3_000)
    recording.submit('alder', 'again', run_ms=100, fail=True)
    recording.submit('alder', 'none-of-that-name')
    recording.wait(40_000)
    return recording.finish()


def simulate_reclaim() -> str:
    """Let borrowers fill the fleet, then let birch reclaim its whole rack."""
    recording = Recording()
    for _ in range(20):
        recording.submit('alder', 'again', run_ms=20_000)
    recording.submit('alder', 'soft-gang', ENTRIES[1], run_ms=9_000)
    recording.wait(1_000)
    recording.submit('birch', 'soft-gang', run_ms=4_000)
    recording.wait(60_000)
    return recording.finish()


def simulate_entry_killed() -> str:
    """Kill the owner entry; the other one adopts its jobs and gets a repeated key."""
    recording = Recording()
    recording.submit('alder', 'once', key='k1', run_ms=3_000)
    recording.submit('alder', 'gang', run_ms=2_000)
    recording.submit('birch', 'again', run_ms=30_000)
    recording.simulation.kill(ENTRIES[0])
    recording.wait(500)
    recording.submit('alder', 'once', ENTRIES[1], key='k1', run_ms=3_000)
    recording.wait(60_000)
    return recording.finish(ENTRIES[1])


def simulate_store_outage() -> str:
    """Run a repeatable job and refuse a key during a store outage; end the outage."""
    recording = Recording()
    recording.submit('alder', 'once', run_ms=15_000)
    recording.simulation.store.set_up(False)
    recording.wait(1_000)
    recording.submit('alder', 'again', run_ms=500)
    recording.submit('alder', 'once', key='k1', run_ms=500)
    recording.wait(20_000)
    recording.simulation.store.set_up(True)
    recording.wait(20_000)
    return recording.finish()


def simulate_drained_worker() -> str:
    """Drain a worker under load and restart its agent."""
    recording = Recording()
    job_id = start_running(recording.simulation, 'wide-gang', run_ms=6_000)
    recording.jobs[job_id] = 'alder'
    worker_id = find_worker(recording.simulation, job_id)
    recording.submit('alder', 'once', run_ms=500)
    recording.simulation.drain(recording.simulation.workers[worker_id].address, 10_000)
    recording.submit('alder', 'wide-gang', run_ms=500)
    recording.wait(15_000)
    recording.simulation.start_agent(worker_id)
    recording.wait(40_000)
    return recording.finish()


def simulate_manifest_race() -> str:
    """Commit three manifests while jobs start and one entry is paused."""
    recording = Recording()
    recording.simulation.pause(ENTRIES[1])
    recording.simulation.store.put_manifest(make_manifest())
    recording.submit('alder', 'once', run_ms=500)
    recording.simulation.store.put_manifest(make_manifest())
    recording.submit('birch', 'soft-gang', run_ms=500)
    recording.simulation.store.put_manifest(make_manifest())
    recording.wait(2_000)
    recording.simulation.resume(ENTRIES[1])
    recording.submit('alder', 'urgent', ENTRIES[1], run_ms=500)
    recording.wait(20_000)
    return recording.finish()


SCENARIOS: dict[str, Callable[[], str]] = {
    'normal_day': simulate_normal_day,
    'reclaim': simulate_reclaim,
    'entry_killed': simulate_entry_killed,
    'store_outage': simulate_store_outage,
    'drained_worker': simulate_drained_worker,
    'manifest_race': simulate_manifest_race,
}


class GoldenTest(unittest.TestCase):
    """Guards against unintended changes of decisions."""

    maxDiff = None

    def test_transcripts_match_golden_files(self):
        """Guards against a transcript that differs from its golden file."""
        for name, simulate in SCENARIOS.items():
            with self.subTest(scenario=name):
                path = GOLDEN / f'{name}.txt'
                self.assertEqual(path.read_text().splitlines(), simulate().splitlines())

    def test_same_seed_same_transcript(self):
        """Guards against simulations that depend on more than their seed."""
        self.assertEqual(simulate_reclaim(), simulate_reclaim())

    def test_simulations_share_no_state(self):
        """Guards against state that is shared between simulations."""
        self.assertIsInstance(make_simulation(), Simulation)
        self.assertEqual(simulate_entry_killed(), simulate_entry_killed())


def rewrite() -> None:
    """Rewrite all golden files."""
    GOLDEN.mkdir(exist_ok=True)
    for name, simulate in SCENARIOS.items():
        (GOLDEN / f'{name}.txt').write_text(simulate())


if __name__ == '__main__':
    rewrite()
