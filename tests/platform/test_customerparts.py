"""Tests of customers in the stored configuration, and of their names and keys in requests."""

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
    """Customers are parsed one by one, and a malformed one does not affect the others."""

    def test_a_customer_with_its_limits_and_regions_is_parsed(self) -> None:
        spec = {"priority": 2, "ratePerS": 19.5, "burst": 20, "allowedRegions": ["a"]}
        customers = read(customer("alpha", apiKeys=["k-1", "k-2"], **spec)).configuration.customers
        expected = Customer("alpha", 2, 19.5, 20.0, frozenset({"a"}))
        self.assertEqual(expected, customers.find(key_digest(b"k-2")))
        self.assertTrue(customers.required and customers.complete)

    def test_malformed_customers_leave_the_others_in_force(self) -> None:
        """Guards against one malformed customer that locks out all customers."""
        for malformed in (
            {"apiKeys": "k-2"},
            {"apiKeys": ["k-2"], "ratePerS": -1.0},
            {"apiKeys": ["k-2"], "ratePerS": math.inf},
            {"apiKeys": ["k-2"], "burst": "many"},
            {"apiKeys": ["k-2"], "allowedRegions": "a"},
            {},
        ):
            found = read(customer("alpha", apiKeys=["k-1"]), customer("beta", **malformed))
            customers = found.configuration.customers
            self.assertEqual(Customer("alpha"), customers.find(key_digest(b"k-1")))
            self.assertFalse(customers.complete, malformed)
            self.assertNotIn("k-2", repr(found.faults))

    def test_unusual_keys_and_rates_are_accepted_but_an_empty_key_is_not(self) -> None:
        long = "x" * 10_240
        found = read(customer("alpha", apiKeys=["", long, "ké"], ratePerS=1e308, burst=0))
        customers = found.configuration.customers
        self.assertIsNone(customers.find(key_digest(b"")))
        self.assertEqual("alpha", customers.by_name["alpha"].name)
        for key in (long, "ké"):
            self.assertIsNotNone(customers.find(key_digest(key.encode())))

    def test_a_name_with_control_characters_is_rejected(self) -> None:
        """Guards against header injection through a customer's name."""
        found = read(customer("a\r\nX-Other: 1", apiKeys=["k-1"]))
        self.assertIsNone(found.configuration.customers.find(key_digest(b"k-1")))

    def test_customers_that_share_a_name_or_key_are_reported(self) -> None:
        found = read(customer("alpha", apiKeys=["k"]), customer("beta", apiKeys=["k"]))
        self.assertEqual(["alpha", "beta"], sorted(fault.name for fault in found.faults))
        found = read(customer("alpha", apiKeys=["k"]), customer("alpha", apiKeys=["l"]))
        self.assertEqual(
            ["another customer has the same name"], [fault.reason for fault in found.faults]
        )


class CustomerOnTheWireTest(unittest.TestCase):
    """The gateway alone sets the customer's name for backend servers, and forwards no key."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.headers = Headers(
            {b"Host": [b"quay.example"], b"X-Credential": [b"k-1"], b"X-Tenant-Id": [b"beta"]}
        )

    def sent_request(self, customer_name: str | None) -> bytes:
        return self.dialect.request_bytes(
            b"GET", b"/x", self.headers, b"", "t-1", 100, customer_name
        )

    def test_the_key_is_removed_and_the_name_is_replaced(self) -> None:
        """Guards against keys that reach servers, and callers that send another customer's name."""
        data = self.sent_request("alpha")
        self.assertNotIn(b"k-1", data)
        self.assertNotIn(b"beta", data)
        self.assertIn(b"X-Tenant-Id: alpha\r\n", data)

    def test_no_name_is_sent_without_a_customer(self) -> None:
        data = self.sent_request(None)
        self.assertNotIn(b"X-Tenant-Id", data)
        self.assertNotIn(b"X-Credential", data)

    def test_two_different_keys_count_as_none(self) -> None:
        self.assertIsNotNone(self.dialect.arrival(b"/x", self.headers, 0).key_digest)
        self.headers.addRawHeader(b"X-Credential", b"k-2")
        self.assertIsNone(self.dialect.arrival(b"/x", self.headers, 0).key_digest)
