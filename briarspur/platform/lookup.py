"""Look-ups, with which callers find the entries that they may connect to."""

import json
from collections.abc import Iterable
from urllib.parse import parse_qs

from briarspur.gateway.entryrecord import EntryRecord

__all__ = ["LOOKUP_PATH", "READY_PATH", "caller_location", "lookup_body"]

LOOKUP_PATH = b"/resolve"
READY_PATH = b"/ready"


def caller_location(query: bytes) -> tuple[str, str]:
    """Return the caller's region and availability zone; each is empty if the query omits it."""
    values = parse_qs(query.decode("latin-1"))
    return values.get("region", [""])[0], values.get("zone", [""])[0]


def lookup_body(entries: Iterable[EntryRecord], lifetime: float) -> bytes:
    """Return the response body for a look-up.

    Parameters
    ----------
    entries : iterable of EntryRecord
        The entries that the caller may connect to.
    lifetime : float
        Seconds for which the caller may cache the response.
    """
    addresses = [f"{entry.host}:{entry.caller_port}" for entry in entries]
    return json.dumps({"addresses": addresses, "ttlS": lifetime}).encode()
