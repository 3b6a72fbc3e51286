"""Decoding of data from outside, where any error is a value."""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar('T')

# Larger integers cannot be encoded again: JSON readers round them and MessagePack
# has none above 64 bits.
LARGEST_INTEGER = 2**53
Integer = Annotated[int, msgspec.Meta(ge=-LARGEST_INTEGER, le=LARGEST_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=LARGEST_INTEGER)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=LARGEST_INTEGER)]
# RecursionError is raised for deeply nested arrays, also in fields that are skipped.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    TypeError,
    LookupError,
    OverflowError,
)


def decode(read: Callable[[bytes], T], data: bytes) -> Result[T, str]:
    """Return what `read` makes of the data, or what is wrong with the data."""
    try:
        return Ok(read(data))
    except DECODE_ERRORS as error:
        return Err(str(error))
