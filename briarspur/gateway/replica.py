"""A copy of the store's objects of one kind, whose objects never return to older revisions."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

__all__ = [
    "FOLLOWED",
    "REPLICATED",
    "Batch",
    "Kind",
    "Replica",
    "StoredChange",
    "ChangeSource",
]

MAX_DELETIONS = 500
"""Latest deletions kept for other entries; an entry that is further behind gets the whole copy."""


class Kind(IntEnum):
    """Kinds of objects that entries read or write in the store; entries exchange the numbers."""

    CONFIGURATION = 1
    TARGETS = 2
    EVACUATIONS = 3
    ENTRIES = 4
    WARMTH = 5
    RESERVATIONS = 6


FOLLOWED = (Kind.CONFIGURATION, Kind.TARGETS, Kind.EVACUATIONS, Kind.ENTRIES)
"""Kinds whose changes entries must receive immediately; warmth is read only at the start."""
REPLICATED = (*FOLLOWED, Kind.RESERVATIONS)
"""Kinds that entries copy from each other. Reservations are followed only where quotas apply."""


class ChangeSource(Enum):
    """How a change reached this entry."""

    WATCH = "watch"
    LIST = "list"
    PULL = "pull"


@dataclass(frozen=True, slots=True)
class StoredChange:
    """One object at one revision; ``value`` is None if it was deleted."""

    name: str
    revision: int
    value: Any | None


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes up to a revision.

    Attributes
    ----------
    whole : bool
        Whether all objects are included, so that any other object doesn't exist.
    """

    revision: int
    changes: tuple[StoredChange, ...]
    whole: bool = False


class Replica:
    """Objects of one kind by name.

    Batches may arrive from the store and from other entries, late, more than once and in any order.
    A change is applied only if its revision is above that of the object, so no object returns to an
    older revision.

    Parameters
    ----------
    significant_part : callable
        Returns the part of a value that matters to entries. A change outside this part, such as a
        renewal, isn't advertised to other entries: of 136 registrations renewed per second, nearly
        all change nothing else.

    Attributes
    ----------
    revision : int
        The revision up to which all changes were applied; 0 if there were none.
    significant_revision : int
        The latest revision at which the significant part of an object changed.
    """

    def __init__(
        self, kind: Kind, significant_part: Callable[[Any], Any] = lambda value: value
    ) -> None:
        self.kind = kind
        self._significant_part = significant_part
        self.revision = 0
        self.significant_revision = 0
        self._significant_revisions: dict[str, int] = {}
        self._by_name: dict[str, StoredChange] = {}
        self._deleted: dict[str, StoredChange] = {}
        self._deletions_kept_since = 0

    def apply(self, batch: Batch) -> list[StoredChange]:
        """Apply a batch; return the changes that this replica lacked."""
        if batch.whole and batch.revision < self.revision:
            return []
        applied = [change for change in batch.changes if self._apply_change(change)]
        if batch.whole:
            names = {change.name for change in batch.changes}
            for name in [name for name in self._by_name if name not in names]:
                change = StoredChange(name, batch.revision, None)
                if self._apply_change(change):
                    applied.append(change)
        self.revision = max(self.revision, batch.revision)
        return applied

    def get(self, name: str) -> StoredChange | None:
        """Return an object, or None if it doesn't exist."""
        return self._by_name.get(name)

    def newer_than(self, revision: int) -> Batch:
        """Return the changes that a replica complete up to ``revision`` lacks."""
        if revision < self._deletions_kept_since or revision == 0:
            return Batch(self.revision, tuple(self._by_name.values()), whole=True)
        changes = [
            change
            for name, change in self._by_name.items()
            if self._significant_revisions[name] > revision
        ]
        changes += [c for c in self._deleted.values() if c.revision > revision]
        return Batch(self.revision, tuple(sorted(changes, key=lambda change: change.revision)))

    def _apply_change(self, change: StoredChange) -> bool:
        known = self._by_name.get(change.name) or self._deleted.get(change.name)
        if change.value is None:
            if known is not None and (known.value is None or change.revision < known.revision):
                return False
            self._by_name.pop(change.name, None)
            self._significant_revisions.pop(change.name, None)
            self._record_deletion(change)
            self.significant_revision = max(self.significant_revision, change.revision)
            return known is not None
        if known is not None and change.revision <= known.revision:
            return False
        self._deleted.pop(change.name, None)
        self._by_name[change.name] = change
        if (
            known is None
            or known.value is None
            or self._significant_part(known.value) != self._significant_part(change.value)
        ):
            self._significant_revisions[change.name] = change.revision
            self.significant_revision = max(self.significant_revision, change.revision)
        return True

    def _record_deletion(self, change: StoredChange) -> None:
        self._deleted.pop(change.name, None)
        self._deleted[change.name] = change
        if len(self._deleted) > MAX_DELETIONS:
            oldest = next(iter(self._deleted))
            dropped = self._deleted.pop(oldest)
            self._deletions_kept_since = max(self._deletions_kept_since, dropped.revision)
