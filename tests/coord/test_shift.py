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


def take_many(budget: ShiftBudget, region: str, kind: str, now: float, count: int) -> int:
    return sum(budget.take("times", "north", region, kind, now) for _ in range(count))


class ShiftBudgetTest(unittest.TestCase):
    """Traffic moves only as fast as its caps allow."""

    def setUp(self) -> None:
        invariants.strict = True
        self.budget = ShiftBudget(CAPS)

    def test_away_traffic_grows_by_the_cap_each_window(self) -> None:
        """A plan that moves everything at once reaches the entry, again and again."""
        carried = [take_many(self.budget, "south", "planned", 5.0 * n, 100) for n in range(4)]
        self.assertEqual(carried, [2, 4, 6, 8])

    def test_kinds_have_caps_of_their_own(self) -> None:
        self.assertEqual(take_many(self.budget, "south", "planned", 0.0, 9), 2)
        self.assertEqual(take_many(self.budget, "south", "emergency", 1.0, 9), 4)
        self.assertEqual(take_many(self.budget, "south", "planned", 5.0, 20), 8)

    def test_all_homes_draw_on_the_cap_of_the_destination(self) -> None:
        taken = sum(
            self.budget.take("times", home, "west", "emergency", 0.0)
            for home in ("north", "south") * 5
        )
        self.assertEqual(taken, 4)

    def test_more_callers_at_home_are_no_shift(self) -> None:
        self.assertEqual(take_many(self.budget, "north", "planned", 0.0, 50), 50)
        self.assertEqual(take_many(self.budget, "north", "planned", 5.0, 500), 500)

    def test_the_return_home_is_capped(self) -> None:
        """A region that just came back is crushed: all its callers return in one second.

        It lost its caches with its outage, so it must get its traffic back in steps.
        """
        for window in range(20):
            take_many(self.budget, "south", "emergency", 5.0 * window, 40)
        self.assertEqual(take_many(self.budget, "north", "return", 100.0, 40), 3)
        self.assertEqual(take_many(self.budget, "south", "planned", 100.0, 37), 37)
        self.assertEqual(take_many(self.budget, "north", "return", 105.0, 40), 6)

    def test_a_flow_that_stopped_must_be_paid_again(self) -> None:
        take_many(self.budget, "south", "planned", 0.0, 9)
        self.assertEqual(take_many(self.budget, "south", "planned", 10.0, 9), 2)

    def test_what_was_not_sent_does_not_count_as_carried(self) -> None:
        """A region that refused all traffic for a window gets it all at once in the next.

        Requests that the region refused had been counted as carried there.
        """
        take_many(self.budget, "south", "emergency", 0.0, 4)
        for _ in range(4):
            self.budget.give_back("times", "north", "south", 0.0)
        self.assertEqual(take_many(self.budget, "south", "emergency", 5.0, 9), 4)

    def test_a_clock_that_goes_back_opens_no_window(self) -> None:
        take_many(self.budget, "south", "planned", 5.0, 9)
        self.assertEqual(take_many(self.budget, "south", "planned", 4.0, 9), 0)

    def test_a_larger_share_waits_and_a_smaller_one_does_not(self) -> None:
        """A region gets more moved traffic than its cap just after an entry joined or left.

        Shares move between entries then, and for some seconds both use the moved part.
        """
        larger = {**CAPS, "planned": ShiftCap(5, 5.0), "emergency": ShiftCap(1, 5.0)}
        self.budget.set_shares(larger, now=0.0)
        self.assertEqual(take_many(self.budget, "south", "planned", 0.0, 9), 2)
        self.assertEqual(take_many(self.budget, "west", "emergency", 0.0, 9), 1)
        self.assertEqual(take_many(self.budget, "south", "planned", 20.0, 9), 5)

    def test_retry_after_is_the_next_window(self) -> None:
        self.assertAlmostEqual(self.budget.retry_after("planned", 13.0), 2.0)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.data())
    def test_growth_never_exceeds_the_caps_and_some_way_stays_open(self, data) -> None:
        """Any plan, right or wrong, draws any requests in any order over some windows."""
        budget = ShiftBudget(CAPS)
        before: Counter[tuple[str, str]] = Counter()
        for window in range(4):
            carried: Counter[tuple[str, str]] = Counter()
            total: Counter[str] = Counter()
            steps = st.tuples(
                st.sampled_from(REGIONS), st.sampled_from(REGIONS), st.sampled_from(sorted(CAPS))
            )
            for home, region, kind in data.draw(st.lists(steps, max_size=60)):
                now = 5.0 * window
                if budget.take("times", home, region, kind, now):
                    carried[home, region] += 1
                    total[home] += 1
                elif home == region:
                    # Who may not return may stay where the traffic was.
                    self.assertTrue(
                        any(before[home, r] > carried[home, r] for r in REGIONS if r != home)
                    )
            for region in REGIONS:
                grown = sum(
                    max(0, carried[home, region] - before[home, region])
                    for home in REGIONS
                    if home != region
                )
                self.assertLessEqual(grown, 2 + 4 + 3)
            before = carried
