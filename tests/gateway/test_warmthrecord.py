"""Tests of the record of what is warm where."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.target import Target
from briarspur.gateway.warmthrecord import (
    MOST_PAIRS,
    WarmthRecord,
    decode_record,
    encode_record,
    record_of,
)
from tests.gateway.samples import registration

FIXED = settings(derandomize=True, deadline=None, database=None)
WORD = st.integers(0, 0xFFFFFFFF)


class RecordTest(unittest.TestCase):
    """What one entry writes another one reads."""

    @FIXED
    @given(st.lists(st.tuples(WORD, WORD), max_size=50), st.integers(0, 2**45))
    def test_a_record_comes_back_as_written(self, pairs: list[tuple[int, int]], at: int) -> None:
        record = WarmthRecord(at, tuple(pairs))
        self.assertEqual(record, decode_record(encode_record(record)).ok)

    def test_what_cant_be_read_is_told(self) -> None:
        whole = encode_record(WarmthRecord(1, ((1, 2),)))
        for value in (
            None,
            [],
            {},
            {**whole, "at_ms": "soon"},
            {**whole, "pairs": 7},
            {**whole, "pairs": "%%%"},
            {**whole, "pairs": "AAAA"},
        ):
            self.assertTrue(decode_record(value).is_error(), value)

    def test_the_latest_objects_of_each_server_are_kept(self) -> None:
        targets = [Target(registration(f"t-{n}"), "a", 0.0) for n in range(20)]
        for target in targets:
            for key in range(250):
                target.warmth.add(key)
        record = record_of(targets, 1)
        self.assertLessEqual(len(record.pairs), MOST_PAIRS)
        self.assertIn((targets[0].number, 249), record.pairs)
        self.assertNotIn((targets[0].number, 0), record.pairs)

    def test_no_servers_make_an_empty_record(self) -> None:
        self.assertEqual((), record_of([], 1).pairs)
