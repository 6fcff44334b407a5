"""Which entries are live, and which of them are returned to a caller."""

from collections.abc import Callable
from dataclasses import dataclass

from briarspur.gateway.entryrecord import EntryRecord, process_number
from briarspur.gateway.loadview import SeenEntries, SeenEntry

__all__ = ["Fleet"]

MS_PER_S = 1_000.0
LIVENESS_TIMEOUT_S = 1.2
"""Time without news after which an entry is no longer returned to callers. A live entry sends news
at least four times a second, so it is dropped only if five messages in a row are lost."""
RECORD_LIFETIME_S = 300.0
"""Time without news after which an entry's record is deleted. A VM that was replaced never comes
back, 350 a day are replaced, and each record reduces the shares of the other entries."""
MAX_ENTRIES_PER_CALLER = 64
"""Entries in one response to a caller."""


@dataclass(slots=True)
class _Sighting:
    started: int
    at: float
    leaving: bool
    cut_off: bool = False


class Fleet:
    """Entries by their records in the store and by the news received from them.

    A record has the address of an entry, and its news shows that it is alive. Both are needed: a
    record outlives a killed process, and news from an unknown address could come from any sender.
    """

    def __init__(self, own_record: EntryRecord) -> None:
        self.own_record = own_record
        self.leaving = False
        self.cut_off = False
        self._records: dict[str, EntryRecord] = {}
        self._recorded_at: dict[str, float] = {}
        self._sightings: dict[str, _Sighting] = {}
        self._id_by_number: dict[int, str] = {}

    def recorded(self, record: EntryRecord, now: float = 0.0) -> None:
        """Add or replace an entry's record."""
        known = self._records.get(record.entry_id)
        if record.entry_id != self.own_record.entry_id and (
            known is None or record.started >= known.started
        ):
            self._records[record.entry_id] = record
            self._recorded_at[record.entry_id] = now
            if known is not None:
                self._id_by_number.pop(known.number, None)
            self._id_by_number[record.number] = record.entry_id

    def removed(self, entry_id: str) -> None:
        """Drop an entry whose record was deleted."""
        record = self._records.pop(entry_id, None)
        if record is not None:
            self._id_by_number.pop(record.number, None)
        self._recorded_at.pop(entry_id, None)
        self._sightings.pop(entry_id, None)

    def record_seen(self, seen: SeenEntry, now: float) -> None:
        """Record that an entry was seen alive, by this entry or by another one."""
        at = now - seen.age
        known = self._sightings.get(seen.entry_id)
        if known is not None and (seen.started, at) < (known.started, known.at):
            return
        leaving = seen.leaving
        if known is not None and known.started == seen.started:
            # A process that is leaving does not come back; an older sighting must not undo that.
            leaving = leaving or known.leaving
        self._sightings[seen.entry_id] = _Sighting(seen.started, at, leaving, seen.cut_off)

    def record_all_seen(self, seen: SeenEntries, now: float) -> None:
        """Record the entries that another one has seen; processes without a record are ignored."""
        for number, age in zip(seen.numbers, seen.ages, strict=True):
            entry_id = self._id_by_number.get(number)
            if entry_id is None:
                continue
            known = self._sightings.get(entry_id)
            started = self._records[entry_id].started
            leaving = number in seen.leaving
            cut_off = number in seen.cut_off
            if known is None or known.started != started or known.leaving or leaving:
                self.record_seen(SeenEntry(entry_id, started, leaving, age, cut_off), now)
            elif now - age >= known.at:
                known.at, known.cut_off = now - age, cut_off

    def seen_entries(self, now: float, select: Callable[[EntryRecord], bool]) -> SeenEntries:
        """Return the recently seen entries that are selected, this one included."""
        numbers, ages, leaving, cut_off = [], [], set(), set()
        for record in self._records.values():
            sighting = self._sightings.get(record.entry_id)
            if sighting is not None and now - sighting.at <= LIVENESS_TIMEOUT_S and select(record):
                number = process_number(record.entry_id, sighting.started)
                numbers.append(number)
                ages.append(now - sighting.at)
                if sighting.leaving:
                    leaving.add(number)
                if sighting.cut_off:
                    cut_off.add(number)
        if select(self.own_record):
            numbers.append(self.own_record.number)
            ages.append(0.0)
            if self.leaving:
                leaving.add(self.own_record.number)
            if self.cut_off:
                cut_off.add(self.own_record.number)
        return SeenEntries(tuple(numbers), tuple(ages), frozenset(leaving), frozenset(cut_off))

    @property
    def size(self) -> int:
        """The number of recorded entries, this one included."""
        return len(self._records) + 1

    def record(self, entry_id: str) -> EntryRecord | None:
        """Return another entry's record."""
        return self._records.get(entry_id)

    def others(self) -> list[EntryRecord]:
        """Return all recorded entries except this one."""
        return list(self._records.values())

    def live(self, now: float) -> list[EntryRecord]:
        """Return the other entries that were seen recently and are not leaving."""
        return [record for record in self._records.values() if self._is_live(record, now)]

    def helpers(self, now: float) -> list[EntryRecord]:
        """Return the live entries that reach backend servers and accept forwarded requests."""
        return [record for record in self.live(now) if record.news_port and self._reaches(record)]

    def entry_ids(self, now: float) -> list[str]:
        """Return the ids of all live entries, this one included."""
        return sorted([self.own_record.entry_id, *(record.entry_id for record in self.live(now))])

    def seen_size(self, now: float) -> int:
        """Return the number of recently seen entries, this one and leaving ones included."""
        sightings = (self._sightings.get(entry_id) for entry_id in self._records)
        return 1 + sum(
            1 for seen in sightings if seen is not None and now - seen.at <= LIVENESS_TIMEOUT_S
        )

    def restarted_size(self, seconds: float, own_age: float, now: float) -> int:
        """Return the number of recently seen entries that started within the last ``seconds``.

        Parameters
        ----------
        own_age : float
            Seconds since this entry started; it is counted, too.
        """
        started_after = self.own_record.started + (own_age - seconds) * MS_PER_S
        sightings = (self._sightings.get(entry_id) for entry_id in self._records)
        return (own_age < seconds) + sum(
            seen is not None
            and now - seen.at <= LIVENESS_TIMEOUT_S
            and seen.started > started_after
            for seen in sightings
        )

    def has_older_entry(self, seconds: float, now: float) -> bool:
        """Return whether a recently seen entry started at least ``seconds`` before this one."""
        latest = self.own_record.started - seconds * MS_PER_S
        sightings = (self._sightings.get(entry_id) for entry_id in self._records)
        return any(
            seen is not None and now - seen.at <= LIVENESS_TIMEOUT_S and seen.started <= latest
            for seen in sightings
        )

    def for_caller(self, region: str, zone: str, now: float) -> list[EntryRecord]:
        """Return the entries that a caller may use.

        These are the entries of its availability zone, if it has at least as many as the zones of
        the region have on average, or else those of the region. Traffic within a zone is free, but
        a single entry must not bear the load that two share elsewhere. Entries that reach no
        backend server are left out as long as others do.
        """
        live = self.live(now)
        if not self.leaving or not live:
            live.append(self.own_record)
        live = [record for record in live if self._reaches(record)] or live
        near = [record for record in live if record.region == region]
        zones = {record.zone for record in near}
        same = [record for record in near if record.zone == zone]
        if same and len(same) * len(zones) >= len(near):
            near = same
        return sorted(near or live, key=lambda record: record.entry_id)[:MAX_ENTRIES_PER_CALLER]

    def expired_ids(self, now: float) -> list[str]:
        """Return the ids of recorded entries that have sent no news for their record's lifetime."""
        expired = []
        for entry_id, recorded_at in self._recorded_at.items():
            sighting = self._sightings.get(entry_id)
            latest = max(recorded_at, sighting.at) if sighting is not None else recorded_at
            if entry_id in self._records and now - latest > RECORD_LIFETIME_S:
                expired.append(entry_id)
        return expired

    def _reaches(self, record: EntryRecord) -> bool:
        """Return whether an entry reaches backend servers, as far as it says."""
        if record is self.own_record:
            return not self.cut_off
        sighting = self._sightings.get(record.entry_id)
        return sighting is None or not sighting.cut_off

    def _is_live(self, record: EntryRecord, now: float) -> bool:
        sighting = self._sightings.get(record.entry_id)
        if sighting is None or sighting.leaving or sighting.started < record.started:
            return False
        return now - sighting.at <= LIVENESS_TIMEOUT_S
