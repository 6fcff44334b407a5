"""Tests of who is named to callers."""

import unittest

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import FORGOTTEN, SILENT, Fleet
from briarspur.gateway.loadview import MemberSeen, SeenEntries


def record(entry_id: str, zone: str = "a-1", region: str = "a", started: int = 1) -> EntryRecord:
    return EntryRecord(entry_id, started, "127.0.0.1", zone, region, 80, 81, 82)


def alive(entry_id: str, started: int = 1, leaving: bool = False) -> MemberSeen:
    return MemberSeen(entry_id, started, leaving, 0.0)


class FleetTest(unittest.TestCase):
    """Callers are sent to entries that live."""

    def setUp(self) -> None:
        self.fleet = Fleet(record("me"))

    def named(self, region: str = "a", zone: str = "a-1", now: float = 0.0) -> list[str]:
        return [entry.entry_id for entry in self.fleet.for_caller(region, zone, now)]

    def test_a_killed_entry_is_named_no_more(self) -> None:
        """An entry loses power; its record stays in the store, since nothing there expires.

        Callers that were sent to it waited a second for each connection.
        """
        self.fleet.recorded(record("other"))
        self.assertEqual(["me"], self.named())
        self.fleet.heard(alive("other"), 0.0)
        self.assertEqual(["me", "other"], self.named(now=SILENT - 0.1))
        self.assertEqual(["me"], self.named(now=SILENT + 0.1))

    def test_those_that_leave_or_fall_silent_count_as_heard_for_a_while(self) -> None:
        """Guards against limits that shrink while entries which are leaving still serve."""
        self.fleet.recorded(record("other"))
        self.fleet.recorded(record("third"))
        self.assertEqual(1, self.fleet.heard_size(0.0))
        self.fleet.heard(alive("other", leaving=True), 0.0)
        self.assertEqual(2, self.fleet.heard_size(SILENT - 0.1))
        self.assertEqual(1, self.fleet.heard_size(SILENT + 0.1))

    def test_an_elder_is_one_that_is_heard_and_started_long_before(self) -> None:
        """Guards against entries that restart together and take one another for older ones."""
        fleet = Fleet(record("me", started=20_000))
        fleet.recorded(record("twin", started=19_500))
        fleet.heard(alive("twin", started=19_500), 0.0)
        self.assertFalse(fleet.has_elder(5.0, 0.0))
        fleet.recorded(record("elder", started=1_000))
        self.assertFalse(fleet.has_elder(5.0, 0.0))
        fleet.heard(alive("elder", started=1_000), 0.0)
        self.assertTrue(fleet.has_elder(5.0, 0.0))
        self.assertFalse(fleet.has_elder(5.0, SILENT + 0.1))

    def test_an_entry_that_started_anew_is_named_by_what_others_heard(self) -> None:
        """Guards against entries that restart and are unknown to all zones but their own."""
        old, new = record("other"), record("other", started=2)
        self.fleet.recorded(old)
        self.fleet.heard_of(SeenEntries((old.number,), (0.0,)), 0.0)
        self.assertEqual(["me", "other"], self.named(now=0.0))
        self.fleet.recorded(new, 1.0)
        self.assertEqual(["me"], self.named(now=1.0))
        self.fleet.heard_of(SeenEntries((old.number,), (0.0,)), 1.0)
        self.assertEqual(["me"], self.named(now=1.0))
        self.fleet.heard_of(SeenEntries((new.number,), (0.0,)), 1.0)
        self.assertEqual(["me", "other"], self.named(now=1.0))
        self.fleet.heard_of(SeenEntries((new.number,), (0.0,), frozenset({new.number})), 1.1)
        self.fleet.heard_of(SeenEntries((new.number,), (0.0,)), 1.2)
        self.assertEqual(["me"], self.named(now=1.2), "one that leaves does not come back")

    def test_a_replaced_entry_is_forgotten_after_minutes(self) -> None:
        self.fleet.recorded(record("old"), 10.0)
        self.fleet.recorded(record("lives"), 10.0)
        self.fleet.heard(alive("lives"), 200.0)
        self.assertEqual([], self.fleet.forgotten(10.0 + FORGOTTEN))
        self.assertEqual(["old"], self.fleet.forgotten(11.0 + FORGOTTEN))
        self.fleet.removed("old")
        self.assertEqual([], self.fleet.forgotten(11.0 + FORGOTTEN))

    def test_a_leaving_entry_is_named_no_more(self) -> None:
        self.fleet.recorded(record("other"))
        self.fleet.heard(alive("other"), 0.0)
        self.fleet.heard(alive("other", leaving=True), 0.1)
        self.assertEqual(["me"], self.named(now=0.1))
        self.fleet.heard(alive("other", started=2), 0.2)
        self.assertEqual(["me", "other"], self.named(now=0.2))

    def test_one_that_leaves_names_the_others(self) -> None:
        self.fleet.recorded(record("other"))
        self.fleet.leaving = True
        self.assertEqual(["me"], self.named())
        self.fleet.heard(alive("other"), 0.0)
        self.assertEqual(["other"], self.named())

    def test_callers_stay_in_their_region_and_zone(self) -> None:
        for entry in (
            record("z1"),
            record("z2", "a-2"),
            record("z3", "a-2"),
            record("b", "b-1", "b"),
        ):
            self.fleet.recorded(entry)
            self.fleet.heard(alive(entry.entry_id), 0.0)
        self.assertEqual(["me", "z1"], self.named("a", "a-1"))
        self.assertEqual(["z2", "z3"], self.named("a", "a-2"))
        self.assertEqual(["b"], self.named("b", "b-1"))
        self.assertEqual(["b", "me", "z1", "z2", "z3"], self.named("c", "c-1"))

    def test_a_zone_with_few_entries_shares_its_regions(self) -> None:
        for entry in (record("z1"), record("z2"), record("z3", "a-2")):
            self.fleet.recorded(entry)
            self.fleet.heard(alive(entry.entry_id), 0.0)
        self.assertEqual(["me", "z1", "z2", "z3"], self.named("a", "a-2"))
