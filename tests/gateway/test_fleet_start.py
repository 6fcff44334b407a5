"""Tests of placing: a cold fleet under its usual load, and regions whose load changes."""

import unittest

from tests.gateway.fleetload import FleetLoad, Run, region_changes

PER_S = 182.0
"""Requests per second of all callers; 63 servers bear 427 warm ones, or 107 cold ones."""
SEEDS = range(1, 6)
SHIFT_WINDOW, SHIFT_CAP = 2.0, 0.15
"""Seconds, and the share of a region's requests that may change region from one window of that
length to the next."""
FIRST_IN_TIME = 0.65
"""Share of the first two seconds' requests that can be in time if each object is made cold once:
the first request for each never is."""
MOST_REFUSED = 0.01


def share(runs: list[Run], start: float, end: float) -> float:
    """Return the share of a span's requests that were answered in time."""
    asked = [run for run in runs if start <= run.at < end]
    return sum(run.in_time for run in asked) / len(asked)


class StartTest(unittest.TestCase):
    """Nine entries in three regions of unlike size, all objects cold."""

    def test_most_requests_are_in_time_from_the_first_seconds_on(self) -> None:
        """Guards against objects that take their cold run once in every zone."""
        runs: list[Run] = []
        refused = 0
        for seed in SEEDS:
            load = FleetLoad(seed=seed)
            load.simulate(0.0, 6.0, PER_S)
            load.finish()
            runs += load.runs
            refused += load.refused
        self.assertLess(refused, MOST_REFUSED * len(runs))
        self.assertGreaterEqual(share(runs, 0.0, 2.0), FIRST_IN_TIME)
        self.assertGreaterEqual(share(runs, 4.0, 6.0), 0.95)

    def test_large_answers_stay_near(self) -> None:
        """Guards against links between regions that are filled by what could run at home."""
        load = FleetLoad(size=90_000)
        load.simulate(0.0, 14.0, PER_S / 2.0)
        load.finish()
        later = [run for run in load.runs if run.at >= 8.0]
        at_home = sum(run.region == run.home for run in later) / len(later)
        self.assertGreaterEqual(at_home, 0.8)


class RegionChangeTest(unittest.TestCase):
    """How fast requests of a region's callers move to other regions."""

    def test_no_region_moves_faster_than_the_cap(self) -> None:
        """Guards against overflow that leaves a small region at a start and comes back."""
        runs: list[Run] = []
        for seed in SEEDS:
            load = FleetLoad(seed=seed)
            load.simulate(0.0, 8.0, PER_S)
            load.simulate(8.0, 16.0, PER_S, {"west-0": 0.26, "north-0": 1.74})
            load.simulate(16.0, 20.0, PER_S)
            load.remove_zone("south-1")
            load.simulate(20.0, 26.0, PER_S)
            load.finish()
            runs += load.runs
        changes = region_changes(runs, SHIFT_WINDOW, 0.0, 26.0)
        worst = max(changes, key=lambda at: changes[at])
        self.assertLessEqual(changes[worst], SHIFT_CAP, worst)
        self.assertGreaterEqual(share(runs, 20.0, 26.0), 0.95, "a zone was lost")
