"""Tests of the shift budget."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.coord.shift import ShiftBudget, ShiftCap

CAPS = {
    "planned": ShiftCap(2, 5.0),
    "emergency": ShiftCap(4, 5.0),
    "return": ShiftCap(3, 5.0),
}
REGIONS = ["north", "south", "west"]


def admit_many(budget: ShiftBudget, region: str, kind: str, now: float, count: int) -> int:
    return sum(budget.admit("times", "north", region, kind, now) for _ in range(count))


class ShiftBudgetTest(unittest.TestCase):
    """Traffic shifts only as fast as the caps allow."""

    def setUp(self) -> None:
        invariants.strict = True
        self.budget = ShiftBudget(CAPS)

    def test_away_traffic_grows_by_the_cap_each_window(self) -> None:
        """An entry repeatedly receives a plan that moves all traffic in one step."""
        carried = [admit_many(self.budget, "south", "planned", 5.0 * n, 100) for n in range(4)]
        self.assertEqual(carried, [2, 4, 6, 8])

    def test_each_kind_has_a_separate_cap(self) -> None:
        self.assertEqual(admit_many(self.budget, "south", "planned", 0.0, 9), 2)
        self.assertEqual(admit_many(self.budget, "south", "emergency", 1.0, 9), 4)
        self.assertEqual(admit_many(self.budget, "south", "planned", 5.0, 20), 8)

    def test_all_home_regions_share_the_cap_of_the_destination(self) -> None:
        admitted = sum(
            self.budget.admit("times", home, "west", "emergency", 0.0)
            for home in ("north", "south") * 5
        )
        self.assertEqual(admitted, 4)

    def test_growth_of_home_traffic_is_no_shift(self) -> None:
        self.assertEqual(admit_many(self.budget, "north", "planned", 0.0, 50), 50)
        self.assertEqual(admit_many(self.budget, "north", "planned", 5.0, 500), 500)

    def test_traffic_that_returns_home_is_capped(self) -> None:
        """Guard against overload of a region that just recovered: all its callers return together.

        It lost its caches in the outage, so its traffic must return in steps.
        """
        for window in range(20):
            admit_many(self.budget, "south", "emergency", 5.0 * window, 40)
        self.assertEqual(admit_many(self.budget, "north", "return", 100.0, 40), 3)
        self.assertEqual(admit_many(self.budget, "south", "planned", 100.0, 37), 37)
        self.assertEqual(admit_many(self.budget, "north", "return", 105.0, 40), 6)

    def test_a_flow_that_stopped_is_charged_again(self) -> None:
        admit_many(self.budget, "south", "planned", 0.0, 9)
        self.assertEqual(admit_many(self.budget, "south", "planned", 10.0, 9), 2)

    def test_requests_that_were_not_sent_do_not_count_as_carried(self) -> None:
        """Guard against a flood after a window in which a region refused all traffic.

        The refused requests had been counted as carried, so all of them passed in the next window.
        """
        admit_many(self.budget, "south", "emergency", 0.0, 4)
        for _ in range(4):
            self.budget.cancel("times", "north", "south", 0.0)
        self.assertEqual(admit_many(self.budget, "south", "emergency", 5.0, 9), 4)

    def test_a_clock_that_goes_backwards_reopens_no_window(self) -> None:
        admit_many(self.budget, "south", "planned", 5.0, 9)
        self.assertEqual(admit_many(self.budget, "south", "planned", 4.0, 9), 0)

    def test_a_larger_share_applies_later_and_a_smaller_one_at_once(self) -> None:
        """Guard against a region that exceeds its cap just after an entry joined or left.

        Shares then move between entries, and for some seconds two entries would use the same share.
        """
        larger = {**CAPS, "planned": ShiftCap(5, 5.0), "emergency": ShiftCap(1, 5.0)}
        self.budget.set_shares(larger, now=0.0)
        self.assertEqual(admit_many(self.budget, "south", "planned", 0.0, 9), 2)
        self.assertEqual(admit_many(self.budget, "west", "emergency", 0.0, 9), 1)
        self.assertEqual(admit_many(self.budget, "south", "planned", 20.0, 9), 5)

    def test_retry_after_is_the_start_of_the_next_window(self) -> None:
        self.assertAlmostEqual(self.budget.retry_after("planned", 13.0), 2.0)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.data())
    def test_growth_never_exceeds_the_caps_and_some_region_accepts(self, data) -> None:
        """Requests arrive in any order over some windows, under a correct or an incorrect plan."""
        budget = ShiftBudget(CAPS)
        previous: Counter[tuple[str, str]] = Counter()
        for window in range(4):
            carried: Counter[tuple[str, str]] = Counter()
            total: Counter[str] = Counter()
            steps = st.tuples(
                st.sampled_from(REGIONS), st.sampled_from(REGIONS), st.sampled_from(sorted(CAPS))
            )
            for home, region, kind in data.draw(st.lists(steps, max_size=60)):
                now = 5.0 * window
                if budget.admit("times", home, region, kind, now):
                    carried[home, region] += 1
                    total[home] += 1
                elif home == region:
                    # A request that may not return home may go where the traffic was before.
                    self.assertTrue(
                        any(previous[home, r] > carried[home, r] for r in REGIONS if r != home)
                    )
            for region in REGIONS:
                grown = sum(
                    max(0, carried[home, region] - previous[home, region])
                    for home in REGIONS
                    if home != region
                )
                self.assertLessEqual(grown, 2 + 4 + 3)
            previous = carried
