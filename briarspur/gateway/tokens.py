"""Token buckets, for rates whose shares of all entries add up to one limit."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A rate with a burst.

    Parameters
    ----------
    per_s : float
        Tokens that come back per second.
    burst : float
        Tokens that are held at most, and at first.
    """

    __slots__ = ("_at", "_tokens", "burst", "per_s")

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self._tokens = burst
        self._at = now

    def available(self, now: float) -> float:
        """Return how many tokens are there."""
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self.per_s)
        self._at = now
        return self._tokens

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        if self.available(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True
