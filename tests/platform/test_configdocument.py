"""Tests of the stored configuration: valid parts are applied, malformed ones are reported."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.configuration import RouteKind, SplitPart
from briarspur.platform.configdocument import decode_configuration

FIXED = settings(derandomize=True, deadline=None, database=None)
FIELDS = [
    "host",
    "pathPrefix",
    "kind",
    "timeoutMs",
    "latencyGoalMs",
    "priority",
    "service",
    "trafficSplit",
    "attempts",
    "sticky",
    "allowedRegions",
]
ODD = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6)
JSON = st.recursive(
    ODD,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(
            ["version", "resourceList", "entryKind", "metadata", "spec", "name", *FIELDS]
        ),
        inner,
        max_size=5,
    ),
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


class ConfigurationTest(unittest.TestCase):
    """A document is parsed as a whole, or rejected with a reason."""

    def test_routes_services_and_limits_are_parsed(self) -> None:
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
        read = decode_configuration(document).ok.configuration
        plain, split = read.routes
        self.assertEqual((0.8, 0.25, 2), (plain.timeout, plain.goal, plain.attempts))
        self.assertIs(RouteKind.ONCE_ONLY, split.kind)
        self.assertEqual((SplitPart("info", 90.0), SplitPart("other", 10.0)), split.parts)
        self.assertEqual(11.0, read.services_by_name["info"].cold_per_s)
        self.assertEqual(15.0, read.limits.idle_s)

    def test_a_document_with_only_a_malformed_route_is_rejected(self) -> None:
        for spec in ({"service": None}, {"pathPrefix": "times"}):
            with self.subTest(spec):
                document = {"version": 1, "resourceList": [route(**spec)]}
                self.assertTrue(decode_configuration(document).is_error())


class FaultyPartTest(unittest.TestCase):
    """A malformed part does not invalidate the others.

    An operator adds a route of a kind that this version does not know. If the whole document is
    rejected, entries have no configuration and refuse every request of every route.
    """

    def read(self, *parts: Any) -> Any:
        return decode_configuration({"version": 3, "resourceList": [route(), *parts]}).ok

    def test_uploads_are_a_known_kind_and_never_retried(self) -> None:
        read = self.read(route(kind="upload"))
        self.assertEqual((), read.faults)
        self.assertIs(RouteKind.UPLOAD, read.configuration.routes[1].kind)
        self.assertFalse(read.configuration.routes[1].repeatable)

    def test_a_route_of_an_unknown_kind_is_served_without_retries(self) -> None:
        read = self.read(route(kind="daily"))
        self.assertFalse(read.configuration.routes[1].repeatable)
        self.assertIn("daily", read.faults[0].reason)
        self.assertTrue(read.configuration.complete)

    def test_a_malformed_field_with_a_safe_default_is_set_to_it(self) -> None:
        read = self.read(route(attempts="many", priority=None))
        self.assertEqual(1, read.configuration.routes[1].attempts)
        self.assertFalse(read.faults[0].skipped)

    def test_fields_that_decide_where_requests_run_have_no_default(self) -> None:
        for spec in (
            {"allowedRegions": "a"},
            {"trafficSplit": [{"service": "info"}]},
            {"pathPrefix": "times"},
            {"timeoutMs": "soon"},
            {"service": None},
        ):
            with self.subTest(spec):
                read = self.read(route(**spec))
                self.assertEqual(1, len(read.configuration.routes))
                self.assertTrue(read.faults[0].skipped)
                self.assertFalse(read.configuration.complete)

    def test_only_a_part_that_may_be_a_route_makes_the_routes_incomplete(self) -> None:
        service = {"entryKind": "services", "metadata": {"name": "info"}, "spec": {"warmupS": "x"}}
        self.assertTrue(self.read(service).configuration.complete)
        self.assertFalse(self.read({"metadata": {"name": "lost"}}).configuration.complete)

    def test_malformed_services_limits_and_parts_without_a_kind_are_skipped(self) -> None:
        read = self.read(
            {"entryKind": "services", "metadata": {"name": "info"}, "spec": {"warmupS": "x"}},
            {"entryKind": "limits", "metadata": {}, "spec": {"maxBodyBytes": []}},
            {"metadata": {"name": "lost"}},
            7,
        )
        self.assertEqual(
            [("services", "info"), ("limits", ""), ("part", "lost"), ("part", "")],
            [(fault.part, fault.name) for fault in read.faults],
        )
        self.assertEqual(1, len(read.configuration.routes))

    @FIXED
    @given(JSON)
    def test_any_document_is_read_or_refused(self, value: Any) -> None:
        decode_configuration(value)

    @FIXED
    @given(JSON)
    def test_any_part_leaves_the_others_in_force(self, part: Any) -> None:
        self.assertIn("r-1", [found.name for found in self.read(part).configuration.routes])

    @FIXED
    @given(st.sampled_from(FIELDS), ODD)
    def test_any_mistyped_field_leaves_the_other_routes_in_force(
        self, field: str, value: Any
    ) -> None:
        read = self.read(route(**{field: value}))
        self.assertGreaterEqual(len(read.configuration.routes), 1)
        if len(read.configuration.routes) == 1:
            self.assertFalse(read.configuration.complete)
