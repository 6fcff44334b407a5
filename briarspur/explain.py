"""Why a request goes where it goes, worked out from the policy alone.

Entries also weigh what the policy does not hold: the plan in force, free slots and failures. This
is what they start from.
"""

import ipaddress
from dataclasses import dataclass

from expression import Error, Ok, Result

from briarspur.policy import Policy, Rule, Service, TargetState

__all__ = ["Explanation", "RegionChoice", "explain", "home_of", "region_order"]


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


def explain(policy: Policy, method: str, path: str, client: str) -> Result[Explanation, str]:
    """Return which rule, regions and targets a request gets, or why it gets none.

    Parameters
    ----------
    client : str
        IP number of the caller.
    """
    try:
        address = ipaddress.ip_address(client)
    except ValueError:
        return Error(f"{client} is not an IP number")
    service = _service_of(policy, path)
    if service is None:
        return Error(f"no service's path is a prefix of {path}: refused with UNKNOWN_SERVICE")
    found = _rule_of(service, method, path)
    if found is None:
        return Error(f"no rule of {service.name} takes {method} {path}: refused")
    index, rule = found
    home, home_reason = home_of(policy, address)
    regions = region_order(policy, service, home)
    return Ok(
        Explanation(
            policy_version=policy.version,
            service=service.name,
            rule_index=index,
            rule=rule,
            home=home,
            home_reason=home_reason,
            regions=regions,
            notes=_notes(rule, regions),
        )
    )


def home_of(
    policy: Policy, address: ipaddress.IPv4Address | ipaddress.IPv6Address
) -> tuple[str, str]:
    """Return the home region of a caller and the reason for it."""
    fitting = [
        network
        for network in map(ipaddress.ip_network, policy.homes_by_prefix)
        if address in network
    ]
    if not fitting:
        return policy.default_home, "no prefix of blocks.by_prefix fits: blocks.default"
    longest = max(fitting, key=lambda network: network.prefixlen)
    return policy.homes_by_prefix[str(longest)], f"longest prefix that fits: {longest}"


def region_order(policy: Policy, service: Service, home: str) -> tuple[RegionChoice, ...]:
    """Return the regions of a service for callers of ``home``, the preferred ones first."""
    shares = service.split_by_home.get(home, {home: 1.0})
    planned = sorted((r for r in shares if shares[r] > 0), key=lambda r: (-shares[r], r))
    spill = [r for r in policy.regions_by_name[home].spill_to if r not in planned]
    if home not in planned and home not in spill:
        spill.append(home)
    choices = [_choice(policy, service, r, "the split of the policy", shares[r]) for r in planned]
    choices += [_choice(policy, service, r, f"spill_to of {home}", 0.0) for r in spill]
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


def _service_of(policy: Policy, path: str) -> Service | None:
    """Return the service with the longest path that is a prefix, by whole segments."""
    fitting = [
        service for service in policy.services_by_name.values() if _below(path, service.path)
    ]
    return max(fitting, key=lambda service: len(service.path), default=None)


def _below(path: str, prefix: str) -> bool:
    bare = prefix.rstrip("/")
    return path == bare or path.startswith((bare + "/", bare + "?"))


def _rule_of(service: Service, method: str, path: str) -> tuple[int, Rule] | None:
    for index, rule in enumerate(service.rules):
        if method in rule.methods and (path + "/").startswith(rule.path):
            return index, rule
    return None


def _notes(rule: Rule, regions: tuple[RegionChoice, ...]) -> tuple[str, ...]:
    notes = [f"{rule.kind.value}, deadline {rule.deadline:g} s, priority {rule.priority.name}"]
    if not any(choice.target_ids for choice in regions):
        notes.append("no target takes new work in any of these regions: NO_TARGET")
    elif regions and not regions[0].target_ids:
        notes.append("the first region has no target: its requests count as a shift, under the cap")
    return tuple(notes)
