"""Pacing of the traffic on a link into a data centre, with a share reserved for small responses."""

from briarspur.messages import Priority

__all__ = ["LinkPacer"]

BURST_S = 0.25
"""Maximum burst after idle time, in seconds of transmission at the rate."""


class LinkPacer:
    """Paces the traffic of one entry on one link.

    Uses two token buckets whose balance may become negative. Downloads and bulk traffic are
    charged to both and are limited to their part of the rate; small responses are charged only to
    the bucket of the full rate, so downloads never use up the reserved part. Each entry stays
    within its own share of the link, without measuring the link's load: lost or late measurements
    can't push the link over its limit.

    Parameters
    ----------
    rate : float
        This entry's share of the link, bytes/s.
    small_share : float
        Part of the rate reserved for small responses, 0 to 1.
    """

    def __init__(self, rate: float, small_share: float, now: float) -> None:
        self._full = _Bucket(rate, now)
        self._large = _Bucket(rate * (1 - small_share), now)

    def charge(self, priority: Priority, size: int, now: float) -> float:
        """Charge ``size`` bytes that were just sent; return the sender's pause in seconds."""
        pause = self._full.charge(size, now)
        if priority >= Priority.DOWNLOAD:
            return max(pause, self._large.charge(size, now))
        return pause

    def backlog(self, priority: Priority, now: float) -> float:
        """Return the seconds until the rate covers the bytes already charged."""
        bucket = self._large if priority >= Priority.DOWNLOAD else self._full
        return bucket.backlog(now)

    def set_rate(self, rate: float, small_share: float, now: float) -> None:
        """Change the rate and the reserved part; the backlog remains."""
        self._full.set_rate(rate, now)
        self._large.set_rate(rate * (1 - small_share), now)


class _Bucket:
    """A token bucket whose balance may become negative."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = max(rate, 1.0)
        self._tokens = self._rate * BURST_S
        self._refilled_at = now

    def charge(self, size: int, now: float) -> float:
        self._refill(now)
        self._tokens -= size
        return max(0.0, -self._tokens / self._rate)

    def backlog(self, now: float) -> float:
        self._refill(now)
        return max(0.0, -self._tokens / self._rate)

    def set_rate(self, rate: float, now: float) -> None:
        self._refill(now)
        self._rate = max(rate, 1.0)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self._rate * BURST_S, self._tokens + elapsed * self._rate)
