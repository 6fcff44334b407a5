"""When a backend server that failed is tried again."""

__all__ = ["Breaker"]

FIRST_PAUSE = 0.4
LONGEST_PAUSE = 4.0
"""Seconds without requests after a first failure, doubled by each further one up to the longest.

A crashed server is back after some seconds and one that is only cut off may return at any time; 4 s
bounds both what is lost on trials (one in 4 s) and how late a return is seen.
"""
LAPSE = 6.0
"""Seconds without a failure after which earlier ones no longer count, nor make a server suspected.
A suspected server gets no request that can't be repeated while another one is free, and a service
with no other requests never sent it one again: one lost answer put it out of use for good."""


class Breaker:
    """Keeps requests away from a server that fails, and lets one through from time to time."""

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
        """Tell whether the last that was seen of the server is a failure, and that was lately."""
        return self._failures > 0 and now - self._failed_at <= LAPSE

    def sent(self) -> None:
        """Note a request; after failures it is the one trial."""
        if self._failures:
            self._trial = True

    def succeeded(self) -> None:
        """Note an answer."""
        self._failures = 0
        self._trial = False
        self.open_until = 0.0

    def trial_ended(self) -> None:
        """Note that a request ended without telling anything about the server."""
        self._trial = False

    def failed(self, now: float) -> None:
        """Note a failure that speaks against the server."""
        self._trial = False
        if now < self.open_until:
            return
        if now - self._failed_at > LAPSE:
            self._failures = 0
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**self._failures)
        self._failures += 1
        self._failed_at = now
        self.open_until = now + pause
