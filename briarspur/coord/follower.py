"""A versioned follower: the newest valid version of one object, from whichever source it comes.

Reads of the store may be old, copies from other processes late, and a watch may repeat itself. The
follower takes a version only if it is higher than the one in force, so that a configuration once
in force never reverts in this process.
"""

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

from expression import Result

from briarspur.coord.invariants import invariants
from briarspur.coord.store import ABSENT, StoredObject

__all__ = ["Follower", "Taken"]

T = TypeVar("T")

REJECTED_KEPT = 16


class Taken(Enum):
    """What became of a version that was offered."""

    IN_FORCE = "in force now"
    SAME = "already in force"
    OLD = "older than what is in force"
    REJECTED = "not valid"
    CLASH = "another value under the version in force"


class Follower(Generic[T]):
    """The version of one object that is in force in this process.

    Parameters
    ----------
    name : str
        Name of the object.
    read : callable
        Returns what a version means, or why it is not valid.
    on_change : callable or None
        Called with each value that comes into force.

    Attributes
    ----------
    counts : Counter of Taken
        How often each thing became of a version.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[StoredObject], Result[T, str]],
        on_change: Callable[[T], None] | None = None,
    ) -> None:
        self.name = name
        self.value: T | None = None
        self.stored: StoredObject | None = None
        self.digest = b""
        self.counts: Counter[Taken] = Counter()
        self._read = read
        self._on_change = on_change
        self._faults_by_version: OrderedDict[int, str] = OrderedDict()

    @property
    def version(self) -> int:
        """The version in force, ``ABSENT`` if there is none."""
        return self.stored.version if self.stored else ABSENT

    @property
    def seen_version(self) -> int:
        """The highest version seen, valid or not: a watch asks for newer ones than this."""
        return max([self.version, *self._faults_by_version])

    def fault(self, version: int) -> str | None:
        """Return why a version was rejected, None if it was not."""
        return self._faults_by_version.get(version)

    def wants(self, version: int) -> bool:
        """Whether this version, seen elsewhere, is worth fetching."""
        return version > self.version and version not in self._faults_by_version

    def take(self, stored: StoredObject) -> Taken:
        """Take a version from any source; return what became of it."""
        taken = self._take(stored)
        self.counts[taken] += 1
        return taken

    def _take(self, stored: StoredObject) -> Taken:
        # An old read put in force would revert a configuration that callers already rely on.
        if stored.version < self.version:
            return Taken.OLD
        digest = hashlib.sha256(stored.value).digest()
        if stored.version == self.version:
            same = digest == self.digest
            invariants.check("follower.one_value_per_version", same, (self.name, stored.version))
            return Taken.SAME if same else Taken.CLASH
        if stored.version in self._faults_by_version:
            return Taken.REJECTED
        result = self._read(stored)
        if result.is_error():
            return self.reject(stored.version, result.error)
        rises = stored.version > self.version
        invariants.check("follower.version_only_rises", rises, (self.name, stored.version))
        self.stored = stored
        self.digest = digest
        self.value = result.ok
        if self._on_change is not None:
            self._on_change(result.ok)
        return Taken.IN_FORCE

    def reject(self, version: int, fault: str) -> Taken:
        """Keep a version out, so that it is neither taken nor wanted again."""
        # Remembered, or it would be fetched again with each heartbeat of whoever has it.
        self._faults_by_version[version] = fault
        while len(self._faults_by_version) > REJECTED_KEPT:
            self._faults_by_version.popitem(last=False)
        return Taken.REJECTED
