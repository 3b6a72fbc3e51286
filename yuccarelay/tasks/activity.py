"""
Task that reports a process which goes on without waiting.

While a turn of the event loop does not end, no task runs, so a thread watches for that.
"""

import asyncio
import threading

from yuccarelay.core.process_activity import Activity, compare_totals
from yuccarelay.ports.activity import ActivityMeter
from yuccarelay.ports.journal import Journal
from yuccarelay.ports.metrics import Metrics

# The users' platform reads the metrics this often while an incident is examined.
INTERVAL_S = 5.0


class ActivityTask:
    """
    Sets gauges of the process's activity, and logs an interval without waits.

    `metrics` is None if they are not served. The thread writes to `thread_journal`,
    which has to take lines from any thread.
    """

    def __init__(
        self,
        meter: ActivityMeter,
        journal: Journal,
        metrics: Metrics | None,
        thread_journal: Journal,
        interval_s: float = INTERVAL_S,
    ):
        self.meter = meter
        self.journal = journal
        self.metrics = metrics
        self.thread_journal = thread_journal
        self.interval_s = interval_s
        self.stopped = threading.Event()

    async def run(self) -> None:
        """Measure each interval until cancelled."""
        threading.Thread(target=self._watch_turns, daemon=True).start()
        try:
            before = self.meter.read()
            while True:
                await asyncio.sleep(self.interval_s)
                now = self.meter.read()
                self.report(compare_totals(before, now))
                before = now
        finally:
            self.stopped.set()

    def report(self, activity: Activity) -> None:
        """Set the gauges, and log the interval if the process was busy."""
        if self.metrics is not None:
            for name, value in activity._asdict().items():
                self.metrics.gauge(f'activity_{name}', value)
        if activity.is_busy():
            self.journal.write('process_busy', activity._asdict())

    def _watch_turns(self) -> None:
        """Log where the event loop is when it has not turned for an interval."""
        turns = self.meter.count_turns()
        while not self.stopped.wait(self.interval_s):
            before, turns = turns, self.meter.count_turns()
            if turns == before:
                fields = {'turns': turns, 'stack': self.meter.describe_stack()}
                self.thread_journal.write('loop_blocked', fields)
