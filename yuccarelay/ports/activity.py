"""What the event loop and the threads of a process do."""

from typing import Protocol

from yuccarelay.core.process_activity import ActivityTotals


class ActivityMeter(Protocol):
    """Measures the process that it is in."""

    def read(self) -> ActivityTotals:
        """Return the totals; the longest turn begins anew."""
        ...

    def count_turns(self) -> int:
        """Return how often the event loop has turned; may be called in any thread."""
        ...

    def describe_stack(self) -> str:
        """Return where the thread of the event loop is, the innermost call first."""
        ...
