"""Tests of reading what a backend server says of itself."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT
from briarspur.platform.notices import MOST_PER_S, MOST_REST, read_notice

FIXED = settings(derandomize=True, deadline=None, database=None)


def limit(*values: bytes, outcome: Outcome = Outcome.ANSWERED) -> float | None:
    headers = Headers({b"Server-Limit": list(values)} if values else {})
    notice = read_notice(headers, 200, outcome)
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
        self.assertIsNone(read_notice(headers, 421, Outcome.MISDIRECTED))
        self.assertIsNone(read_notice(headers, 200, Outcome.INVALID))

    @FIXED
    @given(st.lists(st.binary(max_size=12), max_size=3))
    def test_any_bytes_give_a_usable_limit_or_none(self, values: list[bytes]) -> None:
        found = limit(*values)
        if values and found is not None:
            self.assertTrue(0.0 <= found <= MOST_PER_S)


class LeavingTest(unittest.TestCase):
    """Whether a server takes no new work any more."""

    def leaving(self, *values: bytes) -> bool:
        notice = read_notice(Headers({b"Server-Leaving": list(values)}), 200, Outcome.ANSWERED)
        assert notice is not None
        return notice.leaving

    def test_only_its_own_value_counts(self) -> None:
        self.assertTrue(self.leaving(b"1"))
        self.assertTrue(self.leaving(b"", b" 1"))
        for text in (b"", b"0", b"yes", b"1.0", b"nan", b"-1"):
            self.assertFalse(self.leaving(text), text)


class RestTest(unittest.TestCase):
    """For how long a server wants nothing."""

    def rest(self, *values: bytes, status: int = 503, outcome: Outcome = Outcome.REJECTED) -> float:
        notice = read_notice(Headers({b"Retry-After": list(values)}), status, outcome)
        assert notice is not None
        return notice.rest

    def test_seconds_with_fractions(self) -> None:
        self.assertEqual(2.5, self.rest(b"2.5"))
        self.assertEqual(3.0, self.rest(b"3", outcome=Outcome.SERVER_ERROR))

    def test_what_is_no_number_asks_for_none(self) -> None:
        for text in (b"", b"soon", b"nan", b"inf", b"-1", b"Tue, 12 May 2026 10:00:00 GMT"):
            self.assertEqual(0.0, self.rest(text), text)

    def test_the_longest_of_several_counts_and_is_bounded(self) -> None:
        self.assertEqual(3.0, self.rest(b"1", b"3"))
        self.assertEqual(MOST_REST, self.rest(b"1e308"))

    def test_only_an_unavailable_server_asks_for_it(self) -> None:
        self.assertEqual(0.0, self.rest(b"3", status=429))
        self.assertEqual(0.0, self.rest(b"3", status=200, outcome=Outcome.ANSWERED))
