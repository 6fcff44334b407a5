"""Arithmetic on splits: the policy's splits, steps within the caps, rounding."""

from collections.abc import Mapping

from briarspur.coord.invariants import invariants
from briarspur.messages import ShiftKind
from briarspur.policy import Cap, Policy

__all__ = ["Shares", "are_close", "policy_split", "round_shares", "step_within_caps"]

Shares = dict[str, float]
"""Shares by region, with a sum of 1."""

SHARE_DIGITS = 4
"""Decimal digits of a share; less than a thousandth of the callers doesn't justify a plan."""

MAX_SHARE_CHANGE = 0.25
"""Maximum change of a share in one step; demand measured as zero may return suddenly."""


def step_within_caps(
    before: Mapping[str, Shares],
    desired: Mapping[str, Shares],
    demand_by_home: Mapping[str, float],
    caps_by_kind: Mapping[ShiftKind, Cap],
) -> dict[str, Shares]:
    """Return the splits one step from ``before`` towards ``desired``, within the caps.

    Parameters
    ----------
    demand_by_home : mapping of str to float
        Requests per second by home region.
    caps_by_kind : mapping of ShiftKind to Cap
        Requests that may shift to one region in a window. ``RETURN`` applies to shifts back to the
        home region, ``PLANNED`` to all others.
    """
    factor_by_flow = {}
    for region in {region for shares in (*before.values(), *desired.values()) for region in shares}:
        for is_home in (True, False):
            cap = caps_by_kind[ShiftKind.RETURN if is_home else ShiftKind.PLANNED]
            homes = [home for home in before if (home == region) == is_home]
            growth = sum(_growth(before, desired, home, region, demand_by_home) for home in homes)
            moved = growth * cap.window
            factor_by_flow[region, is_home] = min(1.0, cap.requests / moved) if moved > 0.0 else 1.0
    after = {}
    for home, shares in before.items():
        regions = [
            r for r in {**shares, **desired[home]} if desired[home].get(r, 0.0) > shares.get(r, 0.0)
        ]
        # Using the same factor for all regions of a home keeps the sum of its shares at 1.
        factor = min((factor_by_flow[region, region == home] for region in regions), default=0.0)
        largest = max(
            abs(desired[home].get(region, 0.0) - shares.get(region, 0.0))
            for region in {**shares, **desired[home]}
        )
        factor = min(factor, MAX_SHARE_CHANGE / largest) if largest > 0.0 else factor
        after[home] = {
            region: shares.get(region, 0.0)
            + factor * (desired[home].get(region, 0.0) - shares.get(region, 0.0))
            for region in {**shares, **desired[home]}
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
    gain = after[home].get(region, 0.0) - before[home].get(region, 0.0)
    return max(0.0, gain) * demand_by_home.get(home, 0.0)


def policy_split(policy: Policy, service: str, home: str) -> Shares:
    """Return the policy's split, normalised to a sum of 1."""
    split = policy.services_by_name[service].split_by_home.get(home) or {home: 1.0}
    total = sum(split.values())
    return {region: share / total for region, share in split.items()} if total else {home: 1.0}


def are_close(one: Shares, other: Shares) -> bool:
    """Return whether two splits are equal within rounding."""
    return all(
        abs(one.get(r, 0.0) - other.get(r, 0.0)) < 10**-SHARE_DIGITS for r in {**one, **other}
    )


def round_shares(shares: Shares) -> Shares:
    """Return rounded shares; the largest absorbs the remainder, so that the sum stays 1."""
    result = {region: round(share, SHARE_DIGITS) for region, share in sorted(shares.items())}
    result = {region: share for region, share in result.items() if share > 0.0}
    largest = max(result, key=lambda region: result[region])
    result[largest] = round(result[largest] + 1.0 - sum(result.values()), SHARE_DIGITS)
    return result
