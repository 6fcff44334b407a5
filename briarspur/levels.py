"""Service-level counts of one entry since its start, and the document that reports them.

An entry serves :class:`LevelsDocument` at ``/status/service-level``. Counts never decrease within
an incarnation; a reader subtracts two documents of one incarnation, so the entry keeps no state per
reader.

A request is good if its caller received a complete answer within the objective's latency. Refusals
that only the caller can resolve (codes 2000 to 2008: malformed, unknown, too large, too slow) are
not counted, because they say nothing about the service.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, NonNegativeInt

from briarspur.codes import Code
from briarspur.latency import HIGHEST_US, US_PER_S, Histogram, encode, new_histogram

__all__ = [
    "LEVELS_PATH",
    "Count",
    "LevelsDocument",
    "ServiceLevelCounter",
    "ServiceLevelDocument",
    "is_counted",
]

LEVELS_PATH = "/status/service-level"
COMPLETE_CODES = frozenset({Code.ANSWERED, Code.REPLAYED})
CALLER_ERROR_CODES = range(2000, 2100)
GOOD_INDEX = 0
BAD_INDEX = 1


class _Report(BaseModel):
    """Base of the documents that entries report; unknown keys of a newer entry are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Count(NamedTuple):
    """Good and bad answers since the incarnation started; a pair in JSON."""

    good: NonNegativeInt
    bad: NonNegativeInt


class ServiceLevelDocument(_Report):
    """One service: counts by region and code, and an encoded histogram of complete answers."""

    counts: dict[str, dict[int, Count]]
    latency: str = ""


class LevelsDocument(_Report):
    """Counts of an entry since ``incarnation`` started, ``uptime_s`` seconds ago."""

    entry_id: str
    incarnation: str
    zone: str
    uptime_s: float = Field(ge=0.0)
    services: dict[str, ServiceLevelDocument]


class ServiceLevelCounter:
    """Counts final answers; one call of about a microsecond per request.

    Parameters
    ----------
    started : float
        Start of the incarnation, on the monotonic clock that is passed to :meth:`snapshot`.
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
        """Set the latency bounds, in seconds, of the policy that came into force.

        Existing counts do not change. A service that is no longer in the policy is not counted any
        more; its counts are still reported, because counts must not decrease.
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
            Region in which the request ran, or the entry's region if it was not dispatched.
        seconds : float
            Time from the arrival of the request to the last byte of the answer.
        """
        latency_bound = self._bounds_by_service.get(service)
        if latency_bound is None or code in CALLER_ERROR_CODES:
            return
        key = (service, region, code)
        pair = self._counts.get(key)
        if pair is None:
            pair = self._counts[key] = [0, 0]
        if code not in COMPLETE_CODES:
            pair[BAD_INDEX] += 1
            return
        pair[GOOD_INDEX if seconds <= latency_bound else BAD_INDEX] += 1
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
    """Return whether an answer with this code is counted as good or bad."""
    return code not in CALLER_ERROR_CODES
