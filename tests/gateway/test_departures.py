"""Tests of registrations that vanish, and of the belief about the store that decides on them."""

import unittest

from briarspur.gateway.availability import OUTAGE, StoreAvailability
from briarspur.gateway.departures import RETURN_TIME, Departures


class DeparturesTest(unittest.TestCase):
    """A store that was away takes no server with it."""

    def setUp(self) -> None:
        self.availability = StoreAvailability()
        self.departures = Departures(self.availability)

    def answered_until(self, now: float) -> None:
        for tick in range(int(now)):
            self.availability.answered(float(tick + 1), float(tick + 1))

    def runs(self, began: float, until: float) -> None:
        """Let the process look at its beliefs four times a second."""
        while began < until:
            self.availability.tick(began)
            began += 0.25

    def test_what_vanishes_while_the_store_works_is_gone_at_once(self) -> None:
        self.assertTrue(self.departures.vanished("t-1", 0.0, 10.0))
        self.answered_until(20.0)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 20.5))

    def test_registrations_that_lapsed_in_an_outage_are_kept_for_their_return(self) -> None:
        """The store is down for eight seconds, and registrations lapse that nobody could renew.

        Its first list then names no server. Every request was refused for two seconds, until the
        servers, which had run all the while, were registered again.
        """
        departures = self.departures
        self.answered_until(10.0)
        self.runs(10.0, 18.0)
        self.availability.answered(18.0, 18.0)
        self.assertFalse(departures.vanished("lives", 0.0, 18.1))
        self.assertFalse(departures.vanished("gone", 0.0, 18.1))
        departures.returned("lives")
        self.assertEqual([], departures.due(18.0 + RETURN_TIME - 0.1))
        gone = departures.due(18.0 + RETURN_TIME + 0.1)
        self.assertEqual(["gone"], [held.target_id for held in gone])
        for later in (19.0, 20.0):
            self.availability.answered(later, later)
        self.assertTrue(departures.vanished("lives", 0.0, 18.0 + RETURN_TIME + 0.1))

    def test_what_vanishes_in_the_outage_itself_is_held(self) -> None:
        self.answered_until(10.0)
        self.assertTrue(self.availability.is_away(10.1 + OUTAGE))
        self.assertFalse(self.departures.vanished("t-1", 0.0, 10.1 + OUTAGE))

    def test_others_end_the_belief_of_an_entry_that_asks_no_more(self) -> None:
        """A server leaves, and one entry sends callers' requests to it for 2.7 s more.

        The entry had been cut off from the store and, back again, left reading to others. Nobody
        cleared its belief that the store was away, so it held every vanished registration back.
        Now what the others say of their reads ends it.
        """
        self.answered_until(8.0)
        for tick in range(20):
            # Their news, 1 s old each.
            self.availability.answered(9.6 + tick, 9.6 + tick)
        self.assertEqual(float("-inf"), self.availability.returned_at)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 29.0))

    def test_readers_that_are_replaced_are_no_outage(self) -> None:
        """Both entries that read the store are cut off, and a server leaves in the same second.

        The others asked the store themselves 1.6 s after its last answer and had one at once. They
        took the gap for an outage and held the server's end back for 2.2 s; callers' requests
        reached it 2.55 s after the store had acknowledged that it leaves.
        """
        self.answered_until(10.0)
        self.runs(10.0, 11.682)
        self.availability.answered(11.682, 11.682)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 11.683))
        self.runs(11.682, 11.682 + 2.3)
        self.availability.answered(11.682 + 2.3, 11.682 + 2.3)
        self.assertTrue(self.departures.vanished("t-2", 0.0, 11.683 + 2.3))

    def test_a_cut_of_one_entry_only_holds_nothing_back(self) -> None:
        """The others go on reading, so registrations lapse for no other reason than their servers.

        The entry's own calls fail for nine seconds while it hears fresh news all the while.
        """
        for tick in range(90):
            self.availability.answered(10.0 + tick / 10.0 - 0.8, 10.0 + tick / 10.0 - 0.8)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 19.0))

    def test_time_in_which_the_process_stood_still_is_no_outage(self) -> None:
        """An entry is stopped for 3 s while the store answers all others and a server leaves.

        It took its own silence for an outage of the store and held the server for 2.2 s more.
        """
        self.answered_until(10.0)
        self.runs(10.0, 11.0)
        self.availability.answered(13.7, 13.9)
        self.assertEqual(float("-inf"), self.availability.returned_at)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 13.9))

    def test_an_outage_in_which_the_process_looked_on_is_one(self) -> None:
        self.answered_until(10.0)
        self.runs(10.0, 14.0)
        self.availability.answered(14.0, 14.0)
        self.assertEqual(14.0, self.availability.returned_at)
