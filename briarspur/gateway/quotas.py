"""Enforces the quotas of all customers at one entry, and selects the counts that it reports."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from briarspur.gateway.customers import Customer
from briarspur.gateway.quota import Quota, SharedUsage, forecast

__all__ = ["OverQuota", "Quotas"]

MIN_REPORTED_SHARE = 0.75
"""Share of a customer's limit from which its usage, including the requests expected soon, is
reported to all entries. Below it, no entry needs the counts."""
FIRST_NEWS_S = 2.0
"""Time after its start in which an entry does not yet know which entries are live."""
RESTART_OVERAGE_SHARE = 0.8
"""Share of the permitted overage that may be used after all entries restarted; the rest is left for
requests that are admitted while news are in transit."""
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
        self.refusals_by_name: Counter[str] = Counter()
        self.live = 1
        self.recorded = 1
        self.knows_older_entry = False

    def configured(self, customers: Iterable[Customer]) -> None:
        """Apply the customers of a configuration; keep the usage of those that remain."""
        before, self._limited_by_name = self._limited_by_name, {}
        for customer in customers:
            if customer.per_s <= 0.0:
                continue
            quota = Quota(customer.per_s, customer.burst, self.window)
            limited = before.get(customer.name) or self._new(customer.name, quota)
            limited.quota = quota
            self._limited_by_name[customer.name] = limited
        self._limited_by_number = {
            number: limited
            for limited in self._limited_by_name.values()
            for number in (limited.admitted_number, limited.offered_number)
        }
        self._active_by_name = dict(self._limited_by_name)

    def check(self, customer: Customer | None, request_id: str, now: float) -> OverQuota | None:
        """Count a request; return None if it is within the quota."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if customer is None or limited is None:
            return None
        self._active_by_name[customer.name] = limited
        usage, quota = limited.usage, limited.quota.scaled(self._share(limited.quota, now))
        if usage.admit(quota, crc32(request_id.encode()) / HASH_RANGE, now):
            return None
        self.refusals_by_name[customer.name] += 1
        return OverQuota(
            usage.retry_after(quota, now),
            f"customer {customer.name}: {usage.admitted(now, self.window)} admitted here and "
            f"{usage.elsewhere} elsewhere in {self.window:g} s, limit {quota.limit:g}",
        )

    def refund(self, customer: Customer | None) -> None:
        """Uncount a request that was admitted, but then refused by the gateway itself."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if limited is not None:
            limited.usage.refund()

    def counts(self, now: float) -> Counter[int]:
        """Return how many requests this entry admitted and was offered, by customer number."""
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
        reported = Counter(total)
        for limited in self._limited_by_name.values():
            admitted, offered = limited.admitted_number, limited.offered_number
            expected = forecast(total.get(admitted, 0), total.get(offered, 0))
            if expected < MIN_REPORTED_SHARE * limited.quota.limit:
                reported.pop(admitted, None)
                reported.pop(offered, None)
        return reported

    def _new(self, name: str, quota: Quota) -> "_LimitedCustomer":
        limited = _LimitedCustomer(quota, _number("admitted", name), _number("asked", name))
        limited.usage.elsewhere = self._known(limited.admitted_number)
        limited.usage.offered_elsewhere = self._known(limited.offered_number)
        return limited

    def _share(self, quota: Quota, now: float) -> float:
        """Return the share of a limit that the live entries may use."""
        age = now - self.started
        if self.knows_older_entry or age >= self.window:
            live_share = self.live / max(self.live, self.recorded)
            return 1.0 if age < FIRST_NEWS_S else live_share
        # No known entry is older than this one: the usage before its start is unknown, but counts.
        spare = RESTART_OVERAGE_SHARE * (self._overage * quota.limit + self._slack)
        return min(1.0, age / self.window + spare / quota.limit)


def _number(kind: str, name: str) -> int:
    return crc32(f"{kind}/{name}".encode())
