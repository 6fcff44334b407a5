"""Shift budget: limits how fast traffic moves between regions.

A *flow* is the traffic of one service and one home region that goes to one region. It is *away* if
the two regions differ. A *shift* is traffic of a flow beyond what the flow carried in the previous
window, whatever moved it: a plan, a failover, a retry, a drain, the return home, or changed
look-ups.

Each member limits, for each service, destination region and kind, in each window of that kind:

- away requests beyond what their flows carried in the previous window: at most the kind's share;
- home requests beyond what the home flow carried in the previous window and beyond the growth of
  the service's traffic from that home: at most the share of the kind ``return``.

Each member holds an integer share of each cap, and the shares add up to the cap. So the sum over
members and flows to one destination is bounded by the cap, whatever plan they follow: an incorrect,
duplicated or replayed plan moves no more traffic than a correct one. The windows of different
members aren't aligned, so an outside observer's window may overlap two of them: at most twice the
cap.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from briarspur.coord.invariants import invariants

__all__ = ["RETURN", "ShiftBudget", "ShiftCap"]

RETURN = "return"
"""Kind whose cap applies to traffic that returns home, whatever kind the caller passes."""


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """A share of a cap: ``requests`` in each window of ``window`` seconds."""

    requests: int
    window: float


@dataclass(frozen=True, slots=True)
class Flow:
    """Traffic of one service and one home region to one region."""

    service: str
    home: str
    region: str


@dataclass(slots=True)
class Ledger:
    """Requests by flow in the current and the previous window of one length, in seconds."""

    window: float
    number: int = -1
    current_by_flow: Counter[Flow] = field(default_factory=Counter)
    previous_by_flow: Counter[Flow] = field(default_factory=Counter)
    current_by_home: Counter[tuple[str, str]] = field(default_factory=Counter)
    previous_by_home: Counter[tuple[str, str]] = field(default_factory=Counter)
    charged_by_cap: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    def advance(self, now: float) -> None:
        """Start the window that contains ``now``; windows without traffic count as zero."""
        number = math.floor(now / self.window)
        # A clock that goes backwards must not reopen a window and renew its budget.
        if number <= self.number:
            return
        is_next = number == self.number + 1
        self.previous_by_flow = self.current_by_flow if is_next else Counter()
        self.previous_by_home = self.current_by_home if is_next else Counter()
        self.current_by_flow = Counter()
        self.current_by_home = Counter()
        self.charged_by_cap = Counter()
        self.number = number

    def is_shift(self, flow: Flow) -> bool:
        """Return whether one more request of the flow is a shift."""
        allowed = self.previous_by_flow[flow]
        if flow.region == flow.home:
            home = (flow.service, flow.home)
            # Growth of home traffic is no shift; only requests that return from other regions are.
            allowed += max(0, self.current_by_home[home] + 1 - self.previous_by_home[home])
        return self.current_by_flow[flow] >= allowed

    def record(self, flow: Flow) -> None:
        """Count one request of the flow."""
        self.current_by_flow[flow] += 1
        self.current_by_home[flow.service, flow.home] += 1

    def remove(self, flow: Flow, admitted_at: float) -> None:
        """Uncount one request, if its window is still the current one."""
        if math.floor(admitted_at / self.window) == self.number and self.current_by_flow[flow] > 0:
            self.current_by_flow[flow] -= 1
            self.current_by_home[flow.service, flow.home] -= 1


class ShiftBudget:
    """Limits the traffic that one member shifts.

    Parameters
    ----------
    share_by_kind : mapping of str to ShiftCap
        This member's share of each cap; see :func:`briarspur.coord.escrow.base_shares`.
    propagation : float
        Seconds within which new shares reach every member.
    """

    def __init__(self, share_by_kind: Mapping[str, ShiftCap], propagation: float = 18.0) -> None:
        self._share_by_kind: dict[str, ShiftCap] = {}
        self._previous_share_by_kind: dict[str, int] = {}
        self._previous_shares_until = -math.inf
        self._propagation = propagation
        self._ledger_by_window: dict[float, Ledger] = {}
        self.set_shares(share_by_kind, -math.inf)

    def set_shares(self, share_by_kind: Mapping[str, ShiftCap], now: float) -> None:
        """Set the shares of a new policy: smaller ones apply immediately, larger ones later.

        A larger share applies after the propagation time. Until then, the member that gives up
        this growth may still use its previous, larger share. Counts of the current and the previous
        window are kept.
        """
        if dict(share_by_kind) == self._share_by_kind:
            return
        self._previous_share_by_kind = {
            kind: self._share(kind, now) for kind in self._share_by_kind
        }
        self._previous_shares_until = now + self._propagation
        self._share_by_kind = dict(share_by_kind)
        windows = {cap.window for cap in share_by_kind.values()}
        self._ledger_by_window = {
            window: self._ledger_by_window.get(window) or Ledger(window) for window in windows
        }

    def admit(self, service: str, home: str, region: str, kind: str, now: float) -> bool:
        """Count one request to ``region`` and return True, unless the caps forbid it.

        Parameters
        ----------
        kind : str
            What moved the request, if it is away. If the request is a shift, it is charged to the
            cap of this kind.
        """
        flow = Flow(service, home, region)
        kind = RETURN if region == home else kind
        if not self._allowed(flow, kind, now):
            return False
        ledger = self._ledger(kind, now)
        if ledger.is_shift(flow):
            ledger.charged_by_cap[service, region, kind] += 1
            charged = ledger.charged_by_cap[service, region, kind]
            cap = self._share(kind, now)
            invariants.check("shift.within-cap", charged <= cap, (flow, kind, charged, cap))
        for window_ledger in self._ledger_by_window.values():
            window_ledger.advance(now)
            window_ledger.record(flow)
        return True

    def cancel(self, service: str, home: str, region: str, admitted_at: float) -> None:
        """Uncount a request that ``admit`` counted at ``admitted_at`` and that was not sent.

        Otherwise it would count as carried, and the flow could carry as much in the next window
        without being charged to a cap. The charge to a cap remains: another request may have been
        admitted since because of it.
        """
        flow = Flow(service, home, region)
        for ledger in self._ledger_by_window.values():
            ledger.remove(flow, admitted_at)

    def allowed(self, service: str, home: str, region: str, kind: str, now: float) -> bool:
        """Return what :meth:`admit` would return, without counting the request."""
        return self._allowed(Flow(service, home, region), RETURN if region == home else kind, now)

    def retry_after(self, kind: str, now: float) -> float:
        """Return the seconds until the next window of ``kind`` starts."""
        window = self._share_by_kind[kind].window
        return window - now % window

    def _ledger(self, kind: str, now: float) -> Ledger:
        ledger = self._ledger_by_window[self._share_by_kind[kind].window]
        ledger.advance(now)
        return ledger

    def _allowed(self, flow: Flow, kind: str, now: float) -> bool:
        ledger = self._ledger(kind, now)
        charged = ledger.charged_by_cap[flow.service, flow.region, kind]
        return not ledger.is_shift(flow) or charged < self._share(kind, now)

    def _share(self, kind: str, now: float) -> int:
        share = self._share_by_kind[kind].requests
        if now >= self._previous_shares_until:
            return share
        return min(share, self._previous_share_by_kind.get(kind, share))
