"""Tests of the message encoding."""

import typing
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarelay.adapters import codec
from yuccarelay.core import messages, models

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=200)
# Outcome kinds are a closed set that the field type `str` does not express.
OUTCOMES = st.sampled_from(
    [
        models.OutcomeRecord(kind='failed', reason='exit status 1'),
        models.OutcomeRecord(kind='not_run', reason='full', proof='refused'),
    ],
)
INTEGERS = st.integers(min_value=-(2**63), max_value=2**64 - 1)
st.register_type_strategy(models.OutcomeRecord, OUTCOMES)
st.register_type_strategy(int, INTEGERS)
KINDS = typing.get_args(messages.Message)
ANY_MESSAGE = st.one_of([st.from_type(kind) for kind in KINDS])
SAMPLE = messages.Heartbeat(worker_id='w', incarnation=1, version=2)


def encode_envelope(*fields: object) -> bytes:
    return msgspec.msgpack.encode(fields)


class RoundTripTest(unittest.TestCase):
    """Guards against a message kind that is lost or changed on the wire."""

    def test_every_kind_survives_a_round_trip(self):
        for kind in KINDS:
            with self.subTest(kind=kind.__name__):
                self.check_kind(kind)

    def check_kind(self, kind):
        @settings(FUZZ, max_examples=25)
        @given(message=st.from_type(kind), sender=st.text(max_size=20))
        def check(message, sender):
            received = codec.decode(codec.encode(message, sender)).unwrap()
            self.assertEqual(received, codec.Received(message, sender))

        check()


class HostileInputTest(unittest.TestCase):
    """Guards against input that raises an exception and stops the process."""

    @FUZZ
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_never_raise(self, data):
        codec.decode(data)

    @FUZZ
    @given(message=ANY_MESSAGE, cut=st.integers(min_value=0))
    def test_truncated_messages_are_errors(self, message, cut):
        data = codec.encode(message, '127.0.0.1:1')
        self.assertTrue(codec.decode(data[: cut % len(data)]).is_err())

    @FUZZ
    @given(message=ANY_MESSAGE, bit=st.integers(min_value=0))
    def test_flipped_bits_never_raise(self, message, bit):
        data = bytearray(codec.encode(message, '127.0.0.1:1'))
        bit %= len(data) * 8
        data[bit // 8] ^= 1 << bit % 8
        codec.decode(bytes(data))

    def test_deep_nesting_is_an_error(self):
        self.assertTrue(codec.decode(b'\x91' * 100_000).is_err())


class RejectionTest(unittest.TestCase):
    """Guards against an error value that does not say what is wrong."""

    def check(self, data, code, text):
        error = codec.decode(data).unwrap_err()
        self.assertEqual(error.code, code)
        self.assertIn(text, error.reason)

    def test_size_is_checked_first(self):
        self.check(b'\xc1' * (codec.SIZE_LIMIT_BYTES + 1), 'too_large', '8000001')

    def test_newer_version_with_another_envelope(self):
        self.check(encode_envelope(2, {}), 'unsupported_version', 'version 2')

    def test_unknown_kind(self):
        self.check(encode_envelope(1, 'Gossip', '', {}), 'unknown_kind', 'Gossip')

    def test_wrong_type_names_the_field(self):
        body = {'worker_id': 'w', 'incarnation': 'one', 'version': 2}
        data = encode_envelope(1, 'Heartbeat', '', body)
        self.check(data, 'malformed_body', 'incarnation')

    def test_missing_envelope_field(self):
        self.check(encode_envelope(1, 'Ack', ''), 'malformed_envelope', '3 fields')

    def test_unknown_outcome_kind(self):
        outcome = models.OutcomeRecord(kind='maybe')
        status = messages.JobStatus('17-4', found=True, outcome=outcome)
        self.check(codec.encode(status, ''), 'malformed_body', 'maybe')
