"""Tests of how requests are assigned to customers, and in which regions they may run."""

import math
import unittest
from dataclasses import replace

from briarspur.codes import Code
from briarspur.gateway.customers import Customer, Customers, key_digest
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Attempt, Bounds, Refused, Work
from tests.gateway.samples import ZONE_REGIONS, arrival, configuration, registration, route

ALPHA = Customer("alpha")
HOMED = Customer("homed", regions=frozenset({"b"}))


def steering(customers: Customers, bounds: Bounds | None = None, **fields: object) -> Steering:
    made = Steering("entry-1", "a-1", "a", ZONE_REGIONS, bounds or Bounds())
    shaped = replace(route(), **fields)  # type: ignore[arg-type]
    made.apply_configuration(replace(configuration(1, [shaped]), customers=customers))
    for number, zone in enumerate(ZONE_REGIONS):
        made.targets.registered(registration(f"t-{number}", zone=zone), 0.0)
    return made


def customers(complete: bool = True) -> Customers:
    digests = {ALPHA: [key_digest(b"k-alpha")], HOMED: [key_digest(b"k-homed")]}
    return Customers(digests, complete)


def begin(made: Steering, key: bytes | None) -> Work | Refused:
    digest = None if key is None else key_digest(key)
    return made.begin(replace(arrival(), key_digest=digest), 0.0)


class IdentityTest(unittest.TestCase):
    """A request runs under the name of the customer who holds its key, or is refused."""

    def refused(self, step: Work | Refused) -> Code:
        assert isinstance(step, Refused), step
        return step.code

    def test_a_key_identifies_its_customer(self) -> None:
        work = begin(steering(customers()), b"k-alpha")
        assert isinstance(work, Work)
        self.assertEqual(ALPHA, work.customer)

    def test_an_unknown_or_missing_key_is_refused(self) -> None:
        """Guards against requests that run without a customer."""
        made = steering(customers())
        self.assertEqual(Code.UNKNOWN_CUSTOMER, self.refused(begin(made, b"k-other")))
        self.assertEqual(Code.UNKNOWN_CUSTOMER, self.refused(begin(made, None)))

    def test_a_public_route_needs_no_key(self) -> None:
        made = steering(customers(), public=True)
        unknown, known = begin(made, None), begin(made, b"k-alpha")
        assert isinstance(unknown, Work) and isinstance(known, Work)
        self.assertEqual((None, ALPHA), (unknown.customer, known.customer))

    def test_a_deployment_without_customers_needs_no_key(self) -> None:
        self.assertIsInstance(begin(steering(Customers()), None), Work)

    def test_an_outdated_entry_answers_not_ready_to_an_unknown_key(self) -> None:
        """Guards against a final 401 for a key that exists in a newer configuration."""
        made = steering(customers())
        made.authorization.knowledge_age = lambda: 10.0
        self.assertEqual(Code.NOT_READY, self.refused(begin(made, b"k-new")))
        self.assertIsInstance(begin(made, b"k-alpha"), Work)

    def test_an_outdated_entry_answers_not_ready_to_an_unknown_route(self) -> None:
        """Guards against a final 404 for a route that exists in a newer configuration."""
        made = steering(customers())
        made.authorization.knowledge_age = lambda: 10.0
        step = made.begin(arrival(path="/new/x"), 0.0)
        self.assertEqual(Code.NOT_READY, self.refused(step))

    def test_an_unknown_key_may_belong_to_an_unreadable_customer(self) -> None:
        """Guards against a final 401 for the keys of a customer with a malformed record."""
        made = steering(customers(complete=False))
        self.assertEqual(Code.NOT_READY, self.refused(begin(made, b"k-other")))

    def test_a_key_of_two_customers_identifies_neither(self) -> None:
        """Guards against requests that run under another customer's name."""
        digest = key_digest(b"k-shared")
        duplicated = Customers({ALPHA: [digest], HOMED: [digest, key_digest(b"k-homed")]})
        made = steering(duplicated)
        self.assertEqual(Code.NOT_READY, self.refused(begin(made, b"k-shared")))
        self.assertIsInstance(begin(made, b"k-homed"), Work)
        self.assertEqual({"alpha", "homed"}, duplicated.names_with_shared_keys)

    def test_strict_revocation_refuses_keys_that_cannot_be_verified(self) -> None:
        """Guards against keys that stay valid at an entry which cannot learn of a revocation."""
        made = steering(customers(), Bounds(revoke_s=5.0))
        made.authorization.knowledge_age = lambda: 5.1
        self.assertEqual(Code.NOT_READY, self.refused(begin(made, b"k-alpha")))
        made = steering(customers(), Bounds(revoke_s=math.inf))
        made.authorization.knowledge_age = lambda: 60.0
        self.assertIsInstance(begin(made, b"k-alpha"), Work)

    def test_keys_are_not_shown(self) -> None:
        """Guards against secrets in logs and errors."""
        made = steering(customers())
        shown = repr((arrival(), made.configuration, begin(made, b"k-alpha")))
        self.assertNotIn("k-alpha", shown)
        self.assertNotIn(repr(key_digest(b"k-alpha")), shown)


class RegionsTest(unittest.TestCase):
    """Every attempt stays within the regions of its route and customer."""

    def regions(self, made: Steering, key: bytes) -> set[str]:
        """Return the regions of the attempts of many requests, second attempts included."""
        found = set()
        for number in range(60):
            digest = key_digest(key)
            step = arrival(f"r-{number}", key=b"%d" % number)
            work = made.begin(replace(step, key_digest=digest), 0.0)
            assert isinstance(work, Work)
            for _ in range(2):
                attempt = made.next_attempt(work, 0.0)
                if isinstance(attempt, Attempt):
                    found.add(attempt.target.region)
                    attempt.target.in_flight = 0
        return found

    def test_requests_stay_in_the_regions_of_their_customer(self) -> None:
        self.assertEqual({"b"}, self.regions(steering(customers()), b"k-homed"))
        self.assertEqual({"a", "b"}, self.regions(steering(customers()), b"k-alpha"))

    def test_requests_stay_in_the_common_regions_of_route_and_customer(self) -> None:
        made = steering(customers(), regions=frozenset({"a", "b"}))
        self.assertEqual({"b"}, self.regions(made, b"k-homed"))

    def test_a_request_without_a_common_region_is_refused(self) -> None:
        """Guards against requests that leave the regions of their customer or route."""
        made = steering(customers(), regions=frozenset({"a"}))
        work = begin(made, b"k-homed")
        assert isinstance(work, Work)
        step = made.next_attempt(work, 0.0)
        assert isinstance(step, Refused)
        self.assertEqual(Code.NO_TARGET, step.code)
