"""Forms over the policy document: fields named by their path, and the draft they make; pure.

A draft is the whole document as JSON values, valid or not. A page shows the fields of one section;
what the page does not show stays in the draft as it was. A value that cannot be read stays in the
draft as it was typed, so that nothing is lost and the check of the whole names it.
"""

import copy
import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from briarspur.errors import DocumentError, Fault
from briarspur.fieldtext import FieldKind, read_text, to_text
from briarspur.messages import RequestKind, ShiftKind
from briarspur.policy import TargetState

__all__ = [
    "SECTIONS",
    "Field",
    "FieldKind",
    "Section",
    "apply_fields",
    "choose_groups",
    "fields_of",
    "located",
    "parse_draft",
    "section_of",
]

Draft = dict[str, Any]

MODEL_PREFIX = "Value error, "
FAULT_IN_MESSAGE = re.compile(r"^([a-z_]+(?:\.[^:\s]+)*): (.+)$")


@dataclass(frozen=True, slots=True)
class Field:
    """One input.

    Attributes
    ----------
    path : str
        Where it is in the document, as faults name it.
    text : str
        What the input shows.
    choices : tuple of str
        What a choice offers.
    """

    path: str
    label: str
    kind: FieldKind
    text: str
    choices: tuple[str, ...] = ()


class Section(Enum):
    """One page of the form; the value is the heading."""

    SERVICES = "Services"
    REGIONS = "Regions and links"
    CAPS = "Caps on shifts"
    TARGETS = "Targets"
    ENTRIES = "Entries"
    GENERAL = "General"


SECTIONS = tuple(Section)

SECTION_BY_ROOT = {
    "services": Section.SERVICES,
    "regions": Section.REGIONS,
    "caps": Section.CAPS,
    "targets": Section.TARGETS,
    "entries": Section.ENTRIES,
}

Spec = tuple[str, str, FieldKind, tuple[str, ...]]

TABLES = ("services", "regions", "caps", "targets", "entries")

KINDS = tuple(kind.value for kind in RequestKind)
PRIORITIES = ("once_only", "interactive", "download", "bulk")
STATES = tuple(state.value for state in TargetState)

SERVICE_FIELDS: tuple[Spec, ...] = (
    ("path", "path", FieldKind.TEXT, ()),
    ("objective.good_share", "objective: share whole and in time", FieldKind.NUMBER, ()),
    ("objective.latency_ms", "objective: within ms", FieldKind.INTEGER, ()),
    ("split", "split, one 'home: region share, region share' a line", FieldKind.SPLIT, ()),
)
RULE_FIELDS: tuple[Spec, ...] = (
    ("methods", "methods", FieldKind.NAMES, ()),
    ("path", "path below", FieldKind.TEXT, ()),
    ("kind", "kind", FieldKind.CHOICE, KINDS),
    ("deadline_ms", "deadline ms", FieldKind.INTEGER, ()),
    ("priority", "priority", FieldKind.CHOICE, PRIORITIES),
)
REGION_FIELDS: tuple[Spec, ...] = (
    ("zones", "availability zones", FieldKind.NAMES, ()),
    ("in_flight_limit", "requests in flight, at most", FieldKind.INTEGER, ()),
    ("link_bytes_per_s", "link, bytes/s", FieldKind.INTEGER, ()),
    ("link_small_share", "share of the link kept free of downloads", FieldKind.NUMBER, ()),
    ("spill_to", "moves to, nearest first", FieldKind.NAMES, ()),
)
CAP_FIELDS: tuple[Spec, ...] = (
    ("requests_per_window", "requests in a window", FieldKind.INTEGER, ()),
    ("window_s", "window, s", FieldKind.NUMBER, ()),
)
TARGET_FIELDS: tuple[Spec, ...] = (
    ("state", "state", FieldKind.CHOICE, STATES),
    ("service", "service", FieldKind.TEXT, ()),
    ("zone", "zone", FieldKind.TEXT, ()),
    ("host", "IP number", FieldKind.TEXT, ()),
    ("port", "port", FieldKind.INTEGER, ()),
    ("slots", "slots", FieldKind.INTEGER, ()),
    ("connections", "connections", FieldKind.INTEGER, ()),
)
GENERAL_FIELDS: tuple[Spec, ...] = (
    ("lookup_lifetime_s", "look-ups are cached for, s", FieldKind.NUMBER, ()),
    ("key_lifetime_s", "keys are remembered for, s", FieldKind.NUMBER, ()),
    ("retry_share", "retries, as a part of first attempts", FieldKind.NUMBER, ()),
    ("blocks.default", "home region of other callers", FieldKind.TEXT, ()),
    ("blocks.by_prefix", "home regions, one 'prefix region' a line", FieldKind.TABLE, ()),
)


def parse_draft(text: str) -> Draft:
    """Return the draft in a hidden field or typed as text; its values may still be wrong.

    Raises
    ------
    DocumentError
        The text is no JSON object, or a part that forms go through is of another shape.
    """
    try:
        draft = json.loads(text)
    except ValueError as error:
        raise DocumentError("draft", [Fault("(document)", str(error))]) from None
    faults = list(_shape_faults(draft))
    if faults:
        raise DocumentError("draft", faults)
    assert isinstance(draft, dict)
    return draft


def _shape_faults(draft: Any) -> Iterator[Fault]:
    """Return a fault for each table that is none, so that the forms need not doubt them."""
    if not isinstance(draft, dict):
        yield Fault("(document)", "no JSON object")
        return
    for root in TABLES:
        table = draft.get(root, {})
        if not isinstance(table, dict) or not all(isinstance(v, dict) for v in table.values()):
            yield Fault(root, "no table of objects")
    if not isinstance(draft.get("blocks", {}), dict):
        yield Fault("blocks", "no object")
    if isinstance(draft.get("services"), dict):
        for name, service in draft["services"].items():
            yield from _service_shape_faults(f"services.{name}", service)


def _service_shape_faults(path: str, service: Any) -> Iterator[Fault]:
    if not isinstance(service, dict):
        return
    rules = service.get("rules", [])
    if not isinstance(rules, list) or not all(isinstance(rule, dict) for rule in rules):
        yield Fault(f"{path}.rules", "no list of objects")
    if not isinstance(service.get("objective", {}), dict):
        yield Fault(f"{path}.objective", "no object")


def fields_of(draft: Draft, section: Section) -> dict[str, list[Field]]:
    """Return the fields of a section by the path of the object they belong to."""
    if section is Section.GENERAL:
        return {"": _fields(draft, "", GENERAL_FIELDS)}
    if section is Section.SERVICES:
        return _service_fields(draft)
    root, specs = {
        Section.REGIONS: ("regions", REGION_FIELDS),
        Section.CAPS: ("caps", CAP_FIELDS),
        Section.TARGETS: ("targets", TARGET_FIELDS),
        Section.ENTRIES: ("entries", (("zone", "zone", FieldKind.TEXT, ()),)),
    }[section]
    names: Iterable[str] = _object(draft, root)
    if section is Section.CAPS:
        names = [kind.value for kind in ShiftKind]
    return {f"{root}.{name}": _fields(draft, f"{root}.{name}", specs) for name in names}


def choose_groups(
    groups: Mapping[str, list[Field]], paths: Iterable[str], find: str, limit: int
) -> dict[str, list[Field]]:
    """Return at most ``limit`` groups: those with a path of ``paths`` first, then those found.

    Parameters
    ----------
    paths : iterable of str
        Where faults are; a fault must not be hidden by the limit or the search.
    find : str
        Part of the path or of a field's text; empty finds all.
    """
    faulty = {name for name in groups for path in paths if f"{path}.".startswith(f"{name}.")}
    found = [
        name
        for name, fields in groups.items()
        if name in faulty or find in name or any(find in field.text for field in fields)
    ]
    found.sort(key=lambda name: name not in faulty)
    return {name: groups[name] for name in found[:limit]}


def apply_fields(draft: Draft, typed: Mapping[str, str]) -> Draft:
    """Return the draft with each typed field in its place; unknown fields are ignored."""
    result = copy.deepcopy(draft)
    for section in SECTIONS:
        for fields in fields_of(draft, section).values():
            for field in fields:
                if field.path in typed and typed[field.path] != field.text:
                    _set(result, field.path, read_text(typed[field.path], field.kind))
    return result


def section_of(path: str) -> Section:
    """Return the section that shows a path."""
    return SECTION_BY_ROOT.get(path.split(".")[0], Section.GENERAL)


def located(faults: Iterable[Fault]) -> list[Fault]:
    """Return the faults with those of the whole document put at the fields they name."""
    result: list[Fault] = []
    for fault in faults:
        if not fault.message.startswith(MODEL_PREFIX):
            result.append(fault)
            continue
        for part in fault.message.removeprefix(MODEL_PREFIX).split("; "):
            match = FAULT_IN_MESSAGE.match(part)
            result.append(Fault(*match.groups()) if match else Fault(fault.path, part))
    return result


def _service_fields(draft: Draft) -> dict[str, list[Field]]:
    result: dict[str, list[Field]] = {}
    for name, service in _object(draft, "services").items():
        result[f"services.{name}"] = _fields(draft, f"services.{name}", SERVICE_FIELDS)
        for index in range(len(service.get("rules", []))):
            path = f"services.{name}.rules.{index}"
            result[path] = _fields(draft, path, RULE_FIELDS)
    return result


def _fields(draft: Draft, root: str, specs: Iterable[Spec]) -> list[Field]:
    fields = []
    for name, label, kind, choices in specs:
        path = f"{root}.{name}" if root else name
        fields.append(Field(path, label, kind, to_text(_get(draft, path), kind), choices))
    return fields


def _object(draft: Draft, root: str) -> dict[str, Any]:
    found: dict[str, Any] = draft.get(root, {})
    return found


def _get(draft: Draft, path: str) -> Any:
    value: Any = draft
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def _set(draft: Draft, path: str, value: Any) -> None:
    parent: Any = draft
    *parts, last = path.split(".")
    for part in parts:
        parent = parent[int(part)] if isinstance(parent, list) else parent.setdefault(part, {})
    parent[last] = value
