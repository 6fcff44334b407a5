"""The quotas of all customers at one entry, and what it tells the others of their use."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from briarspur.gateway.customers import Customer
from briarspur.gateway.quota import Quota, SharedUse, forecast

__all__ = ["OverQuota", "Quotas"]

TELL_SHARE = 0.75
"""Share of a limit from which all entries are told of a customer's use, soon expected use included;
below it no entry has to know."""
FIRST_NEWS = 2.0
"""Seconds after its start in which an entry has yet to hear who lives."""
SPARE_SHARE = 0.8
"""Part of what a limit may be exceeded by that is used after all entries restarted; the rest is
left for what is admitted while news are under way."""
DRAWS = 1 << 32


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request beyond its customer's quota.

    Attributes
    ----------
    retry_after : float
        Seconds after which the customer will have room.
    """

    retry_after: float
    detail: str


@dataclass(slots=True)
class _Limited:
    """A customer with a limit, its use, and the numbers under which entries tell of it."""

    quota: Quota
    admitted_number: int
    asked_number: int
    use: SharedUse = field(default_factory=SharedUse)


class Quotas:
    """Admits the requests of customers within their quotas, which hold over all entries.

    Use travels between entries as counts by number, like load; each customer has a number for what
    was admitted, and one for what was asked for.

    Parameters
    ----------
    known : callable
        Returns what the others' news say of a number.
    overage, slack : float
        By how much of a limit, and by how many requests, all entries may exceed it.

    Attributes
    ----------
    window : float
        Seconds over which requests are counted.
    started : float
        When this process started, on the clock of ``now``.
    refusals_by_name : Counter
        Requests beyond the quota, by customer.
    live, recorded : int
        Entries that are heard, this one included, and those that the store names. What those that
        are not heard admit is unknown, so their part of each limit is left to them.
    elder_heard : bool
        Some other entry has run for longer than this one, so the counts that are heard tell of
        times before this one's start.
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
        self._limited_by_name: dict[str, _Limited] = {}
        self._limited_by_number: dict[int, _Limited] = {}
        self._active_by_name: dict[str, _Limited] = {}
        self.started = float("-inf")
        self.refusals_by_name: Counter[str] = Counter()
        self.live = 1
        self.recorded = 1
        self.elder_heard = False

    def configured(self, customers: Iterable[Customer]) -> None:
        """Take the customers of a configuration; uses of those that stay are kept."""
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
            for number in (limited.admitted_number, limited.asked_number)
        }
        self._active_by_name = dict(self._limited_by_name)

    def refuse(self, customer: Customer | None, request_id: str, now: float) -> OverQuota | None:
        """Count a request; return None if it lies within the quota."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if customer is None or limited is None:
            return None
        self._active_by_name[customer.name] = limited
        use, quota = limited.use, limited.quota.part(self._part(limited.quota, now))
        if use.admit(quota, crc32(request_id.encode()) / DRAWS, now):
            return None
        self.refusals_by_name[customer.name] += 1
        return OverQuota(
            use.retry_after(quota, now),
            f"customer {customer.name}: {use.admitted(now, self.window)} admitted here and "
            f"{use.elsewhere} elsewhere in {self.window:g} s, limit {quota.limit:g}",
        )

    def not_run(self, customer: Customer | None) -> None:
        """Take back a request that was admitted and then refused by us."""
        limited = None if customer is None else self._limited_by_name.get(customer.name)
        if limited is not None:
            limited.use.not_run()

    def counts(self, now: float) -> Counter[int]:
        """Return what this entry admitted and was asked for, by the numbers of customers."""
        counts: Counter[int] = Counter()
        for name, limited in list(self._active_by_name.items()):
            admitted = limited.use.admitted(now, self.window)
            asked = limited.use.asked(now)
            if admitted:
                counts[limited.admitted_number] = admitted
            if asked:
                counts[limited.asked_number] = asked
            if not admitted and not asked:
                del self._active_by_name[name]
        return counts

    def heard(self, number: int, change: int) -> None:
        """Take a change of what the others admitted or were asked for."""
        limited = self._limited_by_number.get(number)
        if limited is not None:
            limited.use.heard(change, asked=number == limited.asked_number)

    def worth_telling(self, total: Mapping[int, int]) -> Counter[int]:
        """Return the counts of all entries without those of customers far below their limits."""
        told = Counter(total)
        for limited in self._limited_by_name.values():
            admitted, asked = limited.admitted_number, limited.asked_number
            expected = forecast(total.get(admitted, 0), total.get(asked, 0))
            if expected < TELL_SHARE * limited.quota.limit:
                told.pop(admitted, None)
                told.pop(asked, None)
        return told

    def _new(self, name: str, quota: Quota) -> "_Limited":
        limited = _Limited(quota, _number("admitted", name), _number("asked", name))
        limited.use.elsewhere = self._known(limited.admitted_number)
        limited.use.asked_elsewhere = self._known(limited.asked_number)
        return limited

    def _part(self, quota: Quota, now: float) -> float:
        """Return the part of a limit that the entries which are heard may use."""
        age = now - self.started
        if self.elder_heard or age >= self.window:
            heard = self.live / max(self.live, self.recorded)
            return 1.0 if age < FIRST_NEWS else heard
        # What the customer used before all entries started is unknown, and still counts.
        spare = SPARE_SHARE * (self._overage * quota.limit + self._slack)
        return min(1.0, age / self.window + spare / quota.limit)


def _number(what: str, name: str) -> int:
    return crc32(f"{what}/{name}".encode())
