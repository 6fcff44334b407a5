"""Tests of servers that turn requests away and ask for rest."""

import unittest

from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ServerNotice
from briarspur.gateway.work import Attempt, Refused
from tests.gateway.noticefleet import NoticeFleet
from tests.gateway.samples import begun, sent, steering

MOST_IN_REST = 2


class RestingServerTest(unittest.TestCase):
    """A server that has asked an entry for rest is left alone by it."""

    def test_a_rest_is_kept_while_others_take_the_load(self) -> None:
        """Guards against servers in need that get each warm object's requests all the same."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:3]:
                server.rests = (5.0, 14.0)
            fleet.play(0.0, 20.0, 70.0)
            for server in fleet.servers[:3]:
                self.assertTrue(server.asked_at)
                self.assertLessEqual(server.most_in_rest(), MOST_IN_REST, server.name)
                self.assertGreater(server.rate(17.0, 20.0), 0.5, "used again after its rest")


class RestTest(unittest.TestCase):
    """What one entry does with a rest that it was asked for."""

    def test_the_latest_end_of_several_counts(self) -> None:
        """Guards against a short rest, asked for later, that ends a longer one."""
        made = steering(1)
        target = sent(made, begun(made)).target
        made.record_notice(target, ServerNotice(rest=3.0), 1.0)
        made.record_notice(target, ServerNotice(rest=0.5), 1.2)
        self.assertTrue(target.is_backing_off(3.9))
        self.assertFalse(target.is_backing_off(4.0))

    def test_where_all_rest_the_caller_hears_when_the_first_is_free(self) -> None:
        """Guards against callers that wait, or come back too soon, while no server takes them."""
        made = steering(2)
        for target, rest in zip(made.targets.by_service["info"], (3.0, 2.0), strict=True):
            made.record_notice(target, ServerNotice(rest=rest), 1.0)
        refused = made.next_attempt(begun(made, 1.5), 1.5)
        assert isinstance(refused, Refused)
        self.assertIs(Code.OVERLOADED, refused.code)
        self.assertAlmostEqual(1.5, refused.retry_after or 0.0)
        self.assertIn("2 resting", refused.detail)

    def test_a_server_is_used_at_once_when_its_rest_ends(self) -> None:
        """Guards against a rest that also costs the pause of a server that failed."""
        made = steering(1)
        attempt = sent(made, begun(made))
        made.record_notice(attempt.target, ServerNotice(rest=2.0), 0.1)
        made.attempt_ended(attempt, Outcome.REJECTED, 0.1)
        self.assertIsInstance(made.next_attempt(begun(made, 2.05), 2.05), Refused)
        self.assertIsInstance(made.next_attempt(begun(made, 2.2), 2.2), Attempt)

    def test_a_rejected_request_goes_to_another_server(self) -> None:
        made = steering(2)
        work = begun(made)
        first = sent(made, work)
        made.record_notice(first.target, ServerNotice(rest=2.0), 0.1)
        made.attempt_ended(first, Outcome.REJECTED, 0.1)
        again = made.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(again, Attempt)
        self.assertIsNot(first.target, again.target)
