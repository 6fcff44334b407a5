"""Tests of forms over a draft: fields, additions, removals and the paths of faults."""

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.edits import add, move_rule_up, remove
from briarspur.errors import DocumentError
from briarspur.forms import (
    SECTIONS,
    Section,
    apply_fields,
    choose_groups,
    fields_of,
    locate_faults,
    parse_draft,
)
from briarspur.policy import parse_policy
from briarspur.porcelain import as_json, check
from tests.examples import small_policy


def draft() -> dict[str, Any]:
    return as_json(parse_policy(json.dumps(small_policy())))


def fault_paths(document: dict[str, Any]) -> list[str]:
    return [fault.path for fault in locate_faults(check(json.dumps(document)).faults)]


class FormsTest(unittest.TestCase):
    """Input is parsed by field kind; input that cannot be parsed is kept and reported."""

    def test_submitting_an_unchanged_form_changes_nothing(self) -> None:
        for section in SECTIONS:
            groups = fields_of(draft(), section)
            submitted = {f.path: f.text for fields in groups.values() for f in fields}
            self.assertEqual(apply_fields(draft(), submitted), draft())

    def test_submitted_values_are_parsed_by_field_kind(self) -> None:
        submitted = {
            "services.times.rules.0.methods": "GET, POST",
            "services.times.rules.0.deadline_ms": " 900 ",
            "regions.north.link_small_share": "0.5",
            "targets.times-north-1.state": "leaving",
            "services.times.split": "north: north 0.75, south 0.25\r\n",
            "blocks.by_prefix": "10.2.0.0/16 south\r\n10.3.0.0/16 north\r\n",
        }
        changed = apply_fields(draft(), submitted)
        rule = changed["services"]["times"]["rules"][0]
        self.assertEqual((rule["methods"], rule["deadline_ms"]), (["GET", "POST"], 900))
        self.assertEqual(len(changed["blocks"]["by_prefix"]), 2)
        split = {"north": {"north": 0.75, "south": 0.25}}
        self.assertEqual(changed["services"]["times"]["split"], split)
        self.assertEqual(apply_fields(changed, submitted), changed)
        self.assertEqual(fault_paths(changed), [])

    def test_each_fault_names_its_field_and_invalid_input_is_kept(self) -> None:
        submitted = {
            "services.times.rules.0.deadline_ms": "soon",
            "regions.north.in_flight_limit": "-3",
            "blocks.by_prefix": "10.2.0.0/16",
            "services.booking.split": "north: south half",
        }
        changed = apply_fields(draft(), submitted)
        expected = [
            "regions.north.in_flight_limit",
            "services.times.rules.0.deadline_ms",
            "services.booking.split",
            "blocks.by_prefix",
        ]
        self.assertEqual(fault_paths(changed), expected)
        texts = {
            f.path: f.text for f in fields_of(changed, Section.SERVICES)["services.times.rules.0"]
        }
        self.assertEqual(texts["services.times.rules.0.deadline_ms"], "soon")

    def test_a_fault_of_the_whole_document_is_moved_to_the_field_it_names(self) -> None:
        changed = apply_fields(draft(), {"targets.times-north-1.zone": "nowhere"})
        self.assertEqual(fault_paths(changed), ["targets.times-north-1.zone"])

    def test_a_large_section_is_truncated_but_groups_with_faults_are_shown(self) -> None:
        groups = fields_of(draft(), Section.TARGETS)
        paths = ["targets.times-south-2.port"]
        shown = choose_groups(groups, paths, "booking", 3)
        self.assertEqual(next(iter(shown)), "targets.times-south-2")
        self.assertEqual(len(shown), 3)
        self.assertEqual(list(choose_groups(groups, [], "9111", 9)), ["targets.booking-south-2"])

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(apply_fields(draft(), {"user": "x", "a.b": "c"}), draft())


NAMES = st.sampled_from(["times", "north", "rules", "path", "objective", "0", "planned", "x.y", ""])
LEAVES = st.none() | st.booleans() | st.integers() | st.text(max_size=3) | st.floats()
VALUES = st.recursive(
    LEAVES, lambda inner: st.lists(inner, max_size=2) | st.dictionaries(NAMES, inner, max_size=3)
)
ROOTS = ("services", "regions", "caps", "targets", "entries", "blocks", "user")


class AnyDraftTest(unittest.TestCase):
    """A browser can submit any text as a draft; the forms show or reject it without an error."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(st.dictionaries(st.sampled_from(ROOTS), VALUES), st.sampled_from(ROOTS))
    def test_any_draft_is_shown_or_rejected(self, document: dict[str, Any], root: str) -> None:
        try:
            draft = parse_draft(json.dumps(document))
        except DocumentError:
            return
        for section in SECTIONS:
            groups = fields_of(draft, section)
            submitted = {f.path: "7" for fields in groups.values() for f in fields}
            locate_faults(check(json.dumps(apply_fields(draft, submitted))).faults)
        for path in (root, f"{root}.times", f"{root}.times.rules", f"{root}.times.rules.0"):
            for operation in (remove, move_rule_up):
                operation(draft, path)
            add(draft, path, "new")


class EditsTest(unittest.TestCase):
    """Adding, moving and removing objects and rules."""

    def test_objects_and_rules_are_added_moved_and_removed(self) -> None:
        changed = add(draft(), "services", "fares").ok
        changed = add(changed, "services.fares.rules", "").ok
        changed["services"]["fares"]["rules"][1]["path"] = "/x"
        changed = move_rule_up(changed, "services.fares.rules.1").ok
        self.assertEqual(changed["services"]["fares"]["rules"][0]["path"], "/x")
        self.assertEqual(fault_paths(changed), [])
        changed = remove(changed, "services.fares.rules.0").ok
        self.assertEqual(len(changed["services"]["fares"]["rules"]), 1)
        self.assertEqual(remove(changed, "services.fares").ok, draft())
        for root in ("regions", "targets", "entries"):
            self.assertIn("new-1", add(draft(), root, "new-1").ok[root])

    def test_invalid_operations_are_rejected(self) -> None:
        for root, name in (
            ("services", "times"),
            ("services", "a.b"),
            ("services", ""),
            ("user", "x"),
            ("services.nowhere.rules", ""),
        ):
            with self.subTest(root=root, name=name):
                self.assertTrue(add(draft(), root, name).is_error())
        for path in ("services.x", "user", "services.times.rules.7", "services.times.rules.x"):
            self.assertTrue(remove(draft(), path).is_error())
        self.assertTrue(move_rule_up(draft(), "services.times.rules.0").is_error())
