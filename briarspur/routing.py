"""Filters: which region serves a request and where in it, under the caps on shifts."""

import random
from dataclasses import replace

from briarspur.codes import Code
from briarspur.coord.escrow import EscrowSettings, base_shares
from briarspur.coord.retry import RetryBudget
from briarspur.coord.shift import ShiftBudget, ShiftCap
from briarspur.messages import Priority, ShiftKind
from briarspur.placement import Placed, Placement, Refused
from briarspur.policy import Policy
from briarspur.refusal import Refusal
from briarspur.region import RegionChooser, Splits
from briarspur.work import Work

__all__ = ["Routing"]

NO_TARGET_RETRY_AFTER = 1.0
"""Seconds; entries and targets are found anew about as fast."""

SPILLS_ON = frozenset({Code.OVERLOADED, Code.REGION_FULL, Code.NO_TARGET})
"""Refusals of a region after which another region may take the request."""


class Routing:
    """Chooses region and place; owns the budgets of shifts and retries.

    Parameters
    ----------
    me : str
        This entry's id.
    region : str
        Its region.
    """

    def __init__(self, me: str, region: str, placement: Placement, rng: random.Random) -> None:
        self.shifts = ShiftBudget({})
        self._me = me
        self._region = region
        self._placement = placement
        self._rng = rng
        self._regions: RegionChooser | None = None
        self._retries_by_service: dict[str, RetryBudget] = {}

    def policy_accepted(self, policy: Policy, now: float) -> None:
        """Take this entry's shares of the limits and caps of a new policy."""
        self._regions = RegionChooser(policy, self._rng, self._regions)
        region = policy.regions_by_name[self._region]
        share = base_shares(region.in_flight_limit, region.entry_ids).get(self._me, 0)
        self._placement.set_limit(share, now, EscrowSettings(longest_use=policy.longest_deadline))
        entry_ids = sorted(policy.entry_zones)
        caps = {
            kind.value: ShiftCap(base_shares(cap.requests, entry_ids).get(self._me, 0), cap.window)
            for kind, cap in policy.caps_by_kind.items()
        }
        self.shifts.set_shares(caps, now)
        for service in policy.services_by_name:
            budget = self._retries_by_service.setdefault(service, RetryBudget(policy.retry_share))
            budget.set_share(policy.retry_share)

    def follow_plan(self, splits: Splits) -> None:
        """Let the splits of a plan go before the policy's."""
        if self._regions is not None:
            self._regions.follow_plan(splits)

    def first_attempt(self, work: Work) -> None:
        """Count a request towards the retry budget of its service."""
        self._retries_by_service[work.service.name].first_attempt()

    def take_retry(self, work: Work) -> bool:
        """Take one retry from the budget; False if it is spent."""
        return self._retries_by_service[work.service.name].take()

    def choose_region(self, work: Work, now: float) -> Refusal | None:
        """Set the region of a request; return why there is none.

        A request that another entry sent here to be dispatched runs here: that entry has chosen the
        region, and has taken the move from its budget.
        """
        request = work.request
        if request.forwarded_by is not None and (work.key is None or request.dispatch_only):
            work.region = self._region
            return None
        assert self._regions is not None
        service = work.service.name

        def usable(region: str) -> bool:
            return self._placement.usable(service, region)

        def gate(service: str, home: str, region: str, kind: ShiftKind) -> bool:
            return self._gate(service, home, region, kind, now)

        chosen = self._regions.choose(work.service, work.home, usable, gate)
        if chosen.is_error():
            return self._with_retry_after(chosen.error, now)
        work.region, work.moved_by = chosen.ok.region, chosen.ok.moved_by
        work.counted_at = now
        return None

    def not_sent(self, work: Work) -> None:
        """Uncount a request that was refused in the region chosen for it.

        Counted as carried, refused requests would raise what the next window lets through without
        a cap: a region that refuses everything for a while would then be flooded.
        """
        if work.counted_at is not None:
            service = work.service.name
            self.shifts.give_back(service, work.home, work.region, work.counted_at)
            work.counted_at = None

    def _gate(self, service: str, home: str, region: str, kind: ShiftKind, now: float) -> bool:
        return self.shifts.take(service, home, region, kind.value, now)

    def _with_retry_after(self, refusal: Refusal, now: float) -> Refusal:
        wait = NO_TARGET_RETRY_AFTER
        if refusal.code is Code.SHIFT_CAPPED:
            wait = self.shifts.retry_after(ShiftKind.EMERGENCY.value, now)
        return replace(refusal, retry_after=wait * (1 + self._rng.random()))

    def place(self, work: Work, now: float) -> Placed:
        """Find a place in the chosen region, or in another one if a cap allows it."""
        may_forward = _may_forward(work)
        placed = self._placement.place(work, now, may_forward)
        if not isinstance(placed, Refused) or not may_forward:
            return placed
        if placed.refusal.code not in SPILLS_ON or work.priority is Priority.BULK:
            return placed
        return self._spill(work, now) or placed

    def _spill(self, work: Work, now: float) -> Placed | None:
        """Move a request that its region can't take to the nearest one that seems to have room."""
        assert self._regions is not None
        service, refused_in = work.service.name, work.region
        for region in self._regions.spill_order(work.home):
            if region == refused_in or not self._placement.has_room(service, region, now):
                continue
            if self._gate(service, work.home, region, ShiftKind.EMERGENCY, now):
                self.not_sent(work)
                work.region, work.moved_by = region, ShiftKind.EMERGENCY
                work.counted_at = now
                placed = self._placement.place(work, now, may_forward=True)
                if not isinstance(placed, Refused):
                    return placed
        return None


def _may_forward(work: Work) -> bool:
    """Tell whether a request may go to another entry; one that was sent here must run here."""
    if work.request.dispatch_only:
        return False
    return work.request.forwarded_by is None or work.key is not None
