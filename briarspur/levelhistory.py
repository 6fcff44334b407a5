"""The service-level history in the object store: one object per service and hour.

``levels/<service>/<hour>`` holds the minutes of one hour, each with a latency histogram. The hour
is the Unix time divided by 3,600, with 8 digits. Updating costs one read and one write per minute
and service; objects older than three days are deleted at the start of an hour.
"""

import math
from collections import Counter

from pydantic import Field, ValidationError

from briarspur.collect import MinuteCounts
from briarspur.coord.errors import StoreConflictError, StoreError, StoreUnavailableError
from briarspur.coord.store import ABSENT, ObjectStore, StoredObject
from briarspur.documents import Document, faults_of
from briarspur.errors import DocumentError
from briarspur.latency import encode
from briarspur.levelseries import LevelSeries
from briarspur.windows import HOUR_S, SLOT_S, THREE_DAYS, Slot

__all__ = ["HourDocument", "LevelHistory", "hour_name"]

HOUR_DIGITS = 8
RETENTION_HOURS = THREE_DAYS.seconds // HOUR_S + 1
MAX_KEYS_PER_MINUTE = 10
MAX_MISSING_REASONS = 20
MAX_WRITE_ATTEMPTS = 3


class SlotDocument(Document):
    """One minute, with the fields of :class:`briarspur.windows.Slot`."""

    start: int = Field(ge=0, multiple_of=SLOT_S)
    good: int = Field(ge=0)
    bad: int = Field(ge=0)
    expected_s: float = Field(ge=0.0)
    covered_s: float = Field(ge=0.0)
    answers: dict[str, int] = Field(default={}, description="all answers by region")
    regions: dict[str, int] = Field(default={}, description="bad answers by region")
    codes: dict[str, int] = Field(default={})
    entries: dict[str, int] = Field(default={})
    missing: dict[str, int] = Field(default={})


class HourDocument(Document):
    """The minutes of one hour in time order, and by minute their encoded latency histograms."""

    slots: list[SlotDocument] = Field(default=[])
    latency: dict[str, str] = Field(default={})


class LevelHistory:
    """Writes and reads the history.

    Two collectors may run at the same time: a stored minute is kept, or replaced by one that covers
    more of the entries' time. Minutes are never summed, so no answer is counted twice.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, service: str, minute: MinuteCounts) -> None:
        """Add one minute.

        Raises
        ------
        StoreError
            It is unknown whether the minute was written; writing it again is safe.
        """
        name = hour_name(service, minute.slot.start // HOUR_S)
        addition = _to_document(minute.slot)
        latency = encode(minute.latency)
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._store.get(name)
            hour = _parse(stored) if stored else HourDocument()
            updated = _with_slot(hour, addition, latency)
            if updated is None:
                return
            value = updated.model_dump_json(exclude_defaults=True).encode()
            try:
                await self._store.put(name, value, stored.version if stored else ABSENT)
            except StoreConflictError:
                continue
            return
        raise StoreUnavailableError(f"{name}: {MAX_WRITE_ATTEMPTS} conflicts")

    async def delete_expired(self, service: str, now: float) -> None:
        """Delete the hour that has just expired; a failure to delete it is ignored."""
        name = hour_name(service, int(now // HOUR_S) - RETENTION_HOURS)
        try:
            stored = await self._store.get(name)
            if stored is not None:
                await self._store.delete(name, stored.version)
        except StoreError:
            return

    async def read(self, service: str, now: float) -> LevelSeries:
        """Return the last three days.

        Raises
        ------
        DocumentError
            A stored hour is invalid.
        """
        series = LevelSeries()
        this_hour = int(now // HOUR_S)
        for hour in range(this_hour - RETENTION_HOURS + 1, this_hour + 1):
            stored = await self._store.get(hour_name(service, hour))
            if stored is not None:
                _add_hour(series, _parse(stored))
                series.trim(now)
        return series


def hour_name(service: str, hour: int) -> str:
    """Return the name of the object for an hour, given as Unix time divided by 3,600."""
    return f"levels/{service}/{hour:0{HOUR_DIGITS}d}"


def _parse(stored: StoredObject) -> HourDocument:
    try:
        return HourDocument.model_validate_json(stored.value)
    except ValidationError as error:
        raise DocumentError(stored.name, faults_of(error)) from None


def _with_slot(hour: HourDocument, addition: SlotDocument, latency: str) -> HourDocument | None:
    """Return the hour with the minute added or replaced; None if that adds no coverage."""
    slots = {slot.start: slot for slot in hour.slots}
    previous = slots.get(addition.start)
    if previous is not None and _coverage(previous) >= _coverage(addition):
        return None
    slots[addition.start] = addition
    latencies = {**hour.latency, str(addition.start): latency}
    ordered = [slots[start] for start in sorted(slots)]
    return HourDocument(slots=ordered, latency=latencies)


def _coverage(slot: SlotDocument) -> float:
    return slot.covered_s if slot.expected_s else -math.inf


def _to_document(slot: Slot) -> SlotDocument:
    return SlotDocument(
        start=slot.start,
        good=slot.good,
        bad=slot.bad,
        expected_s=slot.expected_s,
        covered_s=slot.covered_s,
        answers=dict(slot.all_by_region),
        regions=_largest_counts(slot.bad_by_region, MAX_KEYS_PER_MINUTE),
        codes={str(code): count for code, count in slot.bad_by_code.items()},
        entries=_largest_counts(slot.bad_by_entry, MAX_KEYS_PER_MINUTE),
        missing=_largest_counts(slot.missing, MAX_MISSING_REASONS),
    )


def _largest_counts(counts: Counter[str], limit: int) -> dict[str, int]:
    """Return the largest counts, and the sum of the others under the key ``others``."""
    largest = dict(counts.most_common(limit))
    other_count = counts.total() - sum(largest.values())
    return {**largest, "others": other_count} if other_count else largest


def _add_hour(series: LevelSeries, hour: HourDocument) -> None:
    for slot in hour.slots:
        series.add(_from_document(slot), hour.latency.get(str(slot.start), ""))


def _from_document(slot: SlotDocument) -> Slot:
    return Slot(
        start=slot.start,
        good=slot.good,
        bad=slot.bad,
        expected_s=slot.expected_s,
        covered_s=slot.covered_s,
        all_by_region=Counter(slot.answers),
        bad_by_region=Counter(slot.regions),
        bad_by_code=Counter({int(code): count for code, count in slot.codes.items()}),
        bad_by_entry=Counter(slot.entries),
        missing=Counter(slot.missing),
    )
