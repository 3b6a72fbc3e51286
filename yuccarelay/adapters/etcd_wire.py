"""JSON of the etcd v3 gateway, and its translation to and from the store port."""

from typing import Any, TypedDict

from yuccarelay.ports.store import (
    Delete,
    Guard,
    Page,
    Put,
    StoredValue,
    TransactionResult,
    WatchEvent,
)


class Header(TypedDict, total=False):
    """Header that each answer has."""

    revision: int


class KeyValue(TypedDict, total=False):
    """One stored value; the gateway leaves out empty and zero fields."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int


class RangeAnswer(TypedDict, total=False):
    """Answer of `/v3/kv/range`."""

    header: Header
    kvs: list[KeyValue]
    more: bool


class TxnPart(TypedDict, total=False):
    """Answer of one operation of a transaction; only ranges are read."""

    response_range: RangeAnswer


class TxnAnswer(TypedDict, total=False):
    """Answer of `/v3/kv/txn`."""

    header: Header
    succeeded: bool
    responses: list[TxnPart]


class GrantAnswer(TypedDict):
    """Answer of `/v3/lease/grant`."""

    ID: int


class KeepResult(TypedDict, total=False):
    """A renewed lease; no TTL means that the lease no longer exists."""

    TTL: int


class KeepAnswer(TypedDict):
    """Answer of `/v3/lease/keepalive`."""

    result: KeepResult


class ErrorAnswer(TypedDict, total=False):
    """Body of an answer with an error status."""

    message: str
    error: str


class ChangeAnswer(TypedDict, total=False):
    """One change; the gateway leaves out the type of a put."""

    type: str
    kv: KeyValue


class WatchResult(TypedDict, total=False):
    """Content of one line of a watch."""

    header: Header
    created: bool
    canceled: bool
    events: list[ChangeAnswer]


class WatchLine(TypedDict):
    """One line of a watch."""

    result: WatchResult


def find_prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


def convert_value(value: KeyValue) -> StoredValue:
    """Convert a stored value to the type of the store port."""
    return StoredValue(
        key=value['key'].decode(),
        value=value.get('value', b''),
        create_revision=value.get('create_revision', 0),
        mod_revision=value.get('mod_revision', 0),
    )


def convert_change(change: ChangeAnswer) -> WatchEvent:
    """Convert a change to the type of the store port."""
    value = convert_value(change['kv'])
    deleted = change.get('type') == 'DELETE'
    return WatchEvent(
        key=value.key,
        value=None if deleted else value,
        revision=value.mod_revision,
    )


def make_compare(guard: Guard) -> dict[str, Any]:
    """Return the comparison of a guard."""
    compare = {'key': guard.key.encode(), 'result': 'EQUAL'}
    if guard.mod_revision == 0:
        return compare | {'target': 'CREATE', 'create_revision': '0'}
    return compare | {'target': 'MOD', 'mod_revision': str(guard.mod_revision)}


def make_operation(write: Put | Delete) -> dict[str, Any]:
    """Return the operation of a write."""
    match write:
        case Put(key, value, lease):
            put = {'key': key.encode(), 'value': value, 'lease': str(lease)}
            return {'request_put': put}
        case Delete(key):
            return {'request_delete_range': {'key': key.encode()}}


def convert_page(answer: RangeAnswer) -> Page:
    """Convert the answer of a range read to the type of the store port."""
    return Page(
        values=tuple(convert_value(value) for value in answer.get('kvs', [])),
        revision=answer.get('header', {}).get('revision', 0),
        more=answer.get('more', False),
    )


def convert_transaction(answer: TxnAnswer) -> TransactionResult:
    """Convert the answer of a transaction to the type of the store port."""
    parts = [part.get('response_range', {}) for part in answer.get('responses', [])]
    values = [value for part in parts for value in part.get('kvs', [])]
    return TransactionResult(
        succeeded=answer.get('succeeded', False),
        revision=answer.get('header', {}).get('revision', 0),
        current=tuple(convert_value(value) for value in values),
    )
