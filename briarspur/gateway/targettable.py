"""The table of backend servers that an entry may use, by service."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from briarspur import logs
from briarspur.gateway.registration import Registration
from briarspur.gateway.servernotice import FROM_ANSWER, FROM_ENTRY
from briarspur.gateway.target import Target

__all__ = ["TargetTable"]

EVACUATION_COLD_S = 3.0
"""Time for which a zone's servers count as cold after its evacuation ended, unless their own
registrations, which are written every 1 to 2 s, extend it."""

LEAVING_REPORT_S = 3.0
"""Time for which each entry that learns of a leaving server reports it to the others. An entry that
misses all news of this time learns it from the store or from the server itself."""
MAX_REPORTED_LEAVING = 40
"""Leaving servers in one message, the most recent ones; they take 160 bytes."""


class TargetTable:
    """Incarnations of backend servers, according to registrations, notices and evacuated zones.

    Attributes
    ----------
    by_service : dict
        Targets that accept new work, by service.
    by_number : dict
        All known targets, by their number in load news.
    epoch : int
        Incremented whenever ``by_service`` changes.
    epoch_by_service : dict
        The epoch of the latest change of each service's targets.
    """

    def __init__(self, zone_regions: Mapping[str, str]) -> None:
        self._zone_regions = zone_regions
        self._by_id: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self._by_regions: dict[str, dict[frozenset[str], list[Target]]] = {}
        self.by_number: dict[int, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.epoch = 0
        self.epoch_by_service: dict[str, int] = {}
        self._leaving_since: dict[int, float] = {}
        self.on_target_added: Callable[[Target], None] = lambda target: None

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, target_id: str) -> Target | None:
        """Return the current incarnation of a target."""
        return self._by_id.get(target_id)

    def in_regions(self, service: str, regions: frozenset[str]) -> list[Target]:
        """Return a service's targets that accept new work, only in the given regions if any."""
        targets = self.by_service.get(service, [])
        if not regions:
            return targets
        found_by_regions = self._by_regions.setdefault(service, {})
        found = found_by_regions.get(regions)
        if found is None:
            found = [target for target in targets if target.region in regions]
            found_by_regions[regions] = found
        return found

    def accepts_work(self, target: Target, now: float) -> bool:
        """Return whether this incarnation of a target is current and may be sent requests."""
        current = self._by_id.get(target.registration.target_id)
        return current is target and self._is_open(target) and not target.is_backing_off(now)

    def registered(self, registration: Registration, now: float) -> None:
        """Apply a registration; a new ``born`` discards all that was known about the target."""
        target = self._by_id.get(registration.target_id)
        if target is None or target.registration.incarnation != registration.incarnation:
            self._replace(target, registration, now)
            return
        old, target.registration = target.registration, registration
        self._update_cold_state(target, registration, now)
        if _placement(old) != _placement(registration):
            # With another service or address it is a different server, even under the same id.
            target.gone = False
            target.warmth.clear()
            logs.event("target-changed", target=registration.target_id, **_log_fields(registration))
            self._delist(target, old.service)
            self._enlist(target)

    def removed(self, target_id: str) -> None:
        """Remove a target whose registration was deleted."""
        target = self._by_id.pop(target_id, None)
        if target is not None:
            self.by_number.pop(target.number, None)
            logs.event("target-removed", target=target_id)
            self._delist(target, target.registration.service)

    def misdirected(self, target: Target) -> None:
        """Stop using a target at whose address another server answered."""
        if not target.gone:
            target.gone = True
            logs.event("target-gone", target=target.registration.target_id, reason="421")
            self._delist(target, target.registration.service)

    def record_leaving(self, target: Target, source: str, now: float) -> None:
        """Record that a server advertised that it is leaving.

        This holds for the incarnation, even if an older registration says otherwise.

        Parameters
        ----------
        source : str
            How this entry learned it.
        """
        if target.leaving:
            return
        target.leaving = True
        self._leaving_since[target.number] = now
        self._delist(target, target.registration.service)
        if not target.registration.draining:
            logs.event(
                "target-departed",
                target=target.registration.target_id,
                way=source,
                age_s="0.000" if source is FROM_ANSWER else None,
            )

    def evacuate(self, zones: Iterable[str], now: float) -> None:
        """Stop using the servers of these zones; zones no longer named are used again, as cold."""
        zones = frozenset(zones)
        if zones == self.evacuated:
            return
        returned, self.evacuated = self.evacuated - zones, zones
        logs.event("zones-evacuated", zones=",".join(sorted(zones)) or "none")
        for target in self._by_id.values():
            if target.registration.zone in returned:
                # Servers of a returned zone may have lost their caches, and a cold server that gets
                # its usual load immediately crashes. A registration from before the return doesn't
                # show whether it is cold, so only later ones are trusted.
                target.cold_until = max(target.cold_until, now + EVACUATION_COLD_S)
                target.warmth.clear()
        self._rebuild()

    def _replace(self, old: Target | None, registration: Registration, now: float) -> None:
        if old is not None:
            self.by_number.pop(old.number, None)
            self._delist(old, old.registration.service)
        region = self._zone_regions.get(registration.zone, "")
        target = Target(registration, region, now)
        self._by_id[registration.target_id] = target
        self.by_number[target.number] = target
        self.on_target_added(target)
        logs.event(
            "target-registered",
            target=registration.target_id,
            born=registration.born,
            cold_s=registration.cold_s or None,
            **_log_fields(registration),
        )
        self._enlist(target)

    def _update_cold_state(self, target: Target, registration: Registration, now: float) -> None:
        until = now + registration.cold_s if registration.cold_s > 0.0 else 0.0
        if until > target.cold_until and target.cold_until <= now:
            # It became cold while running, so it has lost its objects.
            target.warmth.clear()
            target.cold_rate = None
            logs.event(
                "target-cold", target=registration.target_id, cold_s=f"{registration.cold_s:.1f}"
            )
        if until:
            target.cold_until = max(target.cold_until, until)

    def record_backoff(self, target: Target, seconds: float, now: float) -> None:
        """Record a backoff that a server asked this entry for; the latest end of several counts."""
        if now + seconds <= target.backoff_until:
            return
        target.backoff_until = now + seconds
        logs.event("target-rest", target=target.registration.target_id, seconds=f"{seconds:.3f}")

    def record_reported_leaving(self, numbers: Iterable[int], now: float) -> None:
        """Record the leaving servers that another entry reported."""
        for number in numbers:
            target = self.by_number.get(number)
            if target is not None:
                self.record_leaving(target, FROM_ENTRY, now)

    def leaving_to_report(self, now: float) -> tuple[int, ...]:
        """Return the servers that recently began to leave, to report to the other entries."""
        for number, at in list(self._leaving_since.items()):
            if now - at > LEAVING_REPORT_S:
                del self._leaving_since[number]
        return tuple(self._leaving_since)[-MAX_REPORTED_LEAVING:]

    def _is_open(self, target: Target) -> bool:
        registration = target.registration
        if target.gone or target.leaving or registration.draining:
            return False
        return registration.zone not in self.evacuated

    def _enlist(self, target: Target) -> None:
        """Add a target to the list of its service if it accepts new work."""
        if self._is_open(target):
            service = target.registration.service
            self._set_targets(service, [*self.by_service.get(service, ()), target])

    def _delist(self, target: Target, service: str) -> None:
        """Remove a target from the list of a service."""
        listed = self.by_service.get(service, [])
        remaining = [other for other in listed if other is not target]
        if len(remaining) < len(listed):
            self._set_targets(service, remaining)

    def _rebuild(self) -> None:
        """Recreate the lists of all services."""
        by_service: dict[str, list[Target]] = defaultdict(list)
        for target in self._by_id.values():
            if self._is_open(target):
                by_service[target.registration.service].append(target)
        for service in self.by_service.keys() | by_service.keys():
            self._set_targets(service, by_service.get(service, []))

    def _set_targets(self, service: str, targets: list[Target]) -> None:
        if targets:
            self.by_service[service] = targets
        else:
            self.by_service.pop(service, None)
        self._by_regions.pop(service, None)
        self.epoch += 1
        self.epoch_by_service[service] = self.epoch


def _placement(registration: Registration) -> tuple[object, ...]:
    return (
        registration.service,
        registration.host,
        registration.port,
        registration.zone,
        registration.draining,
    )


def _log_fields(registration: Registration) -> dict[str, Any]:
    return {
        "service": registration.service,
        "address": f"{registration.host}:{registration.port}",
        "zone": registration.zone,
        "slots": registration.slots,
        "draining": "yes" if registration.draining else None,
    }
