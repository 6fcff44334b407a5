"""Keeps in the store which objects are warm where."""

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
from briarspur.gateway.warmthrecord import decode_record, encode_record, record_of

__all__ = ["RECORD_NAME", "WarmthKeeper"]

RECORD_NAME = "latest"
WRITE_PERIOD = 3.0
"""Seconds between two looks at whether the record has changed. Most objects are made warm within
some 10 s of a start; a call to the store is paid for."""
LOAD_RETRY = 1.0
"""Seconds between two tries to read the record while the store does not answer."""
LONGEST_USE = 120.0
"""Seconds after which a record tells nothing: other objects have taken the servers' memory."""
MS = 1_000


class WarmthKeeper:
    """Reads the record once at the start; one entry of the fleet writes it.

    When all entries are lost at once, the servers still have their objects at hand, but nobody
    knows which. Entries that start then would send each object where its order says, and many a one
    to a server that must take the cold time for it, on top of the requests that come back.

    Parameters
    ----------
    is_writer : callable
        Tells whether it is this entry that writes.
    """

    def __init__(
        self,
        source: ObjectSource,
        loads: LoadView,
        targets: Callable[[], Iterable[Target]],
        is_writer: Callable[[], bool],
        rng: random.Random,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._source = source
        self._loads = loads
        self._targets = targets
        self._is_writer = is_writer
        self._rng = rng
        self._wall = wall
        self._written: tuple[tuple[int, int], ...] = ()

    async def run(self) -> None:
        """Read the record, then write it whenever it has changed, until cancelled."""
        # A record is never replaced before it was read: an entry that has just started knows
        # little, and would take from the others what the record tells.
        while not await self._load():
            await asyncio.sleep(LOAD_RETRY * self._rng.uniform(0.7, 1.3))
        while True:
            await asyncio.sleep(WRITE_PERIOD * self._rng.uniform(0.8, 1.2))
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
                self._take(change)
        return True

    def _take(self, change: StoredChange) -> None:
        result = decode_record(change.value)
        if result.is_error():
            logs.event("warmth-skipped", logging.WARNING, reason=result.error)
            return
        record = result.ok
        age = self._wall() - record.at_ms / MS
        used = 0.0 <= age <= LONGEST_USE
        if used:
            self._loads.restore_warmed(record.pairs)
        logs.event(
            "warmth-read",
            pairs=len(record.pairs),
            age_s=f"{age:.1f}",
            used="yes" if used else "no",
        )

    async def _write(self) -> None:
        record = record_of(self._targets(), round(self._wall() * MS))
        if record.pairs == self._written:
            return
        try:
            await self._source.write(Kind.WARMTH, RECORD_NAME, encode_record(record))
        except StoreError as error:
            logs.event("warmth-not-written", logging.WARNING, error=str(error))
            return
        self._written = record.pairs
        logs.event("warmth-written", pairs=len(record.pairs))
