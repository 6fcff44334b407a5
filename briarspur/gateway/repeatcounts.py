"""Counts of the attempts that follow the first one of a request, by their reason."""

from collections import Counter
from enum import Enum

from briarspur import logs

__all__ = ["RepeatCounts", "RepeatReason"]

LOG_INTERVAL_S = 1.0


class RepeatReason(Enum):
    """Why another attempt of a request was made."""

    FAILED = "failed"
    HEDGE = "hedge"
    UNSENT = "unsent"
    """Nothing of the attempts before was sent, so the retry budget isn't charged."""


class RepeatCounts:
    """Counts further attempts by service and reason, and logs them once a second at most.

    Attributes
    ----------
    by_service : dict
        Counts since the start by service, and in them by the reason's value.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, Counter[str]] = {}
        self._unlogged_by_service: dict[str, Counter[str]] = {}
        self._logged_at = float("-inf")

    def record(self, service: str, reason: RepeatReason, now: float) -> None:
        """Count an attempt; ``now`` is in seconds."""
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log()
            self._logged_at = now
        for counts in (self.by_service, self._unlogged_by_service):
            counts.setdefault(service, Counter())[reason.value] += 1

    def _log(self) -> None:
        for service, counts in sorted(self._unlogged_by_service.items()):
            logs.event("attempts-repeated", service=service, **counts)
        self._unlogged_by_service.clear()
