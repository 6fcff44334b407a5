"""Tests of warnings about valid policies."""

import json
import unittest
from typing import Any

from briarspur.lint import find_warnings
from briarspur.policy import parse_policy
from tests.examples import small_policy


def warned_paths(document: dict[str, Any]) -> set[str]:
    return {fault.path for fault in find_warnings(parse_policy(json.dumps(document)))}


class LintTest(unittest.TestCase):
    """Each check warns about exactly the field that is wrong."""

    def test_the_example_has_no_warning(self) -> None:
        self.assertEqual(warned_paths(small_policy(targets=1)), set())

    def test_a_service_with_only_leaving_targets_in_a_region_has_a_warning(self) -> None:
        document = small_policy(targets=1)
        document["targets"]["times-north-1"]["state"] = "leaving"
        self.assertEqual(warned_paths(document), {"services.times"})

    def test_limits_below_slots_zero_caps_and_late_objectives_have_warnings(self) -> None:
        document = small_policy(targets=1)
        document["regions"]["north"]["in_flight_limit"] = 1
        document["caps"]["return"]["requests_per_window"] = 0
        document["services"]["times"]["objective"] = {"latency_ms": 9_000}
        expected = {
            "regions.north.in_flight_limit",
            "caps.return.requests_per_window",
            "services.times.rules.0.deadline_ms",
        }
        self.assertEqual(warned_paths(document), expected)

    def test_unreachable_rules_idempotent_posts_and_bad_splits_have_warnings(self) -> None:
        document = small_policy(targets=1)
        rules = document["services"]["times"]["rules"]
        rules.append({"path": "/late"})
        rules.append({"path": "/", "methods": ["POST"]})
        document["services"]["times"]["split"] = {"north": {"north": 0.5, "south": 0.4}}
        expected = {
            "services.times.rules.1",
            "services.times.rules.2.kind",
            "services.times.split.north",
        }
        self.assertEqual(warned_paths(document), expected)
