"""Tests of the rule by which a request may wait at a server."""

import unittest

from briarspur.gateway.admission import LONGEST_WAIT, may_queue, pressure
from tests.gateway.samples import steering

GOAL = 0.5


class MayQueueTest(unittest.TestCase):
    """Who waits must gain by it."""

    def test_an_idle_server_takes_also_what_will_be_late(self) -> None:
        self.assertTrue(may_queue(0.0, 2.0, GOAL, 0.2))

    def test_a_wait_that_ends_in_time_is_taken(self) -> None:
        self.assertTrue(may_queue(0.2, 0.5, GOAL, 0.2))

    def test_a_wait_for_a_late_answer_is_refused(self) -> None:
        self.assertFalse(may_queue(0.2, 0.51, GOAL, 0.2))

    def test_where_nobody_can_be_in_time_only_the_wait_is_bounded(self) -> None:
        """The operator sets a goal of 500 ms for work of 800 ms.

        Refusing all that is late would leave only as many requests as there are slots, though each
        of them is late as well.
        """
        self.assertTrue(may_queue(LONGEST_WAIT * GOAL, 1.3, GOAL, 0.8))
        self.assertFalse(may_queue(LONGEST_WAIT * GOAL + 0.01, 1.31, GOAL, 0.8))


class PressureTest(unittest.TestCase):
    """How much of a service is in use, over all entries."""

    def test_requests_of_all_entries_count(self) -> None:
        targets = list(steering(2, slots=2).targets.by_number.values())
        self.assertEqual(0.0, pressure(targets))
        targets[0].in_flight, targets[1].elsewhere = 2, 3
        self.assertEqual(1.25, pressure(targets))

    def test_no_server_at_all(self) -> None:
        self.assertEqual(0.0, pressure([]))
