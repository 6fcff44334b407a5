"""Calls to the platform's object store over its published protocol."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from briarspur import logs
from briarspur.coord.errors import (
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.gateway.objectsource import HistoryGoneError
from briarspur.platform.names import STORE_ERA
from briarspur.storecalls import NoResponseError, NotSentError, PlatformClient, Response

__all__ = [
    "CONFLICT",
    "CREATED",
    "NO_CONTENT",
    "NOT_FOUND",
    "OK",
    "Item",
    "Items",
    "WAITED_CREDIT_S",
    "StoreCalls",
    "WriteResult",
    "write_error",
]

OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MS_PER_S = 1_000
WAITED_CREDIT_S = 0.3
"""Part of the timeout that a watch which has waited doesn't need: its connection is open and the
store has its request. Until a silent connection is found, changes are missed."""


@dataclass(frozen=True, slots=True)
class Item:
    """One object, or the deletion of one, in one of the store's eras."""

    name: str
    revision: int
    value: Any
    deleted: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class Items:
    """Objects or changes of a kind, complete up to a revision of the store in one of its eras."""

    revision: int
    items: tuple[Item, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class _Page:
    """One response with objects or changes, and the era of the store that it is from."""

    era: int
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The response to a write: its status, and the object after it if the response includes one."""

    status: int
    item: Item | None
    response: Response


class StoreCalls:
    """Reads and writes objects by kind and name.

    Attributes
    ----------
    era : int
        The latest era of the store in any response; 0 if no response had one.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self.era = 0

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._client.close()

    async def list_objects(self, kind: str, prefix: str = "", allow_stale: bool = False) -> Items:
        """Return the objects of a kind whose names start with ``prefix``, fetched page by page.

        ``allow_stale`` permits the store to answer from an older state.

        Raises
        ------
        StoreUnavailableError
            The store returned from an older copy between two pages, among other reasons.
        """
        found: list[Item] = []
        era: int | None = None
        revision: int | None = None
        after = prefix
        while True:
            response = await self._page(_path(kind) + _list_query(after, allow_stale))
            page = response.document
            era = response.era if era is None else era
            if response.era != era:
                raise StoreUnavailableError(f"{kind}: pages of eras {era} and {response.era}")
            # A change made between two pages has a higher revision than the first page, so a watch
            # from the first page's revision reports it again. A watch from the last page's revision
            # could miss it.
            page_revision = _integer(page, "storeRevision")
            revision = page_revision if revision is None else revision
            items = _list(page, "items")
            read = [item for each in items if (item := _item(each, era))]
            found.extend(item for item in read if item.name.startswith(prefix))
            # Pages are ordered by name, so no match follows a name without the prefix.
            if not page.get("hasMore") or (read and not read[-1].name.startswith(prefix)):
                return Items(revision, tuple(found), era)
            after = _last_name(items)

    async def changes(self, kind: str, revision: int, wait: float) -> Items:
        """Return the changes since a revision; wait up to ``wait`` seconds for the first one.

        Raises
        ------
        HistoryGoneError
            The store no longer has the changes since that revision.
        """
        query = f"?watch={revision}&waitMs={round(wait * MS_PER_S)}"
        response = await self._page(_path(kind) + query, max(0.0, wait - WAITED_CREDIT_S))
        page = response.document
        events = _list(page, "events")
        changes = tuple(
            item
            for event in events
            if (item := _item(event.get("object"), response.era, bool(event.get("deleted"))))
        )
        return Items(_integer(page, "storeRevision"), changes, response.era)

    async def get(self, kind: str, name: str) -> Item | None:
        """Return an object, or None if it does not exist."""
        path = _path(kind, name)
        response = await self._read(path)
        if response.status == NOT_FOUND:
            return None
        item = _item(_document(response, path), _era(response))
        if item is None:
            raise StoreUnavailableError(f"{path}: malformed object")
        return item

    async def create(self, kind: str, name: str, value: Any) -> WriteResult:
        """Create an object."""
        body = {"metadata": {"name": name}, "spec": value, "status": None}
        return await self._write(b"POST", _path(kind), body)

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None = None
    ) -> WriteResult:
        """Replace an object; with ``revision``, only if it is still at that revision."""
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": value, "status": None}
        return await self._write(b"PUT", _path(kind, name), body)

    async def delete(self, kind: str, name: str, revision: int) -> WriteResult:
        """Delete an object if it is still at ``revision``."""
        return await self._write(b"DELETE", f"{_path(kind, name)}?revision={revision}", None)

    async def _page(self, path: str, wait: float = 0.0) -> _Page:
        response = await self._read(path, wait)
        if response.status == NOT_FOUND:
            raise StoreUnavailableError(f"{path}: status {response.status}")
        return _Page(_era(response), _document(response, path))

    async def _read(self, path: str, wait: float = 0.0) -> Response:
        try:
            response = await self._client.call(b"GET", path, wait=wait)
        except (NotSentError, NoResponseError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        self._record_era(response)
        if response.status in (OK, NOT_FOUND):
            return response
        if response.status == GONE:
            raise HistoryGoneError(path)
        if response.status == TOO_MANY_REQUESTS:
            raise StoreThrottledError(response.retry_after)
        raise StoreUnavailableError(f"{path}: status {response.status}")

    async def _write(self, method: bytes, path: str, body: dict[str, Any] | None) -> WriteResult:
        value = None if body is None else json.dumps(body).encode()
        headers = {b"Content-Type": b"application/json"} if body is not None else {}
        try:
            response = await self._client.call(method, path, headers, value)
        except NotSentError as error:
            raise StoreUnavailableError(f"{path}: {error}") from None
        except NoResponseError as error:
            raise StoreUnclearError(f"{path}: {error}") from None
        self._record_era(response)
        return WriteResult(response.status, _response_item(response), response)

    def _record_era(self, response: Response) -> None:
        era = _era(response)
        if era > self.era:
            logs.event("store-era", era=era, known=self.era)
            self.era = era


def write_error(name: str, written: WriteResult) -> StoreError:
    """Return the error for a write that the store answered but rejected, other than a conflict."""
    status = written.status
    if status == TOO_MANY_REQUESTS:
        return StoreThrottledError(written.response.retry_after)
    if status == UNAVAILABLE:
        return StoreUnavailableError(f"{name}: status {status}")
    return StoreUnclearError(f"{name}: status {status}")


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _list_query(after: str, allow_stale: bool) -> str:
    query = {"after": after} if after else {}
    if allow_stale:
        query["allowStale"] = "1"
    return f"?{urlencode(query, quote_via=quote, safe='')}" if query else ""


def _era(response: Response) -> int:
    text = (response.headers.getRawHeaders(STORE_ERA) or [b""])[0]
    return int(text) if text.isdigit() else 0


def _document(response: Response, path: str) -> dict[str, Any]:
    try:
        document = json.loads(response.body)
    except ValueError as error:
        raise StoreUnavailableError(f"{path}: malformed response: {error}") from None
    if not isinstance(document, dict):
        raise StoreUnavailableError(f"{path}: malformed response")
    return document


def _response_item(response: Response) -> Item | None:
    """Return the object in the response to a write, or None; many responses have none."""
    try:
        return _item(json.loads(response.body), _era(response))
    except ValueError:
        return None


def _item(document: Any, era: int, deleted: bool = False) -> Item | None:
    """Parse one object of a list or an event; return None if its envelope is malformed."""
    metadata = document.get("metadata") if isinstance(document, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return Item(name, revision, document.get("spec", {}), deleted, era)


def _list(page: dict[str, Any], field: str) -> list[Any]:
    items = page.get(field)
    if not isinstance(items, list):
        raise StoreUnavailableError(f"the response has no {field}")
    return items


def _integer(page: dict[str, Any], field: str) -> int:
    value = page.get(field)
    if not isinstance(value, int):
        raise StoreUnavailableError(f"the response has no {field}")
    return value


def _last_name(items: list[Any]) -> str:
    for each in reversed(items):
        item = _item(each, 0)
        if item is not None:
            return item.name
    raise StoreUnavailableError("a page has no valid object name to continue after")
