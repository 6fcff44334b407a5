"""Tests of differences and concurrent edits."""

import copy
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.change import (
    MISSING,
    Change,
    apply_changes,
    compare,
    difference,
    format_changes,
    resolve,
)
from tests.examples import small_policy

KEYS = st.sampled_from(["a", "b", "c"])
LEAVES = st.one_of(st.integers(0, 2), st.booleans(), st.lists(st.integers(0, 2), max_size=2))
VALUES = st.recursive(LEAVES, lambda inner: st.dictionaries(KEYS, inner, max_size=3), max_leaves=8)
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=3)


def at(document: Any, path: tuple[Any, ...]) -> Any:
    for part in path:
        document = document.get(part, MISSING) if isinstance(document, dict) else MISSING
    return document


class DifferenceTest(unittest.TestCase):
    """Changes contain the path, the old value and the new value."""

    def test_each_kind_of_change_is_formatted(self) -> None:
        before = {"kept": 1, "gone": 2, "other": {"limit": 3}}
        after = {"kept": 1, "new": True, "other": {"limit": 4}}
        text = format_changes(difference(before, after))
        self.assertEqual(text, "- gone: 2\n+ new: true\n~ other.limit: 3 -> 4")

    def test_rules_are_compared_by_index(self) -> None:
        before = small_policy()
        after = copy.deepcopy(before)
        after["services"]["booking"]["rules"][1]["path"] = "/find"
        [change] = difference(before, after)
        self.assertEqual(change.name, "services.booking.rules.1.path")

    def test_true_is_not_one(self) -> None:
        self.assertEqual(difference({"a": 1}, {"a": True}), [Change(("a",), 1, True)])

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS, DOCUMENTS)
    def test_applying_the_difference_gives_the_other_document(
        self, before: dict[str, Any], after: dict[str, Any]
    ) -> None:
        result = apply_changes(before, difference(before, after))
        self.assertEqual(difference(result, after), [])


class CompareTest(unittest.TestCase):
    """Two operators edit the same version concurrently."""

    def test_different_edits_of_one_field_are_a_conflict(self) -> None:
        comparison = compare({"limit": 1}, {"limit": 2}, {"limit": 3})
        [conflict] = comparison.conflicts
        self.assertEqual((conflict.mine.after, conflict.theirs.after), (2, 3))
        self.assertIsNone(comparison.merged)

    def test_removing_an_object_that_the_other_edits_is_a_conflict(self) -> None:
        base = {"targets": {"t1": {"slots": 3}}}
        comparison = compare(base, {"targets": {}}, {"targets": {"t1": {"slots": 4}}})
        [conflict] = comparison.conflicts
        self.assertIs(conflict.mine.after, MISSING)

    def test_the_same_edit_twice_is_not_a_conflict(self) -> None:
        self.assertEqual(compare({"a": 1}, {"a": 2}, {"a": 2}).merged, {"a": 2})

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_a_resolution_keeps_what_was_chosen(
        self, base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]
    ) -> None:
        comparison = compare(base, mine, theirs)
        every = set(range(len(comparison.conflicts)))
        kept_mine = resolve(comparison, mine, theirs, every)
        for conflict in comparison.conflicts:
            self.assertEqual(at(kept_mine, conflict.mine.path), conflict.mine.after)
        kept_theirs = resolve(comparison, mine, theirs, set())
        for conflict in comparison.conflicts:
            self.assertEqual(at(kept_theirs, conflict.theirs.path), conflict.theirs.after)
        if not comparison.conflicts:
            self.assertEqual(kept_theirs, comparison.merged)

    @settings(derandomize=True, deadline=None, database=None)
    @given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_no_edit_is_lost(
        self, base: dict[str, Any], mine: dict[str, Any], theirs: dict[str, Any]
    ) -> None:
        comparison = compare(base, mine, theirs)
        if comparison.merged is None:
            self.assertTrue(comparison.conflicts)
            return
        for change in (*comparison.mine, *comparison.theirs):
            self.assertEqual(at(comparison.merged, change.path), change.after)
