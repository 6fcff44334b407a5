"""The maximum that a number had within a time window."""

__all__ = ["WindowMaximum"]


class WindowMaximum:
    """Remembers for the length of a window what a number was before it became smaller.

    Parameters
    ----------
    window : float
        Length of the window in seconds.
    """

    __slots__ = ("_former", "_window", "current")

    def __init__(self, window: float, value: int) -> None:
        self._window = window
        self.current = value
        self._former: list[tuple[float, int]] = []

    def set(self, value: int, now: float) -> None:
        """Change the number."""
        if value < self.current:
            self._former.append((now, self.current))
        self.current = value

    def get(self, now: float) -> int:
        """Return the largest value that the number had within the last window."""
        self._former = [
            (until, value)
            for until, value in self._former
            if until > now - self._window and value > self.current
        ]
        return max((value for _, value in self._former), default=self.current)
