"""Values of the policy as the text of an input, and back; pure."""

import re
from enum import Enum
from typing import Any

__all__ = ["FieldKind", "read_text", "to_text"]


class FieldKind(Enum):
    """How a field is typed in."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    CHOICE = "choice"
    NAMES = "names"
    TABLE = "table"
    SPLIT = "split"


def to_text(value: Any, kind: FieldKind) -> str:
    """Return what an input shows for a value."""
    if value is None:
        return ""
    if kind is FieldKind.NAMES and isinstance(value, list):
        return ", ".join(map(str, value))
    if kind is FieldKind.TABLE and isinstance(value, dict):
        return "\n".join(f"{key} {item}" for key, item in value.items())
    if kind is FieldKind.SPLIT and _is_split(value):
        return "\n".join(f"{home}: {_shares_text(shares)}" for home, shares in value.items())
    return str(value)


def _is_split(value: Any) -> bool:
    return isinstance(value, dict) and all(isinstance(shares, dict) for shares in value.values())


def _shares_text(shares: dict[str, Any]) -> str:
    return ", ".join(f"{region} {share}" for region, share in shares.items())


def read_text(text: str, kind: FieldKind) -> Any:
    """Return the typed value; one that cannot be read stays text, which the check refuses."""
    stripped = text.strip()
    if kind is FieldKind.NAMES:
        return [part for part in re.split(r"[,\s]+", stripped) if part]
    if kind is FieldKind.TABLE:
        return _read_table(text)
    if kind is FieldKind.SPLIT:
        return _read_split(text)
    reader = {FieldKind.INTEGER: int, FieldKind.NUMBER: float}.get(kind)
    if reader is None:
        return stripped
    try:
        return reader(stripped)
    except ValueError:
        return stripped


def _read_table(text: str) -> dict[str, str] | str:
    result: dict[str, str] = {}
    for line in text.splitlines():
        parts = line.split()
        if not parts:
            continue
        if len(parts) != 2 or parts[0] in result:
            return text
        result[parts[0]] = parts[1]
    return result


def _read_split(text: str) -> dict[str, dict[str, float]] | str:
    result: dict[str, dict[str, float]] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        home, colon, rest = line.partition(":")
        shares = _read_shares(rest)
        if not colon or shares is None or home.strip() in result:
            return text
        result[home.strip()] = shares
    return result


def _read_shares(text: str) -> dict[str, float] | None:
    """Return the shares in ``region share, region share``; None if they cannot be read."""
    shares: dict[str, float] = {}
    for part in text.split(","):
        words = part.split()
        if len(words) != 2 or words[0] in shares:
            return None
        try:
            shares[words[0]] = float(words[1])
        except ValueError:
            return None
    return shares
