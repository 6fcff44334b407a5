"""Explain how a request is routed, from the policy and the plan.

This is the base of an entry's decision. Entries also consider state that is in neither document:
free slots, failures and the remaining shift caps.
"""

import ipaddress
import math
from dataclasses import dataclass

from expression import Error, Ok, Result

from briarspur.blocks import BlockTable, parse_block
from briarspur.classify import Classifier
from briarspur.messages import Request
from briarspur.policy import Policy, Rule, Service, TargetState
from briarspur.region import Splits

__all__ = ["Explanation", "RegionChoice", "explain", "region_order"]


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """One region in the order of preference.

    Attributes
    ----------
    share : float
        Share of the home region's callers that the split assigns to this region; 0 if requests
        only spill over to it.
    target_ids, leaving_ids : tuple of str
        Targets that accept the request, and targets that are leaving and accept no new work.
    slots : int
        Total number of concurrent requests of the targets that accept the request.
    """

    region: str
    reason: str
    share: float
    target_ids: tuple[str, ...]
    leaving_ids: tuple[str, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """How the policy routes one request."""

    policy_version: int
    service: str
    rule_index: int
    rule: Rule
    home: str
    home_reason: str
    regions: tuple[RegionChoice, ...]
    notes: tuple[str, ...]


def explain(
    policy: Policy, method: str, path: str, client: str, planned: Splits | None = None
) -> Result[Explanation, str]:
    """Return the rule, regions and targets that apply to a request, or why it is refused.

    Parameters
    ----------
    client : str
        IP address of the caller.
    planned : Splits or None
        The splits of the plan in force, which override those of the policy.
    """
    block = parse_block(client)
    if block is None:
        return Error(f"{client} is not an IP address")
    table = BlockTable.from_prefixes(policy.default_home, policy.homes_by_prefix)
    request = Request("explain", method, path, None, b"", block, deadline=math.inf)
    found = Classifier(policy, table.home).classify(request, now=0.0)
    if found.is_error():
        code = found.error.code
        return Error(f"refused with {int(code)} {code.name}: {found.error.detail}")
    classified = found.ok
    regions = region_order(policy, classified.service, classified.home, planned)
    return Ok(
        Explanation(
            policy_version=policy.version,
            service=classified.service.name,
            rule_index=classified.service.rules.index(classified.rule),
            rule=classified.rule,
            home=classified.home,
            home_reason=_home_reason(policy, client),
            regions=regions,
            notes=_notes(classified.rule, regions),
        )
    )


def _home_reason(policy: Policy, client: str) -> str:
    """Return which prefix determines the caller's home region."""
    address = ipaddress.ip_address(client)
    networks = [ipaddress.ip_network(prefix) for prefix in policy.homes_by_prefix]
    matching = [network for network in networks if address in network]
    if not matching:
        return "no prefix in blocks.by_prefix matches: blocks.default"
    return f"longest matching prefix: {max(matching, key=lambda network: network.prefixlen)}"


def region_order(
    policy: Policy, service: Service, home: str, planned_splits: Splits | None = None
) -> tuple[RegionChoice, ...]:
    """Return the regions of a service for callers from ``home``, in order of preference."""
    planned_shares = (planned_splits or {}).get(service.name, {}).get(home)
    source = "the plan" if planned_shares else "the split of the policy"
    shares = planned_shares or service.split_by_home.get(home) or {home: 1.0}
    planned = sorted((r for r in shares if shares[r] > 0), key=lambda r: (-shares[r], r))
    spill = [r for r in (home, *policy.regions_by_name[home].spill_to) if r not in planned]
    choices = [_region_choice(policy, service, r, source, shares[r]) for r in planned]
    choices += [
        _region_choice(policy, service, r, "home" if r == home else f"spill_to of {home}", 0.0)
        for r in spill
    ]
    return tuple(choices)


def _region_choice(
    policy: Policy, service: Service, region: str, reason: str, share: float
) -> RegionChoice:
    targets = policy.targets_of(service.name, region)
    accepting = [target for target in targets if target.state is not TargetState.LEAVING]
    return RegionChoice(
        region=region,
        reason=reason,
        share=share,
        target_ids=tuple(target.target_id for target in accepting),
        leaving_ids=tuple(t.target_id for t in targets if t.state is TargetState.LEAVING),
        slots=sum(target.slots for target in accepting),
    )


def _notes(rule: Rule, regions: tuple[RegionChoice, ...]) -> tuple[str, ...]:
    notes = [f"{rule.kind.value}, deadline {rule.deadline:g} s, priority {rule.priority.name}"]
    if not any(choice.target_ids for choice in regions):
        notes.append("no target accepts new work in any of these regions: NO_TARGET")
    elif regions and not regions[0].target_ids:
        notes.append(
            "the first region has no target: its requests count as a shift, limited by the cap"
        )
    return tuple(notes)
