"""Latency histograms with fixed bounds, as the usual scrapers read them."""

from bisect import bisect_left

__all__ = ["BOUNDS", "Histogram"]

BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0)
"""Upper bounds in seconds: the users' goals and timeouts lie between 0.15 and 9 s."""


class Histogram:
    """Counts durations by bound."""

    __slots__ = ("counts", "sum")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS) + 1)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.sum += seconds
