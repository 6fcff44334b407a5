"""Applies changes of the store's objects to the state of the gateway."""

import logging
from collections.abc import Callable, Sequence

from briarspur import logs
from briarspur.coord.era import format_revision
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.codec import Codec
from briarspur.gateway.configuration import Configuration
from briarspur.gateway.departures import Departures
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.histogram import Histogram
from briarspur.gateway.replica import ChangeSource, Kind, StoredChange
from briarspur.gateway.reservationrecord import RECORD_NAME, decode_reservations
from briarspur.gateway.steering import Steering

__all__ = ["ChangeApplier"]

MAX_AGE_S = 9_999.0
"""Maximum age logged; used for an object that the store never confirmed to this entry."""


class ChangeApplier:
    """Applies changes of every kind. A change that can't be decoded is logged and affects no other.

    Parameters
    ----------
    availability : StoreAvailability
        Decides whether a registration that vanished may only have expired.
    copy_age : callable
        Returns the seconds since this entry's copies were last known to be complete, which is the
        maximum age of a change that arrives now.
    on_configuration : callable
        Called with each configuration that came into force.
    """

    def __init__(
        self,
        steering: Steering,
        fleet: Fleet,
        codec: Codec,
        clock: Callable[[], float],
        availability: StoreAvailability,
        copy_age: Callable[[], float],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._steering = steering
        self._fleet = fleet
        self._codec = codec
        self._clock = clock
        self._on_configuration = on_configuration
        self._availability = availability
        self._copy_age = copy_age
        self._departures = Departures(availability)
        self._evacuated: set[str] = set()
        self.departure_ages: dict[str, Histogram] = {}
        self.malformed_objects = 0
        self.malformed_parts = 0

    def apply(self, kind: Kind, changes: Sequence[StoredChange], source: ChangeSource) -> None:
        """Apply changes of one kind that arrived from one source."""
        match kind:
            case Kind.CONFIGURATION:
                for change in changes:
                    self._apply_configuration(change)
            case Kind.TARGETS:
                for change in changes:
                    self._apply_target(change, source)
            case Kind.EVACUATIONS:
                self._apply_evacuations(changes)
            case Kind.ENTRIES:
                for change in changes:
                    self._apply_entry(change)
            case Kind.RESERVATIONS:
                for change in changes:
                    self._apply_reservations(change)

    def tick(self) -> None:
        """Remove targets whose registrations did not return in time."""
        now = self._clock()
        self._availability.tick(now)
        for held in self._departures.due(now):
            logs.event("target-hold-ended", target=held.target_id)
            self._record_departure(held.target_id, ChangeSource.HOLD.value, now - held.since)
            self._steering.targets.removed(held.target_id)

    def _apply_configuration(self, change: StoredChange) -> None:
        if change.name != self._codec.configuration_name or change.value is None:
            return
        result = self._codec.configuration(change.value)
        if result.is_error():
            self._record_malformed(Kind.CONFIGURATION, change, result.error)
            return
        configuration, faults = result.ok.configuration, result.ok.faults
        if not self._steering.apply_configuration(configuration):
            return
        logs.event(
            "configuration-in-force",
            version=configuration.version,
            revision=format_revision(change.revision),
            routes=len(configuration.routes),
            skipped=sum(fault.skipped for fault in faults) or None,
        )
        self.malformed_parts += len(faults)
        for fault in faults:
            logs.event(
                "configuration-part-malformed",
                logging.WARNING,
                version=configuration.version,
                part=fault.part,
                part_name=fault.name or None,
                skipped="yes" if fault.skipped else "no",
                reason=fault.reason,
            )
        self._on_configuration(configuration)

    def _apply_target(self, change: StoredChange, source: ChangeSource) -> None:
        targets, now = self._steering.targets, self._clock()
        if change.value is None:
            copy_age = self._copy_age()
            if self._departures.vanished(change.name, now - copy_age, now):
                self._record_departure(change.name, source.value, copy_age)
                targets.removed(change.name)
            else:
                logs.event("target-vanished", target=change.name, kept="store was away")
            return
        result = self._codec.registration(change.name, change.value)
        if result.is_error():
            self._record_malformed(Kind.TARGETS, change, result.error)
            self._record_departure(change.name, source.value, self._copy_age())
            targets.removed(change.name)
            return
        self._departures.returned(change.name)
        if result.ok.draining:
            self._record_departure(change.name, source.value, self._copy_age())
        targets.registered(result.ok, now)

    def _record_departure(self, target_id: str, source: str, age: float) -> None:
        """Log and count the age of a departure when it takes effect, if the target was in use."""
        target = self._steering.targets.get(target_id)
        if target is None or target.registration.draining or target.leaving:
            return
        age = min(age, MAX_AGE_S)
        self.departure_ages.setdefault(source, Histogram()).record(age)
        logs.event("target-departed", target=target_id, way=source, age_s=f"{age:.3f}")

    def _apply_evacuations(self, changes: Sequence[StoredChange]) -> None:
        for change in changes:
            if change.value is None:
                self._evacuated.discard(change.name)
            else:
                self._evacuated.add(change.name)
        self._steering.targets.evacuate(self._evacuated, self._clock())

    def _apply_entry(self, change: StoredChange) -> None:
        now = self._clock()
        if change.value is None:
            self._fleet.removed(change.name)
            self._steering.set_recorded_fleet_size(self._fleet.size, now)
            return
        result = self._codec.entry(change.name, change.value)
        if result.is_error():
            self._record_malformed(Kind.ENTRIES, change, result.error)
            return
        self._fleet.recorded(result.ok, now)
        if change.name == self._fleet.own_record.entry_id:
            self._steering.retry_budgets.record_found(now)
        self._steering.set_recorded_fleet_size(self._fleet.size, now)

    def _apply_reservations(self, change: StoredChange) -> None:
        if change.name != RECORD_NAME or change.value is None:
            return
        result = decode_reservations(change.value)
        if result.is_error():
            self._record_malformed(Kind.RESERVATIONS, change, result.error)
            return
        self._steering.quotas.reserved(result.ok)

    def _record_malformed(self, kind: Kind, change: StoredChange, reason: str) -> None:
        self.malformed_objects += 1
        logs.event(
            "object-malformed",
            logging.WARNING,
            kind=kind.name,
            object=change.name,
            revision=format_revision(change.revision),
            version_in_force=self._steering.version or None,
            reason=reason,
        )
