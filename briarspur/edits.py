"""Pure functions that add objects to a draft, remove them, and reorder rules."""

import copy
import re
from collections.abc import Callable, Mapping
from typing import Any

from expression import Error, Ok, Result

from briarspur.forms import Draft

__all__ = ["add", "move_rule_up", "remove"]

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
NEW_RULE: Mapping[str, Any] = {
    "methods": ["GET", "HEAD"],
    "path": "/",
    "kind": "idempotent",
    "priority": "interactive",
    "deadline_ms": 2_000,
}
NEW_REGION: Mapping[str, Any] = {
    "zones": [],
    "in_flight_limit": 1,
    "link_bytes_per_s": 1_000_000,
    "link_small_share": 0.2,
    "spill_to": [],
}
NEW_TARGET: Mapping[str, Any] = {
    "service": "",
    "zone": "",
    "host": "",
    "port": 0,
    "slots": 3,
    "connections": 350,
    "state": "entering",
}


def _new_service(name: str) -> dict[str, Any]:
    objective = {"good_share": 0.999, "latency_ms": 500}
    return {"path": f"/{name}", "rules": [dict(NEW_RULE)], "objective": objective, "split": {}}


FACTORY_BY_ROOT: dict[str, Callable[[str], dict[str, Any]]] = {
    "services": _new_service,
    "regions": lambda _: copy.deepcopy(dict(NEW_REGION)),
    "targets": lambda _: dict(NEW_TARGET),
    "entries": lambda _: {"zone": ""},
}


def add(draft: Draft, root: str, name: str) -> Result[Draft, str]:
    """Return the draft with a new object ``name`` in ``root``, or the reason it cannot be added.

    ``root`` is a table of the document, or ``services.<name>.rules`` for a rule.
    """
    result = copy.deepcopy(draft)
    if root.startswith("services.") and root.endswith(".rules"):
        rules = _find_rules(result, root)
        if rules is None:
            return Error(f"{root} does not exist")
        rules.append(copy.deepcopy(dict(NEW_RULE)))
        return Ok(result)
    if root not in FACTORY_BY_ROOT:
        return Error(f"objects cannot be added to {root}")
    if not NAME_PATTERN.match(name):
        return Error("a name must have 1 to 63 characters of a-z, 0-9 and -, and not start with -")
    table = result.setdefault(root, {})
    if name in table:
        return Error(f"{root}.{name} already exists")
    table[name] = FACTORY_BY_ROOT[root](name)
    return Ok(result)


def remove(draft: Draft, path: str) -> Result[Draft, str]:
    """Return the draft without the object or rule at ``path``."""
    result = copy.deepcopy(draft)
    root, _, last = path.rpartition(".")
    if root.endswith(".rules"):
        rules = _find_rules(result, root)
        if rules is None or not last.isdigit() or int(last) >= len(rules):
            return Error(f"{path} does not exist")
        del rules[int(last)]
        return Ok(result)
    if root not in FACTORY_BY_ROOT or last not in result.get(root, {}):
        return Error(f"{path} does not exist")
    del result[root][last]
    return Ok(result)


def move_rule_up(draft: Draft, path: str) -> Result[Draft, str]:
    """Return the draft with a rule moved up by one; the first rule that matches applies."""
    result = copy.deepcopy(draft)
    root, _, last = path.rpartition(".")
    rules = _find_rules(result, root)
    if rules is None or not last.isdigit() or not 0 < int(last) < len(rules):
        return Error(f"{path} cannot be moved up")
    index = int(last)
    rules[index - 1], rules[index] = rules[index], rules[index - 1]
    return Ok(result)


def _find_rules(draft: Draft, root: str) -> list[Any] | None:
    """Return the rules at ``services.<name>.rules``; None if the path does not exist."""
    parts = root.split(".")
    if len(parts) != 3 or parts[0] != "services" or parts[2] != "rules":
        return None
    service = draft.get("services", {}).get(parts[1])
    rules = service.get("rules") if isinstance(service, dict) else None
    return rules if isinstance(rules, list) else None
