"""Which entry processes may hold claims that the store lost, and which wrote them again."""

from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["ClaimHolders", "PendingHolders"]


@dataclass(frozen=True, slots=True)
class PendingHolders:
    """Incarnations whose claims are not known to be in the store; ``gone`` ones are not members."""

    present: frozenset[str]
    gone: frozenset[str]


class ClaimHolders:
    """The incarnations that one entry has known as members for the age of the store's copy.

    Parameters
    ----------
    copy_age : float
        Maximum age in seconds of the copy that the store may return from: claims of an incarnation
        that left earlier are in the copy.
    """

    def __init__(self, copy_age: float) -> None:
        self._copy_age = copy_age
        self._present: frozenset[str] = frozenset()
        self._left_at_by_incarnation: dict[str, float] = {}
        self._restored_era_by_incarnation: dict[str, int] = {}
        self._known_since: float | None = None
        self._is_recovering = False
        self._is_complete = False

    def set_members(self, incarnations: Collection[str], now: float) -> None:
        """Set the incarnations of the entries in the current view."""
        if self._known_since is None:
            self._known_since = now
        present = frozenset(incarnations)
        for incarnation in self._present - present:
            self._left_at_by_incarnation[incarnation] = now
        for incarnation in present:
            self._left_at_by_incarnation.pop(incarnation, None)
        self._present = present
        self._drop_old(now)

    def begin_recovery(self, now: float) -> None:
        """Keep all known incarnations until the recovery ends; the store has just returned."""
        if self._is_recovering:
            return
        self._drop_old(now)
        self._is_recovering = True
        known_since = now if self._known_since is None else self._known_since
        self._is_complete = now - known_since >= self._copy_age

    def end_recovery(self, now: float) -> None:
        """Drop incarnations that left long ago; claims are given out again."""
        self._is_recovering = False
        self._drop_old(now)

    def record_restored(self, incarnation: str, era: int) -> None:
        """Record that the store has all claims that an incarnation acquired before ``era``."""
        known = self._restored_era_by_incarnation.get(incarnation, 0)
        self._restored_era_by_incarnation[incarnation] = max(known, era)

    def pending(self, era: int) -> PendingHolders | None:
        """Return the incarnations that may hold claims that the store lost before ``era``.

        None if this entry has not been a member for long enough to know them all.
        """
        if not self._is_complete:
            return None
        restored = {i for i, known in self._restored_era_by_incarnation.items() if known >= era}
        gone = frozenset(self._left_at_by_incarnation)
        return PendingHolders(self._present - restored, gone - restored)

    def _drop_old(self, now: float) -> None:
        if self._is_recovering:
            return
        for incarnation, left_at in list(self._left_at_by_incarnation.items()):
            if now - left_at > self._copy_age:
                del self._left_at_by_incarnation[incarnation]
                self._restored_era_by_incarnation.pop(incarnation, None)
