"""One entry's share of the retries that a service bears from all entries together."""

from collections import deque

__all__ = ["RetryBudget"]

HEADROOM = 0.8
"""Share of the allowance that is used; the rest covers entries that are not known yet."""


class RetryBudget:
    """Counts requests and retries of one service in a sliding window.

    Over all entries retries may reach ``ratio`` of the requests plus ``slack``. The ratio applies
    to each entry's own requests and the slack is divided by the number of entries, so the shares
    add up to the limit and no message is needed.
    """

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def request_arrived(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        if len(self._requests) & 63 == 0:
            _drop_before(self._requests, now - self._window)

    def take(self, now: float, entries: int, share: float = 1.0) -> bool:
        """Count a retry if there is room for it; ``share`` of the allowance may be used."""
        _drop_before(self._requests, now - self._window)
        _drop_before(self._retries, now - self._window)
        allowance = self._ratio * len(self._requests) + self._slack / max(1, entries)
        if len(self._retries) + 1 > HEADROOM * share * allowance:
            return False
        self._retries.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
