"""Token buckets, for rate limits that are divided among the entries."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A token bucket.

    Parameters
    ----------
    per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, which is full at first.
    """

    __slots__ = ("_at", "_tokens", "burst", "per_s")

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self._tokens = burst
        self._at = now

    def available(self, now: float) -> float:
        """Return the number of available tokens."""
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self.per_s)
        self._at = now
        return self._tokens

    def take(self, now: float) -> bool:
        """Take one token if available; return whether it was."""
        if self.available(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def cap(self, tokens: float, now: float) -> None:
        """Leave at most this number of tokens in the bucket."""
        self._tokens = min(self.available(now), tokens)
