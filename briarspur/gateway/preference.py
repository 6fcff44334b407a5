"""The order in which the servers of a service are preferred for an object.

The callers of an object mostly come from one region. So servers of that region are preferred, in a
rendezvous order that all entries of the region share and that survives restarts. A server with more
warm objects than its fair share is ranked lower, so that a region with many callers and few servers
sends some of its objects to the other regions.

One order over all regions would send more bytes between regions, without more answers in time.
"""

from bisect import insort
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from briarspur.coord.rendezvous import weight
from briarspur.gateway.target import Target

__all__ = ["Distance", "DistanceLookup", "Preferences", "Ranked"]

CANDIDATES_PER_GROUP = 12
"""Servers per group of equal distance that are evaluated for an object, besides those where it is
warm. Evaluating all of 160 servers would take 0.3 ms of CPU time per request."""
OVERFULL_PLACES = 8.0
"""Places by which a server with more warm objects than its fair share is ranked lower."""
FAIR_SHARE_FACTOR = 1.25
"""A server's fair share of warm objects, as a multiple of the mean of its service."""
MAX_CACHED_ORDERS = 5_000
MAX_INSERTED_SHARE = 0.15
"""Share of servers up to which it takes fewer hashes to insert them than to sort all anew."""


class Distance(IntEnum):
    """Distance of a server from an entry: same zone, same region, or other region."""

    ZONE = 0
    REGION = 1
    FAR = 2


FIRST_PLACE_BY_DISTANCE = {Distance.ZONE: 0.0, Distance.REGION: 2.0, Distance.FAR: 4.0}
"""Places by which the first server outside the zone, and outside the region, is ranked lower."""


class DistanceLookup(Protocol):
    """Looks up the distance of servers."""

    def distance(self, target: Target) -> Distance:
        """Return the distance of a server from the entry."""


@dataclass(frozen=True, slots=True)
class Ranked:
    """A server and its place in an object's order; lower places are preferred."""

    target: Target
    place: float


@dataclass(frozen=True, slots=True)
class _Order:
    """An object's order of servers, over all of them and by distance."""

    epoch: int
    overall: list[Target]
    by_distance: dict[Distance, list[Target]]
    within_region: list[Target]

    def groups(self, span: Distance) -> list[tuple[float, list[Target]]]:
        """Return the groups of servers that share one order, each with its first place."""
        if span is Distance.FAR:
            return [(0.0, self.overall)]
        if span is Distance.REGION:
            far = (FIRST_PLACE_BY_DISTANCE[Distance.FAR], self.by_distance[Distance.FAR])
            return [(0.0, self.within_region), far]
        return [
            (FIRST_PLACE_BY_DISTANCE[distance], found)
            for distance, found in self.by_distance.items()
        ]


class Preferences:
    """Orders the servers of services for objects."""

    def __init__(self, distances: DistanceLookup) -> None:
        self._distances = distances
        self._orders: dict[tuple[str, int], _Order] = {}

    def ranked(
        self,
        service: str,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        span: Distance = Distance.ZONE,
    ) -> list[Ranked]:
        """Return the servers to evaluate for an object.

        Parameters
        ----------
        epoch : int
            Changes whenever ``targets`` changes.
        span : Distance
            Distance up to which all servers share one order. Entries within it agree on the
            object's first server without exchanging news, so the object is warmed up once and not
            once per zone.
        """
        order = self._order(service, key, targets, epoch)
        fair_share = FAIR_SHARE_FACTOR * mean_warm_objects(targets)
        ranked: list[Ranked] = []
        for first, ordered in order.groups(span):
            ranked += _ranked(ordered[:CANDIDATES_PER_GROUP], first, fair_share)
        known = {item.target.number for item in ranked}
        for target in targets:
            if key in target.warmth and target.number not in known:
                ranked.append(Ranked(target, 0.0))
        return ranked

    def first_choices(
        self,
        service: str,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        span: Distance = Distance.ZONE,
    ) -> Iterator[Target]:
        """Yield the object's first server of each group that has any."""
        for _, ordered in self._order(service, key, targets, epoch).groups(span):
            yield from ordered[:1]

    def in_zone(
        self, service: str, key: int, targets: Sequence[Target], epoch: int
    ) -> list[Target]:
        """Return the servers of the entry's own zone in the object's order."""
        return self._order(service, key, targets, epoch).by_distance[Distance.ZONE]

    def _order(self, service: str, key: int, targets: Sequence[Target], epoch: int) -> _Order:
        cached = self._orders.get((service, key))
        if cached is not None and cached.epoch == epoch:
            return cached
        by_weight = _by_weight(key, targets, [] if cached is None else cached.overall)
        by_distance: dict[Distance, list[Target]] = {distance: [] for distance in Distance}
        within_region = []
        for target in by_weight:
            distance = self._distances.distance(target)
            by_distance[distance].append(target)
            if distance is not Distance.FAR:
                within_region.append(target)
        if len(self._orders) >= MAX_CACHED_ORDERS:
            self._orders.clear()
        order = _Order(epoch, by_weight, by_distance, within_region)
        self._orders[service, key] = order
        return order


def _by_weight(key: int, targets: Sequence[Target], previous: list[Target]) -> list[Target]:
    """Return targets by descending weight for an object, given their order before a change.

    Only the weights of targets that were added are computed, and of those that they are compared
    with.
    """
    text = f"{key:08x}"

    def ascending(target: Target) -> int:
        return -weight(text, target.registration.target_id)

    current, known = set(targets), set(previous)
    added = [target for target in targets if target not in known]
    if len(added) > MAX_INSERTED_SHARE * len(targets):
        return sorted(targets, key=ascending)
    by_weight = [target for target in previous if target in current]
    for target in added:
        insort(by_weight, target, key=ascending)
    return by_weight


def mean_warm_objects(targets: Sequence[Target]) -> float:
    """Return the mean number of objects known to be warm at a server."""
    return sum(len(target.warmth) for target in targets) / max(1, len(targets))


def _ranked(targets: Sequence[Target], first: float, fair_share: float) -> Iterator[Ranked]:
    for index, target in enumerate(targets):
        penalty = OVERFULL_PLACES if len(target.warmth) >= fair_share else 0.0
        yield Ranked(target, first + index + penalty)
