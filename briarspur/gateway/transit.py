"""Network times to the zones, learnt from how long connections take to be made."""

from briarspur.gateway.target import Target

__all__ = ["TransitTimes"]

SAME_ZONE = 0.001
SAME_REGION = 0.003
OTHER_REGION = 0.045
"""Seconds there and back, assumed until a connection was made; of the order that the users gave."""
WEIGHT = 0.05
"""Share of a sample above the mean; a shorter one replaces it, since the least is the way itself
and the rest is waiting at either end."""


class TransitTimes:
    """Seconds there and back, by zone."""

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._by_zone: dict[str, float] = {}

    def __call__(self, target: Target) -> float:
        """Return seconds for the way there and back."""
        known = self._by_zone.get(target.registration.zone)
        if known is not None:
            return known
        if target.registration.zone == self._zone:
            return SAME_ZONE
        return SAME_REGION if target.region == self._region else OTHER_REGION

    def connected(self, target: Target, seconds: float) -> None:
        """Take the time of one connect, which is one way there and back."""
        zone = target.registration.zone
        old = self._by_zone.get(zone, seconds)
        self._by_zone[zone] = seconds if seconds < old else old + WEIGHT * (seconds - old)
