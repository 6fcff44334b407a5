"""Tests of the summary of all entries."""

import unittest

from briarspur.status import BudgetStatus, DrainStatus, EntryStatus, summarize


def entry(name: str, zone: str, version: int, in_flight: int = 0) -> EntryStatus:
    return EntryStatus(
        entry_id=name,
        zone=zone,
        policy_version=version,
        plan_holder="steer-1",
        plan_term=4,
        drains=[DrainStatus(target_id="t1", in_flight=in_flight, seconds=in_flight)],
        budgets=[BudgetStatus(name="north.in_flight", left=2, limit=6)],
    )


class SummarizeTest(unittest.TestCase):
    """An unknown state is never reported as a good one."""

    def test_versions_are_grouped_by_zone_and_drains_and_budgets_summed(self) -> None:
        statuses = [entry("e1", "a", 4, 2), entry("e2", "a", 5, 1), entry("e3", "b", 5)]
        fleet = summarize(5, statuses, {})
        zone = fleet.zones_by_name["a"]
        self.assertEqual((zone.lowest_version, zone.highest_version), (4, 5))
        self.assertFalse(fleet.in_force_everywhere)
        self.assertEqual(fleet.drains_by_target["t1"].in_flight, 3)
        self.assertEqual(fleet.holders, {"steer-1": 4})
        self.assertEqual(fleet.budgets_by_name["north.in_flight"].limit, 18)

    def test_a_version_is_not_in_force_everywhere_while_an_entry_does_not_answer(self) -> None:
        self.assertTrue(summarize(5, [entry("e1", "a", 5)], {}).in_force_everywhere)
        self.assertFalse(summarize(5, [entry("e1", "a", 5)], {"e2": "cut"}).in_force_everywhere)
        self.assertFalse(summarize(5, [], {}).in_force_everywhere)
