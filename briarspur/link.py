"""Byte rates on the links into the data centres: pacing by share, a part kept for small answers."""

from briarspur.messages import Priority

__all__ = ["LinkPacer"]

BURST_S = 0.25
"""Seconds of the rate that may pass at once after the link was idle."""


class LinkPacer:
    """Paces the bytes of one entry on one link.

    Two token buckets that may go into debt. Downloads and bulk draw on their part of the rate;
    small answers draw on the whole rate, and so find the kept part free whatever downloads do.
    Each entry paces within its own share and nobody measures the link, so lost or late
    measurements cannot push it over its limit.

    Parameters
    ----------
    rate : float
        This entry's share of the link, bytes/s.
    small_share : float
        Part of the rate that downloads never use, 0 to 1.
    """

    def __init__(self, rate: float, small_share: float, now: float) -> None:
        self._whole = _Bucket(rate, now)
        self._large = _Bucket(rate * (1 - small_share), now)

    def charge(self, priority: Priority, size: int, now: float) -> float:
        """Count ``size`` bytes that have just passed; return the seconds to pause the sender."""
        pause = self._whole.take(size, now)
        if priority >= Priority.DOWNLOAD:
            return max(pause, self._large.take(size, now))
        return pause

    def backlog(self, priority: Priority, now: float) -> float:
        """Return the seconds until the bytes already counted are paid for."""
        bucket = self._large if priority >= Priority.DOWNLOAD else self._whole
        return bucket.debt(now)

    def set_rate(self, rate: float, small_share: float, now: float) -> None:
        """Change the share, keeping what is owed."""
        self._whole.set_rate(rate, now)
        self._large.set_rate(rate * (1 - small_share), now)


class _Bucket:
    """A token bucket that may go into debt."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = max(rate, 1.0)
        self._tokens = self._rate * BURST_S
        self._at = now

    def take(self, size: int, now: float) -> float:
        self._refill(now)
        self._tokens -= size
        return max(0.0, -self._tokens / self._rate)

    def debt(self, now: float) -> float:
        self._refill(now)
        return max(0.0, -self._tokens / self._rate)

    def set_rate(self, rate: float, now: float) -> None:
        self._refill(now)
        self._rate = max(rate, 1.0)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._tokens = min(self._rate * BURST_S, self._tokens + elapsed * self._rate)
