"""Maintains the records of entries in the store."""

import asyncio
import random
from collections.abc import Callable

from briarspur import logs
from briarspur.coord.errors import StoreError
from briarspur.gateway.codec import Codec
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.replica import Kind, Replica

__all__ = ["EntryRecords"]

WRITE_RETRY_S = 0.5
"""Delay before a failed write of the own record is retried."""
CHECK_PERIOD_S = 1.0
"""Time between two checks whether the store still has the own record."""
PROPAGATION_S = 2.0
"""Time after a write within which this entry's copy may lack it."""
CLEANUP_PERIOD_S = 60.0
"""Time between two searches for expired records."""


class EntryRecords:
    """Writes the record of this entry, and deletes those of entries that are gone.

    Parameters
    ----------
    is_reader : callable
        Returns whether this entry follows the store; only such entries delete expired records.
    replica : Replica
        The local copy of the records.
    confirmed_age : callable
        Returns the seconds since the store confirmed this copy.
    """

    def __init__(
        self,
        source: ObjectSource,
        codec: Codec,
        fleet: Fleet,
        is_reader: Callable[[], bool],
        replica: Replica,
        confirmed_age: Callable[[], float],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._codec = codec
        self._fleet = fleet
        self._is_reader = is_reader
        self._replica = replica
        self._confirmed_age = confirmed_age
        self._clock = clock
        self._rng = rng

    async def keep_own(self) -> None:
        """Write this entry's record, and again if the store loses it, until cancelled."""
        while True:
            await self._write_own()
            written_at = self._clock()
            while not self._is_lost(written_at):
                await asyncio.sleep(CHECK_PERIOD_S * self._rng.uniform(0.7, 1.3))
            logs.event("record-lost")

    def _is_lost(self, written_at: float) -> bool:
        """Return whether the store confirmed copies without a record that it had acknowledged."""
        if self._fleet.leaving or self._replica.is_stored(self._fleet.own_record.entry_id):
            return False
        confirmed_at = self._clock() - self._confirmed_age()
        return confirmed_at > written_at + PROPAGATION_S

    async def _write_own(self) -> None:
        """Write this entry's record; retry until that succeeds."""
        record = self._fleet.own_record
        value = self._codec.entry_value(record)
        while True:
            try:
                await self._source.write(Kind.ENTRIES, record.entry_id, value)
                return
            except StoreError as error:
                logs.event("record-not-written", error=str(error))
                await asyncio.sleep(WRITE_RETRY_S * self._rng.uniform(0.7, 1.3))

    async def delete_expired(self) -> None:
        """Delete the records of entries that are gone, periodically until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_PERIOD_S * self._rng.uniform(0.7, 1.3))
            if self._is_reader():
                for entry_id in self._fleet.expired_ids(self._clock()):
                    await self._delete(entry_id)

    async def _delete(self, entry_id: str) -> None:
        stored = self._replica.get(entry_id)
        if stored is None:
            return
        try:
            await self._source.delete(Kind.ENTRIES, entry_id, stored.revision)
            logs.event("entry-forgotten", entry=entry_id)
        except StoreError as error:
            logs.event("record-not-deleted", entry=entry_id, error=str(error))
