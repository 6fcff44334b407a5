"""Retry budget: limits retries to a fixed share of first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that first attempts fill and retries drain; one for each service.

    Over ``n`` first attempts, it allows at most ``burst + share * n`` retries, so retries can't
    multiply the load on servers that already fail.

    Parameters
    ----------
    share : float
        Tokens that each first attempt adds; 0.1 allows one retry in ten requests.
    burst : float
        Maximum number of tokens, and their number at the start.
    """

    def __init__(self, share: float, burst: float = 5.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Number of tokens left; each retry takes one."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Set the share, after a change of policy."""
        self._share = share

    def record_first_attempt(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take the token for one retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
