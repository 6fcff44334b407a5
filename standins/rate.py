"""A limit on calls per second."""

from dataclasses import dataclass

__all__ = ["RateLimit"]


@dataclass(slots=True)
class RateLimit:
    """A token bucket whose capacity is the number of calls per second."""

    per_s: float
    tokens: float = 0.0
    updated_at: float = float("-inf")

    def acquire(self, now: float) -> bool:
        """Take a token for one call; return False if none is left."""
        self.tokens = min(self.per_s, self.tokens + (now - self.updated_at) * self.per_s)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
