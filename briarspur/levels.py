"""Service-level counts of one entry since its start, and the document that reports them.

An entry answers ``/status/service-level`` with :class:`LevelsDocument`. Counts only rise within an
incarnation; a reader takes differences of two documents of one incarnation and so keeps no state in
the entry.

A request is good if its caller got a whole answer within the objective's latency. Refusals that the
caller alone can mend (codes 2000 to 2008: malformed, unknown, too large, too slow) are not counted:
they say nothing of the service.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, NonNegativeInt

from briarspur.codes import Code
from briarspur.latency import HIGHEST_US, US_PER_S, Histogram, encode, new_histogram

__all__ = [
    "LEVELS_PATH",
    "Count",
    "Levels",
    "LevelsDocument",
    "ServiceLevelDocument",
    "is_counted",
]

LEVELS_PATH = "/status/service-level"
WHOLE_CODES = frozenset({Code.ANSWERED, Code.REPLAYED})
CALLERS_FAULTS = range(2000, 2100)
GOOD = 0
BAD = 1


class _Report(BaseModel):
    """Base of what entries report; other keys of a newer entry are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Count(NamedTuple):
    """Good and bad answers since the incarnation's start; a pair in JSON."""

    good: NonNegativeInt
    bad: NonNegativeInt


class ServiceLevelDocument(_Report):
    """One service: counts by region and code, and an encoded histogram of whole answers."""

    counts: dict[str, dict[int, Count]]
    latency: str = ""


class LevelsDocument(_Report):
    """What an entry counted since ``incarnation`` started, ``uptime_s`` seconds ago."""

    entry_id: str
    incarnation: str
    zone: str
    uptime_s: float = Field(ge=0.0)
    services: dict[str, ServiceLevelDocument]


class Levels:
    """Counts final answers; one call a request, about a microsecond.

    Parameters
    ----------
    started : float
        The shell's monotonic clock at the incarnation's start.
    """

    def __init__(self, entry_id: str, incarnation: str, zone: str, started: float) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._zone = zone
        self._started = started
        self._bounds_by_service: dict[str, float] = {}
        self._counts: dict[tuple[str, str, int], list[int]] = {}
        self._latency_by_service: dict[str, Histogram] = {}

    def set_objectives(self, latency_by_service: Mapping[str, float]) -> None:
        """Take the latency bounds, in seconds, of the policy that came into force.

        Counts stay as they were taken. A service that is no longer in the policy is not counted
        any more; what was counted is still reported, because counts may only rise.
        """
        self._bounds_by_service = dict(latency_by_service)
        for service in latency_by_service:
            if service not in self._latency_by_service:
                self._latency_by_service[service] = new_histogram()

    def record(self, service: str, region: str, code: int, seconds: float) -> None:
        """Count one final answer.

        Parameters
        ----------
        region : str
            Where it ran, or the entry's own region if it was not dispatched.
        seconds : float
            From the request's arrival to the answer's last byte.
        """
        bound = self._bounds_by_service.get(service)
        if bound is None or code in CALLERS_FAULTS:
            return
        key = (service, region, code)
        cell = self._counts.get(key)
        if cell is None:
            cell = self._counts[key] = [0, 0]
        if code not in WHOLE_CODES:
            cell[BAD] += 1
            return
        cell[GOOD if seconds <= bound else BAD] += 1
        microseconds = min(max(int(seconds * US_PER_S), 1), HIGHEST_US)
        self._latency_by_service[service].record_value(microseconds)

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the JSON values of a :class:`LevelsDocument`."""
        services: dict[str, dict[str, Any]] = {
            service: {"counts": {}, "latency": encode(histogram)}
            for service, histogram in self._latency_by_service.items()
        }
        for (service, region, code), (good, bad) in self._counts.items():
            counts_by_code = services[service]["counts"].setdefault(region, {})
            counts_by_code[str(int(code))] = [good, bad]
        return {
            "entry_id": self._entry_id,
            "incarnation": self._incarnation,
            "zone": self._zone,
            "uptime_s": max(now - self._started, 0.0),
            "services": services,
        }


def is_counted(code: int) -> bool:
    """Return whether an answer with this code counts for or against the service level."""
    return code not in CALLERS_FAULTS
