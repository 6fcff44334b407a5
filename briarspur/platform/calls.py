"""Calls to the platform's store in its published form, and their answers decoded."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from briarspur.coord.errors import (
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.gateway.objectsource import HistoryGoneError
from briarspur.storecalls import NoResponseError, NotSentError, PlatformClient, Response

__all__ = [
    "CONFLICT",
    "CREATED",
    "NO_CONTENT",
    "NOT_FOUND",
    "OK",
    "Item",
    "Items",
    "StoreCalls",
    "Written",
    "write_error",
]

OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY = 429
UNAVAILABLE = 503
MS = 1_000


@dataclass(frozen=True, slots=True)
class Item:
    """One object, or the deletion of one."""

    name: str
    revision: int
    value: Any
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Items:
    """Objects or changes of a kind, complete up to a revision."""

    revision: int
    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Written:
    """The answer to a write: its status, and the object as it is then, if the answer names it."""

    status: int
    item: Item | None
    response: Response


class StoreCalls:
    """Reads and writes objects by kind and name."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def all(self, kind: str, prefix: str = "", may_be_old: bool = False) -> Items:
        """Return the objects of a kind whose names go on after ``prefix``, page by page."""
        found: list[Item] = []
        revision: int | None = None
        after = prefix
        while True:
            page = await self._page(_path(kind) + _list_query(after, may_be_old))
            # A change made while the pages are read has a revision above the first page's, so a
            # watch from there tells of it again; from the last page's it could be missed.
            first = _integer(page, "storeRevision")
            revision = first if revision is None else revision
            items = _list(page, "items")
            read = [item for each in items if (item := _item(each))]
            found.extend(item for item in read if item.name.startswith(prefix))
            # Pages are ordered by name, so nothing of the prefix follows another name.
            if not page.get("hasMore") or (read and not read[-1].name.startswith(prefix)):
                return Items(revision, tuple(found))
            after = _last_name(items)

    async def changes(self, kind: str, revision: int, wait: float) -> Items:
        """Return what changed since a revision; wait up to ``wait`` seconds for a change.

        Raises
        ------
        HistoryGoneError
            The changes since that revision are no longer known.
        """
        query = f"?watch={revision}&waitMs={round(wait * MS)}"
        page = await self._page(_path(kind) + query, wait)
        events = _list(page, "events")
        changes = tuple(
            item
            for event in events
            if (item := _item(event.get("object"), bool(event.get("deleted"))))
        )
        return Items(_integer(page, "storeRevision"), changes)

    async def get(self, kind: str, name: str) -> Item | None:
        """Return an object, None if there is none."""
        path = _path(kind, name)
        response = await self._read(path)
        if response.status == NOT_FOUND:
            return None
        item = _item(_document(response, path))
        if item is None:
            raise StoreUnavailableError(f"{path}: malformed object")
        return item

    async def create(self, kind: str, name: str, value: Any) -> Written:
        """Create an object."""
        body = {"metadata": {"name": name}, "spec": value, "status": None}
        return await self._write(b"POST", _path(kind), body)

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None = None
    ) -> Written:
        """Replace an object, if it is still at ``revision`` where one is given."""
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": value, "status": None}
        return await self._write(b"PUT", _path(kind, name), body)

    async def delete(self, kind: str, name: str, revision: int) -> Written:
        """Delete an object if it is still at a revision."""
        return await self._write(b"DELETE", f"{_path(kind, name)}?revision={revision}", None)

    async def _page(self, path: str, wait: float = 0.0) -> dict[str, Any]:
        response = await self._read(path, wait)
        if response.status == NOT_FOUND:
            raise StoreUnavailableError(f"{path}: status {response.status}")
        return _document(response, path)

    async def _read(self, path: str, wait: float = 0.0) -> Response:
        try:
            response = await self._client.call(b"GET", path, wait=wait)
        except (NotSentError, NoResponseError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        if response.status in (OK, NOT_FOUND):
            return response
        if response.status == GONE:
            raise HistoryGoneError(path)
        if response.status == TOO_MANY:
            raise StoreThrottledError(response.retry_after)
        raise StoreUnavailableError(f"{path}: status {response.status}")

    async def _write(self, method: bytes, path: str, body: dict[str, Any] | None) -> Written:
        value = None if body is None else json.dumps(body).encode()
        headers = {b"Content-Type": b"application/json"} if body is not None else {}
        try:
            response = await self._client.call(method, path, headers, value)
        except NotSentError as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        except NoResponseError as error:
            raise StoreUnclearError(f"{path}: {error}") from None
        return Written(response.status, _answered_item(response), response)


def write_error(name: str, written: Written) -> StoreError:
    """Return the error for a write that was answered and not carried out, conflicts apart."""
    status = written.status
    if status == TOO_MANY:
        return StoreThrottledError(written.response.retry_after)
    if status == UNAVAILABLE:
        return StoreUnavailableError(f"{name}: status {status}")
    return StoreUnclearError(f"{name}: status {status}")


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _list_query(after: str, may_be_old: bool) -> str:
    query = {"after": after} if after else {}
    if may_be_old:
        query["allowStale"] = "1"
    return f"?{urlencode(query, quote_via=quote, safe='')}" if query else ""


def _document(response: Response, path: str) -> dict[str, Any]:
    try:
        document = json.loads(response.body)
    except ValueError as error:
        raise StoreUnavailableError(f"{path}: malformed answer: {error}") from None
    if not isinstance(document, dict):
        raise StoreUnavailableError(f"{path}: malformed answer")
    return document


def _answered_item(response: Response) -> Item | None:
    """Return the object of an answer to a write; many answers have none."""
    try:
        return _item(json.loads(response.body))
    except ValueError:
        return None


def _item(document: Any, deleted: bool = False) -> Item | None:
    """Return one object of a list or an event; None if its envelope can't be read."""
    metadata = document.get("metadata") if isinstance(document, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return Item(name, revision, document.get("spec", {}), deleted)


def _list(page: dict[str, Any], field: str) -> list[Any]:
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
    for each in reversed(items):
        item = _item(each)
        if item is not None:
            return item.name
    raise StoreUnavailableError("a page without a name to continue from")
