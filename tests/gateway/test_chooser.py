"""Tests that a server which is chosen without a look at all others is the one that they lose to."""

import random
import unittest
from unittest.mock import patch

from briarspur.gateway.chooser import Choice, Chooser, Wish
from briarspur.gateway.steering import Steering
from briarspur.gateway.transit import TransitTimes
from briarspur.gateway.worktime import WorkTimes
from tests.gateway.samples import ZONE_REGIONS, registration, route, steering

KEYS = range(12)
SLOTS = 4


def loaded(rng: random.Random) -> Steering:
    """Return servers of unlike load, speed and trouble, with some objects at hand."""
    core = steering(targets=0)
    for number in range(30):
        zone = rng.choice(list(ZONE_REGIONS))
        core.targets.registered(registration(f"t-{number}", zone=zone, slots=SLOTS), 0.0)
    for target in core.targets.by_number.values():
        target.in_flight = rng.choice((0, 0, 0, 1, 2, 3 * SLOTS - 1))
        target.speed = rng.uniform(0.3, 8.0)
        if rng.random() < 0.2:
            target.learn_trouble(True, 0.0)
        for key in rng.sample(KEYS, 3):
            target.warmth.add(key)
    return core


class WarmAtOnceTest(unittest.TestCase):
    """The look at warm servers alone chooses as the look at all does."""

    def chosen(self, core: Steering, key: int, look_at_all: bool) -> Choice | None:
        chooser = Chooser(WorkTimes(), TransitTimes("a-1", "a"))
        wish = Wish(route(), "info", key)
        targets = core.targets.by_service["info"]
        if not look_at_all:
            return chooser.choose(wish, targets, core.targets.epoch, 1.0)
        with patch.object(Chooser, "_undoubtedly_warm", return_value=None):
            return chooser.choose(wish, targets, core.targets.epoch, 1.0)

    def test_the_same_server_is_chosen(self) -> None:
        """Guards against warm servers that are taken though a cold one would answer sooner."""
        rng = random.Random(7)
        found = 0
        for _ in range(40):
            core = loaded(rng)
            for key in KEYS:
                one, other = self.chosen(core, key, False), self.chosen(core, key, True)
                self.assertEqual(other, one)
                found += one is not None and one.warm
        self.assertGreater(found, 100)
