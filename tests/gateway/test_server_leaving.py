"""Tests of servers that announce in their responses that they are leaving."""

import unittest

from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ReportedNotices, ServerNotice
from briarspur.gateway.work import Refused
from tests.gateway.noticefleet import NoticeFleet
from tests.gateway.samples import begun, registration, sent, steering

DRAIN_S = 2.5
"""Time after the announcement of a server in which requests may still reach it."""


class LeavingServerTest(unittest.TestCase):
    """A server that announced that it is leaving gets no new work, whatever the store says."""

    def test_no_new_requests_arrive_even_if_the_store_does_not_report_it(self) -> None:
        """Guards against requests to a leaving server while the store is unavailable."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:2]:
                server.leaves_at = 5.0
            fleet.simulate(0.0, 14.0, 60.0)
            for server in fleet.servers[:2]:
                self.assertTrue(server.leaving_received_at)
                self.assertLessEqual(server.latest_after_leaving(), DRAIN_S, server.name)


class LeavingStateTest(unittest.TestCase):
    """How one entry treats a server that announced that it is leaving."""

    def setUp(self) -> None:
        self.steering = steering(2)
        self.attempt = sent(self.steering, begun(self.steering))
        self.target = self.attempt.target
        self.steering.record_notice(self.target, ServerNotice(leaving=True), 0.1)

    def test_no_registration_of_the_same_incarnation_and_no_later_response_undoes_it(self) -> None:
        self.steering.targets.registered(self.target.registration, 0.2)
        self.steering.record_notice(self.target, ServerNotice(leaving=False), 0.3)
        self.assertFalse(self.steering.targets.accepts_work(self.target, 1.0))

    def test_a_new_incarnation_takes_work(self) -> None:
        name = self.target.registration.target_id
        self.steering.targets.registered(registration(name, born=2), 0.2)
        found = self.steering.targets.get(name)
        assert found is not None
        self.assertTrue(self.steering.targets.accepts_work(found, 1.0))

    def test_requests_in_flight_run_to_completion(self) -> None:
        self.steering.attempt_ended(self.attempt, Outcome.ANSWERED, 0.4)
        self.assertEqual(0, self.target.in_flight)

    def test_retries_and_second_attempts_go_elsewhere(self) -> None:
        made = steering(3)
        leaving = sent(made, begun(made)).target
        made.record_notice(leaving, ServerNotice(leaving=True), 0.1)
        for number in range(4):
            work = begun(made, 0.2, request_id=f"r-{number}")
            first = sent(made, work, 0.2)
            second = made.hedge(work, 0.3)
            assert second is not None
            made.attempt_ended(second, Outcome.REJECTED, 0.4)
            again = made.retry(work, Outcome.REJECTED, 0.4)
            made.attempt_ended(first, Outcome.ANSWERED, 0.4)
            self.assertNotIn(leaving, work.tried)
            self.assertIsInstance(again, Refused)

    def test_if_all_servers_are_leaving_the_caller_is_refused_immediately(self) -> None:
        for target in self.steering.targets.by_number.values():
            self.steering.record_notice(target, ServerNotice(leaving=True), 0.2)
        refused = self.steering.next_attempt(begun(self.steering), 0.3)
        assert isinstance(refused, Refused)
        self.assertIs(Code.NO_TARGET, refused.code)

    def test_leaving_is_reported_for_a_limited_time_and_unknown_servers_are_ignored(self) -> None:
        reported = self.steering.notices_to_report(False, 0.2)
        self.assertEqual((self.target.number,), reported.leaving)
        other = steering(2, entry_id="entry-2")
        other.record_notices(ReportedNotices(leaving=(1, *reported.leaving)), 0.3)
        left = other.targets.get(self.target.registration.target_id)
        assert left is not None
        self.assertFalse(other.targets.accepts_work(left, 1.0))
        self.assertEqual((), self.steering.notices_to_report(False, 9.0).leaving)
