"""Tests that the shortcut for warm objects chooses the same server as the evaluation of all."""

import random
import unittest
from unittest.mock import patch

from briarspur.gateway.chooser import Choice, Chooser, SelectionCriteria
from briarspur.gateway.steering import Steering
from briarspur.gateway.transit import TransitTimes
from briarspur.gateway.worktime import WorkTimes
from tests.gateway.samples import ZONE_REGIONS, registration, route, steering

KEYS = range(12)
SLOTS = 4


def loaded(rng: random.Random) -> Steering:
    """Return servers of different load, slowdown and error rate, with some warm objects."""
    core = steering(targets=0)
    for number in range(30):
        zone = rng.choice(list(ZONE_REGIONS))
        core.targets.registered(registration(f"t-{number}", zone=zone, slots=SLOTS), 0.0)
    for target in core.targets.by_number.values():
        target.in_flight = rng.choice((0, 0, 0, 1, 2, 3 * SLOTS - 1))
        target.slowdown = rng.uniform(0.3, 8.0)
        if rng.random() < 0.2:
            target.learn_error(True, 0.0)
        for key in rng.sample(KEYS, 3):
            target.warmth.add(key)
    return core


class WarmShortcutTest(unittest.TestCase):
    """Evaluating the warm servers alone gives the same choice as evaluating all servers."""

    def chosen(self, core: Steering, key: int, evaluate_all: bool) -> Choice | None:
        chooser = Chooser(WorkTimes(), TransitTimes("a-1", "a"))
        criteria = SelectionCriteria(route(), "info", key)
        targets = core.targets.by_service["info"]
        if not evaluate_all:
            return chooser.choose(criteria, targets, core.targets.epoch, 1.0)
        with patch.object(Chooser, "_clearly_best_warm", return_value=None):
            return chooser.choose(criteria, targets, core.targets.epoch, 1.0)

    def test_the_same_server_is_chosen(self) -> None:
        """Guards against choosing a warm server although a cold one would answer sooner."""
        rng = random.Random(7)
        found = 0
        for _ in range(40):
            core = loaded(rng)
            for key in KEYS:
                one, other = self.chosen(core, key, False), self.chosen(core, key, True)
                self.assertEqual(other, one)
                found += one is not None and one.warm
        self.assertGreater(found, 100)
