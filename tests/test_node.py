"""Tests of what an entry takes in force."""

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
    """A final answer that is not the service's own leaves one line."""

    def test_a_refusal_names_code_request_entry_and_policy(self) -> None:
        settings = parse(EntrySettings, json.dumps(SETTINGS), "settings")
        node = EntryNode(settings, "0" * 16, NullMetrics(), NodeClock(lambda: 0.0))
        request = Request("r1", "GET", "/times/", None, b"", 1, 1.0)
        with self.assertLogs("briarspur", "INFO") as logged:
            node.answered(request, "", Code.OVERLOADED, 0.25)
            node.answered(request, "north", Code.CONNECTION_LOST, 0.25)
        refused, failed = logged.records
        self.assertEqual((refused.getMessage(), failed.getMessage()), ("refused", "failed"))
        named = {name: getattr(refused, name) for name in ("code", "request_id", "entry")}
        self.assertEqual(named, {"code": 2100, "request_id": "r1", "entry": "entry-1"})
        self.assertEqual(vars(refused)["policy_version"], 0)
        with self.assertNoLogs("briarspur"):
            node.answered(request, "north", Code.ANSWERED, 0.25)


class PlanTest(unittest.TestCase):
    """Plans come into force in the order of term and number, whatever the object's version."""

    def setUp(self) -> None:
        settings = parse(EntrySettings, json.dumps(SETTINGS), "settings")
        self.node = EntryNode(settings, "0" * 16, NullMetrics(), NodeClock(lambda: 0.0))

    def take(self, version: int, term: int, body: str) -> bool:
        value = Envelope(f"t{version}", term, body).encode()
        return self.node.plan_stored(StoredObject(PLAN_NAME, version, value))

    def test_older_term_is_refused(self) -> None:
        self.assertTrue(self.take(1, 2, plan(2, 1)))
        self.assertFalse(self.take(2, 2, plan(1, 9)))
        self.assertEqual(self.node.plan_version, 1)

    def test_fence_of_a_new_holder_changes_nothing(self) -> None:
        """Every change of the lease's holder would log an error on each entry."""
        self.assertFalse(self.take(1, 1, ""))
        self.assertTrue(self.take(2, 1, plan(1, 1)))
        with self.assertNoLogs("briarspur"):
            self.assertTrue(self.take(3, 2, plan(1, 1)))
        self.assertEqual(self.node.plan_version, 3)
