"""A versioned follower: keeps the newest valid version of one object, from any source.

Reads of the store may be stale, copies from other processes may be late, and a watch may return the
same version again. The follower accepts a version only if it is higher than the one in force, so
the configuration of this process never reverts to an older version. When the store has returned
from an older copy, the copy's value has a higher version although it is older; the order that the
values record tells.
"""

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

from expression import Result

from briarspur.coord.era import era_of
from briarspur.coord.invariants import invariants
from briarspur.coord.store import ABSENT, StoredObject

__all__ = ["Follower", "OfferResult"]

T = TypeVar("T")

MAX_REJECTED_VERSIONS = 16


class OfferResult(Enum):
    """Result of offering a version to a follower."""

    IN_FORCE = "in force now"
    SAME = "already in force"
    OLD = "older than what is in force"
    REJECTED = "not valid"
    CONFLICT = "another value under the version in force"


class Follower(Generic[T]):
    """The version of one object that is in force in this process.

    Parameters
    ----------
    name : str
        Name of the object.
    parse : callable
        Returns the parsed value of a version, or the reason why it is not valid.
    on_change : callable or None
        Called with each new value that is put in force.
    order_of : callable or None
        Returns the position of a valid value among all values of the object, in the order in which
        they were written.

    Attributes
    ----------
    counts : Counter of OfferResult
        Number of offers by result.
    """

    def __init__(
        self,
        name: str,
        parse: Callable[[StoredObject], Result[T, str]],
        on_change: Callable[[T], None] | None = None,
        order_of: Callable[[StoredObject], int] | None = None,
    ) -> None:
        self.name = name
        self.value: T | None = None
        self.stored: StoredObject | None = None
        self.digest = b""
        self.counts: Counter[OfferResult] = Counter()
        self._parse = parse
        self._on_change = on_change
        self._order_of = order_of
        self._reason_by_version: OrderedDict[int, str] = OrderedDict()

    @property
    def version(self) -> int:
        """The version in force, ``ABSENT`` if there is none."""
        return self.stored.version if self.stored else ABSENT

    @property
    def seen_version(self) -> int:
        """The highest version seen, valid or not; a watch requests versions above this one."""
        return max([self.version, *self._reason_by_version])

    def rejection_reason(self, version: int) -> str | None:
        """Return the reason why a version was rejected, None if it wasn't."""
        return self._reason_by_version.get(version)

    def wants(self, version: int) -> bool:
        """Return whether to fetch this version from another process that has it."""
        return version > self.version and version not in self._reason_by_version

    def offer(self, stored: StoredObject) -> OfferResult:
        """Offer a version from any source, and put it in force if it is valid and newer."""
        offer_result = self._offer(stored)
        self.counts[offer_result] += 1
        return offer_result

    def _offer(self, stored: StoredObject) -> OfferResult:
        # Putting a stale read in force would revert a configuration that callers already rely on.
        if stored.version < self.version:
            return OfferResult.OLD
        digest = hashlib.sha256(stored.value).digest()
        if stored.version == self.version:
            is_same = digest == self.digest
            invariants.check("follower.one_value_per_version", is_same, (self.name, stored.version))
            return OfferResult.SAME if is_same else OfferResult.CONFLICT
        if stored.version in self._reason_by_version:
            return OfferResult.REJECTED
        result = self._parse(stored)
        if result.is_error():
            return self.reject(stored.version, result.error)
        if self._is_older_copy(stored):
            self.reject(stored.version, "older than what is in force")
            return OfferResult.OLD
        is_higher = stored.version > self.version
        invariants.check("follower.version_only_rises", is_higher, (self.name, stored.version))
        self.stored = stored
        self.digest = digest
        self.value = result.ok
        if self._on_change is not None:
            self._on_change(result.ok)
        return OfferResult.IN_FORCE

    def _is_older_copy(self, stored: StoredObject) -> bool:
        """Return whether a value of a later era was written before the one in force."""
        if self.stored is None or self._order_of is None:
            return False
        if era_of(stored.version) == era_of(self.version):
            return False
        return self._order_of(stored) < self._order_of(self.stored)

    def reject(self, version: int, reason: str) -> OfferResult:
        """Reject a version, so that it is neither put in force nor fetched again."""
        # Without this record, it would be fetched again at each heartbeat of a member that has it.
        self._reason_by_version[version] = reason
        while len(self._reason_by_version) > MAX_REJECTED_VERSIONS:
            self._reason_by_version.popitem(last=False)
        return OfferResult.REJECTED
