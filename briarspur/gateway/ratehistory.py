"""A rate that changes, and what it allowed over the last seconds."""

from collections import deque

__all__ = ["RateHistory"]


class RateHistory:
    """The values that a rate has had within a window.

    Parameters
    ----------
    window : float
        Seconds that are looked back.
    """

    __slots__ = ("_steps", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._steps: deque[tuple[float, float]] = deque()

    def begin(self, per_s: float, at: float) -> None:
        """Start at a rate; nothing was allowed before."""
        self._steps.clear()
        self._steps.append((at, per_s))

    def change(self, per_s: float, at: float) -> None:
        """Take another rate from now on."""
        self._steps.append((at, per_s))

    def mean(self, now: float) -> float:
        """Return what was allowed over the window, per second of it."""
        oldest = now - self._window
        steps = self._steps
        while len(steps) > 1 and steps[1][0] <= oldest:
            steps.popleft()
        allowed, end = 0.0, now
        for at, per_s in reversed(steps):
            allowed += per_s * max(0.0, end - max(at, oldest))
            end = min(end, at)
        return allowed / self._window
