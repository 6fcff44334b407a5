"""Tests of vanished registrations, and of the store availability that decides on removals."""

import unittest

from briarspur.gateway.availability import MIN_OUTAGE_S, StoreAvailability
from briarspur.gateway.departures import REREGISTRATION_S, Departures


class DeparturesTest(unittest.TestCase):
    """An outage of the store removes no running server."""

    def setUp(self) -> None:
        self.availability = StoreAvailability()
        self.departures = Departures(self.availability)

    def answered_until(self, now: float) -> None:
        for tick in range(int(now)):
            self.availability.answered(float(tick + 1), float(tick + 1))

    def run_process(self, now: float, until: float) -> None:
        """Let the process check the availability four times a second."""
        while now < until:
            self.availability.tick(now)
            now += 0.25

    def test_a_vanished_registration_is_removed_at_once_while_the_store_answers(self) -> None:
        self.assertTrue(self.departures.vanished("t-1", 0.0, 10.0))
        self.answered_until(20.0)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 20.5))

    def test_targets_whose_registrations_lapsed_in_an_outage_are_kept_until_renewal(self) -> None:
        """Guards against refusing every request for two seconds after an outage of the store.

        Registrations lapse in eight seconds of outage as they cannot be renewed, so the first list
        after it has no servers, although all are running and register again soon.
        """
        departures = self.departures
        self.answered_until(10.0)
        self.run_process(10.0, 18.0)
        self.availability.answered(18.0, 18.0)
        self.assertFalse(departures.vanished("lives", 0.0, 18.1))
        self.assertFalse(departures.vanished("gone", 0.0, 18.1))
        departures.returned("lives")
        self.assertEqual([], departures.due(18.0 + REREGISTRATION_S - 0.1))
        gone = departures.due(18.0 + REREGISTRATION_S + 0.1)
        self.assertEqual(["gone"], [held.target_id for held in gone])
        for later in (19.0, 20.0):
            self.availability.answered(later, later)
        self.assertTrue(departures.vanished("lives", 0.0, 18.0 + REREGISTRATION_S + 0.1))

    def test_a_registration_that_vanishes_during_the_outage_is_held(self) -> None:
        self.answered_until(10.0)
        self.assertTrue(self.availability.is_away(10.1 + MIN_OUTAGE_S))
        self.assertFalse(self.departures.vanished("t-1", 0.0, 10.1 + MIN_OUTAGE_S))

    def test_reads_of_other_entries_end_an_outage(self) -> None:
        """Guards against an entry that sends requests to a server for 2.7 s after it left.

        An entry that was cut off from the store, and then left reading to others, considered the
        store unavailable for good and held every removal. Reads reported by others must end this.
        """
        self.answered_until(8.0)
        for tick in range(20):
            # News of the others, each 1 s old.
            self.availability.answered(9.6 + tick, 9.6 + tick)
        self.assertEqual(float("-inf"), self.availability.returned_at)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 29.0))

    def test_replacing_the_readers_is_no_outage(self) -> None:
        """Guards against requests to a server 2.55 s after the store acknowledged its departure.

        Both entries that read the store are cut off, and a server leaves in the same second. The
        others call the store 1.6 s after its last response and get one immediately. If they treat
        the gap as an outage, they hold the removal of the server for 2.2 s.
        """
        self.answered_until(10.0)
        self.run_process(10.0, 11.682)
        self.availability.answered(11.682, 11.682)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 11.683))
        self.run_process(11.682, 11.682 + 2.3)
        self.availability.answered(11.682 + 2.3, 11.682 + 2.3)
        self.assertTrue(self.departures.vanished("t-2", 0.0, 11.683 + 2.3))

    def test_a_cut_of_a_single_entry_delays_no_removal(self) -> None:
        """Guards against holding removals while other entries still read the store.

        The entry's own calls fail for nine seconds while it keeps receiving fresh news, so
        registrations lapse only because their servers left.
        """
        for tick in range(90):
            self.availability.answered(10.0 + tick / 10.0 - 0.8, 10.0 + tick / 10.0 - 0.8)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 19.0))

    def test_time_in_which_the_process_was_stopped_is_no_outage(self) -> None:
        """Guards against treating a stop of the process as an outage of the store.

        An entry is stopped for 3 s while the store answers all others and a server leaves. Treated
        as an outage, this would hold the removal of the server for another 2.2 s.
        """
        self.answered_until(10.0)
        self.run_process(10.0, 11.0)
        self.availability.answered(13.7, 13.9)
        self.assertEqual(float("-inf"), self.availability.returned_at)
        self.assertTrue(self.departures.vanished("t-1", 0.0, 13.9))

    def test_an_outage_during_which_the_process_ran_is_one(self) -> None:
        self.answered_until(10.0)
        self.run_process(10.0, 14.0)
        self.availability.answered(14.0, 14.0)
        self.assertEqual(14.0, self.availability.returned_at)
