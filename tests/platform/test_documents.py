"""Tests of the conversion of the platform's documents, valid and malformed."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.replica import Kind
from briarspur.platform.documents import (
    decode_entry,
    decode_registration,
    encode_entry,
    relevant_part,
    write_order,
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


class RegistrationTest(unittest.TestCase):
    """A malformed registration gives an error, so that it affects no other server."""

    def test_a_valid_registration_is_parsed(self) -> None:
        read = decode_registration("t-1", SERVER).ok
        self.assertEqual(("10.1.0.9", 8080, 1.5), (read.host, read.port, read.cold_s))
        self.assertEqual(("t-1", 1_700_000_000_000), read.incarnation)
        self.assertFalse(read.draining)
        self.assertTrue(decode_registration("t", {**SERVER, "state": "draining"}).ok.draining)

    def test_values_that_no_server_has_are_malformed(self) -> None:
        """Guards against requests that fail because of another writer's entry."""
        for field, value in (
            ("address", "10.1.0.9:65536"),
            ("address", "10.1.0.9:0"),
            ("warmupLeftMs", float("inf")),
            ("warmupLeftMs", 1e300),
        ):
            with self.subTest(field=field, value=value):
                self.assertTrue(decode_registration("t-1", {**SERVER, field: value}).is_error())
        for name in ("t-\ud800", "t-1\r\nX-Other: 1", "t 1", "t-\u20ac", ""):
            with self.subTest(name=name):
                self.assertTrue(decode_registration(name, SERVER).is_error())

    def test_the_error_names_the_invalid_field(self) -> None:
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

    def test_writes_of_an_object_are_in_order(self) -> None:
        """Guards against a departure that is undone when the store returns from an older copy."""
        renewed = {**SERVER, "seq": SERVER["seq"] + 1}
        restarted = {**SERVER, "born": SERVER["born"] + 1, "seq": 0}
        orders = [write_order(Kind.TARGETS, value) for value in (SERVER, renewed, restarted)]
        self.assertEqual(orders, sorted(orders, key=lambda order: order or ()))
        self.assertIsNone(write_order(Kind.TARGETS, {"service": "s"}))
        self.assertIsNone(write_order(Kind.EVACUATIONS, {}))
        self.assertEqual((7,), write_order(Kind.CONFIGURATION, {"version": 7}))

    def test_a_renewal_does_not_change_the_relevant_part(self) -> None:
        renewed = {**SERVER, "seq": 5}
        self.assertEqual(relevant_part(Kind.TARGETS, SERVER), relevant_part(Kind.TARGETS, renewed))
        cold = {**SERVER, "warmupLeftMs": 0}
        self.assertNotEqual(relevant_part(Kind.TARGETS, SERVER), relevant_part(Kind.TARGETS, cold))


class EntryTest(unittest.TestCase):
    """The record that one entry stores can be parsed by the others."""

    def test_an_encoded_record_decodes_to_the_same_record(self) -> None:
        record = EntryRecord("e-1", 5, "10.0.0.1", "a-1", "a", 80, 81, 82)
        self.assertEqual(record, decode_entry("e-1", encode_entry(record)).ok)
