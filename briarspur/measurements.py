"""Load reports of entries for the planner, with handling of delayed, stale and missing reports."""

import math
from dataclasses import dataclass, field

from briarspur.loadreport import LoadDocument, ServiceLoad

__all__ = ["FlowLoad", "LoadSummary", "Measurements"]


@dataclass(slots=True)
class FlowLoad:
    """Load of one service in one region, summed over the reports of its entries."""

    served: float = 0.0
    in_flight: float = 0.0
    queued: int = 0
    warm_slots: int = 0
    slots: int = 0

    def add(self, load: ServiceLoad) -> None:
        """Add one entry's load."""
        self.served += load.served
        self.in_flight += load.in_flight
        self.queued += load.queued
        self.warm_slots += load.warm_slots
        self.slots += load.slots


@dataclass(slots=True)
class LoadSummary:
    """Sum of all reports that are recent enough.

    Attributes
    ----------
    by_flow : dict
        Load by service and region.
    demand : dict
        Requests per second by service and home region.
    oldest_taken_at : float
        Time at which the oldest of the reports was taken; infinite if there is none.
    """

    by_flow: dict[tuple[str, str], FlowLoad] = field(default_factory=dict)
    demand: dict[tuple[str, str], float] = field(default_factory=dict)
    oldest_taken_at: float = math.inf

    def mean_slot_time_s(self, service: str, region: str) -> float:
        """Return how long a request occupies a slot in a region, in seconds.

        Without requests in the region, it is the mean over all regions; 0 if there were none
        anywhere.
        """
        local = self.by_flow[service, region]
        if local.served > 0.0 and local.in_flight > 0:
            return local.in_flight / local.served
        all_regions = [load for (s, _), load in self.by_flow.items() if s == service]
        served = sum(load.served for load in all_regions)
        return sum(load.in_flight for load in all_regions) / served if served > 0.0 else 0.0

    def in_flight_of_others(self, service: str, region: str) -> float:
        """Return the number of requests of other services in flight in a region."""
        return sum(
            load.in_flight for (s, r), load in self.by_flow.items() if r == region and s != service
        )


@dataclass(slots=True)
class _Report:
    document: LoadDocument
    taken_at: float


class Measurements:
    """Latest report of each entry; times are seconds on the planner's clock.

    Parameters
    ----------
    report_delay : float
        Maximum age of the measurements in a report on arrival.
    max_report_age : float
        Age above which a report counts as missing.
    hold_time : float
        Time without a report after which an entry is ignored.
    """

    def __init__(self, report_delay: float, max_report_age: float, hold_time: float) -> None:
        self._report_delay = report_delay
        self._max_report_age = max_report_age
        self._hold_time = hold_time
        self._cleared_at = -math.inf
        self._report_by_entry: dict[str, _Report] = {}

    def clear(self, now: float) -> None:
        """Discard every report; regions without a new report count as missing from now on."""
        self._report_by_entry.clear()
        self._cleared_at = now

    def add(self, document: LoadDocument, now: float) -> None:
        """Record a report; ignore one that is no newer than the last of its process."""
        previous = self._report_by_entry.get(document.entry_id)
        if previous is not None:
            same_process = previous.document.incarnation == document.incarnation
            if same_process and document.number <= previous.document.number:
                return
        self._report_by_entry[document.entry_id] = _Report(document, now - self._report_delay)

    def summarize(self, now: float) -> LoadSummary:
        """Return the sum of the recent reports."""
        summary = LoadSummary()
        for report in self._report_by_entry.values():
            if not self._is_recent(report, now):
                continue
            document = report.document
            summary.oldest_taken_at = min(summary.oldest_taken_at, report.taken_at)
            for service, load in document.services.items():
                summary.by_flow.setdefault((service, document.region), FlowLoad()).add(load)
                for home, rate in load.demand_by_home.items():
                    key = (service, home)
                    summary.demand[key] = summary.demand.get(key, 0.0) + rate
        return summary

    def is_awaiting_report(self, region: str, now: float) -> bool:
        """Return whether a report of the region has been missing for at most the hold time.

        A single silent entry suffices, because without it the region's capacity and demand seem
        smaller.
        """
        reports = [r for r in self._report_by_entry.values() if r.document.region == region]
        if not reports:
            return now - self._cleared_at <= self._hold_time
        return any(
            not self._is_recent(report, now) and now - report.taken_at <= self._hold_time
            for report in reports
        )

    def is_missing(self, region: str, now: float) -> bool:
        """Return whether the region has no recent report."""
        return not any(
            report.document.region == region and self._is_recent(report, now)
            for report in self._report_by_entry.values()
        )

    def _is_recent(self, report: _Report, now: float) -> bool:
        return now - report.taken_at <= self._max_report_age + self._report_delay
