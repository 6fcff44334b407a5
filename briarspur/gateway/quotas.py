"""Enforces the quotas of all customers at one entry, and selects the counts that it reports."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import isinf
from zlib import crc32

from briarspur.gateway.customers import Customer
from briarspur.gateway.quota import RATE_WINDOW_S, Allowance, Quota, SharedUsage, forecast
from briarspur.gateway.reservations import Demand, Reservation, unrecorded_use

__all__ = ["OverQuota", "Quotas"]

MIN_REPORTED_SHARE = 0.75
"""Share of a customer's limit from which its usage, including the requests expected soon, is
reported to all entries. Below it, no entry needs the counts."""
MIN_REPORTED_RESERVATION_SHARE = 0.9
"""The same for a reservation, which has little more room than its customer usually needs."""
MAX_TOTAL_AGE_S = 1.0
"""Age up to which the sums of all entries are used; only a leader of a group makes them."""
FIRST_NEWS_S = 2.0
"""Time after its start in which an entry does not yet know which entries are live."""
RESTART_OVERAGE_SHARE = 0.5
"""Share of the permitted overage that may be used after a restart; the rest is left for requests
that were admitted before it while news were in transit."""
COUNTS_DELAY_S = 0.6
"""Time after its start in which an entry may not have received the other entries' counts yet."""
MAX_OVERLOAD = 5.0
"""Load to expect of a customer before the other entries' counts arrive, as a multiple of its
rate."""
RESTART_HORIZON_S = 0.5
"""There must be room for the requests of this time after a restart. The shorter time serves small
customers, of whose allowance the usual horizon would take a large part."""
HASH_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that exceeds its customer's quota.

    Attributes
    ----------
    retry_after : float
        Seconds after which the customer will have room.
    """

    retry_after: float
    detail: str


@dataclass(slots=True)
class _LimitedCustomer:
    """The quota and usage of a customer, and the numbers under which entries report its counts."""

    name: str
    quota: Quota
    admitted_number: int
    offered_number: int
    usage: SharedUsage = field(default_factory=SharedUsage)


class Quotas:
    """Admits requests of customers within their quotas, which apply to all entries together.

    Entries exchange usage as counts by number, like load; each customer has one number for its
    admitted requests and one for its offered requests.

    Parameters
    ----------
    known : callable
        Returns the count that the other entries last reported for a number.
    overage, slack : float
        Fraction of a limit, and number of requests, by which all entries together may exceed it.

    Attributes
    ----------
    window : float
        Seconds over which requests are counted.
    started : float
        When this process started, on the clock of ``now``.
    refusals_by_name : Counter
        Requests that exceeded the quota, by customer.
    live, recorded : int
        Number of entries whose news are received, including this one, and of those recorded in the
        store. What entries without received news admit is unknown, so their part of each limit is
        reserved for them.
    restarted : int
        Number of the live entries that started within the last window. What their VMs admitted
        before is unknown and may be their whole part of each limit.
    reservations : mapping or None
        The recorded reservations by customer; None if no record was read.
    start_duration : float
        Seconds that the start of this process took, in which it admitted nothing.
    knows_older_entry : bool
        Some other entry has run for longer than this one, so the received counts cover the time
        before this one's start.
    """

    def __init__(
        self,
        window: float,
        known: Callable[[int], int],
        overage: float = 0.0,
        slack: float = 0.0,
    ) -> None:
        self.window = window
        self._overage = overage
        self._slack = slack
        self._known = known
        self._limited_by_name: dict[str, _LimitedCustomer] = {}
        self._limited_by_number: dict[int, _LimitedCustomer] = {}
        self._active_by_name: dict[str, _LimitedCustomer] = {}
        self.started = float("-inf")
        self.start_duration = 0.0
        self.refusals_by_name: Counter[str] = Counter()
        self.live = 1
        self.recorded = 1
        self.restarted = 0
        self.knows_older_entry = False
        self.reservations: Mapping[str, Reservation] | None = None
        self._recorded_before: Mapping[str, Reservation] | None = None
        self._counted_at = float("-inf")
        self._total: Mapping[int, int] = {}
        self._total_at = float("-inf")

    def configured(self, customers: Iterable[Customer]) -> None:
        """Apply the customers of a configuration; keep the usage of those that remain."""
        before, self._limited_by_name = self._limited_by_name, {}
        for customer in customers:
            quota = Quota(customer.per_s, customer.burst, self.window)
            if customer.per_s <= 0.0 or isinf(quota.limit):
                continue
            limited = before.get(customer.name) or self._new(customer.name, quota)
            limited.quota = quota
            self._limited_by_name[customer.name] = limited
        self._limited_by_number = {
            number: limited
            for limited in self._limited_by_name.values()
            for number in (limited.admitted_number, limited.offered_number)
        }
        self._active_by_name = dict(self._limited_by_name)

    @property
    def has_limits(self) -> bool:
        """Whether any customer has a limit."""
        return bool(self._limited_by_name)

    def process_age(self, now: float) -> float:
        """Return the seconds since the start of this process."""
        return now - self.started + self.start_duration

    def reserved(self, reservations: Mapping[str, Reservation]) -> None:
        """Apply the recorded reservations; the first record covers the use before the start."""
        if self.reservations is None:
            self._recorded_before = reservations
        self.reservations = reservations

    def demands(self, now: float) -> dict[str, Demand]:
        """Return the needs of the customers, of those in use or with a reservation."""
        is_total_recent = now - self._total_at <= MAX_TOTAL_AGE_S
        demands: dict[str, Demand] = {}
        for name, limited in self._limited_by_name.items():
            usage = limited.usage
            if is_total_recent:
                admitted = self._total.get(limited.admitted_number, 0)
                offered = self._total.get(limited.offered_number, 0)
            else:
                admitted = usage.admitted(now, self.window) + usage.elsewhere
                offered = usage.offered(now) + usage.offered_elsewhere
            if admitted or offered or name in (self.reservations or {}):
                demands[name] = self._demand(limited, admitted, offered, now)
        return demands

    def _demand(self, limited: _LimitedCustomer, admitted: int, offered: int, now: float) -> Demand:
        limit = limited.quota.limit
        unrecorded = unrecorded_use(limit, self._slack)
        if not self._is_earlier_use_unknown(now):
            return Demand(forecast(admitted, offered), limit, unrecorded)
        # The use begins at zero and grows for a whole window, which would take a write per step.
        expected = offered / RATE_WINDOW_S * self.window
        return Demand(expected, limit + self._spare(limit), unrecorded, self._used_before(limited))

    def check(self, customer: Customer | None, request_id: str, now: float) -> OverQuota | None:
        """Count a request; return None if it is within the quota."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if customer is None or limited is None:
            return None
        self._active_by_name[customer.name] = limited
        usage, allowance = limited.usage, self._allowance(limited, now)
        if usage.admit(allowance, crc32(request_id.encode()) / HASH_RANGE, now):
            return None
        self.refusals_by_name[customer.name] += 1
        return OverQuota(
            usage.retry_after(allowance, now),
            f"customer {customer.name}: {usage.admitted(now, self.window)} admitted here and "
            f"{usage.elsewhere} elsewhere in {self.window:g} s, limit {allowance.quota.limit:g}",
        )

    def refund(self, customer: Customer | None, admitted_at: float) -> None:
        """Uncount a request that was admitted, but then refused by the gateway itself."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if limited is not None:
            limited.usage.refund(admitted_at)

    def counts(self, now: float) -> Counter[int]:
        """Return how many requests this entry admitted and was offered, by customer number."""
        self._counted_at = now
        counts: Counter[int] = Counter()
        for name, limited in list(self._active_by_name.items()):
            admitted = limited.usage.admitted(now, self.window)
            offered = limited.usage.offered(now)
            if admitted:
                counts[limited.admitted_number] = admitted
            if offered:
                counts[limited.offered_number] = offered
            if not admitted and not offered:
                del self._active_by_name[name]
        return counts

    def received(self, number: int, change: int) -> None:
        """Apply a change of how many requests the other entries admitted, or were offered."""
        limited = self._limited_by_number.get(number)
        if limited is not None:
            limited.usage.received(change, is_offered=number == limited.offered_number)

    def worth_reporting(self, total: Mapping[int, int]) -> Counter[int]:
        """Return the counts of all entries without those of customers far below their limits."""
        self._total, self._total_at = total, self._counted_at
        has_reservations = self.reservations is not None
        share = MIN_REPORTED_RESERVATION_SHARE if has_reservations else MIN_REPORTED_SHARE
        reported = Counter(total)
        for limited in self._limited_by_name.values():
            admitted, offered = limited.admitted_number, limited.offered_number
            expected = forecast(total.get(admitted, 0), total.get(offered, 0))
            if expected < share * self._allowance(limited, self._counted_at).quota.limit:
                reported.pop(admitted, None)
                reported.pop(offered, None)
        return reported

    def _new(self, name: str, quota: Quota) -> "_LimitedCustomer":
        limited = _LimitedCustomer(name, quota, _number("admitted", name), _number("asked", name))
        limited.usage.elsewhere = self._known(limited.admitted_number)
        limited.usage.offered_elsewhere = self._known(limited.offered_number)
        return limited

    def _allowance(self, limited: _LimitedCustomer, now: float) -> Allowance:
        """Return what the live entries may admit of a customer.

        The parts of entries that have restarted may be used up by requests which were admitted
        before, and only the overage is left of them until those requests leave the window.
        """
        age, quota = now - self.started, limited.quota
        entries = max(self.live, self.recorded)
        live_share = 1.0 if age < FIRST_NEWS_S else self.live / entries
        is_blind = age < COUNTS_DELAY_S or (age < FIRST_NEWS_S and self.live < self.recorded)
        min_offered_per_s = MAX_OVERLOAD * quota.per_s if is_blind else 0.0
        if self._is_earlier_use_unknown(now):
            share = self._unused_before(limited) / quota.limit
            return Allowance(
                quota.scaled(live_share * share),
                min_offered_per_s,
                RESTART_HORIZON_S,
                self.window - self.process_age(now),
            )
        restarted_share = min(live_share, self.restarted / entries)
        share = live_share - restarted_share
        share += restarted_share * self._spare(quota.limit) / quota.limit
        share *= min(1.0, self._granted(limited) / quota.limit)
        return Allowance(quota.scaled(share), min_offered_per_s)

    def _is_earlier_use_unknown(self, now: float) -> bool:
        """Return whether requests from before a restart of all entries may still count."""
        return not self.knows_older_entry and self.process_age(now) < self.window

    def _unused_before(self, limited: _LimitedCustomer) -> float:
        """Return how many requests may be admitted while earlier use is unknown.

        The overage remains for what was admitted beyond the record while news were in transit.
        What exceeds it must be recorded first, as it counts if all entries restart again.
        """
        limit, used_before = limited.quota.limit, self._used_before(limited)
        spare = self._spare(limit)
        if self._recorded_before is None:
            return min(limit, spare)
        unused = max(spare, limit - used_before)
        recorded = max(spare, self._granted(limited) - used_before)
        return max(0.0, min(unused, recorded, limit + spare - used_before))

    def _used_before(self, limited: _LimitedCustomer) -> float:
        """Return the most requests that may have been admitted before this entry's start."""
        limit = limited.quota.limit
        if self._recorded_before is None:
            return limit
        found = self._recorded_before.get(limited.name)
        return unrecorded_use(limit, self._slack) if found is None else found.counted

    def _granted(self, limited: _LimitedCustomer) -> float:
        """Return how many requests all entries may admit in a window by the latest record."""
        limit = limited.quota.limit
        if self.reservations is None:
            return limit
        found = self.reservations.get(limited.name)
        return unrecorded_use(limit, self._slack) if found is None else found.granted

    def _spare(self, limit: float) -> float:
        """Return by how many requests a limit may be exceeded after a restart."""
        return RESTART_OVERAGE_SHARE * self._overage * limit + self._slack


def _number(kind: str, name: str) -> int:
    return crc32(f"{kind}/{name}".encode())
