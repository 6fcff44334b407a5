"""The backend servers that an entry may use, by service."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from briarspur import logs
from briarspur.gateway.registration import Registration
from briarspur.gateway.servernotice import FROM_ANSWER, FROM_ENTRY
from briarspur.gateway.target import Target

__all__ = ["TargetTable"]

WARM_AGAIN = 3.0
"""Seconds for which a zone's servers count as cold after its evacuation ended, unless their own
registrations, written every 1 to 2 s, have said otherwise by then."""

LEAVING_TOLD_FOR = 3.0
"""Seconds for which each entry that hears of a leaving server tells the others. Whoever misses all
news of this time hears it from the store or from the server itself."""
MOST_LEAVING_TOLD = 40
"""Leaving servers in one message, the latest ones; 160 bytes."""


class TargetTable:
    """Incarnations of backend servers, from their registrations and the evacuated zones.

    Attributes
    ----------
    by_service : dict
        Targets that take new work, by service.
    by_number : dict
        All known targets, by the number that load news give them.
    epoch : int
        Raised whenever ``by_service`` changes.
    """

    def __init__(self, zone_regions: Mapping[str, str]) -> None:
        self._zone_regions = zone_regions
        self._by_id: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self._by_regions: dict[tuple[str, frozenset[str]], list[Target]] = {}
        self.by_number: dict[int, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.epoch = 0
        self._left_at: dict[int, float] = {}
        self.on_new: Callable[[Target], None] = lambda target: None

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, target_id: str) -> Target | None:
        """Return the current incarnation of a target."""
        return self._by_id.get(target_id)

    def in_regions(self, service: str, regions: frozenset[str]) -> list[Target]:
        """Return a service's targets that take new work, of some regions only if any are named."""
        targets = self.by_service.get(service, [])
        if not regions:
            return targets
        found = self._by_regions.get((service, regions))
        if found is None:
            found = [target for target in targets if target.region in regions]
            self._by_regions[service, regions] = found
        return found

    def takes_work(self, target: Target, now: float) -> bool:
        """Return whether this incarnation of a target is still there and may be sent requests."""
        current = self._by_id.get(target.registration.target_id)
        return current is target and self._is_open(target) and not target.rests(now)

    def registered(self, registration: Registration, now: float) -> None:
        """Take a registration; a new ``born`` voids all that was known of the target."""
        target = self._by_id.get(registration.target_id)
        if target is None or target.registration.incarnation != registration.incarnation:
            self._replace(target, registration, now)
            return
        old, target.registration = target.registration, registration
        self._take_coldness(target, registration, now)
        if _placed(old) != _placed(registration):
            # A server that changes service or address is another place, whatever its id says.
            target.gone = False
            target.warmth.clear()
            logs.event("target-changed", target=registration.target_id, **_facts(registration))
            self._rebuild()

    def removed(self, target_id: str) -> None:
        """Drop a target whose registration is gone."""
        target = self._by_id.pop(target_id, None)
        if target is not None:
            self.by_number.pop(target.number, None)
            logs.event("target-removed", target=target_id)
            self._rebuild()

    def misdirected(self, target: Target) -> None:
        """Use a target no more whose address answered that another server is there."""
        if not target.gone:
            target.gone = True
            logs.event("target-gone", target=target.registration.target_id, reason="421")
            self._rebuild()

    def leaves(self, target: Target, way: str, now: float) -> None:
        """Take a server's own word that it leaves, and how it came here.

        It holds for this incarnation, whatever an older registration says.
        """
        if target.leaving:
            return
        target.leaving = True
        self._left_at[target.number] = now
        self._rebuild()
        if not target.registration.draining:
            logs.event(
                "target-departed",
                target=target.registration.target_id,
                way=way,
                age_s="0.000" if way is FROM_ANSWER else None,
            )

    def evacuate(self, zones: Iterable[str], now: float) -> None:
        """Send nothing new to these zones; those no longer named may be used again, as cold."""
        zones = frozenset(zones)
        if zones == self.evacuated:
            return
        returned, self.evacuated = self.evacuated - zones, zones
        logs.event("zones-evacuated", zones=",".join(sorted(zones)) or "none")
        for target in self._by_id.values():
            if target.registration.zone in returned:
                # Servers of a returned zone may have lost their caches, and a cold one that gets
                # its usual share at once crashes. A registration from before the return can't
                # tell, so only one that arrives later ends this.
                target.cold_until = max(target.cold_until, now + WARM_AGAIN)
                target.warmth.clear()
        self._rebuild()

    def _replace(self, old: Target | None, registration: Registration, now: float) -> None:
        if old is not None:
            self.by_number.pop(old.number, None)
        region = self._zone_regions.get(registration.zone, "")
        target = Target(registration, region, now)
        self._by_id[registration.target_id] = target
        self.by_number[target.number] = target
        self.on_new(target)
        logs.event(
            "target-registered",
            target=registration.target_id,
            born=registration.born,
            cold_s=registration.cold_s or None,
            **_facts(registration),
        )
        self._rebuild()

    def _take_coldness(self, target: Target, registration: Registration, now: float) -> None:
        until = now + registration.cold_s if registration.cold_s > 0.0 else 0.0
        if until > target.cold_until and target.cold_until <= now:
            # It became cold in the middle of its life: it has lost what it knew.
            target.warmth.clear()
            target.cold_rate = None
            logs.event(
                "target-cold", target=registration.target_id, cold_s=f"{registration.cold_s:.1f}"
            )
        if until:
            target.cold_until = max(target.cold_until, until)

    def rests(self, target: Target, seconds: float, now: float) -> None:
        """Take a rest that a server asks this entry for; of several the latest end counts."""
        if now + seconds <= target.rest_until:
            return
        target.rest_until = now + seconds
        logs.event("target-rest", target=target.registration.target_id, seconds=f"{seconds:.3f}")

    def told_leaving(self, numbers: Iterable[int], now: float) -> None:
        """Take which servers another entry knows to leave."""
        for number in numbers:
            target = self.by_number.get(number)
            if target is not None:
                self.leaves(target, FROM_ENTRY, now)

    def leaving_to_tell(self, now: float) -> tuple[int, ...]:
        """Return the servers that are lately known to leave, for the other entries."""
        for number, at in list(self._left_at.items()):
            if now - at > LEAVING_TOLD_FOR:
                del self._left_at[number]
        return tuple(self._left_at)[-MOST_LEAVING_TOLD:]

    def _is_open(self, target: Target) -> bool:
        registration = target.registration
        if target.gone or target.leaving or registration.draining:
            return False
        return registration.zone not in self.evacuated

    def _rebuild(self) -> None:
        by_service: dict[str, list[Target]] = defaultdict(list)
        for target in self._by_id.values():
            if self._is_open(target):
                by_service[target.registration.service].append(target)
        self.by_service = dict(by_service)
        self._by_regions.clear()
        self.epoch += 1


def _placed(registration: Registration) -> tuple[object, ...]:
    return (
        registration.service,
        registration.host,
        registration.port,
        registration.zone,
        registration.draining,
    )


def _facts(registration: Registration) -> dict[str, Any]:
    return {
        "service": registration.service,
        "address": f"{registration.host}:{registration.port}",
        "zone": registration.zone,
        "slots": registration.slots,
        "draining": "yes" if registration.draining else None,
    }
