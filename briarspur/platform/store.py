"""Source of the objects that the gateway watches and writes, on the platform's store."""

from typing import Any

from briarspur.coord.era import era_of, number_of, revision_in_era
from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.gateway.objectsource import HistoryGoneError, StoreReturnedError
from briarspur.gateway.replica import Batch, Kind, StoredChange
from briarspur.platform.calls import (
    CONFLICT,
    CREATED,
    NO_CONTENT,
    NOT_FOUND,
    OK,
    Items,
    StoreCalls,
    WriteResult,
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
    Kind.SUSPENSIONS: "suspensions",
}
"""Names of kinds in the store's paths; briarspur itself defines the last four."""


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
        return _batch(found, whole=True)

    async def watch(self, kind: Kind, revision: int, wait: float) -> Batch:
        """Return the changes since a revision; wait up to ``wait`` seconds for the first."""
        try:
            found = await self._calls.changes(KIND_NAMES[kind], number_of(revision), wait)
        except HistoryGoneError:
            if self._calls.era > era_of(revision):
                raise StoreReturnedError(self._calls.era) from None
            raise
        if found.era < era_of(revision):
            raise StoreUnavailableError(f"{kind.name}: a response of era {found.era}")
        if found.era > era_of(revision):
            # The revision is another one in this era, even if the store has one of that number.
            raise StoreReturnedError(found.era)
        return _batch(found)

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
        if written.status not in (OK, CREATED):
            raise self._write_failure(name, written)
        self._created.add((kind, name))

    async def replace(self, kind: Kind, name: str, value: dict[str, Any], revision: int) -> None:
        """Replace an object if it is still at ``revision``, or create it if that is 0."""
        if not revision:
            written = await self._calls.create(KIND_NAMES[kind], name, value)
        else:
            self._check_era(name, revision)
            number = number_of(revision)
            written = await self._calls.replace(KIND_NAMES[kind], name, value, number)
        if written.status not in (OK, CREATED):
            raise self._write_failure(name, written)
        if revision:
            self._check_written_in(name, era_of(revision))

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at ``revision``; a missing object is not an error."""
        self._check_era(name, revision)
        written = await self._calls.delete(KIND_NAMES[kind], name, number_of(revision))
        if written.status not in (OK, NO_CONTENT, NOT_FOUND):
            raise self._write_failure(name, written)

    def _check_era(self, name: str, revision: int) -> None:
        """Reject a condition of an earlier era: another object may have that revision now."""
        if era_of(revision) != self._calls.era:
            raise StoreConflictError(name, 0)

    def _check_written_in(self, name: str, era: int) -> None:
        if era != self._calls.era:
            raise StoreUnclearError(f"{name}: written in era {self._calls.era}, read in era {era}")

    def _write_failure(self, name: str, written: WriteResult) -> StoreError:
        if written.status not in (CONFLICT, NOT_FOUND):
            return write_error(name, written)
        if written.item is None:
            return StoreConflictError(name, 0)
        return StoreConflictError(name, revision_in_era(self._calls.era, written.item.revision))


def _batch(found: Items, whole: bool = False) -> Batch:
    changes = tuple(
        StoredChange(
            item.name,
            revision_in_era(found.era, item.revision),
            None if item.deleted else item.value,
        )
        for item in found.items
    )
    return Batch(revision_in_era(found.era, found.revision), changes, whole)
