"""Tests of registrations that vanish."""

import unittest

from briarspur.gateway.departures import CUT_CREDIT, RETURN_TIME, Departures


class DeparturesTest(unittest.TestCase):
    """A store that was away takes no server with it."""

    def test_what_vanishes_while_the_store_works_is_gone_at_once(self) -> None:
        self.assertTrue(Departures().vanished("t-1", 10.0))

    def test_registrations_that_lapsed_in_an_outage_are_kept_for_their_return(self) -> None:
        """The store is down for eight seconds, and registrations lapse that nobody could renew.

        Its first list then names no server. Every request was refused for two seconds, until the
        servers, which had run all the while, were registered again.
        """
        departures = Departures()
        departures.store_reachable(False, 10.0)
        departures.store_reachable(True, 18.0)
        self.assertFalse(departures.vanished("lives", 18.1))
        self.assertFalse(departures.vanished("gone", 18.1))
        departures.returned("lives")
        self.assertEqual([], departures.due(18.0 + RETURN_TIME - 0.1))
        self.assertEqual(["gone"], departures.due(18.0 + RETURN_TIME + 0.1))
        self.assertTrue(departures.vanished("lives", 18.0 + RETURN_TIME + 0.1))

    def test_after_a_cut_the_hold_counts_from_its_end(self) -> None:
        """An entry is cut off for 12 s while the store serves all others, and a server leaves.

        The entry's next call to the store was answered 1.2 s after the cut, and only from then it
        held the server for 2.2 s: its requests reached it 0.4 s after the bound for a drain.
        """
        departures = Departures()
        departures.store_reachable(False, 3.8)
        departures.reached_again(13.1)
        departures.store_reachable(True, 14.2)
        self.assertFalse(departures.vanished("left", 14.2))
        self.assertEqual([], departures.due(13.1 + RETURN_TIME - 0.1))
        self.assertEqual(["left"], departures.due(13.1 + RETURN_TIME + 0.1))

    def test_a_store_that_returns_later_than_the_entries_was_away(self) -> None:
        departures = Departures()
        departures.store_reachable(False, 3.8)
        departures.reached_again(13.1)
        now = 13.1 + CUT_CREDIT + 0.1
        departures.store_reachable(True, now)
        departures.vanished("lapsed", now)
        self.assertEqual([], departures.due(now + RETURN_TIME - 0.1))
