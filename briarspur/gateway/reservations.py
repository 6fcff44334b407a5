"""Decides which part of its quota each customer may use before the store has recorded more.

After a restart of all entries nobody knows what customers used before. The record in the store is
ahead of their use: entries admit no more than what is recorded, so a restarted fleet can regard all
of it as used and needs to refuse only what the rest of each limit has no room for.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Demand", "Reservation", "ReservationPlan", "unrecorded_use"]

UNRECORDED_SHARE = 0.5
"""Share of its limit that a customer may use without a record."""
MIN_RECORDED_SLACKS = 4.0
"""Limit from which use is recorded, as a multiple of the slack. The slack is admitted after any
restart, and serves smaller customers."""
RAISE_SHARE = 0.9
"""Share of a reservation from which a higher one is recorded; what is left must last until all
entries have received it."""
EARLY_RAISE_SHARE = 0.8
"""The same for a customer whose reservation is raised along with that of another one."""
HEADROOM = 1.2
"""Reserved requests as a multiple of the expected ones, so that few fluctuations need a write."""
LOWER_SHARE = 0.8
"""A reservation is lowered to at most this share of it; smaller steps aren't worth a write."""
LOWER_PERIOD_S = 10.0
"""Time without need for a higher reservation after which it is lowered, and after which all entries
are sure to have received the lower one."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """The recorded part of a customer's limit.

    Attributes
    ----------
    granted : int
        Requests that all entries together may admit in a window.
    counted : int
        Requests that count as used after a restart of all entries. This is more than ``granted``
        while some entries may not have received a lowered reservation yet.
    """

    granted: int
    counted: int


@dataclass(frozen=True, slots=True)
class Demand:
    """A customer's need, in requests per window.

    Attributes
    ----------
    expected : float
        Requests that a window will soon have if all offered requests are admitted.
    limit : float
        Requests that the customer may use at most.
    unrecorded : float
        Requests that it may use without a record.
    used_before : float
        Requests that may have been admitted before a restart of all entries and still count.
    """

    expected: float
    limit: float
    unrecorded: float
    used_before: float = 0.0

    def needs_more(self, reservation: Reservation, share: float) -> bool:
        """Return whether the need exceeds a share of a reservation that can be raised."""
        is_raisable = reservation.granted < round(self.limit)
        return is_raisable and self.used_before + self.expected > share * reservation.granted


def unrecorded_use(limit: float, slack: float) -> float:
    """Return the requests that a customer may use without a record."""
    return limit if limit < MIN_RECORDED_SLACKS * slack else UNRECORDED_SHARE * limit


class ReservationPlan:
    """Follows the needs of all customers and returns the reservations to record.

    One record holds all customers, so changes that can wait are made along with others.
    """

    def __init__(self) -> None:
        self._period_start = float("-inf")
        self._highest_by_name: dict[str, float] = {}

    def update(
        self, recorded: Mapping[str, Reservation], demands: Mapping[str, Demand], now: float
    ) -> dict[str, Reservation]:
        """Return the reservations to record; equal to ``recorded`` if nothing needs to change."""
        before_by_name = {
            name: recorded.get(name) or _unrecorded(demands[name]) for name in demands
        }
        is_period_over = self._record_needs(demands, now)
        is_raise_due = any(
            demand.needs_more(before_by_name[name], RAISE_SHARE) for name, demand in demands.items()
        )
        raise_share = EARLY_RAISE_SHARE if is_raise_due else RAISE_SHARE
        planned: dict[str, Reservation] = {}
        for name, demand in demands.items():
            before = before_by_name[name]
            after = _raised(before, demand) if demand.needs_more(before, raise_share) else before
            if after == before and is_period_over:
                after = _lowered(before, demand, self._highest_by_name[name])
            if after.counted > round(demand.unrecorded):
                planned[name] = after
        if is_period_over:
            self._highest_by_name = {}
        return planned

    def _record_needs(self, demands: Mapping[str, Demand], now: float) -> bool:
        """Record the highest need of each customer; return whether a period is over."""
        if self._period_start == float("-inf"):
            self._period_start = now
        for name, demand in demands.items():
            highest = self._highest_by_name.get(name, 0.0)
            self._highest_by_name[name] = max(highest, demand.expected)
        if now - self._period_start < LOWER_PERIOD_S:
            return False
        self._period_start = now
        return True


def _raised(before: Reservation, demand: Demand) -> Reservation:
    granted = max(before.granted, _reserved(demand.expected, demand))
    return Reservation(granted, max(before.counted, granted))


def _lowered(before: Reservation, demand: Demand, highest: float) -> Reservation:
    granted = _reserved(highest, demand)
    if granted <= LOWER_SHARE * before.granted:
        return Reservation(granted, before.granted)
    return Reservation(before.granted, before.granted)


def _unrecorded(demand: Demand) -> Reservation:
    return Reservation(round(demand.unrecorded), round(demand.unrecorded))


def _reserved(expected: float, demand: Demand) -> int:
    needed = demand.used_before + HEADROOM * expected
    return round(min(demand.limit, max(demand.unrecorded, needed)))
