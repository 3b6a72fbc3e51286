"""
Encoding of the values in the store to and from JSON bytes.

Records are JSON arrays in field order. A field may be added at the end with a
default; a value of another shape decodes to an error that states the fault.
Values written under compare-and-swap carry the writer's token, so that a write
whose answer was lost can be recognised.
"""

import zlib
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.models import EntryRef, JobRecord


class JobValue(NamedTuple):
    """Value of `jobs/<job id>`."""

    writer: str
    record: JobRecord


class KeyValue(NamedTuple):
    """Value of `keys/<organisation>/<key>`."""

    job_id: str


class EntryValue(NamedTuple):
    """Value of an entry's registration; its incarnation is the create revision."""

    writer: str
    region: str
    address: str


class ManifestValue(NamedTuple):
    """Value of `config/manifest`; `text` is the JSON document as committed."""

    generation: int
    writer: str
    text: bytes


class ManifestForm(NamedTuple):
    """
    JSON form of a manifest value.

    The document is embedded as raw JSON. Escaped in a string it would grow, and a
    manifest close to its limit would no longer fit into one value.
    """

    generation: int
    writer: str
    document: msgspec.Raw


# No JSON value starts with this byte.
COMPRESSED_MARK = b'z'
COMPRESS_ABOVE_BYTES = 16_000
# Above the limit of a manifest with its generation and token, and small enough
# that a malformed value cannot exhaust the memory.
EXPANDED_LIMIT_BYTES = 2_000_000

JOB_DECODER = msgspec.json.Decoder(JobValue)
KEY_DECODER = msgspec.json.Decoder(KeyValue)
ENTRY_DECODER = msgspec.json.Decoder(EntryValue)
MANIFEST_DECODER = msgspec.json.Decoder(ManifestForm)
PLAN_DECODER = msgspec.json.Decoder(Plan)
DOCUMENT_DECODER = msgspec.json.Decoder()


def decode(decoder: msgspec.json.Decoder, data: bytes) -> Result:
    """Return the decoded value, or the text of the error."""
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))


def encode_job(value: JobValue) -> bytes:
    """Return the bytes of a job's value."""
    return msgspec.json.encode(value)


def decode_job(data: bytes) -> Result[JobValue, str]:
    """Return a job's value."""
    return decode(JOB_DECODER, data)


def encode_key(value: KeyValue) -> bytes:
    """Return the bytes of a key's binding."""
    return msgspec.json.encode(value)


def decode_key(data: bytes) -> Result[KeyValue, str]:
    """Return a key's binding."""
    return decode(KEY_DECODER, data)


def encode_entry(value: EntryValue) -> bytes:
    """Return the bytes of a registration."""
    return msgspec.json.encode(value)


def decode_entry(data: bytes, create_revision: int) -> Result[EntryRef, str]:
    """Return the registered entry; its incarnation is the create revision."""
    return decode(ENTRY_DECODER, data).map(
        lambda value: EntryRef(create_revision, value.region, value.address)
    )


def encode_manifest(value: ManifestValue) -> bytes:
    """
    Return the bytes of a manifest value; `text` must be one JSON document.

    A large value is compressed, because the watch sends it in full to every entry
    of every region at each change.
    """
    form = ManifestForm(value.generation, value.writer, msgspec.Raw(value.text))
    data = msgspec.json.encode(form)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return data
    return COMPRESSED_MARK + zlib.compress(data)


def decode_manifest(data: bytes) -> Result[ManifestValue, str]:
    """Return a manifest value, compressed or not."""
    return (
        expand(data)
        .and_then(
            lambda plain: decode(MANIFEST_DECODER, plain),
        )
        .map(
            lambda form: ManifestValue(
                form.generation, form.writer, bytes(form.document)
            ),
        )
    )


def expand(data: bytes) -> Result[bytes, str]:
    """Return the decompressed value, or the reason why it cannot be read."""
    if not data.startswith(COMPRESSED_MARK):
        return Ok(data)
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(data[len(COMPRESSED_MARK) :], EXPANDED_LIMIT_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not expander.eof:
        return Err('the compressed value is cut off or too large')
    return Ok(plain)


def decode_document(text: bytes) -> Result[object, str]:
    """Return the content of a JSON document."""
    return decode(DOCUMENT_DECODER, text)


def encode_plan(plan: Plan) -> bytes:
    """Return the bytes of a plan."""
    return msgspec.json.encode(plan)


def decode_plan(data: bytes) -> Result[Plan, str]:
    """Return a plan."""
    return decode(PLAN_DECODER, data)
