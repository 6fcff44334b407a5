"""Tests of choosing a region."""

import json
import random
import unittest

from briarspur.messages import ShiftKind
from briarspur.policy import compile_policy, parse_policy
from briarspur.region import RegionChooser
from tests.examples import small_policy


class RegionChooserTest(unittest.TestCase):
    """Every request is counted in the shift budget, whichever region serves it."""

    def test_a_request_that_may_not_shift_is_counted_at_home(self) -> None:
        """Guards against refusing home traffic that stayed within the home region.

        A plan shifts more than its cap allows, so the excess is served at home. If it is not
        counted there, it looks like a return when the plan changes, and what exceeds the cap on
        returns is refused.
        """
        policy = compile_policy(parse_policy(json.dumps(small_policy())), version=1)
        chooser = RegionChooser(policy, random.Random(1))
        chooser.apply_plan({"times": {"north": {"south": 1.0}}})
        asked: list[tuple[str, str, ShiftKind]] = []

        def admit_shift(service: str, home: str, region: str, kind: ShiftKind) -> bool:
            asked.append((home, region, kind))
            return region == home

        service = policy.services_by_name["times"]
        chosen = chooser.choose(service, "north", lambda region: True, admit_shift)
        self.assertEqual(chosen.ok.region, "north")
        self.assertEqual(asked[-1], ("north", "north", ShiftKind.RETURN))
