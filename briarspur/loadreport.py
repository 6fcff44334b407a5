"""What an entry tells the planner: how much came, how much runs, how much it could run warm."""

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
"""Name under which entries hand their load to peers; it is never in the store."""

LOAD_WINDOW_S = 5.0
"""Seconds over which events are counted: as long as a usual window of the shift caps."""

Rate = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=0)]


class ServiceLoad(Document):
    """One service at one entry."""

    demand_by_home: dict[str, Rate] = Field(
        default={}, description="first requests of callers per second, forwarded ones left out"
    )
    served: Rate = Field(default=0.0, description="requests per second answered by own targets")
    in_flight: Rate = Field(default=0.0, description="slots in use, as a mean")
    queued: Count = 0
    warm_slots: Count = Field(default=0, description="of own targets that take new work")
    slots: Count = Field(default=0, description="of own targets that take new work, once warm")


class LoadDocument(Document):
    """One entry's load, as counted by the entry itself.

    Attributes
    ----------
    number : int
        Rises with each report of a process; tells a report that stands still from a fresh one.
    """

    entry_id: str
    incarnation: str
    region: str
    number: Count
    services: dict[str, ServiceLoad] = Field(default={}, description="by name")


def parse_load(text: str | bytes, source: str = LOAD_NAME) -> LoadDocument:
    """Check a load report.

    Raises
    ------
    DocumentError
        With every fault found.
    """
    return parse(LoadDocument, text, source)


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Slots of one service at an entry's own targets that take new work, and who waits for them."""

    slots: int
    warm_slots: int
    queued: int


class LoadMeter:
    """Counts an entry's events and makes its reports.

    Parameters
    ----------
    entry_id, incarnation, region : str
        The entry.
    window : float
        Seconds over which events are counted.
    """

    def __init__(
        self, entry_id: str, incarnation: str, region: str, window: float = LOAD_WINDOW_S
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._region = region
        self._number = 0
        self._arrivals = _Windowed(window)
        self._answers = _Windowed(window)
        self._slot_seconds = _Windowed(window)

    def arrived(self, service: str, home: str, now: float) -> None:
        """Count a caller's request that came here first; not one that an entry sent on."""
        self._arrivals.add((service, home), 1.0, now)

    def answered(self, service: str, latency: float, now: float) -> None:
        """Count a whole answer of an own target; ``latency`` in seconds."""
        self._answers.add((service,), 1.0, now)
        self._slot_seconds.add((service,), latency, now)

    def document(self, slots_by_service: Mapping[str, SlotCount], now: float) -> LoadDocument:
        """Return the next report."""
        self._number += 1
        arrivals = self._arrivals.rates(now)
        answers = self._answers.rates(now)
        busy = self._slot_seconds.rates(now)
        services = {
            service: ServiceLoad(
                demand_by_home={home: rate for (s, home), rate in arrivals.items() if s == service},
                served=answers.get((service,), 0.0),
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
            number=self._number,
            services=services,
        )


class _Windowed:
    """Sums by key over the last window, in parts, so that a reading is at most a part old."""

    def __init__(self, window: float, parts: int = 5) -> None:
        self._part = window / parts
        self._window = window
        self._sums: deque[defaultdict[tuple[str, ...], float]] = deque(maxlen=parts)
        self._current: defaultdict[tuple[str, ...], float] = defaultdict(float)
        self._ends = 0.0

    def add(self, key: tuple[str, ...], amount: float, now: float) -> None:
        self._advance(now)
        self._current[key] += amount

    def rates(self, now: float) -> dict[tuple[str, ...], float]:
        self._advance(now)
        total: dict[tuple[str, ...], float] = {}
        for sums in self._sums:
            for key, amount in sums.items():
                total[key] = total.get(key, 0.0) + amount / self._window
        return total

    def _advance(self, now: float) -> None:
        if now >= self._ends + self._window:
            self._sums.clear()
            self._current = defaultdict(float)
            self._ends = now + self._part
        while now >= self._ends:
            self._sums.append(self._current)
            self._current = defaultdict(float)
            self._ends += self._part
