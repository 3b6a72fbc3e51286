"""
MessagePack encoding of the messages between processes.

A message travels as an envelope `[protocol version, kind, sender, body]`. The
kind is the class name and the sender the address of the sending process. Input
that cannot be read becomes a `CodecError` value and never an exception.
"""

import typing
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from yuccarelay.core import models
from yuccarelay.core.messages import Message

PROTOCOL_VERSION = 1
SIZE_LIMIT_BYTES = 8_000_000
ENVELOPE_FIELDS = 4


@dataclass(frozen=True, slots=True)
class CodecError:
    """Why input could not be read; `code` is stable and becomes a counter name."""

    code: str
    reason: str


class Received(NamedTuple):
    """A decoded message and the address of the process that sent it."""

    message: Message
    sender: str


REGISTRY = {kind.__name__: kind for kind in typing.get_args(Message)}
_BODY_DECODERS = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in REGISTRY.items()
}
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_VERSION_DECODER = msgspec.msgpack.Decoder(int)
_TEXT_DECODER = msgspec.msgpack.Decoder(str)
_ENCODER = msgspec.msgpack.Encoder()

# Deeply nested input exhausts the decoder's recursion limit, and invalid UTF-8
# in a string is reported as a ValueError.
_DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


def encode(message: Message, sender: str) -> bytes:
    """Return an envelope; `sender` is the address of this process, or empty."""
    kind = type(message).__name__
    return _ENCODER.encode((PROTOCOL_VERSION, kind, sender, message))


def decode(data: bytes) -> Result[Received, CodecError]:
    """
    Decode an envelope.

    The size is checked before anything is decoded, and the version before the
    other fields, because a newer version may change them.
    """
    if len(data) > SIZE_LIMIT_BYTES:
        reason = f'{len(data)} bytes exceed the limit of {SIZE_LIMIT_BYTES}'
        return Err(CodecError(code='too_large', reason=reason))
    try:
        fields = _ENVELOPE_DECODER.decode(data)
        version = _VERSION_DECODER.decode(fields[0]) if fields else 0
    except _DECODE_ERRORS as error:
        return Err(CodecError(code='malformed_envelope', reason=str(error)))
    if version != PROTOCOL_VERSION:
        reason = f'version {version} is not the supported {PROTOCOL_VERSION}'
        return Err(CodecError(code='unsupported_version', reason=reason))
    if len(fields) != ENVELOPE_FIELDS:
        reason = f'envelope has {len(fields)} fields instead of {ENVELOPE_FIELDS}'
        return Err(CodecError(code='malformed_envelope', reason=reason))
    return _decode_fields(fields)


def _decode_fields(fields: list[msgspec.Raw]) -> Result[Received, CodecError]:
    """Decode kind, sender and body of an envelope of this protocol version."""
    try:
        kind = _TEXT_DECODER.decode(fields[1])
        sender = _TEXT_DECODER.decode(fields[2])
    except _DECODE_ERRORS as error:
        return Err(CodecError(code='malformed_envelope', reason=str(error)))
    decoder = _BODY_DECODERS.get(kind)
    if decoder is None:
        return Err(CodecError(code='unknown_kind', reason=f'kind {kind[:64]!r}'))
    try:
        message = decoder.decode(fields[3])
        _check_outcome(message)
    except _DECODE_ERRORS as error:
        return Err(CodecError(code='malformed_body', reason=f'{kind}: {error}'))
    return Ok(Received(message=message, sender=sender))


def _check_outcome(message: Message) -> None:
    """Raise ValueError for an outcome kind that the state machines cannot read."""
    outcome = getattr(message, 'outcome', None)
    if outcome is not None:
        models.restore_outcome(outcome)
