"""One entry's share of the retries that all entries together may send to a service."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["BudgetUsage", "Retry", "RetryBudget"]

USED_SHARE = 0.8
"""Share of the allowance that is used; the remainder covers entries that are not known yet, and the
rounding of the entries' shares."""
BUCKETS = 20
"""Parts of a window in which requests are counted."""


@dataclass(slots=True, eq=False)
class Retry:
    """A retry that a budget allowed.

    Attributes
    ----------
    arrived_by : float
        When every attempt of its request has reached a server, or never will, in seconds on the
        clock of ``now``; infinite while one is unanswered, minus infinity if none was sent.
    """

    arrived_by: float = math.inf


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """The state of a budget in one window.

    Attributes
    ----------
    requests : int
        Requests that callers sent in the window and in the one before.
    retries : int
        Retries that were allowed in the window.
    unanswered : int
        Those of the retries that may not have arrived at a server yet.
    allowed : float
        Retries that the budget allows in the window.
    """

    requests: int
    retries: int
    unanswered: int
    allowed: float

    def __str__(self) -> str:
        return (
            f"{self.retries} of {self.allowed:.1f} retries used for {self.requests} requests, "
            f"{self.unanswered} unanswered"
        )


class RetryBudget:
    """Counts requests and retries of one service in sliding windows.

    A retry counts until a window after its arrival. If it counted from when it was sent, retries
    that servers or links hold up for seconds would arrive together with those of the next window.

    All entries together may retry ``ratio`` of the requests plus ``slack``. The ratio applies to
    each entry's own requests and the slack is divided by the number of entries, so the shares add
    up to the limit without any messages.

    A retry has to fit into every window that contains it. In a window, the ratio applies to the
    mean of the requests in it and in the one before. Such a mean can be added up over processes,
    also where one of them ends and another one receives the later requests.

    Parameters
    ----------
    window : float
        Length of the window in seconds.
    rounding : float
        From 0 to 1, uniformly distributed over entries: what is added to this entry's share before
        it is rounded down. Without it, shares below one retry would never allow any.
    """

    def __init__(self, ratio: float, window: float, slack: float, rounding: float = 0.0) -> None:
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._rounding = rounding
        self._requests_by_bucket: Counter[int] = Counter()
        self._retries: list[Retry] = []

    def request_arrived(self, now: float) -> None:
        """Count a request that a caller sent."""
        bucket = self._bucket(now)
        if bucket not in self._requests_by_bucket:
            self._drop_buckets(bucket)
        self._requests_by_bucket[bucket] += 1

    def take(self, now: float, entries: float, share: float = 1.0) -> Retry | None:
        """Count a retry and return it, or None if the budget does not allow it.

        Parameters
        ----------
        entries : float
            Number of entries that share the slack; infinite if this entry has no share.
        share : float
            Share of the allowance that this retry may use.
        """
        for _, retries, allowed in self._windows(now, entries):
            if retries + 1 > share * allowed + self._rounding:
                return None
        retry = Retry()
        self._retries.append(retry)
        return retry

    def usage(self, now: float, entries: float) -> BudgetUsage:
        """Return the state of the budget in the window that allows the fewest further retries."""
        requests, retries, allowed = min(
            self._windows(now, entries), key=lambda window: window[2] - window[1]
        )
        unanswered = sum(retry.arrived_by > now for retry in self._retries)
        return BudgetUsage(requests, retries, unanswered, allowed)

    def _windows(self, now: float, entries: float) -> Iterator[tuple[int, int, float]]:
        """Yield requests, retries and allowed retries of the windows that contain a time.

        The windows that begin within one bucket are taken together: with the retries since the
        bucket's start, and the requests since its end less a window.
        """
        oldest = now - self._window
        self._retries = [retry for retry in self._retries if retry.arrived_by >= oldest]
        arrivals = sorted(retry.arrived_by for retry in self._retries)
        slack = self._slack / max(1, entries)
        last = self._bucket(now)
        self._drop_buckets(last)
        counts = self._requests_by_bucket
        requests = counts.total()
        for start in range(last - BUCKETS, last + 1):
            requests -= counts[start - BUCKETS]
            since = start * self._window / BUCKETS
            retries = len(arrivals) - bisect_left(arrivals, since)
            yield requests, retries, USED_SHARE * (self._ratio * requests / 2.0 + slack)

    def _bucket(self, at: float) -> int:
        return math.floor(at * BUCKETS / self._window)

    def _drop_buckets(self, last: int) -> None:
        """Drop the requests that windows which contain the bucket don't refer to."""
        oldest = last - 2 * BUCKETS
        for bucket in [bucket for bucket in self._requests_by_bucket if bucket < oldest]:
            del self._requests_by_bucket[bucket]
