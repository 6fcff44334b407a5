"""Whether the store answers anybody, as far as this entry knows."""

import logging

from briarspur import logs

__all__ = ["StoreAvailability"]

OUTAGE = 2.6
"""Seconds without an answer to anybody from which the store counts as away. Two readers that are
cut off are replaced after 1.2 s, and the first call of the others takes up to 0.7 s: that gap is no
outage. When it counted as one, each entry held a server that had left for 2.2 s, and callers'
requests reached it 2.55 s after the store had acknowledged that. Registrations lapse once three
renewals, 1.5 s apart, have failed, which takes an outage of 3 s."""


STOOD_STILL = 1.0
"""Seconds between two looks of this process, 0.25 s apart as a rule, from which it was stopped."""


class StoreAvailability:
    """Keeps the latest moment at which the store is known to have answered any entry.

    The belief belongs to nobody's own calls. An entry that lost the store in a cut, and then left
    reading to others, never called it again; it took the store as away for as long as it ran, held
    every vanished registration back, and sent to servers 2.7 s after they had left. Now what others
    say of their reads ends the belief as well as an answer of its own.

    Time in which this process itself stood still says nothing of the store: an entry that had been
    stopped for 3 s took that for an outage, held each server that had left meanwhile for 2.2 s, and
    let go of it 5.2 s after the other entries had.

    Attributes
    ----------
    returned_at : float
        When the store answered again after its last outage; minus infinity if there was none.
    """

    def __init__(self) -> None:
        self.returned_at = float("-inf")
        self._answered_at = float("-inf")
        self._looked_at = float("inf")
        self._told_away = False

    def answered(self, at: float, now: float) -> None:
        """Note that the store answered this entry or another one at a moment."""
        self._look(now)
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
        self._look(now)
        if self.is_away(now) and not self._told_away:
            self._told_away = True
            logs.event("store-away", logging.WARNING, unanswered_s=f"{now - self._answered_at:.3f}")

    def _look(self, now: float) -> None:
        stopped = now - self._looked_at
        if stopped > STOOD_STILL:
            self._answered_at += stopped
            logs.event("stood-still", logging.WARNING, seconds=f"{stopped:.3f}")
        self._looked_at = now
