"""The policy: the configuration document of operators and its compiled form used by entries."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from briarspur.documents import Document, parse
from briarspur.messages import Priority, RequestKind, ShiftKind, TargetAddress

__all__ = [
    "Cap",
    "Objective",
    "Policy",
    "PolicyDocument",
    "Region",
    "Rule",
    "Service",
    "Target",
    "TargetState",
    "compile_policy",
    "parse_policy",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
PriorityName = Literal["once_only", "interactive", "download", "bulk"]
Port = Annotated[int, Field(ge=1, le=65535)]


class TargetState(Enum):
    """Administrative state of a backend server, as set by operators."""

    ENTERING = "entering"
    ACTIVE = "active"
    LEAVING = "leaving"


class RegionDocument(Document):
    """A region: its availability zones and its capacity."""

    zones: list[Name] = Field(min_length=1)
    in_flight_limit: int = Field(ge=1, le=1_000_000, description="concurrent requests")
    link_bytes_per_s: int = Field(ge=1_000, le=1_000_000_000_000)
    link_small_share: Share = Field(
        default=0.2, description="part of the link reserved for other than downloads"
    )
    spill_to: list[Name] = Field(default=[], description="regions to spill to, nearest first")


class RuleDocument(Document):
    """A class of requests of a service; the first matching rule applies."""

    methods: list[str] = Field(default=["GET", "HEAD"], min_length=1)
    path: str = Field(default="/", pattern=r"^/", description="prefix below the service's path")
    kind: RequestKind = RequestKind.IDEMPOTENT
    priority: PriorityName = "interactive"
    deadline_ms: int = Field(default=2_000, ge=10, le=3_600_000)


class ObjectiveDocument(Document):
    """The service level: the share of responses that must be complete and in time."""

    good_share: float = Field(default=0.999, gt=0.0, lt=1.0)
    latency_ms: int = Field(default=500, ge=1, le=3_600_000)


class ServiceDocument(Document):
    """A service: its path, its request classes and its service level."""

    path: str = Field(pattern=r"^/[a-z0-9/-]*$", description="prefix of the service's requests")
    rules: list[RuleDocument] = Field(min_length=1)
    objective: ObjectiveDocument = ObjectiveDocument()
    split: dict[Name, dict[Name, Share]] = Field(
        default={}, description="by home region: the share of its callers that each region serves"
    )


class TargetDocument(Document):
    """A backend server."""

    service: Name
    zone: Name
    host: str = Field(pattern=r"^[0-9a-fA-F.:]+$", description="an IP address")
    port: Port
    slots: int = Field(default=3, ge=1, le=10_000, description="concurrent requests")
    connections: int = Field(default=350, ge=1, le=100_000)
    state: TargetState = TargetState.ACTIVE


class EntryDocument(Document):
    """A configured entry, which has a share of its region's limits."""

    zone: Name


class CapDocument(Document):
    """Cap on the traffic that one kind of shift may move to one region, for one service."""

    requests_per_window: int = Field(ge=0, le=100_000_000)
    window_s: float = Field(default=5.0, ge=0.1, le=3_600.0)


class BlocksDocument(Document):
    """Home regions of client address blocks; large tables are stored as separate objects."""

    default: Name
    by_prefix: dict[str, Name] = Field(default={}, description="IPv4 prefix to home region")


class PolicyDocument(Document):
    """The complete configuration."""

    user: Name
    regions: dict[Name, RegionDocument] = Field(min_length=1)
    services: dict[Name, ServiceDocument] = Field(min_length=1)
    targets: dict[Name, TargetDocument]
    entries: dict[Name, EntryDocument] = Field(min_length=1)
    caps: dict[ShiftKind, CapDocument]
    blocks: BlocksDocument
    lookup_lifetime_s: float = Field(default=10.0, ge=1.0, le=3_600.0)
    key_lifetime_s: float = Field(default=600.0, ge=10.0, le=86_400.0)
    retry_share: Share = Field(default=0.1, description="retries as a share of first attempts")

    @model_validator(mode="after")
    def _names_are_known(self) -> Self:
        """Reject a document that refers to an undefined region, zone or service."""
        faults = list(_unknown_names(self))
        if faults:
            raise ValueError("; ".join(faults))
        return self


def _unknown_names(document: PolicyDocument) -> list[str]:
    """Return an error message for each name that is used but not defined."""
    zones = {zone for region in document.regions.values() for zone in region.zones}
    regions = set(document.regions)
    faults = []
    for name, region in document.regions.items():
        unknown = set(region.spill_to) - regions
        faults += [f"regions.{name}.spill_to: unknown region {item}" for item in sorted(unknown)]
    for name, target in document.targets.items():
        if target.zone not in zones:
            faults.append(f"targets.{name}.zone: unknown zone {target.zone}")
        if target.service not in document.services:
            faults.append(f"targets.{name}.service: unknown service {target.service}")
    for name, entry in document.entries.items():
        if entry.zone not in zones:
            faults.append(f"entries.{name}.zone: unknown zone {entry.zone}")
    for name, service in document.services.items():
        named = set(service.split) | {r for shares in service.split.values() for r in shares}
        faults += [f"services.{name}.split: unknown region {r}" for r in sorted(named - regions)]
    if {document.blocks.default, *document.blocks.by_prefix.values()} - regions:
        faults.append("blocks: names an unknown region")
    if missing := set(ShiftKind) - set(document.caps):
        faults.append(f"caps: missing {', '.join(sorted(kind.value for kind in missing))}")
    return faults


@dataclass(frozen=True, slots=True)
class Region:
    """A compiled region; its limits are for the whole region."""

    name: str
    zones: tuple[str, ...]
    in_flight_limit: int
    link_bytes_per_s: int
    link_small_share: float
    spill_to: tuple[str, ...]
    entry_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Rule:
    """A request class; ``deadline`` in seconds."""

    methods: frozenset[str]
    path: str
    kind: RequestKind
    priority: Priority
    deadline: float


@dataclass(frozen=True, slots=True)
class Objective:
    """A service level; ``latency`` in seconds."""

    good_share: float
    latency: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its rules, whose paths include the path of the service."""

    name: str
    path: str
    rules: tuple[Rule, ...]
    objective: Objective
    split_by_home: dict[str, dict[str, float]]

    @property
    def max_deadline(self) -> float:
        """Return the longest deadline of its request classes, in seconds."""
        return max(rule.deadline for rule in self.rules)


@dataclass(frozen=True, slots=True)
class Target:
    """A backend server."""

    target_id: str
    address: TargetAddress
    service: str
    region: str
    zone: str
    slots: int
    connections: int
    state: TargetState


@dataclass(frozen=True, slots=True)
class Cap:
    """A cap on shifts: requests of all entries together in a window of ``window`` seconds."""

    requests: int
    window: float


@dataclass(frozen=True, slots=True)
class Policy:
    """The policy, compiled for lookup by name.

    Attributes
    ----------
    version : int
        The object's version in the store; it only increases within a process.
    region_by_zone : dict of str to str
        The region of each availability zone.
    """

    version: int
    user: str
    regions_by_name: dict[str, Region]
    services_by_name: dict[str, Service]
    targets_by_id: dict[str, Target]
    region_by_zone: dict[str, str]
    zone_by_entry: dict[str, str]
    caps_by_kind: dict[ShiftKind, Cap]
    default_home: str
    homes_by_prefix: dict[str, str]
    lookup_lifetime: float
    key_lifetime: float
    retry_share: float

    @property
    def max_deadline(self) -> float:
        """Return the longest deadline of any request class, in seconds."""
        return max(service.max_deadline for service in self.services_by_name.values())

    def targets_of(self, service: str, region: str) -> list[Target]:
        """Return the targets of a service in a region, ordered by id."""
        found = [
            target
            for target in self.targets_by_id.values()
            if target.service == service and target.region == region
        ]
        return sorted(found, key=lambda target: target.target_id)


def parse_policy(text: str | bytes, source: str = "policy") -> PolicyDocument:
    """Parse and validate a policy document.

    Raises
    ------
    DocumentError
        With all errors found.
    """
    return parse(PolicyDocument, text, source)


def compile_policy(document: PolicyDocument, version: int) -> Policy:
    """Return the compiled form of a validated document."""
    region_by_zone = {z: name for name, region in document.regions.items() for z in region.zones}
    return Policy(
        version=version,
        user=document.user,
        regions_by_name={
            name: _region(name, document, region_by_zone) for name in document.regions
        },
        services_by_name={name: _service(name, s) for name, s in document.services.items()},
        targets_by_id={
            target_id: _target(target_id, target, region_by_zone)
            for target_id, target in document.targets.items()
        },
        region_by_zone=region_by_zone,
        zone_by_entry={entry_id: entry.zone for entry_id, entry in document.entries.items()},
        caps_by_kind={
            kind: Cap(cap.requests_per_window, cap.window_s) for kind, cap in document.caps.items()
        },
        default_home=document.blocks.default,
        homes_by_prefix=dict(document.blocks.by_prefix),
        lookup_lifetime=document.lookup_lifetime_s,
        key_lifetime=document.key_lifetime_s,
        retry_share=document.retry_share,
    )


def _region(name: str, document: PolicyDocument, region_by_zone: dict[str, str]) -> Region:
    region = document.regions[name]
    entry_ids = [i for i, entry in document.entries.items() if region_by_zone[entry.zone] == name]
    return Region(
        name=name,
        zones=tuple(region.zones),
        in_flight_limit=region.in_flight_limit,
        link_bytes_per_s=region.link_bytes_per_s,
        link_small_share=region.link_small_share,
        spill_to=tuple(region.spill_to),
        entry_ids=tuple(sorted(entry_ids)),
    )


def _service(name: str, service: ServiceDocument) -> Service:
    rules = tuple(
        Rule(
            methods=frozenset(rule.methods),
            path=service.path.rstrip("/") + rule.path,
            kind=rule.kind,
            priority=Priority[rule.priority.upper()],
            deadline=rule.deadline_ms / 1000,
        )
        for rule in service.rules
    )
    objective = Objective(service.objective.good_share, service.objective.latency_ms / 1000)
    split = {home: dict(shares) for home, shares in service.split.items()}
    return Service(name, service.path, rules, objective, split)


def _target(target_id: str, target: TargetDocument, region_by_zone: dict[str, str]) -> Target:
    return Target(
        target_id=target_id,
        address=TargetAddress(target_id, target.host, target.port),
        service=target.service,
        region=region_by_zone[target.zone],
        zone=target.zone,
        slots=target.slots,
        connections=target.connections,
        state=target.state,
    )
