"""Small fakes shared by the tests of the operators' programs."""

from collections.abc import Callable

from briarspur.coord.errors import (
    StoreConflictError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, StoredObject

__all__ = ["FakeStore", "skip_sleep"]


async def skip_sleep(_: float) -> None:
    """Replace a sleep and return immediately."""


class FakeStore:
    """An in-memory object store with scripted faults.

    Like the platform's store, it numbers the versions of all objects by one counter.

    Attributes
    ----------
    lost_answers : int
        Number of next writes that take effect but get no answer.
    lost_requests : int
        Number of next writes that never reach the store and get no answer.
    down : bool
        Whether every call fails.
    stale_reads : int
        Number of next reads of an object that return its previous version.
    after_write : callable or None
        Called with the object's name after each write that took effect.
    """

    def __init__(self) -> None:
        self.objects: dict[str, list[StoredObject]] = {}
        self.lost_answers = 0
        self.lost_requests = 0
        self.down = False
        self.stale_reads = 0
        self.after_write: Callable[[str], None] | None = None
        self.version = 0
        self.writes = 0

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or its previous version if ``stale_reads`` is set."""
        self._check()
        versions = self.objects.get(name, [])
        if self.stale_reads and versions:
            self.stale_reads -= 1
            return versions[-2] if len(versions) > 1 else None
        return versions[-1] if versions else None

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects below a prefix."""
        self._check()
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return [self.objects[name][-1] for name in names]

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write conditionally."""
        self._check()
        if self.lost_requests:
            self.lost_requests -= 1
            raise StoreUnclearError(name)
        versions = self.objects.get(name, [])
        current = versions[-1].version if versions else ABSENT
        if current != expected_version:
            raise StoreConflictError(name, current)
        self.version += 1
        written = StoredObject(name, self.version, value)
        self.objects.setdefault(name, []).append(written)
        self.writes += 1
        if self.after_write is not None:
            self.after_write(name)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnclearError(name)
        return written.version

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete conditionally."""
        self._check()
        versions = self.objects.get(name, [])
        current = versions[-1].version if versions else ABSENT
        if current != expected_version:
            raise StoreConflictError(name, current)
        del self.objects[name]

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``."""
        found = await self.get(name)
        return found if found is not None and found.version != known else None

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Return a newer version, or None without waiting."""
        found = await self.get(name)
        return found if found is not None and found.version > newer_than else None
