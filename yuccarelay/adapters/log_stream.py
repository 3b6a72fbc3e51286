"""
Log streams that never block the process.

A pipe or a terminal whose reader stops reading blocks its writers. Lines for
such a stream go through a bounded queue to a thread, so that only the thread waits.
"""

import contextlib
import io
import os
import queue
import stat
import threading
import time
from typing import TextIO

# About 1 MB of typical lines; while the queue is full, new lines are dropped.
QUEUE_LIMIT_LINES = 8_192
CLOSE_LIMIT_S = 1.0


class DirectStream:
    """A file or a stream in memory; a line that cannot be written is counted."""

    def __init__(self, stream: TextIO):
        self.stream = stream
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line at once."""
        try:
            self.stream.write(line)
            self.stream.flush()
        except (OSError, ValueError):
            # A full disk or a closed stream must not end the role.
            self.dropped += 1

    def close(self) -> None:
        """Leave the stream open for its owner."""


class QueuedStream:
    """
    A stream that may block; its thread writes to the descriptor.

    The thread bypasses Python's buffer, whose lock a blocked write would hold
    until the interpreter exits. `dropped` counts the lines that were not written.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.dropped = 0
        self.lines: queue.Queue[str] = queue.Queue(QUEUE_LIMIT_LINES)
        # A daemon thread does not delay the exit of the process.
        threading.Thread(target=self._write_lines, daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it when the queue is full."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Wait until the queued lines are written, for at most `CLOSE_LIMIT_S`."""
        deadline = time.monotonic() + CLOSE_LIMIT_S
        with self.lines.all_tasks_done:
            while self.lines.unfinished_tasks:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return
                self.lines.all_tasks_done.wait(remaining)

    def _write_lines(self) -> None:
        while True:
            data = self.lines.get().encode(errors='backslashreplace')
            try:
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader has closed the pipe; the role continues without its log.
                self.dropped += 1
            self.lines.task_done()


def open_stream(stream: TextIO) -> DirectStream | QueuedStream:
    """Return a stream whose writes do not block the caller."""
    with contextlib.suppress(OSError, ValueError, io.UnsupportedOperation):
        descriptor = stream.fileno()
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            return QueuedStream(descriptor)
    return DirectStream(stream)
