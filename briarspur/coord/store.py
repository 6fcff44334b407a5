"""The interface of the object store that the coordination modules use."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["ABSENT", "ObjectStore", "StoredObject"]

ABSENT = 0
"""The version of an object that does not exist."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its version, which is at least 1 and increases with each write of the store.

    Of two objects, that with the higher version was written later.
    """

    name: str
    version: int
    value: bytes


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Reads may be stale; writes are checked against the newest version. Every call may raise
    ``StoreUnavailableError`` (the call certainly had no effect) or, for writes,
    ``StoreUnclearError`` (the answer was lost, so the write may have taken effect).
    """

    @property
    def era(self) -> int:
        """The latest era in any response; it rises when the store returns from an older copy."""

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object, or None if it is at version ``known`` or does not exist.

        Like :meth:`get`, but without reading the value again if the version is ``known``.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names start with ``prefix``, sorted by name."""

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version``; return the new version.

        ``ABSENT`` creates the object.

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
        """Wait up to ``wait`` seconds for a version above ``newer_than``; None if there is none."""
