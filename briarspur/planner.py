"""Plans how traffic is split between regions, in steps within the caps, from delayed measurements.

The planner's goal is the policy's split, corrected where a region can't serve its part: the surplus
goes to the nearest regions with spare warm capacity. Each step is bounded by the caps. The planner
doesn't act on measurements that were taken before its previous step took effect.

A region without reports is assumed to be neither idle nor dead. For the hold time, every split that
would change its traffic is held; after that, the region gets no more than the policy gives it.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from briarspur.coord.invariants import invariants
from briarspur.loadreport import LoadDocument
from briarspur.measurements import LoadSummary, Measurements
from briarspur.messages import ShiftKind
from briarspur.plan import PlanDocument, PlanSplit
from briarspur.policy import Policy
from briarspur.splits import Shares, are_close, policy_split, round_shares, step_within_caps

__all__ = ["Planner", "PlannerSettings"]


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the planner; times in seconds.

    Attributes
    ----------
    max_utilization : float
        Part of the capacity that a plan may use.
    report_delay : float
        Maximum age of the measurements in a report on its arrival.
    settling_time : float
        Minimum time after a step before measurements can show its effect.
    max_report_age : float
        Age after which a report counts as missing.
    hold_time : float
        How long a plan is held while the reports of a region are missing.
    min_change : float
        Smallest change of a share that justifies a step.
    """

    max_utilization: float = 0.85
    report_delay: float = 6.0
    settling_time: float = 5.0
    max_report_age: float = 10.0
    hold_time: float = 60.0
    min_change: float = 0.01


class Planner:
    """Computes the plans of one holder of the lease.

    Parameters
    ----------
    holder : str
        Id of this process, which is written into each plan.
    """

    def __init__(self, holder: str, settings: PlannerSettings | None = None) -> None:
        self._holder = holder
        self._settings = settings or PlannerSettings()
        self._measurements = Measurements(
            self._settings.report_delay, self._settings.max_report_age, self._settings.hold_time
        )
        self._stepped_at_by_service: dict[str, float] = {}
        self._gained_at_by_region: dict[str, float] = {}
        self._plan: PlanDocument | None = None
        self._term_began_at = -math.inf

    def begin_term(self, term: int, stored: PlanDocument | None, now: float) -> None:
        """Begin a term from the stored plan, discarding earlier measurements."""
        same_term = stored is not None and stored.term == term
        self._plan = PlanDocument(
            term=term,
            number=stored.number if stored is not None and same_term else 0,
            holder=self._holder,
            policy_version=stored.policy_version if stored is not None else 0,
            splits=stored.splits if stored is not None else {},
        )
        self._measurements.clear(now)
        # The previous holder may have just made a step whose effect is not measured yet.
        self._stepped_at_by_service.clear()
        self._gained_at_by_region.clear()
        self._term_began_at = now

    def add_report(self, document: LoadDocument, now: float) -> None:
        """Record the load report of an entry."""
        self._measurements.add(document, now)

    def next_plan(self, policy: Policy, now: float) -> PlanDocument | None:
        """Return the next plan; None if no step is due now."""
        if self._plan is None:
            return None
        loads = self._measurements.summarize(now)
        splits: dict[str, dict[str, PlanSplit]] = {}
        has_step = False
        # Least recently stepped service first, so that no service starves the others.
        for service in sorted(
            policy.services_by_name,
            key=lambda name: (self._stepped_at_by_service.get(name, -math.inf), name),
        ):
            before = self._current_splits(policy, service)
            after = before
            if self._has_taken_effect(policy, self._stepped_at_by_service.get(service), loads):
                after = self._next_splits(policy, service, before, loads, now)
            gaining = _gaining_regions(before, after)
            # All services share a region's limit. Capacity that one service has just planned to use
            # still looks free to the others, in this round and until its effect is measured.
            if not all(
                self._has_taken_effect(policy, self._gained_at_by_region.get(region), loads)
                for region in gaining
            ):
                after = before
            if after != before:
                has_step = True
                self._stepped_at_by_service[service] = now
                self._gained_at_by_region |= dict.fromkeys(gaining, now)
            splits[service] = self._plan_splits(policy, service, before, after)
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
        """Return the spare warm capacity by service and region, in requests per second."""
        loads = self._measurements.summarize(now)
        return {
            flow: self._capacity(policy, *flow, loads, warm=True) - measured.served
            for flow, measured in loads.by_flow.items()
        }

    def _has_taken_effect(self, policy: Policy, step_at: float | None, loads: LoadSummary) -> bool:
        """Return whether every fresh report was taken after a step took effect."""
        if loads.oldest_taken_at == math.inf:
            return False
        began = self._term_began_at if step_at is None else step_at
        window = max(cap.window for cap in policy.caps_by_kind.values())
        return loads.oldest_taken_at >= began + max(window, self._settings.settling_time)

    def _capacity(
        self, policy: Policy, service: str, region: str, loads: LoadSummary, warm: bool
    ) -> float:
        """Return the requests per second that a region can serve; 0 if it has no measurements.

        With ``warm``, only its warm slots count: additional traffic may use only these, while
        existing traffic may also warm the others.
        """
        measured = loads.by_flow.get((service, region))
        if measured is None:
            return 0.0
        slots: float = measured.warm_slots if warm else measured.slots
        limit = policy.regions_by_name[region].in_flight_limit
        slots = min(slots, max(0.0, limit - loads.in_flight_of_others(service, region)))
        busy = loads.mean_slot_time_s(service, region)
        if busy == 0.0:
            return math.inf if slots else 0.0
        return self._settings.max_utilization * slots / busy

    def _current_splits(self, policy: Policy, service: str) -> dict[str, Shares]:
        """Return the splits in force: the plan's where it fits the policy, else the policy's."""
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

    def _next_splits(
        self,
        policy: Policy,
        service: str,
        before: dict[str, Shares],
        loads: LoadSummary,
        now: float,
    ) -> dict[str, Shares]:
        desired = self._desired_splits(policy, service, before, loads, now)
        demand = {home: loads.demand.get((service, home), 0.0) for home in before}
        after = step_within_caps(before, desired, demand, policy.caps_by_kind)
        if all(self._is_small(before[home], after[home]) for home in before):
            return before
        return after

    def _is_small(self, before: Shares, after: Shares) -> bool:
        min_change = self._settings.min_change
        return all(
            abs(after.get(r, 0.0) - before.get(r, 0.0)) < min_change for r in {**before, **after}
        )

    def _desired_splits(
        self,
        policy: Policy,
        service: str,
        before: dict[str, Shares],
        loads: LoadSummary,
        now: float,
    ) -> dict[str, Shares]:
        """Return the desired splits, which leave the traffic of held regions unchanged."""
        policy_splits = {home: policy_split(policy, service, home) for home in before}
        rebalancer = _Rebalancer(
            warm_capacity={r: self._capacity(policy, service, r, loads, True) for r in before},
            max_rate={r: self._max_rate(policy, service, r, loads, now) for r in before},
            demand={home: loads.demand.get((service, home), 0.0) for home in before},
        )
        desired = rebalancer.rebalance(
            policy_splits, {r: policy.regions_by_name[r].spill_to for r in before}
        )
        held = [r for r in before if self._measurements.is_awaiting_report(r, now)]
        for home in desired:
            if any(desired[home].get(r, 0.0) != before[home].get(r, 0.0) for r in held):
                desired[home] = before[home]
        return desired

    def _max_rate(
        self, policy: Policy, service: str, region: str, loads: LoadSummary, now: float
    ) -> float:
        """Return the maximum rate for existing traffic of a region; infinite without reports."""
        if self._measurements.is_missing(region, now):
            return math.inf
        return self._capacity(policy, service, region, loads, warm=False)

    def _plan_splits(
        self, policy: Policy, service: str, before: dict[str, Shares], after: dict[str, Shares]
    ) -> dict[str, PlanSplit]:
        """Return the splits that differ from the policy's, in the form of the plan document."""
        assert self._plan is not None
        documents = {}
        for home, shares in after.items():
            if are_close(shares, policy_split(policy, service, home)):
                continue
            previous = self._plan.splits.get(service, {}).get(home)
            moved_by = previous.moved_by if previous is not None else ShiftKind.PLANNED
            if shares != before[home]:
                returns_home = shares.get(home, 0.0) > before[home].get(home, 0.0)
                moved_by = ShiftKind.RETURN if returns_home else ShiftKind.PLANNED
            documents[home] = PlanSplit(shares=round_shares(shares), moved_by=moved_by)
        return documents


def _gaining_regions(before: Mapping[str, Shares], after: Mapping[str, Shares]) -> set[str]:
    """Return the regions whose share of some home grows."""
    return {
        region
        for home, shares in after.items()
        for region, share in shares.items()
        if share > before[home].get(region, 0.0)
    }


@dataclass(frozen=True, slots=True)
class _Rebalancer:
    """Moves surplus traffic of regions to other regions; rates in requests per second.

    Attributes
    ----------
    warm_capacity : dict of str to float
        By region, the rate up to which it may receive additional traffic.
    max_rate : dict of str to float
        By region, the rate above which it must give up traffic.
    demand : dict of str to float
        Demand by home region.
    """

    warm_capacity: dict[str, float]
    max_rate: dict[str, float]
    demand: dict[str, float]

    def rebalance(
        self, splits: Mapping[str, Shares], spill_to: Mapping[str, tuple[str, ...]]
    ) -> dict[str, Shares]:
        """Return ``splits`` with the surplus moved to the nearest regions with warm capacity."""
        desired = {home: dict(shares) for home, shares in splits.items()}
        load = dict.fromkeys(self.warm_capacity, 0.0)
        for home, shares in splits.items():
            for region, share in shares.items():
                load[region] += share * self.demand[home]
        for region in sorted(load):
            if load[region] <= self.max_rate[region] or load[region] <= 0.0:
                continue
            surplus_part = 1.0 - self.max_rate[region] / load[region]
            for home, shares in desired.items():
                rate = surplus_part * shares.get(region, 0.0) * self.demand[home]
                self._move(rate, region, home, shares, load, spill_to[home])
        return desired

    def _move(
        self,
        rate: float,
        region: str,
        home: str,
        shares: Shares,
        load: dict[str, float],
        spill_to: tuple[str, ...],
    ) -> None:
        """Move up to ``rate`` of one home's traffic from a region to others with warm capacity."""
        for other in spill_to:
            part = min(rate, max(0.0, self.warm_capacity[other] - load[other]))
            if other == region or part <= 0.0:
                continue
            shares[region] -= part / self.demand[home]
            shares[other] = shares.get(other, 0.0) + part / self.demand[home]
            load[region] -= part
            load[other] += part
            rate -= part
            invariants.check(
                "planner.only-into-warm-room",
                load[other] <= self.warm_capacity[other] + 1e-6,
                (other, load),
            )
