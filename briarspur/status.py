"""The document an entry serves at ``/status``, and the summary of all entries by zone."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

__all__ = [
    "BudgetStatus",
    "DrainStatus",
    "DrainSummary",
    "EntryStatus",
    "FleetStatus",
    "ZoneStatus",
    "summarize",
]


class StatusDocument(BaseModel):
    """Base of the documents that daemons report.

    A newer daemon may report more, so unknown keys are ignored.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class DrainStatus(StatusDocument):
    """A leaving target as one entry sees it; ``seconds`` have passed since the entry noticed it."""

    target_id: str
    in_flight: int
    seconds: float = 0.0


class BudgetStatus(StatusDocument):
    """The unused part of one limit at one entry."""

    name: str
    left: float
    limit: float


class EntryStatus(StatusDocument):
    """One entry's state."""

    entry_id: str
    incarnation: str = ""
    region: str = ""
    zone: str
    ready: bool = True
    policy_version: int = 0
    plan_version: int = 0
    plan_term: int = 0
    plan_holder: str = ""
    drains: list[DrainStatus] = []
    budgets: list[BudgetStatus] = []


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Summary of the entries in one availability zone that answered."""

    zone: str
    entries: int
    ready: int
    lowest_version: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class DrainSummary:
    """A leaving target, summed over all entries that answered."""

    target_id: str
    in_flight: int
    entries: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The state of all entries.

    Attributes
    ----------
    expected_version : int
        The version of the policy in force in the store.
    in_force_everywhere : bool
        Every entry answered, and none has an older version.
    holders : dict of str to int
        Term of the plan's lease by its holder, from the plans that entries have in force. There
        is more than one holder while a change of holder propagates.
    unreachable_by_id : dict of str to str
        The error for each entry that did not answer; its state is unknown.
    """

    expected_version: int
    in_force_everywhere: bool
    zones_by_name: dict[str, ZoneStatus]
    holders: dict[str, int]
    drains_by_target: dict[str, DrainSummary]
    budgets_by_name: dict[str, BudgetStatus]
    unreachable_by_id: dict[str, str]


def summarize(
    expected_version: int, statuses: Sequence[EntryStatus], unreachable_by_id: Mapping[str, str]
) -> FleetStatus:
    """Return the summary of the entries' status documents."""
    zones: defaultdict[str, list[EntryStatus]] = defaultdict(list)
    for status in statuses:
        zones[status.zone].append(status)
    holders: dict[str, int] = {}
    for status in statuses:
        if status.plan_holder:
            holders[status.plan_holder] = max(status.plan_term, holders.get(status.plan_holder, 0))
    any_behind = any(status.policy_version < expected_version for status in statuses)
    return FleetStatus(
        expected_version=expected_version,
        in_force_everywhere=bool(statuses) and not any_behind and not unreachable_by_id,
        zones_by_name={name: _summarize_zone(name, found) for name, found in sorted(zones.items())},
        holders=holders,
        drains_by_target=_sum_drains(statuses),
        budgets_by_name=_sum_budgets(statuses),
        unreachable_by_id=dict(unreachable_by_id),
    )


def _summarize_zone(name: str, statuses: list[EntryStatus]) -> ZoneStatus:
    versions = [status.policy_version for status in statuses]
    ready = sum(status.ready for status in statuses)
    return ZoneStatus(name, len(statuses), ready, min(versions), max(versions))


def _sum_drains(statuses: Sequence[EntryStatus]) -> dict[str, DrainSummary]:
    found: defaultdict[str, list[DrainStatus]] = defaultdict(list)
    for status in statuses:
        for drain in status.drains:
            found[drain.target_id].append(drain)
    return {
        target_id: DrainSummary(
            target_id,
            sum(drain.in_flight for drain in drains),
            len(drains),
            max(drain.seconds for drain in drains),
        )
        for target_id, drains in sorted(found.items())
    }


def _sum_budgets(statuses: Sequence[EntryStatus]) -> dict[str, BudgetStatus]:
    """Return each budget summed over entries; each entry has a share of the whole limit."""
    sums: defaultdict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for status in statuses:
        for budget in status.budgets:
            sums[budget.name][0] += budget.left
            sums[budget.name][1] += budget.limit
    return {
        name: BudgetStatus(name=name, left=left, limit=limit)
        for name, (left, limit) in sorted(sums.items())
    }
