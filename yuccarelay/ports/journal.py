"""Log of events."""

from collections.abc import Mapping
from typing import Protocol


class Journal(Protocol):
    """Writes one line for each event."""

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Write the event with its fields, for example `job_accepted job_id=7-1`."""
        ...
