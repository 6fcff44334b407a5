"""Retry budget: retries stay a fixed part of first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that first attempts fill and retries empty; one for each service.

    After ``n`` first attempts, at most ``burst + share * n`` retries were allowed, so retries can't
    multiply the load on servers that already fail.

    Parameters
    ----------
    share : float
        Tokens that a first attempt adds; 0.1 allows one retry in ten requests.
    burst : float
        Most tokens kept; also those at the start.
    """

    def __init__(self, share: float, burst: float = 5.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that could be taken now."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Take a new share, from a new policy."""
        self._share = share

    def first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry; False if the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
