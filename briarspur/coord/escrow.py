"""Escrow: the parts of a limit that members hold never add up to more than the limit.

Each member starts with an integer share (:func:`base_shares`). A member may lend a part for a
lifetime: it subtracts first, and only then does the borrower add. The borrower's part ends on the
borrower's clock, counted from before it asked; the giver takes the part back on its own clock,
counted from when it granted, and later by a margin. So a lost, late, doubled or reordered message
can leave capacity unused for a while, but never makes any.

Work taken on a part that ends must end with it. ``take`` therefore asks until when the work may
last, and refuses work that may outlast the capacity it would stand on. The caller of ``take`` must
end the work by that time.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Sequence
from dataclasses import dataclass

from briarspur.coord.invariants import invariants

__all__ = ["Account", "EscrowSettings", "Loan", "base_shares"]


def base_shares(limit: int, entry_ids: Sequence[str]) -> dict[str, int]:
    """Return integer shares whose sum is exactly ``limit``; the first ids get one unit more."""
    if not entry_ids:
        return {}
    ordered = sorted(entry_ids)
    each, rest = divmod(limit, len(ordered))
    return {entry_id: each + (n < rest) for n, entry_id in enumerate(ordered)}


@dataclass(frozen=True, slots=True)
class EscrowSettings:
    """Times of an account, in seconds.

    Attributes
    ----------
    margin : float
        Added to a loan's lifetime on the giver's clock.
    drift : float
        Greatest relative difference of rate between two clocks.
    longest_use : float
        Longest work that ``take`` allows; the longest deadline of any request.
    longest_loan : float
        Longest lifetime of a loan that is granted.
    spread : float
        Time in which a new base reaches every member.
    lendable_share : float
        Part of the base that may be lent. A fresh process holds this part back at first, because an
        earlier process of the same seat may have lent it.
    """

    margin: float = 1.0
    drift: float = 0.002
    longest_use: float = 3_600.0
    longest_loan: float = 10.0
    spread: float = 18.0
    lendable_share: float = 0.5

    @property
    def loan_ends_after(self) -> float:
        """Seconds on the giver's clock after which the longest loan has ended everywhere."""
        return self.longest_loan * (1.0 + self.drift) + self.margin

    def hold_off_for(self, longest_use: float) -> float:
        """Return the seconds to wait before using a part that another member may still use."""
        return (self.spread + max(longest_use, self.loan_ends_after)) * (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class Loan:
    """A part that was lent or borrowed, until ``until`` on the clock of the member keeping it."""

    amount: int
    until: float


class Account:
    """The part of one limit that one member holds.

    Parameters
    ----------
    resource : str
        Name of the limit, for instance ``in-flight/north``.
    base : int
        The member's share of the limit.
    now : float
        When the process began, on its monotonic clock.
    settings : EscrowSettings
        Times; the same at every member.
    fresh : bool
        An earlier process may have lent the lendable part: hold it back until such loans ended.
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
        self._longest_use = self._settings.longest_use
        self._longer_use_from = now
        self._shorter_use = self._settings.longest_use
        self._hold_off_use = self._settings.longest_use
        self._uses: list[float] = []
        if fresh:
            self._base = base - self._lendable(base)
            self._next_base = Loan(base, now + self._settings.loan_ends_after)

    @property
    def in_use(self) -> int:
        """Units taken and not released."""
        return len(self._uses)

    def held(self, now: float) -> int:
        """Return the units this member may use at ``now``."""
        self._advance(now)
        return max(0, self._held_at(now))

    def free(self, now: float, until: float | None = None) -> int:
        """Return how many units work may take that begins now and ends by ``until``."""
        self._advance(now)
        return max(0, self._least_room(now, self._until(now, until)))

    def take(self, now: float, until: float | None = None) -> bool:
        """Take one unit for work that surely ends by ``until``; False if there is none.

        Parameters
        ----------
        until : float or None
            None stands for the longest use of the settings, which borrowed parts rarely cover.
        """
        end = self._until(now, until)
        if end > now + self._allowed_use(now) or self.free(now, end) < 1:
            return False
        insort(self._uses, end)
        invariants.check(
            "escrow.use-within-held",
            len(self._uses) <= self._held_at(now),
            (self.resource, self._uses, now),
        )
        return True

    def release(self, until: float | None = None) -> None:
        """Give one unit back.

        Parameters
        ----------
        until : float or None
            What ``take`` was called with. If None, the use with the earliest end is released, which
            errs on the careful side.
        """
        if not self._uses:
            invariants.check("escrow.release-after-take", False, self.resource)
            return
        index = 0 if until is None else bisect_left(self._uses, until)
        known = until is None or self._uses[index : index + 1] == [until]
        self._uses.pop(index if known else 0)

    def lend(self, transfer_id: str, amount: int, lifetime: float, now: float) -> int:
        """Grant a part to another member; return how much, at most ``amount``.

        The part is subtracted before the reply leaves, so a lost reply only wastes it until it
        comes back. A repeated ``transfer_id`` gets the first reply again: a doubled request must
        not subtract, and its borrower add, twice.
        """
        self._advance(now)
        known = self._lent_by_id.get(transfer_id)
        if known is not None:
            return known.amount
        if lifetime > self._settings.longest_loan:
            return 0
        back_at = now + lifetime * (1.0 + self._settings.drift) + self._settings.margin
        lendable = self._lendable(self._base) - sum(v.amount for v in self._lent_by_id.values())
        granted = max(0, min(amount, lendable, self._least_room(now, back_at)))
        self._lent_by_id[transfer_id] = Loan(granted, back_at)
        return granted

    def borrowed(self, transfer_id: str, granted: int, asked_at: float, lifetime: float) -> None:
        """Add a part that another member granted.

        Parameters
        ----------
        asked_at : float
            When the request was made, on this member's clock: before the giver granted, so that the
            part ends here before the giver takes it back.
        """
        # A doubled reply must not add twice.
        self._borrowed_by_id.setdefault(transfer_id, Loan(granted, asked_at + lifetime))

    def set_base(self, base: int, now: float) -> None:
        """Take a new share: a smaller one at once, a larger one after the hold-off.

        Another member may still use what this one is to get, until it has learnt of its own smaller
        share and the work it took before has ended.
        """
        self._advance(now)
        if base <= self._base:
            self._base = base
            self._next_base = None
            return
        if self._next_base is None or self._next_base.amount != base:
            self._next_base = Loan(base, now + self._hold_off())

    def set_longest_use(self, longest_use: float, now: float) -> None:
        """Take a new bound on the length of work: a shorter one at once, a longer one later.

        Until every member knows the longer bound, one of them may hold off for too short a time
        before it uses a part on which such work still runs. The hold-off here never gets shorter
        again: others may have begun long work under a former bound.
        """
        if longest_use == self._longest_use:
            return
        self._shorter_use = min(self._allowed_use(now), longest_use)
        self._longer_use_from = now + self._settings.spread * (1.0 + self._settings.drift)
        self._longest_use = longest_use
        self._hold_off_use = max(self._hold_off_use, longest_use)

    def _allowed_use(self, now: float) -> float:
        return self._longest_use if now >= self._longer_use_from else self._shorter_use

    def _hold_off(self) -> float:
        return self._settings.hold_off_for(self._hold_off_use)

    def _until(self, now: float, until: float | None) -> float:
        return now + self._allowed_use(now) if until is None else until

    def _lendable(self, base: int) -> int:
        return math.floor(base * self._settings.lendable_share)

    def _advance(self, now: float) -> None:
        """Drop what has ended by ``now``."""
        if self._next_base is not None and self._next_base.until <= now:
            self._base = self._next_base.amount
            self._next_base = None
        for loans_by_id in (self._lent_by_id, self._borrowed_by_id):
            for transfer_id in [i for i, loan in loans_by_id.items() if loan.until <= now]:
                del loans_by_id[transfer_id]

    def _held_at(self, time: float) -> int:
        """Return what is held at ``time``, now or later, if nothing else happens."""
        lent = sum(loan.amount for loan in self._lent_by_id.values() if loan.until > time)
        gained = sum(loan.amount for loan in self._borrowed_by_id.values() if loan.until > time)
        return self._base - lent + gained

    def _least_room(self, now: float, until: float) -> int:
        """Return the least of held minus used over all times from ``now`` to ``until``.

        The room shrinks only when a borrowed part ends, so these times and ``now`` are enough.
        """
        ends = [loan.until for loan in self._borrowed_by_id.values() if now < loan.until < until]
        return min(self._held_at(time) - self._used_at(time, now) for time in [now, *ends])

    def _used_at(self, time: float, now: float) -> int:
        """Return how many uses may still last at ``time``, overdue ones among them."""
        overdue = bisect_right(self._uses, now)
        ending = bisect_right(self._uses, time)
        return len(self._uses) - ending + overdue
