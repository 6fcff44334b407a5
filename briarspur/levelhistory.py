"""The service-level history in the object store: one object a service and hour.

``levels/<service>/<hour>`` holds the minutes of one hour with a histogram of latencies for each.
The hour is the Unix time over 3,600, in 8 digits. It costs one read and one write a minute and
service; what is older than three days is deleted as new hours begin.
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
KEPT_HOURS = THREE_DAYS.seconds // HOUR_S + 1
MAX_KEYS = 10
MAX_MISSING = 20
WRITE_ATTEMPTS = 3


class SlotDocument(Document):
    """One minute; the fields are those of :class:`briarspur.windows.Slot`."""

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
    """The minutes of one hour, ordered by time; ``latency`` by minute, as encoded histograms."""

    slots: list[SlotDocument] = Field(default=[])
    latency: dict[str, str] = Field(default={})


class LevelHistory:
    """Writes and reads the history.

    Two collectors may run at once: a minute that is there already is kept, or replaced by one that
    covers more of the entries' time. Minutes are never summed, so nothing is counted twice.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, service: str, counted: MinuteCounts) -> None:
        """Add one minute.

        Raises
        ------
        StoreError
            It is not known to be written; writing it again is harmless.
        """
        name = hour_name(service, counted.slot.start // HOUR_S)
        addition = _to_document(counted.slot)
        latency = encode(counted.latency)
        for _ in range(WRITE_ATTEMPTS):
            found = await self._store.get(name)
            hour = _parse(found) if found else HourDocument()
            changed = _with_slot(hour, addition, latency)
            if changed is None:
                return
            value = changed.model_dump_json(exclude_defaults=True).encode()
            try:
                await self._store.put(name, value, found.version if found else ABSENT)
            except StoreConflictError:
                continue
            return
        raise StoreUnavailableError(f"{name}: {WRITE_ATTEMPTS} conflicts")

    async def forget(self, service: str, now: float) -> None:
        """Delete the hour that has just become too old; not deleting it does no harm."""
        name = hour_name(service, int(now // HOUR_S) - KEPT_HOURS)
        try:
            found = await self._store.get(name)
            if found is not None:
                await self._store.delete(name, found.version)
        except StoreError:
            return

    async def read(self, service: str, now: float) -> LevelSeries:
        """Return the last three days.

        Raises
        ------
        DocumentError
            A stored hour is not valid.
        """
        series = LevelSeries()
        this_hour = int(now // HOUR_S)
        for hour in range(this_hour - KEPT_HOURS + 1, this_hour + 1):
            found = await self._store.get(hour_name(service, hour))
            if found is not None:
                _add_hour(series, _parse(found))
                series.trim(now)
        return series


def hour_name(service: str, hour: int) -> str:
    """Return the object's name for an hour, given as Unix time over 3,600."""
    return f"levels/{service}/{hour:0{HOUR_DIGITS}d}"


def _parse(found: StoredObject) -> HourDocument:
    try:
        return HourDocument.model_validate_json(found.value)
    except ValidationError as error:
        raise DocumentError(found.name, faults_of(error)) from None


def _with_slot(hour: HourDocument, addition: SlotDocument, latency: str) -> HourDocument | None:
    """Return the hour with the minute in its place; None if it knows as much already."""
    slots = {slot.start: slot for slot in hour.slots}
    present = slots.get(addition.start)
    if present is not None and _coverage(present) >= _coverage(addition):
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
        regions=_most(slot.bad_by_region, MAX_KEYS),
        codes={str(code): count for code, count in slot.bad_by_code.items()},
        entries=_most(slot.bad_by_entry, MAX_KEYS),
        missing=_most(slot.missing, MAX_MISSING),
    )


def _most(counts: Counter[str], limit: int) -> dict[str, int]:
    """Return the largest counts, and the sum of the others under one name."""
    largest = dict(counts.most_common(limit))
    rest = counts.total() - sum(largest.values())
    return {**largest, "others": rest} if rest else largest


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
