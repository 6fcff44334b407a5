"""Tests of the platform's documents: what can be read, and what is skipped with a reason."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.configuration import RouteKind, SplitPart
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.replica import Kind
from briarspur.platform.documents import (
    decode_configuration,
    decode_entry,
    decode_registration,
    encode_entry,
    essence,
)

FIXED = settings(derandomize=True, deadline=None, database=None)
SERVER = {
    "service": "info",
    "address": "10.1.0.9:8080",
    "zone": "a-1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seq": 4,
    "born": 1_700_000_000_000,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from([*SERVER, "version", "resourceList"]), inner, max_size=5),
    max_leaves=12,
)


def route(**spec: Any) -> dict[str, Any]:
    whole = {
        "host": "quay.example",
        "pathPrefix": "/times/",
        "kind": "idempotent",
        "timeoutMs": 800,
        "latencyGoalMs": 250,
        "priority": 1,
        "service": "info",
        "attempts": 2,
        "sticky": True,
        "allowedRegions": [],
    }
    return {"entryKind": "routes", "metadata": {"name": "r-1"}, "spec": {**whole, **spec}}


class RegistrationTest(unittest.TestCase):
    """One server that can't be read harms no other."""

    def test_a_whole_one(self) -> None:
        read = decode_registration("t-1", SERVER).ok
        self.assertEqual(("10.1.0.9", 8080, 1.5), (read.host, read.port, read.cold_s))
        self.assertEqual(("t-1", 1_700_000_000_000), read.incarnation)
        self.assertFalse(read.draining)
        self.assertTrue(decode_registration("t", {**SERVER, "state": "draining"}).ok.draining)

    def test_faults_have_a_reason(self) -> None:
        for field, value in (
            ("state", "resting"),
            ("slots", "4"),
            ("slots", 0),
            ("address", "quay:80"),
            ("address", None),
            ("service", 7),
            ("warmupLeftMs", "soon"),
        ):
            with self.subTest(field=field, value=value):
                read = decode_registration("t-1", {**SERVER, field: value})
                self.assertTrue(read.is_error())
                self.assertIn(field, read.error)

    @FIXED
    @given(JSON)
    def test_anything_is_read_or_refused(self, value: Any) -> None:
        decode_registration("t-1", value)
        decode_entry("e-1", value)
        decode_configuration(value)

    def test_a_renewal_changes_nothing_that_matters(self) -> None:
        renewed = {**SERVER, "seq": 5}
        self.assertEqual(essence(Kind.TARGETS, SERVER), essence(Kind.TARGETS, renewed))
        cold = {**SERVER, "warmupLeftMs": 0}
        self.assertNotEqual(essence(Kind.TARGETS, SERVER), essence(Kind.TARGETS, cold))


class ConfigurationTest(unittest.TestCase):
    """The whole document, or a reason."""

    def test_routes_services_and_limits(self) -> None:
        document = {
            "version": 7,
            "baseVersion": 5,
            "resourceList": [
                route(),
                route(
                    kind="non_idempotent",
                    service=None,
                    trafficSplit=[
                        {"service": "info", "weight": 90},
                        {"service": "other", "weight": 10},
                        {"service": "none", "weight": 0},
                    ],
                ),
                {
                    "entryKind": "services",
                    "metadata": {"name": "info"},
                    "spec": {"maxConns": 360, "warmupS": 3.0, "warmupPerS": 11.0, "tls": False},
                },
                {"entryKind": "limits", "metadata": {}, "spec": {"idleTimeoutMs": 15000}},
                {"entryKind": "new-kind", "metadata": {}, "spec": {"x": 1}},
            ],
        }
        read = decode_configuration(document).ok
        plain, split = read.routes
        self.assertEqual((0.8, 0.25, 2), (plain.timeout, plain.goal, plain.attempts))
        self.assertIs(RouteKind.ONCE_ONLY, split.kind)
        self.assertEqual((SplitPart("info", 90.0), SplitPart("other", 10.0)), split.parts)
        self.assertEqual(11.0, read.services_by_name["info"].cold_per_s)
        self.assertEqual(15.0, read.limits.idle_s)

    def test_a_route_that_leads_nowhere_is_a_fault(self) -> None:
        for spec in ({"service": None}, {"kind": "daily"}, {"pathPrefix": "times"}):
            with self.subTest(spec):
                document = {"version": 1, "resourceList": [route(**spec)]}
                self.assertTrue(decode_configuration(document).is_error())


class EntryTest(unittest.TestCase):
    """What an entry writes, others read."""

    def test_both_ways(self) -> None:
        record = EntryRecord("e-1", 5, "10.0.0.1", "a-1", "a", 80, 81, 82)
        self.assertEqual(record, decode_entry("e-1", encode_entry(record)).ok)
