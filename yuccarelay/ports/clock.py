"""Clock of the decisions and the tasks."""

from typing import Protocol


class Clock(Protocol):
    """Milliseconds that never decrease, from an arbitrary zero."""

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        ...
