"""Tests of customers in the stored configuration, and of their names and keys on the wire."""

import math
import unittest
from typing import Any

from twisted.web.http_headers import Headers

from briarspur.gateway.codec import ReadConfiguration
from briarspur.gateway.customers import Customer, key_digest
from briarspur.platform.configdocument import decode_configuration
from briarspur.platform.dialect import PlatformDialect
from tests.platform.test_configdocument import route


def customer(name: str, **spec: Any) -> dict[str, Any]:
    return {"entryKind": "tenants", "metadata": {"name": name}, "spec": spec}


def read(*parts: dict[str, Any]) -> ReadConfiguration:
    return decode_configuration({"version": 1, "resourceList": [route(), *parts]}).ok


class CustomerPartTest(unittest.TestCase):
    """Customers are read one by one, and a damaged one does no harm to the others."""

    def test_a_customer_with_its_limits_and_homes(self) -> None:
        spec = {"priority": 2, "ratePerS": 19.5, "burst": 20, "allowedRegions": ["a"]}
        customers = read(customer("alpha", apiKeys=["k-1", "k-2"], **spec)).configuration.customers
        expected = Customer("alpha", 2, 19.5, 20.0, frozenset({"a"}))
        self.assertEqual(expected, customers.find(key_digest(b"k-2")))
        self.assertTrue(customers.required and customers.complete)

    def test_damaged_customers_leave_the_others_in_force(self) -> None:
        """Guards against one mistyped customer that locks all out."""
        for damage in (
            {"apiKeys": "k-2"},
            {"apiKeys": ["k-2"], "ratePerS": -1.0},
            {"apiKeys": ["k-2"], "ratePerS": math.inf},
            {"apiKeys": ["k-2"], "burst": "many"},
            {"apiKeys": ["k-2"], "allowedRegions": "a"},
            {},
        ):
            found = read(customer("alpha", apiKeys=["k-1"]), customer("beta", **damage))
            customers = found.configuration.customers
            self.assertEqual(Customer("alpha"), customers.find(key_digest(b"k-1")))
            self.assertFalse(customers.complete, damage)
            self.assertNotIn("k-2", repr(found.faults))

    def test_odd_keys_and_rates(self) -> None:
        long = "x" * 10_240
        found = read(customer("alpha", apiKeys=["", long, "ké"], ratePerS=1e308, burst=0))
        customers = found.configuration.customers
        self.assertIsNone(customers.find(key_digest(b"")))
        self.assertEqual("alpha", customers.by_name["alpha"].name)
        for key in (long, "ké"):
            self.assertIsNotNone(customers.find(key_digest(key.encode())))

    def test_a_name_that_breaks_a_header_is_refused(self) -> None:
        """Guards against headers smuggled in by a customer's name."""
        found = read(customer("a\r\nX-Other: 1", apiKeys=["k-1"]))
        self.assertIsNone(found.configuration.customers.find(key_digest(b"k-1")))

    def test_two_customers_of_one_name_or_key_are_named(self) -> None:
        found = read(customer("alpha", apiKeys=["k"]), customer("beta", apiKeys=["k"]))
        self.assertEqual(["alpha", "beta"], sorted(fault.name for fault in found.faults))
        found = read(customer("alpha", apiKeys=["k"]), customer("alpha", apiKeys=["l"]))
        self.assertEqual(["the name is taken"], [fault.reason for fault in found.faults])


class CustomerOnTheWireTest(unittest.TestCase):
    """Backend servers learn the customer's name from us alone, and never a key."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.headers = Headers(
            {b"Host": [b"quay.example"], b"X-Credential": [b"k-1"], b"X-Tenant-Id": [b"beta"]}
        )

    def sent(self, customer_name: str | None) -> bytes:
        return self.dialect.request_bytes(
            b"GET", b"/x", self.headers, b"", "t-1", 100, customer_name
        )

    def test_the_key_stays_and_the_name_is_ours(self) -> None:
        """Guards against keys that reach servers, and callers who give another's name."""
        data = self.sent("alpha")
        self.assertNotIn(b"k-1", data)
        self.assertNotIn(b"beta", data)
        self.assertIn(b"X-Tenant-Id: alpha\r\n", data)

    def test_without_a_customer_no_name_is_sent(self) -> None:
        data = self.sent(None)
        self.assertNotIn(b"X-Tenant-Id", data)
        self.assertNotIn(b"X-Credential", data)

    def test_two_different_keys_are_no_key(self) -> None:
        self.assertIsNotNone(self.dialect.arrival(b"/x", self.headers, 0).key_digest)
        self.headers.addRawHeader(b"X-Credential", b"k-2")
        self.assertIsNone(self.dialect.arrival(b"/x", self.headers, 0).key_digest)
