"""Tests of the retry budget of a fleet whose entries restart."""

import unittest

from tests.gateway.retryfleet import RetryFleet

SEEDS = (1, 2, 3)
WARM_UP_S = 3.0


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
