"""
MessagePack encoding of the messages between entries, planner and agents.

Large messages are compressed: a configuration of 4,200 queues from 269 to 110 kB.
"""

import typing
import zlib

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.core.batch.configuration_feed import ConfigurationQuery, PeerAnswer
from yuccarelay.core.batch.protocol import Answer, Order
from yuccarelay.core.batch.request_handler import Outcome, StoreCall

Message = Order | Answer | StoreCall | Outcome | ConfigurationQuery | PeerAnswer
KINDS = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in typing.get_args(Message)
}
ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
ENCODER = msgspec.msgpack.Encoder()
# Kind of the envelope of a compressed message.
COMPRESSED = 'zlib'
COMPRESSED_BODY = msgspec.msgpack.Decoder(bytes)
COMPRESS_FROM_BYTES = 8_192
# The platform's store holds no value above 1 MB, so that no message is near this size.
UNPACKED_LIMIT_BYTES = 16_000_000
# The fastest level, because an entry may have a quarter of a core.
COMPRESSION_LEVEL = 1


def encode(message: Message) -> bytes:
    """Return a message as the pair of its kind and its fields."""
    data = ENCODER.encode((type(message).__name__, message))
    if len(data) < COMPRESS_FROM_BYTES:
        return data
    return ENCODER.encode((COMPRESSED, zlib.compress(data, COMPRESSION_LEVEL)))


def decode(data: bytes) -> Result[Message, str]:
    """Decode a message, or return the reason why it cannot be decoded."""
    match decoding.decode(ENVELOPE.decode, data):
        case Ok((kind, body)) if kind == COMPRESSED:
            packed = decoding.decode(COMPRESSED_BODY.decode, body)
            return packed.and_then(unpack).and_then(decode_plain)
    return decode_plain(data)


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return the bytes of a compressed message, within a limit."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, UNPACKED_LIMIT_BYTES)
    except zlib.error as error:
        return Err(f'not compressed: {error}')
    if not unpacker.eof:
        return Err(f'incomplete, or more than {UNPACKED_LIMIT_BYTES} bytes')
    return Ok(data)


def decode_plain(data: bytes) -> Result[Message, str]:
    """Decode a message that is not compressed."""
    match decoding.decode(ENVELOPE.decode, data):
        case Ok((kind, body)) if kind in KINDS:
            return decoding.decode(KINDS[kind].decode, body)
        case Ok((kind, _)):
            return Err(f'unknown kind {kind[:64]!r}')
        case Err() as failed:
            return failed
