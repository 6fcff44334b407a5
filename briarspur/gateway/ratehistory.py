"""The history of a changing rate, and its mean over a window."""

from collections import deque

__all__ = ["RateHistory"]


class RateHistory:
    """Records the values of a rate within a window.

    Parameters
    ----------
    window : float
        Length of the window in seconds.
    """

    __slots__ = ("_steps", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._steps: deque[tuple[float, float]] = deque()

    def begin(self, per_s: float, at: float) -> None:
        """Start with a rate; before that it was zero."""
        self._steps.clear()
        self._steps.append((at, per_s))

    def change(self, per_s: float, at: float) -> None:
        """Change the rate from a given time on."""
        self._steps.append((at, per_s))

    def mean(self, now: float) -> float:
        """Return the mean rate over the window."""
        oldest = now - self._window
        steps = self._steps
        while len(steps) > 1 and steps[1][0] <= oldest:
            steps.popleft()
        allowed, end = 0.0, now
        for at, per_s in reversed(steps):
            allowed += per_s * max(0.0, end - max(at, oldest))
            end = min(end, at)
        return allowed / self._window
