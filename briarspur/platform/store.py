"""The platform's store, spoken to by its published protocol."""

import json
from typing import Any
from urllib.parse import quote

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.gateway.objectsource import HistoryGoneError
from briarspur.gateway.replica import Batch, Kind, StoredChange
from briarspur.storecalls import NoAnswerError, NotSentError, PlatformClient, Response

__all__ = ["KIND_NAMES", "PlatformStore"]

KIND_NAMES = {
    Kind.CONFIGURATION: "config",
    Kind.TARGETS: "servers",
    Kind.EVACUATIONS: "evacuations",
    Kind.ENTRIES: "entries",
}
"""Kinds in the store's paths; the last is a kind of our own."""

OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY = 429
MS = 1_000


class PlatformStore:
    """Implements :class:`briarspur.gateway.objectsource.ObjectSource`; owns its connections."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def list(self, kind: Kind) -> Batch:
        """Return all objects of a kind, page by page."""
        changes: list[StoredChange] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            page = await self._read(_path(kind) + query)
            # A change made while the pages are read has a revision above the first page's, so a
            # watch from there tells of it again; from the last page's it could be missed.
            first = _integer(page, "storeRevision")
            revision = first if revision is None else revision
            items = _items(page, "items")
            changes.extend(change for item in items if (change := _change(item, False)))
            if not page.get("hasMore"):
                return Batch(revision, tuple(changes), whole=True)
            after = _last_name(items)

    async def watch(self, kind: Kind, revision: int, wait: float) -> Batch:
        """Return what changed since a revision."""
        query = f"?watch={revision}&waitMs={round(wait * MS)}"
        page = await self._read(_path(kind) + query, wait)
        changes = []
        for event in _items(page, "events"):
            item = event.get("object")
            change = _change(item, bool(event.get("deleted")))
            if change is not None:
                changes.append(change)
        return Batch(_integer(page, "storeRevision"), tuple(changes))

    async def write(self, kind: Kind, name: str, value: dict[str, Any]) -> None:
        """Create an object, or replace it if it is there."""
        body: dict[str, Any] = {"metadata": {"name": name}, "spec": value, "status": None}
        response = await self._write(b"POST", _path(kind), body)
        if response.status == CONFLICT:
            response = await self._write(b"PUT", f"{_path(kind)}/{quote(name, safe='')}", body)
        if response.status not in (OK, CREATED):
            raise _write_error(name, response)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at a revision."""
        path = f"{_path(kind)}/{quote(name, safe='')}?revision={revision}"
        response = await self._write(b"DELETE", path, None)
        if response.status not in (OK, NO_CONTENT, NOT_FOUND):
            raise _write_error(name, response)

    async def _read(self, path: str, wait: float = 0.0) -> dict[str, Any]:
        try:
            response = await self._client.call(b"GET", path, wait=wait)
        except (NotSentError, NoAnswerError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        if response.status == GONE:
            raise HistoryGoneError(path)
        if response.status == TOO_MANY:
            raise StoreThrottledError(response.retry_after)
        if response.status != OK:
            raise StoreUnavailableError(f"{path}: status {response.status}")
        try:
            page = json.loads(response.body)
        except ValueError as error:
            raise StoreUnavailableError(f"{path}: malformed answer: {error}") from None
        if not isinstance(page, dict):
            raise StoreUnavailableError(f"{path}: malformed answer")
        return page

    async def _write(self, method: bytes, path: str, body: dict[str, Any] | None) -> Response:
        value = None if body is None else json.dumps(body).encode()
        headers = {b"Content-Type": b"application/json"} if body is not None else {}
        try:
            return await self._client.call(method, path, headers, value)
        except NotSentError as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        except NoAnswerError as error:
            raise StoreUnclearError(f"{path}: {error}") from None


def _path(kind: Kind) -> str:
    return f"/objects/{KIND_NAMES[kind]}"


def _change(item: Any, deleted: bool) -> StoredChange | None:
    """Return one object of a list or an event; None if its envelope can't be read."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return StoredChange(name, revision, None if deleted else item.get("spec", {}))


def _items(page: dict[str, Any], field: str) -> list[Any]:
    items = page.get(field)
    if not isinstance(items, list):
        raise StoreUnavailableError(f"no {field} in the answer")
    return items


def _integer(page: dict[str, Any], field: str) -> int:
    value = page.get(field)
    if not isinstance(value, int):
        raise StoreUnavailableError(f"no {field} in the answer")
    return value


def _last_name(items: list[Any]) -> str:
    for item in reversed(items):
        change = _change(item, False)
        if change is not None:
            return change.name
    raise StoreUnavailableError("a page without a name to continue from")


def _write_error(name: str, response: Response) -> StoreError:
    if response.status == CONFLICT:
        return StoreConflictError(name, 0)
    if response.status == TOO_MANY:
        return StoreThrottledError(response.retry_after)
    if response.status == 503:
        return StoreUnavailableError(f"{name}: status 503")
    return StoreUnclearError(f"{name}: status {response.status}")
