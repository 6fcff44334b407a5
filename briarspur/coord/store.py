"""The object store as the coordination parts see it."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["ABSENT", "ObjectStore", "StoredObject"]

ABSENT = 0
"""The version of an object that does not exist."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object with its version, which is 1 or more and rises with each write."""

    name: str
    version: int
    value: bytes


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Reads may be old; writes are checked against the newest version. Every call may raise
    ``StoreUnavailableError`` (surely no effect) or, for writes, ``StoreUnclearError`` (the answer
    was lost, so the write may have taken effect).
    """

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if there is none."""

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``; None if it is, or if there is none.

        A read like :meth:`get`, without the value where nothing changed.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names begin with ``prefix``, ordered by name."""

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version`` (``ABSENT``: create); return its version.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was written.
        """

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete if the object is at ``expected_version``.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was deleted.
        """

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Wait at most ``wait`` seconds for a version above ``newer_than``; None if none came."""
