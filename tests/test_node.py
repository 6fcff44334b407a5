"""Tests of the state of an entry around its core."""

import json
import unittest

from briarspur.codes import Code
from briarspur.coord.envelope import Envelope
from briarspur.coord.store import StoredObject
from briarspur.documents import parse
from briarspur.messages import Request
from briarspur.metrics import NullMetrics
from briarspur.node import EntryNode, NodeClock
from briarspur.plan import PLAN_NAME, PlanDocument
from briarspur.settings import EntrySettings

SETTINGS = {
    "platform": {"host": "127.0.0.1", "port": 1},
    "entry_id": "entry-1",
    "zone": "north-a",
    "host": "127.0.0.1",
    "caller_port": 0,
    "forward_port": 0,
    "peer_port": 0,
}


def plan(term: int, number: int) -> str:
    return PlanDocument(term=term, number=number, holder="h", policy_version=1).model_dump_json()


class LogTest(unittest.TestCase):
    """A final answer that is not an answer of the service is logged in one line."""

    def test_a_refusal_is_logged_with_code_request_entry_and_policy(self) -> None:
        settings = parse(EntrySettings, json.dumps(SETTINGS), "settings")
        node = EntryNode(settings, "0" * 16, NullMetrics(), NodeClock(lambda: 0.0))
        request = Request("r1", "GET", "/times/", None, b"", 1, 1.0)
        with self.assertLogs("briarspur", "INFO") as logged:
            node.answered(request, "", Code.OVERLOADED, 0.25)
            node.answered(request, "north", Code.CONNECTION_LOST, 0.25)
        refused, failed = logged.records
        self.assertEqual((refused.getMessage(), failed.getMessage()), ("refused", "failed"))
        fields = {name: getattr(refused, name) for name in ("code", "request_id", "entry")}
        self.assertEqual(fields, {"code": 2100, "request_id": "r1", "entry": "entry-1"})
        self.assertEqual(vars(refused)["policy_version"], 0)
        with self.assertNoLogs("briarspur"):
            node.answered(request, "north", Code.ANSWERED, 0.25)


class PlanTest(unittest.TestCase):
    """Plans come into force in order of term and number, not of the object's version."""

    def setUp(self) -> None:
        settings = parse(EntrySettings, json.dumps(SETTINGS), "settings")
        self.node = EntryNode(settings, "0" * 16, NullMetrics(), NodeClock(lambda: 0.0))

    def load_plan(self, version: int, term: int, body: str) -> bool:
        value = Envelope(f"t{version}", term, body).encode()
        return self.node.load_plan(StoredObject(PLAN_NAME, version, value))

    def test_plan_of_an_older_term_is_rejected(self) -> None:
        self.assertTrue(self.load_plan(1, 2, plan(2, 1)))
        self.assertFalse(self.load_plan(2, 2, plan(1, 9)))
        self.assertEqual(self.node.plan_version, 1)

    def test_rewrite_by_a_new_lease_holder_is_not_an_error(self) -> None:
        """Guards against an error in the log of each entry at every change of the lease holder."""
        self.assertFalse(self.load_plan(1, 1, ""))
        self.assertTrue(self.load_plan(2, 1, plan(1, 1)))
        with self.assertNoLogs("briarspur"):
            self.assertTrue(self.load_plan(3, 2, plan(1, 1)))
        self.assertEqual(self.node.plan_version, 3)
