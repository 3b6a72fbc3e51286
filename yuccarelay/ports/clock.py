"""Time as the decisions and tasks see it."""

from typing import Protocol


class Clock(Protocol):
    """Milliseconds that never go back; their zero has no meaning."""

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        ...
