"""Pacing of the links into regions, by the policy in force."""

from briarspur.link import LinkPacer
from briarspur.messages import Priority
from briarspur.policy import Policy

__all__ = ["RegionPacing"]


class RegionPacing:
    """Paces an entry's share of each region's link.

    Only the entries of a region dispatch to its targets, so a link's rate is shared among them.
    """

    def __init__(self) -> None:
        self._pacers_by_region: dict[str, LinkPacer] = {}

    def policy_accepted(self, policy: Policy, now: float) -> None:
        """Take the rates of a new policy."""
        for name, region in policy.regions_by_name.items():
            rate = region.link_bytes_per_s / max(1, len(region.entry_ids))
            pacer = self._pacers_by_region.get(name)
            if pacer is None:
                self._pacers_by_region[name] = LinkPacer(rate, region.link_small_share, now)
            else:
                pacer.set_rate(rate, region.link_small_share, now)

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Account for ``size`` bytes of a region's link; return the seconds to pause."""
        pacer = self._pacers_by_region.get(region)
        return pacer.charge(priority, size, now) if pacer is not None else 0.0
