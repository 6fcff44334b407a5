"""Versioned objects of briarspur, stored on the platform under kinds that it defines itself."""

import asyncio
import base64
import binascii
from typing import Self

from briarspur.coord.era import era_of, number_of, revision_in_era
from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, StoredObject
from briarspur.gateway.objectsource import HistoryGoneError
from briarspur.platform.calls import (
    CONFLICT,
    CREATED,
    NO_CONTENT,
    NOT_FOUND,
    OK,
    Item,
    StoreCalls,
    WriteResult,
    write_error,
)

__all__ = ["MAX_VALUE_BYTES", "PlatformObjectStore", "kind_and_name"]

MAX_VALUE_BYTES = 786_432
"""The platform limits the size of an object, and base64 encoding makes a value a third longer."""
SINGLE_KIND_PREFIX = "briarspur-object-"
SINGLE_NAME = "only"
"""A name without a slash has a kind for this one object, so that a watch of the policy is not
woken by each renewal of a lease."""
GROUP_KIND_PREFIX = "briarspur-group-"
"""Other names have one kind for each part before the first slash, so that listing the few VMs does
not read the many claims."""
SLASH_REPLACEMENT = "~"
"""Replaces the remaining slashes of a name, since a stored name is a single path segment."""


class PlatformObjectStore:
    """Implementation of :class:`briarspur.coord.store.ObjectStore`; owns its connections."""

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._calls.close()

    @property
    def era(self) -> int:
        """The latest era in any response; 0 if the store doesn't tell its era."""
        return self._calls.era

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        item = await self._calls.get(*kind_and_name(name))
        return None if item is None else _stored(name, item)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``; None if it is, or does not exist.

        It requests the changes since that version, so that an unchanged value is not sent again.
        """
        kind, stored_name = kind_and_name(name)
        try:
            changes = await self._calls.changes(kind, number_of(known), 0.0)
            is_gone = changes.era != era_of(known)
        except HistoryGoneError:
            is_gone = True
        if is_gone:
            found = await self.get(name)
            return None if found is None or found.version == known else found
        changed = [item for item in changes.items if item.name == stored_name]
        if not changed or changed[-1].deleted:
            return None
        return _stored(name, changed[-1])

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names start with ``prefix``, ordered by name.

        Raises
        ------
        StoreError
            The prefix has no slash, so it does not identify a kind.
        """
        if "/" not in prefix:
            raise StoreError(f"{prefix!r}: a prefix to list must contain a slash")
        kind, stored_name = kind_and_name(prefix)
        found = await self._calls.list_objects(kind, stored_name)
        group = prefix.partition("/")[0]
        stored = [
            _stored(f"{group}/{item.name.replace(SLASH_REPLACEMENT, '/')}", item)
            for item in found.items
        ]
        return sorted(stored, key=lambda each: each.name)

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version`` (``ABSENT``: create); return its version.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was written.
        StoreError
            The value is longer than ``MAX_VALUE_BYTES``.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(f"{name}: {len(value)} bytes exceed the maximum of {MAX_VALUE_BYTES}")
        kind, stored_name = kind_and_name(name)
        text = base64.b64encode(value).decode()
        if expected_version == ABSENT:
            written = await self._calls.create(kind, stored_name, text)
        else:
            await self._check_era(name, expected_version)
            number = number_of(expected_version)
            written = await self._calls.replace(kind, stored_name, text, number)
        if written.status not in (OK, CREATED):
            raise await self._write_failure(name, written)
        if written.item is None:
            raise StoreUnclearError(f"{name}: written, but the response has no version")
        if expected_version != ABSENT and written.item.era > era_of(expected_version):
            raise StoreUnclearError(f"{name}: written in era {written.item.era} of the store")
        return _version(written.item)

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete if the object is at ``expected_version``.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was deleted.
        """
        await self._check_era(name, expected_version)
        written = await self._calls.delete(*kind_and_name(name), number_of(expected_version))
        if written.status not in (OK, NO_CONTENT):
            raise await self._write_failure(name, written)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Wait at most ``wait`` seconds for a version above ``newer_than``; None on timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        kind, stored_name = kind_and_name(name)
        since = newer_than
        while True:
            remaining = max(0.0, deadline - loop.time())
            try:
                changes = await self._calls.changes(kind, number_of(since), remaining)
                is_gone = changes.era != era_of(since)
            except HistoryGoneError:
                is_gone = True
            if is_gone:
                changes = await self._calls.list_objects(kind)
            since = revision_in_era(changes.era, changes.revision)
            changed = [
                item for item in changes.items if item.name == stored_name and not item.deleted
            ]
            if changed and _version(changed[-1]) > newer_than:
                return _stored(name, changed[-1])
            if loop.time() >= deadline:
                return None

    async def _check_era(self, name: str, expected_version: int) -> None:
        """Reject a condition of an earlier era: another value may have that revision now."""
        if era_of(expected_version) < self._calls.era:
            found = await self.get(name)
            raise StoreConflictError(name, ABSENT if found is None else found.version)

    async def _write_failure(self, name: str, written: WriteResult) -> StoreError:
        if written.status == NOT_FOUND:
            return StoreConflictError(name, ABSENT)
        if written.status != CONFLICT:
            return write_error(name, written)
        if written.item is not None:
            return StoreConflictError(name, _version(written.item))
        found = await self.get(name)
        return StoreConflictError(name, ABSENT if found is None else found.version)


def kind_and_name(name: str) -> tuple[str, str]:
    """Return the kind and name of an object in the platform's store."""
    group, slash, rest = name.partition("/")
    if not slash:
        return SINGLE_KIND_PREFIX + name, SINGLE_NAME
    return GROUP_KIND_PREFIX + group, rest.replace("/", SLASH_REPLACEMENT)


def _stored(name: str, item: Item) -> StoredObject:
    if not isinstance(item.value, str):
        raise StoreUnavailableError(f"{name}: malformed value")
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise StoreUnavailableError(f"{name}: malformed value: {error}") from None
    return StoredObject(name, _version(item), value)


def _version(item: Item) -> int:
    return revision_in_era(item.era, item.revision)
