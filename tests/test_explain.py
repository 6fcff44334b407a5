"""Tests of explanations from the policy."""

import json
import unittest
from typing import Any

from briarspur.explain import Explanation, explain
from briarspur.policy import compile_policy, parse_policy
from tests.examples import small_policy


def explained(document: dict[str, Any], method: str, path: str, client: str) -> Explanation:
    policy = compile_policy(parse_policy(json.dumps(document)), version=7)
    return explain(policy, method, path, client).ok


class ExplainTest(unittest.TestCase):
    """The rule, the home region and the order of regions follow from the policy alone."""

    def test_the_first_matching_rule_applies(self) -> None:
        found = explained(small_policy(), "POST", "/booking/new", "10.9.9.9")
        self.assertEqual((found.service, found.rule_index, found.home), ("booking", 0, "north"))
        found = explained(small_policy(), "GET", "/booking", "10.9.9.9")
        self.assertEqual(found.rule_index, 1)

    def test_the_longest_matching_prefix_determines_the_home(self) -> None:
        document = small_policy()
        document["blocks"]["by_prefix"]["10.2.7.0/24"] = "north"
        self.assertEqual(explained(document, "GET", "/times", "10.2.3.4").home, "south")
        self.assertEqual(explained(document, "GET", "/times", "10.2.7.4").home, "north")

    def test_leaving_targets_are_listed_separately(self) -> None:
        document = small_policy()
        document["targets"]["times-south-1"]["state"] = "leaving"
        first, second = explained(document, "GET", "/times", "10.2.3.4").regions
        self.assertEqual((first.region, first.target_ids), ("south", ("times-south-2",)))
        self.assertEqual(first.leaving_ids, ("times-south-1",))
        self.assertEqual((second.region, second.reason), ("north", "spill_to of south"))

    def test_a_split_overrides_the_order_by_distance(self) -> None:
        document = small_policy()
        document["services"]["times"]["split"] = {"south": {"north": 0.7, "south": 0.3}}
        found = explained(document, "GET", "/times", "10.2.3.4")
        self.assertEqual(
            [(r.region, r.share) for r in found.regions], [("north", 0.7), ("south", 0.3)]
        )

    def test_a_refused_request_has_no_explanation(self) -> None:
        policy = compile_policy(parse_policy(json.dumps(small_policy())), version=7)
        for method, path, client in (
            ("GET", "/timesheet", "10.0.0.1"),
            ("DELETE", "/times", "10.0.0.1"),
            ("GET", "/times", "nobody"),
        ):
            with self.subTest(path=path):
                self.assertTrue(explain(policy, method, path, client).is_error())
