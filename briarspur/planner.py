"""Decides splits of traffic between regions, in steps within the caps, from lagging measurements.

The planner aims at the policy's split, corrected where a region cannot carry its part: what is too
much there goes to the nearest regions with warm capacity left. Each step is bounded by the caps,
and no step follows from a measurement that was taken before the step before it took effect.

A region that nobody reports on is taken neither for idle nor for dead. For a while every split that
would change its traffic is held; then the planner gives it no more than the policy does.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from briarspur.coord.invariants import invariants
from briarspur.loadreport import LoadDocument
from briarspur.measurements import Measurements, Picture
from briarspur.messages import ShiftKind
from briarspur.plan import PlanDocument, PlanSplit
from briarspur.policy import Policy
from briarspur.splits import Shares, are_close, policy_split, rounded, step_within_caps

__all__ = ["Planner", "PlannerSettings"]


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings; times in seconds.

    Attributes
    ----------
    usable : float
        Part of the capacity that a plan may fill.
    report_delay : float
        How old the measurements in a report may be on arrival.
    settle : float
        Least time after a step until its effect can have been measured.
    fresh : float
        A report older than this is missing.
    hold : float
        How long a plan is held while reports of a region are missing.
    least_change : float
        Smallest change of a share that is worth a step.
    """

    usable: float = 0.85
    report_delay: float = 6.0
    settle: float = 5.0
    fresh: float = 10.0
    hold: float = 60.0
    least_change: float = 0.01


class Planner:
    """Makes the plans of one holder of the lease.

    Parameters
    ----------
    holder : str
        This process; written into each plan.
    """

    def __init__(self, holder: str, settings: PlannerSettings | None = None) -> None:
        self._holder = holder
        self._settings = settings or PlannerSettings()
        self._measurements = Measurements(
            self._settings.report_delay, self._settings.fresh, self._settings.hold
        )
        self._stepped_at_by_service: dict[str, float] = {}
        self._filled_at_by_region: dict[str, float] = {}
        self._plan: PlanDocument | None = None
        self._began_at = -math.inf

    def begin(self, term: int, stored: PlanDocument | None, now: float) -> None:
        """Begin a term with the plan that is in the store; nothing measured before counts."""
        same_term = stored is not None and stored.term == term
        self._plan = PlanDocument(
            term=term,
            number=stored.number if stored is not None and same_term else 0,
            holder=self._holder,
            policy_version=stored.policy_version if stored is not None else 0,
            splits=stored.splits if stored is not None else {},
        )
        self._measurements.clear(now)
        # The holder before may have made a step just now, so its effect is not measured yet.
        self._stepped_at_by_service.clear()
        self._filled_at_by_region.clear()
        self._began_at = now

    def reported(self, document: LoadDocument, now: float) -> None:
        """Take an entry's report."""
        self._measurements.add(document, now)

    def plan(self, policy: Policy, now: float) -> PlanDocument | None:
        """Return the next plan; None if nothing is to be changed now."""
        if self._plan is None:
            return None
        picture = self._measurements.picture(now)
        splits: dict[str, dict[str, PlanSplit]] = {}
        has_step = False
        # The one that stepped longest ago goes first, so that each has its turn.
        for service in sorted(
            policy.services_by_name,
            key=lambda name: (self._stepped_at_by_service.get(name, -math.inf), name),
        ):
            before = self._current(policy, service)
            after = before
            if self._is_seen(policy, self._stepped_at_by_service.get(service), picture):
                after = self._next(policy, service, before, picture, now)
            filled = _filled(before, after)
            # All services share a region's limit: the room that one has just planned into still
            # looks free to the others, in this round and until its effect is measured.
            if not all(
                self._is_seen(policy, self._filled_at_by_region.get(region), picture)
                for region in filled
            ):
                after = before
            if after != before:
                has_step = True
                self._stepped_at_by_service[service] = now
                self._filled_at_by_region |= dict.fromkeys(filled, now)
            splits[service] = self._documents(policy, service, before, after)
        if not has_step:
            return None
        self._plan = PlanDocument(
            term=self._plan.term,
            number=self._plan.number + 1,
            holder=self._holder,
            policy_version=policy.version,
            splits=splits,
        )
        return self._plan

    def headroom(self, policy: Policy, now: float) -> dict[tuple[str, str], float]:
        """Return the requests per second that each service and region could take warm."""
        picture = self._measurements.picture(now)
        return {
            flow: self._capacity(policy, *flow, picture, warm=True) - measured.served
            for flow, measured in picture.by_flow.items()
        }

    def _is_seen(self, policy: Policy, step_at: float | None, picture: Picture) -> bool:
        """Tell whether every fresh report was taken when a step had had its effect."""
        if picture.oldest == math.inf:
            return False
        began = self._began_at if step_at is None else step_at
        window = max(cap.window for cap in policy.caps_by_kind.values())
        return picture.oldest >= began + max(window, self._settings.settle)

    def _capacity(
        self, policy: Policy, service: str, region: str, picture: Picture, warm: bool
    ) -> float:
        """Return the requests per second a region can carry; 0 if nothing is known of it.

        Only its warm slots count as room for more; what it has already may also warm the others.
        """
        measured = picture.by_flow.get((service, region))
        if measured is None:
            return 0.0
        slots: float = measured.warm_slots if warm else measured.slots
        limit = policy.regions_by_name[region].in_flight_limit
        slots = min(slots, max(0.0, limit - picture.in_flight_of_others(service, region)))
        busy = picture.slot_seconds(service, region)
        if busy == 0.0:
            return math.inf if slots else 0.0
        return self._settings.usable * slots / busy

    def _current(self, policy: Policy, service: str) -> dict[str, Shares]:
        """Return the splits in force, the policy's where the plan has none that fits it."""
        assert self._plan is not None
        planned = self._plan.splits.get(service, {})
        regions = policy.regions_by_name.keys()
        current = {}
        for home in regions:
            split = planned.get(home)
            fits = split is not None and split.shares.keys() <= regions
            current[home] = (
                dict(split.shares) if split and fits else policy_split(policy, service, home)
            )
        return current

    def _next(
        self,
        policy: Policy,
        service: str,
        before: dict[str, Shares],
        picture: Picture,
        now: float,
    ) -> dict[str, Shares]:
        aim = self._aim(policy, service, before, picture, now)
        demand = {home: picture.demand.get((service, home), 0.0) for home in before}
        after = step_within_caps(before, aim, demand, policy.caps_by_kind)
        if all(self._is_small(before[home], after[home]) for home in before):
            return before
        return after

    def _is_small(self, before: Shares, after: Shares) -> bool:
        least = self._settings.least_change
        return all(abs(after.get(r, 0.0) - before.get(r, 0.0)) < least for r in {**before, **after})

    def _aim(
        self,
        policy: Policy,
        service: str,
        before: dict[str, Shares],
        picture: Picture,
        now: float,
    ) -> dict[str, Shares]:
        """Return the splits to go to, leaving the traffic of held regions as it is."""
        wanted = {home: policy_split(policy, service, home) for home in before}
        relief = _Relief(
            room={r: self._capacity(policy, service, r, picture, True) for r in before},
            limit={r: self._limit(policy, service, r, picture, now) for r in before},
            demand={home: picture.demand.get((service, home), 0.0) for home in before},
        )
        aim = relief.relieve(wanted, {r: policy.regions_by_name[r].spill_to for r in before})
        held = [r for r in before if self._measurements.is_held(r, now)]
        for home in aim:
            if any(aim[home].get(r, 0.0) != before[home].get(r, 0.0) for r in held):
                aim[home] = before[home]
        return aim

    def _limit(
        self, policy: Policy, service: str, region: str, picture: Picture, now: float
    ) -> float:
        """Return what a region may keep of its present traffic; all of it if it is not seen."""
        if self._measurements.is_missing(region, now):
            return math.inf
        return self._capacity(policy, service, region, picture, warm=False)

    def _documents(
        self, policy: Policy, service: str, before: dict[str, Shares], after: dict[str, Shares]
    ) -> dict[str, PlanSplit]:
        """Return the splits that differ from the policy's."""
        assert self._plan is not None
        documents = {}
        for home, shares in after.items():
            if are_close(shares, policy_split(policy, service, home)):
                continue
            former = self._plan.splits.get(service, {}).get(home)
            moved_by = former.moved_by if former is not None else ShiftKind.PLANNED
            if shares != before[home]:
                goes_home = shares.get(home, 0.0) > before[home].get(home, 0.0)
                moved_by = ShiftKind.RETURN if goes_home else ShiftKind.PLANNED
            documents[home] = PlanSplit(shares=rounded(shares), moved_by=moved_by)
        return documents


def _filled(before: Mapping[str, Shares], after: Mapping[str, Shares]) -> set[str]:
    """Return the regions that get a larger share of some home."""
    return {
        region
        for home, shares in after.items()
        for region, share in shares.items()
        if share > before[home].get(region, 0.0)
    }


@dataclass(frozen=True, slots=True)
class _Relief:
    """Moves what regions can't carry to others; rates in requests per second.

    Attributes
    ----------
    room, limit : dict of str to float
        By region: up to which rate it may be given more, and above which it must give some away.
    demand : dict of str to float
        By home.
    """

    room: dict[str, float]
    limit: dict[str, float]
    demand: dict[str, float]

    def relieve(
        self, wanted: Mapping[str, Shares], spill_to: Mapping[str, tuple[str, ...]]
    ) -> dict[str, Shares]:
        """Return ``wanted`` less what is too much, which goes to the nearest room."""
        aim = {home: dict(shares) for home, shares in wanted.items()}
        load = dict.fromkeys(self.room, 0.0)
        for home, shares in wanted.items():
            for region, share in shares.items():
                load[region] += share * self.demand[home]
        for region in sorted(load):
            if load[region] <= self.limit[region] or load[region] <= 0.0:
                continue
            surplus_part = 1.0 - self.limit[region] / load[region]
            for home, shares in aim.items():
                rate = surplus_part * shares.get(region, 0.0) * self.demand[home]
                self._move(rate, region, home, shares, load, spill_to[home])
        return aim

    def _move(
        self,
        rate: float,
        region: str,
        home: str,
        shares: Shares,
        load: dict[str, float],
        spill_to: tuple[str, ...],
    ) -> None:
        """Move ``rate`` of one home's callers away from a region, as far as there is room."""
        for other in spill_to:
            part = min(rate, max(0.0, self.room[other] - load[other]))
            if other == region or part <= 0.0:
                continue
            shares[region] -= part / self.demand[home]
            shares[other] = shares.get(other, 0.0) + part / self.demand[home]
            load[region] -= part
            load[other] += part
            rate -= part
            invariants.check(
                "planner.only-into-warm-room", load[other] <= self.room[other] + 1e-6, (other, load)
            )
