"""Convert policy values to the text of form inputs and back, without I/O."""

import re
from enum import Enum
from typing import Any

__all__ = ["FieldKind", "format_value", "parse_text"]


class FieldKind(Enum):
    """Input format of a form field."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    CHOICE = "choice"
    NAMES = "names"
    TABLE = "table"
    SPLIT = "split"


def format_value(value: Any, kind: FieldKind) -> str:
    """Return the text that an input shows for a value."""
    if value is None:
        return ""
    if kind is FieldKind.NAMES and isinstance(value, list):
        return ", ".join(map(str, value))
    if kind is FieldKind.TABLE and isinstance(value, dict):
        return "\n".join(f"{key} {item}" for key, item in value.items())
    if kind is FieldKind.SPLIT and _is_split(value):
        return "\n".join(f"{home}: {_format_shares(shares)}" for home, shares in value.items())
    return str(value)


def _is_split(value: Any) -> bool:
    return isinstance(value, dict) and all(isinstance(shares, dict) for shares in value.values())


def _format_shares(shares: dict[str, Any]) -> str:
    return ", ".join(f"{region} {share}" for region, share in shares.items())


def parse_text(text: str, kind: FieldKind) -> Any:
    """Parse the text of an input.

    Text that cannot be parsed is returned as it is; the policy check then rejects it.
    """
    stripped = text.strip()
    if kind is FieldKind.NAMES:
        return [part for part in re.split(r"[,\s]+", stripped) if part]
    if kind is FieldKind.TABLE:
        return _parse_table(text)
    if kind is FieldKind.SPLIT:
        return _parse_split(text)
    parse_number = {FieldKind.INTEGER: int, FieldKind.NUMBER: float}.get(kind)
    if parse_number is None:
        return stripped
    try:
        return parse_number(stripped)
    except ValueError:
        return stripped


def _parse_table(text: str) -> dict[str, str] | str:
    result: dict[str, str] = {}
    for line in text.splitlines():
        parts = line.split()
        if not parts:
            continue
        if len(parts) != 2 or parts[0] in result:
            return text
        result[parts[0]] = parts[1]
    return result


def _parse_split(text: str) -> dict[str, dict[str, float]] | str:
    result: dict[str, dict[str, float]] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        home, colon, shares_text = line.partition(":")
        shares = _parse_shares(shares_text)
        if not colon or shares is None or home.strip() in result:
            return text
        result[home.strip()] = shares
    return result


def _parse_shares(text: str) -> dict[str, float] | None:
    """Parse ``region share, region share``; return None if the text cannot be parsed."""
    shares: dict[str, float] = {}
    for part in text.split(","):
        region_and_share = part.split()
        if len(region_and_share) != 2 or region_and_share[0] in shares:
            return None
        try:
            shares[region_and_share[0]] = float(region_and_share[1])
        except ValueError:
            return None
    return shares
