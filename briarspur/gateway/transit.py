"""Network round-trip times to the zones, learned from connect times, and costs of transfers."""

from briarspur.gateway.preference import Distance
from briarspur.gateway.target import Target

__all__ = ["TransitTimes"]

SAME_ZONE_S = 0.001
SAME_REGION_S = 0.003
OTHER_REGION_S = 0.045
"""Round-trip times assumed until a connection was made, of the magnitude that users reported."""
SAMPLE_WEIGHT = 0.05
"""Weight of a sample above the mean. A shorter sample replaces the mean, since the shortest time is
that of the network path and any excess is waiting at either end."""
ZONE_BYTE_COST_S = 3.0e-6
REGION_BYTE_COST_S = 4.2e-6
"""Cost per byte of a request and its answer that leaves the availability zone or the region.
Operators pay for these bytes, and a link between regions carries 175 Mbit/s for all traffic. 60 kB
count as 180 ms, so they stay in the zone unless its servers are busier than that; an answer of 400
bytes may come from anywhere. With a lower cost more bytes cross zones;
with a higher one, and without a bound on warm copies, fewer answers are useful during a burst."""
ASSUMED_S = {
    Distance.ZONE: SAME_ZONE_S,
    Distance.REGION: SAME_REGION_S,
    Distance.FAR: OTHER_REGION_S,
}
BYTE_COSTS_S = {
    Distance.ZONE: 0.0,
    Distance.REGION: ZONE_BYTE_COST_S,
    Distance.FAR: REGION_BYTE_COST_S,
}


class TransitTimes:
    """Round-trip times by zone.

    Parameters
    ----------
    zone, region : str
        The entry's availability zone and region.
    """

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._by_zone: dict[str, float] = {}
        self._by_distance: dict[Distance, float] = {}

    def __call__(self, target: Target) -> float:
        """Return the round-trip time to a target, in seconds."""
        known = self._by_zone.get(target.registration.zone)
        return ASSUMED_S[self.distance(target)] if known is None else known

    def distance(self, target: Target) -> Distance:
        """Return the distance of a target from the entry."""
        if target.registration.zone == self._zone:
            return Distance.ZONE
        return Distance.REGION if target.region == self._region else Distance.FAR

    def byte_cost(self, target: Target) -> float:
        """Return the cost of each transferred byte, in seconds."""
        return BYTE_COSTS_S[self.distance(target)]

    def path_cost(self, distance: Distance, size: float) -> float:
        """Return the cost of a round trip with so many bytes at a distance, in seconds.

        Parameters
        ----------
        size : float
            Bytes of a request and its answer.
        """
        known = self._by_distance.get(distance, ASSUMED_S[distance])
        return known + size * BYTE_COSTS_S[distance]

    def record_connect(self, target: Target, seconds: float) -> None:
        """Record the time of one connect, which takes one round trip."""
        zone = target.registration.zone
        old = self._by_zone.get(zone, seconds)
        self._by_zone[zone] = seconds if seconds < old else old + SAMPLE_WEIGHT * (seconds - old)
        distance = self.distance(target)
        before = self._by_distance.get(distance, self._by_zone[zone])
        self._by_distance[distance] = before + SAMPLE_WEIGHT * (self._by_zone[zone] - before)
