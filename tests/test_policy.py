"""Tests of the policy document."""

import json
import unittest

from briarspur.errors import DocumentError
from briarspur.messages import Priority, RequestKind
from briarspur.policy import compile_policy, parse_policy
from tests.examples import small_policy


class PolicyTest(unittest.TestCase):
    """The document is validated completely and compiled for lookup by name."""

    def test_compiled_rules_include_the_path_of_the_service(self) -> None:
        policy = compile_policy(parse_policy(json.dumps(small_policy())), version=3)
        rules = policy.services_by_name["booking"].rules
        self.assertEqual(rules[0].path, "/booking/")
        self.assertIs(rules[0].kind, RequestKind.ONCE_ONLY)
        self.assertIs(rules[0].priority, Priority.ONCE_ONLY)

    def test_unknown_zone_is_rejected(self) -> None:
        document = small_policy()
        document["entries"]["entry-1"]["zone"] = "nowhere"
        with self.assertRaises(DocumentError) as caught:
            parse_policy(json.dumps(document))
        self.assertIn("entries.entry-1.zone", str(caught.exception))
