"""What the console shows of services: burn, split planned and now, headroom, drains."""

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

SEPARATORS = re.compile(r"[/.]")
"""Between the parts of a budget's name, one of which is the region."""


@dataclass(frozen=True, slots=True)
class RegionView:
    """One region of a service.

    Attributes
    ----------
    share_now : float or None
        Part of the answers of the last five minutes; None if nothing was counted.
    budgets : tuple of BudgetStatus
        What entries have left of the region's limits.
    """

    region: str
    targets: int
    leaving: int
    slots: int
    share_now: float | None
    budgets: tuple[BudgetStatus, ...]


class ServiceView:
    """Gathers from the policy, the stored service levels and the entries."""

    def __init__(
        self,
        repository: PolicyRepository,
        store: ObjectStore,
        directory: Directory,
        fetcher: Fetcher,
        wall: Callable[[], float],
    ) -> None:
        self._repository = repository
        self._store = store
        self._history = LevelHistory(store)
        self._directory = directory
        self._fetcher = fetcher
        self._wall = wall
        self._series_by_service: dict[str, tuple[int, LevelSeries]] = {}

    async def fleet(self) -> FleetStatus:
        """Return what all entries say."""
        return await porcelain.status(self._repository, self._directory, self._fetcher)

    async def burns(self) -> dict[str, Severity]:
        """Return each service's severity; none if the history cannot be read."""
        current = await self._repository.current()
        services = current.document.services if current else {}
        try:
            reports = [await self._report(name) for name in services]
        except (StoreError, DocumentError):
            return {}
        return {found.burn.service: found.burn.severity for found in reports if found}

    async def service(self, name: str) -> dict[str, Any] | None:
        """Return the values of a service's page; None if there is no such service."""
        current = await self._repository.current()
        if current is None or name not in current.document.services:
            return None
        policy = compile_policy(current.document, current.version)
        report = await self._report(name)
        fleet = await self.fleet()
        plan = await read_plan(self._store)
        shares = current_split((await self._series(name)).slots, self._wall())
        return {
            "name": name,
            "policy_version": policy.version,
            "service": policy.services_by_name[name],
            "plan": plan,
            "planned": _planned(policy, name, plan),
            "regions": [_region(policy, name, r, shares, fleet) for r in policy.regions_by_name],
            "fleet": fleet,
            "report": report,
            "plots": burnreport.make_plots(report) if report else {},
            "rule_text": burnreport.rule_text,
        }

    async def _report(self, name: str) -> ServiceReport | None:
        current = await self._repository.current()
        if current is None or name not in current.document.services:
            return None
        policy = compile_policy(current.document, current.version)
        objectives = {name: policy.services_by_name[name].objective}
        series = {name: await self._series(name)}
        report = burnreport.make_report(policy.user, objectives, series, self._wall())
        return report.services[0]

    async def _series(self, name: str) -> LevelSeries:
        """Return a service's levels, read at most once a minute: a reading is 73 calls."""
        minute = int(self._wall() // SLOT_S)
        found = self._series_by_service.get(name)
        if found is None or found[0] != minute:
            found = (minute, await self._history.read(name, self._wall()))
            self._series_by_service[name] = found
        return found[1]


def _planned(
    policy: Policy, service: str, plan: PlanDocument | None
) -> dict[str, tuple[RegionChoice, ...]]:
    """Return by home region the order of regions that plan and policy give."""
    found = policy.services_by_name[service]
    splits = plan.as_splits() if plan else None
    return {home: region_order(policy, found, home, splits) for home in policy.regions_by_name}


def _region(
    policy: Policy, service: str, region: str, shares: dict[str, float], fleet: FleetStatus
) -> RegionView:
    targets = policy.targets_of(service, region)
    staying = [target for target in targets if target.state is not TargetState.LEAVING]
    budgets = [b for name, b in fleet.budgets_by_name.items() if region in SEPARATORS.split(name)]
    return RegionView(
        region=region,
        targets=len(staying),
        leaving=len(targets) - len(staying),
        slots=sum(target.slots for target in staying),
        share_now=shares.get(region, 0.0) if shares else None,
        budgets=tuple(budgets),
    )
