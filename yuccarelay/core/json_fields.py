"""Readers for decoded JSON that collect all errors instead of stopping at the first."""

import re
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple, TypeVar

Choice = TypeVar('Choice', bound=Enum)

NAME_PATTERN = re.compile('[a-z0-9][a-z0-9-]{0,62}')
NAME_RULE = '1 to 63 lower-case letters, digits and hyphens'
DIGEST_PATTERN = re.compile('sha256:[0-9a-f]{64}')

# Invalid values are cut to this many characters in an error.
SHOWN_VALUE_CHARS = 60
# Larger numbers are not printed: Python refuses to convert very long integers.
SHOWN_NUMBER_LIMIT = 10**18


class FieldError(NamedTuple):
    """A rule that a field of the input breaks, for example `organisations.a.weight`."""

    field: str
    rule: str


def show_value(value: object) -> str:
    """Return a short form of any JSON value for an error."""
    match value:
        case None:
            return 'null'
        case bool():
            return 'true' if value else 'false'
        case int() if abs(value) > SHOWN_NUMBER_LIMIT:
            return 'a larger number'
        case int() | float():
            return str(value)
        case str() if len(value) > SHOWN_VALUE_CHARS:
            return f'{value[:SHOWN_VALUE_CHARS]!r}...'
        case str():
            return repr(value)
        case list():
            return 'a list'
        case dict():
            return 'an object'
        case _:
            return f'a value of type {type(value).__name__}'


def join_path(path: str, key: object) -> str:
    """Return the path of a field of the object at `path`."""
    name = key if isinstance(key, str) else show_value(key)
    name = name if len(name) <= SHOWN_VALUE_CHARS else show_value(name)
    return f'{path}.{name}' if path else name


class ObjectReader:
    """
    Reads the fields of one JSON object.

    A field that breaks a rule adds to `errors` and is read as its default or the
    smallest valid value; `valid` is then false and the result must not be used.
    `refuse_unknown` must be called after the last field.
    """

    def __init__(self, document: object, path: str, errors: list[FieldError]):
        self.path = path
        self.errors = errors
        self.valid = True
        self.seen: set[str] = set()
        self.fields: dict = {}
        if isinstance(document, dict):
            self.fields = document
        else:
            self.refuse(None, f'must be an object, not {show_value(document)}')
        self.is_object = self.valid

    def refuse(self, key: object, rule: str) -> None:
        """Record that a field breaks a rule; None as `key` is the object itself."""
        self.valid = False
        path = self.path if key is None else join_path(self.path, key)
        self.errors.append(FieldError(path or '.', rule))

    def take(self, key: str, default: object = None) -> object:
        """Return the raw field; without a default the field is required."""
        self.seen.add(key)
        if key in self.fields:
            return self.fields[key]
        if default is None and self.is_object:
            self.refuse(key, 'is required')
        return default

    def is_present(self, key: str) -> bool:
        """Whether the object has the field."""
        return key in self.fields

    def read_integer(
        self,
        key: str,
        low: int,
        high: int,
        default: int | None = None,
    ) -> int:
        """Read an integer from `low` to `high`."""
        value = self.take(key, default)
        integer = isinstance(value, int) and not isinstance(value, bool)
        if integer and low <= value <= high:
            return value
        if key in self.fields:
            shown = show_value(value)
            self.refuse(key, f'must be a whole number {low} to {high}, not {shown}')
        return low

    def read_seconds(self, key: str, high_s: int, default_ms: int) -> int:
        """Read a number of seconds and return it in milliseconds."""
        value = self.take(key, default_ms)
        if key not in self.fields:
            return default_ms
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if number and 0.001 <= value <= high_s:
            return round(value * 1000)
        shown = show_value(value)
        self.refuse(key, f'must be a number of seconds 0.001 to {high_s}, not {shown}')
        return default_ms

    def read_flag(self, key: str, default: bool | None = None) -> bool:
        """Read true or false."""
        value = self.take(key, default)
        if isinstance(value, bool):
            return value
        if key in self.fields:
            self.refuse(key, f'must be true or false, not {show_value(value)}')
        return False

    def read_choice(
        self,
        key: str,
        choices: tuple[Choice, ...],
        default: Choice | None = None,
    ) -> Choice:
        """Read the value of an enum member in `choices` and return the member."""
        value = self.take(key, default)
        if default is not None and key not in self.fields:
            return default
        for choice in choices:
            if value == choice.value:
                return choice
        if key in self.fields:
            names = ', '.join(choice.value for choice in choices)
            self.refuse(key, f'must be one of {names}, not {show_value(value)}')
        return choices[0]

    def read_name(self, key: str) -> str:
        """Read a name that matches `NAME_PATTERN`."""
        value = self.take(key)
        if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
            return value
        if key in self.fields:
            self.refuse(key, f'must be {NAME_RULE}, not {show_value(value)}')
        return ''

    def read_object(self, key: str) -> 'ObjectReader':
        """Read an object; its fields are read from the returned reader."""
        value = self.take(key)
        path = join_path(self.path, key)
        if key in self.fields:
            return ObjectReader(value, path, self.errors)
        # A missing object is reported once, without errors for its fields.
        reader = ObjectReader({}, path, self.errors)
        reader.is_object = reader.valid = False
        return reader

    def read_list(self, key: str) -> list:
        """Read a list of any values."""
        value = self.take(key)
        if isinstance(value, list):
            return value
        if key in self.fields:
            self.refuse(key, f'must be a list, not {show_value(value)}')
        return []

    def read_digests(self, key: str) -> tuple[str, ...]:
        """Read a list of at least one token digest; invalid ones are left out."""
        values = self.read_list(key)
        if not values and isinstance(self.fields.get(key), list):
            self.refuse(key, 'must hold at least one digest')
        digests = []
        for i, value in enumerate(values):
            if isinstance(value, str) and DIGEST_PATTERN.fullmatch(value):
                digests.append(value)
            else:
                shown = show_value(value)
                rule = f'must be sha256: and 64 hexadecimal digits, not {shown}'
                self.refuse(f'{key}[{i}]', rule)
        return tuple(digests)

    def iterate_named(self) -> Iterator[tuple[str, object]]:
        """Yield the fields of an object whose keys are names."""
        for key, value in self.fields.items():
            if isinstance(key, str) and NAME_PATTERN.fullmatch(key):
                yield key, value
            else:
                self.refuse(key, f'name must be {NAME_RULE}')

    def refuse_unknown(self) -> None:
        """Record every field that was not read."""
        for key in self.fields:
            if key not in self.seen:
                self.refuse(key, 'unknown field')
