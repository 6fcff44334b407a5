"""Conversion between the specs of the platform's objects and the gateway's types.

A malformed object gives an error with the reason; the caller logs it and continues with the other
objects.
"""

import re
from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from briarspur.gateway.entryrecord import DEFAULT_LINK_MBPS, DEFAULT_PROCESSOR_CORES, EntryRecord
from briarspur.gateway.registration import Registration
from briarspur.gateway.replica import Kind
from briarspur.platform.faults import first_fault

__all__ = [
    "decode_entry",
    "decode_registration",
    "encode_entry",
    "relevant_part",
    "write_order",
]

MS_PER_S = 1_000.0
MAX_WARM_UP_MS = 86_400_000.0
MAX_PORT = 65_535
SERVER_ID = re.compile(r"[\x21-\x7e]+")
"""Ids are sent in a header."""
ORDER_FIELDS = {
    Kind.CONFIGURATION: ("version",),
    Kind.TARGETS: ("born", "seq"),
    Kind.ENTRIES: ("started",),
}
"""Fields that never decrease from one write of an object to the next, most significant first."""
OPTIONAL_FIELDS = frozenset({"born"})
"""Servers that never restart under the same id have none."""


class _Spec(BaseModel):
    """Base of the models of the platform's documents; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Registration(_Spec):
    service: str = Field(min_length=1)
    address: str = Field(pattern=r"^[0-9.]+:\d{1,5}$")
    zone: str = Field(min_length=1)
    slots: int = Field(ge=1)
    # The protocol defines these two states; a registration in any other state must not be used.
    state: Literal["ready", "draining"]
    # The remaining time in which the server is slow, not the time since it started.
    warmupLeftMs: float = Field(default=0.0, ge=0.0, le=MAX_WARM_UP_MS)  # noqa: N815
    # Start of this incarnation in Unix milliseconds; absent from servers that never restart.
    born: int = 0


class _Entry(_Spec):
    started: int
    host: str
    zone: str
    region: str
    caller_port: int
    news_port: int
    peer_port: int
    processor: float = Field(default=DEFAULT_PROCESSOR_CORES, gt=0.0)
    link_mbps: float = Field(default=DEFAULT_LINK_MBPS, gt=0.0)


def relevant_part(kind: Kind, value: Any) -> Any:
    """Return the part of a stored value whose changes are relevant to entries.

    Each renewal of a registration increments its ``seq``, which changes the stored object although
    nothing else has changed.
    """
    if kind is not Kind.TARGETS or not isinstance(value, dict):
        return value
    return {name: part for name, part in value.items() if name != "seq"}


def write_order(kind: Kind, value: Any) -> tuple[int, ...] | None:
    """Return the position of a value among the writes of its object; None if it has none.

    It orders the values of an object across the store's returns from older copies, in which its
    revisions go back.
    """
    fields = ORDER_FIELDS.get(kind)
    if fields is None or not isinstance(value, dict):
        return None
    order = [value.get(name, 0 if name in OPTIONAL_FIELDS else None) for name in fields]
    parts = tuple(part for part in order if isinstance(part, int))
    return parts if len(parts) == len(order) else None


def decode_registration(name: str, value: Any) -> Result[Registration, str]:
    """Parse the registration of a backend server."""
    try:
        registration = _Registration.model_validate(value)
    except ValidationError as error:
        return Error(first_fault(error))
    host, _, port = registration.address.rpartition(":")
    if not SERVER_ID.fullmatch(name):
        return Error(f"id: {name!r} can't be sent in a header")
    if not 1 <= int(port) <= MAX_PORT:
        return Error(f"address: {port} is no port")
    return Ok(
        Registration(
            target_id=name,
            born=registration.born,
            service=registration.service,
            host=host,
            port=int(port),
            zone=registration.zone,
            slots=registration.slots,
            draining=registration.state == "draining",
            cold_s=registration.warmupLeftMs / MS_PER_S,
        )
    )


def decode_entry(name: str, value: Any) -> Result[EntryRecord, str]:
    """Parse the record of another entry."""
    try:
        entry = _Entry.model_validate(value)
    except ValidationError as error:
        return Error(first_fault(error))
    return Ok(EntryRecord(entry_id=name, **entry.model_dump()))


def encode_entry(record: EntryRecord) -> dict[str, Any]:
    """Return the record of this entry in its stored form."""
    return {
        "started": record.started,
        "host": record.host,
        "zone": record.zone,
        "region": record.region,
        "caller_port": record.caller_port,
        "news_port": record.news_port,
        "peer_port": record.peer_port,
        "processor": record.processor,
        "link_mbps": record.link_mbps,
    }
