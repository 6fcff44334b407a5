"""Differences of two JSON documents as typed changes, and the comparison of two racing edits.

A document is what ``json.loads`` or ``model_dump(mode="json")`` returns. Objects are compared key
by key. Lists of objects of one length are compared item by item; any other lists are compared
whole, because an item that was inserted shifts every index behind it.
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
    """The value of a path that a document does not have."""

    MISSING = "missing"


MISSING = Missing.MISSING


@dataclass(frozen=True, slots=True)
class Change:
    """One path whose value differs.

    Attributes
    ----------
    path : tuple of str or int
        Keys and list indices from the root of the document.
    before, after : object
        JSON values; ``MISSING`` if the document has no such path.
    """

    path: Path
    before: Any
    after: Any

    @property
    def name(self) -> str:
        """The path in the form that faults use, such as ``services.booking.rules.0.path``."""
        return ".".join(str(part) for part in self.path) or "(document)"

    def __str__(self) -> str:
        if self.before is MISSING:
            return f"+ {self.name}: {_json(self.after)}"
        if self.after is MISSING:
            return f"- {self.name}: {_json(self.before)}"
        return f"~ {self.name}: {_json(self.before)} -> {_json(self.after)}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two edits of the same path, or of a path and a part of it, to different values."""

    mine: Change
    theirs: Change


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two edits of one base, side by side.

    Attributes
    ----------
    mine, theirs : tuple of Change
        Every change of each edit against the base.
    conflicts : tuple of Conflict
        The pairs that cannot both hold.
    merged : dict or None
        The base with both edits; None if there is a conflict. It is a proposal: two edits that
        touch different paths may still contradict one another, so an operator confirms it.
    """

    mine: tuple[Change, ...]
    theirs: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]
    merged: dict[str, Any] | None


def difference(before: Any, after: Any) -> list[Change]:
    """Return the changes that lead from ``before`` to ``after``, ordered by path."""
    return list(_differences((), before, after))


def compare(base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]) -> Comparison:
    """Compare two documents that were both edited from ``base``."""
    my_changes = difference(base, mine)
    their_changes = difference(base, theirs)
    conflicts = tuple(
        Conflict(my_change, their_change)
        for my_change in my_changes
        for their_change in their_changes
        if _clash(my_change, their_change)
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
    """Return their document with my edits on top, and each conflict decided.

    Parameters
    ----------
    keep_mine : set of int
        Indices into ``comparison.conflicts`` at which my edit is kept; theirs is kept elsewhere.
    """
    clashing = {conflict.mine.path for conflict in comparison.conflicts}
    result = apply_changes(theirs, [c for c in comparison.mine if c.path not in clashing])
    for index in sorted(keep_mine):
        conflict = comparison.conflicts[index]
        # Where one edit replaced a whole object, a part of it has no place of its own.
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
    """Return one line for each change: ``+`` added, ``-`` removed, ``~`` another value."""
    return "\n".join(str(change) for change in changes)


def _differences(path: Path, before: Any, after: Any) -> Iterator[Change]:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in sorted({*before, *after}):
            old = before.get(key, MISSING)
            new = after.get(key, MISSING)
            yield from _differences((*path, key), old, new)
    elif _comparable_lists(before, after):
        for index, (old, new) in enumerate(zip(before, after, strict=True)):
            yield from _differences((*path, index), old, new)
    elif not _same(before, after):
        yield Change(path, before, after)


def _comparable_lists(before: Any, after: Any) -> bool:
    if not isinstance(before, list) or not isinstance(after, list):
        return False
    if len(before) != len(after):
        return False
    return all(isinstance(item, Mapping) for item in (*before, *after))


def _same(before: Any, after: Any) -> bool:
    # True == 1 in Python, yet they are different JSON values.
    return isinstance(before, bool) == isinstance(after, bool) and bool(before == after)


def _clash(mine: Change, theirs: Change) -> bool:
    shared = min(len(mine.path), len(theirs.path))
    if mine.path[:shared] != theirs.path[:shared]:
        return False
    same_edit = mine.path == theirs.path and _same(mine.after, theirs.after)
    return not same_edit


def _json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, sort_keys=True)
