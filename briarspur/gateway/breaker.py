"""Circuit breaker: when a backend server that failed is tried again."""

__all__ = ["Breaker"]

MIN_PAUSE_S = 0.4
MAX_PAUSE_S = 4.0
"""Time without requests after a first failure, doubled by each further failure up to the maximum.

A crashed server is back after some seconds, and one that was only cut off may return at any time.
4 s bounds both the requests lost on trials (one per 4 s) and the delay until a return is detected.
"""
FAILURE_EXPIRY_S = 6.0
"""Time without a failure after which earlier failures no longer count or make a server suspected.
While another server is free, a suspected one gets no requests that can't be repeated. Without the
expiry, one lost answer put a server of a service that has only such requests permanently out of
use."""


class Breaker:
    """Blocks requests to a failing server, except for one trial request at a time."""

    __slots__ = ("_failed_at", "_failures", "_trial", "open_until")

    def __init__(self) -> None:
        self.open_until = 0.0
        self._failures = 0
        self._failed_at = float("-inf")
        self._trial = False

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if now < self.open_until:
            return False
        return not (self._failures and self._trial)

    def suspected(self, now: float) -> bool:
        """Return whether the last result of the server was a failure that has not expired."""
        return self._failures > 0 and now - self._failed_at <= FAILURE_EXPIRY_S

    def sent(self) -> None:
        """Record that a request was sent; after failures it is the trial."""
        if self._failures:
            self._trial = True

    def succeeded(self) -> None:
        """Record an answer; it closes the breaker."""
        self._failures = 0
        self._trial = False
        self.open_until = 0.0

    def trial_ended(self) -> None:
        """Record that a request ended with neither a success nor a failure of the server."""
        self._trial = False

    def failed(self, now: float) -> None:
        """Record a failure of the server; failures while the breaker is open count once."""
        self._trial = False
        if now < self.open_until:
            return
        if now - self._failed_at > FAILURE_EXPIRY_S:
            self._failures = 0
        pause = min(MAX_PAUSE_S, MIN_PAUSE_S * 2.0**self._failures)
        self._failures += 1
        self._failed_at = now
        self.open_until = now + pause
