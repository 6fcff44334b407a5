"""Whether a customer's request lies within its quota, which holds over all entries together.

The load this answers: one customer sends many times its usual, spread over all entries, while each
entry alone sees a few of its requests and hears of the others' some tenths of a second late.

Each entry tells what it admitted of a customer in the last window. The sum over all entries, by the
latest news, says how much room the customer has left; the requests that are asked for say how soon
that room will be used up. While there is room for all that will be asked for within
:data:`HORIZON`, all are admitted; beyond, each entry admits the same share of its own, so that what
is admitted approaches the limit without passing it, however the requests are spread.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["SharedUse", "Quota", "forecast"]

HORIZON = 0.8
"""Seconds of requests for which there must be room if all are to be admitted."""
NEWS_DELAY = 0.4
"""Seconds by which the other entries' counts are taken to be old."""
RATE_SPAN = 0.5
"""Seconds over which the rate of what is asked for is taken."""
SHORTEST_RETRY_AFTER = 0.2
"""Seconds; by then news of all entries have come."""


@dataclass(frozen=True, slots=True)
class Quota:
    """What a customer may ask for, over all entries.

    Attributes
    ----------
    per_s, burst : float
        Requests per second, and those that may come at once beyond them.
    window : float
        Seconds over which requests are counted.
    """

    per_s: float
    burst: float
    window: float

    @property
    def limit(self) -> float:
        """Requests that may be admitted in any window."""
        return self.per_s * self.window + self.burst

    def part(self, share: float) -> "Quota":
        """Return a share of the quota."""
        if share >= 1.0:
            return self
        return Quota(self.per_s * share, self.burst * share, self.window)


def forecast(admitted: float, asked: float) -> float:
    """Return what will be admitted in a window soon if all that is asked for is admitted.

    Parameters
    ----------
    admitted : float
        Requests of the last window.
    asked : float
        Requests that came within :data:`RATE_SPAN`.
    """
    return admitted + asked / RATE_SPAN * HORIZON


class SharedUse:
    """What one entry knows of the use of a quota over all entries.

    Parameters
    ----------
    share : float
        Which share of what is asked for all entries are taken to admit at first.

    Attributes
    ----------
    elsewhere : int
        Requests that the other entries admitted in a window, by their latest news.
    asked_elsewhere : int
        Requests that were asked for at the other entries within :data:`RATE_SPAN`, by their news.
    """

    __slots__ = ("_admitted", "_asked", "_share", "asked_elsewhere", "elsewhere")

    def __init__(self, share: float = 1.0) -> None:
        self.elsewhere = 0
        self.asked_elsewhere = 0
        self._admitted: deque[float] = deque()
        self._asked: deque[float] = deque()
        self._share = share

    def admitted(self, now: float, window: float) -> int:
        """Return how many requests this entry admitted in the last window."""
        _drop_before(self._admitted, now - window)
        return len(self._admitted)

    def asked(self, now: float) -> int:
        """Return how many requests came to this entry within :data:`RATE_SPAN`."""
        _drop_before(self._asked, now - RATE_SPAN)
        return len(self._asked)

    def admit(self, quota: Quota, draw: float, now: float) -> bool:
        """Count a request, and tell whether it lies within the quota.

        Parameters
        ----------
        draw : float
            From 0 to 1, spread evenly over requests; the same for one request at every entry.
        """
        if not self.has_room(quota, draw, now):
            return False
        self.take(now)
        return True

    def has_room(self, quota: Quota, draw: float, now: float) -> bool:
        """Tell whether a request lies within the quota; it is counted as asked for only."""
        self._asked.append(now)
        self._share = self._admitted_share(quota, now)
        return draw < self._share

    def take(self, now: float) -> None:
        """Count a request as admitted."""
        self._admitted.append(now)

    def heard(self, change: int, asked: bool) -> None:
        """Take a change of what the others admitted, or of what they were asked for."""
        if asked:
            self.asked_elsewhere = max(0, self.asked_elsewhere + change)
        else:
            self.elsewhere = max(0, self.elsewhere + change)

    def not_run(self) -> None:
        """Take back a request that was admitted."""
        if self._admitted:
            self._admitted.pop()

    def retry_after(self, quota: Quota, now: float) -> float:
        """Return the seconds after which a refused request would lie within the quota."""
        asked = self.asked(now) + self.asked_elsewhere
        over = forecast(self._predicted(quota, now), asked) - quota.limit
        if over >= quota.per_s * quota.window:
            return quota.window
        return max(SHORTEST_RETRY_AFTER, over / quota.per_s)

    def _admitted_share(self, quota: Quota, now: float) -> float:
        room = quota.limit - self._predicted(quota, now)
        if room <= 0.0:
            return 0.0
        asked_per_s = (self.asked(now) + self.asked_elsewhere) / RATE_SPAN
        return min(1.0, room / (asked_per_s * HORIZON))

    def _predicted(self, quota: Quota, now: float) -> float:
        """Return what all entries admitted in the last window, as far as it can be known.

        What the others admitted since their news left them is taken from what is asked of them and
        from the share that this entry admits itself; what left the window meanwhile comes off.
        """
        since = self._share * self.asked_elsewhere / RATE_SPAN - self.elsewhere / quota.window
        return self.admitted(now, quota.window) + self.elsewhere + max(0.0, since * NEWS_DELAY)


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
