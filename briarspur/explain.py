"""Why a request goes where it goes, worked out from the policy and the plan.

Entries also weigh what these do not hold: free slots, failures and what is left of the caps. This
is what they start from.
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
        Part of the home region's callers that the policy's split gives to this region; 0 if it
        is only a place to move to.
    target_ids, leaving_ids : tuple of str
        Targets that may get the request, and those that get no new work.
    slots : int
        Requests at once of the targets that may get it.
    """

    region: str
    reason: str
    share: float
    target_ids: tuple[str, ...]
    leaving_ids: tuple[str, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the policy says about one request."""

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
    """Return which rule, regions and targets a request gets, or why it gets none.

    Parameters
    ----------
    client : str
        IP number of the caller.
    planned : Splits or None
        The splits of the plan in force, which go before those of the policy.
    """
    block = parse_block(client)
    if block is None:
        return Error(f"{client} is not an IP number")
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
    """Return which prefix gives a caller its home region."""
    address = ipaddress.ip_address(client)
    networks = [ipaddress.ip_network(prefix) for prefix in policy.homes_by_prefix]
    fitting = [network for network in networks if address in network]
    if not fitting:
        return "no prefix of blocks.by_prefix fits: blocks.default"
    return f"longest prefix that fits: {max(fitting, key=lambda network: network.prefixlen)}"


def region_order(
    policy: Policy, service: Service, home: str, planned_splits: Splits | None = None
) -> tuple[RegionChoice, ...]:
    """Return the regions of a service for callers of ``home``, the preferred ones first."""
    of_plan = (planned_splits or {}).get(service.name, {}).get(home)
    why = "the plan" if of_plan else "the split of the policy"
    shares = of_plan or service.split_by_home.get(home) or {home: 1.0}
    planned = sorted((r for r in shares if shares[r] > 0), key=lambda r: (-shares[r], r))
    spill = [r for r in (home, *policy.regions_by_name[home].spill_to) if r not in planned]
    choices = [_choice(policy, service, r, why, shares[r]) for r in planned]
    choices += [
        _choice(policy, service, r, "home" if r == home else f"spill_to of {home}", 0.0)
        for r in spill
    ]
    return tuple(choices)


def _choice(
    policy: Policy, service: Service, region: str, reason: str, share: float
) -> RegionChoice:
    targets = policy.targets_of(service.name, region)
    staying = [target for target in targets if target.state is not TargetState.LEAVING]
    return RegionChoice(
        region=region,
        reason=reason,
        share=share,
        target_ids=tuple(target.target_id for target in staying),
        leaving_ids=tuple(t.target_id for t in targets if t.state is TargetState.LEAVING),
        slots=sum(target.slots for target in staying),
    )


def _notes(rule: Rule, regions: tuple[RegionChoice, ...]) -> tuple[str, ...]:
    notes = [f"{rule.kind.value}, deadline {rule.deadline:g} s, priority {rule.priority.name}"]
    if not any(choice.target_ids for choice in regions):
        notes.append("no target takes new work in any of these regions: NO_TARGET")
    elif regions and not regions[0].target_ids:
        notes.append("the first region has no target: its requests count as a shift, under the cap")
    return tuple(notes)
