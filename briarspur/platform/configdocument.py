"""Conversion of the stored configuration, part by part, to the gateway's types.

A malformed part does not invalidate the others: it is skipped, or applied in its most restrictive
interpretation, and reported with the reason.
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
MS_PER_S = 1_000.0
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE_ONLY,
    "download": RouteKind.DOWNLOAD,
    "upload": RouteKind.UPLOAD,
}
FALLBACK_KIND = RouteKind.ONCE_ONLY
"""Assumed for a route of an unknown kind, since such requests are never executed twice."""


class _Spec(BaseModel):
    """Base of the models of the document's parts; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Part(_Spec):
    service: str
    weight: float = Field(ge=0.0, allow_inf_nan=False)


class _RouteSpec(_Spec):
    host: str
    pathPrefix: str = Field(pattern=r"^/(.*/)?$")  # noqa: N815
    kind: str
    timeoutMs: float = Field(gt=0.0, allow_inf_nan=False)  # noqa: N815
    # The time within which a response has its full value.
    latencyGoalMs: float = Field(default=1_000.0, gt=0.0, allow_inf_nan=False)  # noqa: N815
    priority: int = 0
    service: str | None = None
    trafficSplit: list[_Part] = []  # noqa: N815
    # The maximum number of servers that a request is sent to, not the number of retries.
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
    # The kind of this part, although the field's name suggests the kind of an entry.
    entryKind: str  # noqa: N815
    metadata: _Metadata = _Metadata()
    spec: dict[str, Any] = {}


class _Document(_Spec):
    version: int
    resourceList: list[Any]  # noqa: N815


ROUTES, SERVICES, LIMITS, CUSTOMERS = "routes", "services", "limits", "tenants"
UNNAMED_PART = "part"
"""The kind reported for a part that does not state its kind."""
POSSIBLE_ROUTES = frozenset({ROUTES, UNNAMED_PART})
POSSIBLE_CUSTOMERS = frozenset({CUSTOMERS, UNNAMED_PART})
FIELDS_WITH_SAFE_DEFAULT = frozenset({"latencyGoalMs", "priority", "attempts", "sticky", "public"})
"""Fields of a route whose defaults are safe: one server per request, no preference. A malformed
list of regions or services has no safe default, so the route is skipped."""


def decode_configuration(value: Any) -> Result[ReadConfiguration, str]:
    """Parse a stored document, or return the reason why none of it can be used."""
    try:
        document = _Document.model_validate(value)
    except ValidationError as error:
        return Error(first_fault(error))
    parser = _Parser()
    for part in document.resourceList:
        parser.add_part(part)
    if parser.faults and not parser.routes:
        return Error(f"no usable route: {parser.faults[0].reason}")
    customers = parser.customers()
    configuration = Configuration(
        document.version,
        tuple(parser.routes),
        parser.services_by_name,
        parser.limits,
        complete=not parser.has_skipped(POSSIBLE_ROUTES),
        customers=customers,
    )
    return Ok(ReadConfiguration(configuration, tuple(parser.faults)))


class _Parser:
    """Collects the parsed parts and the faults of one document."""

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.services_by_name: dict[str, Service] = {}
        self.limits = Limits()
        self.digests_by_customer: dict[Customer, list[bytes]] = {}
        self.faults: list[PartFault] = []

    def add_part(self, part: Any) -> None:
        """Parse one part, or record why it is malformed."""
        try:
            resource = _Resource.model_validate(part)
        except ValidationError as error:
            self._add_fault(UNNAMED_PART, _part_name(part), first_fault(error))
            return
        name = resource.metadata.name
        try:
            self._decode(resource.entryKind, name, resource.spec)
        except ValidationError as error:
            self._add_fault(resource.entryKind, name, first_fault(error))
        except ValueError as error:
            self._add_fault(resource.entryKind, name, str(error))

    def has_skipped(self, parts: frozenset[str]) -> bool:
        """Return whether a part of one of these kinds was skipped."""
        return any(fault.skipped and fault.part in parts for fault in self.faults)

    def customers(self) -> Customers:
        """Return the customers, and record a fault for each that shares a key with another."""
        has_customers = self.digests_by_customer or self.has_skipped(frozenset({CUSTOMERS}))
        if not has_customers:
            return Customers()
        found = Customers(
            self.digests_by_customer, complete=not self.has_skipped(POSSIBLE_CUSTOMERS)
        )
        for name in sorted(found.names_with_shared_keys):
            self._add_fault(CUSTOMERS, name, "another customer has the same key", skipped=False)
        return found

    def _decode(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        if kind == ROUTES:
            self.routes.append(self._route(name, spec))
        elif kind == SERVICES:
            self.services_by_name[name] = _service(name, _ServiceSpec.model_validate(spec))
        elif kind == LIMITS:
            self.limits = _limits(_LimitsSpec.model_validate(spec))
        elif kind == CUSTOMERS:
            self._add_customer(name, _CustomerSpec.model_validate(spec))

    def _add_customer(self, name: str, spec: _CustomerSpec) -> None:
        if not name or not name.isprintable():
            raise ValueError("the name is empty or cannot be sent in a header")
        if any(customer.name == name for customer in self.digests_by_customer):
            raise ValueError("another customer has the same name")
        keys = [key for key in spec.apiKeys if key]
        if len(keys) < len(spec.apiKeys):
            self._add_fault(CUSTOMERS, name, "an empty key is ignored", skipped=False)
        customer = Customer(
            name, spec.priority, spec.ratePerS, spec.burst, frozenset(spec.allowedRegions)
        )
        self.digests_by_customer[customer] = [key_digest(key.encode()) for key in keys]

    def _route(self, name: str, spec: dict[str, Any]) -> Route:
        try:
            route = _RouteSpec.model_validate(spec)
        except ValidationError as error:
            malformed = {str(fault["loc"][0]) for fault in error.errors(include_url=False)}
            if not malformed <= FIELDS_WITH_SAFE_DEFAULT:
                raise
            route = _RouteSpec.model_validate({k: v for k, v in spec.items() if k not in malformed})
            self._add_fault(ROUTES, name, first_fault(error), skipped=False)
        if route.kind not in KINDS:
            reason = f"unknown kind {route.kind!r}, treated as {FALLBACK_KIND.value}"
            self._add_fault(ROUTES, name, reason, skipped=False)
        return _route(name, route)

    def _add_fault(self, part: str, name: str, reason: str, skipped: bool = True) -> None:
        self.faults.append(PartFault(part, name, reason, skipped))


def _part_name(part: Any) -> str:
    """Return the name of a malformed part, empty if it has none."""
    metadata = part.get("metadata") if isinstance(part, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _route(name: str, spec: _RouteSpec) -> Route:
    parts = tuple(SplitPart(p.service, p.weight) for p in spec.trafficSplit if p.weight > 0.0)
    if not parts:
        if not spec.service:
            raise ValueError("the route has no service")
        parts = (SplitPart(spec.service, 1.0),)
    return Route(
        name=name,
        host=spec.host,
        prefix=spec.pathPrefix,
        kind=KINDS.get(spec.kind, FALLBACK_KIND),
        parts=parts,
        timeout=spec.timeoutMs / MS_PER_S,
        goal=spec.latencyGoalMs / MS_PER_S,
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
        header_s=spec.headerTimeoutMs / MS_PER_S,
        idle_s=spec.idleTimeoutMs / MS_PER_S,
    )
