"""
Decisions on how entries hand the operators' configuration on to each other.

The store sends the whole text for each change. If each entry fetched it, a change of
some hundred kilobytes would fill the links between regions and those of small
machines. So one entry watches the store, and the others follow an entry that ranks
before them, from which they receive only what has changed.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from yuccarelay.core.batch.models import Configuration, Organisation, Queue

# Entries whose calls to the store take about as long count as equally close to it.
ROUND_TRIP_STEP_MS = 20
# Versions from which a change can be sent; entries that are further behind receive the
# whole configuration.
HISTORY_VERSIONS = 8
# An entry that does not know whether its version is the newest is asked again after
# this time. One that did not answer is tried again after a pause that doubles.
DOUBTFUL_PAUSE_MS = 300
SILENT_PAUSE_MS = 1_000
SILENT_PAUSE_LIMIT_MS = 16_000


class EntryLink(NamedTuple):
    """
    Where an entry listens, and how well it is connected.

    `round_trip_ms` is the time of one call to the store, `link_mbps` the bandwidth of
    the machine's link in megabits per second.
    """

    node: str
    address: str
    region: str = ''
    round_trip_ms: int = 0
    link_mbps: float = 0

    def rank(self) -> tuple:
        """Return the key of the order in which entries follow each other."""
        return self.round_trip_ms // ROUND_TRIP_STEP_MS, -self.link_mbps, self.node


@dataclass(frozen=True, slots=True)
class WatchConfiguration:
    """
    Ask another entry for the number of its version.

    The answer is held until the version is newer than `known`, or until the other entry
    confirms that there is no newer one. Unless `waits` is set, one that was confirmed
    lately is answered at once.
    """

    known: int
    waits: bool


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """
    The version that another entry has, 0 if it has none.

    The other entry knows it to be the newest, and applies it for `fresh_for_ms` from
    now on without asking again; 0 if it does not know. `via` has the entries through
    which it knows, the nearest first.
    """

    version: int
    fresh_for_ms: int
    via: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Request a configuration newer than version `known` from another entry."""

    known: int


@dataclass(frozen=True, slots=True)
class NewerConfiguration:
    """The configuration that another entry has."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """
    What differs between version `base` and `version`.

    `removed` has the names of the queues that are gone or different, and `queues` those
    that are new or different.
    """

    base: int
    version: int
    removed: frozenset[str]
    queues: tuple[Queue, ...]
    organisations: tuple[Organisation, ...]
    guarded_services: frozenset[str]
    body_limit_bytes: int


@dataclass(frozen=True, slots=True)
class NothingNewer:
    """The other entry has no newer configuration."""


ConfigurationQuery = WatchConfiguration | ReadConfiguration
PeerAnswer = (
    ConfigurationVersion | NewerConfiguration | ConfigurationChange | NothingNewer
)


class Sources(NamedTuple):
    """
    The entries that an entry may follow, the best first.

    It follows those that rank `before` it. Those that rank `after` it are for the time
    in which it cannot reach the store.
    """

    before: tuple[EntryLink, ...] = ()
    after: tuple[EntryLink, ...] = ()


def list_sources(own: EntryLink, others: Mapping[str, EntryLink]) -> Sources:
    """
    Return the entries that an entry may follow.

    Those of its own region come first, because links between regions are shared by all.
    """
    ordered = sorted(
        (link for link in others.values() if link.node != own.node and link.address),
        key=lambda link: (link.region != own.region, link.rank()),
    )
    return Sources(
        tuple(link for link in ordered if link.rank() < own.rank()),
        tuple(link for link in ordered if link.rank() > own.rank()),
    )


class SourcePause:
    """When an entry that did not confirm its version is asked again."""

    def __init__(self):
        self.pause_ms = SILENT_PAUSE_MS
        self.retry_at_ms = 0

    def extend(self, now_ms: int, is_silent: bool) -> None:
        """Pause, after each missing answer for twice as long."""
        if not is_silent:
            self.retry_at_ms = now_ms + DOUBTFUL_PAUSE_MS
            return
        self.retry_at_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, SILENT_PAUSE_LIMIT_MS)


def find_change(base: Configuration, newest: Configuration) -> ConfigurationChange:
    """Return what differs between two versions with unique names of queues."""
    before, now = set(base.queues), set(newest.queues)
    return ConfigurationChange(
        base=base.version,
        version=newest.version,
        removed=frozenset(queue.name for queue in before - now),
        queues=tuple(queue for queue in newest.queues if queue not in before),
        organisations=newest.organisations,
        guarded_services=newest.guarded_services,
        body_limit_bytes=newest.body_limit_bytes,
    )


def apply_change(
    base: Configuration | None, change: ConfigurationChange
) -> Configuration | None:
    """
    Return the newer version, or None if the change is for another base.

    Queues that changed come last; their order has no meaning.
    """
    if base is None or base.version != change.base:
        return None
    kept = tuple(queue for queue in base.queues if queue.name not in change.removed)
    return Configuration(
        version=change.version,
        queues=kept + change.queues,
        organisations=change.organisations,
        guarded_services=change.guarded_services,
        body_limit_bytes=change.body_limit_bytes,
    )


def has_unique_names(configuration: Configuration) -> bool:
    """Whether each queue has a name of its own, so that changes can refer to it."""
    names = Counter(queue.name for queue in configuration.queues)
    return len(names) == len(configuration.queues)


class ConfigurationHistory:
    """The newest configuration, and earlier versions from which changes are sent."""

    def __init__(self):
        self.newest: Configuration | None = None
        self.versions: dict[int, Configuration] = {}

    @property
    def version(self) -> int:
        """The newest version, 0 if there is none."""
        return self.newest.version if self.newest is not None else 0

    def put(self, configuration: Configuration) -> bool:
        """Add a version; false if it is not newer than the newest."""
        if configuration.version <= self.version:
            return False
        if self.newest is not None:
            # Equal queues of several versions are one object, which saves memory.
            known = {queue: queue for queue in self.newest.queues}
            queues = tuple(known.get(queue, queue) for queue in configuration.queues)
            configuration = configuration._replace(queues=queues)
        self.newest = configuration
        if has_unique_names(configuration):
            self.versions[configuration.version] = configuration
        for version in sorted(self.versions)[:-HISTORY_VERSIONS]:
            del self.versions[version]
        return True

    def find_newer(self, known: int) -> PeerAnswer:
        """Answer an entry that has version `known`."""
        if self.newest is None or self.version <= known:
            return NothingNewer()
        base = self.versions.get(known)
        if base is None or self.version not in self.versions:
            return NewerConfiguration(self.newest)
        return find_change(base, self.newest)

    def apply(self, answer: PeerAnswer) -> Configuration | None:
        """Return the newer configuration in an answer, or None if there is none."""
        match answer:
            case NewerConfiguration(configuration):
                found = configuration
            case ConfigurationChange():
                found = apply_change(self.newest, answer)
            case _:
                return None
        return found if found is not None and self.put(found) else None
