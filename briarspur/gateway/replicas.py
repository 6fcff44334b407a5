"""When an object that is warm only far away is made warm near its callers."""

__all__ = ["ReplicaDebts"]

REPLICA_COST = 1.0
"""Extra working time of one cold run for which bytes must have travelled, as a share of it."""
MOST_DEBTS = 5_000
"""Objects whose debts are kept; all are forgotten beyond, which delays replicas and costs nothing
else."""


class ReplicaDebts:
    """Adds up what it has cost to fetch each object from afar, until a replica would have paid.

    Whoever makes an object warm at a nearer server lets one caller wait for the cold time. Paying
    for the way until it has cost as much as that, and only then paying for the replica, costs at
    most twice the best that could be done with knowledge of the requests to come.
    """

    def __init__(self) -> None:
        self._debt_by_object: dict[tuple[str, int], float] = {}

    def add(self, service: str, key: int, cost: float, replica: float) -> bool:
        """Add the cost of one way; return whether a replica has been paid for.

        Parameters
        ----------
        cost : float
            Seconds that are counted for the bytes of this request and its answer.
        replica : float
            Seconds that a cold run takes longer than a warm one.
        """
        if len(self._debt_by_object) >= MOST_DEBTS:
            self._debt_by_object.clear()
        debt = self._debt_by_object.get((service, key), 0.0) + cost
        self._debt_by_object[service, key] = debt
        return debt >= REPLICA_COST * replica

    def settle(self, service: str, key: int) -> None:
        """Forget the debt of an object that gets its replica now."""
        self._debt_by_object.pop((service, key), None)
