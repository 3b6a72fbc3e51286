"""The service that decides which workers may run a step."""

from typing import Protocol

from result import Result


class Advisor(Protocol):
    """Queries the service for the workers of a step."""

    async def query(
        self,
        step: str,
        workers: tuple[str, ...],
        limit_ms: int,
    ) -> Result[dict[str, str], str]:
        """Return a ticket for each worker that may run a step."""
        ...
