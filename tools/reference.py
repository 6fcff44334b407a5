"""Generate the reference pages from the code, or check that they are up to date.

``python tools/reference.py --write`` writes ``docs/SETTINGS.md``, ``POLICY.md``,
``RESULT-CODES.md``, ``EXIT-CODES.md``, ``METRICS.md`` and ``LOG-EVENTS.md``; without ``--write`` it
lists the outdated pages and exits with 1 if there are any.
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

__all__ = ["PAGES", "outdated_pages", "write_pages"]

Schema = dict[str, Any]

NOTICE = "Generated from the code by `python tools/reference.py --write`; a test compares them."


def _markdown_table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> list[str]:
    columns = list(head)
    lines = [f"| {' | '.join(columns)} |", "|" + "---|" * len(columns)]
    for row in rows:
        cells = [str(cell).replace("|", "\\|") for cell in row]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def _page(title: str, *sections: list[str]) -> str:
    lines = [f"# {title}", "", NOTICE, ""]
    for section in sections:
        lines += [*section, ""]
    return "\n".join(lines).rstrip() + "\n"


def settings_page() -> str:
    """Return ``docs/SETTINGS.md``."""
    sections = [
        ["Settings are JSON files. Unknown keys are rejected; each error is reported by path."]
    ]
    for module in (settings, limitsettings, processsettings, gatewaysettings):
        for name in module.__all__:
            model = getattr(module, name)
            if isinstance(model, type) and issubclass(model, BaseModel):
                sections.append(_model_section(name, model.model_json_schema(), model))
    return _page("Settings", *sections)


def policy_page() -> str:
    """Return ``docs/POLICY.md``."""
    schema = PolicyDocument.model_json_schema()
    intro = [
        "The policy is one JSON document. `briarspur check FILE` reports every error by its path. "
        "Tables are keyed by name: 1 to 63 characters of `a-z`, `0-9` and `-`.",
    ]
    sections = [intro, _model_section("PolicyDocument", schema, PolicyDocument)]
    for name, definition in schema["$defs"].items():
        if "properties" in definition:
            sections.append(_schema_section(name, definition, definition.get("description", "")))
    return _page("Policy", *sections)


def codes_page() -> str:
    """Return ``docs/RESULT-CODES.md``."""
    head = ("number", "name", "HTTP status", "was it run?", "may the caller repeat?", "meaning")
    rows = [
        (int(code), code.name, info.http_status, info.ran.value, info.repeat.value, info.meaning)
        for code, info in sorted(CODES.items())
    ]
    intro = [
        "Every response of an entry has its code in the header `Briarspur-Code`. 1xxx: answered; "
        "2xxx: refused, not run unless the row says otherwise; 3xxx: a once-only request whose "
        "outcome is unknown; 4xxx: an idempotent request without a complete response; 5xxx: an "
        "error in briarspur. Numbers are never reused with another meaning.",
    ]
    return _page("Result codes", intro, _markdown_table(head, rows))


def exits_page() -> str:
    """Return ``docs/EXIT-CODES.md``."""
    rows = [(int(code), code.name, meaning) for code, meaning in sorted(EXIT_MEANINGS.items())]
    intro = ["Exit codes of the command line `briarspur`. Daemons exit with 0, 1 or 2."]
    return _page("Exit codes", intro, _markdown_table(("code", "name", "meaning"), rows))


def metrics_page() -> str:
    """Return ``docs/METRICS.md``."""
    intro = [
        "Sent over statsd, one UDP datagram per value. The name consists of the prefix from the "
        "settings, the metric and, where the meaning says `by`, a label, separated by dots.",
    ]
    rows = [(f"`{name}`", meaning) for name, meaning in sorted(METRICS.items())]
    gateway_intro = [
        "A gateway serves its own metrics at `/metrics` of its ready and look-up addresses, in the "
        "Prometheus text format, each with the prefix `briarspur_`.",
    ]
    served_rows = [(f"`{name}`", meaning) for name, meaning in sorted(GATEWAY_METRICS.items())]
    head = ("metric", "type and meaning")
    return _page(
        "Metrics",
        intro,
        _markdown_table(head, rows),
        gateway_intro,
        _markdown_table(head, served_rows),
    )


def events_page() -> str:
    """Return ``docs/LOG-EVENTS.md``."""
    intro = ["Each event is one line of key=value pairs on standard output; `event` is the name."]
    rows = [(f"`{name}`", meaning) for name, meaning in sorted(EVENTS.items())]
    return _page("Log events", intro, _markdown_table(("event", "meaning"), rows))


PAGES: dict[str, Callable[[], str]] = {
    "SETTINGS.md": settings_page,
    "POLICY.md": policy_page,
    "RESULT-CODES.md": codes_page,
    "EXIT-CODES.md": exits_page,
    "METRICS.md": metrics_page,
    "LOG-EVENTS.md": events_page,
}


def _model_section(name: str, schema: Schema, model: type[BaseModel]) -> list[str]:
    return _schema_section(name, schema, (model.__doc__ or "").strip())


def _schema_section(name: str, schema: Schema, text: str) -> list[str]:
    required = schema.get("required", [])
    rows = [
        (
            f"`{key}`",
            _describe_type(field),
            "required" if key in required else f"`{_format_default(field)}`",
            field.get("description", ""),
        )
        for key, field in schema.get("properties", {}).items()
    ]
    lines = [f"## {name}", "", text.splitlines()[0] if text else "", ""]
    return lines + _markdown_table(("key", "value", "default", "meaning"), rows)


def _format_default(field: Schema) -> str:
    return json.dumps(field.get("default"))


def _describe_type(field: Schema) -> str:
    """Describe the allowed values of a field."""
    if "$ref" in field:
        return _link(field["$ref"])
    if "anyOf" in field:
        return " or ".join(_describe_type(choice) for choice in field["anyOf"])
    if "enum" in field:
        return "one of " + ", ".join(f"`{value}`" for value in field["enum"])
    kind = field.get("type", "value")
    if kind == "array":
        return f"list of {_describe_type(field.get('items', {}))}"
    if kind == "object":
        return f"table of {_describe_table_value(field)}"
    return _describe_scalar(kind, field)


def _describe_table_value(field: Schema) -> str:
    value_schema = field.get("additionalProperties")
    patterns = field.get("patternProperties", {})
    if patterns:
        value_schema = next(iter(patterns.values()))
    return _describe_type(value_schema) if isinstance(value_schema, dict) else "values"


def _describe_scalar(kind: str, field: Schema) -> str:
    low = field.get("minimum", field.get("exclusiveMinimum"))
    high = field.get("maximum", field.get("exclusiveMaximum"))
    if low is not None and high is not None:
        return f"{kind}, {low} to {high}"
    if low is not None:
        return f"{kind}, at least {low}"
    if "pattern" in field:
        return f"{kind} matching `{field['pattern']}`"
    return str(kind)


def _link(target: str) -> str:
    name = target.rsplit("/", 1)[-1]
    return f"[{name}](#{name.lower()})"


def outdated_pages() -> list[str]:
    """Return the names of the pages in ``docs`` that are missing or outdated."""
    return [
        name
        for name, render in PAGES.items()
        if not (ROOT / "docs" / name).exists()
        or (ROOT / "docs" / name).read_text(encoding="utf-8") != render()
    ]


def write_pages() -> None:
    """Write every reference page."""
    for name, render in PAGES.items():
        (ROOT / "docs" / name).write_text(render(), encoding="utf-8")


def main() -> int:
    """Write or check the pages; return the exit code."""
    if "--write" in sys.argv[1:]:
        write_pages()
        return 0
    names = outdated_pages()
    for name in names:
        print(f"docs/{name} differs from the code: python tools/reference.py --write")
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main())
