"""A copy of the store's objects of one kind, whose objects never return to older values."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from briarspur.coord.era import era_of

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
    SUSPENSIONS = 7


FOLLOWED = (Kind.CONFIGURATION, Kind.TARGETS, Kind.EVACUATIONS, Kind.ENTRIES)
"""Kinds whose changes entries must receive immediately; warmth and suspensions are read only at the
start."""
REPLICATED = (*FOLLOWED, Kind.RESERVATIONS)
"""Kinds that entries copy from each other. Reservations are followed only where quotas apply."""


class ChangeSource(Enum):
    """How a change reached this entry."""

    WATCH = "watch"
    LIST = "list"
    PULL = "pull"
    HOLD = "hold"
    """It was held back first, since the store may only lack the object for a moment."""


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
    copied_through : int
        The revision through which changes may be from before the store's return from an older copy;
        0 if that is unknown.
    """

    revision: int
    changes: tuple[StoredChange, ...]
    whole: bool = False
    copied_through: int = 0


class Replica:
    """Objects of one kind by name.

    Batches may arrive from the store and from other entries, late, more than once and in any order.
    Within an era of the store, a change is applied only if its revision is above that of the
    object, so no object returns to an older revision.

    At the start of an era the store has an older copy, which its writers are about to correct. What
    this replica knows of an object from an earlier era therefore holds until the store has a later
    value by the order that the object itself records, or a change that was made in this era. What
    nobody has written again is applied by :meth:`end_hold`.

    Parameters
    ----------
    significant_part : callable
        Returns the part of a value that matters to entries. A change outside this part, such as a
        renewal, isn't advertised to other entries: of 136 registrations renewed per second, nearly
        all change nothing else.
    order_of : callable
        Returns the position of a value in the order in which its writer wrote it, or None if the
        value doesn't record one.

    Attributes
    ----------
    revision : int
        The revision up to which all changes were applied; 0 if there were none.
    significant_revision : int
        The latest revision at which the significant part of an object changed.
    edits : int
        Incremented whenever the content changes.
    """

    def __init__(
        self,
        kind: Kind,
        significant_part: Callable[[Any], Any] = lambda value: value,
        order_of: Callable[[Any], tuple[int, ...] | None] = lambda value: None,
    ) -> None:
        self.kind = kind
        self._significant_part = significant_part
        self._order_of = order_of
        self.revision = 0
        self.significant_revision = 0
        self.edits = 0
        self._significant_revisions: dict[str, int] = {}
        self._by_name: dict[str, StoredChange] = {}
        self._deleted: dict[str, StoredChange] = {}
        self._deleted_values: dict[str, Any] = {}
        # Deletions up to this revision are incomplete: a whole copy doesn't list them.
        self._deletions_kept_since = 0
        # The store's objects that differ from what is known from earlier eras; None: it lacks them.
        self._held: dict[str, StoredChange | None] = {}
        self._copied_through = 0

    @property
    def era(self) -> int:
        """The era of the store that this replica has followed it into."""
        return era_of(self.revision)

    def apply(self, batch: Batch) -> list[StoredChange]:
        """Apply a batch; return the changes that this replica lacked."""
        if era_of(batch.revision) > self.era:
            return self._enter_era(batch) if batch.whole else []
        if era_of(batch.revision) < self.era or (batch.whole and batch.revision < self.revision):
            return []
        applied = [change for change in batch.changes if self._apply_change(change)]
        if batch.whole:
            self._deletions_kept_since = max(self._deletions_kept_since, batch.revision)
            self._hold_earlier_eras(era_of(batch.revision))
            names = {change.name for change in batch.changes}
            awaited = {name for name, stored in self._held.items() if stored is None}
            for name in [name for name in self._by_name if name not in names | awaited]:
                change = StoredChange(name, batch.revision, None)
                if self._apply_change(change):
                    applied.append(change)
        self.revision = max(self.revision, batch.revision)
        return applied

    def end_hold(self) -> list[StoredChange]:
        """Apply the store's objects that were held back and that nobody has written again.

        Returns
        -------
        list of StoredChange
            The changes to what was known.
        """
        held, self._held = self._held, {}
        applied = []
        for name, stored in held.items():
            change = StoredChange(name, self.revision, None) if stored is None else stored
            if stored is not None and self._is_older(stored):
                self._held[name] = stored
            elif self._put(change):
                applied.append(change)
        return applied

    def get(self, name: str) -> StoredChange | None:
        """Return an object, or None if it doesn't exist."""
        return self._by_name.get(name)

    def is_stored(self, name: str) -> bool:
        """Return whether the store has an object as it is known here."""
        return name in self._by_name and name not in self._held

    def stored_revision(self, name: str) -> int:
        """Return the revision of an object in the store; 0 if the store doesn't have it."""
        stored = self._held[name] if name in self._held else self._by_name.get(name)
        return 0 if stored is None else stored.revision

    def newer_than(self, revision: int) -> Batch:
        """Return the changes that a replica complete up to ``revision`` lacks.

        A whole copy may have two changes of an object: the one that is known from an earlier era,
        and what the store has in its place. For a replica of an earlier era it has the deletions of
        this one, too.
        """
        if revision < self._deletions_kept_since or era_of(revision) < self.era or revision == 0:
            changes = [*self._by_name.values()]
            changes += [stored for stored in self._held.values() if stored is not None]
            if revision:
                changes += [c for c in self._deleted.values() if era_of(c.revision) == self.era]
            return Batch(self.revision, tuple(changes), True, self._copied_through)
        changes = [
            change
            for name, change in self._by_name.items()
            if self._significant_revisions[name] > revision
        ]
        changes += [c for c in self._deleted.values() if c.revision > revision]
        return Batch(self.revision, tuple(sorted(changes, key=lambda change: change.revision)))

    def _enter_era(self, batch: Batch) -> list[StoredChange]:
        self._copied_through = batch.copied_through or batch.revision
        self._deletions_kept_since = batch.revision
        self._held = {}
        applied = [change for change in batch.changes if self._apply_change(change)]
        self._hold_earlier_eras(era_of(batch.revision))
        if self.revision:
            self.significant_revision = batch.revision
        self.revision = batch.revision
        self.edits += 1
        return applied

    def _hold_earlier_eras(self, era: int) -> None:
        """Hold the objects that a whole copy of an era lacks."""
        for name, known in self._by_name.items():
            if era_of(known.revision) < era:
                self._held.setdefault(name, None)

    def _apply_change(self, change: StoredChange) -> bool:
        known = self._by_name.get(change.name) or self._deleted.get(change.name)
        if known is None:
            return self._put(change)
        is_later_era = era_of(change.revision) > era_of(known.revision)
        if change.value is None:
            is_known = known.value is None and change.revision == known.revision
            return not is_known and change.revision >= known.revision and self._put(change)
        if change.revision <= known.revision:
            return False
        if is_later_era and self._must_hold(change, known):
            self._held[change.name] = change
            self.edits += 1
            return False
        return self._put(change)

    def _must_hold(self, change: StoredChange, known: StoredChange) -> bool:
        """Return whether a change of a later era may be older than what is known."""
        if self._is_older(change):
            return True
        order = self._order_of(change.value)
        if order is not None and order != self._known_order(change.name):
            return False
        if known.value is not None and self._is_same(known.value, change.value):
            return False
        return change.revision <= self._copied_through

    def _is_older(self, change: StoredChange) -> bool:
        """Return whether a value is older than the known one, by the order that both record."""
        order, known_order = self._order_of(change.value), self._known_order(change.name)
        if order is None or known_order is None:
            return False
        return order < known_order or (order == known_order and change.name in self._deleted)

    def _known_order(self, name: str) -> tuple[int, ...] | None:
        known = self._by_name.get(name)
        value = self._deleted_values.get(name) if known is None else known.value
        return None if value is None else self._order_of(value)

    def _is_same(self, one: Any, other: Any) -> bool:
        return bool(self._significant_part(one) == self._significant_part(other))

    def _put(self, change: StoredChange) -> bool:
        """Store a change; return whether the object changed."""
        known = self._by_name.get(change.name)
        self._held.pop(change.name, None)
        self.edits += 1
        if change.value is None:
            self._by_name.pop(change.name, None)
            self._significant_revisions.pop(change.name, None)
            self._record_deletion(change, known)
            self.significant_revision = max(self.significant_revision, change.revision)
            return known is not None
        self._deleted.pop(change.name, None)
        self._deleted_values.pop(change.name, None)
        self._by_name[change.name] = change
        if known is None or self._matters(change, known):
            self._significant_revisions[change.name] = change.revision
            self.significant_revision = max(self.significant_revision, change.revision)
        return True

    def _matters(self, change: StoredChange, known: StoredChange) -> bool:
        """Return whether other entries must learn of a change."""
        # They hold an object of an earlier era until they know that it was written again.
        is_confirmed = era_of(known.revision) < era_of(change.revision)
        return is_confirmed or not self._is_same(known.value, change.value)

    def _record_deletion(self, change: StoredChange, known: StoredChange | None) -> None:
        self._deleted.pop(change.name, None)
        self._deleted[change.name] = change
        if known is not None:
            self._deleted_values[change.name] = known.value
        if len(self._deleted) > MAX_DELETIONS:
            oldest = next(iter(self._deleted))
            dropped = self._deleted.pop(oldest)
            self._deleted_values.pop(oldest, None)
            self._deletions_kept_since = max(self._deletions_kept_since, dropped.revision)
