"""Invariants: checked at run time, with violations counted in daemons and raised in tests."""

from collections import Counter

from briarspur.coord.errors import InvariantError

__all__ = ["Invariants", "invariants"]


class Invariants:
    """Counts violations by name, and raises on the first one if ``strict``.

    Attributes
    ----------
    strict : bool
        Raise :class:`InvariantError` on a violation. Tests set it; daemons only count and log
        violations, because a wrong counter affects callers less than a terminated process.
    violations_by_name : Counter[str]
        Number of violations of each invariant.
    """

    def __init__(self) -> None:
        self.strict = False
        self.violations_by_name: Counter[str] = Counter()

    def check(self, name: str, holds: bool, detail: object = "") -> bool:
        """Record whether the invariant ``name`` holds, and return ``holds``.

        ``detail`` is formatted only on a violation, so pass the object and not a formatted string.
        """
        if holds:
            return True
        self.violations_by_name[name] += 1
        if self.strict:
            raise InvariantError(f"{name}: {detail}")
        return False


invariants = Invariants()
