"""Source of the objects that the gateway watches and writes, on the platform's store."""

from typing import Any

from briarspur.coord.errors import StoreConflictError
from briarspur.gateway.replica import Batch, Kind, StoredChange
from briarspur.platform.calls import (
    CONFLICT,
    CREATED,
    NO_CONTENT,
    NOT_FOUND,
    OK,
    Item,
    StoreCalls,
    write_error,
)

__all__ = ["KIND_NAMES", "PlatformStore"]

KIND_NAMES = {
    Kind.CONFIGURATION: "config",
    Kind.TARGETS: "servers",
    Kind.EVACUATIONS: "evacuations",
    Kind.ENTRIES: "entries",
    Kind.WARMTH: "warmth",
    Kind.RESERVATIONS: "reservations",
}
"""Names of kinds in the store's paths; briarspur itself defines the last three."""


class PlatformStore:
    """Implements :class:`briarspur.gateway.objectsource.ObjectSource`; owns its connections."""

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls
        self._created: set[tuple[Kind, str]] = set()

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._calls.close()

    async def list(self, kind: Kind, may_be_old: bool = False) -> Batch:
        """Return all objects of a kind."""
        found = await self._calls.list_objects(KIND_NAMES[kind], allow_stale=may_be_old)
        return Batch(found.revision, tuple(_change(item) for item in found.items), whole=True)

    async def watch(self, kind: Kind, revision: int, wait: float) -> Batch:
        """Return the changes since a revision; wait up to ``wait`` seconds for the first."""
        found = await self._calls.changes(KIND_NAMES[kind], revision, wait)
        return Batch(found.revision, tuple(_change(item) for item in found.items))

    async def write(self, kind: Kind, name: str, value: dict[str, Any]) -> None:
        """Create an object, or replace it if it exists."""
        written_before = (kind, name) in self._created
        first, second = (
            (self._calls.replace, self._calls.create)
            if written_before
            else (self._calls.create, self._calls.replace)
        )
        written = await first(KIND_NAMES[kind], name, value)
        if written.status == (NOT_FOUND if written_before else CONFLICT):
            written = await second(KIND_NAMES[kind], name, value)
        if written.status == CONFLICT:
            raise StoreConflictError(name, written.item.revision if written.item else 0)
        if written.status not in (OK, CREATED):
            raise write_error(name, written)
        self._created.add((kind, name))

    async def replace(self, kind: Kind, name: str, value: dict[str, Any], revision: int) -> None:
        """Replace an object if it is still at ``revision``, or create it if that is 0."""
        if revision:
            written = await self._calls.replace(KIND_NAMES[kind], name, value, revision)
        else:
            written = await self._calls.create(KIND_NAMES[kind], name, value)
        if written.status in (CONFLICT, NOT_FOUND):
            raise StoreConflictError(name, written.item.revision if written.item else 0)
        if written.status not in (OK, CREATED):
            raise write_error(name, written)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at ``revision``; a missing object is not an error."""
        written = await self._calls.delete(KIND_NAMES[kind], name, revision)
        if written.status == CONFLICT:
            raise StoreConflictError(name, written.item.revision if written.item else 0)
        if written.status not in (OK, NO_CONTENT, NOT_FOUND):
            raise write_error(name, written)


def _change(item: Item) -> StoredChange:
    return StoredChange(item.name, item.revision, None if item.deleted else item.value)
