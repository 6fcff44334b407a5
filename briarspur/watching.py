"""Follows one object of the store: a read, then waiting watches, for as long as the daemon runs."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from briarspur import logs
from briarspur.coord.errors import StoreError
from briarspur.coord.store import ABSENT, ObjectStore, StoredObject

__all__ = ["ObjectWatch", "WatchTimes"]


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """Times in seconds.

    Attributes
    ----------
    wait : float
        How long one watch waits.
    pause : float
        Mean pause after an error; drawn from 0.5 to 1.5 times it, so that many processes do not
        come back at once.
    """

    wait: float = 30.0
    pause: float = 0.5


class ObjectWatch:
    """Hands each newer version of an object to ``taken``."""

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        taken: Callable[[StoredObject], object],
        rng: random.Random,
        times: WatchTimes | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._taken = taken
        self._rng = rng
        self._times = times or WatchTimes()
        self._version = ABSENT

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                found = await self._next()
            except StoreError as error:
                logs.event(
                    "store-unavailable", logging.WARNING, object=self._name, error=str(error)
                )
                await asyncio.sleep(self._times.pause * (0.5 + self._rng.random()))
                continue
            # A read may be old; only a newer version is handed on.
            if found is not None and found.version > self._version:
                self._version = found.version
                self._taken(found)

    async def _next(self) -> StoredObject | None:
        if self._version != ABSENT:
            return await self._store.watch(self._name, self._version, self._times.wait)
        found = await self._store.get(self._name)
        if found is None:
            await asyncio.sleep(self._times.pause)
        return found
