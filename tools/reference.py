"""Write the reference pages from the code, or check that they equal it.

``python tools/reference.py --write`` writes ``docs/SETTINGS.md``, ``POLICY.md``,
``RESULT-CODES.md``, ``EXIT-CODES.md``, ``METRICS.md`` and ``LOG-EVENTS.md``; without ``--write`` it
names the pages that differ and exits with 1.
"""

import json
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from pydantic import BaseModel  # noqa: E402

from briarspur import limitsettings, processsettings, settings  # noqa: E402
from briarspur.codes import CODES  # noqa: E402
from briarspur.exits import EXIT_MEANINGS  # noqa: E402
from briarspur.gateway import settings as gatewaysettings  # noqa: E402
from briarspur.gateway.exposition import GATEWAY_METRICS  # noqa: E402
from briarspur.logs import EVENTS  # noqa: E402
from briarspur.metrics import METRICS  # noqa: E402
from briarspur.policy import PolicyDocument  # noqa: E402

__all__ = ["PAGES", "differing", "write"]

Schema = dict[str, Any]

NOTICE = "Made from the code by `python tools/reference.py --write`; a test keeps it equal."


def _table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> list[str]:
    columns = list(head)
    lines = [f"| {' | '.join(columns)} |", "|" + "---|" * len(columns)]
    for row in rows:
        cells = [str(cell).replace("|", "\\|") for cell in row]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def _page(title: str, *parts: list[str]) -> str:
    lines = [f"# {title}", "", NOTICE, ""]
    for part in parts:
        lines += [*part, ""]
    return "\n".join(lines).rstrip() + "\n"


def settings_page() -> str:
    """Return ``docs/SETTINGS.md``."""
    parts = [
        ["Settings are JSON files. Unknown keys are refused; each fault is named by its path."]
    ]
    for module in (settings, limitsettings, processsettings, gatewaysettings):
        for name in module.__all__:
            model = getattr(module, name)
            if isinstance(model, type) and issubclass(model, BaseModel):
                parts.append(_model_part(name, model.model_json_schema(), model))
    return _page("Settings", *parts)


def policy_page() -> str:
    """Return ``docs/POLICY.md``."""
    schema = PolicyDocument.model_json_schema()
    intro = [
        "The policy is one JSON document. `briarspur check FILE` names every fault by its path. "
        "Tables are keyed by name: 1 to 63 of `a-z`, `0-9` and `-`.",
    ]
    parts = [intro, _model_part("PolicyDocument", schema, PolicyDocument)]
    for name, inner in schema["$defs"].items():
        if "properties" in inner:
            parts.append(_schema_part(name, inner, inner.get("description", "")))
    return _page("Policy", *parts)


def codes_page() -> str:
    """Return ``docs/RESULT-CODES.md``."""
    head = ("number", "name", "HTTP status", "was it run?", "may the caller repeat?", "meaning")
    rows = [
        (int(code), code.name, info.http_status, info.ran.value, info.repeat.value, info.meaning)
        for code, info in sorted(CODES.items())
    ]
    intro = [
        "Every answer of an entry carries its code in the header `Briarspur-Code`. 1xxx: answered; "
        "2xxx: refused, not run unless the row says otherwise; 3xxx: a once-only request whose "
        "outcome is unknown; 4xxx: an idempotent request without a whole answer; 5xxx: a fault of "
        "briarspur. Numbers are never given a new meaning.",
    ]
    return _page("Result codes", intro, _table(head, rows))


def exits_page() -> str:
    """Return ``docs/EXIT-CODES.md``."""
    rows = [(int(code), code.name, meaning) for code, meaning in sorted(EXIT_MEANINGS.items())]
    intro = ["Of the command line `briarspur`. Daemons end with 0, 1 or 2."]
    return _page("Exit codes", intro, _table(("code", "name", "meaning"), rows))


def metrics_page() -> str:
    """Return ``docs/METRICS.md``."""
    intro = [
        "Sent over statsd, one UDP datagram a value. The name is the settings' prefix, the metric "
        "and, where the meaning says `by`, a label, with points between.",
    ]
    rows = [(f"`{name}`", meaning) for name, meaning in sorted(METRICS.items())]
    gateway = [
        "A gateway serves its own at `/metrics` of its ready and look-up addresses, in the text "
        "form that scrapers read, each with the prefix `briarspur_`.",
    ]
    served = [(f"`{name}`", meaning) for name, meaning in sorted(GATEWAY_METRICS.items())]
    head = ("metric", "type and meaning")
    return _page("Metrics", intro, _table(head, rows), gateway, _table(head, served))


def events_page() -> str:
    """Return ``docs/LOG-EVENTS.md``."""
    intro = ["One line of key=value pairs an event, on standard output; `event` is the name."]
    rows = [(f"`{name}`", meaning) for name, meaning in sorted(EVENTS.items())]
    return _page("Log events", intro, _table(("event", "meaning"), rows))


PAGES: dict[str, Callable[[], str]] = {
    "SETTINGS.md": settings_page,
    "POLICY.md": policy_page,
    "RESULT-CODES.md": codes_page,
    "EXIT-CODES.md": exits_page,
    "METRICS.md": metrics_page,
    "LOG-EVENTS.md": events_page,
}


def _model_part(name: str, schema: Schema, model: type[BaseModel]) -> list[str]:
    return _schema_part(name, schema, (model.__doc__ or "").strip())


def _schema_part(name: str, schema: Schema, text: str) -> list[str]:
    required = schema.get("required", [])
    rows = [
        (
            f"`{key}`",
            _type(field),
            "required" if key in required else f"`{_default(field)}`",
            field.get("description", ""),
        )
        for key, field in schema.get("properties", {}).items()
    ]
    lines = [f"## {name}", "", text.splitlines()[0] if text else "", ""]
    return lines + _table(("key", "value", "default", "meaning"), rows)


def _default(field: Schema) -> str:
    return json.dumps(field.get("default"))


def _type(field: Schema) -> str:
    """Return what a value may be, in words."""
    if "$ref" in field:
        return _reference(field["$ref"])
    if "anyOf" in field:
        return " or ".join(_type(choice) for choice in field["anyOf"])
    if "enum" in field:
        return "one of " + ", ".join(f"`{value}`" for value in field["enum"])
    kind = field.get("type", "value")
    if kind == "array":
        return f"list of {_type(field.get('items', {}))}"
    if kind == "object":
        return f"table of {_table_value(field)}"
    return _scalar(kind, field)


def _table_value(field: Schema) -> str:
    inner = field.get("additionalProperties")
    patterns = field.get("patternProperties", {})
    if patterns:
        inner = next(iter(patterns.values()))
    return _type(inner) if isinstance(inner, dict) else "values"


def _scalar(kind: str, field: Schema) -> str:
    low = field.get("minimum", field.get("exclusiveMinimum"))
    high = field.get("maximum", field.get("exclusiveMaximum"))
    if low is not None and high is not None:
        return f"{kind}, {low} to {high}"
    if low is not None:
        return f"{kind}, at least {low}"
    if "pattern" in field:
        return f"{kind} matching `{field['pattern']}`"
    return str(kind)


def _reference(target: str) -> str:
    name = target.rsplit("/", 1)[-1]
    return f"[{name}](#{name.lower()})"


def differing() -> list[str]:
    """Return the names of the pages in ``docs`` that do not equal the code."""
    return [
        name
        for name, make in PAGES.items()
        if not (ROOT / "docs" / name).exists()
        or (ROOT / "docs" / name).read_text(encoding="utf-8") != make()
    ]


def write() -> None:
    """Write every page."""
    for name, make in PAGES.items():
        (ROOT / "docs" / name).write_text(make(), encoding="utf-8")


def main() -> int:
    """Write or check; return the exit code."""
    if "--write" in sys.argv[1:]:
        write()
        return 0
    names = differing()
    for name in names:
        print(f"docs/{name} differs from the code: python tools/reference.py --write")
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main())
