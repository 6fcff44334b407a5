"""Tests of servers that reject requests and ask entries to back off."""

import unittest

from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ServerNotice
from briarspur.gateway.work import Attempt, Refused
from tests.gateway.noticefleet import NoticeFleet
from tests.gateway.samples import begun, sent, steering

MAX_DURING_BACKOFF = 2


class BackoffFleetTest(unittest.TestCase):
    """An entry sends nothing to a server that asked it to back off."""

    def test_a_backoff_is_kept_while_other_servers_take_the_load(self) -> None:
        """Guards against overloaded servers that still get the requests for their warm objects."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:3]:
                server.backoff_span = (5.0, 14.0)
            fleet.simulate(0.0, 20.0, 70.0)
            for server in fleet.servers[:3]:
                self.assertTrue(server.backoff_received_at)
                self.assertLessEqual(server.max_during_backoff(), MAX_DURING_BACKOFF, server.name)
                self.assertGreater(server.rate(17.0, 20.0), 0.5, "used again after its backoff")


class BackoffTest(unittest.TestCase):
    """How one entry handles a request to back off."""

    def test_the_latest_end_of_several_backoffs_applies(self) -> None:
        """Guards against a later, shorter backoff that ends a longer one."""
        made = steering(1)
        target = sent(made, begun(made)).target
        made.record_notice(target, ServerNotice(backoff=3.0), 1.0)
        made.record_notice(target, ServerNotice(backoff=0.5), 1.2)
        self.assertTrue(target.is_backing_off(3.9))
        self.assertFalse(target.is_backing_off(4.0))

    def test_if_all_servers_back_off_retry_after_is_the_earliest_end(self) -> None:
        """Guards against callers that wait, or retry too early, while no server accepts work."""
        made = steering(2)
        for target, backoff in zip(made.targets.by_service["info"], (3.0, 2.0), strict=True):
            made.record_notice(target, ServerNotice(backoff=backoff), 1.0)
        refused = made.next_attempt(begun(made, 1.5), 1.5)
        assert isinstance(refused, Refused)
        self.assertIs(Code.OVERLOADED, refused.code)
        self.assertAlmostEqual(1.5, refused.retry_after or 0.0)
        self.assertIn("2 resting", refused.detail)

    def test_a_server_is_used_immediately_when_its_backoff_ends(self) -> None:
        """Guards against a backoff that also incurs the pause of a failed server."""
        made = steering(1)
        attempt = sent(made, begun(made))
        made.record_notice(attempt.target, ServerNotice(backoff=2.0), 0.1)
        made.attempt_ended(attempt, Outcome.REJECTED, 0.1)
        self.assertIsInstance(made.next_attempt(begun(made, 2.05), 2.05), Refused)
        self.assertIsInstance(made.next_attempt(begun(made, 2.2), 2.2), Attempt)

    def test_a_rejected_request_goes_to_another_server(self) -> None:
        made = steering(2)
        work = begun(made)
        first = sent(made, work)
        made.record_notice(first.target, ServerNotice(backoff=2.0), 0.1)
        made.attempt_ended(first, Outcome.REJECTED, 0.1)
        again = made.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(again, Attempt)
        self.assertIsNot(first.target, again.target)
