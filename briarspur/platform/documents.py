"""The specs of the platform's objects, decoded into the gateway's types.

An object that can't be read is an error with its reason; the caller logs it and goes on with the
others.
"""

from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from briarspur.gateway.configuration import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    Service,
    SplitPart,
)
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.registration import Registration
from briarspur.gateway.replica import Kind

__all__ = [
    "CONFIGURATION_NAME",
    "decode_configuration",
    "decode_entry",
    "decode_registration",
    "encode_entry",
    "essence",
]

CONFIGURATION_NAME = "main"
MS = 1_000.0
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE_ONLY,
    "download": RouteKind.DOWNLOAD,
}


class _Spec(BaseModel):
    """A part of the platform's documents; fields that we do not know are left alone."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Registration(_Spec):
    service: str = Field(min_length=1)
    address: str = Field(pattern=r"^[0-9.]+:\d{1,5}$")
    zone: str = Field(min_length=1)
    slots: int = Field(ge=1)
    # Two states are named by the protocol; an entry with any other one is not to be used.
    state: Literal["ready", "draining"]
    # How long it stays slow from now on, not since when.
    warmupLeftMs: float = Field(default=0.0, ge=0.0)  # noqa: N815
    # When this incarnation started: unix milliseconds. Absent from servers that never restart.
    born: int = 0


class _Part(_Spec):
    service: str
    weight: float = Field(ge=0.0)


class _RouteSpec(_Spec):
    host: str
    pathPrefix: str = Field(pattern=r"^/(.*/)?$")  # noqa: N815
    kind: str
    timeoutMs: float = Field(gt=0.0)  # noqa: N815
    # The time within which an answer is worth its full value.
    latencyGoalMs: float = Field(default=1_000.0, gt=0.0)  # noqa: N815
    priority: int = 0
    service: str | None = None
    trafficSplit: list[_Part] = []  # noqa: N815
    # How many servers one request may be sent to, not how many repeats.
    attempts: int = Field(default=1, ge=1)
    sticky: bool = False
    allowedRegions: list[str] = []  # noqa: N815


class _ServiceSpec(_Spec):
    maxConns: int = Field(default=100, ge=1)  # noqa: N815
    warmupS: float = Field(default=0.0, ge=0.0)  # noqa: N815
    warmupPerS: float = Field(default=0.0, ge=0.0)  # noqa: N815


class _LimitsSpec(_Spec):
    maxHeaderBytes: int = Field(default=16_384, ge=1)  # noqa: N815
    maxBodyBytes: int = Field(default=1_048_576, ge=0)  # noqa: N815
    headerTimeoutMs: float = Field(default=5_000.0, gt=0.0)  # noqa: N815
    idleTimeoutMs: float = Field(default=60_000.0, gt=0.0)  # noqa: N815


class _Metadata(_Spec):
    name: str = ""


class _Resource(_Spec):
    # Which kind of part this is, though its name suggests a record's kind.
    entryKind: str  # noqa: N815
    metadata: _Metadata = _Metadata()
    spec: dict[str, Any] = {}


class _Configuration(_Spec):
    version: int
    resourceList: list[_Resource]  # noqa: N815


class _Entry(_Spec):
    started: int
    host: str
    zone: str
    region: str
    caller_port: int
    news_port: int
    peer_port: int


def decode_configuration(value: Any) -> Result[Configuration, str]:
    """Return the configuration of a stored document."""
    try:
        document = _Configuration.model_validate(value)
        routes, services, limits = [], {}, Limits()
        for resource in document.resourceList:
            name = resource.metadata.name
            if resource.entryKind == "routes":
                routes.append(_route(name, _RouteSpec.model_validate(resource.spec)))
            elif resource.entryKind == "services":
                services[name] = _service(name, _ServiceSpec.model_validate(resource.spec))
            elif resource.entryKind == "limits":
                limits = _limits(_LimitsSpec.model_validate(resource.spec))
    except (ValidationError, ValueError) as error:
        return Error(_short(error))
    return Ok(Configuration(document.version, tuple(routes), services, limits))


def essence(kind: Kind, value: Any) -> Any:
    """Return the part of a stored value whose change matters to entries.

    A registration counts its renewals in ``seq``, and each renewal is a change of the object.
    """
    if kind is not Kind.TARGETS or not isinstance(value, dict):
        return value
    return {name: part for name, part in value.items() if name != "seq"}


def decode_registration(name: str, value: Any) -> Result[Registration, str]:
    """Return what a backend server says of itself."""
    try:
        entry = _Registration.model_validate(value)
    except ValidationError as error:
        return Error(_short(error))
    host, _, port = entry.address.rpartition(":")
    return Ok(
        Registration(
            target_id=name,
            born=entry.born,
            service=entry.service,
            host=host,
            port=int(port),
            zone=entry.zone,
            slots=entry.slots,
            draining=entry.state == "draining",
            cold_s=entry.warmupLeftMs / MS,
        )
    )


def decode_entry(name: str, value: Any) -> Result[EntryRecord, str]:
    """Return what another entry says of itself."""
    try:
        entry = _Entry.model_validate(value)
    except ValidationError as error:
        return Error(_short(error))
    return Ok(EntryRecord(entry_id=name, **entry.model_dump()))


def encode_entry(record: EntryRecord) -> dict[str, Any]:
    """Return what this entry writes about itself."""
    return {
        "started": record.started,
        "host": record.host,
        "zone": record.zone,
        "region": record.region,
        "caller_port": record.caller_port,
        "news_port": record.news_port,
        "peer_port": record.peer_port,
    }


def _route(name: str, spec: _RouteSpec) -> Route:
    kind = KINDS.get(spec.kind)
    if kind is None:
        raise ValueError(f"route {name}: unknown kind {spec.kind!r}")
    parts = tuple(SplitPart(p.service, p.weight) for p in spec.trafficSplit if p.weight > 0.0)
    if not parts:
        if not spec.service:
            raise ValueError(f"route {name}: no service")
        parts = (SplitPart(spec.service, 1.0),)
    return Route(
        name=name,
        host=spec.host,
        prefix=spec.pathPrefix,
        kind=kind,
        parts=parts,
        timeout=spec.timeoutMs / MS,
        goal=spec.latencyGoalMs / MS,
        attempts=spec.attempts,
        priority=spec.priority,
        sticky=spec.sticky,
        regions=frozenset(spec.allowedRegions),
    )


def _service(name: str, spec: _ServiceSpec) -> Service:
    return Service(name, spec.maxConns, spec.warmupS, spec.warmupPerS)


def _limits(spec: _LimitsSpec) -> Limits:
    return Limits(
        header_bytes=spec.maxHeaderBytes,
        body_bytes=spec.maxBodyBytes,
        header_s=spec.headerTimeoutMs / MS,
        idle_s=spec.idleTimeoutMs / MS,
    )


def _short(error: Exception) -> str:
    """Return the first fault of a document in one line."""
    if isinstance(error, ValidationError):
        first = error.errors(include_url=False, include_input=False)[0]
        return f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
    return str(error)
