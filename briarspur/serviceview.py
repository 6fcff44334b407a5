"""Collect the data of service pages: burn rate, planned and current split, headroom, drains."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from briarspur import burnreport, porcelain
from briarspur.burnreport import ServiceReport
from briarspur.coord.errors import StoreError
from briarspur.coord.store import ObjectStore
from briarspur.errors import DocumentError
from briarspur.explain import RegionChoice, region_order
from briarspur.fetch import Fetcher
from briarspur.levelhistory import LevelHistory
from briarspur.levelseries import LevelSeries
from briarspur.plan import PlanDocument
from briarspur.planview import read_plan
from briarspur.policy import Policy, TargetState, compile_policy
from briarspur.porcelain import Directory
from briarspur.repository import PolicyRepository
from briarspur.status import BudgetStatus, FleetStatus
from briarspur.windows import SLOT_S, Severity, current_split

__all__ = ["RegionView", "ServiceView"]

BUDGET_NAME_SEPARATORS = re.compile(r"[/.]")
"""Separate the parts of a budget's name, one of which is the region."""


@dataclass(frozen=True, slots=True)
class RegionView:
    """A region of a service.

    Attributes
    ----------
    share_now : float or None
        Share of the responses of the last five minutes; None if there were none.
    budgets : tuple of BudgetStatus
        What is left of the region's limits at the entries.
    """

    region: str
    targets: int
    leaving: int
    slots: int
    share_now: float | None
    budgets: tuple[BudgetStatus, ...]


class ServiceView:
    """Combines data from the policy, the stored service levels and the entries."""

    def __init__(
        self,
        repository: PolicyRepository,
        store: ObjectStore,
        directory: Directory,
        fetcher: Fetcher,
        wall_clock: Callable[[], float],
    ) -> None:
        self._repository = repository
        self._store = store
        self._history = LevelHistory(store)
        self._directory = directory
        self._fetcher = fetcher
        self._wall_clock = wall_clock
        self._series_by_service: dict[str, tuple[int, LevelSeries]] = {}

    async def fleet_status(self) -> FleetStatus:
        """Return the combined status of all entries."""
        return await porcelain.status(self._repository, self._directory, self._fetcher)

    async def severity_by_service(self) -> dict[str, Severity]:
        """Return the burn severity by service; empty if the history cannot be read."""
        current = await self._repository.current()
        services = current.document.services if current else {}
        try:
            reports = [await self._make_report(name) for name in services]
        except (StoreError, DocumentError):
            return {}
        return {report.burn.service: report.burn.severity for report in reports if report}

    async def page_values(self, name: str) -> dict[str, Any] | None:
        """Return the template values of a service's page; None if there is no such service."""
        current = await self._repository.current()
        if current is None or name not in current.document.services:
            return None
        policy = compile_policy(current.document, current.version)
        report = await self._make_report(name)
        fleet = await self.fleet_status()
        plan = await read_plan(self._store)
        shares = current_split((await self._read_series(name)).slots, self._wall_clock())
        return {
            "name": name,
            "policy_version": policy.version,
            "service": policy.services_by_name[name],
            "plan": plan,
            "planned": _regions_by_home(policy, name, plan),
            "regions": [
                _make_region_view(policy, name, r, shares, fleet) for r in policy.regions_by_name
            ],
            "fleet": fleet,
            "report": report,
            "plots": burnreport.make_plots(report) if report else {},
            "rule_text": burnreport.rule_text,
        }

    async def _make_report(self, name: str) -> ServiceReport | None:
        current = await self._repository.current()
        if current is None or name not in current.document.services:
            return None
        policy = compile_policy(current.document, current.version)
        objectives = {name: policy.services_by_name[name].objective}
        series = {name: await self._read_series(name)}
        report = burnreport.make_report(policy.user, objectives, series, self._wall_clock())
        return report.services[0]

    async def _read_series(self, name: str) -> LevelSeries:
        """Return a service's levels; cached for a minute, as a read takes 73 calls."""
        minute = int(self._wall_clock() // SLOT_S)
        cached = self._series_by_service.get(name)
        if cached is None or cached[0] != minute:
            cached = (minute, await self._history.read(name, self._wall_clock()))
            self._series_by_service[name] = cached
        return cached[1]


def _regions_by_home(
    policy: Policy, service: str, plan: PlanDocument | None
) -> dict[str, tuple[RegionChoice, ...]]:
    """Return the order of regions under the plan and the policy, by home region."""
    service_policy = policy.services_by_name[service]
    splits = plan.as_splits() if plan else None
    return {
        home: region_order(policy, service_policy, home, splits) for home in policy.regions_by_name
    }


def _make_region_view(
    policy: Policy, service: str, region: str, shares: dict[str, float], fleet: FleetStatus
) -> RegionView:
    targets = policy.targets_of(service, region)
    not_leaving = [target for target in targets if target.state is not TargetState.LEAVING]
    budgets = [
        b
        for name, b in fleet.budgets_by_name.items()
        if region in BUDGET_NAME_SEPARATORS.split(name)
    ]
    return RegionView(
        region=region,
        targets=len(not_leaving),
        leaving=len(targets) - len(not_leaving),
        slots=sum(target.slots for target in not_leaving),
        share_now=shares.get(region, 0.0) if shares else None,
        budgets=tuple(budgets),
    )
