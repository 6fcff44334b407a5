"""Warnings about policies that are valid but probably don't do what their author intends."""

from collections.abc import Iterator

from briarspur.errors import Fault
from briarspur.messages import RequestKind
from briarspur.policy import PolicyDocument, ServiceDocument, TargetState

__all__ = ["find_warnings"]

SPLIT_TOLERANCE = 1e-6


def find_warnings(document: PolicyDocument) -> list[Fault]:
    """Return all warnings, ordered by check; a policy with warnings can still be applied."""
    return [
        *_check_service_targets(document),
        *_check_in_flight_limits(document),
        *_check_caps(document),
        *_check_objectives(document),
        *_check_unreachable_rules(document),
        *_check_splits(document),
        *_check_region_entries(document),
    ]


def _check_service_targets(document: PolicyDocument) -> Iterator[Fault]:
    region_by_zone = _region_by_zone(document)
    served = {
        (target.service, region_by_zone[target.zone])
        for target in document.targets.values()
        if target.state is not TargetState.LEAVING
    }
    for service in document.services:
        for region in document.regions:
            if (service, region) not in served:
                text = (
                    f"every target in region {region} is leaving, or there is none: "
                    "its callers are sent to other regions"
                )
                yield Fault(f"services.{service}", text)


def _check_in_flight_limits(document: PolicyDocument) -> Iterator[Fault]:
    region_by_zone = _region_by_zone(document)
    for name, region in document.regions.items():
        slots = sum(t.slots for t in document.targets.values() if region_by_zone[t.zone] == name)
        if region.in_flight_limit < slots:
            text = f"{region.in_flight_limit} is below the {slots} slots of the region's targets"
            yield Fault(f"regions.{name}.in_flight_limit", text)


def _check_caps(document: PolicyDocument) -> Iterator[Fault]:
    for kind, cap in document.caps.items():
        if cap.requests_per_window == 0:
            text = f"0 forbids every {kind.value} shift: requests are refused instead of moved"
            yield Fault(f"caps.{kind.value}.requests_per_window", text)


def _check_objectives(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for index, rule in enumerate(service.rules):
            if service.objective.latency_ms > rule.deadline_ms:
                text = (
                    f"the deadline of {rule.deadline_ms} ms is shorter than the objective's "
                    f"{service.objective.latency_ms} ms: no response can be complete and late"
                )
                yield Fault(f"services.{name}.rules.{index}.deadline_ms", text)


def _check_unreachable_rules(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for index, rule in enumerate(service.rules):
            for earlier in service.rules[:index]:
                covers = rule.path.startswith(earlier.path)
                if covers and set(rule.methods) <= set(earlier.methods):
                    yield Fault(
                        f"services.{name}.rules.{index}", "an earlier rule matches all of it"
                    )
                    break
        yield from _check_idempotent_posts(name, service)


def _check_idempotent_posts(name: str, service: ServiceDocument) -> Iterator[Fault]:
    for index, rule in enumerate(service.rules):
        if "POST" in rule.methods and rule.kind is RequestKind.IDEMPOTENT:
            text = "POST is declared idempotent: it may be sent more than once"
            yield Fault(f"services.{name}.rules.{index}.kind", text)


def _check_splits(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for home, shares in service.split.items():
            total = sum(shares.values())
            if abs(total - 1.0) > SPLIT_TOLERANCE:
                yield Fault(f"services.{name}.split.{home}", f"the shares sum to {total:g}, not 1")


def _check_region_entries(document: PolicyDocument) -> Iterator[Fault]:
    region_by_zone = _region_by_zone(document)
    regions_with_entry = {region_by_zone[entry.zone] for entry in document.entries.values()}
    for name in document.regions:
        if name not in regions_with_entry:
            yield Fault(f"regions.{name}", "no entry: nothing dispatches to its targets")


def _region_by_zone(document: PolicyDocument) -> dict[str, str]:
    return {zone: name for name, region in document.regions.items() for zone in region.zones}
