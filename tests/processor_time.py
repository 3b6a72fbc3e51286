"""Processor time of processes, sampled from outside."""

import asyncio
import os
import pathlib
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

SAMPLE_S = 0.5
# A role imports its modules in about a second of processor time, and its work in a test
# takes a few hundredths of a core. So only one that goes round uses a core for this
# long.
SPIN_S = 5.0
SPIN_SHARE = 0.9
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Sample(NamedTuple):
    """The processor time that a process has used by a time, both in seconds."""

    at_s: float
    used_s: float


def read_processor_s(pid: int) -> float | None:
    """Return the processor time of all threads of a process, None once it has ended."""
    try:
        text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    # The name of the program, in parentheses, may contain spaces.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_threads_s(name: str) -> float:
    """Return the processor time of the threads of a name in this process."""
    used_ns = 0
    for thread in pathlib.Path('/proc/self/task').iterdir():
        if (thread / 'comm').read_text().strip() == name:
            used_ns += int((thread / 'schedstat').read_text().split()[0])
    return used_ns / 1e9


class ProcessorTimes:
    """
    Samples processes until cancelled.

    `list_processes` returns the name and the id of each process that runs now. A
    process that is started again under its name is sampled as another one.
    """

    def __init__(self, list_processes: Callable[[], Iterable[tuple[str, int]]]):
        self.list_processes = list_processes
        self.samples: dict[tuple[str, int], list[Sample]] = defaultdict(list)

    async def run(self) -> None:
        """Take a sample of each process every `SAMPLE_S`."""
        while True:
            for name, pid in self.list_processes():
                used_s = read_processor_s(pid)
                if used_s is not None:
                    sample = Sample(time.monotonic(), used_s)
                    self.samples[name, pid].append(sample)
            await asyncio.sleep(SAMPLE_S)

    def list_spinning(self) -> list[str]:
        """Return a text for each process that has used a core for `SPIN_S`."""
        return [
            f'{name} (process {pid}) used {share:.0%} of a core for {SPIN_S:.0f} s'
            for (name, pid), samples in self.samples.items()
            if (share := find_largest_share(samples)) >= SPIN_SHARE
        ]


def find_largest_share(samples: list[Sample]) -> float:
    """Return the largest share of a core in any span of `SPIN_S` or a little more."""
    largest = 0.0
    begin = 0
    for end, last in enumerate(samples):
        while begin + 1 < end and last.at_s - samples[begin + 1].at_s >= SPIN_S:
            begin += 1
        elapsed_s = last.at_s - samples[begin].at_s
        if elapsed_s >= SPIN_S:
            used_s = last.used_s - samples[begin].used_s
            largest = max(largest, used_s / elapsed_s)
    return largest
