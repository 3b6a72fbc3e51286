"""MessagePack encoding of the messages between entries, planner and agents."""

import typing

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.core.batch.protocol import Answer, Order
from yuccarelay.core.batch.request_handler import (
    Outcome,
    PeerAnswer,
    ReadConfiguration,
    StoreCall,
)

Message = Order | Answer | StoreCall | Outcome | ReadConfiguration | PeerAnswer
KINDS = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in typing.get_args(Message)
}
ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return a message as the pair of its kind and its fields."""
    return ENCODER.encode((type(message).__name__, message))


def decode(data: bytes) -> Result[Message, str]:
    """Decode a message, or return the reason why it cannot be decoded."""
    match decoding.decode(ENVELOPE.decode, data):
        case Ok((kind, body)) if kind in KINDS:
            return decoding.decode(KINDS[kind].decode, body)
        case Ok((kind, _)):
            return Err(f'unknown kind {kind[:64]!r}')
        case Err() as failed:
            return failed
