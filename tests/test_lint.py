"""Tests of warnings about valid policies."""

import json
import unittest
from typing import Any

from briarspur.lint import warnings_of
from briarspur.policy import parse_policy
from tests.examples import small_policy


def paths_warned(document: dict[str, Any]) -> set[str]:
    return {fault.path for fault in warnings_of(parse_policy(json.dumps(document)))}


class LintTest(unittest.TestCase):
    """Each check fires on the one field that is wrong."""

    def test_the_example_has_no_warning(self) -> None:
        self.assertEqual(paths_warned(small_policy(targets=1)), set())

    def test_a_service_whose_targets_all_leave_a_region(self) -> None:
        document = small_policy(targets=1)
        document["targets"]["times-north-1"]["state"] = "leaving"
        self.assertEqual(paths_warned(document), {"services.times"})

    def test_limits_caps_and_objectives(self) -> None:
        document = small_policy(targets=1)
        document["regions"]["north"]["in_flight_limit"] = 1
        document["caps"]["return"]["requests_per_window"] = 0
        document["services"]["times"]["objective"] = {"latency_ms": 9_000}
        expected = {
            "regions.north.in_flight_limit",
            "caps.return.requests_per_window",
            "services.times.rules.0.deadline_ms",
        }
        self.assertEqual(paths_warned(document), expected)

    def test_rules_and_splits(self) -> None:
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
        self.assertEqual(paths_warned(document), expected)
