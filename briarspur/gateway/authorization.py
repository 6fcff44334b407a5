"""Whether a request may run: its route, the customer whose key it carries, and its regions."""

from collections.abc import Callable
from dataclasses import dataclass

from briarspur.codes import Code
from briarspur.gateway.configuration import Configuration, Route
from briarspur.gateway.customers import Customer
from briarspur.gateway.work import MAX_RETRY_AFTER_S, Arrival, Bounds, Refused

__all__ = ["Authorization", "Authorized"]


@dataclass(frozen=True, slots=True)
class Authorized:
    """A request that may run.

    Attributes
    ----------
    customer : Customer or None
        None if it needs no key and carries none that is known.
    regions : frozenset of str or None
        Where it may run, empty if anywhere; None if route and customer have no region in common.
    """

    route: Route
    customer: Customer | None
    regions: frozenset[str] | None


class Authorization:
    """Checks requests against a configuration that may not be the newest one.

    Callers take "no such route" and "unknown key" as final. So an entry that a newer configuration
    may not have reached, or that could not read all of this one, tells them to come back instead.

    Attributes
    ----------
    knowledge_age : callable
        Returns the seconds since this entry's knowledge was known to be complete.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self.knowledge_age: Callable[[], float] = lambda: 0.0

    def check(self, configuration: Configuration, arrival: Arrival) -> Authorized | Refused:
        """Return what a request may do, or why it may not run."""
        route = configuration.table.find(arrival.host, arrival.path)
        age = self.knowledge_age()
        fresh = age <= self._bounds.configuration_s
        if route is None:
            if configuration.complete and fresh:
                return Refused(Code.NO_ROUTE)
            return _come_back("a route may not be known yet")
        customers = configuration.customers
        customer = customers.find(arrival.key_digest)
        if customer is None and customers.required and not route.public:
            if customers.complete and fresh:
                return Refused(Code.UNKNOWN_CUSTOMER)
            return _come_back("the key may not be known yet")
        if customer is not None and age > self._bounds.revoke_s:
            return _come_back("the key may have been taken away")
        return Authorized(route, customer, _common_regions(route, customer))


def _come_back(why: str) -> Refused:
    return Refused(Code.NOT_READY, MAX_RETRY_AFTER_S, why)


def _common_regions(route: Route, customer: Customer | None) -> frozenset[str] | None:
    """Return where a request may run, empty if anywhere; None if nowhere."""
    if customer is None or not customer.regions:
        return route.regions
    if not route.regions:
        return customer.regions
    return (route.regions & customer.regions) or None
