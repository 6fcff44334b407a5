"""What other entries said of their free slots, corrected by what was sent to them since."""

from dataclasses import dataclass

__all__ = ["LoadReport", "Loads"]

REPORT_LIFETIME = 5.0
"""Seconds after which a report says nothing any more."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Free slots of one entry for one service, and the requests that wait for them there."""

    entry_id: str
    service: str
    free_slots: int
    queued: int


@dataclass(slots=True)
class _Known:
    free: float
    at: float
    sent: int = 0


class Loads:
    """Free slots of other entries, by entry and service.

    A missing or old report is not taken for an idle entry: it counts as one free slot, so that
    the entry is tried, but after those that are known to have room.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], _Known] = {}

    def learn(self, report: LoadReport, now: float) -> None:
        """Take a report; it replaces the former one."""
        free = report.free_slots - report.queued
        self._known[report.entry_id, report.service] = _Known(free, now)

    def sent(self, entry_id: str, service: str) -> None:
        """Count a request that was just sent there."""
        known = self._known.get((entry_id, service))
        if known is not None:
            known.sent += 1

    def ended(self, entry_id: str, service: str) -> None:
        """Count the end of a request that was sent there."""
        known = self._known.get((entry_id, service))
        if known is not None and known.sent > 0:
            known.sent -= 1

    def free(self, entry_id: str, service: str, now: float) -> float:
        """Return the estimate of free slots, below 0 if requests wait there."""
        known = self._known.get((entry_id, service))
        if known is None or now - known.at > REPORT_LIFETIME:
            return 1.0
        return known.free - known.sent
