"""Tests of servers that say in their answers that they leave."""

import unittest

from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ReportedNotices, ServerNotice
from briarspur.gateway.work import Refused
from tests.gateway.noticefleet import NoticeFleet
from tests.gateway.samples import begun, registration, sent, steering

DRAIN = 2.5
"""Seconds after the word of a server in which requests may still reach it."""


class LeavingServerTest(unittest.TestCase):
    """A server that has said that it leaves gets nothing new, whatever the store says."""

    def test_nothing_new_comes_though_the_store_does_not_tell(self) -> None:
        """Guards against requests at a server that said it leaves while the store is away."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:2]:
                server.leaves_at = 5.0
            fleet.play(0.0, 14.0, 60.0)
            for server in fleet.servers[:2]:
                self.assertTrue(server.left_at)
                self.assertLessEqual(server.latest_after_leaving(), DRAIN, server.name)


class BeliefTest(unittest.TestCase):
    """What is believed of a server that has said that it leaves."""

    def setUp(self) -> None:
        self.steering = steering(2)
        self.attempt = sent(self.steering, begun(self.steering))
        self.target = self.attempt.target
        self.steering.noticed(self.target, ServerNotice(leaving=True), 0.1)

    def test_no_registration_of_its_life_and_no_later_answer_undoes_it(self) -> None:
        self.steering.targets.registered(self.target.registration, 0.2)
        self.steering.noticed(self.target, ServerNotice(leaving=False), 0.3)
        self.assertFalse(self.steering.targets.takes_work(self.target, 1.0))

    def test_a_new_incarnation_takes_work(self) -> None:
        name = self.target.registration.target_id
        self.steering.targets.registered(registration(name, born=2), 0.2)
        found = self.steering.targets.get(name)
        assert found is not None
        self.assertTrue(self.steering.targets.takes_work(found, 1.0))

    def test_what_it_has_runs_to_its_end(self) -> None:
        self.steering.ended(self.attempt, Outcome.ANSWERED, 0.4)
        self.assertEqual(0, self.target.in_flight)

    def test_retries_and_second_attempts_go_elsewhere(self) -> None:
        made = steering(3)
        leaving = sent(made, begun(made)).target
        made.noticed(leaving, ServerNotice(leaving=True), 0.1)
        for number in range(4):
            work = begun(made, 0.2, request_id=f"r-{number}")
            first = sent(made, work, 0.2)
            second = made.hedge(work, 0.3)
            assert second is not None
            made.ended(second, Outcome.REJECTED, 0.4)
            again = made.retry(work, Outcome.REJECTED, 0.4)
            made.ended(first, Outcome.ANSWERED, 0.4)
            self.assertNotIn(leaving, work.tried)
            self.assertIsInstance(again, Refused)

    def test_where_all_leave_the_caller_is_refused_at_once(self) -> None:
        for target in self.steering.targets.by_number.values():
            self.steering.noticed(target, ServerNotice(leaving=True), 0.2)
        refused = self.steering.next_attempt(begun(self.steering), 0.3)
        assert isinstance(refused, Refused)
        self.assertIs(Code.NO_TARGET, refused.code)

    def test_others_are_told_for_a_while_and_an_unknown_server_does_no_harm(self) -> None:
        told = self.steering.notices_to_tell(False, 0.2)
        self.assertEqual((self.target.number,), told.leaving)
        other = steering(2, me="entry-2")
        other.take_notices(ReportedNotices(leaving=(1, *told.leaving)), 0.3)
        left = other.targets.get(self.target.registration.target_id)
        assert left is not None
        self.assertFalse(other.targets.takes_work(left, 1.0))
        self.assertEqual((), self.steering.notices_to_tell(False, 9.0).leaving)
