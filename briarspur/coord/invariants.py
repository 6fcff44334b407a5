"""Properties that must always hold: checked at all times, counted, and fatal in tests."""

from collections import Counter

from briarspur.coord.errors import InvariantError

__all__ = ["Invariants", "invariants"]


class Invariants:
    """Counts violations by name; raises on the first one when ``strict``.

    Attributes
    ----------
    strict : bool
        Raise :class:`InvariantError` on a violation. Tests set it; daemons count and log instead,
        because a caller is better served by a wrong counter than by a dead process.
    violations_by_name : Counter[str]
        How often each property failed.
    """

    def __init__(self) -> None:
        self.strict = False
        self.violations_by_name: Counter[str] = Counter()

    def check(self, name: str, holds: bool, detail: object = "") -> bool:
        """Record whether the property ``name`` holds; return ``holds``.

        ``detail`` is formatted only on a violation, so pass the object, not a string made of it.
        """
        if holds:
            return True
        self.violations_by_name[name] += 1
        if self.strict:
            raise InvariantError(f"{name}: {detail}")
        return False


invariants = Invariants()
