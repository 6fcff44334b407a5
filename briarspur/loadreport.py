"""Load reports of entries to the planner: demand, requests in flight and warm capacity."""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from briarspur.documents import Document, parse

__all__ = [
    "LOAD_NAME",
    "LoadDocument",
    "LoadMeter",
    "ServiceLoad",
    "SlotCount",
    "parse_load",
]

LOAD_NAME = "load"
"""Object name under which peers fetch an entry's load; it is never stored."""

LOAD_WINDOW_S = 5.0
"""Length of the counting window: that of a usual window of the shift caps."""

Rate = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=0)]


class ServiceLoad(Document):
    """Load of one service at one entry."""

    demand_by_home: dict[str, Rate] = Field(
        default={}, description="requests from callers per second, without forwarded requests"
    )
    served: Rate = Field(default=0.0, description="requests per second served by own targets")
    in_flight: Rate = Field(default=0.0, description="mean number of slots in use")
    queued: Count = 0
    warm_slots: Count = Field(default=0, description="of own targets that accept new requests")
    slots: Count = Field(
        default=0, description="of own targets that accept new requests, once warm"
    )


class LoadDocument(Document):
    """Load of one entry, as counted by the entry itself.

    Attributes
    ----------
    number : int
        Increases with each report of a process, and so shows whether a report is new.
    """

    entry_id: str
    incarnation: str
    region: str
    number: Count
    services: dict[str, ServiceLoad] = Field(default={}, description="by name")


def parse_load(text: str | bytes, source: str = LOAD_NAME) -> LoadDocument:
    """Parse and validate a load report.

    Raises
    ------
    DocumentError
        With all errors found.
    """
    return parse(LoadDocument, text, source)


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Slots of a service at own targets that accept new requests, and the queue for them."""

    slots: int
    warm_slots: int
    queued: int


class LoadMeter:
    """Counts the events of an entry and creates its load reports.

    Parameters
    ----------
    entry_id, incarnation, region : str
        Identity of the entry.
    window_s : float
        Length of the counting window.
    """

    def __init__(
        self, entry_id: str, incarnation: str, region: str, window_s: float = LOAD_WINDOW_S
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._region = region
        self._report_number = 0
        self._arrivals = _WindowedSum(window_s)
        self._responses = _WindowedSum(window_s)
        self._slot_seconds = _WindowedSum(window_s)

    def record_arrival(self, service: str, home: str, now: float) -> None:
        """Count a request that came from a caller, not forwarded by another entry."""
        self._arrivals.add((service, home), 1.0, now)

    def record_response(self, service: str, latency: float, now: float) -> None:
        """Count a complete response of an own target; ``latency`` in seconds."""
        self._responses.add((service,), 1.0, now)
        self._slot_seconds.add((service,), latency, now)

    def next_report(self, slots_by_service: Mapping[str, SlotCount], now: float) -> LoadDocument:
        """Return the next load report."""
        self._report_number += 1
        arrivals = self._arrivals.rates(now)
        responses = self._responses.rates(now)
        busy = self._slot_seconds.rates(now)
        services = {
            service: ServiceLoad(
                demand_by_home={home: rate for (s, home), rate in arrivals.items() if s == service},
                served=responses.get((service,), 0.0),
                in_flight=busy.get((service,), 0.0),
                queued=count.queued,
                warm_slots=count.warm_slots,
                slots=count.slots,
            )
            for service, count in slots_by_service.items()
        }
        return LoadDocument(
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            region=self._region,
            number=self._report_number,
            services=services,
        )


class _WindowedSum:
    """Sums by key over the last window, in buckets; a result is at most one bucket old."""

    def __init__(self, window_s: float, buckets: int = 5) -> None:
        self._bucket_s = window_s / buckets
        self._window_s = window_s
        self._sums: deque[defaultdict[tuple[str, ...], float]] = deque(maxlen=buckets)
        self._current: defaultdict[tuple[str, ...], float] = defaultdict(float)
        self._bucket_end = 0.0

    def add(self, key: tuple[str, ...], amount: float, now: float) -> None:
        self._advance(now)
        self._current[key] += amount

    def rates(self, now: float) -> dict[tuple[str, ...], float]:
        self._advance(now)
        total: dict[tuple[str, ...], float] = {}
        for sums in self._sums:
            for key, amount in sums.items():
                total[key] = total.get(key, 0.0) + amount / self._window_s
        return total

    def _advance(self, now: float) -> None:
        if now >= self._bucket_end + self._window_s:
            self._sums.clear()
            self._current = defaultdict(float)
            self._bucket_end = now + self._bucket_s
        while now >= self._bucket_end:
            self._sums.append(self._current)
            self._current = defaultdict(float)
            self._bucket_end += self._bucket_s
