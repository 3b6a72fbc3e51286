"""Random numbers for jitter; a seeded generator makes runs repeatable."""

from typing import Protocol


class RandomSource(Protocol):
    """A source of uniform random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Return a number in [0, 1)."""
        ...
