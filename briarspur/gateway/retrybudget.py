"""One entry's share of the retries that all entries together may send to a service."""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["BudgetUsage", "Retry", "RetryBudget"]

USED_SHARE = 0.8
"""Share of the allowance that is used; the remainder covers entries that are not known yet, and the
rounding of the entries' shares."""


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
    """The state of a budget.

    Attributes
    ----------
    requests, retries : int
        Requests that callers sent and retries that were allowed in the window.
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
    """Counts requests and retries of one service in a sliding window.

    A retry counts until a window after its arrival. If it counted from when it was sent, retries
    that servers or links hold up for seconds would arrive together with those of the next window.

    All entries together may retry ``ratio`` of the requests plus ``slack``. The ratio applies to
    each entry's own requests and the slack is divided by the number of entries, so the shares add
    up to the limit without any messages.

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
        self._requests: deque[float] = deque()
        self._retries: list[Retry] = []

    def request_arrived(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now)
        if len(self._requests) & 63 == 0:
            self._drop_expired(now)

    def take(self, now: float, entries: float, share: float = 1.0) -> Retry | None:
        """Count a retry and return it, or None if the budget does not allow it.

        Parameters
        ----------
        entries : float
            Number of entries that share the slack; infinite if this entry has no share.
        share : float
            Share of the allowance that this retry may use.
        """
        self._drop_expired(now)
        if len(self._retries) + 1 > share * self._allowed(entries) + self._rounding:
            return None
        retry = Retry()
        self._retries.append(retry)
        return retry

    def usage(self, now: float, entries: float) -> BudgetUsage:
        """Return the state of the budget."""
        self._drop_expired(now)
        unanswered = sum(retry.arrived_by > now for retry in self._retries)
        return BudgetUsage(
            len(self._requests), len(self._retries), unanswered, self._allowed(entries)
        )

    def _allowed(self, entries: float) -> float:
        return USED_SHARE * (self._ratio * len(self._requests) + self._slack / max(1, entries))

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
        self._retries = [retry for retry in self._retries if retry.arrived_by >= oldest]
