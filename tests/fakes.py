"""Fakes of ports that several test modules share."""

import asyncio
import contextlib

from yuccarelay.adapters.clock import MonotonicClock


class FakeClock:
    """Clock whose time the test sets."""

    def __init__(self):
        self.time_ms = 1_000

    def now_ms(self) -> int:
        return self.time_ms


class OffsetClock(MonotonicClock):
    """The clock of this process, set forward by a test."""

    offset_ms = 0

    def now_ms(self) -> int:
        return super().now_ms() + self.offset_ms


class FakeJournal:
    """Records the events that were written."""

    def __init__(self):
        self.lines = []

    def write(self, event, fields):
        self.lines.append((event, dict(fields)))


class FakeMetrics:
    """Records counter totals, times and gauge values."""

    def __init__(self):
        self.counts = {}
        self.times = []
        self.states = {}
        self.waste = {}

    def count(self, name, amount):
        self.counts[name] = self.counts.get(name, 0) + amount

    def observe(self, name, organisation, job_class, value_ms):
        self.times.append((name, organisation, job_class, value_ms))

    def count_waste(self, job_class, cause, core_s):
        key = (job_class, cause)
        self.waste[key] = self.waste.get(key, 0) + core_s

    def gauge(self, name, value):
        self.states[name] = value


async def stop_task(task: asyncio.Task) -> None:
    """Cancel a task and wait until it has cleaned up."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
