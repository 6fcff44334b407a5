"""Tests of the rule by which a request may queue at a server."""

import unittest

from briarspur.gateway.admission import MAX_LATE_WAIT_SHARE, may_queue, utilization
from tests.gateway.samples import steering

GOAL = 0.5


class MayQueueTest(unittest.TestCase):
    """A request may queue only if its answer is useful."""

    def test_an_idle_server_accepts_a_request_that_will_be_late(self) -> None:
        self.assertTrue(may_queue(0.0, 2.0, GOAL, 0.2))

    def test_a_wait_for_a_timely_answer_is_allowed(self) -> None:
        self.assertTrue(may_queue(0.2, 0.5, GOAL, 0.2))

    def test_a_wait_for_a_late_answer_is_refused(self) -> None:
        self.assertFalse(may_queue(0.2, 0.51, GOAL, 0.2))

    def test_if_no_server_can_meet_the_goal_only_the_wait_is_bounded(self) -> None:
        """Guards against refusals where the operator set a goal of 500 ms for work of 800 ms.

        Refusing every late request would admit only as many requests as there are slots, though
        these are late as well.
        """
        self.assertTrue(may_queue(MAX_LATE_WAIT_SHARE * GOAL, 1.3, GOAL, 0.8))
        self.assertFalse(may_queue(MAX_LATE_WAIT_SHARE * GOAL + 0.01, 1.31, GOAL, 0.8))


class UtilizationTest(unittest.TestCase):
    """The share of a service's slots that all entries together use."""

    def test_requests_of_all_entries_count(self) -> None:
        targets = list(steering(2, slots=2).targets.by_number.values())
        self.assertEqual(0.0, utilization(targets))
        targets[0].in_flight, targets[1].elsewhere = 2, 3
        self.assertEqual(1.25, utilization(targets))

    def test_a_service_without_servers_has_no_utilization(self) -> None:
        self.assertEqual(0.0, utilization([]))
