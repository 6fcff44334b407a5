"""Estimates of other entries' free slots from their reports and the requests sent since."""

from dataclasses import dataclass

__all__ = ["LoadEstimates", "LoadReport"]

REPORT_LIFETIME_S = 5.0
"""Age after which a report is ignored."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Free slots of one entry for one service, and the number of requests that wait there."""

    entry_id: str
    service: str
    free_slots: int
    queued: int


@dataclass(slots=True)
class _Estimate:
    free: float
    received_at: float
    sent: int = 0


class LoadEstimates:
    """Estimated free slots of other entries, by entry and service.

    An entry without a recent report isn't assumed to be idle. It counts as having one free slot,
    so that it is tried, but after entries that are known to have free slots.
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], _Estimate] = {}

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report, which replaces the previous one."""
        free = report.free_slots - report.queued
        self._estimates[report.entry_id, report.service] = _Estimate(free, now)

    def record_sent(self, entry_id: str, service: str) -> None:
        """Count a request that was just sent to an entry."""
        estimate = self._estimates.get((entry_id, service))
        if estimate is not None:
            estimate.sent += 1

    def record_ended(self, entry_id: str, service: str) -> None:
        """Count the end of a request that was sent to an entry."""
        estimate = self._estimates.get((entry_id, service))
        if estimate is not None and estimate.sent > 0:
            estimate.sent -= 1

    def free_slots(self, entry_id: str, service: str, now: float) -> float:
        """Return the estimated number of free slots; below 0 if requests wait at the entry."""
        estimate = self._estimates.get((entry_id, service))
        if estimate is None or now - estimate.received_at > REPORT_LIFETIME_S:
            return 1.0
        return estimate.free - estimate.sent
