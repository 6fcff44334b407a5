"""Tests of which entries are returned to callers."""

import unittest

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import LIVENESS_TIMEOUT_S, RECORD_LIFETIME_S, Fleet
from briarspur.gateway.loadview import SeenEntries, SeenEntry


def record(entry_id: str, zone: str = "a-1", region: str = "a", started: int = 1) -> EntryRecord:
    return EntryRecord(entry_id, started, "127.0.0.1", zone, region, 80, 81, 82)


def alive(entry_id: str, started: int = 1, leaving: bool = False) -> SeenEntry:
    return SeenEntry(entry_id, started, leaving, 0.0)


class FleetTest(unittest.TestCase):
    """Callers get entries that are alive."""

    def setUp(self) -> None:
        self.fleet = Fleet(record("me"))

    def returned(self, region: str = "a", zone: str = "a-1", now: float = 0.0) -> list[str]:
        return [entry.entry_id for entry in self.fleet.for_caller(region, zone, now)]

    def test_a_killed_entry_is_not_returned_after_the_liveness_timeout(self) -> None:
        """Guards against callers that are sent to an entry which has lost power.

        Its record stays in the store, since records don't expire there, and each connection to the
        entry takes a second to fail.
        """
        self.fleet.recorded(record("other"))
        self.assertEqual(["me"], self.returned())
        self.fleet.record_seen(alive("other"), 0.0)
        self.assertEqual(["me", "other"], self.returned(now=LIVENESS_TIMEOUT_S - 0.1))
        self.assertEqual(["me"], self.returned(now=LIVENESS_TIMEOUT_S + 0.1))

    def test_leaving_entries_count_as_seen_until_the_liveness_timeout(self) -> None:
        """Guards against limits that shrink while leaving entries still serve requests."""
        self.fleet.recorded(record("other"))
        self.fleet.recorded(record("third"))
        self.assertEqual(1, self.fleet.seen_size(0.0))
        self.fleet.record_seen(alive("other", leaving=True), 0.0)
        self.assertEqual(2, self.fleet.seen_size(LIVENESS_TIMEOUT_S - 0.1))
        self.assertEqual(1, self.fleet.seen_size(LIVENESS_TIMEOUT_S + 0.1))

    def test_an_older_entry_is_one_that_is_seen_and_started_long_before(self) -> None:
        """Guards against entries that restart together and regard each other as older."""
        fleet = Fleet(record("me", started=20_000))
        fleet.recorded(record("twin", started=19_500))
        fleet.record_seen(alive("twin", started=19_500), 0.0)
        self.assertFalse(fleet.has_older_entry(5.0, 0.0))
        fleet.recorded(record("older", started=1_000))
        self.assertFalse(fleet.has_older_entry(5.0, 0.0))
        fleet.record_seen(alive("older", started=1_000), 0.0)
        self.assertTrue(fleet.has_older_entry(5.0, 0.0))
        self.assertFalse(fleet.has_older_entry(5.0, LIVENESS_TIMEOUT_S + 0.1))

    def test_entries_that_started_within_a_time_are_counted_while_they_are_seen(self) -> None:
        """Guards against quotas that forget what restarted entries admitted before."""
        fleet = Fleet(record("me", started=20_000))
        for name, started in (("older", 1_000), ("younger", 24_000)):
            fleet.recorded(record(name, started=started))
            fleet.record_seen(alive(name, started=started), 0.0)
        self.assertEqual(2, fleet.restarted_size(5.0, own_age=4.5, now=0.0))
        self.assertEqual(1, fleet.restarted_size(5.0, own_age=8.0, now=0.0))
        self.assertEqual(0, fleet.restarted_size(5.0, own_age=9.5, now=0.0))
        self.assertEqual(0, fleet.restarted_size(5.0, own_age=8.0, now=LIVENESS_TIMEOUT_S + 0.1))

    def test_a_restarted_entry_is_returned_once_other_entries_have_seen_it(self) -> None:
        """Guards against restarted entries that are unknown in all zones except their own."""
        old, new = record("other"), record("other", started=2)
        self.fleet.recorded(old)
        self.fleet.record_all_seen(SeenEntries((old.number,), (0.0,)), 0.0)
        self.assertEqual(["me", "other"], self.returned(now=0.0))
        self.fleet.recorded(new, 1.0)
        self.assertEqual(["me"], self.returned(now=1.0))
        self.fleet.record_all_seen(SeenEntries((old.number,), (0.0,)), 1.0)
        self.assertEqual(["me"], self.returned(now=1.0))
        self.fleet.record_all_seen(SeenEntries((new.number,), (0.0,)), 1.0)
        self.assertEqual(["me", "other"], self.returned(now=1.0))
        self.fleet.record_all_seen(SeenEntries((new.number,), (0.0,), frozenset({new.number})), 1.1)
        self.fleet.record_all_seen(SeenEntries((new.number,), (0.0,)), 1.2)
        self.assertEqual(["me"], self.returned(now=1.2), "a leaving process does not come back")

    def test_the_record_of_a_replaced_entry_expires_after_minutes(self) -> None:
        self.fleet.recorded(record("old"), 10.0)
        self.fleet.recorded(record("lives"), 10.0)
        self.fleet.record_seen(alive("lives"), 200.0)
        self.assertEqual([], self.fleet.expired_ids(10.0 + RECORD_LIFETIME_S))
        self.assertEqual(["old"], self.fleet.expired_ids(11.0 + RECORD_LIFETIME_S))
        self.fleet.removed("old")
        self.assertEqual([], self.fleet.expired_ids(11.0 + RECORD_LIFETIME_S))

    def test_a_leaving_entry_is_not_returned(self) -> None:
        self.fleet.recorded(record("other"))
        self.fleet.record_seen(alive("other"), 0.0)
        self.fleet.record_seen(alive("other", leaving=True), 0.1)
        self.assertEqual(["me"], self.returned(now=0.1))
        self.fleet.record_seen(alive("other", started=2), 0.2)
        self.assertEqual(["me", "other"], self.returned(now=0.2))

    def test_a_leaving_entry_returns_the_others(self) -> None:
        self.fleet.recorded(record("other"))
        self.fleet.leaving = True
        self.assertEqual(["me"], self.returned())
        self.fleet.record_seen(alive("other"), 0.0)
        self.assertEqual(["other"], self.returned())

    def test_callers_get_entries_of_their_region_and_zone(self) -> None:
        for entry in (
            record("z1"),
            record("z2", "a-2"),
            record("z3", "a-2"),
            record("b", "b-1", "b"),
        ):
            self.fleet.recorded(entry)
            self.fleet.record_seen(alive(entry.entry_id), 0.0)
        self.assertEqual(["me", "z1"], self.returned("a", "a-1"))
        self.assertEqual(["z2", "z3"], self.returned("a", "a-2"))
        self.assertEqual(["b"], self.returned("b", "b-1"))
        self.assertEqual(["b", "me", "z1", "z2", "z3"], self.returned("c", "c-1"))

    def test_callers_of_a_zone_with_few_entries_get_all_of_its_region(self) -> None:
        for entry in (record("z1"), record("z2"), record("z3", "a-2")):
            self.fleet.recorded(entry)
            self.fleet.record_seen(alive(entry.entry_id), 0.0)
        self.assertEqual(["me", "z1", "z2", "z3"], self.returned("a", "a-2"))
