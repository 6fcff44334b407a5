"""Network times to the zones, learnt from how long connections take to be made."""

from briarspur.gateway.preference import Distance
from briarspur.gateway.target import Target

__all__ = ["TransitTimes"]

SAME_ZONE = 0.001
SAME_REGION = 0.003
OTHER_REGION = 0.045
"""Seconds there and back, assumed until a connection was made; of the order that the users gave."""
WEIGHT = 0.05
"""Share of a sample above the mean; a shorter one replaces it, since the least is the way itself
and the rest is waiting at either end."""


ZONE_BYTE = 3.0e-6
REGION_BYTE = 4.2e-6
"""Seconds counted for each byte of a request and its answer that leaves the availability zone or
the region. Operators pay for these bytes, and a link between regions carries 175 Mbit/s for all
traffic together. A note of 60 kB counts as 180 ms and is taken near unless the near servers are
busier than that; an answer of 400 bytes goes anywhere. On a quiet day of 13,000 requests 56 MB
crossed zones at 0.5e-6 without the request's bytes, 30 MB at 3e-6 with warm copies (one run each).
At 5e-6 and without a bound on these the share of worth earned was 0.77 instead of 0.84 on a day
with a burst."""
ASSUMED = {
    Distance.ZONE: SAME_ZONE,
    Distance.REGION: SAME_REGION,
    Distance.FAR: OTHER_REGION,
}
BYTE_COSTS = {Distance.ZONE: 0.0, Distance.REGION: ZONE_BYTE, Distance.FAR: REGION_BYTE}


class TransitTimes:
    """Seconds there and back, by zone."""

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._by_zone: dict[str, float] = {}
        self._by_distance: dict[Distance, float] = {}

    def __call__(self, target: Target) -> float:
        """Return seconds for the way there and back."""
        known = self._by_zone.get(target.registration.zone)
        return ASSUMED[self.distance(target)] if known is None else known

    def distance(self, target: Target) -> Distance:
        """Tell how far a server is from the entry."""
        if target.registration.zone == self._zone:
            return Distance.ZONE
        return Distance.REGION if target.region == self._region else Distance.FAR

    def byte_cost(self, target: Target) -> float:
        """Return the seconds that are counted for each byte of an answer."""
        return BYTE_COSTS[self.distance(target)]

    def path_cost(self, distance: Distance, size: float) -> float:
        """Return the seconds counted for the way to servers at a distance, there and back.

        Parameters
        ----------
        size : float
            Bytes of a request and its answer.
        """
        known = self._by_distance.get(distance, ASSUMED[distance])
        return known + size * BYTE_COSTS[distance]

    def connected(self, target: Target, seconds: float) -> None:
        """Take the time of one connect, which is one way there and back."""
        zone = target.registration.zone
        old = self._by_zone.get(zone, seconds)
        self._by_zone[zone] = seconds if seconds < old else old + WEIGHT * (seconds - old)
        distance = self.distance(target)
        before = self._by_distance.get(distance, self._by_zone[zone])
        self._by_distance[distance] = before + WEIGHT * (self._by_zone[zone] - before)
