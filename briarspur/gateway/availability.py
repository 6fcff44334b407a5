"""Whether the store answers anybody, as far as this entry knows."""

import logging

from briarspur import logs

__all__ = ["StoreAvailability"]

OUTAGE = 1.6
"""Seconds without an answer to anybody from which the store counts as away. Readers ask it every
1.1 s, and registrations lapse after three renewals, 1 s apart or more, have failed."""


class StoreAvailability:
    """Keeps the latest moment at which the store is known to have answered any entry.

    The belief belongs to nobody's own calls. An entry that lost the store in a cut, and then left
    reading to others, never called it again; it took the store as away for as long as it ran, held
    every vanished registration back, and sent to servers 2.7 s after they had left. Now what others
    say of their reads ends the belief as well as an answer of its own.

    Attributes
    ----------
    returned_at : float
        When the store answered again after its last outage; minus infinity if there was none.
    """

    def __init__(self) -> None:
        self.returned_at = float("-inf")
        self._answered_at = float("-inf")
        self._told_away = False

    def answered(self, at: float) -> None:
        """Note that the store answered this entry or another one at a moment."""
        if at <= self._answered_at:
            return
        gap = at - self._answered_at
        if OUTAGE < gap < float("inf"):
            self.returned_at = at
            logs.event("store-back", away_s=f"{gap:.3f}")
        self._answered_at = at
        self._told_away = False

    def is_away(self, now: float) -> bool:
        """Return whether nobody is known to have had an answer lately."""
        return OUTAGE < now - self._answered_at < float("inf")

    def tick(self, now: float) -> None:
        """Log the start of an outage."""
        if self.is_away(now) and not self._told_away:
            self._told_away = True
            logs.event("store-away", logging.WARNING, unanswered_s=f"{now - self._answered_at:.3f}")
