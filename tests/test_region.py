"""Tests of the choice of a region."""

import json
import random
import unittest

from briarspur.messages import ShiftKind
from briarspur.policy import compile_policy, parse_policy
from briarspur.region import RegionChooser
from tests.examples import small_policy


class RegionChooserTest(unittest.TestCase):
    """Every request is counted in the shift budget, wherever it goes."""

    def test_a_request_that_may_not_move_is_counted_at_home(self) -> None:
        """Callers are sent away from a home that served them well a moment ago.

        A plan moves more than its cap allows, so the rest stays at home. Uncounted there, it looked
        like a return when the plan changed, and was refused beyond the cap on returns.
        """
        policy = compile_policy(parse_policy(json.dumps(small_policy())), version=1)
        chooser = RegionChooser(policy, random.Random(1))
        chooser.follow_plan({"times": {"north": {"south": 1.0}}})
        asked: list[tuple[str, str, ShiftKind]] = []

        def gate(service: str, home: str, region: str, kind: ShiftKind) -> bool:
            asked.append((home, region, kind))
            return region == home

        service = policy.services_by_name["times"]
        chosen = chooser.choose(service, "north", lambda region: True, gate)
        self.assertEqual(chosen.ok.region, "north")
        self.assertEqual(asked[-1], ("north", "north", ShiftKind.RETURN))
