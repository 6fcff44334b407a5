"""Writes the customers' reservations to the store, from one entry of the fleet."""

import asyncio
import logging
import random
from collections.abc import Callable

from briarspur import logs
from briarspur.coord.errors import StoreConflictError, StoreError
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.quotas import Quotas
from briarspur.gateway.replica import Kind, Replica
from briarspur.gateway.reservationrecord import RECORD_NAME, encode_reservations
from briarspur.gateway.reservations import ReservationPlan

__all__ = ["ReservationKeeper"]

CHECK_PERIOD_S = 0.2
"""Time between two checks, so also between two writes at least."""
RETRY_S = 0.5
"""Delay after a failed write."""


class ReservationKeeper:
    """Writes the record whenever a customer needs another reservation.

    Two entries may both regard themselves as the writer for a moment. Each replaces only the
    record that it has read, so neither takes back what the other one has recorded.

    Parameters
    ----------
    replica : Replica
        This entry's copy of the record.
    is_writer : callable
        Returns whether this entry is the one that writes. It must know the use of all customers.
    """

    def __init__(
        self,
        source: ObjectSource,
        quotas: Quotas,
        replica: Replica,
        is_writer: Callable[[], bool],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._quotas = quotas
        self._replica = replica
        self._is_writer = is_writer
        self._clock = clock
        self._rng = rng
        self._plan = ReservationPlan()

    async def run(self) -> None:
        """Write the record when it must change, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S * self._rng.uniform(0.8, 1.2))
            if not self._is_writer() or not self._replica.revision:
                self._plan = ReservationPlan()
            elif not await self._update():
                await asyncio.sleep(RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _update(self) -> bool:
        """Write the record if it must change; return False if that failed."""
        recorded, now = self._quotas.reservations, self._clock()
        planned = self._plan.update(recorded or {}, self._quotas.demands(now), now)
        is_lost = recorded is not None and not self._replica.is_stored(RECORD_NAME)
        if planned == recorded and not is_lost:
            return True
        revision = self._replica.stored_revision(RECORD_NAME)
        value = encode_reservations(planned)
        try:
            await self._source.replace(Kind.RESERVATIONS, RECORD_NAME, value, revision)
        except StoreConflictError:
            # Another entry wrote it; the watch brings that record.
            return True
        except StoreError as error:
            logs.event("reservations-not-written", logging.WARNING, error=str(error))
            return False
        logs.event("reservations-written", customers=len(planned))
        return True
