"""State of the stand-in for the platform's store: objects, revisions and recent changes."""

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["PAGE_SIZE", "CallError", "Change", "Objects"]

PAGE_SIZE = 50
"""Maximum number of objects in one response to a list call."""
MAX_CHANGES = 2_000
"""A watch can start at any of the latest changes; earlier ones are dropped."""


class CallError(Exception):
    """An error response to a call, with its HTTP status."""

    def __init__(self, status: int, body: object = None) -> None:
        super().__init__(status)
        self.status = status
        self.body = body if body is not None else {"error": status}


@dataclass(frozen=True, slots=True)
class Change:
    """One write, or one deletion.

    Attributes
    ----------
    replaced : dict or None
        The object before; None if it was created.
    """

    revision: int
    kind: str
    deleted: bool
    item: dict[str, Any]
    at: float
    replaced: dict[str, Any] | None = None


@dataclass(slots=True)
class Objects:
    """Objects by kind and name, and the recent changes.

    Attributes
    ----------
    dropped_through : int
        Revision of the latest change that is no longer in ``changes``.
    era : int
        Incremented by each return from an older copy.
    """

    revision: int = 1
    by_kind: dict[str, dict[str, dict[str, Any]]] = field(default_factory=lambda: defaultdict(dict))
    changes: list[Change] = field(default_factory=list)
    dropped_through: int = 0
    era: int = 0
    clock: Callable[[], float] = time.monotonic

    def page(self, kind: str, after: str, stale_s: float = 0.0) -> dict[str, Any]:
        """Return a page of the objects of a kind, as they were ``stale_s`` seconds ago."""
        by_name = self._as_of(kind, stale_s)
        names = sorted(name for name in by_name if name > after)
        return {
            "items": [by_name[name] for name in names[:PAGE_SIZE]],
            "hasMore": len(names) > PAGE_SIZE,
            "storeRevision": self.revision,
        }

    def get(self, kind: str, name: str, stale_s: float = 0.0) -> dict[str, Any]:
        """Return an object, as it was ``stale_s`` seconds ago."""
        found = self._as_of(kind, stale_s).get(name)
        if found is None:
            raise CallError(404)
        return found

    def history(self, kind: str, name: str) -> list[Any]:
        """Return the recent values of an object, oldest first."""
        return [
            change.item["spec"]
            for change in self.changes
            if change.kind == kind and not change.deleted and _name(change.item) == name
        ]

    def _as_of(self, kind: str, stale_s: float) -> dict[str, dict[str, Any]]:
        if not stale_s:
            return self.by_kind[kind]
        found: dict[str, dict[str, Any]] = {}
        for change in self.changes:
            if change.kind != kind or change.at > self.clock() - stale_s:
                continue
            found.pop(_name(change.item), None)
            if not change.deleted:
                found[_name(change.item)] = change.item
        return found

    def events(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        if since < self.dropped_through or since > self.revision:
            raise CallError(410)
        return [
            {"deleted": change.deleted, "object": change.item}
            for change in self.changes
            if change.kind == kind and change.revision > since
        ]

    def create(self, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        """Create an object."""
        name = body.get("metadata", {}).get("name")
        if not isinstance(name, str) or not name:
            raise CallError(400)
        if name in self.by_kind[kind]:
            raise CallError(409, self.by_kind[kind][name])
        finalizers = body["metadata"].get("finalizers", [])
        return self._store(kind, name, body.get("spec"), body.get("status"), finalizers, None)

    def replace(
        self, kind: str, name: str, body: dict[str, Any], status: bool = False
    ) -> dict[str, Any]:
        """Replace the spec and finalizers, or the status, of an object."""
        old = self.get(kind, name)
        metadata = body.get("metadata", {})
        self.check_revision(old, metadata.get("revision"))
        finalizers = metadata.get("finalizers", old["metadata"]["finalizers"])
        if status:
            new = (old["spec"], body.get("status"), old["metadata"]["finalizers"])
        else:
            new = (body.get("spec"), old["status"], finalizers)
        if new == (old["spec"], old["status"], old["metadata"]["finalizers"]):
            return old
        stored = self._store(kind, name, *new, old["metadata"])
        if stored["metadata"]["deletionPending"] and not stored["metadata"]["finalizers"]:
            self._remove(kind, name)
        return stored

    def delete(self, kind: str, name: str, revision: int | None) -> None:
        """Delete an object; if it has finalizers, only mark it for deletion."""
        old = self.get(kind, name)
        self.check_revision(old, revision)
        if not old["metadata"]["finalizers"]:
            self._remove(kind, name)
            return
        marked = {**old["metadata"], "deletionPending": True}
        self._store(kind, name, old["spec"], old["status"], marked["finalizers"], marked)

    def drop_history(self) -> None:
        """Drop all recorded changes, so that older watches fail."""
        self.changes.clear()
        self.dropped_through = self.revision

    def count_since(self, age: float) -> int:
        """Return the number of changes in the last ``age`` seconds."""
        return sum(change.at > self.clock() - age for change in self.changes)

    def restore(self, lost: int) -> None:
        """Return from a copy without the latest ``lost`` changes, whose revisions are reused."""
        for _ in range(min(lost, len(self.changes))):
            change = self.changes.pop()
            self.revision = change.revision - 1
            if change.replaced is None:
                del self.by_kind[change.kind][_name(change.item)]
            else:
                self.by_kind[change.kind][_name(change.item)] = change.replaced
        self.era += 1

    @staticmethod
    def check_revision(old: dict[str, Any], revision: int | None) -> None:
        """Raise a conflict if the call expects another revision."""
        if revision is not None and revision != old["metadata"]["revision"]:
            raise CallError(409, old)

    def _store(
        self,
        kind: str,
        name: str,
        spec: Any,
        status: Any,
        finalizers: list[str],
        old: dict[str, Any] | None,
    ) -> dict[str, Any]:
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "finalizers": finalizers,
            "deletionPending": bool(old and old["deletionPending"]),
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        replaced = self.by_kind[kind].get(name)
        self.by_kind[kind][name] = item
        self._record_change(kind, False, item, replaced)
        return item

    def _remove(self, kind: str, name: str) -> None:
        self.revision += 1
        replaced = self.by_kind[kind].pop(name)
        item = {**replaced, "metadata": {**replaced["metadata"], "revision": self.revision}}
        self._record_change(kind, True, item, replaced)

    def _record_change(
        self, kind: str, deleted: bool, item: dict[str, Any], replaced: dict[str, Any] | None
    ) -> None:
        self.changes.append(Change(self.revision, kind, deleted, item, self.clock(), replaced))
        if len(self.changes) > MAX_CHANGES:
            self.dropped_through = self.changes.pop(0).revision


def _name(item: dict[str, Any]) -> str:
    return str(item["metadata"]["name"])
