"""Paces traffic on the links into regions, at the rates of the policy in force."""

from briarspur.link import LinkPacer
from briarspur.messages import Priority
from briarspur.policy import Policy

__all__ = ["RegionPacing"]


class RegionPacing:
    """Paces this entry's share of each region's link.

    Only the entries of a region dispatch to its targets, so they share the rate of its link.
    """

    def __init__(self) -> None:
        self._pacers_by_region: dict[str, LinkPacer] = {}

    def apply_policy(self, policy: Policy, now: float) -> None:
        """Apply the link rates of a new policy."""
        for name, region in policy.regions_by_name.items():
            rate = region.link_bytes_per_s / max(1, len(region.entry_ids))
            pacer = self._pacers_by_region.get(name)
            if pacer is None:
                self._pacers_by_region[name] = LinkPacer(rate, region.link_small_share, now)
            else:
                pacer.set_rate(rate, region.link_small_share, now)

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Charge ``size`` bytes to a region's link; return the seconds to pause the sender."""
        pacer = self._pacers_by_region.get(region)
        return pacer.charge(priority, size, now) if pacer is not None else 0.0
