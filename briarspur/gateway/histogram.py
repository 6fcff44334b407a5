"""Latency histograms with fixed bucket bounds, as Prometheus scrapers expect."""

from bisect import bisect_left

__all__ = ["BUCKET_BOUNDS_S", "Histogram"]

BUCKET_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    4.0,
    6.0,
    10.0,
)
"""Upper bounds of the buckets; the latency goals and timeouts of users are from 0.15 to 9 s."""


class Histogram:
    """Counts durations by bucket.

    Attributes
    ----------
    counts : list of int
        Durations in each bucket, not cumulative; the last bucket has no upper bound.
    sum : float
        Total of the durations in seconds.
    """

    __slots__ = ("counts", "sum")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.sum += seconds
