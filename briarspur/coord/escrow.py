"""Escrow: the units of a limit that members hold never add up to more than the limit.

Each member starts with an integer share (:func:`base_shares`). A member may lend units for a
limited lifetime: the lender subtracts them before the borrower adds them. The loan expires at the
borrower by the borrower's clock, counted from before the request was sent. It expires at the lender
by the lender's clock, counted from when the loan was granted, plus a margin. So a lost, delayed,
duplicated or reordered message can leave capacity unused for a while, but never creates any.

Work that uses borrowed units must end before the loan expires. ``acquire`` therefore requires the
time by which the work ends, and refuses work that may outlast the capacity it uses. The caller of
``acquire`` must end the work by that time.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Sequence
from dataclasses import dataclass

from briarspur.coord.invariants import invariants

__all__ = ["Account", "EscrowSettings", "Loan", "base_shares"]


def base_shares(limit: int, entry_ids: Sequence[str]) -> dict[str, int]:
    """Return integer shares that sum to exactly ``limit``; the first ids get one unit more."""
    if not entry_ids:
        return {}
    ordered = sorted(entry_ids)
    each, remainder = divmod(limit, len(ordered))
    return {entry_id: each + (n < remainder) for n, entry_id in enumerate(ordered)}


@dataclass(frozen=True, slots=True)
class EscrowSettings:
    """Settings of an account; times in seconds.

    Attributes
    ----------
    margin : float
        Added to a loan's lifetime on the lender's clock.
    max_drift : float
        Maximum relative difference in rate between two clocks.
    max_use : float
        Maximum duration of work that ``acquire`` accepts: the longest deadline of any request.
    max_loan : float
        Maximum lifetime of a loan.
    propagation : float
        Time within which a new base reaches every member.
    lendable_share : float
        Fraction of the base that may be lent. A fresh process withholds this fraction at first,
        because an earlier process with the same member id may have lent it.
    """

    margin: float = 1.0
    max_drift: float = 0.002
    max_use: float = 3_600.0
    max_loan: float = 10.0
    propagation: float = 18.0
    lendable_share: float = 0.5

    @property
    def max_loan_expiry(self) -> float:
        """Seconds on the lender's clock after which the longest loan has expired everywhere."""
        return self.max_loan * (1.0 + self.max_drift) + self.margin

    def hold_off(self, max_use: float) -> float:
        """Return the seconds to wait before using units that another member may still use."""
        return (self.propagation + max(max_use, self.max_loan_expiry)) * (1.0 + self.max_drift)


@dataclass(frozen=True, slots=True)
class Loan:
    """An amount that is valid until ``until``, on the clock of the member that stores it."""

    amount: int
    until: float


class Account:
    """The units of one limit that one member holds.

    Parameters
    ----------
    resource : str
        Name of the limit, for instance ``in-flight/north``.
    base : int
        The member's share of the limit.
    now : float
        When the process started, on its monotonic clock.
    settings : EscrowSettings
        Must be the same at every member.
    fresh : bool
        An earlier process may have lent the lendable units: withhold them until such loans have
        expired.
    """

    def __init__(
        self,
        resource: str,
        base: int,
        now: float = 0.0,
        settings: EscrowSettings | None = None,
        fresh: bool = False,
    ) -> None:
        self.resource = resource
        self._settings = settings or EscrowSettings()
        self._base = base
        self._next_base: Loan | None = None
        self._lent_by_id: dict[str, Loan] = {}
        self._borrowed_by_id: dict[str, Loan] = {}
        self._max_use = self._settings.max_use
        self._max_use_from = now
        self._interim_max_use = self._settings.max_use
        self._hold_off_max_use = self._settings.max_use
        self._uses: list[float] = []
        if fresh:
            self._base = base - self._lendable(base)
            self._next_base = Loan(base, now + self._settings.max_loan_expiry)

    @property
    def in_use(self) -> int:
        """Number of units acquired and not yet released."""
        return len(self._uses)

    def held(self, now: float) -> int:
        """Return the number of units that this member may use at ``now``."""
        self._advance(now)
        return max(0, self._held_at(now))

    def free(self, now: float, until: float | None = None) -> int:
        """Return the number of free units for work that starts now and ends by ``until``."""
        self._advance(now)
        return max(0, self._min_free(now, self._end_of_use(now, until)))

    def acquire(self, now: float, until: float | None = None) -> bool:
        """Acquire one unit for work that ends by ``until``; return False if none is free.

        Parameters
        ----------
        until : float or None
            None means the maximum duration from now, which loans rarely cover.
        """
        end = self._end_of_use(now, until)
        if end > now + self._max_use_at(now) or self.free(now, end) < 1:
            return False
        insort(self._uses, end)
        invariants.check(
            "escrow.use-within-held",
            len(self._uses) <= self._held_at(now),
            (self.resource, self._uses, now),
        )
        return True

    def release(self, until: float | None = None) -> None:
        """Release one unit.

        Parameters
        ----------
        until : float or None
            The value passed to ``acquire``. If None, the use with the earliest end is released,
            which is the conservative choice.
        """
        if not self._uses:
            invariants.check("escrow.release-after-take", False, self.resource)
            return
        index = 0 if until is None else bisect_left(self._uses, until)
        is_known = until is None or self._uses[index : index + 1] == [until]
        self._uses.pop(index if is_known else 0)

    def lend(self, transfer_id: str, amount: int, lifetime: float, now: float) -> int:
        """Lend units to another member; return the number granted, at most ``amount``.

        The units are subtracted before the reply is sent, so a lost reply only leaves them unused
        until the loan expires. A repeated ``transfer_id`` gets the first reply again: a duplicated
        request must not be subtracted by the lender, and added by the borrower, twice.
        """
        self._advance(now)
        known = self._lent_by_id.get(transfer_id)
        if known is not None:
            return known.amount
        if lifetime > self._settings.max_loan:
            return 0
        expires_at = now + lifetime * (1.0 + self._settings.max_drift) + self._settings.margin
        lendable = self._lendable(self._base) - sum(v.amount for v in self._lent_by_id.values())
        granted = max(0, min(amount, lendable, self._min_free(now, expires_at)))
        self._lent_by_id[transfer_id] = Loan(granted, expires_at)
        return granted

    def add_borrowed(
        self, transfer_id: str, granted: int, requested_at: float, lifetime: float
    ) -> None:
        """Add units that another member granted.

        Parameters
        ----------
        requested_at : float
            When the request was sent, on this member's clock. This is before the lender granted the
            loan, so it expires here before it expires at the lender.
        """
        # A duplicated reply must not be added twice.
        self._borrowed_by_id.setdefault(transfer_id, Loan(granted, requested_at + lifetime))

    def set_base(self, base: int, now: float) -> None:
        """Set a new share: a smaller one applies immediately, a larger one after the hold-off.

        Another member may still use the units that this one gains, until it has received its own
        smaller share and the work it accepted before that has ended.
        """
        self._advance(now)
        if base <= self._base:
            self._base = base
            self._next_base = None
            return
        if self._next_base is None or self._next_base.amount != base:
            self._next_base = Loan(base, now + self._hold_off())

    def set_max_use(self, max_use: float, now: float) -> None:
        """Set the maximum duration of work: a shorter one applies immediately, a longer one later.

        Until every member knows the longer duration, the hold-off of some member may be too short,
        and that member would use units on which such work still runs. The hold-off of this account
        never gets shorter: others may have started long work under an earlier maximum.
        """
        if max_use == self._max_use:
            return
        self._interim_max_use = min(self._max_use_at(now), max_use)
        self._max_use_from = now + self._settings.propagation * (1.0 + self._settings.max_drift)
        self._max_use = max_use
        self._hold_off_max_use = max(self._hold_off_max_use, max_use)

    def _max_use_at(self, now: float) -> float:
        return self._max_use if now >= self._max_use_from else self._interim_max_use

    def _hold_off(self) -> float:
        return self._settings.hold_off(self._hold_off_max_use)

    def _end_of_use(self, now: float, until: float | None) -> float:
        return now + self._max_use_at(now) if until is None else until

    def _lendable(self, base: int) -> int:
        return math.floor(base * self._settings.lendable_share)

    def _advance(self, now: float) -> None:
        """Apply a pending base and drop loans whose time has come by ``now``."""
        if self._next_base is not None and self._next_base.until <= now:
            self._base = self._next_base.amount
            self._next_base = None
        for loans_by_id in (self._lent_by_id, self._borrowed_by_id):
            for transfer_id in [i for i, loan in loans_by_id.items() if loan.until <= now]:
                del loans_by_id[transfer_id]

    def _held_at(self, time: float) -> int:
        """Return the units held at ``time``, now or later, if nothing else happens."""
        lent = sum(loan.amount for loan in self._lent_by_id.values() if loan.until > time)
        borrowed = sum(loan.amount for loan in self._borrowed_by_id.values() if loan.until > time)
        return self._base - lent + borrowed

    def _min_free(self, now: float, until: float) -> int:
        """Return the minimum of held minus used units over all times from ``now`` to ``until``.

        The difference shrinks only when a loan to this member expires, so it suffices to check
        these times and ``now``.
        """
        ends = [loan.until for loan in self._borrowed_by_id.values() if now < loan.until < until]
        return min(self._held_at(time) - self._used_at(time, now) for time in [now, *ends])

    def _used_at(self, time: float, now: float) -> int:
        """Return the number of uses that may still be active at ``time``; overdue ones count."""
        overdue = bisect_right(self._uses, now)
        ending = bisect_right(self._uses, time)
        return len(self._uses) - ending + overdue
