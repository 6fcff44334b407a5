"""Tests of reading what a backend server says of itself."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT
from briarspur.platform.notices import MOST_PER_S, read_notice

FIXED = settings(derandomize=True, deadline=None, database=None)


def limit(*values: bytes, outcome: Outcome = Outcome.ANSWERED) -> float | None:
    headers = Headers({b"Server-Limit": list(values)} if values else {})
    notice = read_notice(headers, outcome)
    assert notice is not None
    return notice.limit_per_s


class LimitTest(unittest.TestCase):
    """The requests per second that a server takes."""

    def test_a_decimal_number_is_the_limit(self) -> None:
        self.assertEqual(1.7, limit(b"1.7"))
        self.assertEqual(0.0, limit(b"0"))

    def test_an_answer_without_one_ends_it_but_a_rejection_does_not(self) -> None:
        self.assertEqual(NO_LIMIT, limit())
        self.assertEqual(NO_LIMIT, limit(outcome=Outcome.SERVER_ERROR))
        self.assertIsNone(limit(outcome=Outcome.REJECTED))

    def test_what_is_no_number_leaves_the_earlier_limit(self) -> None:
        for text in (
            b"",
            b"fast",
            b"nan",
            b"inf",
            b"-1",
            b"Tue, 12 May 2026 10:00:00 GMT",
            b"\xff",
        ):
            self.assertIsNone(limit(text), text)

    def test_of_several_values_the_least_counts(self) -> None:
        self.assertEqual(2.0, limit(b"3", b"2"))
        self.assertEqual(2.0, limit(b"2, 3"))
        self.assertEqual(3.0, limit(b"", b"3"))

    def test_a_huge_number_is_bounded(self) -> None:
        self.assertEqual(MOST_PER_S, limit(b"1e308"))

    def test_an_answer_that_may_be_another_servers_says_nothing(self) -> None:
        headers = Headers({b"Server-Limit": [b"1"]})
        self.assertIsNone(read_notice(headers, Outcome.MISDIRECTED))
        self.assertIsNone(read_notice(headers, Outcome.INVALID))

    @FIXED
    @given(st.lists(st.binary(max_size=12), max_size=3))
    def test_any_bytes_give_a_usable_limit_or_none(self, values: list[bytes]) -> None:
        found = limit(*values)
        if values and found is not None:
            self.assertTrue(0.0 <= found <= MOST_PER_S)
