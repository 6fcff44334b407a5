"""Withholds new claims of keys while the store may lack earlier ones.

A store that returned from an older copy lacks the latest claims, so a key without a claim may have
run. New claims are withheld until all entries that may hold lost claims have written them again, or
until no caller repeats a key from before the return. The end is recorded in the store, for entries
that start meanwhile.
"""

import asyncio
import contextlib
import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from briarspur.coord.era import era_of
from briarspur.coord.errors import StoreConflictError, StoreError
from briarspur.coord.store import ABSENT, ObjectStore, StoredObject

__all__ = ["HOLD_NAME", "ClaimHold"]

HOLD_NAME = "claims-hold"
"""Name of the object that records until when claims are withheld, and in which era of the store."""
DEFAULT_LIFETIME_S = 86_400.0
DEFAULT_SKEW_S = 30.0
DEFAULT_READ_INTERVAL_S = 1.0
RECOVERY_RETRY_S = 2.0
"""Retry-After while the holders of lost claims are expected to write them again."""
FIRST_HOLD_S = 5.0
"""Hold of a store without a record, which no entry of this release has used: long enough for an
entry that knows of a return to replace the record."""
ENDED = 0.0
"""Time in the past by every clock."""
CLOCKS_COMPARED = 2
"""The writer's clock is compared with those of the claims' holders and those of its readers."""


@dataclass(frozen=True, slots=True)
class _Record:
    """The stored state of the hold.

    Attributes
    ----------
    era : int
        Era of the store to which it applies.
    reopens_at : float
        Unix time in seconds from which claims are given out.
    has_lost_holders : bool
        Entries that may hold lost claims are gone, so the hold is unlikely to end earlier.
    is_first : bool
        No earlier record was found.
    """

    era: int
    reopens_at: float
    has_lost_holders: bool = False
    is_first: bool = False

    def encode(self) -> bytes:
        fields = {
            "era": self.era,
            "reopens_at": self.reopens_at,
            "lost_holders": self.has_lost_holders,
            "first": self.is_first,
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "_Record | None":
        """Return the record, or None if it is malformed."""
        try:
            fields = json.loads(value)
            return cls(
                int(fields["era"]),
                float(fields["reopens_at"]),
                bool(fields["lost_holders"]),
                bool(fields["first"]),
            )
        except (ValueError, KeyError, TypeError):
            return None


class ClaimHold:
    """Tells one entry whether new claims are given out in the store's current era.

    Parameters
    ----------
    store : ObjectStore
    lifetime : callable
        Returns the seconds for which a caller may repeat a key and its holder remembers it.
    open_era : int or None
        The era in which claims are given out without reading the record first. None if the record
        decides, which is then created if there is none.
    skew : float
        Maximum difference between the clocks of two entries, in seconds.
    read_interval : callable
        Returns the minimum seconds between two reads of the record.
    wall : callable
        Returns unix time in seconds.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        lifetime: Callable[[], float] = lambda: DEFAULT_LIFETIME_S,
        open_era: int | None = None,
        skew: float = DEFAULT_SKEW_S,
        read_interval: Callable[[], float] = lambda: DEFAULT_READ_INTERVAL_S,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._lifetime = lifetime
        self._open_era = open_era
        self._skew = skew
        self._read_interval = read_interval
        self._wall = wall
        self._clock = clock
        self._known_era = open_era or 0
        self._record = _Record(-1, math.inf)
        self._next_read_at = -math.inf
        self._lock = asyncio.Lock()

    @property
    def era(self) -> int:
        """The latest era of the store that is known."""
        return max(self._known_era, self._store.era)

    @property
    def open_era(self) -> int | None:
        """The latest era in which claims were given out; None if there was none yet."""
        return self._open_era

    @property
    def is_active(self) -> bool:
        """Whether new claims are withheld, as far as this entry knows."""
        return self._open_era != self.era

    @property
    def retry_after(self) -> float:
        """Seconds after which a caller may expect that its key can be claimed."""
        if self._record.era != self.era or not self._record.has_lost_holders:
            return RECOVERY_RETRY_S
        return max(1.0, self._record.reopens_at - self._wall())

    def record_era(self, era: int) -> None:
        """Record an era of the store that a response or another entry told."""
        self._known_era = max(self._known_era, era)

    async def is_open(self) -> bool:
        """Return whether claims are given out; read the record if that may have changed."""
        if not self.is_active:
            return True
        async with self._lock:
            if self.is_active and self._clock() >= self._next_read_at:
                self._next_read_at = self._clock() + self._read_interval()
                with contextlib.suppress(StoreError):
                    await self._read()
        return not self.is_active

    async def reopen(self) -> bool:
        """End the hold for all entries; return whether that is recorded.

        Call this only if no claim of an earlier era can be missing in the store.
        """
        return await self._change(lambda record: replace(record, reopens_at=ENDED))

    async def record_lost_holders(self) -> bool:
        """Record that the hold is unlikely to end early; return whether that is recorded."""
        return await self._change(lambda record: replace(record, has_lost_holders=True))

    async def _read(self) -> None:
        """Read the record, and write one for the current era if there is none."""
        found = await self._store.get(HOLD_NAME)
        if found is not None:
            self.record_era(era_of(found.version))
        record = None if found is None else _Record.decode(found.value)
        if record is None or self._is_outdated(record):
            record = await self._begin(found)
        self._apply(record)

    def _is_outdated(self, record: _Record) -> bool:
        if record.era < self.era:
            return True
        # An entry that started after the return and found no record knows nothing of the return.
        return record.is_first and self._open_era is not None and record.era == self.era

    async def _begin(self, found: StoredObject | None) -> _Record:
        """Record a hold of the current era in place of the object that was found."""
        era = self.era
        is_first = found is None and self._open_era is None
        if not is_first:
            reopens_at = self._wall() + self._lifetime() + CLOCKS_COMPARED * self._skew
        elif era:
            reopens_at = self._wall() + FIRST_HOLD_S
        else:
            reopens_at = ENDED
        record = _Record(era, reopens_at, is_first=is_first)
        version = ABSENT if found is None else found.version
        written = await self._store.put(HOLD_NAME, record.encode(), version)
        # If the store returned in between, or told its era for the first time, this record is of an
        # earlier era and the next read replaces it.
        self.record_era(era_of(written))
        return record

    async def _change(self, change: Callable[[_Record], _Record]) -> bool:
        """Change the record of the current era; return whether that was done."""
        found = await self._store.get(HOLD_NAME)
        record = None if found is None else _Record.decode(found.value)
        if found is None or record is None or record.era != self.era:
            return False
        changed = change(record)
        if changed == record:
            self._apply(record)
            return True
        try:
            written = await self._store.put(HOLD_NAME, changed.encode(), found.version)
        except StoreConflictError:
            return False
        self.record_era(era_of(written))
        self._apply(changed)
        return changed.era == self.era

    def _apply(self, record: _Record) -> None:
        self._record = record
        if record.era == self.era and self._wall() >= record.reopens_at:
            self._open_era = record.era
