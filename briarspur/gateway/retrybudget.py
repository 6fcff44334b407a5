"""One entry's share of the retries that all entries together may send to a service."""

from collections import deque

__all__ = ["RetryBudget"]

USED_SHARE = 0.8
"""Share of the allowance that is used; the remainder covers entries that are not known yet."""


class RetryBudget:
    """Counts requests and retries of one service in a sliding window.

    All entries together may retry ``ratio`` of the requests plus ``slack``. The ratio applies to
    each entry's own requests and the slack is divided by the number of entries, so the shares add
    up to the limit without any messages.

    Parameters
    ----------
    window : float
        Length of the window in seconds.
    """

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def request_arrived(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now)
        if len(self._requests) & 63 == 0:
            _drop_before(self._requests, now - self._window)

    def take(self, now: float, entries: int, share: float = 1.0) -> bool:
        """Count a retry and return whether the budget allows it.

        Parameters
        ----------
        entries : int
            Number of entries that share the slack.
        share : float
            Share of the allowance that this retry may use.
        """
        _drop_before(self._requests, now - self._window)
        _drop_before(self._retries, now - self._window)
        allowance = self._ratio * len(self._requests) + self._slack / max(1, entries)
        if len(self._retries) + 1 > USED_SHARE * share * allowance:
            return False
        self._retries.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
