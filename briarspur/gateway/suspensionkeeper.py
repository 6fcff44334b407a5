"""Keeps a record in the store of the requests that are suspended since they crash servers."""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from briarspur import logs
from briarspur.coord.errors import StoreError
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.replica import Kind
from briarspur.gateway.suspects import Suspects
from briarspur.gateway.suspensionrecord import decode_losses, encode_losses

__all__ = ["RECORD_NAME", "SuspensionKeeper"]

RECORD_NAME = "latest"
CHECK_PERIOD_S = 0.5
"""Time between two checks whether requests were suspended or resumed."""
LOAD_RETRY_S = 0.5
"""Time between two attempts to read the record while the store does not respond."""


class SuspensionKeeper:
    """Reads the record once at the start; one entry of the fleet writes it.

    When all entries restart at the same time, no entry could tell the others what is suspended, and
    each request would crash three more servers.

    Parameters
    ----------
    is_writer : callable
        Returns whether this entry is the one that writes.
    store_era : callable
        Returns the store's era; in a later one the record may be an older one.
    clock : callable
        Monotonic seconds, as passed to ``suspects``.
    """

    def __init__(
        self,
        source: ObjectSource,
        suspects: Suspects,
        is_writer: Callable[[], bool],
        rng: random.Random,
        store_era: Callable[[], int],
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._source = source
        self._suspects = suspects
        self._is_writer = is_writer
        self._rng = rng
        self._store_era = store_era
        self._clock = clock
        self._wall_clock = wall_clock
        self._written: frozenset[tuple[int, int]] = frozenset()
        self._written_in = 0

    async def run(self) -> None:
        """Read the record, then write it when it has changed, until cancelled."""
        while not await self._load():
            await asyncio.sleep(LOAD_RETRY_S * self._rng.uniform(0.7, 1.3))
        while True:
            await asyncio.sleep(CHECK_PERIOD_S * self._rng.uniform(0.8, 1.2))
            await self._write_if_changed()

    async def _load(self) -> bool:
        try:
            batch = await self._source.list(Kind.SUSPENSIONS, may_be_old=True)
        except StoreError as error:
            logs.event("suspensions-not-read", logging.WARNING, error=str(error))
            return False
        for change in batch.changes:
            if change.name == RECORD_NAME:
                self._restore(change.value)
        self._written_in = self._store_era()
        return True

    def _restore(self, value: object) -> None:
        result = decode_losses(value, self._wall_clock())
        if result.is_error():
            logs.event("suspensions-not-read", logging.WARNING, error=result.error)
            return
        self._suspects.record_reported(result.ok, self._clock())
        self._written = frozenset((loss.content, loss.target) for loss in result.ok)
        logs.event("suspensions-read", requests=self._suspects.count_suspended())

    async def _write_if_changed(self) -> None:
        losses = list(self._suspects.suspended(self._clock()))
        keys = frozenset((loss.content, loss.target) for loss in losses)
        era = self._store_era()
        is_changed = keys != self._written or (era != self._written_in and bool(keys))
        if not is_changed or not self._is_writer():
            return
        try:
            value = encode_losses(losses, self._wall_clock())
            await self._source.write(Kind.SUSPENSIONS, RECORD_NAME, value)
        except StoreError as error:
            logs.event("suspensions-not-written", logging.WARNING, error=str(error))
            return
        self._written, self._written_in = keys, era
        logs.event("suspensions-written", requests=self._suspects.count_suspended())
