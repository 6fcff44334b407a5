"""The planner's measurements: load reports of entries, which lag, stand still or stop."""

import math
from dataclasses import dataclass, field

from briarspur.loadreport import LoadDocument, ServiceLoad

__all__ = ["Measured", "Measurements", "Picture"]


@dataclass(slots=True)
class Measured:
    """One service in one region, summed over the reports of its entries."""

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
class Picture:
    """All fresh reports at one moment.

    Attributes
    ----------
    by_flow : dict
        By service and region.
    demand : dict
        Requests per second by service and home region.
    oldest : float
        When the oldest of the reports was taken.
    """

    by_flow: dict[tuple[str, str], Measured] = field(default_factory=dict)
    demand: dict[tuple[str, str], float] = field(default_factory=dict)
    oldest: float = math.inf

    def slot_seconds(self, service: str, region: str) -> float:
        """Return how long one request holds a slot: there, or else as a mean over regions.

        0 if nothing was served anywhere.
        """
        here = self.by_flow[service, region]
        if here.served > 0.0 and here.in_flight > 0:
            return here.in_flight / here.served
        everywhere = [m for (s, _), m in self.by_flow.items() if s == service]
        served = sum(m.served for m in everywhere)
        return sum(m.in_flight for m in everywhere) / served if served > 0.0 else 0.0

    def in_flight_of_others(self, service: str, region: str) -> float:
        """Return what the other services run in a region."""
        return sum(
            m.in_flight for (s, r), m in self.by_flow.items() if r == region and s != service
        )


@dataclass(slots=True)
class _Report:
    document: LoadDocument
    taken_at: float


class Measurements:
    """Reports by entry; times in seconds on the planner's clock.

    Parameters
    ----------
    delay : float
        How old the measurements in a report may be on arrival.
    fresh : float
        A report older than this is missing.
    hold : float
        An entry silent for longer is forgotten.
    """

    def __init__(self, delay: float, fresh: float, hold: float) -> None:
        self._delay = delay
        self._fresh = fresh
        self._hold = hold
        self._began_at = -math.inf
        self._report_by_entry: dict[str, _Report] = {}

    def clear(self, now: float) -> None:
        """Forget every report; regions count as missing from now on."""
        self._report_by_entry.clear()
        self._began_at = now

    def add(self, document: LoadDocument, now: float) -> None:
        """Take a report; one that stands still is not a new measurement."""
        known = self._report_by_entry.get(document.entry_id)
        if known is not None:
            same_process = known.document.incarnation == document.incarnation
            if same_process and document.number <= known.document.number:
                return
        self._report_by_entry[document.entry_id] = _Report(document, now - self._delay)

    def picture(self, now: float) -> Picture:
        """Return the sum of the fresh reports."""
        picture = Picture()
        for report in self._report_by_entry.values():
            if not self._is_fresh(report, now):
                continue
            document = report.document
            picture.oldest = min(picture.oldest, report.taken_at)
            for service, load in document.services.items():
                picture.by_flow.setdefault((service, document.region), Measured()).add(load)
                for home, rate in load.demand_by_home.items():
                    key = (service, home)
                    picture.demand[key] = picture.demand.get(key, 0.0) + rate
        return picture

    def is_held(self, region: str, now: float) -> bool:
        """Return whether a report of the region is missing, but not yet for long.

        One silent entry is enough: without it, the region's capacity and demand seem smaller.
        """
        reports = [r for r in self._report_by_entry.values() if r.document.region == region]
        if not reports:
            return now - self._began_at <= self._hold
        return any(
            not self._is_fresh(report, now) and now - report.taken_at <= self._hold
            for report in reports
        )

    def is_missing(self, region: str, now: float) -> bool:
        """Return whether no report of the region is fresh."""
        return not any(
            report.document.region == region and self._is_fresh(report, now)
            for report in self._report_by_entry.values()
        )

    def _is_fresh(self, report: _Report, now: float) -> bool:
        return now - report.taken_at <= self._fresh + self._delay
