"""In-memory data of the store stand-ins: revisions, transactions and leases."""

import base64
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from yuccarelay.ports.clock import Clock

OPERATION_LIMIT = 128  # per transaction, the default of the service


class Version(NamedTuple):
    """One version of a key; `value` is None if the key was deleted."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    lease: int


class Refusal(Exception):  # noqa: N818
    """The service rejects the call with this HTTP status and message."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


@dataclass(slots=True)
class Lease:
    """A lease with its deadline and the keys attached to it."""

    ttl_s: int
    deadline_ms: int
    keys: set[bytes] = field(default_factory=set)


class MemoryStore:
    """Revisions, transactions and leases in memory."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 1
        self.compacted = 0
        self.next_lease = 1
        self.leases: dict[int, Lease] = {}
        self.log: list[Version] = []
        self.versions: dict[bytes, list[Version]] = {}

    def find(self, key: bytes, revision: int) -> Version | None:
        """Return the version of a key at a revision, or None."""
        for version in reversed(self.versions.get(key, [])):
            if version.mod_revision <= revision:
                return version if version.value is not None else None
        return None

    def read(self, key: bytes, end: bytes, revision: int) -> list[Version]:
        """Return the versions of the keys from `key` up to `end`, or of `key` alone."""
        keys = sorted(k for k in self.versions if key <= k < end) if end else [key]
        found = [self.find(k, revision) for k in keys]
        return [version for version in found if version is not None]

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Write a key at the current revision."""
        old = self.find(key, self.revision)
        create = old.create_revision if old else self.revision
        self.detach_lease(old)
        if lease:
            self.leases[lease].keys.add(key)
        self.append(Version(key, value, create, self.revision, lease))

    def delete(self, key: bytes) -> None:
        """Delete a key at the current revision."""
        old = self.find(key, self.revision)
        if old is not None:
            self.detach_lease(old)
            self.append(Version(key, None, 0, self.revision, 0))

    def append(self, version: Version) -> None:
        """Add a version to the history."""
        self.versions.setdefault(version.key, []).append(version)
        self.log.append(version)

    def detach_lease(self, version: Version | None) -> None:
        """Detach a key from the lease of its old version."""
        if version is not None and version.lease in self.leases:
            self.leases[version.lease].keys.discard(version.key)

    def grant(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = Lease(ttl_s, self.clock.now_ms() + ttl_s * 1000)
        return lease

    def renew(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 if it has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.deadline_ms = self.clock.now_ms() + lease.ttl_s * 1000
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys in one revision."""
        if lease_id not in self.leases:
            raise Refusal(404, 'etcdserver: requested lease not found')
        keys = sorted(self.leases[lease_id].keys)
        self.revision += 1 if keys else 0
        for key in keys:
            self.delete(key)
        del self.leases[lease_id]

    def expire_leases(self) -> None:
        """Revoke the leases that are past their deadline."""
        now_ms = self.clock.now_ms()
        for lease_id, lease in list(self.leases.items()):
            if lease.deadline_ms <= now_ms:
                self.revoke(lease_id)

    def compact(self, revision: int) -> None:
        """Drop the changes up to a revision."""
        self.compacted = revision
        self.log = [item for item in self.log if item.mod_revision > revision]

    def holds(self, compare: dict[str, Any]) -> bool:
        """Return whether a comparison holds."""
        found = self.find(decode(compare['key']), self.revision)
        if compare['target'] == 'CREATE':
            actual = found.create_revision if found else 0
            return actual == int(compare.get('create_revision', 0))
        actual = found.mod_revision if found else 0
        return actual == int(compare.get('mod_revision', 0))

    def check_puts(self, puts: list[dict[str, Any]]) -> None:
        """Raise `Refusal` for duplicate keys or unknown leases, as the service does."""
        keys = [put['key'] for put in puts]
        if len(set(keys)) < len(keys):
            raise Refusal(400, 'etcdserver: duplicate key given in txn request')
        for put in puts:
            lease = int(put.get('lease', 0))
            if lease and lease not in self.leases:
                raise Refusal(404, 'etcdserver: requested lease not found')

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Execute a transaction and return its result."""
        parts = [body.get(name, []) for name in ('compare', 'success', 'failure')]
        if max(len(part) for part in parts) > OPERATION_LIMIT:
            raise Refusal(400, 'etcdserver: too many operations in txn request')
        puts = [item['request_put'] for item in parts[1] if 'request_put' in item]
        self.check_puts(puts)
        succeeded = all(self.holds(compare) for compare in parts[0])
        operations = parts[1] if succeeded else parts[2]
        writes = any('request_range' not in item for item in operations)
        self.revision += 1 if writes else 0
        responses = [self.apply(operation) for operation in operations]
        return {'succeeded': succeeded, 'responses': responses}

    def apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Execute one operation of a transaction."""
        match operation:
            case {'request_put': put}:
                lease = int(put.get('lease', 0))
                self.put(decode(put['key']), decode(put['value']), lease)
                return {'response_put': {}}
            case {'request_delete_range': deletion}:
                self.delete(decode(deletion['key']))
                return {'response_delete_range': {}}
            case {'request_range': request}:
                found = self.read(decode(request['key']), b'', self.revision)
                return {'response_range': {'kvs': [show(item) for item in found]}}
            case _:
                raise Refusal(400, 'unknown operation')


def decode(text: str) -> bytes:
    """Return the bytes of a base64 field."""
    return base64.b64decode(text)


def show(version: Version) -> dict[str, str]:
    """Return the JSON form of a version."""
    shown = {
        'key': base64.b64encode(version.key).decode(),
        'mod_revision': str(version.mod_revision),
    }
    if version.value is not None:
        shown['value'] = base64.b64encode(version.value).decode()
        shown['create_revision'] = str(version.create_revision)
        shown['lease'] = str(version.lease)
    return shown
