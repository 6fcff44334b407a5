"""Decides when an object that is warm only in another zone is warmed up near its callers."""

__all__ = ["AccruedCosts"]

COPY_COST_SHARE = 1.0
"""Share of a cold run's extra working time that the accrued network cost must reach."""
MAX_OBJECTS = 5_000
"""Objects whose costs are kept; beyond it all are dropped, which only delays copies."""


class AccruedCosts:
    """Network cost accrued by using each object in another zone, until a warm copy pays off.

    Warming up an object at a nearer server makes one caller wait for the cold time. Paying the
    network cost until it adds up to that time, and warming up a copy only then, costs at most twice
    as much as the best decision that knows all future requests.
    """

    def __init__(self) -> None:
        self._cost_by_object: dict[tuple[str, int], float] = {}

    def add(self, service: str, key: int, network_cost: float, cold_cost: float) -> bool:
        """Add the network cost of one request; return whether a copy pays off now.

        Parameters
        ----------
        network_cost : float
            Cost of the bytes of this request and its answer, in seconds.
        cold_cost : float
            Seconds by which a cold run takes longer than a warm one.
        """
        if len(self._cost_by_object) >= MAX_OBJECTS:
            self._cost_by_object.clear()
        accrued = self._cost_by_object.get((service, key), 0.0) + network_cost
        self._cost_by_object[service, key] = accrued
        return accrued >= COPY_COST_SHARE * cold_cost

    def pay_off(self, service: str, key: int) -> None:
        """Reset the accrued cost of an object that gets its copy now."""
        self._cost_by_object.pop((service, key), None)
