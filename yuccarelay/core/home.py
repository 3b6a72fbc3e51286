"""Choice of the entry that an agent reports to."""

import hashlib
from collections.abc import Iterable

from yuccarelay.core.models import EntryRef


def rank_entries(worker_id: str, entries: Iterable[EntryRef]) -> list[EntryRef]:
    """
    Order entries by rendezvous hashing, the home entry first.

    All agents of a lost entry spread over the remaining ones, and no other agent
    changes its home.
    """
    return sorted(entries, key=lambda entry: _weight(worker_id, entry), reverse=True)


def _weight(worker_id: str, entry: EntryRef) -> bytes:
    text = f'{worker_id}|{entry.address}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
