"""The followed objects an entry has in force, as it hands them to other entries."""

import hashlib
from collections.abc import Callable

from briarspur.coord.invariants import invariants
from briarspur.coord.store import ABSENT, StoredObject
from briarspur.gossip import ObjectCopy, ObjectVersion

__all__ = ["InForce", "Taker"]

Taker = Callable[[StoredObject], bool]
"""Puts a version in force; returns False if it is not valid."""


class InForce:
    """Newest valid version of each followed object; versions only rise.

    Parameters
    ----------
    takers_by_name : dict of str to callable
        What to do with a newer version of each object.
    """

    def __init__(self, takers_by_name: dict[str, Taker]) -> None:
        self._takers_by_name = takers_by_name
        self._copies_by_name: dict[str, ObjectCopy] = {}
        self.old_versions_ignored = 0

    def version(self, name: str) -> int:
        """Return the version in force, ``ABSENT`` if there is none."""
        copy = self._copies_by_name.get(name)
        return copy.version if copy is not None else ABSENT

    def versions(self) -> tuple[ObjectVersion, ...]:
        """Return the versions in force."""
        return tuple(
            ObjectVersion(copy.name, copy.version, copy.digest)
            for copy in self._copies_by_name.values()
        )

    def newer_abroad(self, versions: tuple[ObjectVersion, ...]) -> list[str]:
        """Return the names of followed objects of which another entry has a newer version."""
        return [
            item.name
            for item in versions
            if item.name in self._takers_by_name and item.version > self.version(item.name)
        ]

    def copy(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object if the version in force is above ``newer_than``."""
        copy = self._copies_by_name.get(name)
        return copy if copy is not None and copy.version > newer_than else None

    def take(self, stored: StoredObject) -> bool:
        """Take a version from the store or from another entry; return whether it is in force now.

        Reads of the store may show the past, and copies from others may be late: an older version
        is ignored and counted, or an accepted configuration would revert.
        """
        current = self.version(stored.name)
        if stored.version <= current:
            self.old_versions_ignored += stored.version < current
            return False
        if stored.name not in self._takers_by_name or not self._takers_by_name[stored.name](stored):
            return False
        digest = hashlib.sha256(stored.value).digest()
        self._copies_by_name[stored.name] = ObjectCopy(
            stored.name, stored.version, digest, stored.value
        )
        rises = self.version(stored.name) > current
        invariants.check("object-version-rises", rises, stored.name)
        return True

    def offered(self, copy: ObjectCopy) -> int:
        """Take a copy from another entry, if it is whole; return the version in force then."""
        if hashlib.sha256(copy.value).digest() == copy.digest:
            self.take(StoredObject(copy.name, copy.version, copy.value))
        return self.version(copy.name)
