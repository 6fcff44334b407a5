"""Tests of the error budget burn over windows."""

import unittest
from collections import Counter

from briarspur.policy import Objective
from briarspur.windows import ALERT_RULES, SLOT_S, Severity, Slot, coalesce, compute_burn

OBJECTIVE = Objective(good_share=0.999, latency=0.5)
NOW = 1_000_000 * SLOT_S


def minutes(count: int, bad: int = 0, good: int = 1000, skip: int = 0) -> list[Slot]:
    """Return the ``count`` minutes before the last ``skip``, each with the same counts."""
    return [
        Slot(
            NOW - (skip + n + 1) * SLOT_S,
            good=good - bad,
            bad=bad,
            expected_s=60.0,
            covered_s=60.0,
            bad_by_region=Counter({"north": bad}),
        )
        for n in range(count)
    ]


class BurnTest(unittest.TestCase):
    """Alerts fire over two windows, and missing data is not reported as healthy."""

    def test_a_rate_of_one_uses_up_the_budget_exactly(self) -> None:
        burn = compute_burn("times", OBJECTIVE, minutes(3 * 24 * 60, bad=1), NOW)
        self.assertAlmostEqual(burn.windows[-1].rate or 0.0, 1.0)
        self.assertAlmostEqual(burn.budget_left or 0.0, 0.0)
        self.assertEqual(burn.worst_regions[0][0], "north")

    def test_a_fast_burn_pages_only_while_it_continues(self) -> None:
        burning = minutes(60, bad=20)
        found = compute_burn("times", OBJECTIVE, burning, NOW)
        self.assertIs(found.severity, Severity.PAGE)
        self.assertIn(ALERT_RULES[0], found.fired)
        ended = minutes(55, bad=22, skip=5) + minutes(5)
        self.assertNotIn(ALERT_RULES[0], compute_burn("times", OBJECTIVE, ended, NOW).fired)

    def test_a_slow_burn_creates_a_ticket(self) -> None:
        slow = minutes(3 * 24 * 60, bad=2)
        self.assertIs(compute_burn("times", OBJECTIVE, slow, NOW).severity, Severity.TICKET)

    def test_missing_data_is_unknown_and_not_ok(self) -> None:
        # All entries of a region stop responding to the collector. A report that counted these
        # minutes as good would look healthy although the callers' results are unknown.
        self.assertIs(compute_burn("times", OBJECTIVE, [], NOW).severity, Severity.UNKNOWN)
        silent = minutes(60)
        silent[2].covered_s = 30.0
        burn = compute_burn("times", OBJECTIVE, silent, NOW)
        self.assertIs(burn.severity, Severity.UNKNOWN)
        self.assertAlmostEqual(burn.windows[0].coverage, 0.9)
        self.assertIs(compute_burn("times", OBJECTIVE, minutes(60), NOW).severity, Severity.OK)

    def test_known_bad_answers_page_although_data_is_missing(self) -> None:
        burning = minutes(60, bad=50)
        for slot in burning:
            slot.covered_s = 30.0
        self.assertIs(compute_burn("times", OBJECTIVE, burning, NOW).severity, Severity.PAGE)

    def test_the_minute_that_has_not_ended_is_left_out(self) -> None:
        burn = compute_burn("times", OBJECTIVE, [Slot(NOW, bad=5)], NOW + 30)
        self.assertIsNone(burn.windows[0].rate)

    def test_coalescing_bounds_the_slots_and_keeps_the_sums(self) -> None:
        slots = minutes(4 * 24 * 60, bad=1)
        merged = coalesce(slots, NOW)
        self.assertLessEqual(len(merged), 360 + 73)
        self.assertEqual(sum(slot.minutes for slot in merged), 3 * 24 * 60)
        self.assertEqual(sum(slot.bad for slot in merged), 3 * 24 * 60)
