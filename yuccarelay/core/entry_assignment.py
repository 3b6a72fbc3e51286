"""Choice of the entry that an agent reports to."""

import hashlib
from collections.abc import Iterable

from yuccarelay.core.models import EntryRef


def rank_entries(worker_id: str, entries: Iterable[EntryRef]) -> list[EntryRef]:
    """
    Order entries by rendezvous hashing, the assigned entry first.

    When an entry is lost, its agents spread over the remaining ones, and no other
    agent changes its assigned entry.
    """
    return sorted(entries, key=lambda entry: _weight(worker_id, entry), reverse=True)


def digest_entries(entries: Iterable[EntryRef]) -> int:
    """Return a digest of entries that does not depend on their order and is never 0."""
    text = repr(sorted(map(tuple, entries)))
    hashed = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(hashed, 'big') or 1


def _weight(worker_id: str, entry: EntryRef) -> bytes:
    text = f'{worker_id}|{entry.address}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
