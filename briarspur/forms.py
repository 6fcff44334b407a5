"""Map a draft of the policy document to form fields and back, without I/O.

Fields are named by their path in the document. A draft is the whole document as JSON values and
may be invalid. A page shows the fields of one section; the rest of the draft stays unchanged. Input
that cannot be parsed is kept in the draft as text, so that nothing is lost and the check of the
whole document reports it.
"""

import copy
import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from briarspur.errors import DocumentError, Fault
from briarspur.fieldtext import FieldKind, format_value, parse_text
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
    "locate_faults",
    "parse_draft",
    "section_of",
]

Draft = dict[str, Any]

VALIDATOR_MESSAGE_PREFIX = "Value error, "
PATH_AND_MESSAGE = re.compile(r"^([a-z_]+(?:\.[^:\s]+)*): (.+)$")


@dataclass(frozen=True, slots=True)
class Field:
    """A form input.

    Attributes
    ----------
    path : str
        Path of the value in the document, as used in faults.
    text : str
        Text that the input shows.
    choices : tuple of str
        Options of a selection field.
    """

    path: str
    label: str
    kind: FieldKind
    text: str
    choices: tuple[str, ...] = ()


class Section(Enum):
    """A page of the form; the value is its heading."""

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

FieldSpec = tuple[str, str, FieldKind, tuple[str, ...]]

TABLE_NAMES = ("services", "regions", "caps", "targets", "entries")

REQUEST_KINDS = tuple(kind.value for kind in RequestKind)
PRIORITIES = ("once_only", "interactive", "download", "bulk")
TARGET_STATES = tuple(state.value for state in TargetState)

SERVICE_FIELDS: tuple[FieldSpec, ...] = (
    ("path", "path", FieldKind.TEXT, ()),
    ("objective.good_share", "objective: share complete and in time", FieldKind.NUMBER, ()),
    ("objective.latency_ms", "objective: latency, ms", FieldKind.INTEGER, ()),
    ("split", "split, one 'home: region share, region share' per line", FieldKind.SPLIT, ()),
)
RULE_FIELDS: tuple[FieldSpec, ...] = (
    ("methods", "methods", FieldKind.NAMES, ()),
    ("path", "path below the service", FieldKind.TEXT, ()),
    ("kind", "kind", FieldKind.CHOICE, REQUEST_KINDS),
    ("deadline_ms", "deadline, ms", FieldKind.INTEGER, ()),
    ("priority", "priority", FieldKind.CHOICE, PRIORITIES),
)
REGION_FIELDS: tuple[FieldSpec, ...] = (
    ("zones", "availability zones", FieldKind.NAMES, ()),
    ("in_flight_limit", "maximum requests in flight", FieldKind.INTEGER, ()),
    ("link_bytes_per_s", "link bandwidth, bytes/s", FieldKind.INTEGER, ()),
    (
        "link_small_share",
        "share of the link reserved for non-download traffic",
        FieldKind.NUMBER,
        (),
    ),
    ("spill_to", "regions to spill over to, nearest first", FieldKind.NAMES, ()),
)
CAP_FIELDS: tuple[FieldSpec, ...] = (
    ("requests_per_window", "requests per window", FieldKind.INTEGER, ()),
    ("window_s", "window, s", FieldKind.NUMBER, ()),
)
TARGET_FIELDS: tuple[FieldSpec, ...] = (
    ("state", "state", FieldKind.CHOICE, TARGET_STATES),
    ("service", "service", FieldKind.TEXT, ()),
    ("zone", "zone", FieldKind.TEXT, ()),
    ("host", "IP address", FieldKind.TEXT, ()),
    ("port", "port", FieldKind.INTEGER, ()),
    ("slots", "slots", FieldKind.INTEGER, ()),
    ("connections", "connections", FieldKind.INTEGER, ()),
)
GENERAL_FIELDS: tuple[FieldSpec, ...] = (
    ("lookup_lifetime_s", "cache lifetime of look-ups, s", FieldKind.NUMBER, ()),
    ("key_lifetime_s", "retention of keys, s", FieldKind.NUMBER, ()),
    ("retry_share", "retries, as a share of first attempts", FieldKind.NUMBER, ()),
    ("blocks.default", "home region of all other callers", FieldKind.TEXT, ()),
    ("blocks.by_prefix", "home regions, one 'prefix region' per line", FieldKind.TABLE, ()),
)


def parse_draft(text: str) -> Draft:
    """Parse a draft from a hidden field or a text area; its values may still be invalid.

    Raises
    ------
    DocumentError
        The text is not a JSON object, or a part that the forms iterate over has the wrong type.
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
    """Yield a fault for each part of the wrong type, so that the forms need no type checks."""
    if not isinstance(draft, dict):
        yield Fault("(document)", "not a JSON object")
        return
    for root in TABLE_NAMES:
        table = draft.get(root, {})
        if not isinstance(table, dict) or not all(isinstance(v, dict) for v in table.values()):
            yield Fault(root, "not a table of objects")
    if not isinstance(draft.get("blocks", {}), dict):
        yield Fault("blocks", "not an object")
    if isinstance(draft.get("services"), dict):
        for name, service in draft["services"].items():
            yield from _service_shape_faults(f"services.{name}", service)


def _service_shape_faults(path: str, service: Any) -> Iterator[Fault]:
    if not isinstance(service, dict):
        return
    rules = service.get("rules", [])
    if not isinstance(rules, list) or not all(isinstance(rule, dict) for rule in rules):
        yield Fault(f"{path}.rules", "not a list of objects")
    if not isinstance(service.get("objective", {}), dict):
        yield Fault(f"{path}.objective", "not an object")


def fields_of(draft: Draft, section: Section) -> dict[str, list[Field]]:
    """Return the fields of a section, grouped by the path of their object."""
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
    names: Iterable[str] = _table(draft, root)
    if section is Section.CAPS:
        names = [kind.value for kind in ShiftKind]
    return {f"{root}.{name}": _fields(draft, f"{root}.{name}", specs) for name in names}


def choose_groups(
    groups: Mapping[str, list[Field]], fault_paths: Iterable[str], search_text: str, max_groups: int
) -> dict[str, list[Field]]:
    """Return at most ``max_groups`` groups: those with faults first, then those that match.

    Parameters
    ----------
    fault_paths : iterable of str
        Paths of faults. Their groups come first, so that neither the maximum nor the search
        hides them.
    search_text : str
        Substring of the path or of a field's text; empty matches all.
    """
    faulty_names = {
        name for name in groups for path in fault_paths if f"{path}.".startswith(f"{name}.")
    }
    matching = [
        name
        for name, fields in groups.items()
        if name in faulty_names
        or search_text in name
        or any(search_text in field.text for field in fields)
    ]
    matching.sort(key=lambda name: name not in faulty_names)
    return {name: groups[name] for name in matching[:max_groups]}


def apply_fields(draft: Draft, submitted: Mapping[str, str]) -> Draft:
    """Return a copy of the draft with the submitted fields applied; ignore unknown fields."""
    result = copy.deepcopy(draft)
    for section in SECTIONS:
        for fields in fields_of(draft, section).values():
            for field in fields:
                if field.path in submitted and submitted[field.path] != field.text:
                    _set(result, field.path, parse_text(submitted[field.path], field.kind))
    return result


def section_of(path: str) -> Section:
    """Return the section whose page shows a path."""
    return SECTION_BY_ROOT.get(path.split(".")[0], Section.GENERAL)


def locate_faults(faults: Iterable[Fault]) -> list[Fault]:
    """Return the faults, with those of the whole document moved to the fields that they name."""
    result: list[Fault] = []
    for fault in faults:
        if not fault.message.startswith(VALIDATOR_MESSAGE_PREFIX):
            result.append(fault)
            continue
        for part in fault.message.removeprefix(VALIDATOR_MESSAGE_PREFIX).split("; "):
            match = PATH_AND_MESSAGE.match(part)
            result.append(Fault(*match.groups()) if match else Fault(fault.path, part))
    return result


def _service_fields(draft: Draft) -> dict[str, list[Field]]:
    result: dict[str, list[Field]] = {}
    for name, service in _table(draft, "services").items():
        result[f"services.{name}"] = _fields(draft, f"services.{name}", SERVICE_FIELDS)
        for index in range(len(service.get("rules", []))):
            path = f"services.{name}.rules.{index}"
            result[path] = _fields(draft, path, RULE_FIELDS)
    return result


def _fields(draft: Draft, root: str, specs: Iterable[FieldSpec]) -> list[Field]:
    fields = []
    for name, label, kind, choices in specs:
        path = f"{root}.{name}" if root else name
        fields.append(Field(path, label, kind, format_value(_get(draft, path), kind), choices))
    return fields


def _table(draft: Draft, root: str) -> dict[str, Any]:
    table: dict[str, Any] = draft.get(root, {})
    return table


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
