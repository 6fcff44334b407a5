"""Tests of the encoding of the record of warm objects."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.target import Target
from briarspur.gateway.warmthrecord import (
    MAX_PAIRS,
    WarmthRecord,
    build_record,
    decode_record,
    encode_record,
)
from tests.gateway.samples import registration

FIXED = settings(derandomize=True, deadline=None, database=None)
UINT32 = st.integers(0, 0xFFFFFFFF)


class RecordTest(unittest.TestCase):
    """Records are decoded as they were encoded, and malformed ones are detected."""

    @FIXED
    @given(st.lists(st.tuples(UINT32, UINT32), max_size=50), st.integers(0, 2**45))
    def test_a_decoded_record_equals_the_encoded_one(
        self, pairs: list[tuple[int, int]], at: int
    ) -> None:
        record = WarmthRecord(at, tuple(pairs))
        self.assertEqual(record, decode_record(encode_record(record)).ok)

    def test_malformed_values_are_errors(self) -> None:
        valid = encode_record(WarmthRecord(1, ((1, 2),)))
        for value in (
            None,
            [],
            {},
            {**valid, "at_ms": "soon"},
            {**valid, "pairs": 7},
            {**valid, "pairs": "%%%"},
            {**valid, "pairs": "AAAA"},
        ):
            self.assertTrue(decode_record(value).is_error(), value)

    def test_a_record_has_the_latest_objects_of_each_server(self) -> None:
        targets = [Target(registration(f"t-{n}"), "a", 0.0) for n in range(20)]
        for target in targets:
            for key in range(250):
                target.warmth.add(key)
        record = build_record(targets, 1)
        self.assertLessEqual(len(record.pairs), MAX_PAIRS)
        self.assertIn((targets[0].number, 249), record.pairs)
        self.assertNotIn((targets[0].number, 0), record.pairs)

    def test_the_record_is_empty_without_servers(self) -> None:
        self.assertEqual((), build_record([], 1).pairs)
