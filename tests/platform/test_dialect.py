"""Tests of decoding the responses of backend servers."""

import unittest

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.gateway.outcome import Outcome
from briarspur.platform.dialect import PlatformDialect

NOT_EXECUTED = {b"X-Not-Executed": [b"1"]}


class OutcomeTest(unittest.TestCase):
    """What the head of a response says of the attempt."""

    def outcome(self, status: int, headers: dict[bytes, list[bytes]]) -> Outcome:
        return PlatformDialect().outcome(AnswerHead(status, Headers(headers), 0))

    def test_a_421_is_the_response_of_another_server(self) -> None:
        """Guards against what another server says being taken for the expected one's word."""
        for headers in ({}, NOT_EXECUTED):
            self.assertIs(Outcome.MISDIRECTED, self.outcome(421, headers))

    def test_other_statuses_that_promise_no_run_are_rejections(self) -> None:
        for status in (400, 429, 503):
            self.assertIs(Outcome.REJECTED, self.outcome(status, NOT_EXECUTED))

    def test_a_response_with_the_signature_of_a_run_is_no_rejection(self) -> None:
        """Guards against "not run" on the word of a server that states both."""
        signed = {b"X-Response-Signature": [b"s"]}
        for status in (400, 421, 429, 503):
            with self.subTest(status=status):
                self.assertIs(Outcome.SERVER_ERROR, self.outcome(status, NOT_EXECUTED | signed))
        self.assertIs(Outcome.SERVER_ERROR, self.outcome(421, signed))

    def test_only_complete_successes_and_final_failures_are_answers(self) -> None:
        signed = {b"X-Response-Signature": [b"s"]}
        self.assertIs(Outcome.ANSWERED, self.outcome(200, signed))
        self.assertIs(Outcome.INVALID, self.outcome(200, {}))
        self.assertIs(Outcome.INVALID, self.outcome(200, {**signed, b"Content-Encoding": [b"x"]}))
        self.assertIs(Outcome.SERVER_ERROR, self.outcome(503, {}))
        self.assertIs(Outcome.ANSWERED, self.outcome(404, {}))
