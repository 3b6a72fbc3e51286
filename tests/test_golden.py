"""
Golden files of whole sessions: inputs, decisions and outcomes as text.

    python -m tests test_golden      compare
    python -m tests.test_golden      rewrite tests/golden/*.txt; review the change
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
    """A session whose inputs and answers to callers are in the transcript too."""

    def __init__(self):
        self.simulation = make_simulation(seed=1)
        self.jobs: dict[str, str] = {}

    def submit(self, organisation: str, job: str, entry=ENTRIES[0], **work) -> None:
        """Submit a job and note its answer."""
        simulation = self.simulation
        key = work.pop('key', '')
        request_id = simulation.submit(entry, organisation, job, key=key, **work)
        simulation.run(20)
        answer = simulation.find_response(entry, request_id)
        simulation.write_line('answer', at=entry, to_caller=answer)
        if hasattr(answer, 'job_id'):
            self.jobs[answer.job_id] = organisation

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        self.simulation.run(duration_ms)

    def finish(self, entry: str = ENTRIES[0]) -> str:
        """Ask for all jobs and return the transcript."""
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
    """Return what a caller hears of a job in one line."""
    if not isinstance(status, JobStatus) or status.outcome is None:
        return str(status)
    outcome = status.outcome
    text = f'{status.job_name} {outcome.kind} attempt={status.attempt}'
    return f'{text} {outcome.reason or outcome.proof}'.rstrip()


def play_normal_day() -> str:
    """Both organisations, each kind of job, a gang, one failure and a retry."""
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


def play_reclaim() -> str:
    """Borrowers fill the fleet; birch takes its whole rack back."""
    recording = Recording()
    for _ in range(20):
        recording.submit('alder', 'again', run_ms=20_000)
    recording.submit('alder', 'soft-gang', ENTRIES[1], run_ms=9_000)
    recording.wait(1_000)
    recording.submit('birch', 'soft-gang', run_ms=4_000)
    recording.wait(60_000)
    return recording.finish()


def play_entry_killed() -> str:
    """The owner entry dies; the other adopts, the caller repeats its key there."""
    recording = Recording()
    recording.submit('alder', 'once', key='k1', run_ms=3_000)
    recording.submit('alder', 'gang', run_ms=2_000)
    recording.submit('birch', 'again', run_ms=30_000)
    recording.simulation.kill(ENTRIES[0])
    recording.wait(500)
    recording.submit('alder', 'once', ENTRIES[1], key='k1', run_ms=3_000)
    recording.wait(60_000)
    return recording.finish(ENTRIES[1])


def play_store_outage() -> str:
    """Repeatable work goes on without the store; a key is refused; then it is back."""
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


def play_drained_worker() -> str:
    """A worker leaves under load and comes back."""
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


def play_manifest_race() -> str:
    """Three commits in a row while jobs start; one entry is paused meanwhile."""
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
    'normal_day': play_normal_day,
    'reclaim': play_reclaim,
    'entry_killed': play_entry_killed,
    'store_outage': play_store_outage,
    'drained_worker': play_drained_worker,
    'manifest_race': play_manifest_race,
}


class GoldenTest(unittest.TestCase):
    """Guards against decisions that change unnoticed."""

    maxDiff = None

    def test_sessions(self):
        """Each session gives the recorded transcript."""
        for name, play in SCENARIOS.items():
            with self.subTest(simulation=name):
                path = GOLDEN / f'{name}.txt'
                self.assertEqual(path.read_text().splitlines(), play().splitlines())

    def test_same_seed_same_transcript(self):
        """Guards against sessions that depend on anything but their seed."""
        self.assertEqual(play_reclaim(), play_reclaim())

    def test_session_is_isolated(self):
        """Guards against state that one session leaves to the next."""
        self.assertIsInstance(make_simulation(), Simulation)
        self.assertEqual(play_entry_killed(), play_entry_killed())


def rewrite() -> None:
    """Write all golden files anew."""
    GOLDEN.mkdir(exist_ok=True)
    for name, play in SCENARIOS.items():
        (GOLDEN / f'{name}.txt').write_text(play())


if __name__ == '__main__':
    rewrite()
