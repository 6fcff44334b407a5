"""The records of entries in the store."""

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

RECORD_RETRY = 0.5
"""Seconds until a record that was not written is tried again."""
FORGET_PERIOD = 60.0
"""Seconds between two looks for entries that are gone."""


class EntryRecords:
    """Writes where this entry is, so that others find it, and deletes what has gone.

    Parameters
    ----------
    is_reader : callable
        Tells whether this entry follows the store, and so looks for entries that are gone.
    replica : Replica
        This entry's copy of the records.
    """

    def __init__(
        self,
        source: ObjectSource,
        codec: Codec,
        fleet: Fleet,
        is_reader: Callable[[], bool],
        replica: Replica,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._codec = codec
        self._fleet = fleet
        self._is_reader = is_reader
        self._replica = replica
        self._clock = clock
        self._rng = rng

    async def write_own(self) -> None:
        """Write this entry's record, however long that takes."""
        me = self._fleet.own_record
        value = self._codec.entry_value(me)
        while True:
            try:
                await self._source.write(Kind.ENTRIES, me.entry_id, value)
                return
            except StoreError as error:
                logs.event("record-not-written", error=str(error))
                await asyncio.sleep(RECORD_RETRY * self._rng.uniform(0.7, 1.3))

    async def forget_gone(self) -> None:
        """Delete the records of entries that are gone, from time to time."""
        while True:
            await asyncio.sleep(FORGET_PERIOD * self._rng.uniform(0.7, 1.3))
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
