"""Tests of the retry budget of a fleet whose entries restart, or whose records are lost."""

import random
import unittest

from briarspur.gateway.steering import MAX_HOLDUP_S
from briarspur.gateway.work import Bounds
from tests.gateway.retryfleet import TIMEOUT_S, RetryFleet

SEEDS = (1, 2, 3)
WARM_UP_S = 3.0
LONG_WARM_UP_S = 12.0
"""Longer than a window, so that the allowance of a whole one is unused."""
BURST_S = 1.5
SERIES_SEEDS = range(1, 9)
SERIES_END_S = 30.0
RECORDS_LOST_S = 3.0
"""Time until entries have written records again that the store has lost."""
ALL_ENDED_S = TIMEOUT_S + MAX_HOLDUP_S + Bounds().retry_window
"""Time after the last request by which all its attempts have reached a server a window ago."""


class RetryRestartTest(unittest.TestCase):
    """No service gets more repeated requests than its budget, whichever entries restart."""

    def test_restarts_of_all_keep_the_budget(self) -> None:
        """Guards against processes that have all their retries anew at each start."""
        worst = {
            (entries, per_s, restarts, seed): _worst_window(entries, per_s, restarts, gap, seed)
            for entries, per_s, restarts, gap in (
                (10, 8.0, 2, 3.0),
                (10, 25.0, 2, 3.0),
                (10, 25.0, 3, 2.5),
                (30, 60.0, 3, 2.5),
            )
            for seed in SEEDS
        }
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_a_restart_while_servers_fail_keeps_the_budget(self) -> None:
        """Guards against processes that forget what former ones spent on the same window."""
        worst = {
            (per_s, after, seed): _worst_window_of_restart(per_s, after, seed)
            for per_s, after in ((25.0, 3.0), (60.0, 1.5), (60.0, 3.0))
            for seed in SEEDS
        }
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_bursts_keep_the_budget(self) -> None:
        """Guards against requests of two bursts that pay for the retries of one window."""
        worst = {
            (per_s, burst_per_s, gap, seed): _worst_window_of_bursts(per_s, burst_per_s, gap, seed)
            for per_s, burst_per_s, gap in ((10.0, 180.0, 6.5), (10.0, 400.0, 8.2))
            for seed in SEEDS
        }
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_lost_records_keep_the_budget(self) -> None:
        """Guards against entries that divide the slack by fewer entries than sent retries."""
        worst = {}
        for kept, away, per_s in ((1, 3.0, 8.0), (1, 3.0, 25.0), (5, 5.0, 25.0), (5, 5.0, 60.0)):
            for seed in SEEDS:
                fleet = RetryFleet(10, seed)
                fleet.rejected_share = 0.9
                fleet.simulate(WARM_UP_S, per_s)
                fleet.remove_records(fleet.entry_ids[kept:], away)
                fleet.simulate(30.0, per_s)
                fleet.finish()
                worst[kept, away, per_s, seed] = fleet.worst_window()
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_replaced_entries_keep_the_budget(self) -> None:
        """Guards against new entries that use a share which the others have not given up yet."""
        worst = {}
        for per_s, replaced in ((8.0, 10), (25.0, 10), (25.0, 4)):
            for seed in SEEDS:
                fleet = RetryFleet(10, seed)
                fleet.rejected_share = 0.9
                fleet.simulate(WARM_UP_S, per_s)
                fleet.replace(fleet.entry_ids[:replaced], WARM_UP_S)
                fleet.simulate(30.0, per_s)
                fleet.finish()
                worst[per_s, replaced, seed] = fleet.worst_window()
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_requests_that_arrive_late_keep_the_budget(self) -> None:
        """Guards against retries that leave the window before they reach a server."""
        worst = {}
        for per_s, start, length in ((8.0, 3.0, 4.0), (25.0, 3.0, 4.0), (25.0, 8.0, 9.0)):
            for seed in SEEDS:
                fleet = RetryFleet(10, seed)
                fleet.rejected_share = 0.9
                fleet.simulate(start, per_s)
                fleet.held_share, fleet.held_until = 0.5, start + length
                fleet.simulate(40.0, per_s)
                fleet.finish()
                worst[per_s, start, length, seed] = fleet.worst_window()
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_series_of_disruptions_keep_the_budget(self) -> None:
        """Guards against disruptions of several kinds that together exceed the budget."""
        worst = {seed: _worst_window_of_series(seed) for seed in SERIES_SEEDS}
        self.assertLessEqual(max(worst.values()), 1.0, worst)

    def test_all_retries_leave_the_budget(self) -> None:
        """Guards against a budget that fills up for good with retries whose end is not noticed."""
        fleet = RetryFleet(10)
        fleet.rejected_share = 0.5
        fleet.simulate(10.0, 25.0)
        fleet.held_share, fleet.held_until = 0.3, 14.0
        fleet.simulate(20.0, 25.0)
        fleet.finish()
        self.assertGreater(fleet.counted_retries(20.0), 0)
        self.assertEqual(0, fleet.counted_retries(20.0 + ALL_ENDED_S))


def _worst_window(entries: int, per_s: float, restarts: int, gap: float, seed: int) -> float:
    """Return the worst window of a fleet whose entries all restart at the same time."""
    fleet = RetryFleet(entries, seed)
    fleet.rejected_share = 0.9
    fleet.simulate(WARM_UP_S, per_s)
    for number in range(restarts):
        fleet.restart(fleet.entry_ids, WARM_UP_S + number * gap)
        fleet.simulate(WARM_UP_S + (number + 1) * gap, per_s)
    fleet.simulate(30.0, per_s)
    fleet.finish()
    return fleet.worst_window()


def _worst_window_of_restart(per_s: float, after: float, seed: int) -> float:
    """Return the worst window where all entries restart some seconds after servers fail."""
    fleet = RetryFleet(10, seed)
    fleet.simulate(LONG_WARM_UP_S, per_s)
    fleet.rejected_share = 0.9
    fleet.simulate(LONG_WARM_UP_S + after, per_s)
    fleet.restart(fleet.entry_ids, LONG_WARM_UP_S + after)
    fleet.simulate(30.0, per_s)
    fleet.finish()
    return fleet.worst_window()


def _worst_window_of_bursts(per_s: float, burst_per_s: float, gap: float, seed: int) -> float:
    """Return the worst window of two bursts; servers fail from the second one on."""
    fleet = RetryFleet(10, seed)
    fleet.simulate(LONG_WARM_UP_S, per_s)
    fleet.simulate(LONG_WARM_UP_S + BURST_S, burst_per_s)
    fleet.simulate(LONG_WARM_UP_S + gap, per_s)
    fleet.rejected_share = 0.9
    fleet.simulate(LONG_WARM_UP_S + gap + BURST_S, burst_per_s)
    fleet.simulate(30.0, per_s)
    fleet.finish()
    return fleet.worst_window()


def _worst_window_of_series(seed: int) -> float:
    """Return the worst window of a fleet under a random series of disruptions."""
    rng = random.Random(seed)
    fleet = RetryFleet(rng.choice((3, 10, 30)), seed)
    fleet.rejected_share = rng.choice((0.5, 0.9))
    per_s = rng.choice((8.0, 25.0))
    now = WARM_UP_S
    fleet.simulate(now, per_s)
    while now < SERIES_END_S:
        ids = fleet.live_ids
        load = per_s
        match rng.choice(("restart", "restart some", "replace", "lose records", "hold", "burst")):
            case "restart":
                fleet.restart(ids, now)
            case "restart some":
                fleet.restart(rng.sample(ids, len(ids) // 3), now)
            case "replace":
                fleet.replace(rng.sample(ids, len(ids) // 3), now)
            case "lose records":
                fleet.remove_records(rng.sample(fleet.entry_ids, len(ids) - 1), RECORDS_LOST_S)
            case "hold":
                fleet.held_share, fleet.held_until = 0.5, now + rng.uniform(0.5, 8.0)
            case "burst":
                load = 5.0 * per_s
        now += rng.uniform(0.5, 3.0)
        fleet.simulate(now, load)
    fleet.simulate(now + 12.0, per_s)
    fleet.finish()
    return fleet.worst_window()
