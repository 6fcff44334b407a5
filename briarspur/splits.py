"""Arithmetic of splits: the policy's, a step from one to another within the caps, rounding."""

from collections.abc import Mapping

from briarspur.coord.invariants import invariants
from briarspur.messages import ShiftKind
from briarspur.policy import Cap, Policy

__all__ = ["Shares", "are_close", "policy_split", "rounded", "step_within_caps"]

Shares = dict[str, float]
"""Shares by region, which add up to 1."""

ROUNDING = 4
"""Digits of a share; less than a thousandth of the callers is not worth a plan."""

MAX_STEP = 0.25
"""Largest change of a share in one step: demand measured as zero may be back at once."""


def step_within_caps(
    before: Mapping[str, Shares],
    aim: Mapping[str, Shares],
    demand_by_home: Mapping[str, float],
    caps_by_kind: Mapping[ShiftKind, Cap],
) -> dict[str, Shares]:
    """Return splits on the way from ``before`` to ``aim``, one step within the caps.

    Parameters
    ----------
    demand_by_home : mapping of str to float
        Requests per second.
    caps_by_kind : mapping of ShiftKind to Cap
        Requests that may move to one region in a window: homewards under ``RETURN``, else under
        ``PLANNED``.
    """
    part_by_flow = {}
    for region in {region for shares in (*before.values(), *aim.values()) for region in shares}:
        for is_home in (True, False):
            cap = caps_by_kind[ShiftKind.RETURN if is_home else ShiftKind.PLANNED]
            homes = [home for home in before if (home == region) == is_home]
            growth = sum(_growth(before, aim, home, region, demand_by_home) for home in homes)
            moved = growth * cap.window
            part_by_flow[region, is_home] = min(1.0, cap.requests / moved) if moved > 0.0 else 1.0
    after = {}
    for home, shares in before.items():
        regions = [r for r in {**shares, **aim[home]} if aim[home].get(r, 0.0) > shares.get(r, 0.0)]
        # One part for all regions of a home keeps the sum of its shares at 1.
        part = min((part_by_flow[region, region == home] for region in regions), default=0.0)
        largest = max(
            abs(aim[home].get(region, 0.0) - shares.get(region, 0.0))
            for region in {**shares, **aim[home]}
        )
        part = min(part, MAX_STEP / largest) if largest > 0.0 else part
        after[home] = {
            region: shares.get(region, 0.0)
            + part * (aim[home].get(region, 0.0) - shares.get(region, 0.0))
            for region in {**shares, **aim[home]}
        }
    _check_step(before, after, demand_by_home, caps_by_kind[ShiftKind.PLANNED])
    return after


def _check_step(
    before: Mapping[str, Shares],
    after: Mapping[str, Shares],
    demand_by_home: Mapping[str, float],
    cap: Cap,
) -> None:
    for region in {region for shares in after.values() for region in shares}:
        away = [home for home in after if home != region]
        growth = sum(_growth(before, after, home, region, demand_by_home) for home in away)
        holds = growth * cap.window <= cap.requests + 1e-6
        invariants.check("planner.step-within-cap", holds, (region, growth, cap))


def _growth(
    before: Mapping[str, Shares],
    after: Mapping[str, Shares],
    home: str,
    region: str,
    demand_by_home: Mapping[str, float],
) -> float:
    more = after[home].get(region, 0.0) - before[home].get(region, 0.0)
    return max(0.0, more) * demand_by_home.get(home, 0.0)


def policy_split(policy: Policy, service: str, home: str) -> Shares:
    """Return the policy's split, as shares that add up to 1."""
    split = policy.services_by_name[service].split_by_home.get(home) or {home: 1.0}
    total = sum(split.values())
    return {region: share / total for region, share in split.items()} if total else {home: 1.0}


def are_close(one: Shares, other: Shares) -> bool:
    """Return whether two splits are the same to rounding."""
    return all(abs(one.get(r, 0.0) - other.get(r, 0.0)) < 10**-ROUNDING for r in {**one, **other})


def rounded(shares: Shares) -> Shares:
    """Return shares rounded, the rest given to the largest, so that they still add up to 1."""
    short = {region: round(share, ROUNDING) for region, share in sorted(shares.items())}
    short = {region: share for region, share in short.items() if share > 0.0}
    largest = max(short, key=lambda region: short[region])
    short[largest] = round(short[largest] + 1.0 - sum(short.values()), ROUNDING)
    return short
