"""Differences between two JSON documents, and the comparison of two concurrent edits.

A document is what ``json.loads`` or ``model_dump(mode="json")`` returns. Objects are compared key
by key. Two lists of objects with the same length are compared item by item; other lists are
compared as a whole, because an inserted item shifts the index of every item after it.
"""

import copy
import json
from collections.abc import Iterator, Mapping, Sequence, Set
from dataclasses import dataclass
from enum import Enum
from typing import Any

__all__ = [
    "MISSING",
    "Change",
    "Comparison",
    "Conflict",
    "Missing",
    "apply_changes",
    "compare",
    "difference",
    "format_changes",
    "resolve",
]

Path = tuple[str | int, ...]


class Missing(Enum):
    """The value of a path that is not in a document."""

    MISSING = "missing"


MISSING = Missing.MISSING


@dataclass(frozen=True, slots=True)
class Change:
    """A path whose value differs.

    Attributes
    ----------
    path : tuple of str or int
        Keys and list indices from the root of the document.
    before, after : object
        JSON values; ``MISSING`` if the path is not in the document.
    """

    path: Path
    before: Any
    after: Any

    @property
    def name(self) -> str:
        """The path as written in faults, such as ``services.booking.rules.0.path``."""
        return ".".join(str(part) for part in self.path) or "(document)"

    def __str__(self) -> str:
        if self.before is MISSING:
            return f"+ {self.name}: {_format_json(self.after)}"
        if self.after is MISSING:
            return f"- {self.name}: {_format_json(self.before)}"
        return f"~ {self.name}: {_format_json(self.before)} -> {_format_json(self.after)}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two edits that set the same path, or a path and a part of it, to different values."""

    mine: Change
    theirs: Change


@dataclass(frozen=True, slots=True)
class Comparison:
    """The changes of two edits of the same base.

    Attributes
    ----------
    mine, theirs : tuple of Change
        The changes of each edit against the base.
    conflicts : tuple of Conflict
        The pairs of changes that cannot both be applied.
    merged : dict or None
        The base with both edits; None if there is a conflict. An operator must confirm it, because
        edits of different paths may still contradict each other.
    """

    mine: tuple[Change, ...]
    theirs: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]
    merged: dict[str, Any] | None


def difference(before: Any, after: Any) -> list[Change]:
    """Return the changes from ``before`` to ``after``, ordered by path."""
    return list(_differences((), before, after))


def compare(base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]) -> Comparison:
    """Compare two documents that were both edited from ``base``."""
    my_changes = difference(base, mine)
    their_changes = difference(base, theirs)
    conflicts = tuple(
        Conflict(my_change, their_change)
        for my_change in my_changes
        for their_change in their_changes
        if _is_conflict(my_change, their_change)
    )
    merged = None if conflicts else apply_changes(theirs, my_changes)
    return Comparison(tuple(my_changes), tuple(their_changes), conflicts, merged)


def apply_changes(document: dict[str, Any], changes: Sequence[Change]) -> dict[str, Any]:
    """Return a copy of ``document`` with each path set to its ``after`` value."""
    result = copy.deepcopy(document)
    for change in changes:
        parent: Any = result
        for part in change.path[:-1]:
            parent = parent[part]
        if change.after is MISSING:
            parent.pop(change.path[-1], None)
        else:
            parent[change.path[-1]] = copy.deepcopy(change.after)
    return result


def resolve(
    comparison: Comparison, mine: dict[str, Any], theirs: dict[str, Any], keep_mine: Set[int]
) -> dict[str, Any]:
    """Apply my edits to their document, and decide each conflict.

    Parameters
    ----------
    keep_mine : set of int
        Indices into ``comparison.conflicts`` where my edit is kept; elsewhere theirs is kept.
    """
    conflicting_paths = {conflict.mine.path for conflict in comparison.conflicts}
    result = apply_changes(theirs, [c for c in comparison.mine if c.path not in conflicting_paths])
    for index in sorted(keep_mine):
        conflict = comparison.conflicts[index]
        # If one edit replaced a whole object, the path of a part may no longer exist in it.
        path = min(conflict.mine.path, conflict.theirs.path, key=len)
        result = apply_changes(result, [Change(path, MISSING, _value_at(mine, path))])
    return result


def _value_at(document: Any, path: Path) -> Any:
    value = document
    for part in path:
        if isinstance(value, Mapping):
            value = value.get(part, MISSING)
        elif isinstance(value, list) and isinstance(part, int) and part < len(value):
            value = value[part]
        else:
            return MISSING
    return value


def format_changes(changes: Sequence[Change]) -> str:
    """Return one line for each change: ``+`` added, ``-`` removed, ``~`` modified."""
    return "\n".join(str(change) for change in changes)


def _differences(path: Path, before: Any, after: Any) -> Iterator[Change]:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in sorted({*before, *after}):
            old = before.get(key, MISSING)
            new = after.get(key, MISSING)
            yield from _differences((*path, key), old, new)
    elif _are_comparable_lists(before, after):
        for index, (old, new) in enumerate(zip(before, after, strict=True)):
            yield from _differences((*path, index), old, new)
    elif not _is_equal(before, after):
        yield Change(path, before, after)


def _are_comparable_lists(before: Any, after: Any) -> bool:
    if not isinstance(before, list) or not isinstance(after, list):
        return False
    if len(before) != len(after):
        return False
    return all(isinstance(item, Mapping) for item in (*before, *after))


def _is_equal(before: Any, after: Any) -> bool:
    # True == 1 in Python, but they are different JSON values.
    return isinstance(before, bool) == isinstance(after, bool) and bool(before == after)


def _is_conflict(mine: Change, theirs: Change) -> bool:
    common = min(len(mine.path), len(theirs.path))
    if mine.path[:common] != theirs.path[:common]:
        return False
    is_same_edit = mine.path == theirs.path and _is_equal(mine.after, theirs.after)
    return not is_same_edit


def _format_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, sort_keys=True)
