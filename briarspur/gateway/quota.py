"""Decides whether a customer's request is within its quota, which applies to all entries together.

This covers the case where one customer sends many times its usual load, spread over all entries.
Each entry alone sees only a few of these requests, and receives the others' counts some tenths of a
second late.

Each entry reports how many of a customer's requests it admitted in the last window. The sum over
all entries, by the latest reports, shows how much room the customer has left; the rate of offered
requests (admitted or not) shows how soon that room will be used up. While there is room for all
requests that will be offered within :data:`HORIZON_S`, all of them are admitted. Beyond that, each
entry admits the same share of its own requests, so that the admitted total approaches the limit
without exceeding it, however the requests are spread.
"""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["RATE_WINDOW_S", "Allowance", "Quota", "SharedUsage", "forecast"]

HORIZON_S = 0.8
"""There must be room for the requests of this time if all of them are to be admitted."""
NEWS_DELAY_S = 0.4
"""Assumed age of the other entries' counts."""
RATE_WINDOW_S = 0.5
"""Time over which the rate of offered requests is computed."""
MIN_RETRY_AFTER_S = 0.2
"""By then, news from all entries have arrived."""


@dataclass(frozen=True, slots=True)
class Quota:
    """The quota of a customer over all entries.

    Attributes
    ----------
    per_s, burst : float
        Requests per second, and how many requests beyond them may arrive in a burst.
    window : float
        Seconds over which requests are counted.
    """

    per_s: float
    burst: float
    window: float

    @property
    def limit(self) -> float:
        """Maximum number of requests that may be admitted in any window."""
        return self.per_s * self.window + self.burst

    def scaled(self, share: float) -> "Quota":
        """Return a share of the quota."""
        if share >= 1.0:
            return self
        return Quota(self.per_s * share, self.burst * share, self.window)


@dataclass(frozen=True, slots=True)
class Allowance:
    """What all entries together may admit of a customer at present.

    Attributes
    ----------
    quota : Quota
        The quota in force, which may be a part of the customer's quota.
    min_offered_per_s : float
        Requests per second to expect while the other entries' counts may be missing.
    horizon : float
        Seconds for whose requests there must be room if all of them are to be admitted.
    ends_in : float
        Seconds until more may be admitted.
    """

    quota: Quota
    min_offered_per_s: float = 0.0
    horizon: float = HORIZON_S
    ends_in: float = math.inf


def forecast(admitted: float, offered: float) -> float:
    """Return how many requests a window will soon have if all offered requests are admitted.

    Parameters
    ----------
    admitted : float
        Requests admitted in the last window.
    offered : float
        Requests that arrived within :data:`RATE_WINDOW_S`.
    """
    return admitted + offered / RATE_WINDOW_S * HORIZON_S


class SharedUsage:
    """The usage of a quota over all entries, as known to one entry.

    Parameters
    ----------
    share : float
        Initial assumption of the share of offered requests that each entry admits.

    Attributes
    ----------
    elsewhere : int
        Requests that the other entries admitted in a window, by their latest news.
    offered_elsewhere : int
        Requests that arrived at the other entries within :data:`RATE_WINDOW_S`, by their latest
        news.
    """

    __slots__ = ("_admitted", "_offered", "_share", "elsewhere", "offered_elsewhere")

    def __init__(self, share: float = 1.0) -> None:
        self.elsewhere = 0
        self.offered_elsewhere = 0
        self._admitted: deque[float] = deque()
        self._offered: deque[float] = deque()
        self._share = share

    def admitted(self, now: float, window: float) -> int:
        """Return how many requests this entry admitted in the last window."""
        _drop_before(self._admitted, now - window)
        return len(self._admitted)

    def offered(self, now: float) -> int:
        """Return how many requests arrived at this entry within :data:`RATE_WINDOW_S`."""
        _drop_before(self._offered, now - RATE_WINDOW_S)
        return len(self._offered)

    def admit(self, allowance: Allowance, draw: float, now: float) -> bool:
        """Count a request, and return whether it is within the quota.

        Parameters
        ----------
        draw : float
            From 0 to 1, uniformly distributed over requests; the same for one request at every
            entry.
        """
        if not self.has_room(allowance, draw, now):
            return False
        self.record_admitted(now)
        return True

    def has_room(self, allowance: Allowance, draw: float, now: float) -> bool:
        """Return whether a request is within the quota; count it as offered only."""
        self._offered.append(now)
        self._share = self._admitted_share(allowance, now)
        return draw < self._share

    def record_admitted(self, now: float) -> None:
        """Count a request as admitted."""
        self._admitted.append(now)

    def received(self, change: int, is_offered: bool) -> None:
        """Apply a change of how many requests the other entries admitted, or were offered."""
        if is_offered:
            self.offered_elsewhere = max(0, self.offered_elsewhere + change)
        else:
            self.elsewhere = max(0, self.elsewhere + change)

    def refund(self, admitted_at: float) -> None:
        """Uncount a request that was admitted at a time, if it still counts."""
        if admitted_at in self._admitted:
            self._admitted.remove(admitted_at)

    def retry_after(self, allowance: Allowance, now: float) -> float:
        """Return the seconds after which a refused request would be within the quota."""
        quota = allowance.quota
        offered = self.offered(now) + self.offered_elsewhere
        excess = forecast(self._predicted(quota, now), offered) - quota.limit
        seconds = quota.window
        if excess < quota.per_s * quota.window:
            seconds = excess / quota.per_s
        return max(MIN_RETRY_AFTER_S, min(seconds, allowance.ends_in))

    def _admitted_share(self, allowance: Allowance, now: float) -> float:
        quota = allowance.quota
        room = quota.limit - self._predicted(quota, now)
        if room <= 0.0:
            return 0.0
        offered_per_s = (self.offered(now) + self.offered_elsewhere) / RATE_WINDOW_S
        expected_per_s = max(offered_per_s, allowance.min_offered_per_s)
        return min(1.0, room / (expected_per_s * allowance.horizon))

    def _predicted(self, quota: Quota, now: float) -> float:
        """Estimate how many requests all entries admitted in the last window.

        What the other entries admitted since they sent their news is estimated from the rate
        offered to them and the share that this entry admits itself, less the requests that left the
        window in the meantime.
        """
        since = self._share * self.offered_elsewhere / RATE_WINDOW_S - self.elsewhere / quota.window
        return self.admitted(now, quota.window) + self.elsewhere + max(0.0, since * NEWS_DELAY_S)


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
