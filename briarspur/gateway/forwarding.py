"""Chooses the entry that handles requests for one that reaches no backend server."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from heapq import nsmallest
from zlib import crc32

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.work import HEDGE_FACTOR, HEDGE_SLACK_S, Work

__all__ = ["ForwardAttempt", "Forwarding"]

OTHER_ZONE_COST_S = 0.002
OTHER_REGION_COST_S = 0.07
"""Added time, and the bytes that operators pay for, of an entry in another zone or region."""
MAX_HELPERS = 32
"""Entries that a request may be passed on to; more would cost time in a large fleet."""
REFRESH_INTERVAL_S = 0.25
"""Time between two searches of the fleet for them."""
REQUEST_COST_S = 0.01
"""Cost of each request that this entry has passed on to an entry with one core."""


@dataclass(slots=True)
class ForwardAttempt:
    """One attempt to get a request handled by another entry.

    Attributes
    ----------
    expected : float
        Expected time until the complete answer, in seconds.
    """

    work: Work
    helper: EntryRecord
    expected: float
    started: float
    ended: bool = False

    @property
    def overdue_after(self) -> float:
        """Seconds from the start after which the attempt is overdue."""
        return HEDGE_FACTOR * self.expected + HEDGE_SLACK_S


class Forwarding:
    """Spreads requests over the entries that reach backend servers.

    A request is passed on once at most: the other entry sends it to a server or refuses it. That
    entry also makes all retries, and counts it among its requests in flight and for the limits of
    servers; this entry counts it for the customer's quota.

    Parameters
    ----------
    entry_id, zone, region : str
        This entry's id, availability zone and region.
    helpers : callable
        Returns the live entries that reach backend servers.
    """

    def __init__(
        self,
        entry_id: str,
        zone: str,
        region: str,
        helpers: Callable[[float], Collection[EntryRecord]] = lambda now: (),
    ) -> None:
        self._entry_id = entry_id
        self._zone = zone
        self._region = region
        self._helpers = helpers
        self._in_flight: Counter[str] = Counter()
        self._nearest: list[EntryRecord] = []
        self._refreshed_at = float("-inf")
        self.passed_on = 0

    def start(self, work: Work, expected: float, now: float) -> ForwardAttempt | None:
        """Choose an entry for a request; None if there is none that has not been tried."""
        candidates = self._eligible(work, self._refreshed(now))
        if not candidates and work.regions:
            candidates = self._eligible(work, self._helpers(now))
        if not candidates:
            return None
        helper = min(candidates, key=lambda record: self._cost(record, work.request_id))
        work.helpers.append(helper.entry_id)
        self._in_flight[helper.entry_id] += 1
        self.passed_on += 1
        return ForwardAttempt(work, helper, expected + self._distance_cost(helper), now)

    def ended(self, attempt: ForwardAttempt) -> None:
        """Record the end of an attempt."""
        self._in_flight[attempt.helper.entry_id] -= 1

    def _refreshed(self, now: float) -> list[EntryRecord]:
        """Return the nearest entries; the whole fleet is searched at intervals only."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._nearest = nsmallest(
                MAX_HELPERS, self._helpers(now), key=lambda record: self._preference(record)
            )
        return self._nearest

    def _preference(self, record: EntryRecord) -> tuple[float, int]:
        # Entries that are cut off together must not all prefer the same ones.
        return self._distance_cost(record), crc32(f"{self._entry_id}/{record.entry_id}".encode())

    @staticmethod
    def _eligible(work: Work, records: Collection[EntryRecord]) -> list[EntryRecord]:
        return [
            record
            for record in records
            if record.entry_id not in work.helpers
            and (not work.regions or record.region in work.regions)
        ]

    def _cost(self, record: EntryRecord, request_id: str) -> tuple[float, int]:
        load = (self._in_flight[record.entry_id] + 1) / record.processor
        order = crc32(f"{request_id}/{record.entry_id}".encode())
        return self._distance_cost(record) + REQUEST_COST_S * load, order

    def _distance_cost(self, record: EntryRecord) -> float:
        if record.zone == self._zone:
            return 0.0
        return OTHER_ZONE_COST_S if record.region == self._region else OTHER_REGION_COST_S
