"""An event loop that measures how often it turns and how long it waits."""

import asyncio
import selectors
import sys
import threading
import time
import traceback

from yuccarelay.core.process_activity import ActivityTotals

# A call to the selector that returns sooner found something ready and did not wait.
SHORTEST_WAIT_S = 0.000_1
# Enough to see which callback is running and what it calls.
STACK_FRAMES = 6


class MeteredSelector(selectors.DefaultSelector):
    """Selector that counts its calls and how long they wait, in seconds."""

    def __init__(self):
        super().__init__()
        self.turns = 0
        self.waited_s = 0.0
        self.longest_turn_s = 0.0
        self.woken_s = time.monotonic()

    def select(self, timeout: float | None = None) -> list:
        """Wait for descriptors, and measure the turn of the loop that has ended."""
        called_s = time.monotonic()
        self.longest_turn_s = max(self.longest_turn_s, called_s - self.woken_s)
        ready = super().select(timeout)
        self.woken_s = time.monotonic()
        if self.woken_s - called_s >= SHORTEST_WAIT_S:
            self.waited_s += self.woken_s - called_s
        self.turns += 1
        return ready


class LoopMeter:
    """The `ActivityMeter` of a process whose event loop `make_loop` has made."""

    def __init__(self):
        self.selector = MeteredSelector()
        self.thread_id = threading.get_ident()

    def make_loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop; it has to run in the thread that made the meter."""
        return asyncio.SelectorEventLoop(self.selector)

    def read(self) -> ActivityTotals:
        """Return the totals; to be called in the event loop's thread."""
        selector = self.selector
        longest_turn_s, selector.longest_turn_s = selector.longest_turn_s, 0.0
        return ActivityTotals(
            at_ms=time.monotonic_ns() // 1_000_000,
            turns=selector.turns,
            waited_ms=int(selector.waited_s * 1_000),
            longest_turn_ms=int(longest_turn_s * 1_000),
            processor_ms=time.process_time_ns() // 1_000_000,
            loop_processor_ms=time.thread_time_ns() // 1_000_000,
        )

    def count_turns(self) -> int:
        """Return how often the loop has turned; may be called in any thread."""
        return self.selector.turns

    def describe_stack(self) -> str:
        """Return where the event loop's thread is, the innermost call first."""
        frame = sys._current_frames().get(self.thread_id)
        frames = traceback.extract_stack(frame)[-STACK_FRAMES:]
        return ' < '.join(
            f'{found.name} ({found.filename.rpartition("/")[2]}:{found.lineno})'
            for found in reversed(frames)
        )
