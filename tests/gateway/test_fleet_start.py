"""Tests of placement: a cold fleet under its usual load, and regions whose load changes."""

import unittest

from tests.gateway.fleetload import FleetLoad, Run, region_changes

REQUESTS_PER_S = 182.0
"""Load from all callers; 63 servers can run 427 warm or 107 cold requests per second."""
SEEDS = range(1, 6)
SHIFT_WINDOW_S, MAX_SHIFT_SHARE = 2.0, 0.15
"""Share of a region's requests that may move to another region from one window to the next."""
MIN_FIRST_IN_TIME_SHARE = 0.65
"""Share of the requests in the first two seconds that can be in time if each object has one cold
run: the first request for an object is always late."""
MAX_REFUSED_SHARE = 0.01


def share_in_time(runs: list[Run], start: float, end: float) -> float:
    """Return the share of requests in a time span that were answered in time."""
    selected = [run for run in runs if start <= run.at < end]
    return sum(run.in_time for run in selected) / len(selected)


class StartTest(unittest.TestCase):
    """Nine entries in three regions of different sizes; all objects are cold."""

    def test_most_requests_of_a_cold_fleet_are_in_time_from_the_first_seconds_on(self) -> None:
        """Guards against objects that have a cold run in every zone."""
        runs: list[Run] = []
        refused = 0
        for seed in SEEDS:
            load = FleetLoad(seed=seed)
            load.simulate(0.0, 6.0, REQUESTS_PER_S)
            load.finish()
            runs += load.runs
            refused += load.refused
        self.assertLess(refused, MAX_REFUSED_SHARE * len(runs))
        self.assertGreaterEqual(share_in_time(runs, 0.0, 2.0), MIN_FIRST_IN_TIME_SHARE)
        self.assertGreaterEqual(share_in_time(runs, 4.0, 6.0), 0.95)

    def test_requests_with_large_answers_stay_in_their_region(self) -> None:
        """Guards against filling the links between regions with requests that could run at home."""
        load = FleetLoad(size=90_000)
        load.simulate(0.0, 14.0, REQUESTS_PER_S / 2.0)
        load.finish()
        later = [run for run in load.runs if run.at >= 8.0]
        at_home = sum(run.region == run.home for run in later) / len(later)
        self.assertGreaterEqual(at_home, 0.8)


class RegionChangeTest(unittest.TestCase):
    """The rate at which requests of a region's callers move to other regions."""

    def test_no_region_moves_more_requests_than_the_cap(self) -> None:
        """Guards against overflow that leaves a small region at a start and then returns."""
        runs: list[Run] = []
        for seed in SEEDS:
            load = FleetLoad(seed=seed)
            load.simulate(0.0, 8.0, REQUESTS_PER_S)
            load.simulate(8.0, 16.0, REQUESTS_PER_S, {"west-0": 0.26, "north-0": 1.74})
            load.simulate(16.0, 20.0, REQUESTS_PER_S)
            load.remove_zone("south-1")
            load.simulate(20.0, 26.0, REQUESTS_PER_S)
            load.finish()
            runs += load.runs
        changes = region_changes(runs, SHIFT_WINDOW_S, 0.0, 26.0)
        worst = max(changes, key=lambda at: changes[at])
        self.assertLessEqual(changes[worst], MAX_SHIFT_SHARE, worst)
        self.assertGreaterEqual(share_in_time(runs, 20.0, 26.0), 0.95, "a zone was lost")
