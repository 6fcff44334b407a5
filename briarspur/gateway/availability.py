"""Tracks whether the store answers any entry, as far as this entry knows."""

import logging

from briarspur import logs

__all__ = ["StoreAvailability"]

MIN_OUTAGE_S = 2.6
"""Time without a response to any entry after which the store is considered unavailable. Two readers
that are cut off are replaced after 1.2 s, and the first call of the others takes up to 0.7 s; that
gap is no outage. If it were treated as one, each entry would hold the removal of a departed server
for 2.2 s, and requests would reach the server up to 2.55 s after the store acknowledged its
departure. Registrations lapse once three renewals, 1.5 s apart, have failed, which takes an outage
of 3 s."""

MIN_STALL_S = 1.0
"""Time between two checks from which this process is assumed to have been stopped; checks normally
run every 0.25 s."""


class StoreAvailability:
    """Tracks the latest time at which the store is known to have answered any entry.

    The state does not depend on this entry's own calls alone. An entry that lost the store in a
    network partition, and then left reading to others, would not call it again. It would consider
    the store unavailable for as long as it runs, hold every removal, and send requests to servers
    2.7 s after they had left. Therefore the reads that other entries report end an outage as well
    as a response to this entry.

    Time in which this process itself was stopped says nothing about the store: an entry that was
    stopped for 3 s would treat this as an outage, hold the removal of each server that left
    meanwhile for 2.2 s, and so remove it 5.2 s later than the other entries.

    Attributes
    ----------
    returned_at : float
        When the store answered again after its last outage; minus infinity if there was none.
    """

    def __init__(self) -> None:
        self.returned_at = float("-inf")
        self._answered_at = float("-inf")
        self._checked_at = float("inf")
        self._outage_logged = False

    def answered(self, at: float, now: float) -> None:
        """Record that the store answered this entry or another one at a given time."""
        self._check_stall(now)
        if at <= self._answered_at:
            return
        gap = at - self._answered_at
        if MIN_OUTAGE_S < gap < float("inf"):
            self.returned_at = at
            logs.event("store-back", away_s=f"{gap:.3f}")
        self._answered_at = at
        self._outage_logged = False

    def is_away(self, now: float) -> bool:
        """Return whether no entry is known to have received a response recently."""
        return MIN_OUTAGE_S < now - self._answered_at < float("inf")

    def tick(self, now: float) -> None:
        """Check the state, and log the start of an outage."""
        self._check_stall(now)
        if self.is_away(now) and not self._outage_logged:
            self._outage_logged = True
            logs.event("store-away", logging.WARNING, unanswered_s=f"{now - self._answered_at:.3f}")

    def _check_stall(self, now: float) -> None:
        stopped = now - self._checked_at
        if stopped > MIN_STALL_S:
            self._answered_at += stopped
            logs.event("stood-still", logging.WARNING, seconds=f"{stopped:.3f}")
        self._checked_at = now
