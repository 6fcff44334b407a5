"""Shift budget: traffic moves between regions only as fast as its caps allow.

A *flow* is the traffic of one service and one home region that goes to one region. It is away if
the two regions differ. A shift is traffic of a flow beyond what the flow carried a window ago,
whatever moved it: a plan, a failover, a retry, a drain, the return home, or changed look-ups.

What is bounded, for each member, service, destination region and kind, in each window of that kind:

- away requests beyond what their flows carried in the window before: at most the kind's share;
- home requests beyond what the home flow carried in the window before and beyond the growth of the
  service's traffic from that home: at most the share of the kind ``return``.

Each member holds an integer share of each cap, and the shares add up to the cap. So the sum over
members and flows to one destination is bounded by the cap, whatever plan they follow: a plan that
is wrong, doubled or replayed moves no more than a right one. Windows of different members aren't
aligned, so a window of an outside observer may see the ends of two windows: at most twice the cap.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from briarspur.coord.invariants import invariants

__all__ = ["RETURN", "ShiftBudget", "ShiftCap"]

RETURN = "return"
"""The kind that traffic going home draws on, whatever the caller says."""


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """A share of a cap: ``requests`` in each window of ``window`` seconds."""

    requests: int
    window: float


@dataclass(frozen=True, slots=True)
class Flow:
    """Traffic of one service and home region to one region."""

    service: str
    home: str
    region: str


@dataclass(slots=True)
class Ledger:
    """Requests by flow in the current window of one length, and in the window before."""

    window: float
    number: int = -1
    now_by_flow: Counter[Flow] = field(default_factory=Counter)
    before_by_flow: Counter[Flow] = field(default_factory=Counter)
    now_by_home: Counter[tuple[str, str]] = field(default_factory=Counter)
    before_by_home: Counter[tuple[str, str]] = field(default_factory=Counter)
    drawn_by_draw: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    def advance(self, now: float) -> None:
        """Begin the window that ``now`` is in; windows without traffic count as zero."""
        number = math.floor(now / self.window)
        # A clock that seems to go back must not open a window again, and with it the budget.
        if number <= self.number:
            return
        follows = number == self.number + 1
        self.before_by_flow = self.now_by_flow if follows else Counter()
        self.before_by_home = self.now_by_home if follows else Counter()
        self.now_by_flow = Counter()
        self.now_by_home = Counter()
        self.drawn_by_draw = Counter()
        self.number = number

    def is_shift(self, flow: Flow) -> bool:
        """Return whether one more request of the flow is a shift."""
        allowed = self.before_by_flow[flow]
        if flow.region == flow.home:
            home = (flow.service, flow.home)
            # More callers at home are no shift; only the part regained from other regions is.
            allowed += max(0, self.now_by_home[home] + 1 - self.before_by_home[home])
        return self.now_by_flow[flow] >= allowed

    def record(self, flow: Flow) -> None:
        """Count one request."""
        self.now_by_flow[flow] += 1
        self.now_by_home[flow.service, flow.home] += 1

    def uncount(self, flow: Flow, taken_at: float) -> None:
        """Take back one request, if its window is still the current one."""
        if math.floor(taken_at / self.window) == self.number and self.now_by_flow[flow] > 0:
            self.now_by_flow[flow] -= 1
            self.now_by_home[flow.service, flow.home] -= 1


class ShiftBudget:
    """What one member may shift.

    Parameters
    ----------
    share_by_kind : mapping of str to ShiftCap
        This member's share of each cap; see :func:`briarspur.coord.escrow.base_shares`.
    spread : float
        Seconds in which new shares reach every member.
    """

    def __init__(self, share_by_kind: Mapping[str, ShiftCap], spread: float = 18.0) -> None:
        self._share_by_kind: dict[str, ShiftCap] = {}
        self._former_by_kind: dict[str, int] = {}
        self._former_until = -math.inf
        self._spread = spread
        self._ledger_by_window: dict[float, Ledger] = {}
        self.set_shares(share_by_kind, -math.inf)

    def set_shares(self, share_by_kind: Mapping[str, ShiftCap], now: float) -> None:
        """Take new shares, from a new policy: smaller ones at once, larger ones after the spread.

        Until then another member may still draw on a larger share of its own, which this one's
        growth was taken from. What was carried and drawn is kept.
        """
        if dict(share_by_kind) == self._share_by_kind:
            return
        self._former_by_kind = {kind: self._share(kind, now) for kind in self._share_by_kind}
        self._former_until = now + self._spread
        self._share_by_kind = dict(share_by_kind)
        windows = {cap.window for cap in share_by_kind.values()}
        self._ledger_by_window = {
            window: self._ledger_by_window.get(window) or Ledger(window) for window in windows
        }

    def take(self, service: str, home: str, region: str, kind: str, now: float) -> bool:
        """Count one request to ``region`` and return True, unless the caps forbid it.

        Parameters
        ----------
        kind : str
            What moved the request, if it is away; its cap pays where a cap must pay.
        """
        flow = Flow(service, home, region)
        kind = RETURN if region == home else kind
        if not self._allowed(flow, kind, now):
            return False
        ledger = self._ledger(kind, now)
        if ledger.is_shift(flow):
            ledger.drawn_by_draw[service, region, kind] += 1
            drawn = ledger.drawn_by_draw[service, region, kind]
            cap = self._share(kind, now)
            invariants.check("shift.within-cap", drawn <= cap, (flow, kind, drawn, cap))
        for each in self._ledger_by_window.values():
            each.advance(now)
            each.record(flow)
        return True

    def give_back(self, service: str, home: str, region: str, taken_at: float) -> None:
        """Uncount a request that ``take`` counted at ``taken_at``, but that was not sent after all.

        Else it would count as carried, and let the flow carry as much in the next window without
        drawing on a cap. What it drew on a cap stays drawn: another request may have gone since on
        the strength of it.
        """
        flow = Flow(service, home, region)
        for ledger in self._ledger_by_window.values():
            ledger.uncount(flow, taken_at)

    def allowed(self, service: str, home: str, region: str, kind: str, now: float) -> bool:
        """Return what :meth:`take` would, and count nothing."""
        return self._allowed(Flow(service, home, region), RETURN if region == home else kind, now)

    def retry_after(self, kind: str, now: float) -> float:
        """Return the seconds until the next window of ``kind`` begins."""
        window = self._share_by_kind[kind].window
        return window - now % window

    def _ledger(self, kind: str, now: float) -> Ledger:
        ledger = self._ledger_by_window[self._share_by_kind[kind].window]
        ledger.advance(now)
        return ledger

    def _allowed(self, flow: Flow, kind: str, now: float) -> bool:
        ledger = self._ledger(kind, now)
        drawn = ledger.drawn_by_draw[flow.service, flow.region, kind]
        return not ledger.is_shift(flow) or drawn < self._share(kind, now)

    def _share(self, kind: str, now: float) -> int:
        share = self._share_by_kind[kind].requests
        if now >= self._former_until:
            return share
        return min(share, self._former_by_kind.get(kind, share))
