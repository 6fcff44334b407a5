"""Keeps a record in the store of which objects are warm on which servers."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Iterable

from briarspur import logs
from briarspur.coord.errors import StoreError
from briarspur.gateway.loadview import LoadView
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.replica import Kind, StoredChange
from briarspur.gateway.target import Target
from briarspur.gateway.warmthrecord import build_record, decode_record, encode_record

__all__ = ["RECORD_NAME", "WarmthKeeper"]

RECORD_NAME = "latest"
WRITE_PERIOD_S = 3.0
"""Time between two checks whether the record has changed. Most objects are made warm within about
10 s of a start; calls to the store are paid for."""
LOAD_RETRY_S = 1.0
"""Time between two attempts to read the record while the store does not respond."""
MAX_RECORD_AGE_S = 120.0
"""Age from which a record is useless: other objects have replaced these in the servers' memory."""
MS_PER_S = 1_000


class WarmthKeeper:
    """Reads the record once at the start; one entry of the fleet writes it.

    When all entries fail at the same time, the servers still have their objects in memory, but no
    entry knows which. Without the record, entries that start would send each object to the first
    server in its order of preference. Many of these servers would need a cold run for it, in
    addition to the load of the requests that come back.

    Parameters
    ----------
    is_writer : callable
        Returns whether this entry is the one that writes.
    store_era : callable
        Returns the store's era; in a later one the record may be an older one.
    """

    def __init__(
        self,
        source: ObjectSource,
        loads: LoadView,
        targets: Callable[[], Iterable[Target]],
        is_writer: Callable[[], bool],
        rng: random.Random,
        store_era: Callable[[], int],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._source = source
        self._loads = loads
        self._targets = targets
        self._is_writer = is_writer
        self._rng = rng
        self._store_era = store_era
        self._wall_clock = wall_clock
        self._written: tuple[tuple[int, int], ...] = ()
        self._written_in = 0

    async def run(self) -> None:
        """Read the record, then write it when it has changed, until cancelled."""
        # The record must be read before it is replaced: an entry that has just started knows few
        # warm objects, and other entries would lose the rest of the record.
        while not await self._load():
            await asyncio.sleep(LOAD_RETRY_S * self._rng.uniform(0.7, 1.3))
        while True:
            await asyncio.sleep(WRITE_PERIOD_S * self._rng.uniform(0.8, 1.2))
            if self._is_writer():
                await self._write()

    async def _load(self) -> bool:
        try:
            batch = await self._source.list(Kind.WARMTH, may_be_old=True)
        except StoreError as error:
            logs.event("warmth-not-read", logging.WARNING, error=str(error))
            return False
        for change in batch.changes:
            if change.name == RECORD_NAME:
                self._restore(change)
        return True

    def _restore(self, change: StoredChange) -> None:
        result = decode_record(change.value)
        if result.is_error():
            logs.event("warmth-skipped", logging.WARNING, reason=result.error)
            return
        record = result.ok
        age = self._wall_clock() - record.at_ms / MS_PER_S
        is_valid = 0.0 <= age <= MAX_RECORD_AGE_S
        if is_valid:
            self._loads.restore_warmed(record.pairs)
        logs.event(
            "warmth-read",
            pairs=len(record.pairs),
            age_s=f"{age:.1f}",
            used="yes" if is_valid else "no",
        )

    async def _write(self) -> None:
        record = build_record(self._targets(), round(self._wall_clock() * MS_PER_S))
        era = self._store_era()
        if record.pairs == self._written and era == self._written_in:
            return
        try:
            await self._source.write(Kind.WARMTH, RECORD_NAME, encode_record(record))
        except StoreError as error:
            logs.event("warmth-not-written", logging.WARNING, error=str(error))
            return
        self._written, self._written_in = record.pairs, era
        logs.event("warmth-written", pairs=len(record.pairs))
