"""Tests of parsing the notices in the responses of backend servers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT
from briarspur.platform.notices import MAX_BACKOFF_S, MAX_LIMIT_PER_S, read_notice

FIXED = settings(derandomize=True, deadline=None, database=None)


def limit(*values: bytes, outcome: Outcome = Outcome.ANSWERED) -> float | None:
    headers = Headers({b"Server-Limit": list(values)} if values else {})
    notice = read_notice(headers, 200, outcome)
    assert notice is not None
    return notice.limit_per_s


class LimitTest(unittest.TestCase):
    """The advertised limit, in requests per second."""

    def test_a_decimal_number_is_the_limit(self) -> None:
        self.assertEqual(1.7, limit(b"1.7"))
        self.assertEqual(0.0, limit(b"0"))

    def test_a_response_without_a_limit_lifts_it_but_a_rejection_does_not(self) -> None:
        self.assertEqual(NO_LIMIT, limit())
        self.assertEqual(NO_LIMIT, limit(outcome=Outcome.SERVER_ERROR))
        self.assertIsNone(limit(outcome=Outcome.REJECTED))

    def test_a_malformed_limit_leaves_the_earlier_one_in_force(self) -> None:
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

    def test_the_smallest_of_several_values_applies(self) -> None:
        self.assertEqual(2.0, limit(b"3", b"2"))
        self.assertEqual(2.0, limit(b"2, 3"))
        self.assertEqual(3.0, limit(b"", b"3"))

    def test_a_huge_limit_is_capped(self) -> None:
        self.assertEqual(MAX_LIMIT_PER_S, limit(b"1e308"))

    def test_a_response_that_another_server_may_have_sent_is_ignored(self) -> None:
        headers = Headers({b"Server-Limit": [b"1"]})
        self.assertIsNone(read_notice(headers, 421, Outcome.MISDIRECTED))
        self.assertIsNone(read_notice(headers, 200, Outcome.INVALID))

    @FIXED
    @given(st.lists(st.binary(max_size=12), max_size=3))
    def test_any_bytes_give_a_usable_limit_or_none(self, values: list[bytes]) -> None:
        found = limit(*values)
        if values and found is not None:
            self.assertTrue(0.0 <= found <= MAX_LIMIT_PER_S)


class LeavingTest(unittest.TestCase):
    """Whether a server no longer accepts new work."""

    def leaving(self, *values: bytes) -> bool:
        notice = read_notice(Headers({b"Server-Leaving": list(values)}), 200, Outcome.ANSWERED)
        assert notice is not None
        return notice.leaving

    def test_only_the_value_1_counts(self) -> None:
        self.assertTrue(self.leaving(b"1"))
        self.assertTrue(self.leaving(b"", b" 1"))
        for text in (b"", b"0", b"yes", b"1.0", b"nan", b"-1"):
            self.assertFalse(self.leaving(text), text)


class BackoffTest(unittest.TestCase):
    """For how many seconds a server asks for no requests."""

    def backoff(
        self, *values: bytes, status: int = 503, outcome: Outcome = Outcome.REJECTED
    ) -> float:
        notice = read_notice(Headers({b"Retry-After": list(values)}), status, outcome)
        assert notice is not None
        return notice.backoff

    def test_fractions_of_seconds_are_accepted(self) -> None:
        self.assertEqual(2.5, self.backoff(b"2.5"))
        self.assertEqual(3.0, self.backoff(b"3", outcome=Outcome.SERVER_ERROR))

    def test_a_malformed_value_requests_no_backoff(self) -> None:
        for text in (b"", b"soon", b"nan", b"inf", b"-1", b"Tue, 12 May 2026 10:00:00 GMT"):
            self.assertEqual(0.0, self.backoff(text), text)

    def test_the_longest_of_several_values_applies_and_is_capped(self) -> None:
        self.assertEqual(3.0, self.backoff(b"1", b"3"))
        self.assertEqual(MAX_BACKOFF_S, self.backoff(b"1e308"))

    def test_only_status_503_requests_a_backoff(self) -> None:
        self.assertEqual(0.0, self.backoff(b"3", status=429))
        self.assertEqual(0.0, self.backoff(b"3", status=200, outcome=Outcome.ANSWERED))
