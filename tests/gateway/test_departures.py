"""Tests of registrations that vanish."""

import unittest

from briarspur.gateway.departures import RETURN_TIME, Departures


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
