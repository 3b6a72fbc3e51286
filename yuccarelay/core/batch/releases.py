"""
Foresees which workers a rolling release replaces next.

A release replaces the workers of a service one after the other by workers with
another version of their software. While it is under way, the workers that still have
an earlier version will be drained soon. Work placed there is moved or lost.
"""

from dataclasses import dataclass

# A release is under way for this time after a worker with its version was born.
RELEASE_GAP_MS = 10_000


@dataclass(slots=True)
class Births:
    """Times of day at which the first and the last worker of a version were born."""

    first_ms: int
    last_ms: int


class Releases:
    """The versions of the workers of each service."""

    def __init__(self):
        self.versions: dict[str, dict[str, Births]] = {}

    def note_worker(self, service: str, version: str, born_ms: int) -> bool:
        """Note a worker; return whether its version is a new one of the service."""
        versions = self.versions.setdefault(service, {})
        births = versions.get(version)
        if births is None:
            versions[version] = Births(born_ms, born_ms)
            return len(versions) > 1
        births.first_ms = min(births.first_ms, born_ms)
        births.last_ms = max(births.last_ms, born_ms)
        return False

    def find_release(self, service: str, wall_ms: int) -> str | None:
        """Return the version that a release under way brings, or None."""
        versions = self.versions.get(service, {})
        if len(versions) < 2:
            return None
        # A worker of an earlier version that restarts does not make that version new.
        newest = max(versions, key=lambda version: versions[version].first_ms)
        is_under_way = wall_ms < versions[newest].last_ms + RELEASE_GAP_MS
        return newest if is_under_way else None
