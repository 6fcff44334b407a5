"""Warnings about a valid policy that would probably not do what its author means."""

from collections.abc import Iterator

from briarspur.errors import Fault
from briarspur.messages import RequestKind
from briarspur.policy import PolicyDocument, ServiceDocument, TargetState

__all__ = ["warnings_of"]

SPLIT_TOLERANCE = 1e-6


def warnings_of(document: PolicyDocument) -> list[Fault]:
    """Return every warning, ordered by check; a policy with warnings may still be applied."""
    return [
        *_services_without_targets(document),
        *_limits_below_slots(document),
        *_caps(document),
        *_objectives(document),
        *_rules_never_reached(document),
        *_splits(document),
        *_regions_without_entries(document),
    ]


def _services_without_targets(document: PolicyDocument) -> Iterator[Fault]:
    region_of = _region_by_zone(document)
    served = {
        (target.service, region_of[target.zone])
        for target in document.targets.values()
        if target.state is not TargetState.LEAVING
    }
    for service in document.services:
        for region in document.regions:
            if (service, region) not in served:
                text = f"no target that stays in region {region}: its callers go to other regions"
                yield Fault(f"services.{service}", text)


def _limits_below_slots(document: PolicyDocument) -> Iterator[Fault]:
    region_of = _region_by_zone(document)
    for name, region in document.regions.items():
        slots = sum(t.slots for t in document.targets.values() if region_of[t.zone] == name)
        if region.in_flight_limit < slots:
            text = f"{region.in_flight_limit} is below the {slots} slots of the region's targets"
            yield Fault(f"regions.{name}.in_flight_limit", text)


def _caps(document: PolicyDocument) -> Iterator[Fault]:
    for kind, cap in document.caps.items():
        if cap.requests_per_window == 0:
            text = f"0 forbids every {kind.value} shift: requests are refused instead of moved"
            yield Fault(f"caps.{kind.value}.requests_per_window", text)


def _objectives(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for index, rule in enumerate(service.rules):
            if service.objective.latency_ms > rule.deadline_ms:
                text = (
                    f"{rule.deadline_ms} ms ends requests before the objective's "
                    f"{service.objective.latency_ms} ms: no answer can be whole and late"
                )
                yield Fault(f"services.{name}.rules.{index}.deadline_ms", text)


def _rules_never_reached(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for index, rule in enumerate(service.rules):
            for earlier in service.rules[:index]:
                covers = rule.path.startswith(earlier.path)
                if covers and set(rule.methods) <= set(earlier.methods):
                    yield Fault(f"services.{name}.rules.{index}", "an earlier rule takes all of it")
                    break
        yield from _posts_that_repeat(name, service)


def _posts_that_repeat(name: str, service: ServiceDocument) -> Iterator[Fault]:
    for index, rule in enumerate(service.rules):
        if "POST" in rule.methods and rule.kind is RequestKind.IDEMPOTENT:
            text = "POST as idempotent: it may be sent more than once"
            yield Fault(f"services.{name}.rules.{index}.kind", text)


def _splits(document: PolicyDocument) -> Iterator[Fault]:
    for name, service in document.services.items():
        for home, shares in service.split.items():
            total = sum(shares.values())
            if abs(total - 1.0) > SPLIT_TOLERANCE:
                yield Fault(f"services.{name}.split.{home}", f"the shares sum to {total:g}, not 1")


def _regions_without_entries(document: PolicyDocument) -> Iterator[Fault]:
    region_of = _region_by_zone(document)
    seated = {region_of[entry.zone] for entry in document.entries.values()}
    for name in document.regions:
        if name not in seated:
            yield Fault(f"regions.{name}", "no entry: nothing dispatches to its targets")


def _region_by_zone(document: PolicyDocument) -> dict[str, str]:
    return {zone: name for name, region in document.regions.items() for zone in region.zones}
