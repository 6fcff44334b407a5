"""Tests of the order in which servers are preferred for an object."""

import unittest
from collections import Counter

from briarspur.gateway.preference import (
    CANDIDATES_PER_GROUP,
    OVERFULL_PLACES,
    Distance,
    Preferences,
    mean_warm_objects,
)
from briarspur.gateway.target import Target
from briarspur.gateway.transit import TransitTimes
from tests.gateway.samples import ZONE_REGIONS, registration


def servers(counts_by_zone: dict[str, int]) -> list[Target]:
    return [
        Target(registration(f"{zone}-{number}", zone=zone), ZONE_REGIONS[zone], 0.0)
        for zone, count in counts_by_zone.items()
        for number in range(count)
    ]


def preferences(zone: str = "a-1") -> Preferences:
    return Preferences(TransitTimes(zone, ZONE_REGIONS[zone]))


class OrderTest(unittest.TestCase):
    """Which servers are preferred for an object."""

    def test_the_own_zone_is_preferred_then_the_region(self) -> None:
        targets = servers({"a-1": 3, "a-2": 3, "b-1": 3})
        ranked = preferences().ranked("info", 7, targets, 1)
        best = sorted(ranked, key=lambda item: item.place)
        zones = [item.target.registration.zone for item in best]
        self.assertEqual("a-1", zones[0])
        self.assertLess(zones.index("a-2"), zones.index("b-1"))

    def test_entries_of_a_zone_agree_on_the_order_and_a_restart_keeps_it(self) -> None:
        targets = servers({"a-1": 6, "b-1": 6})
        for key in range(20):
            firsts = {
                next(preferences().first_choices("info", key, order, 1)).registration.target_id
                for order in (targets, list(reversed(targets)))
            }
            self.assertEqual(1, len(firsts))

    def test_objects_are_spread_over_the_servers_of_a_zone(self) -> None:
        targets = servers({"a-1": 4})
        made = preferences()
        counts = Counter(
            next(made.first_choices("info", key, targets, 1)).registration.target_id
            for key in range(400)
        )
        self.assertEqual(4, len(counts))
        self.assertLess(max(counts.values()), 150)

    def test_a_server_with_more_than_its_fair_share_is_ranked_lower(self) -> None:
        """Guards against overload of a region with a third of the callers and one of nine servers.

        If an entry always preferred its own region, that server would get a third of all objects
        and of all work, and its callers would wait while eight servers are idle.
        """
        targets = servers({"a-1": 1, "b-1": 8})
        made = preferences()
        for key in range(90):
            ranked = made.ranked("info", key, targets, 1)
            best = min(ranked, key=lambda item: item.place)
            best.target.warmth.add(key)
        near = len(targets[0].warmth)
        self.assertLessEqual(near, 1.25 * mean_warm_objects(targets) + 2)
        self.assertGreaterEqual(near, 10)

    def test_a_server_where_the_object_is_warm_is_always_evaluated(self) -> None:
        targets = servers({"a-1": CANDIDATES_PER_GROUP + 20})
        made = preferences()
        evaluated = {item.target for item in made.ranked("info", 7, targets, 1)}
        self.assertEqual(CANDIDATES_PER_GROUP, len(evaluated))
        far = next(target for target in targets if target not in evaluated)
        far.warmth.add(7)
        ranked = made.ranked("info", 7, targets, 1)
        self.assertIn(far, {item.target for item in ranked})
        self.assertEqual(CANDIDATES_PER_GROUP + 1, len(ranked))

    def test_a_full_server_can_still_be_used(self) -> None:
        targets = servers({"a-1": 2})
        for key in range(10):
            targets[0].warmth.add(key)
        places = {i.target: i.place for i in preferences().ranked("info", 99, targets, 1)}
        self.assertGreaterEqual(places[targets[0]], OVERFULL_PLACES)
        self.assertLess(places[targets[1]], OVERFULL_PLACES)

    def test_a_change_of_servers_replaces_the_cached_order(self) -> None:
        made = preferences()
        before = servers({"a-1": 2})
        made.ranked("info", 7, before, 1)
        after = servers({"b-1": 2})
        ranked = made.ranked("info", 7, after, 2)
        self.assertEqual(set(after), {item.target for item in ranked})


class DistanceTest(unittest.TestCase):
    """The distance of a server from the entry."""

    def test_the_distance_follows_from_zone_and_region(self) -> None:
        transit = TransitTimes("a-1", "a")
        distances = [transit.distance(t) for t in servers({"a-1": 1, "a-2": 1, "b-1": 1})]
        self.assertEqual([Distance.ZONE, Distance.REGION, Distance.FAR], distances)
