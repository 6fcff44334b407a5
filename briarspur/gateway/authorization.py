"""Decides whether a request may run, by its route, the customer of its API key, and its regions."""

from collections.abc import Callable
from dataclasses import dataclass

from briarspur.codes import Code
from briarspur.gateway.configuration import Configuration, Route
from briarspur.gateway.customers import Customer
from briarspur.gateway.work import MAX_RETRY_AFTER_S, Arrival, Bounds, Refused

__all__ = ["Authorization", "Authorized"]


@dataclass(frozen=True, slots=True)
class Authorized:
    """An authorized request.

    Attributes
    ----------
    customer : Customer or None
        None if the route needs no key and the request has no known key.
    regions : frozenset of str or None
        Regions where it may run, empty for all; None if route and customer have none in common.
    """

    route: Route
    customer: Customer | None
    regions: frozenset[str] | None


class Authorization:
    """Checks requests against a configuration that may not be the newest one.

    Callers treat "no such route" and "unknown key" as final. An entry that may have missed a newer
    configuration, or could not read all of this one, therefore asks them to retry instead.

    Attributes
    ----------
    knowledge_age : callable
        Returns the seconds since the entry's state was last known to be complete.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self.knowledge_age: Callable[[], float] = lambda: 0.0

    def check(self, configuration: Configuration, arrival: Arrival) -> Authorized | Refused:
        """Return how a request may run, or why it is refused."""
        route = configuration.table.find(arrival.host, arrival.path)
        age = self.knowledge_age()
        is_fresh = age <= self._bounds.configuration_s
        if route is None:
            if configuration.complete and is_fresh:
                return Refused(Code.NO_ROUTE)
            return _retry_later("a route may not be known yet")
        customers = configuration.customers
        customer = customers.find(arrival.key_digest)
        if customer is None and customers.required and not route.public:
            if customers.complete and is_fresh:
                return Refused(Code.UNKNOWN_CUSTOMER)
            return _retry_later("the key may not be known yet")
        if customer is not None and age > self._bounds.revoke_s:
            return _retry_later("the key may have been revoked")
        return Authorized(route, customer, _common_regions(route, customer))


def _retry_later(reason: str) -> Refused:
    return Refused(Code.NOT_READY, MAX_RETRY_AFTER_S, reason)


def _common_regions(route: Route, customer: Customer | None) -> frozenset[str] | None:
    """Return the regions where a request may run, empty for all; None if there is none."""
    if customer is None or not customer.regions:
        return route.regions
    if not route.regions:
        return customer.regions
    return (route.regions & customer.regions) or None
