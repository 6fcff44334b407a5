"""Pipeline filters that choose the region and the place for a request, within the shift caps."""

import random
from dataclasses import replace

from briarspur.codes import Code
from briarspur.coord.escrow import EscrowSettings, base_shares
from briarspur.coord.retry import RetryBudget
from briarspur.coord.shift import ShiftBudget, ShiftCap
from briarspur.messages import Priority, ShiftKind
from briarspur.placement import Placement, PlacementResult, Refused
from briarspur.policy import Policy
from briarspur.refusal import Refusal
from briarspur.region import RegionChooser, Splits
from briarspur.work import Work

__all__ = ["Routing"]

NO_TARGET_RETRY_AFTER_S = 1.0
"""About the time in which entries and targets are rediscovered."""

SPILL_CODES = frozenset({Code.OVERLOADED, Code.REGION_FULL, Code.NO_TARGET})
"""Codes of a region's refusal after which another region may serve the request."""


class Routing:
    """Chooses the region and the place for requests; owns the shift and retry budgets.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    region : str
        This entry's region.
    """

    def __init__(
        self, entry_id: str, region: str, placement: Placement, rng: random.Random
    ) -> None:
        self.shifts = ShiftBudget({})
        self._entry_id = entry_id
        self._region = region
        self._placement = placement
        self._rng = rng
        self._regions: RegionChooser | None = None
        self._retries_by_service: dict[str, RetryBudget] = {}

    def apply_policy(self, policy: Policy, now: float) -> None:
        """Apply this entry's shares of the limits and caps in a new policy."""
        self._regions = RegionChooser(policy, self._rng, self._regions)
        region = policy.regions_by_name[self._region]
        share = base_shares(region.in_flight_limit, region.entry_ids).get(self._entry_id, 0)
        self._placement.set_limit(share, now, EscrowSettings(max_use=policy.max_deadline))
        entry_ids = sorted(policy.zone_by_entry)
        caps = {
            kind.value: ShiftCap(
                base_shares(cap.requests, entry_ids).get(self._entry_id, 0), cap.window
            )
            for kind, cap in policy.caps_by_kind.items()
        }
        self.shifts.set_shares(caps, now)
        for service in policy.services_by_name:
            budget = self._retries_by_service.setdefault(service, RetryBudget(policy.retry_share))
            budget.set_share(policy.retry_share)

    def apply_plan(self, splits: Splits) -> None:
        """Use the splits of a plan in preference to the policy's."""
        if self._regions is not None:
            self._regions.apply_plan(splits)

    def record_first_attempt(self, work: Work) -> None:
        """Count a request towards the retry budget of its service."""
        self._retries_by_service[work.service.name].record_first_attempt()

    def take_retry(self, work: Work) -> bool:
        """Take one retry from the budget of the service; return False if it is exhausted."""
        return self._retries_by_service[work.service.name].take()

    def choose_region(self, work: Work, now: float) -> Refusal | None:
        """Choose the region of a request; return a refusal if no region can serve it.

        A request that another entry forwarded here for dispatch runs in this region: the other
        entry has already chosen the region and charged the shift to its own budget.
        """
        request = work.request
        if request.forwarded_by is not None and (work.key is None or request.dispatch_only):
            work.region = self._region
            return None
        assert self._regions is not None
        service = work.service.name

        def is_usable(region: str) -> bool:
            return self._placement.is_usable(service, region)

        def admit_shift(service: str, home: str, region: str, kind: ShiftKind) -> bool:
            return self._admit_shift(service, home, region, kind, now)

        chosen = self._regions.choose(work.service, work.home, is_usable, admit_shift)
        if chosen.is_error():
            return self._with_retry_after(chosen.error, now)
        work.region, work.moved_by = chosen.ok.region, chosen.ok.moved_by
        work.counted_at = now
        return None

    def cancel_shift(self, work: Work) -> None:
        """Remove a request that its chosen region refused from the shift budget.

        The requests counted in one window pass uncapped in the next. If refused requests were
        counted, a region that refuses everything for a while would be flooded afterwards.
        """
        if work.counted_at is not None:
            service = work.service.name
            self.shifts.cancel(service, work.home, work.region, work.counted_at)
            work.counted_at = None

    def _admit_shift(
        self, service: str, home: str, region: str, kind: ShiftKind, now: float
    ) -> bool:
        return self.shifts.admit(service, home, region, kind.value, now)

    def _with_retry_after(self, refusal: Refusal, now: float) -> Refusal:
        wait = NO_TARGET_RETRY_AFTER_S
        if refusal.code is Code.SHIFT_CAPPED:
            wait = self.shifts.retry_after(ShiftKind.EMERGENCY.value, now)
        return replace(refusal, retry_after=wait * (1 + self._rng.random()))

    def place(self, work: Work, now: float) -> PlacementResult:
        """Place a request in the chosen region, or in another one if a shift cap allows it."""
        may_forward = _may_forward(work)
        placed = self._placement.place(work, now, may_forward)
        if not isinstance(placed, Refused) or not may_forward:
            return placed
        if placed.refusal.code not in SPILL_CODES or work.priority is Priority.BULK:
            return placed
        return self._spill(work, now) or placed

    def _spill(self, work: Work, now: float) -> PlacementResult | None:
        """Move a request from the region that refused it to the nearest one with room."""
        assert self._regions is not None
        service, refused_in = work.service.name, work.region
        for region in self._regions.spill_order(work.home):
            if region == refused_in or not self._placement.has_room(service, region, now):
                continue
            if self._admit_shift(service, work.home, region, ShiftKind.EMERGENCY, now):
                self.cancel_shift(work)
                work.region, work.moved_by = region, ShiftKind.EMERGENCY
                work.counted_at = now
                placed = self._placement.place(work, now, may_forward=True)
                if not isinstance(placed, Refused):
                    return placed
        return None


def _may_forward(work: Work) -> bool:
    """Return whether a request may be forwarded; one forwarded here for dispatch must run here."""
    if work.request.dispatch_only:
        return False
    return work.request.forwarded_by is None or work.key is not None
