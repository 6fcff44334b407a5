"""Look-ups of callers: which entries they may connect to."""

import json
from collections.abc import Iterable
from urllib.parse import parse_qs

from briarspur.gateway.entryrecord import EntryRecord

__all__ = ["LOOKUP_PATH", "READY_PATH", "lookup_body", "place_of"]

LOOKUP_PATH = b"/resolve"
READY_PATH = b"/ready"


def place_of(query: bytes) -> tuple[str, str]:
    """Return region and availability zone that a look-up comes from; empty if it does not say."""
    values = parse_qs(query.decode("latin-1"))
    return values.get("region", [""])[0], values.get("zone", [""])[0]


def lookup_body(entries: Iterable[EntryRecord], lifetime: float) -> bytes:
    """Return the answer to a look-up; ``lifetime`` is how long it may be kept, in seconds."""
    addresses = [f"{entry.host}:{entry.caller_port}" for entry in entries]
    return json.dumps({"addresses": addresses, "ttlS": lifetime}).encode()
