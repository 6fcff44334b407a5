"""The stored configuration, decoded part by part into the gateway's types.

A part that can't be read does not take the others along: it is left out, or read in the most
careful way, and named with the reason.
"""

from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from briarspur.gateway.codec import PartFault, ReadConfiguration
from briarspur.gateway.configuration import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    Service,
    SplitPart,
)
from briarspur.gateway.customers import Customer, Customers, key_digest
from briarspur.platform.faults import first_fault

__all__ = ["CONFIGURATION_NAME", "decode_configuration"]

CONFIGURATION_NAME = "main"
MS = 1_000.0
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE_ONLY,
    "download": RouteKind.DOWNLOAD,
    "upload": RouteKind.UPLOAD,
}
MOST_CAREFUL = RouteKind.ONCE_ONLY
"""What a route of an unknown kind is taken for: its requests are never run twice."""


class _Spec(BaseModel):
    """A part of the document; fields that we do not know are left alone."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Part(_Spec):
    service: str
    weight: float = Field(ge=0.0, allow_inf_nan=False)


class _RouteSpec(_Spec):
    host: str
    pathPrefix: str = Field(pattern=r"^/(.*/)?$")  # noqa: N815
    kind: str
    timeoutMs: float = Field(gt=0.0, allow_inf_nan=False)  # noqa: N815
    # The time within which an answer is worth its full value.
    latencyGoalMs: float = Field(default=1_000.0, gt=0.0, allow_inf_nan=False)  # noqa: N815
    priority: int = 0
    service: str | None = None
    trafficSplit: list[_Part] = []  # noqa: N815
    # How many servers one request may be sent to, not how many repeats.
    attempts: int = Field(default=1, ge=1)
    sticky: bool = False
    allowedRegions: list[str] = []  # noqa: N815
    public: bool = False


class _CustomerSpec(_Spec):
    apiKeys: list[str]  # noqa: N815
    priority: int = 0
    ratePerS: float = Field(default=0.0, ge=0.0, allow_inf_nan=False)  # noqa: N815
    burst: float = Field(default=0.0, ge=0.0, allow_inf_nan=False)
    allowedRegions: list[str] = []  # noqa: N815


class _ServiceSpec(_Spec):
    maxConns: int = Field(default=100, ge=1)  # noqa: N815
    warmupS: float = Field(default=0.0, ge=0.0, allow_inf_nan=False)  # noqa: N815
    warmupPerS: float = Field(default=0.0, ge=0.0, allow_inf_nan=False)  # noqa: N815


class _LimitsSpec(_Spec):
    maxHeaderBytes: int = Field(default=16_384, ge=1)  # noqa: N815
    maxBodyBytes: int = Field(default=1_048_576, ge=0)  # noqa: N815
    headerTimeoutMs: float = Field(default=5_000.0, gt=0.0, allow_inf_nan=False)  # noqa: N815
    idleTimeoutMs: float = Field(default=60_000.0, gt=0.0, allow_inf_nan=False)  # noqa: N815


class _Metadata(_Spec):
    name: str = ""


class _Resource(_Spec):
    # Which kind of part this is, though its name suggests a record's kind.
    entryKind: str  # noqa: N815
    metadata: _Metadata = _Metadata()
    spec: dict[str, Any] = {}


class _Document(_Spec):
    version: int
    resourceList: list[Any]  # noqa: N815


ROUTES, SERVICES, LIMITS, CUSTOMERS = "routes", "services", "limits", "tenants"
UNNAMED_PART = "part"
"""What a part is called in faults if it does not say what it is."""
MAY_BE_ROUTES = frozenset({ROUTES, UNNAMED_PART})
MAY_BE_CUSTOMERS = frozenset({CUSTOMERS, UNNAMED_PART})
HARMLESS_DEFAULTS = frozenset({"latencyGoalMs", "priority", "attempts", "sticky", "public"})
"""Fields of a route whose default harms nobody: one server a request, no preference. A mistyped
list of regions or services has no such default, so the route is skipped."""


def decode_configuration(value: Any) -> Result[ReadConfiguration, str]:
    """Return what a stored document says, or why none of it can be used."""
    try:
        document = _Document.model_validate(value)
    except ValidationError as error:
        return Error(first_fault(error))
    reader = _Reader()
    for part in document.resourceList:
        reader.take(part)
    if reader.faults and not reader.routes:
        return Error(f"no route can be used: {reader.faults[0].reason}")
    customers = reader.customers()
    configuration = Configuration(
        document.version,
        tuple(reader.routes),
        reader.services_by_name,
        reader.limits,
        complete=not reader.left_out(MAY_BE_ROUTES),
        customers=customers,
    )
    return Ok(ReadConfiguration(configuration, tuple(reader.faults)))


class _Reader:
    """Collects the parts of one document."""

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.services_by_name: dict[str, Service] = {}
        self.limits = Limits()
        self.digests_by_customer: dict[Customer, list[bytes]] = {}
        self.faults: list[PartFault] = []

    def take(self, part: Any) -> None:
        """Read one part, or note why it can't be read."""
        try:
            resource = _Resource.model_validate(part)
        except ValidationError as error:
            self._fault(UNNAMED_PART, _name_of(part), first_fault(error))
            return
        name = resource.metadata.name
        try:
            self._decode(resource.entryKind, name, resource.spec)
        except ValidationError as error:
            self._fault(resource.entryKind, name, first_fault(error))
        except ValueError as error:
            self._fault(resource.entryKind, name, str(error))

    def left_out(self, parts: frozenset[str]) -> bool:
        """Tell whether a part of one of these kinds could not be read."""
        return any(fault.skipped and fault.part in parts for fault in self.faults)

    def customers(self) -> Customers:
        """Return the customers, and note those that claim one key."""
        has_customers = self.digests_by_customer or self.left_out(frozenset({CUSTOMERS}))
        if not has_customers:
            return Customers()
        found = Customers(self.digests_by_customer, complete=not self.left_out(MAY_BE_CUSTOMERS))
        for name in sorted(found.names_with_shared_keys):
            self._fault(CUSTOMERS, name, "another customer has the same key", skipped=False)
        return found

    def _decode(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        if kind == ROUTES:
            self.routes.append(self._route(name, spec))
        elif kind == SERVICES:
            self.services_by_name[name] = _service(name, _ServiceSpec.model_validate(spec))
        elif kind == LIMITS:
            self.limits = _limits(_LimitsSpec.model_validate(spec))
        elif kind == CUSTOMERS:
            self._take_customer(name, _CustomerSpec.model_validate(spec))

    def _take_customer(self, name: str, spec: _CustomerSpec) -> None:
        if not name or not name.isprintable():
            raise ValueError("no name that a header can carry")
        if any(customer.name == name for customer in self.digests_by_customer):
            raise ValueError("the name is taken")
        keys = [key for key in spec.apiKeys if key]
        if len(keys) < len(spec.apiKeys):
            self._fault(CUSTOMERS, name, "an empty key is left out", skipped=False)
        customer = Customer(
            name, spec.priority, spec.ratePerS, spec.burst, frozenset(spec.allowedRegions)
        )
        self.digests_by_customer[customer] = [key_digest(key.encode()) for key in keys]

    def _route(self, name: str, spec: dict[str, Any]) -> Route:
        try:
            read = _RouteSpec.model_validate(spec)
        except ValidationError as error:
            harmless = {str(fault["loc"][0]) for fault in error.errors(include_url=False)}
            if not harmless <= HARMLESS_DEFAULTS:
                raise
            read = _RouteSpec.model_validate({k: v for k, v in spec.items() if k not in harmless})
            self._fault(ROUTES, name, first_fault(error), skipped=False)
        if read.kind not in KINDS:
            reason = f"unknown kind {read.kind!r}, served as {MOST_CAREFUL.value}"
            self._fault(ROUTES, name, reason, skipped=False)
        return _route(name, read)

    def _fault(self, part: str, name: str, reason: str, skipped: bool = True) -> None:
        self.faults.append(PartFault(part, name, reason, skipped))


def _name_of(part: Any) -> str:
    """Return the name of a part that can't be read otherwise, empty if it has none."""
    metadata = part.get("metadata") if isinstance(part, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _route(name: str, spec: _RouteSpec) -> Route:
    parts = tuple(SplitPart(p.service, p.weight) for p in spec.trafficSplit if p.weight > 0.0)
    if not parts:
        if not spec.service:
            raise ValueError("no service")
        parts = (SplitPart(spec.service, 1.0),)
    return Route(
        name=name,
        host=spec.host,
        prefix=spec.pathPrefix,
        kind=KINDS.get(spec.kind, MOST_CAREFUL),
        parts=parts,
        timeout=spec.timeoutMs / MS,
        goal=spec.latencyGoalMs / MS,
        attempts=spec.attempts,
        priority=spec.priority,
        sticky=spec.sticky,
        regions=frozenset(spec.allowedRegions),
        public=spec.public,
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
