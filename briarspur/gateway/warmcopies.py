"""When an object that is warm only in another zone is made warm near its callers."""

__all__ = ["CopyDebts"]

COPY_COST = 1.0
"""Share of the extra working time of one cold run that the way must have cost by then."""
MOST_DEBTS = 5_000
"""Objects whose debts are kept; all are forgotten beyond, which delays copies and costs nothing
else."""


class CopyDebts:
    """Adds up what it has cost to use each object in another zone, until a warm copy would pay.

    Whoever makes an object warm at a nearer server lets one caller wait for the cold time. Paying
    for the way until it has cost as much as that, and only then for the copy, costs at most twice
    the best that could be done with knowledge of the requests to come.
    """

    def __init__(self) -> None:
        self._debt_by_object: dict[tuple[str, int], float] = {}

    def add(self, service: str, key: int, way: float, cold_run: float) -> bool:
        """Add the cost of one way; return whether the debt has reached the price of a copy.

        Parameters
        ----------
        way : float
            Seconds that are counted for the bytes of this request and its answer.
        cold_run : float
            Seconds that a cold run takes longer than a warm one.
        """
        if len(self._debt_by_object) >= MOST_DEBTS:
            self._debt_by_object.clear()
        debt = self._debt_by_object.get((service, key), 0.0) + way
        self._debt_by_object[service, key] = debt
        return debt >= COPY_COST * cold_run

    def settle(self, service: str, key: int) -> None:
        """Forget the debt of an object that gets its copy now."""
        self._debt_by_object.pop((service, key), None)
