"""A copy of one kind of the store's objects, which only moves forward."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

__all__ = ["FOLLOWED", "Batch", "Kind", "Replica", "StoredChange", "ChangeSource"]

KEPT_DELETIONS = 500
"""Latest deletions that are told to other entries; who is further behind takes the whole copy."""


class Kind(IntEnum):
    """What entries keep or read in the store; the numbers travel between entries."""

    CONFIGURATION = 1
    TARGETS = 2
    EVACUATIONS = 3
    ENTRIES = 4
    WARMTH = 5


FOLLOWED = (Kind.CONFIGURATION, Kind.TARGETS, Kind.EVACUATIONS, Kind.ENTRIES)
"""Kinds whose changes entries must know at once; warmth is read once, at the start."""


class ChangeSource(Enum):
    """How a change reached this entry."""

    WATCH = "watch"
    LIST = "list"
    PULL = "pull"


@dataclass(frozen=True, slots=True)
class StoredChange:
    """One object at one revision; ``value`` is None once it was deleted."""

    name: str
    revision: int
    value: Any | None


@dataclass(frozen=True, slots=True)
class Batch:
    """What changed up to a revision.

    Attributes
    ----------
    whole : bool
        All objects are named, so what is not named does not exist.
    """

    revision: int
    changes: tuple[StoredChange, ...]
    whole: bool = False


class Replica:
    """Objects of one kind by name.

    Batches may come from the store and from other entries, late, twice and in any order. A change
    counts only if its revision is above the object's, so nothing ever goes back.

    Parameters
    ----------
    essence : callable
        Returns the part of a value that matters to entries. A renewal that changes nothing else
        isn't told to others: of 136 registrations renewed per second nearly all are of that sort.

    Attributes
    ----------
    revision : int
        Everything up to here is known; 0 if nothing is.
    significant : int
        The latest revision at which something that matters changed.
    """

    def __init__(self, kind: Kind, essence: Callable[[Any], Any] = lambda value: value) -> None:
        self.kind = kind
        self._essence = essence
        self.revision = 0
        self.significant = 0
        self._significant_by_name: dict[str, int] = {}
        self._by_name: dict[str, StoredChange] = {}
        self._deleted: dict[str, StoredChange] = {}
        self._deletions_known_from = 0

    def apply(self, batch: Batch) -> list[StoredChange]:
        """Take a batch; return the changes that are news here."""
        if batch.whole and batch.revision < self.revision:
            return []
        news = [change for change in batch.changes if self._take(change)]
        if batch.whole:
            named = {change.name for change in batch.changes}
            for name in [name for name in self._by_name if name not in named]:
                change = StoredChange(name, batch.revision, None)
                if self._take(change):
                    news.append(change)
        self.revision = max(self.revision, batch.revision)
        return news

    def get(self, name: str) -> StoredChange | None:
        """Return an object that exists."""
        return self._by_name.get(name)

    def newer_than(self, revision: int) -> Batch:
        """Return what another entry lacks that knows everything up to ``revision``."""
        if revision < self._deletions_known_from or revision == 0:
            return Batch(self.revision, tuple(self._by_name.values()), whole=True)
        changes = [
            change
            for name, change in self._by_name.items()
            if self._significant_by_name[name] > revision
        ]
        changes += [c for c in self._deleted.values() if c.revision > revision]
        return Batch(self.revision, tuple(sorted(changes, key=lambda change: change.revision)))

    def _take(self, change: StoredChange) -> bool:
        known = self._by_name.get(change.name) or self._deleted.get(change.name)
        if change.value is None:
            if known is not None and (known.value is None or change.revision < known.revision):
                return False
            self._by_name.pop(change.name, None)
            self._significant_by_name.pop(change.name, None)
            self._keep_deletion(change)
            self.significant = max(self.significant, change.revision)
            return known is not None
        if known is not None and change.revision <= known.revision:
            return False
        self._deleted.pop(change.name, None)
        self._by_name[change.name] = change
        if (
            known is None
            or known.value is None
            or self._essence(known.value) != self._essence(change.value)
        ):
            self._significant_by_name[change.name] = change.revision
            self.significant = max(self.significant, change.revision)
        return True

    def _keep_deletion(self, change: StoredChange) -> None:
        self._deleted.pop(change.name, None)
        self._deleted[change.name] = change
        if len(self._deleted) > KEPT_DELETIONS:
            oldest = next(iter(self._deleted))
            dropped = self._deleted.pop(oldest)
            self._deletions_known_from = max(self._deletions_known_from, dropped.revision)
